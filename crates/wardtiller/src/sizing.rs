//! The sums of `docs/CAPACITY.md`: from measured slopes to the planned size.
//!
//! The slopes are measured by `examples/sizing.rs`; here is only arithmetic, so that a reader can
//! redo it and a test can check it.

use std::fmt::Write;

/// What the design has to carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSize {
    /// Daemons.
    pub daemons: f64,
    /// Database groups.
    pub groups: f64,
    /// Servers of a group.
    pub servers_per_group: f64,
    /// Client connections.
    pub callers: f64,
    /// Statements each second.
    pub statements_per_s: f64,
    /// Regions.
    pub regions: f64,
    /// Availability zones.
    pub zones: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Daemons restarted or replaced a day.
    pub restarts_per_day: f64,
}

impl Default for PlannedSize {
    fn default() -> PlannedSize {
        PlannedSize {
            daemons: 4_000.0,
            groups: 22_000.0,
            servers_per_group: 3.0,
            callers: 11_000_000.0,
            statements_per_s: 15_000_000.0,
            regions: 12.0,
            zones: 32.0,
            changes_per_day: 15_000.0,
            restarts_per_day: 6_800.0,
        }
    }
}

/// The settings that decide how much control costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlPlan {
    /// The name of the plan.
    pub name: &'static str,
    /// Owners of a group.
    pub owners: f64,
    /// Seconds between two questions for a server's status.
    pub heartbeat_s: f64,
    /// Seconds between two exchanges of notes.
    pub gossip_s: f64,
    /// Daemons of each zone that watch the store.
    pub watchers_per_zone: f64,
    /// Seconds between two reads of the host list by a watcher.
    pub host_list_s: f64,
}

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slopes {
    /// Bytes of a status question and its answer, both ways.
    pub status_bytes: f64,
    /// Processor time of a status question on the watch thread, in microseconds.
    pub status_cpu_us: f64,
    /// Bytes of an exchange of notes without demands.
    pub gossip_bytes: f64,
    /// Bytes that each shared group adds to a note.
    pub gossip_bytes_per_group: f64,
    /// Processor time of an exchange of notes, in microseconds.
    pub gossip_cpu_us: f64,
    /// Bytes of a daemon in the member list.
    pub member_bytes: f64,
    /// Bytes of a group and its servers in the configuration in force.
    pub configured_group_bytes: f64,
    /// Bytes of the state of a group that is owned, without its connections.
    pub owned_group_bytes: f64,
    /// Bytes of a group in the configuration's text.
    pub group_text_bytes: f64,
    /// Processor time to take a change over, in microseconds for each configured group.
    pub change_cpu_us_per_group: f64,
    /// Processor time to choose the owners of a group, in nanoseconds for each member.
    pub owners_cpu_ns_per_member: f64,
}

/// The limits for control on one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlLimits {
    /// Processor time, as a share of a core.
    pub core_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Bytes each second.
    pub bytes_per_s: f64,
}

impl Default for ControlLimits {
    fn default() -> ControlLimits {
        ControlLimits { core_share: 0.012, memory_bytes: 128e6, bytes_per_s: 26e3 }
    }
}

/// What one role costs one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCost {
    /// The role.
    pub role: &'static str,
    /// Messages each second, in and out.
    pub messages_per_s: f64,
    /// Bytes each second, in and out.
    pub bytes_per_s: f64,
    /// Processor time, as a share of a core.
    pub core_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Works out what control costs one daemon, by role.
pub fn control_costs(size: &PlannedSize, plan: &ControlPlan, slopes: &Slopes) -> Vec<RoleCost> {
    let owned = size.groups * plan.owners / size.daemons;
    let asks_per_s = owned * size.servers_per_group / plan.heartbeat_s;
    // Each exchange is answered, and each daemon is asked as often as it asks.
    let exchanges_per_s = 2.0 / plan.gossip_s;
    let shared_groups = owned * (plan.owners - 1.0) / (size.daemons / size.regions);
    let note_bytes = slopes.gossip_bytes + shared_groups * slopes.gossip_bytes_per_group;
    let change_bytes = changed_chunk_bytes(size, slopes);
    let changes_per_s = size.changes_per_day / SECONDS_PER_DAY;
    let head_bytes = chunks(size, slopes) * CHUNK_NAME_BYTES;
    let regional_groups = size.groups / size.regions;
    let members_change_per_s = 2.0 * size.restarts_per_day / size.regions / SECONDS_PER_DAY;
    let regional_members = size.daemons / size.regions;
    vec![
        RoleCost {
            role: "owner of groups",
            messages_per_s: 2.0 * asks_per_s,
            bytes_per_s: asks_per_s * slopes.status_bytes,
            core_share: asks_per_s * slopes.status_cpu_us / 1e6,
            memory_bytes: owned * slopes.owned_group_bytes,
        },
        RoleCost {
            role: "gossip and member tracking",
            messages_per_s: 2.0 * exchanges_per_s,
            bytes_per_s: exchanges_per_s * 2.0 * note_bytes,
            core_share: exchanges_per_s * slopes.gossip_cpu_us / 1e6
                + members_change_per_s
                    * regional_groups
                    * regional_members
                    * slopes.owners_cpu_ns_per_member
                    / 1e9,
            memory_bytes: size.daemons * slopes.member_bytes,
        },
        RoleCost {
            role: "configuration",
            messages_per_s: 4.0 * changes_per_s,
            bytes_per_s: changes_per_s * (change_bytes + head_bytes),
            core_share: changes_per_s * size.groups * slopes.change_cpu_us_per_group / 1e6,
            memory_bytes: size.groups * (slopes.configured_group_bytes + slopes.group_text_bytes),
        },
    ]
}

/// The size that the configuration's chunks are aimed at, in bytes.
const CHUNK_BYTES: f64 = 32.0 * 1024.0;

/// Bytes of a chunk's name in the head: 32 digits, quotes and a comma.
const CHUNK_NAME_BYTES: f64 = 35.0;

fn chunks(size: &PlannedSize, slopes: &Slopes) -> f64 {
    let text = size.groups * slopes.group_text_bytes;
    let wanted = (text / CHUNK_BYTES).max(1.0);
    2_f64.powf(wanted.log2().ceil())
}

fn changed_chunk_bytes(size: &PlannedSize, slopes: &Slopes) -> f64 {
    size.groups * slopes.group_text_bytes / chunks(size, slopes)
}

/// Calls that the store gets each second, and watches that wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLoad {
    /// Watches that wait in the calm state.
    pub waiting_watches: f64,
    /// Reads each second in the calm state.
    pub calm_reads_per_s: f64,
    /// Reads that one change of the configuration causes.
    pub reads_per_change: f64,
    /// Reads each second averaged over a day of changes and restarts.
    pub daily_reads_per_s: f64,
    /// Writes each second averaged over a day.
    pub daily_writes_per_s: f64,
    /// Reads when every daemon of a zone starts at the same time.
    pub zone_restart_reads: f64,
}

/// Works out the store's load. A watcher renews its watch every 30 s; a daemon that does not watch
/// looks once a minute; a daemon that starts reads the head and the host list, and gets the chunks
/// from another daemon.
pub fn store_load(size: &PlannedSize, plan: &ControlPlan) -> StoreLoad {
    let watchers = size.zones * plan.watchers_per_zone;
    let others = size.daemons - watchers;
    let calm = watchers / 30.0 + watchers / plan.host_list_s + others / 60.0;
    // The head and the one chunk that changed.
    let reads_per_change = watchers * 2.0;
    let changes_per_s = size.changes_per_day / SECONDS_PER_DAY;
    let per_start = 2.0;
    let starts_per_s = size.restarts_per_day / SECONDS_PER_DAY;
    StoreLoad {
        waiting_watches: watchers,
        calm_reads_per_s: calm,
        reads_per_change,
        daily_reads_per_s: calm + changes_per_s * reads_per_change + starts_per_s * per_start,
        daily_writes_per_s: changes_per_s * 3.0,
        zone_restart_reads: size.daemons / size.zones * per_start,
    }
}

/// The hops that news needs to reach every daemon, when each daemon that hears it tells `fanout`
/// others at once: the spread covers a share of the daemons, gossip the rest.
pub fn spread_hops(daemons: f64, fanout: f64) -> f64 {
    (daemons.ln() / (fanout + 1.0).ln()).ceil()
}

/// Renders the costs as a table, each beside its limit.
pub fn render_costs(costs: &[RoleCost], limits: &ControlLimits) -> String {
    let mut text = String::from(
        "| role | messages/s | KB/s | core | MB |\n| --- | ---: | ---: | ---: | ---: |\n",
    );
    let mut total = RoleCost {
        role: "all of control",
        messages_per_s: 0.0,
        bytes_per_s: 0.0,
        core_share: 0.0,
        memory_bytes: 0.0,
    };
    for cost in costs {
        total.messages_per_s += cost.messages_per_s;
        total.bytes_per_s += cost.bytes_per_s;
        total.core_share += cost.core_share;
        total.memory_bytes += cost.memory_bytes;
    }
    for cost in costs.iter().chain([&total]) {
        let _ = writeln!(
            text,
            "| {} | {:.1} | {:.1} | {:.2} % | {:.1} |",
            cost.role,
            cost.messages_per_s,
            cost.bytes_per_s / 1e3,
            cost.core_share * 100.0,
            cost.memory_bytes / 1e6
        );
    }
    let _ = writeln!(
        text,
        "| limit | | {:.1} | {:.2} % | {:.1} |",
        limits.bytes_per_s / 1e3,
        limits.core_share * 100.0,
        limits.memory_bytes / 1e6
    );
    let _ = writeln!(
        text,
        "| used of the limit | | {:.2} × | {:.2} × | {:.2} × |",
        total.bytes_per_s / limits.bytes_per_s,
        total.core_share / limits.core_share,
        total.memory_bytes / limits.memory_bytes
    );
    text
}
