//! Owners of connections: their number, their distribution, and the changes when hosts join or leave.

use std::collections::{BTreeSet, HashMap};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use routing::{OWNERS_PER_ZONE, connections_per_owner, owners_of};

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number}")).collect()
}

fn owners(server: &str, hosts: &[String]) -> Vec<String> {
    owners_of(server, hosts.iter().map(String::as_str)).into_iter().map(str::to_owned).collect()
}

#[test]
fn owners_leave_half_of_the_connections_free() {
    let cases = [
        // granted connections, zones, connections of each owner
        (128, 5, 6),
        (50, 3, 4),
        (20, 3, 1),
        (4, 3, 1),
        (0, 0, 1),
        (1_000, 3, 8),
    ];
    for (granted, zones, expected) in cases {
        let each = connections_per_owner(granted, zones);
        assert_eq!(each, expected, "{granted} in {zones} zones");
        let all = each * zones * OWNERS_PER_ZONE as u32;
        assert!(each == 1 || all * 2 <= granted, "{granted} in {zones} zones");
    }
}

#[test]
fn every_server_has_two_owners_and_no_host_owns_too_many_servers() {
    let (hosts, servers) = (names("host", 59), names("server", 60));
    let mut owned: HashMap<String, usize> = HashMap::new();
    for server in &servers {
        let found = owners(server, &hosts);
        assert_eq!(found.len(), OWNERS_PER_ZONE);
        assert_ne!(found[0], found[1]);
        for host in found {
            *owned.entry(host).or_default() += 1;
        }
    }
    // The mean is two servers per host; hashing does not balance the hosts exactly.
    assert!(owned.values().all(|count| *count <= 7), "{owned:?}");
}

#[test]
fn with_fewer_hosts_than_owners_all_hosts_own() {
    assert!(owners("server", &[]).is_empty());
    let one = names("host", 1);
    assert_eq!(owners("server", &one), one);
}

/// Simulates hosts that join and leave; only the servers of that host may change their owners.
#[test]
fn a_host_that_joins_or_leaves_moves_only_servers_that_it_owns() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((any::<bool>(), 0..40_usize), 1..30);
    runner
        .run(&steps, |steps| {
            let servers = names("server", 20);
            let mut hosts: BTreeSet<String> = names("host", 10).into_iter().collect();
            for (joins, number) in steps {
                let host = format!("host-{number}");
                let before: Vec<String> = hosts.iter().cloned().collect();
                let changed = match joins {
                    true => hosts.insert(host.clone()),
                    false => hosts.remove(&host),
                };
                let after: Vec<String> = hosts.iter().cloned().collect();
                for server in &servers {
                    let (old, new) = (owners(server, &before), owners(server, &after));
                    let affected = changed && (old.contains(&host) || new.contains(&host));
                    prop_assert!(affected || old == new, "{server} moved from {old:?} to {new:?}");
                    // The remaining owners keep their relative order.
                    let kept_before: Vec<_> = old.iter().filter(|it| new.contains(it)).collect();
                    let kept_after: Vec<_> = new.iter().filter(|it| old.contains(it)).collect();
                    prop_assert_eq!(kept_before, kept_after);
                }
            }
            Ok(())
        })
        .unwrap();
}
