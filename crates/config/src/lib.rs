//! The operators' configuration of wardtiller.
//!
//! Two INI files exist: the *configuration*, which is shared by every daemon and applied whole or not
//! at all ([`Configuration`]), and the *settings* of one host ([`HostSettings`]). Every option is a
//! field of a small config struct whose `Default` is the documented default; the reference page
//! `docs/CONFIGURATION.md` is compared with these structs by a test.

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
