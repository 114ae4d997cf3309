//! The capacity model of `docs/CAPACITY.md`: projects measured unit costs to a planned size.
//!
//! `examples/sizing.rs` measures the unit costs. This module only does the arithmetic.

use std::fmt::Write;

/// The size of a planned installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSize {
    /// The number of daemons.
    pub daemons: f64,
    /// The number of database groups.
    pub groups: f64,
    /// Servers per group.
    pub servers_per_group: f64,
    /// The number of client connections.
    pub callers: f64,
    /// Statements per second.
    pub statements_per_s: f64,
    /// The number of regions.
    pub regions: f64,
    /// The number of availability zones.
    pub zones: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Daemons restarted or replaced per day.
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

/// The settings that determine the cost of the control work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlPlan {
    /// The name in the report.
    pub name: &'static str,
    /// Owners per group.
    pub owners: f64,
    /// The interval between two status requests to a server, in seconds.
    pub heartbeat_s: f64,
    /// The interval between two gossip exchanges, in seconds.
    pub gossip_s: f64,
    /// Daemons per zone that watch the store.
    pub watchers_per_zone: f64,
    /// The interval between two reads of the host list by a watcher, in seconds.
    pub host_list_s: f64,
}

/// Measured unit costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitCosts {
    /// Bytes of a status request and its response together.
    pub status_bytes: f64,
    /// CPU time of a status request on the watch thread, in microseconds.
    pub status_cpu_us: f64,
    /// Bytes of a gossip message that lists no group.
    pub gossip_bytes: f64,
    /// Bytes that each shared group adds to a gossip message.
    pub gossip_bytes_per_group: f64,
    /// CPU time of a gossip exchange, in microseconds.
    pub gossip_cpu_us: f64,
    /// Memory of a daemon in the member list, in bytes.
    pub member_bytes: f64,
    /// Memory of a group and its servers in the active configuration, in bytes.
    pub configured_group_bytes: f64,
    /// Memory of the state of an owned group without its connections, in bytes.
    pub owned_group_bytes: f64,
    /// Bytes of a group in the text of the configuration.
    pub group_text_bytes: f64,
    /// CPU time to apply a configuration change, in microseconds per configured group.
    pub change_cpu_us_per_group: f64,
    /// CPU time to select the owners of a group, in nanoseconds per member.
    pub owners_cpu_ns_per_member: f64,
}

/// The resource limits for the control work of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlLimits {
    /// CPU time, as a share of a core.
    pub core_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Bytes per second.
    pub bytes_per_s: f64,
}

impl Default for ControlLimits {
    fn default() -> ControlLimits {
        ControlLimits { core_share: 0.012, memory_bytes: 128e6, bytes_per_s: 26e3 }
    }
}

/// The cost of one role on one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleCost {
    /// The role.
    pub role: &'static str,
    /// Messages per second, in and out.
    pub messages_per_s: f64,
    /// Bytes per second, in and out.
    pub bytes_per_s: f64,
    /// CPU time, as a share of a core.
    pub core_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Computes the cost of the control work on one daemon, by role.
pub fn control_costs(
    size: &PlannedSize,
    plan: &ControlPlan,
    unit_costs: &UnitCosts,
) -> Vec<RoleCost> {
    let owned = size.groups * plan.owners / size.daemons;
    let status_requests_per_s = owned * size.servers_per_group / plan.heartbeat_s;
    // Each daemon receives as many gossip exchanges as it starts.
    let exchanges_per_s = 2.0 / plan.gossip_s;
    let shared_groups = owned * (plan.owners - 1.0) / (size.daemons / size.regions);
    let message_bytes = unit_costs.gossip_bytes + shared_groups * unit_costs.gossip_bytes_per_group;
    let change_bytes = changed_chunk_bytes(size, unit_costs);
    let changes_per_s = size.changes_per_day / SECONDS_PER_DAY;
    let head_bytes = chunks(size, unit_costs) * CHUNK_NAME_BYTES;
    let regional_groups = size.groups / size.regions;
    let member_changes_per_s = 2.0 * size.restarts_per_day / size.regions / SECONDS_PER_DAY;
    let regional_members = size.daemons / size.regions;
    vec![
        RoleCost {
            role: "owner of groups",
            messages_per_s: 2.0 * status_requests_per_s,
            bytes_per_s: status_requests_per_s * unit_costs.status_bytes,
            core_share: status_requests_per_s * unit_costs.status_cpu_us / 1e6,
            memory_bytes: owned * unit_costs.owned_group_bytes,
        },
        RoleCost {
            role: "gossip and member tracking",
            messages_per_s: 2.0 * exchanges_per_s,
            bytes_per_s: exchanges_per_s * 2.0 * message_bytes,
            core_share: exchanges_per_s * unit_costs.gossip_cpu_us / 1e6
                + member_changes_per_s
                    * regional_groups
                    * regional_members
                    * unit_costs.owners_cpu_ns_per_member
                    / 1e9,
            memory_bytes: size.daemons * unit_costs.member_bytes,
        },
        RoleCost {
            role: "configuration",
            messages_per_s: 4.0 * changes_per_s,
            bytes_per_s: changes_per_s * (change_bytes + head_bytes),
            core_share: changes_per_s * size.groups * unit_costs.change_cpu_us_per_group / 1e6,
            memory_bytes: size.groups
                * (unit_costs.configured_group_bytes + unit_costs.group_text_bytes),
        },
    ]
}

/// The target size of a configuration chunk, in bytes.
const CHUNK_BYTES: f64 = 32.0 * 1024.0;

/// Bytes of a chunk name in the configuration head: 32 hexadecimal digits, quotes and a comma.
const CHUNK_NAME_BYTES: f64 = 35.0;

fn chunks(size: &PlannedSize, unit_costs: &UnitCosts) -> f64 {
    let text = size.groups * unit_costs.group_text_bytes;
    let target_count = (text / CHUNK_BYTES).max(1.0);
    2_f64.powf(target_count.log2().ceil())
}

fn changed_chunk_bytes(size: &PlannedSize, unit_costs: &UnitCosts) -> f64 {
    size.groups * unit_costs.group_text_bytes / chunks(size, unit_costs)
}

/// The load on the metadata store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLoad {
    /// Open watches while nothing changes.
    pub open_watches: f64,
    /// Reads per second while nothing changes.
    pub steady_reads_per_s: f64,
    /// Reads caused by one configuration change.
    pub reads_per_change: f64,
    /// Reads per second, averaged over a day with its changes and restarts.
    pub daily_reads_per_s: f64,
    /// Writes per second, averaged over a day.
    pub daily_writes_per_s: f64,
    /// Reads when all daemons of a zone start at the same time.
    pub zone_restart_reads: f64,
}

/// Computes the load on the store. A watcher renews its watch every 30 s, and any other daemon reads once a minute. A
/// starting daemon reads the configuration head and the host list, and gets the chunks from another daemon.
pub fn store_load(size: &PlannedSize, plan: &ControlPlan) -> StoreLoad {
    let watchers = size.zones * plan.watchers_per_zone;
    let others = size.daemons - watchers;
    let steady = watchers / 30.0 + watchers / plan.host_list_s + others / 60.0;
    // The head and the changed chunk.
    let reads_per_change = watchers * 2.0;
    let changes_per_s = size.changes_per_day / SECONDS_PER_DAY;
    let reads_per_start = 2.0;
    let starts_per_s = size.restarts_per_day / SECONDS_PER_DAY;
    StoreLoad {
        open_watches: watchers,
        steady_reads_per_s: steady,
        reads_per_change,
        daily_reads_per_s: steady
            + changes_per_s * reads_per_change
            + starts_per_s * reads_per_start,
        daily_writes_per_s: changes_per_s * 3.0,
        zone_restart_reads: size.daemons / size.zones * reads_per_start,
    }
}

/// Returns the number of hops until a broadcast reaches every daemon, when each daemon forwards it to `fanout` others.
/// A broadcast can miss some daemons, which receive the update by gossip.
pub fn broadcast_hops(daemons: f64, fanout: f64) -> f64 {
    (daemons.ln() / (fanout + 1.0).ln()).ceil()
}

/// Formats the costs as a Markdown table with the limits below them.
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
