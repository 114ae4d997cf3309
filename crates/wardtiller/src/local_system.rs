//! A complete system on the local machine: real daemons, with stand-ins for the platform and the endpoints.

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
use standin::{EndpointOptions, GroupStandin, PlatformStandin, StandinRuntime};
use store::{CatalogNode, ConsulClient};

/// The options of a local system.
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
    /// Sets the number of daemons.
    pub fn daemons(mut self, daemons: usize) -> LocalSystemOptions {
        self.daemons = daemons;
        self
    }

    /// Sets the caller address of the first daemon. The others use the following ports.
    pub fn first_listen(mut self, address: Option<SocketAddr>) -> LocalSystemOptions {
        self.first_listen = address;
        self
    }

    /// Sets the delay after which replicas apply a committed change.
    pub fn apply_lag(mut self, lag: Duration) -> LocalSystemOptions {
        self.endpoint.apply_lag = lag;
        self
    }

    /// Sets the options of the endpoints.
    pub fn endpoint(mut self, endpoint: EndpointOptions) -> LocalSystemOptions {
        self.endpoint = endpoint;
        self
    }

    /// Sets a function that changes the settings of each daemon before it starts.
    pub fn adjust(mut self, adjust: fn(&mut HostSettings)) -> LocalSystemOptions {
        self.adjust = adjust;
        self
    }
}

/// The key prefix of the local system in the store.
const PREFIX: &str = "wardtiller";

/// How long the daemons may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of one call to the platform stand-in.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A running local system.
pub struct LocalSystem {
    /// The platform stand-in.
    pub platform: PlatformStandin,
    /// The group stand-ins.
    pub groups: BTreeMap<GroupId, GroupStandin>,
    /// The daemons. An entry is `None` while its daemon is stopped or killed.
    pub daemons: Vec<Option<Daemon>>,
    /// The text of the configuration, with the addresses of the stand-ins.
    pub configuration_text: String,
    /// The parsed configuration.
    pub configuration: Configuration,
    settings: Vec<HostSettings>,
    nodes: Vec<CatalogNode>,
    change_count: u64,
}

impl LocalSystem {
    /// Starts stand-ins for the platform and for all endpoints of the configuration, then the daemons. Returns when the
    /// daemons are ready.
    pub fn start(text: &str, options: &LocalSystemOptions) -> eyre::Result<LocalSystem> {
        let runtime = StandinRuntime::new();
        let requested = check_configuration("the configuration", text)?;
        let platform = PlatformStandin::start(&runtime, unused_port())?;
        let mut text = text.to_owned();
        let mut groups = BTreeMap::new();
        for (id, group) in &requested.groups {
            let standin = start_group(&runtime, group, options)?;
            for (server, running) in primary_first(group).zip(&standin.servers) {
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
            change_count: 0,
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
                None => unused_port(),
            });
            settings.daemon.peer_listen = Some(unused_port());
            settings.daemon.operator_listen = Some(unused_port());
            settings.daemon.serve_threads = 2;
            settings.platform.address = Some(self.platform.address());
            (options.adjust)(&mut settings);
            let daemon = self.launch(&mut settings)?;
            self.daemons.push(Some(daemon));
            self.settings.push(settings);
        }
        self.publish_host_list();
        Ok(())
    }

    /// Starts a daemon and stores its actual addresses in the settings.
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

    /// Publishes a host list in which every daemon and endpoint is live.
    fn publish_host_list(&mut self) {
        let daemons = self.settings.iter().map(|settings| {
            let address = settings.daemon.peer_listen.unwrap_or_else(unused_port);
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

    /// Sets the state of the hosts with the port of this address in the host list.
    pub fn set_host_state(&mut self, address: SocketAddr, state: &str) {
        for node in &mut self.nodes {
            let port = node.meta.get("port").map(String::as_str);
            if port == Some(address.port().to_string().as_str()) {
                node.meta.insert("state".to_owned(), state.to_owned());
            }
        }
        self.platform.set_nodes(self.nodes.clone());
    }

    /// Applies a configuration and returns its revision. Fails if `base` is given and isn't the revision in force.
    pub fn apply(&mut self, text: &str, base: Option<u64>) -> eyre::Result<u64> {
        self.change_count += 1;
        let change_id = format!("local-{}", self.change_count);
        let store = ConsulClient::new(self.platform.address(), PLATFORM_TIMEOUT);
        let name = "the configuration";
        Ok(apply_configuration(&store, PREFIX, name, text, base, &change_id)?)
    }

    /// Waits until every daemon has a configuration and knows every primary and every member. Fails after a timeout.
    pub fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let members = self.daemons.iter().flatten().count();
        while !self.daemons.iter().flatten().all(|daemon| is_ready(daemon, members)) {
            ensure!(Instant::now() < deadline, "the daemons did not become ready in time");
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Returns the caller addresses of the running daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().flatten().map(Daemon::caller_address).collect()
    }

    /// Returns a running daemon.
    pub fn daemon(&self, index: usize) -> eyre::Result<&Daemon> {
        self.daemons
            .get(index)
            .and_then(Option::as_ref)
            .ok_or_eyre("there is no such daemon, or it is not running")
    }

    /// Ends a daemon at once, without a graceful shutdown.
    pub fn kill_daemon(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Stops a daemon gracefully. Returns whether it finished all its work in time.
    pub fn stop_daemon(&mut self, index: usize) -> bool {
        match self.daemons[index].take() {
            Some(daemon) => daemon.stop(),
            None => true,
        }
    }

    /// Restarts a stopped or killed daemon at its previous addresses.
    pub fn restart_daemon(&mut self, index: usize) -> eyre::Result<()> {
        let mut settings = self.settings[index].clone();
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            match self.launch(&mut settings) {
                Ok(daemon) => {
                    self.daemons[index] = Some(daemon);
                    return Ok(());
                }
                // The previous sockets may still be in use for a short time.
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Returns the stand-in of a group.
    pub fn group(&self, service: &str, group: &str) -> eyre::Result<&GroupStandin> {
        match self.groups.get(&GroupId::new(service, group)) {
            Some(standin) => Ok(standin),
            None => bail!("there is no group {service}/{group}"),
        }
    }

    /// Stops all daemons gracefully and concurrently. Returns whether all finished their work in time.
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

/// Returns a loopback address for which the operating system selects a free port.
fn unused_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn is_ready(daemon: &Daemon, members: usize) -> bool {
    let report = daemon.show();
    let all_groups_ready = report.groups.iter().filter(|group| group.owned).all(|group| {
        // While the staleness of a server is unknown, reads that accept staleness go to the primary.
        group.primary.is_some()
            && group.servers.iter().all(|server| server.answers && server.staleness_ms.is_some())
    });
    let owned = report.groups.iter().filter(|group| group.owned).count();
    report.revision > 0
        && report.members_usable == members
        && owned == report.groups_to_own
        && all_groups_ready
}

/// Returns the servers of a group with the first primary first, the order in which the stand-ins start.
fn primary_first(group: &config::Group) -> impl Iterator<Item = &config::Server> {
    let first = group.first_primary.index();
    let rest = group.servers.iter().enumerate().filter(move |(index, _)| *index != first);
    std::iter::once(&group.servers[first]).chain(rest.map(|(_, server)| server))
}

fn start_group(
    runtime: &StandinRuntime,
    group: &config::Group,
    options: &LocalSystemOptions,
) -> eyre::Result<GroupStandin> {
    let endpoint = EndpointOptions {
        connections: group.options.connections as usize,
        slots: group.options.slots as usize,
        ..options.endpoint.clone()
    };
    let addresses = vec![unused_port(); group.servers.len()];
    Ok(GroupStandin::start(runtime, &addresses, &endpoint)?)
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
