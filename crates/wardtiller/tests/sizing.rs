//! Checks the arithmetic of the capacity model.

use wardtiller::sizing::{
    ControlLimits, ControlPlan, PlannedSize, UnitCosts, broadcast_hops, control_costs,
    render_costs, store_load,
};

const PLAN: ControlPlan = ControlPlan {
    name: "a plan",
    owners: 3.0,
    heartbeat_s: 2.0,
    gossip_s: 2.0,
    watchers_per_zone: 2.0,
    host_list_s: 5.0,
};

const UNIT_COSTS: UnitCosts = UnitCosts {
    status_bytes: 500.0,
    status_cpu_us: 40.0,
    gossip_bytes: 100.0,
    gossip_bytes_per_group: 25.0,
    gossip_cpu_us: 100.0,
    member_bytes: 200.0,
    configured_group_bytes: 4_000.0,
    owned_group_bytes: 200_000.0,
    group_text_bytes: 400.0,
    change_cpu_us_per_group: 1.6,
    owners_cpu_ns_per_member: 35.0,
};

#[test]
fn an_owner_requests_the_status_of_each_server_once_per_heartbeat() {
    let costs = control_costs(&PlannedSize::default(), &PLAN, &UNIT_COSTS);
    // 22,000 groups × 3 owners / 4,000 daemons = 16.5 groups, 3 servers each, every 2 s.
    assert!((costs[0].messages_per_s - 49.5).abs() < 1e-9);
    assert!((costs[0].bytes_per_s - 24.75 * 500.0).abs() < 1e-9);
    assert!((costs[0].core_share - 24.75 * 40e-6).abs() < 1e-12);
    assert!((costs[0].memory_bytes - 3.3e6).abs() < 1e-3);
}

#[test]
fn the_number_of_watches_depends_on_zones_and_not_on_daemons() {
    let size = PlannedSize::default();
    let doubled = PlannedSize { daemons: 2.0 * size.daemons, ..size };
    let (load, twice) = (store_load(&size, &PLAN), store_load(&doubled, &PLAN));
    assert_eq!(load.open_watches, 64.0);
    assert_eq!(twice.open_watches, 64.0);
    assert_eq!(twice.reads_per_change, load.reads_per_change);
}

#[test]
fn the_number_of_broadcast_hops_is_logarithmic() {
    assert_eq!(broadcast_hops(4_000.0, 3.0), 6.0);
    assert_eq!(broadcast_hops(8.0, 3.0), 2.0);
}

#[test]
fn the_table_shows_the_total_and_the_limits() {
    let costs = control_costs(&PlannedSize::default(), &PLAN, &UNIT_COSTS);
    let table = render_costs(&costs, &ControlLimits::default());
    assert!(table.contains("| limit | | 26.0 | 1.20 % | 128.0 |"), "{table}");
    assert!(table.contains("| all of control |"), "{table}");
}
