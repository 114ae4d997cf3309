//! Witnesses of a server, the rate of probes, and the suspicions that are written to the store.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::Name;
use proxy::control::{
    probe_schedule::ProbeSchedule,
    reported_suspicions::{PendingSuspicionWrites, ReportedSuspicions},
    witnesses::{MAX_WITNESSES, is_witness, witnesses_of},
};

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

/// Bounds the connections to a server that one of hundreds of daemons can't reach.
#[test]
fn the_number_of_witnesses_is_bounded_in_any_fleet() {
    for count in [1, 12, 45, 88, 300, 1_000] {
        let hosts = hosts(count);
        let members = || hosts.iter().map(String::as_str);
        let witnesses: BTreeSet<&str> = witnesses_of("i-1", members()).into_iter().collect();
        assert_eq!(witnesses.len(), count.min(MAX_WITNESSES), "of {count}");
        for host in members() {
            let expected = witnesses.contains(host);
            assert_eq!(is_witness("i-1", host, members()), expected, "{host} of {count}");
        }
    }
}

/// Guards against one daemon being a witness of most servers.
#[test]
fn witnesses_of_many_servers_are_distributed() {
    let hosts = hosts(300);
    let members = || hosts.iter().map(String::as_str);
    let servers: Vec<String> = (0..1_000).map(|number| format!("i-{number}")).collect();
    let of_one = |host| servers.iter().filter(|server| is_witness(server, host, members())).count();
    let most = members().step_by(30).map(of_one).max();
    let mean = servers.len() * MAX_WITNESSES / hosts.len();
    assert!(most <= Some(2 * mean), "{most:?} where the mean is {mean}");
}

/// All witnesses of a server report it within a second.
#[test]
fn a_server_is_probed_once_per_interval() {
    let pair = (Name::from("s"), Name::from("i-1"));
    let other = (Name::from("s"), Name::from("i-2"));
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut schedule = ProbeSchedule::default();
    let now: Vec<bool> =
        (0..45).map(|report| schedule.on_suspected(&pair, at(report * 20))).collect();
    assert_eq!(now.iter().filter(|is_due| **is_due).count(), 1);
    assert!(schedule.on_suspected(&other, at(500)), "each server has its own schedule");
    assert_eq!(schedule.take_due(at(900)), []);
    // It was suspected after the first probe, so a second one is due; it was not suspected again.
    assert_eq!(schedule.take_due(at(1_100)), std::slice::from_ref(&pair));
    assert_eq!(schedule.take_due(at(2_200)), []);
    assert!(schedule.on_suspected(&pair, at(2_300)));
}

fn keys(count: usize) -> BTreeSet<String> {
    (0..count).map(|number| format!("suspicions/s/i-{number:03}/host-0")).collect()
}

/// A daemon can't reach any of three hundred servers.
#[test]
fn many_suspicions_are_written_in_batches_and_each_once() {
    let (start, wanted) = (Instant::now(), keys(300));
    let mut reported = ReportedSuspicions::default();
    let mut writes = 0;
    let mut put = BTreeSet::new();
    loop {
        let pending = reported.pending_writes(&wanted, start, |_| true);
        if pending.is_empty() {
            break;
        }
        writes += 1;
        put.extend(pending.puts.iter().cloned());
        assert!(pending.removes.is_empty());
        reported.on_written(&pending, start);
    }
    assert_eq!((put, writes), (wanted, 10));
}

#[test]
fn a_lost_suspicion_is_written_again_and_an_ended_one_is_removed() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (wanted, none) = (keys(1), BTreeSet::new());
    let key = wanted.first().unwrap().clone();
    let put = PendingSuspicionWrites { puts: vec![key.clone()], removes: Vec::new() };
    let remove = PendingSuspicionWrites { puts: Vec::new(), removes: vec![key.clone()] };
    let mut reported = ReportedSuspicions::default();
    assert_eq!(reported.pending_writes(&wanted, at(0), |_| true), put);
    reported.on_written(&put, at(0));
    assert!(
        reported.pending_writes(&wanted, at(500), |_| true).is_empty(),
        "the watch may still return it"
    );
    assert_eq!(
        reported.pending_writes(&none, at(600), |_| true),
        remove,
        "before the watch returned it"
    );
    assert_eq!(
        reported.pending_writes(&wanted, at(1_100), |_| true),
        put,
        "the watch did not return it in time"
    );
    reported.on_store_change(&key, true);
    assert!(reported.pending_writes(&wanted, at(1_200), |_| true).is_empty());
    assert_eq!(reported.pending_writes(&none, at(1_300), |_| true), remove);
    reported.on_written(&remove, at(1_300));
    assert!(reported.pending_writes(&none, at(1_400), |_| true).is_empty());
    // The server is suspected again while the removal is in progress.
    assert_eq!(reported.pending_writes(&wanted, at(1_500), |_| true), put);
    reported.on_store_change(&key, false);
    assert_eq!(reported.pending_writes(&wanted, at(1_600), |_| true), put, "its lease has expired");
}

#[test]
fn a_disallowed_suspicion_is_not_written_but_removed() {
    let start = Instant::now();
    let wanted = keys(3);
    let key = wanted.first().unwrap().clone();
    let mut reported = ReportedSuspicions::default();
    reported.on_store_change(&key, true);
    assert!(reported.pending_writes(&wanted, start, |_| false).is_empty());
    assert_eq!(reported.pending_writes(&BTreeSet::new(), start, |_| false).removes, [key]);
}
