//! Renders the reference tables in `docs/CONFIGURATION.md`.

use std::fmt::Write;

use crate::{
    AccountLimitSettings, ControlSettings, DaemonSettings, EndpointSettings, FailoverOptions,
    GroupOptions, KindOptions, LeadershipSettings, LeavingOptions, LimitOptions, LogSettings,
    MetadataSettings, OverloadSettings, PlatformSettings, ProxyDaemonSettings, RuleOptions,
    Section, ServerOptions, ServiceOptions, TlsSettings, TraceSettings, UserOptions,
};

/// Returns the tables of every section in Markdown, as they appear on the page.
pub fn reference_page() -> String {
    let mut page = String::from("## The shared configuration\n\n");
    render_section::<ServiceOptions>(&mut page);
    render_section::<GroupOptions>(&mut page);
    render_section::<ServerOptions>(&mut page);
    render_section::<KindOptions>(&mut page);
    render_section::<RuleOptions>(&mut page);
    render_section::<UserOptions>(&mut page);
    render_section::<LeavingOptions>(&mut page);
    render_section::<LimitOptions>(&mut page);
    render_section::<FailoverOptions>(&mut page);
    page.push_str("## The settings of one host\n\n");
    render_section::<DaemonSettings>(&mut page);
    render_section::<PlatformSettings>(&mut page);
    render_section::<ControlSettings>(&mut page);
    render_section::<EndpointSettings>(&mut page);
    render_section::<LogSettings>(&mut page);
    render_section::<TraceSettings>(&mut page);
    render_section::<TlsSettings>(&mut page);
    page.push_str("## The settings of one host of a fleet with a metadata store\n\n");
    render_section::<ProxyDaemonSettings>(&mut page);
    render_section::<MetadataSettings>(&mut page);
    render_section::<LeadershipSettings>(&mut page);
    render_section::<AccountLimitSettings>(&mut page);
    render_section::<OverloadSettings>(&mut page);
    render_section::<LogSettings>(&mut page);
    page
}

fn render_section<T: Section>(page: &mut String) {
    let header = format!("{} {}", T::KIND, T::NAME_PATTERN);
    let _ = writeln!(page, "### `[{}]`\n\n{}\n", header.trim(), T::DESCRIPTION.trim());
    page.push_str("| key | default | meaning |\n| --- | --- | --- |\n");
    for option in T::options() {
        let default = match option.default.as_str() {
            "" => "(unset)".to_owned(),
            default => format!("`{default}`"),
        };
        let _ = writeln!(page, "| `{}` | {default} | {} |", option.key, option.description);
    }
    page.push('\n');
}
