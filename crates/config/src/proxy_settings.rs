//! The settings of one host in a fleet that keeps its shared state in a metadata store.
//!
//! See `docs/PLATFORM.md`.

use std::net::SocketAddr;

use model::Name;

use crate::{
    document::read_document,
    host_settings::LogSettings,
    problem::{ProblemList, Problems, suggest},
    section::{Section, read_section, section},
};

section! {
    /// The daemon of this host.
    ProxyDaemonSettings in "daemon" named "" {
        /// The name of the host, unique among the daemons.
        host: Name = Name::from(""),
        /// The availability zone that the host stands in.
        availability_zone: Name = Name::from(""),
        /// The region of each availability zone, as `ZONE/REGION`; unset means that all zones are of one region.
        regions: Vec<Name> = Vec::new(),
        /// Where callers connect.
        listen: Option<SocketAddr> = None,
        /// Where the load balancer asks whether this daemon takes new connections.
        ready_listen: Option<SocketAddr> = None,
        /// Where other daemons ask for readings of the store and hand over statements; unset means neither.
        peer_listen: Option<SocketAddr> = None,
        /// Where operators read metrics; unset means nowhere.
        metrics_listen: Option<SocketAddr> = None,
        /// The time from the signal to stop until the process is killed.
        stop_grace_ms: u64 = 6_000,
        /// The descriptors that the process may open; half of them at most go to callers.
        descriptors: u64 = 4_096,
    }
}

section! {
    /// The store that holds the configuration, the servers' entries and what daemons agree on.
    MetadataSettings in "metadata" named "" {
        /// Its IP number and port.
        address: Option<SocketAddr> = None,
        /// The prefix of every key that belongs to the daemons.
        prefix: Name = Name::from("wardtiller/"),
        /// How long a read may take; a later answer is of no more use.
        read_timeout_ms: u64 = 1_000,
        /// How long the reading of everything may take: a megabyte over a link that carries a megabyte a
        /// second, with everybody else's beside it.
        whole_read_timeout_ms: u64 = 6_000,
        /// How long a write may take before its outcome is read back.
        write_timeout_ms: u64 = 1_500,
        /// How long one watch waits before it is renewed; also how soon a cut is noticed.
        watch_wait_ms: u64 = 4_000,
        /// How long a member's lease lasts without a renewal.
        lease_ms: u64 = 9_000,
        /// How long the duty to promote lasts without a renewal by its holder: for so long nobody replaces
        /// a primary after the holder died, and a store that answers in 250 ms still renews it twice.
        duty_lease_ms: u64 = 1_500,
    }
}

section! {
    /// Who leads a group, and how that is known.
    LeadershipSettings in "leadership" named "" {
        /// Where promotions are ordered.
        order_address: Option<SocketAddr> = None,
        /// How long an order may take to be answered.
        order_timeout_ms: u64 = 700,
        /// How long a read of the leadership records gives the right to use a primary. A change waits for
        /// it where a daemon has died, and each daemon that reads the store does so twice in this time.
        right_ms: u64 = 1_000,
        /// How often the records are read; a fraction of `right_ms`, so that one lost read costs nothing.
        refresh_ms: u64 = 450,
        /// How long the statuses of a majority give that right while the store is out of reach.
        evidence_ms: u64 = 300,
        /// How long a primary must be out of reach before it is suspected.
        suspect_after_ms: u64 = 250,
        /// How long an ordered promotion may take effect before it is given up for another server.
        order_settles_ms: u64 = 4_000,
        /// How long a lapsed server entry is still believed if nothing else speaks against the server.
        lapse_grace_ms: u64 = 2_500,
    }
}

section! {
    /// By which windows the limits of client accounts are judged; the limits are the configuration's.
    AccountLimitSettings in "limits" named "" {
        /// The length of a window; every span of that length counts.
        window_ms: u64 = 1_000,
        /// The part of a window's operations that may be run beyond the limit.
        overage: f64 = 0.0,
        /// Operations that may be run beyond that in a window, whatever the limit.
        slack: f64 = 0.0,
    }
}

section! {
    /// Which decisions under load are made; each can be switched off to see what it is worth.
    OverloadSettings in "overload" named "" {
        /// Whether statements for a server wait in one queue at the owner of its connections, by priority and account.
        queue: bool = true,
        /// Whether servers and paths that misbehave are set aside, by what a whole zone sees.
        circuits: bool = true,
        /// Whether servers are chosen by the load that their owners tell, and by measured distances.
        balance: bool = true,
        /// Whether statements wait for a change of primary for as long as it is expected to take.
        holding: bool = true,
        /// Whether connections are kept for the accounts that are most likely to use them again.
        reuse: bool = true,
    }
}

impl ProxyDaemonSettings {
    /// Returns each configured availability zone with its region.
    pub fn region_by_zone(&self) -> impl Iterator<Item = (Name, Name)> {
        let pairs = self.regions.iter().filter_map(|entry| entry.split_once('/'));
        pairs.map(|(zone, region)| (Name::from(zone), Name::from(region)))
    }
}

/// Every setting of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxySettings {
    /// The `[daemon]` section.
    pub daemon: ProxyDaemonSettings,
    /// The `[metadata]` section.
    pub metadata: MetadataSettings,
    /// The `[leadership]` section.
    pub leadership: LeadershipSettings,
    /// The `[limits]` section.
    pub limits: AccountLimitSettings,
    /// The `[overload]` section.
    pub overload: OverloadSettings,
    /// The `[log]` section.
    pub log: LogSettings,
}

const KINDS: [&str; 6] = [
    ProxyDaemonSettings::KIND,
    MetadataSettings::KIND,
    LeadershipSettings::KIND,
    AccountLimitSettings::KIND,
    OverloadSettings::KIND,
    LogSettings::KIND,
];

impl ProxySettings {
    /// Parses and checks a settings file; fails with every mistake in it.
    pub fn read(file: &str, text: &str) -> Result<ProxySettings, Problems> {
        let mut problems = ProblemList::new(file);
        let mut settings = ProxySettings::default();
        let mut seen_kinds = Vec::new();
        for section in read_document(text, &mut problems) {
            if seen_kinds.contains(&section.kind) {
                problems.add(section.line, &section.kind, "duplicate section");
                continue;
            }
            match section.kind.as_str() {
                ProxyDaemonSettings::KIND => {
                    settings.daemon = read_section(&section, &mut problems);
                }
                MetadataSettings::KIND => settings.metadata = read_section(&section, &mut problems),
                LeadershipSettings::KIND => {
                    settings.leadership = read_section(&section, &mut problems);
                }
                AccountLimitSettings::KIND => {
                    settings.limits = read_section(&section, &mut problems);
                }
                OverloadSettings::KIND => settings.overload = read_section(&section, &mut problems),
                LogSettings::KIND => settings.log = read_section(&section, &mut problems),
                other => problems.add_with(
                    section.line,
                    other,
                    "unknown section",
                    suggest(other, KINDS.iter().copied()),
                ),
            }
            seen_kinds.push(section.kind);
        }
        settings.check(&mut problems);
        problems.finish(settings)
    }

    fn check(&self, problems: &mut ProblemList<'_>) {
        let required = [
            ("host", "daemon", self.daemon.host.is_empty()),
            ("availability_zone", "daemon", self.daemon.availability_zone.is_empty()),
            ("listen", "daemon", self.daemon.listen.is_none()),
            ("ready_listen", "daemon", self.daemon.ready_listen.is_none()),
            ("address", "metadata", self.metadata.address.is_none()),
            ("order_address", "leadership", self.leadership.order_address.is_none()),
        ];
        for (key, section, missing) in required {
            if missing {
                problems.add(1, key, format!("must be set in [{section}]"));
            }
        }
        if self.leadership.refresh_ms * 2 > self.leadership.right_ms {
            problems.add(1, "refresh_ms", "must be at most half of right_ms");
        }
        if self.limits.window_ms == 0 {
            problems.add(1, "window_ms", "must be above 0");
        }
        let own_zone = &self.daemon.availability_zone;
        let zone_of = |entry: &Name| entry.split_once('/').map(|(zone, _)| zone.to_owned());
        for entry in &self.daemon.regions {
            let is_pair = entry.split('/').filter(|part| !part.is_empty()).count() == 2;
            if !is_pair || entry.matches('/').count() != 1 {
                problems.add(1, "regions", format!("expected ZONE/REGION, found `{entry}`"));
            }
        }
        let mut zones: Vec<String> = self.daemon.regions.iter().filter_map(zone_of).collect();
        if !zones.is_empty() && !zones.iter().any(|zone| **zone == **own_zone) {
            problems.add(1, "regions", format!("must name the daemon's own zone `{own_zone}`"));
        }
        zones.sort_unstable();
        if let Some(duplicate) = zones.windows(2).find(|pair| pair[0] == pair[1]) {
            problems.add(1, "regions", format!("names the zone `{}` twice", duplicate[0]));
        }
        if self.leadership.evidence_ms > self.leadership.right_ms {
            problems.add(1, "evidence_ms", "must be at most right_ms");
        }
    }
}
