//! A whole system on this machine: stand-ins for the platform and the endpoints, and real daemons.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use config::{Configuration, HostSettings, check_configuration};
use daemon::{Daemon, apply_configuration};
use eyre::{OptionExt, bail, ensure};
use model::{GroupId, Name};
use standin::{EndpointOptions, GroupStandin, Network, PlatformStandin};
use store::{CatalogNode, ConsulClient};

/// How a local system is set up.
#[derive(Clone, Debug)]
pub struct LocalSystemOptions {
    daemons: usize,
    first_listen: Option<SocketAddr>,
    endpoint: EndpointOptions,
    adjust: fn(&mut HostSettings),
}

impl Default for LocalSystemOptions {
    fn default() -> LocalSystemOptions {
        LocalSystemOptions {
            daemons: 2,
            first_listen: None,
            endpoint: EndpointOptions::default(),
            adjust: |_| {},
        }
    }
}

impl LocalSystemOptions {
    /// Sets how many daemons there are.
    pub fn daemons(mut self, daemons: usize) -> LocalSystemOptions {
        self.daemons = daemons;
        self
    }

    /// Sets where the first daemon listens; the next ones take the following ports.
    pub fn first_listen(mut self, address: Option<SocketAddr>) -> LocalSystemOptions {
        self.first_listen = address;
        self
    }

    /// Sets how far the data that replicas show lags.
    pub fn apply_lag(mut self, lag: Duration) -> LocalSystemOptions {
        self.endpoint.apply_lag = lag;
        self
    }

    /// Sets how the endpoints behave.
    pub fn endpoint(mut self, endpoint: EndpointOptions) -> LocalSystemOptions {
        self.endpoint = endpoint;
        self
    }

    /// Changes each daemon's settings before it starts.
    pub fn adjust(mut self, adjust: fn(&mut HostSettings)) -> LocalSystemOptions {
        self.adjust = adjust;
        self
    }
}

/// The prefix of the local system's keys.
const PREFIX: &str = "wardtiller";

/// How long the daemons get to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long one call to the stand-in platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A running local system.
pub struct LocalSystem {
    /// The stand-in platform.
    pub platform: PlatformStandin,
    /// The stand-in groups.
    pub groups: BTreeMap<GroupId, GroupStandin>,
    /// The daemons; `None` for one that was stopped or killed.
    pub daemons: Vec<Option<Daemon>>,
    /// The configuration, with the addresses of the stand-ins.
    pub configuration_text: String,
    /// The same, read.
    pub configuration: Configuration,
    settings: Vec<HostSettings>,
    nodes: Vec<CatalogNode>,
    changes: u64,
}

impl LocalSystem {
    /// Starts stand-ins for everything that a configuration names, and daemons before them.
    pub fn start(text: &str, options: &LocalSystemOptions) -> eyre::Result<LocalSystem> {
        let network = Network::new();
        let wanted = check_configuration("the configuration", text)?;
        let platform = PlatformStandin::start(&network, any_port())?;
        let mut text = text.to_owned();
        let mut groups = BTreeMap::new();
        for (id, group) in &wanted.groups {
            let standin = start_group(&network, group, options)?;
            for (server, running) in ordered(group).zip(&standin.servers) {
                let (old, new) = (server.address, running.address());
                text = replace_address(&text, old, new);
            }
            groups.insert(id.clone(), standin);
        }
        let configuration = check_configuration("the configuration", &text)?;
        let mut system = LocalSystem {
            platform,
            groups,
            daemons: Vec::new(),
            configuration_text: text,
            configuration,
            settings: Vec::new(),
            nodes: Vec::new(),
            changes: 0,
        };
        system.start_daemons(options)?;
        system.apply(&system.configuration_text.clone(), None)?;
        system.wait_until_ready()?;
        Ok(system)
    }

    fn start_daemons(&mut self, options: &LocalSystemOptions) -> eyre::Result<()> {
        let zones = self.zones();
        for index in 0..options.daemons {
            let zone = zones.get(index % zones.len().max(1)).cloned();
            let mut settings = HostSettings::default();
            settings.daemon.host = Name::from(format!("entry-{}", index + 1));
            settings.daemon.availability_zone = zone.unwrap_or_else(|| Name::from("local"));
            settings.daemon.listen = Some(match options.first_listen {
                Some(first) => SocketAddr::new(first.ip(), first.port() + u16::try_from(index)?),
                None => any_port(),
            });
            settings.daemon.peer_listen = Some(any_port());
            settings.daemon.operator_listen = Some(any_port());
            settings.daemon.serve_threads = 2;
            settings.platform.address = Some(self.platform.address());
            (options.adjust)(&mut settings);
            let daemon = self.launch(&mut settings)?;
            self.daemons.push(Some(daemon));
            self.settings.push(settings);
        }
        self.list_hosts();
        Ok(())
    }

    /// Starts a daemon, noting the ports that it got.
    fn launch(&self, settings: &mut HostSettings) -> eyre::Result<Daemon> {
        let store = Arc::new(ConsulClient::new(self.platform.address(), PLATFORM_TIMEOUT));
        let daemon = Daemon::start(settings.clone(), store)?;
        settings.daemon.listen = Some(daemon.caller_address());
        settings.daemon.peer_listen = Some(daemon.peer_address());
        settings.daemon.operator_listen = Some(daemon.operator_address());
        Ok(daemon)
    }

    fn zones(&self) -> Vec<Name> {
        let servers = self.configuration.groups.values().flat_map(|group| &group.servers);
        let mut zones: Vec<Name> = servers.map(|server| server.availability_zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Puts every daemon and endpoint into the platform's host list as live.
    fn list_hosts(&mut self) {
        let daemons = self.settings.iter().map(|settings| {
            let address = settings.daemon.peer_listen.unwrap_or_else(any_port);
            let zone = &settings.daemon.availability_zone;
            PlatformStandin::node(&settings.daemon.host, address, zone, "daemon", "live")
        });
        let endpoints = self.configuration.groups.values().flat_map(|group| {
            group.servers.iter().map(|server| {
                let host = format!("{}-{}", group.id.group, server.name);
                let zone = &server.availability_zone;
                PlatformStandin::node(&host, server.address, zone, "endpoint", "live")
            })
        });
        self.nodes = daemons.chain(endpoints).collect();
        self.platform.set_nodes(self.nodes.clone());
    }

    /// Changes what the platform's host list says of the host at an address.
    pub fn set_listed_state(&mut self, address: SocketAddr, state: &str) {
        for node in &mut self.nodes {
            let port = node.meta.get("port").map(String::as_str);
            if port == Some(address.port().to_string().as_str()) {
                node.meta.insert("state".to_owned(), state.to_owned());
            }
        }
        self.platform.set_nodes(self.nodes.clone());
    }

    /// Applies a configuration, as an operator would.
    pub fn apply(&mut self, text: &str, base: Option<u64>) -> eyre::Result<u64> {
        self.changes += 1;
        let change_id = format!("local-{}", self.changes);
        let store = ConsulClient::new(self.platform.address(), PLATFORM_TIMEOUT);
        let name = "the configuration";
        Ok(apply_configuration(&store, PREFIX, name, text, base, &change_id)?)
    }

    /// Waits until every daemon has a configuration and knows every primary and every member.
    pub fn wait_until_ready(&self) -> eyre::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        let members = self.daemons.iter().flatten().count();
        while !self.daemons.iter().flatten().all(|daemon| is_ready(daemon, members)) {
            ensure!(Instant::now() < until, "the daemons did not become ready in time");
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Returns where callers connect, for the daemons that run.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().flatten().map(Daemon::caller_address).collect()
    }

    /// Returns a daemon.
    pub fn daemon(&self, index: usize) -> eyre::Result<&Daemon> {
        self.daemons
            .get(index)
            .and_then(Option::as_ref)
            .ok_or_eyre("there is no such daemon, or it is not running")
    }

    /// Ends a daemon at once, as a crash does.
    pub fn kill_daemon(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Stops a daemon as planned; returns whether it finished all its work in time.
    pub fn stop_daemon(&mut self, index: usize) -> bool {
        match self.daemons[index].take() {
            Some(daemon) => daemon.stop(),
            None => true,
        }
    }

    /// Starts a daemon that was ended, at the addresses that it had.
    pub fn restart_daemon(&mut self, index: usize) -> eyre::Result<()> {
        let mut settings = self.settings[index].clone();
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            match self.launch(&mut settings) {
                Ok(daemon) => {
                    self.daemons[index] = Some(daemon);
                    return Ok(());
                }
                // The old sockets take a moment to be freed.
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Returns the stand-ins of a group.
    pub fn group(&self, service: &str, group: &str) -> eyre::Result<&GroupStandin> {
        match self.groups.get(&GroupId::new(service, group)) {
            Some(standin) => Ok(standin),
            None => bail!("there is no group {service}/{group}"),
        }
    }

    /// Stops every daemon as planned, all at the same time.
    pub fn stop(mut self) -> bool {
        let stopping: Vec<_> = self
            .daemons
            .iter_mut()
            .filter_map(Option::take)
            .map(|daemon| thread::spawn(move || daemon.stop()))
            .collect();
        stopping.into_iter().all(|stopped| stopped.join().unwrap_or(false))
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn is_ready(daemon: &Daemon, members: usize) -> bool {
    let report = daemon.show();
    let all_led = report.groups.iter().filter(|group| group.owned).all(|group| {
        // Until the age of a server's data is known, reads that accept staleness go to the primary.
        group.primary.is_some()
            && group.servers.iter().all(|server| server.answers && server.staleness_ms.is_some())
    });
    let owned = report.groups.iter().filter(|group| group.owned).count();
    report.revision > 0
        && report.members_usable == members
        && owned == report.groups_to_own
        && all_led
}

/// The servers of a group with the first primary in front, the order in which stand-ins start.
fn ordered(group: &config::Group) -> impl Iterator<Item = &config::Server> {
    let first = group.first_primary.index();
    let rest = group.servers.iter().enumerate().filter(move |(index, _)| *index != first);
    std::iter::once(&group.servers[first]).chain(rest.map(|(_, server)| server))
}

fn start_group(
    network: &Network,
    group: &config::Group,
    options: &LocalSystemOptions,
) -> eyre::Result<GroupStandin> {
    let endpoint = EndpointOptions {
        connections: group.options.connections as usize,
        slots: group.options.slots as usize,
        ..options.endpoint.clone()
    };
    let addresses = vec![any_port(); group.servers.len()];
    Ok(GroupStandin::start(network, &addresses, &endpoint)?)
}

fn replace_address(text: &str, old: SocketAddr, new: SocketAddr) -> String {
    let old = old.to_string();
    let lines = text.lines().map(|line| match line.split_once('=') {
        Some((key, value)) if key.trim() == "address" && value.trim() == old => {
            format!("address = {new}")
        }
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n") + "\n"
}
