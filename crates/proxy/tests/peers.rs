//! Tests of the messages between daemons and of the use of another daemon's store read.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::{LogPoint, Name, Term};
use prost::Message;
use proxy::{
    control::{
        compression::decompress,
        peers::{
            ChangeMessage, ChangesMessage, ClockMessage, DaemonKeys, Evidence, FollowAnswer,
            FollowRequest, PrimarySample, ReadEffect, StoreRead, evaluate_read,
        },
    },
    metadata::{Change, Era, Item, Revision},
};

const MAX_READ_AGE: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A revision of a store without an era.
fn at(number: u64) -> Revision {
    Revision::new(Era::NONE, number)
}

fn revisions(records: &[(&str, u64)]) -> HashMap<Name, Revision> {
    records.iter().map(|(service, revision)| (Name::from(*service), at(*revision))).collect()
}

#[test]
fn a_shared_read_renews_the_records_it_showed_if_all_its_changes_are_applied() {
    let base = Instant::now() + ms(10_000);
    let read = StoreRead { asked_at: base, revision: at(20) };
    let keys = |applied_revision, member: Option<u64>, records: &[(&str, u64)]| DaemonKeys {
        applied_revision: at(applied_revision),
        member: member.map(at),
        records: revisions(records),
    };
    let renews = |services: &[&str]| {
        ReadEffect::Renews(services.iter().map(|service| Name::from(*service)).collect())
    };
    let cases = [
        ("everything that it showed", keys(20, Some(3), &[("a", 5)]), 300, renews(&["a"])),
        ("a record as old as it", keys(20, Some(3), &[("a", 20)]), 300, renews(&["a"])),
        ("a later change is applied", keys(30, Some(3), &[("a", 21)]), 300, renews(&[])),
        ("a change may be missing", keys(19, Some(3), &[("a", 5)]), 300, ReadEffect::RenewsNothing),
        ("not a member", keys(20, None, &[("a", 5)]), 300, ReadEffect::RenewsNothing),
        (
            "a member only since then",
            keys(30, Some(21), &[("a", 5)]),
            300,
            ReadEffect::RenewsNothing,
        ),
        ("too old", keys(20, Some(3), &[("a", 5)]), 701, ReadEffect::RenewsNothing),
    ];
    for (name, keys, age_ms, expected) in cases {
        assert_eq!(
            evaluate_read(&read, base + ms(age_ms), MAX_READ_AGE, &keys),
            expected,
            "{name}"
        );
    }
}

/// Guards against equal revision numbers of different eras being compared, because a restored store reuses them.
#[test]
fn a_shared_read_of_another_era_renews_nothing() {
    let base = Instant::now() + ms(10_000);
    let restored = |number| Revision::new(Era(2), number);
    let keys = DaemonKeys {
        applied_revision: at(20),
        member: Some(at(3)),
        records: revisions(&[("a", 5)]),
    };
    let later = StoreRead { asked_at: base, revision: restored(10) };
    assert_eq!(evaluate_read(&later, base, MAX_READ_AGE, &keys), ReadEffect::RenewsNothing);
    let keys = DaemonKeys { applied_revision: restored(10), member: Some(restored(3)), ..keys };
    let earlier = StoreRead { asked_at: base, revision: at(20) };
    assert_eq!(evaluate_read(&earlier, base, MAX_READ_AGE, &keys), ReadEffect::RenewsNothing);
}

#[test]
fn contents_of_a_delayed_answer_never_look_younger_than_they_are() {
    let base = Instant::now() + ms(10_000);
    // Sent at 0 ms, received at 40 ms, answered at 540 ms, and received back at any later time.
    let (sent_at, received_at, made_at) = (base, base + ms(40), base + ms(540));
    let servers_asked_at = base + ms(500);
    let own = Evidence {
        service: Name::from("a"),
        server: Name::from("s1"),
        term: Term(3),
        asked_at: servers_asked_at,
    };
    let read = StoreRead { asked_at: base + ms(300), revision: at(20) };
    let mut answer = FollowAnswer {
        held_ms: made_at.duration_since(received_at).as_millis() as u64,
        store_read: Some(read.to_message(4, made_at)),
        evidence: vec![own.to_message(made_at)],
        ..FollowAnswer::default()
    };
    let contents = answer.take_contents(sent_at);
    assert_eq!(contents.evidence.len(), 1);
    let received = &contents.evidence[0];
    assert_eq!((&*received.server, received.term), ("s1", Term(3)));
    assert!(received.asked_at <= servers_asked_at, "evidence may look older, never younger");
    assert!(
        received.asked_at >= servers_asked_at - ms(42),
        "older by at most the time that the request took"
    );
    let received =
        answer.store_read.unwrap().to_store_read(answer.made_at(sent_at), Era::NONE).unwrap();
    assert_eq!(received.revision, at(20));
    assert!(received.asked_at <= read.asked_at && received.asked_at >= read.asked_at - ms(42));
}

#[test]
fn changes_are_sent_unaltered() {
    let put = Change::Put(Item {
        key: "k".to_owned(),
        value: vec![0, 255, 7].into(),
        revision: at(9),
        created: at(4),
    });
    let empty = Change::Put(Item {
        key: "e".to_owned(),
        value: Vec::new().into(),
        revision: at(10),
        created: at(10),
    });
    let removed = Change::Removed { key: "r".to_owned(), revision: at(11) };
    let sent = vec![put, empty, removed];
    let message = FollowAnswer {
        changes: sent.iter().cloned().map(Into::into).collect(),
        applied_revision: 11,
        ..FollowAnswer::default()
    };
    // Changes follow the answer in a frame of their own, so the answer is small.
    let (head, changes) = message.split(bytes::Bytes::new());
    assert!(head.changes_follow && head.changes.is_empty());
    let mut received = FollowAnswer::decode(&*head.encode_to_vec()).unwrap();
    received.changes = ChangesMessage::decode(&*changes.unwrap().encode_to_vec()).unwrap().changes;
    assert_eq!(received.take_contents(Instant::now()).updates.changes, sent);
    // All revisions of an answer belong to its era.
    let mut restored = FollowAnswer {
        changes: sent.iter().cloned().map(Into::into).collect(),
        era: 3,
        ..FollowAnswer::default()
    };
    let changes = restored.take_contents(Instant::now()).updates.changes;
    assert!(changes.iter().all(|change| change.revision().era() == Era(3)));
    let (head, changes) = FollowAnswer::default().split(bytes::Bytes::new());
    assert!(!head.changes_follow && changes.is_none());
}

/// Clocks of different daemons can't be compared. Guards against a sample looking younger after it passed between
/// daemons; it may look older by the network delay.
#[test]
fn a_sample_never_looks_younger_after_passing_between_daemons() {
    let base = Instant::now() + ms(10_000);
    let service = Name::from("a");
    let point = LogPoint::new(2, 30);
    // The upstream starts at 0 ms and answers at 1,000 ms; the answer takes 70 ms.
    let (epoch, made_at, answered_at) = (base, base + ms(1_000), base + ms(1_070));
    let taken_at = base + ms(1_200);
    let sample = PrimarySample { asked_at: taken_at, point };
    let clock =
        ClockMessage { incarnation: 9, at_ms: made_at.duration_since(epoch).as_millis() as u64 };
    let request = FollowRequest {
        last_clock: Some(clock),
        samples: sample.to_message_since(&service, answered_at).into_iter().collect(),
        ..FollowRequest::default()
    };
    // The sample is sent to the upstream; the request may take any time.
    let received_at = base + ms(2_500);
    let received = request.local_samples(9, epoch, received_at);
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].1.point, point);
    assert!(received[0].1.asked_at <= taken_at && received[0].1.asked_at >= taken_at - ms(71));
    // The upstream sends it to a third daemon, whose request was sent at 2,400 ms and held for 200 ms.
    let mut answer = FollowAnswer {
        held_ms: 200,
        samples: vec![received[0].1.to_message(&service, base + ms(2_650))],
        ..FollowAnswer::default()
    };
    let contents = answer.take_contents(base + ms(2_400));
    assert_eq!(contents.samples.len(), 1);
    assert!(contents.samples[0].1.asked_at <= taken_at);
    assert!(contents.samples[0].1.asked_at >= taken_at - ms(125));
}

#[test]
fn samples_that_no_clock_can_date_are_left_out() {
    let base = Instant::now() + ms(10_000);
    let sample = PrimarySample { asked_at: base + ms(100), point: LogPoint::new(1, 1) };
    let service = Name::from("a");
    assert_eq!(
        sample.to_message_since(&service, base + ms(101)),
        None,
        "taken before the answer came"
    );
    let message = sample.to_message_since(&service, base).unwrap();
    let request = |last_clock| FollowRequest {
        last_clock,
        samples: vec![message.clone()],
        ..FollowRequest::default()
    };
    let now = base + ms(500);
    let dated = |last_clock| request(last_clock).local_samples(7, base, now).len();
    assert_eq!(dated(Some(ClockMessage { incarnation: 7, at_ms: 0 })), 1);
    assert_eq!(dated(Some(ClockMessage { incarnation: 8, at_ms: 0 })), 0, "another incarnation");
    assert_eq!(dated(Some(ClockMessage { incarnation: 7, at_ms: 450 })), 0, "a time in the future");
    assert_eq!(dated(None), 0);
}

#[test]
fn an_invalid_compressed_value_is_an_error() {
    let message = |value: &[u8]| ChangeMessage {
        key: "k".to_owned(),
        value: Some(value.to_vec().into()),
        is_compressed: true,
        ..ChangeMessage::default()
    };
    assert!(decompress(&mut message(b"\xff\xff plain text")).is_err());
    // An uncompressed value is left unchanged.
    let mut plain = ChangeMessage { is_compressed: false, ..message(b"plain text") };
    decompress(&mut plain).unwrap();
    assert_eq!(plain.value.as_deref(), Some(&b"plain text"[..]));
}
