//! Who looks at a server that others suspect, how often, and what of it goes to the store.

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

/// The load: hundreds of daemons, of which one can't reach a server. Each that looks opens a connection.
#[test]
fn so_many_look_at_a_server_however_many_daemons_there_are() {
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

/// No daemon is a witness of everything.
#[test]
fn witnesses_of_many_servers_are_spread() {
    let hosts = hosts(300);
    let members = || hosts.iter().map(String::as_str);
    let servers: Vec<String> = (0..1_000).map(|number| format!("i-{number}")).collect();
    let of_one = |host| servers.iter().filter(|server| is_witness(server, host, members())).count();
    let most = members().step_by(30).map(of_one).max();
    let mean = servers.len() * MAX_WITNESSES / hosts.len();
    assert!(most <= Some(2 * mean), "{most:?} where the mean is {mean}");
}

/// The load: all witnesses of a server say within a second that they can't reach it.
#[test]
fn a_server_is_looked_at_once_a_second() {
    let pair = (Name::from("s"), Name::from("i-1"));
    let other = (Name::from("s"), Name::from("i-2"));
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut looks = ProbeSchedule::default();
    let now: Vec<bool> = (0..45).map(|word| looks.on_suspected(&pair, at(word * 20))).collect();
    assert_eq!(now.iter().filter(|look| **look).count(), 1);
    assert!(looks.on_suspected(&other, at(500)), "each server by itself");
    assert_eq!(looks.take_due(at(900)), []);
    // Somebody suspected it after the look, so there is another one; nobody did after that.
    assert_eq!(looks.take_due(at(1_100)), std::slice::from_ref(&pair));
    assert_eq!(looks.take_due(at(2_200)), []);
    assert!(looks.on_suspected(&pair, at(2_300)));
}

fn keys(count: usize) -> BTreeSet<String> {
    (0..count).map(|number| format!("suspicions/s/i-{number:03}/host-0")).collect()
}

/// The load: a daemon that can't reach any of three hundred servers.
#[test]
fn many_suspicions_are_told_in_a_few_writes_and_each_once() {
    let (start, wanted) = (Instant::now(), keys(300));
    let mut told = ReportedSuspicions::default();
    let mut writes = 0;
    let mut put = BTreeSet::new();
    loop {
        let untold = told.pending_writes(&wanted, start, |_| true);
        if untold.is_empty() {
            break;
        }
        writes += 1;
        put.extend(untold.puts.iter().cloned());
        assert!(untold.removes.is_empty());
        told.on_written(&untold, start);
    }
    assert_eq!((put, writes), (wanted, 10));
}

#[test]
fn a_suspicion_that_the_store_lost_is_told_again_and_one_that_ended_is_taken_back() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (wanted, none) = (keys(1), BTreeSet::new());
    let key = wanted.first().unwrap().clone();
    let put = PendingSuspicionWrites { puts: vec![key.clone()], removes: Vec::new() };
    let take_back = PendingSuspicionWrites { puts: Vec::new(), removes: vec![key.clone()] };
    let mut told = ReportedSuspicions::default();
    assert_eq!(told.pending_writes(&wanted, at(0), |_| true), put);
    told.on_written(&put, at(0));
    assert!(told.pending_writes(&wanted, at(500), |_| true).is_empty(), "it is on its way back");
    assert_eq!(
        told.pending_writes(&none, at(600), |_| true),
        take_back,
        "before the store shows it"
    );
    assert_eq!(told.pending_writes(&wanted, at(1_100), |_| true), put, "it never came");
    told.on_store_change(&key, true);
    assert!(told.pending_writes(&wanted, at(1_200), |_| true).is_empty());
    assert_eq!(told.pending_writes(&none, at(1_300), |_| true), take_back);
    told.on_written(&take_back, at(1_300));
    assert!(told.pending_writes(&none, at(1_400), |_| true).is_empty());
    // It came back under the same name while that was on its way.
    assert_eq!(told.pending_writes(&wanted, at(1_500), |_| true), put);
    told.on_store_change(&key, false);
    assert_eq!(
        told.pending_writes(&wanted, at(1_600), |_| true),
        put,
        "the lease it stood under ended"
    );
}

#[test]
fn what_is_not_worth_telling_is_not_told_but_taken_back() {
    let start = Instant::now();
    let wanted = keys(3);
    let key = wanted.first().unwrap().clone();
    let mut told = ReportedSuspicions::default();
    told.on_store_change(&key, true);
    assert!(told.pending_writes(&wanted, start, |_| false).is_empty());
    assert_eq!(told.pending_writes(&BTreeSet::new(), start, |_| false).removes, [key]);
}
