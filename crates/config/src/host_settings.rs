//! The settings of one host: its addresses, its availability zone and the platform's address.

use std::net::SocketAddr;

use model::Name;

use crate::{
    document::read_document,
    option_value::LogLevel,
    problem::{ProblemList, Problems, suggest},
    section::{Section, read_section, section},
};

section! {
    /// The daemon of this host.
    DaemonSettings in "daemon" named "" {
        /// The name of the host in the platform's host list.
        host: Name = Name::from(""),
        /// The availability zone that the host stands in.
        availability_zone: Name = Name::from(""),
        /// Where callers connect.
        listen: Option<SocketAddr> = None,
        /// Where other daemons connect.
        peer_listen: Option<SocketAddr> = None,
        /// Where operators read metrics, health and `show`.
        operator_listen: Option<SocketAddr> = None,
        /// The threads that serve callers; 0 means one for each processor.
        serve_threads: u16 = 0,
    }
}

section! {
    /// The platform's key-value service and host list.
    PlatformSettings in "platform" named "" {
        /// Its IP number and port.
        address: Option<SocketAddr> = None,
        /// The prefix of every key that belongs to this installation.
        prefix: Name = Name::from("wardtiller"),
        /// How long one call may take.
        call_timeout_ms: u64 = 2_000,
        /// How long one watch waits before it is renewed.
        watch_wait_ms: u64 = 30_000,
        /// How often the host list is read by the daemons that read it.
        host_list_ms: u64 = 1_000,
        /// Daemons of each availability zone that watch the store; the others hear from them.
        watchers: u16 = 2,
    }
}

section! {
    /// Messages between daemons.
    ControlSettings in "control" named "" {
        /// How often a daemon compares notes with one other.
        gossip_ms: u64 = 1_000,
        /// Daemons that a piece of news is passed to at once.
        fanout: u16 = 3,
        /// Peer addresses of some daemons, asked for the configuration and the host list by a host that starts while the platform is down.
        seeds: Vec<SocketAddr> = Vec::new(),
        /// How long a daemon may be silent on an open request before the connection is given up.
        peer_timeout_ms: u64 = 2_000,
    }
}

section! {
    /// Log-in at endpoints.
    EndpointSettings in "endpoint" named "" {
        /// The user that daemons log in as.
        user: Name = Name::from("wardtiller"),
        /// The file that holds the password; unset means none.
        password_file: Option<Name> = None,
    }
}

section! {
    /// Logs.
    LogSettings in "log" named "" {
        /// The least severe record written: `error`, `warn`, `info`, `debug` or `trace`.
        level: LogLevel = LogLevel::Info,
    }
}

section! {
    /// Traces.
    TraceSettings in "trace" named "" {
        /// The OTLP/HTTP collector; unset means that spans go to the log as JSON lines.
        otlp_address: Option<SocketAddr> = None,
        /// The share of requests traced when the caller does not ask for it, from 0 to 1.
        sample: f64 = 0.0,
    }
}

section! {
    /// TLS towards callers.
    TlsSettings in "tls" named "" {
        /// The PEM file with the certificate chain; unset means that TLS is refused.
        certificate_file: Option<Name> = None,
        /// The PEM file with the private key.
        key_file: Option<Name> = None,
        /// Whether callers without TLS are turned away.
        required: bool = false,
    }
}

/// Every setting of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostSettings {
    /// The `[daemon]` section.
    pub daemon: DaemonSettings,
    /// The `[platform]` section.
    pub platform: PlatformSettings,
    /// The `[control]` section.
    pub control: ControlSettings,
    /// The `[endpoint]` section.
    pub endpoint: EndpointSettings,
    /// The `[log]` section.
    pub log: LogSettings,
    /// The `[trace]` section.
    pub trace: TraceSettings,
    /// The `[tls]` section.
    pub tls: TlsSettings,
}

const KINDS: [&str; 7] = [
    DaemonSettings::KIND,
    PlatformSettings::KIND,
    ControlSettings::KIND,
    EndpointSettings::KIND,
    LogSettings::KIND,
    TraceSettings::KIND,
    TlsSettings::KIND,
];

impl HostSettings {
    /// Parses and checks a settings file; fails with every mistake in it.
    pub fn read(file: &str, text: &str) -> Result<HostSettings, Problems> {
        let mut problems = ProblemList::new(file);
        let mut settings = HostSettings::default();
        let mut seen_kinds = Vec::new();
        for section in read_document(text, &mut problems) {
            if seen_kinds.contains(&section.kind) {
                problems.add(section.line, &section.kind, "duplicate section");
                continue;
            }
            match section.kind.as_str() {
                DaemonSettings::KIND => settings.daemon = read_section(&section, &mut problems),
                PlatformSettings::KIND => settings.platform = read_section(&section, &mut problems),
                ControlSettings::KIND => settings.control = read_section(&section, &mut problems),
                EndpointSettings::KIND => settings.endpoint = read_section(&section, &mut problems),
                LogSettings::KIND => settings.log = read_section(&section, &mut problems),
                TraceSettings::KIND => settings.trace = read_section(&section, &mut problems),
                TlsSettings::KIND => settings.tls = read_section(&section, &mut problems),
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
            ("host", self.daemon.host.is_empty()),
            ("availability_zone", self.daemon.availability_zone.is_empty()),
            ("listen", self.daemon.listen.is_none()),
            ("peer_listen", self.daemon.peer_listen.is_none()),
            ("operator_listen", self.daemon.operator_listen.is_none()),
        ];
        for (key, missing) in required {
            if missing {
                problems.add(1, key, "must be set in [daemon]");
            }
        }
        if self.platform.address.is_none() {
            problems.add(1, "address", "must be set in [platform]");
        }
        if self.tls.certificate_file.is_some() != self.tls.key_file.is_some() {
            problems.add(1, "certificate_file", "[tls] needs both certificate_file and key_file");
        }
        if self.tls.required && self.tls.certificate_file.is_none() {
            problems.add(1, "required", "[tls] can't be required without a certificate_file");
        }
    }
}
