//! The operators' configuration of wardtiller.
//!
//! There are two INI files: the *configuration*, which all daemons share and apply atomically
//! ([`Configuration`]), and the *settings* of one host ([`HostSettings`] or [`ProxySettings`]). Every
//! option is a field of a config struct, and its default comes from the `Default` of that struct. A
//! test compares the reference page `docs/CONFIGURATION.md` with these structs.

mod check;
mod chunks;
mod configuration;
mod document;
mod host_settings;
mod option_value;
mod problem;
mod proxy_settings;
mod reference;
mod section;
mod sections;

pub use check::{check_configuration, read_part};
pub use chunks::{Chunk, ChunkHash, Head, assemble, split};
pub use configuration::{
    Configuration, ConfigurationPart, Group, PlacementRequest, Server, Service,
};
pub use host_settings::{
    ControlSettings, DaemonSettings, EndpointSettings, HostSettings, LogSettings, PlatformSettings,
    TlsSettings, TraceSettings,
};
pub use option_value::{
    Acknowledge, LogLevel, OptionValue, OwnerCount, ReadPolicy, UntrackedReads, WhenBehind,
};
pub use problem::{Problem, Problems};
pub use proxy_settings::{
    AccountLimitSettings, LeadershipSettings, MetadataSettings, OverloadSettings,
    ProxyDaemonSettings, ProxySettings,
};
pub use reference::reference_page;
pub use section::{OptionDoc, Section};
pub use sections::{
    FailoverOptions, GroupOptions, KindOptions, LeavingOptions, LimitOptions, RuleOptions,
    ServerOptions, ServiceOptions, UserOptions,
};
