//! Decisions of a change of primary: when a group is fenced, and which server takes over.

use model::{LogPoint, Term};
use proxy::{
    control::{
        record::{ChosenServer, LeadershipRecord, has_stepped_down, is_fenced},
        selection::{StoppedServer, SuccessorSelection},
    },
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

fn stopped(server: &str, received: u64, leaving: bool, is_old_primary: bool) -> StoppedServer {
    StoppedServer {
        server: server.to_owned(),
        status: status(is_old_primary, 1, received, 2),
        leaving,
        is_old_primary,
    }
}

/// Guards against an order although a server that answered is not stopped, as one that has ignored a pause.
#[test]
fn a_group_is_fenced_by_a_majority_whose_statuses_show_it() {
    let server = |is_old_primary, leads, paused_for| StoppedServer {
        status: EndpointStatus { paused_for: Term(paused_for), ..status(leads, 1, 10, 0) },
        ..stopped("a", 10, false, is_old_primary)
    };
    let leading = || server(true, true, 0);
    let stepped_down = || server(true, false, 0);
    let paused = || server(false, false, 2);
    let resumed = || server(false, false, 0);
    let cases = [
        ("the replicas are paused", vec![leading(), paused(), paused()], true),
        ("the old primary does not answer", vec![paused(), paused()], true),
        ("one replica was resumed", vec![leading(), paused(), resumed()], false),
        ("the old primary stepped down", vec![stepped_down(), paused()], true),
        ("one server is no majority", vec![stepped_down(), resumed()], false),
        ("paused for an earlier term", vec![paused(), server(false, false, 1)], false),
        ("paused for a later term", vec![paused(), server(false, false, 3)], true),
    ];
    for (name, answered, expected) in cases {
        assert_eq!(is_fenced(&answered, Term(2), 3), expected, "{name}");
    }
    assert!(has_stepped_down(&[stepped_down()]));
    assert!(!has_stepped_down(&[leading(), resumed()]));
}

/// Guards against an optional change that is called off because the primary has just committed something.
#[test]
fn a_replica_that_lacks_the_last_entries_can_take_over_from_a_leading_primary() {
    let record = LeadershipRecord { term: 1, primary: "a".to_owned(), ..Default::default() };
    let succession = SuccessorSelection { may_keep_primary: true, ..succession(&record) };
    let primary = || stopped("a", 12, false, true);
    let replica = || stopped("b", 10, false, false);
    assert_eq!(succession.choose(&[primary(), replica()]).unwrap().server, "a");
    assert!(succession.has_successor(&[primary(), replica()]));
    assert!(!succession.has_successor(&[primary()]));
}

/// A group of three servers whose primary in term 1 is `a`.
fn succession(record: &LeadershipRecord) -> SuccessorSelection<'_> {
    SuccessorSelection {
        record,
        servers: 3,
        synchronous_replicas: 0,
        may_keep_primary: false,
        is_primary_listed: true,
        has_primary_restarted: false,
    }
}

fn first_record() -> LeadershipRecord {
    LeadershipRecord { term: 1, primary: "a".to_owned(), ..LeadershipRecord::default() }
}

#[test]
fn the_successor_has_the_longest_log_and_is_not_leaving() {
    let chosen = |server: &str, kept_position| {
        Some(ChosenServer { server: server.to_owned(), kept_position })
    };
    let old = stopped("a", 9, true, true);
    let behind = stopped("b", 7, false, false);
    let ahead = stopped("c", 9, false, false);
    let leaving = stopped("d", 9, true, false);
    let cases = [
        ("the longest log", vec![old.clone(), behind.clone(), ahead.clone()], 0, chosen("c", 9)),
        (
            "a shorter log than the old primary's",
            vec![old.clone(), behind.clone()],
            0,
            chosen("b", 7),
        ),
        ("a server that is not leaving", vec![leaving.clone(), ahead.clone()], 0, chosen("c", 9)),
        ("a leaving server with a longer log", vec![leaving, behind.clone()], 0, chosen("d", 9)),
        ("never the old primary", vec![old.clone()], 0, None),
        ("too few servers to include every acknowledged write", vec![behind.clone()], 1, None),
        ("enough servers", vec![behind, ahead], 1, chosen("c", 9)),
    ];
    let record = first_record();
    for (name, servers, synchronous_replicas, expected) in cases {
        let succession = SuccessorSelection { synchronous_replicas, ..succession(&record) };
        assert_eq!(succession.choose(&servers), expected, "{name}");
    }
}

/// Guards against a promotion that loses acknowledged commits: only the old primary's log, or so many replicas that one of
/// them must have received each commit, show which log has all of them.
#[test]
fn with_synchronous_replicas_the_successor_has_every_acknowledged_commit() {
    // Term 2 started after 30 entries; its primary `a` is being replaced.
    let chosen_at_30 = ChosenServer { server: "a".to_owned(), kept_position: 30 };
    let record = first_record().with_new_primary(&chosen_at_30, None, 2);
    let server = |server: &str, term, received, is_old_primary| StoppedServer {
        server: server.to_owned(),
        status: status(false, term, received, 3),
        leaving: false,
        is_old_primary,
    };
    let primary = || server("a", 2, 40, true);
    let replica = |name, received| server(name, 2, received, false);
    let cases = [
        ("a replica that lacks what the primary holds", vec![primary(), replica("b", 39)], 3, "a"),
        ("a replica that has received everything", vec![primary(), replica("b", 40)], 3, "b"),
        ("one replica alone", vec![replica("b", 39)], 3, ""),
        ("both replicas", vec![replica("b", 39), replica("c", 38)], 3, "b"),
        (
            "both, one of them with discarded entries",
            vec![replica("b", 39), server("c", 1, 31, false)],
            3,
            "",
        ),
        (
            "the longer log, whose server has not heard of the term",
            vec![replica("b", 20), server("c", 1, 30, false)],
            3,
            "c",
        ),
        (
            "three of five with the primary",
            vec![primary(), replica("b", 39), replica("c", 30)],
            5,
            "a",
        ),
        (
            "three of five without it",
            vec![replica("b", 39), replica("c", 39), replica("d", 39)],
            5,
            "",
        ),
        (
            "an old primary that has lost its log",
            vec![server("a", 0, 0, true), replica("b", 39)],
            3,
            "",
        ),
    ];
    for (name, servers, group_size, expected) in cases {
        let succession = SuccessorSelection {
            synchronous_replicas: 1,
            servers: group_size,
            ..succession(&record)
        };
        let chosen = succession.choose(&servers).map_or(String::new(), |chosen| chosen.server);
        assert_eq!(chosen, expected, "{name}");
    }
    let unlisted = SuccessorSelection {
        synchronous_replicas: 1,
        servers: 1,
        is_primary_listed: false,
        ..succession(&record)
    };
    assert_eq!(unlisted.choose(&[server("c", 1, 31, false)]), None, "a lost history");
    let restarted = SuccessorSelection {
        synchronous_replicas: 1,
        has_primary_restarted: true,
        ..succession(&record)
    };
    assert_eq!(restarted.choose(&[primary(), replica("b", 40)]), None, "a restarted primary");
}

#[test]
fn a_server_chosen_earlier_is_promoted_only_with_every_acknowledged_commit() {
    let record = first_record();
    let with_replicas =
        |synchronous_replicas| SuccessorSelection { synchronous_replicas, ..succession(&record) };
    let chosen = ChosenServer { server: "b".to_owned(), kept_position: 7 };
    let (behind, ahead) = (stopped("b", 7, false, false), stopped("c", 9, false, false));
    assert!(!with_replicas(1).may_promote(&chosen, &[behind.clone(), ahead.clone()]));
    assert!(!with_replicas(1).may_promote(&chosen, std::slice::from_ref(&ahead)));
    assert!(with_replicas(1).may_promote(&chosen, &[behind.clone(), behind.clone()]));
    assert!(with_replicas(0).may_promote(&chosen, &[behind, ahead]));
}

#[test]
fn an_optional_change_keeps_the_primary_unless_a_replica_has_caught_up() {
    let old = stopped("a", 9, false, true);
    let behind = stopped("b", 8, false, false);
    let level = stopped("c", 9, false, false);
    let record = first_record();
    let succession = SuccessorSelection { may_keep_primary: true, ..succession(&record) };
    let chosen = |servers: &[StoppedServer]| succession.choose(servers).unwrap().server;
    assert_eq!(chosen(&[old.clone(), behind.clone()]), "a");
    assert_eq!(chosen(&[old, behind, level]), "c");
}

#[test]
fn a_successor_holds_no_discarded_writes() {
    // Term 2 started after nine entries; its primary `b` is being replaced.
    let chosen_at_nine = ChosenServer { server: "b".to_owned(), kept_position: 9 };
    let record = first_record().with_new_primary(&chosen_at_nine, None, 2);
    let server = |server: &str, term, received, is_old_primary| StoppedServer {
        server: server.to_owned(),
        status: status(false, term, received, 3),
        leaving: false,
        is_old_primary,
    };
    let former = |received| server("a", 1, received, false);
    let follower = |received| server("c", 2, received, false);
    let primary = || server("b", 2, 40, true);
    let chosen = |server: &str, kept_position| {
        Some(ChosenServer { server: server.to_owned(), kept_position })
    };
    let cases = [
        (
            "a follower rather than a longer discarded log",
            vec![former(12), follower(10)],
            true,
            chosen("c", 10),
        ),
        ("the primary that stepped down", vec![former(12), primary()], true, chosen("b", 40)),
        ("none while the primary may come back", vec![former(12)], true, None),
        ("a log that ends at the start of the term", vec![former(9)], true, chosen("a", 9)),
        ("none while a server that may hold more is unreachable", vec![former(12)], false, None),
        (
            "a remaining server after the history is lost",
            vec![former(12), server("c", 1, 8, false)],
            false,
            chosen("c", 8),
        ),
        (
            "a log with discarded writes if there is no other",
            vec![former(12), server("c", 1, 11, false)],
            false,
            chosen("a", 12),
        ),
    ];
    for (name, servers, is_primary_listed, expected) in cases {
        let servers_listed = if is_primary_listed { 3 } else { 2 };
        let succession = SuccessorSelection {
            is_primary_listed,
            servers: servers_listed,
            ..succession(&record)
        };
        assert_eq!(succession.choose(&servers), expected, "{name}");
    }
}
