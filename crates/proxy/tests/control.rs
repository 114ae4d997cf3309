//! Decisions of the control thread: records, evidence, suspicion, the server list and the mirror.

use std::time::{Duration, Instant};

use bytes::Bytes;
use model::{LogPoint, Name, Term};
use proxy::{
    catalog::ServerEntry,
    control::{
        evidence::{
            HeldPrimaryLease, KnownLeader, LeaderByEvidence, judge_statuses,
            may_grant_primary_lease,
        },
        mirror::{Mirror, StoreUpdates},
        move_times::MoveTimes,
        record::{
            ChosenServer, FencingProgress, LeadershipRecord, PrimaryChange, PrimaryLeaseDurations,
            RecordSource, is_primary_lost,
        },
        servers::{Lapsed, ServerList},
    },
    metadata::{Change, Era, Item, Revision, Snapshot},
    statement::EndpointStatus,
};

fn status(leads: bool, term: u64, received: u64, paused_for: u64) -> EndpointStatus {
    EndpointStatus {
        leads,
        term: Term(term),
        received: LogPoint::new(term, received),
        paused_for: Term(paused_for),
        lag_ms: 0,
        connections: 1,
    }
}

#[test]
fn evidence_requires_a_majority_of_unstopped_servers_in_one_term() {
    let primary = || (Name::from("a"), status(true, 3, 9, 0));
    let replica = |name: &str| (Name::from(name), status(false, 3, 9, 0));
    let paused = |name: &str| (Name::from(name), status(false, 3, 9, 4));
    let newer = |name: &str| (Name::from(name), status(true, 4, 9, 0));
    let follower = |name: &str| (Name::from(name), status(false, 4, 9, 0));
    let found = |server: &str, term| {
        Some(LeaderByEvidence { server: Name::from(server), term: Term(term) })
    };
    let lease = |known: u64, server: &str, term: u64| HeldPrimaryLease {
        known_term: Term(known),
        usable_leader: found(server, term),
    };
    // After a lease has expired, a change of primary may have completed.
    let expired = |known: u64| HeldPrimaryLease { known_term: Term(known), usable_leader: None };
    let cases = [
        ("primary and a replica", vec![primary(), replica("b")], 3, found("a", 3)),
        ("the primary alone", vec![primary()], 3, None),
        ("replicas alone", vec![replica("b"), replica("c")], 3, None),
        ("a paused replica", vec![primary(), paused("b")], 3, None),
        ("one of two is paused", vec![primary(), paused("b"), replica("c")], 3, found("a", 3)),
        ("both are paused", vec![primary(), paused("b"), paused("c")], 3, None),
        ("a newer term, alone", vec![primary(), replica("c"), newer("b")], 3, None),
        ("a newer term, followed", vec![primary(), newer("b"), follower("c")], 3, found("b", 4)),
        ("two leading servers", vec![primary(), (Name::from("b"), status(true, 3, 9, 0))], 3, None),
        ("an older term than known", vec![primary(), replica("b")], 4, None),
        ("no answers", vec![], 3, None),
    ];
    for (name, statuses, known, expected) in cases {
        // The held lease is the one that the statuses have to confirm.
        let held = match &expected {
            Some(leader) => {
                HeldPrimaryLease { known_term: Term(known), usable_leader: Some(leader.clone()) }
            }
            None => lease(known, "a", 3),
        };
        assert_eq!(judge_statuses(&statuses, 3, &held), expected, "{name}");
    }
    let all = || vec![primary(), replica("b"), replica("c")];
    let cases = [
        ("a majority after the lease expired", vec![primary(), replica("b")], expired(3), None),
        ("all servers after the lease expired", all(), expired(3), found("a", 3)),
        ("one of them paused", vec![primary(), replica("b"), paused("c")], expired(3), None),
        ("a lease of another server", vec![primary(), replica("b")], lease(3, "b", 3), None),
        ("a lease in an earlier term", vec![primary(), replica("b")], lease(3, "a", 2), None),
        ("all servers in a later term", all(), lease(2, "b", 2), found("a", 3)),
    ];
    for (name, statuses, held, expected) in cases {
        assert_eq!(judge_statuses(&statuses, 3, &held), expected, "{name}");
    }
}

#[test]
fn evidence_grants_no_lease_against_later_knowledge() {
    let known = |term, changing, is_store_silent| KnownLeader {
        term: Term(term),
        changing,
        is_store_silent,
    };
    let cases = [
        ("the current term", 3, known(3, false, false), true),
        ("a later term", 4, known(3, false, true), true),
        ("an older term", 2, known(3, false, true), false),
        ("a change that the store shows now", 3, known(3, true, false), false),
        ("a later term during a change", 4, known(3, true, false), false),
        (
            "a change that was seen before the store stopped answering",
            3,
            known(3, true, true),
            true,
        ),
    ];
    for (name, found, known, expected) in cases {
        assert_eq!(may_grant_primary_lease(Term(found), known), expected, "{name}");
    }
}

#[test]
fn a_record_with_a_new_primary_contains_the_start_of_its_term() {
    let record =
        LeadershipRecord { term: 3, primary: "a".to_owned(), ..LeadershipRecord::default() };
    let settled = record.with_new_primary(
        &ChosenServer { server: "b".to_owned(), kept_position: 17 },
        None,
        4,
    );
    assert_eq!((settled.term, settled.primary.as_str()), (4, "b"));
    assert_eq!(settled.change, None);
    assert_eq!(settled.starts[0].term, Term(4));
    assert_eq!(settled.starts[0].start.0, 17);
    // The primary restarted under another identity, which starts no term.
    let restarted = record.with_new_primary(
        &ChosenServer { server: "c".to_owned(), kept_position: 17 },
        None,
        3,
    );
    assert_eq!((restarted.term, restarted.primary.as_str()), (3, "c"));
    assert!(restarted.starts.is_empty());
}

#[test]
fn a_stop_waits_for_evidence_and_unacknowledged_leases_to_expire() {
    let recorded_at = Instant::now();
    let bounds = PrimaryLeaseDurations {
        store: Duration::from_millis(1_500),
        evidence: Duration::from_millis(300),
    };
    let after = |ms| recorded_at + Duration::from_millis(ms);
    let progress =
        |fenced_at, all_acknowledged| FencingProgress { recorded_at, fenced_at, all_acknowledged };
    let complete = |progress: FencingProgress| progress.complete_at(bounds);
    assert_eq!(complete(progress(None, true)), None);
    assert_eq!(complete(progress(Some(after(20)), true)), Some(after(335)));
    assert_eq!(complete(progress(Some(after(20)), false)), Some(after(1_575)));
    assert_eq!(complete(progress(Some(after(2_000)), false)), Some(after(2_315)));
    // Stepping the old primary down of a planned change then delays nothing.
    assert_eq!(progress(None, true).step_down_at(bounds), recorded_at);
    assert_eq!(progress(None, false).step_down_at(bounds), after(1_260));
    assert_eq!(complete(progress(Some(after(1_260)), false)), Some(after(1_575)));
}

#[test]
fn a_third_of_the_witnesses_and_at_least_two_must_suspect_the_primary() {
    let cases = [
        (0, 0, false),
        (0, 1, false),
        (1, 1, true),
        (1, 2, false),
        (2, 2, true),
        (1, 3, false),
        (2, 3, true),
        (2, 9, false),
        (3, 9, true),
        (23, 71, false),
        (24, 71, true),
    ];
    for (suspecting, members, lost) in cases {
        assert_eq!(is_primary_lost(suspecting, members), lost, "{suspecting} of {members}");
    }
}

fn entry(server: &str, leaving: bool) -> ServerEntry {
    ServerEntry {
        server: Name::from(server),
        service: Name::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        availability_zone: Name::from("z"),
        slots: 3,
        leaving,
        claims_primary: false,
        incarnation: None,
    }
}

#[test]
fn a_lapsed_server_stays_listed_for_the_grace_time_and_a_leaving_one_does_not() {
    let now = Instant::now();
    let grace = Duration::from_millis(2_500);
    let mut servers = ServerList::default();
    servers.put("k/a", entry("a", false));
    servers.put("k/b", entry("b", true));
    assert!(!servers.remove("k/a", now), "the list is unchanged");
    assert!(servers.remove("k/b", now), "a leaving server is removed");
    let nothing = Lapsed::default();
    assert_eq!(servers.expire(grace, now + grace / 2), nothing);
    assert_eq!(servers.by_service()[&Name::from("s")].len(), 1);
    // An outage of the store restarts the grace time.
    servers.restart_grace(now + grace);
    assert_eq!(servers.expire(grace, now + grace), nothing);
    assert!(servers.put("k/a", entry("a", false)), "the entry is back");
    assert_eq!(servers.expire(grace, now + grace * 5), nothing);
    servers.remove("k/a", now + grace * 5);
    // The server may have left without announcing it: it gets no new reads, and if it leads, it is replaced.
    let leaving = Lapsed { leaving: vec![Name::from("a")], removed: Vec::new() };
    assert_eq!(servers.expire(grace, now + grace * 6), leaving);
    assert!(servers.by_service()[&Name::from("s")][0].leaving);
    assert_eq!(servers.expire(grace, now + grace * 6), nothing, "it is reported once");
    assert!(servers.put("k/a", entry("a", false)), "the entry is back again");
    assert!(!servers.by_service()[&Name::from("s")][0].leaving);
    servers.remove("k/a", now + grace * 7);
    assert_eq!(servers.expire(grace, now + grace * 8), leaving);
    let removed = Lapsed { leaving: Vec::new(), removed: vec![Name::from("a")] };
    assert_eq!(servers.expire(grace, now + grace * 9), removed);
    assert!(servers.by_service().is_empty());
}

/// A revision of a store without eras.
fn at(number: u64) -> Revision {
    Revision::new(Era::NONE, number)
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Bytes::new(), revision: at(revision), created: at(1) }
}

#[test]
fn the_mirror_applies_changes_by_revision_in_any_order() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply(Change::Put(item("p/a", 5))));
    assert!(!mirror.apply(Change::Put(item("p/a", 4))), "an older write");
    assert!(!mirror.apply(Change::Removed { key: "p/a".to_owned(), revision: at(3) }));
    assert!(mirror.apply(Change::Removed { key: "p/a".to_owned(), revision: at(6) }));
    assert!(!mirror.apply(Change::Put(item("p/a", 5))), "a write from before the removal");
    assert!(mirror.apply(Change::Put(item("p/a", 7))));
    assert!(mirror.apply(Change::Put(item("p/b", 9))));
    // A snapshot at revision 8 does not affect later changes.
    let snapshot = Snapshot { items: vec![item("p/c", 8)], revision: at(8) };
    let changes = mirror.changes_to("p/", snapshot);
    let keys: Vec<&str> = changes.iter().map(Change::key).collect();
    assert_eq!(keys, ["p/a", "p/c"]);
    for change in changes {
        assert!(mirror.apply(change));
    }
    let keys: Vec<&str> = mirror.below("p/").map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["p/b", "p/c"]);
}

#[test]
fn a_snapshot_does_not_affect_keys_outside_its_prefix() {
    let mut mirror = Mirror::default();
    mirror.apply(Change::Put(item("p/a", 5)));
    mirror.apply(Change::Put(item("q/a", 6)));
    let changes = mirror.changes_to("p/", Snapshot { items: Vec::new(), revision: at(9) });
    assert_eq!(changes, [Change::Removed { key: "p/a".to_owned(), revision: at(9) }]);
}

#[test]
fn updates_are_ordered_and_contain_each_key_once() {
    let mut mirror = Mirror::default();
    let removed =
        |key: &str, revision| Change::Removed { key: key.to_owned(), revision: at(revision) };
    for change in [
        Change::Put(item("p/a", 3)),
        Change::Put(item("p/b", 4)),
        Change::Put(item("p/a", 6)),
        removed("p/b", 7),
    ] {
        mirror.apply(change);
    }
    mirror.on_applied(at(7));
    let cases = [
        ("everything", 0, vec![Change::Put(item("p/a", 6)), removed("p/b", 7)]),
        ("after the last update", 6, vec![removed("p/b", 7)]),
        ("nothing", 7, Vec::new()),
        ("nothing, as it is ahead", 9, Vec::new()),
    ];
    for (name, after, expected) in cases {
        let updates = mirror.updates_since(at(after));
        assert_eq!(
            updates,
            StoreUpdates { changes: expected, is_whole: false, applied_revision: at(7) },
            "{name}"
        );
        assert_eq!(mirror.has_updates(at(after)), !updates.changes.is_empty(), "{name}");
    }
}

#[test]
fn a_follower_that_missed_a_forgotten_removal_gets_a_full_update() {
    let mut mirror = Mirror::default();
    mirror.apply(Change::Put(item("kept", 1)));
    for number in 0..2_000 {
        let key = format!("gone/{number}");
        mirror.apply(Change::Put(item(&key, 2 + 2 * number)));
        mirror.apply(Change::Removed { key, revision: at(3 + 2 * number) });
    }
    let updates = mirror.updates_since(at(5));
    assert!(updates.is_whole);
    assert_eq!(updates.changes, [Change::Put(item("kept", 1))]);
    let late = mirror.updates_since(at(3_999));
    assert!(!late.is_whole);
    assert_eq!(late.changes.len(), 1);
}

/// After a restore, revision numbers are reused and keys that are missing in the backup are removed.
#[test]
fn the_mirror_of_a_restored_store_ignores_changes_of_earlier_eras() {
    let restored = |number| Revision::new(Era(1), number);
    let put = |key: &str, revision| {
        Change::Put(Item { key: key.to_owned(), value: Bytes::new(), revision, created: revision })
    };
    let mut mirror = Mirror::default();
    for key in ["p/kept", "p/lost"] {
        mirror.apply(put(key, at(9)));
    }
    mirror.apply(Change::Removed { key: "p/gone".to_owned(), revision: at(10) });
    mirror.on_applied(at(10));
    assert!(!mirror.apply(put("p/early", restored(6))), "a change of an era that was not entered");
    mirror.enter_era(Era(1));
    let Change::Put(kept) = put("p/kept", restored(4)) else { unreachable!() };
    let changes = mirror.changes_to("", Snapshot { items: vec![kept], revision: restored(5) });
    for change in changes {
        assert!(mirror.apply(change));
    }
    mirror.on_applied(restored(5));
    assert_eq!(mirror.applied_revision(), restored(5));
    assert_eq!(mirror.last_revision(), restored(5));
    assert_eq!(mirror.get("p/kept").unwrap().revision, restored(4));
    assert!(mirror.get("p/lost").is_none());
    assert_eq!(mirror.removed_at("p/lost"), Some(restored(5)));
    assert!(!mirror.apply(put("p/kept", at(11))), "a delayed write");
    assert!(!mirror.apply(Change::Removed { key: "p/kept".to_owned(), revision: at(12) }));
    // A follower in the earlier era gets a full update, whatever its revision number.
    let updates = mirror.updates_since(at(u64::MAX));
    assert!(updates.is_whole && updates.changes.len() == 1, "{updates:?}");
    assert!(!mirror.updates_since(restored(4)).is_whole);
}

fn written(era: u64, edition: u64, term: u64) -> LeadershipRecord {
    LeadershipRecord { era, edition, term, primary: "i-1".to_owned(), ..Default::default() }
}

/// A known record replaces the one from the backup, but never one that was confirmed in the current era.
#[test]
fn the_latest_record_of_an_earlier_era_is_authoritative_until_one_is_confirmed() {
    use RecordSource::{Known, Stored};
    let changing = |chosen: Option<&str>| {
        let chosen =
            chosen.map(|server| ChosenServer { server: server.to_owned(), kept_position: 1 });
        let change = PrimaryChange { id: "1.1".to_owned(), reason: "gone".to_owned(), chosen };
        LeadershipRecord { change: Some(change), ..written(0, 0, 4) }
    };
    let cases = [
        ("no eras", Some(written(0, 0, 5)), Some(written(0, 0, 4)), 0, Stored),
        ("no eras, and none is stored", Some(written(0, 0, 5)), None, 0, Stored),
        ("a later term is known", Some(written(0, 0, 5)), Some(written(0, 0, 4)), 1, Known),
        ("the stored one is lost", Some(written(0, 0, 5)), None, 1, Known),
        ("nothing is known", None, Some(written(0, 0, 4)), 1, Stored),
        (
            "another daemon republished a later one",
            Some(written(0, 0, 5)),
            Some(written(0, 0, 6)),
            1,
            Stored,
        ),
        (
            "a promotion may have been ordered",
            Some(changing(Some("i-2"))),
            Some(changing(None)),
            1,
            Known,
        ),
        ("a later edition of a term", Some(written(1, 8, 4)), Some(written(1, 7, 4)), 2, Known),
        (
            "a delayed write of an earlier era",
            Some(written(2, 9, 5)),
            Some(written(1, 12, 6)),
            3,
            Known,
        ),
        ("confirmed meanwhile", Some(written(1, 9, 6)), Some(written(2, 3, 5)), 2, Stored),
    ];
    for (name, known, stored, era, expected) in cases {
        let source = RecordSource::choose(known.as_ref(), stored.as_ref(), Era(era));
        assert_eq!(source, expected, "{name}");
    }
}

/// Records of a store without eras keep their format.
#[test]
fn a_record_without_an_era_is_serialized_without_the_field() {
    let text = serde_json::to_string(&written(0, 0, 4)).unwrap();
    assert!(!text.contains("era") && !text.contains("edition"), "{text}");
}

/// A check that finds no replica caught up blocks the next one for a shorter time than a move does.
#[test]
fn the_primary_moves_at_a_limited_rate_when_replicas_are_behind() {
    let now = Instant::now() + Duration::from_secs(60);
    let ago = |ms: Option<u64>| ms.map(|ms| now - Duration::from_millis(ms));
    // Milliseconds since: replicas behind, last move, last check; whether the primary may move.
    let cases = [
        (None, None, None, false),
        (Some(100), None, None, true),
        (Some(700), None, None, false),
        (Some(100), Some(11_000), None, false),
        (Some(100), Some(13_000), None, true),
        (Some(100), None, Some(300), false),
        (Some(100), None, Some(1_000), true),
        (Some(100), Some(11_000), Some(1_000), false),
    ];
    for (behind, moved, checked, expected) in cases {
        let times =
            MoveTimes { behind_at: ago(behind), moved_at: ago(moved), checked_at: ago(checked) };
        assert_eq!(times.allow_move(now), expected, "{behind:?} {moved:?} {checked:?}");
    }
}
