//! What another daemon's reading of the store is worth.

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
            ChangeMessage, ChangesMessage, ClockMessage, Evidence, FollowAnswer, FollowRequest,
            OwnKeys, PrimarySample, SharedRead, StoreRead, evaluate_read,
        },
    },
    metadata::{Change, Era, Item, Revision},
};

const USEFUL: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A revision of a store that tells of no era.
fn at(number: u64) -> Revision {
    Revision::new(Era::NONE, number)
}

fn known(records: &[(&str, u64)]) -> HashMap<Name, Revision> {
    records.iter().map(|(service, revision)| (Name::from(*service), at(*revision))).collect()
}

#[test]
fn a_reading_renews_what_it_showed_to_whoever_knows_all_of_it() {
    let base = Instant::now() + ms(10_000);
    let reading = StoreRead { asked_at: base, revision: at(20) };
    let keys = |applied_revision, member: Option<u64>, records: &[(&str, u64)]| OwnKeys {
        applied_revision: at(applied_revision),
        member: member.map(at),
        records: known(records),
    };
    let renews = |services: &[&str]| {
        SharedRead::Renews(services.iter().map(|service| Name::from(*service)).collect())
    };
    let cases = [
        ("all that it showed", keys(20, Some(3), &[("a", 5)]), 300, renews(&["a"])),
        ("a record as old as it", keys(20, Some(3), &[("a", 20)]), 300, renews(&["a"])),
        ("a later change is known", keys(30, Some(3), &[("a", 21)]), 300, renews(&[])),
        ("a change may be missing", keys(19, Some(3), &[("a", 5)]), 300, SharedRead::Useless),
        ("no member", keys(20, None, &[("a", 5)]), 300, SharedRead::Useless),
        ("a member since", keys(30, Some(21), &[("a", 5)]), 300, SharedRead::Useless),
        ("too old", keys(20, Some(3), &[("a", 5)]), 701, SharedRead::Useless),
    ];
    for (name, keys, age_ms, expected) in cases {
        assert_eq!(evaluate_read(&reading, base + ms(age_ms), USEFUL, &keys), expected, "{name}");
    }
}

/// A restored store gives revisions out again: the same number shows nothing of another era.
#[test]
fn a_reading_of_another_era_renews_nothing() {
    let base = Instant::now() + ms(10_000);
    let restored = |number| Revision::new(Era(2), number);
    let keys =
        OwnKeys { applied_revision: at(20), member: Some(at(3)), records: known(&[("a", 5)]) };
    let later = StoreRead { asked_at: base, revision: restored(10) };
    assert_eq!(evaluate_read(&later, base, USEFUL, &keys), SharedRead::Useless);
    let keys = OwnKeys { applied_revision: restored(10), member: Some(restored(3)), ..keys };
    let earlier = StoreRead { asked_at: base, revision: at(20) };
    assert_eq!(evaluate_read(&earlier, base, USEFUL, &keys), SharedRead::Useless);
}

#[test]
fn a_question_that_waited_counts_from_when_the_answer_was_made_and_never_later() {
    let base = Instant::now() + ms(10_000);
    // Sent at 0, received at 40 after a slow way, answered at 540, back at any later time.
    let (sent_at, received_at, made_at) = (base, base + ms(40), base + ms(540));
    let servers_asked_at = base + ms(500);
    let own = Evidence {
        service: Name::from("a"),
        server: Name::from("s1"),
        term: Term(3),
        asked_at: servers_asked_at,
    };
    let reading = StoreRead { asked_at: base + ms(300), revision: at(20) };
    let mut answer = FollowAnswer {
        held_ms: made_at.duration_since(received_at).as_millis() as u64,
        store_read: Some(reading.to_message(4, made_at)),
        evidence: vec![own.to_message(made_at)],
        ..FollowAnswer::default()
    };
    let told = answer.take_contents(sent_at);
    assert_eq!(told.evidence.len(), 1);
    let heard = &told.evidence[0];
    assert_eq!((&*heard.server, heard.term), ("s1", Term(3)));
    assert!(heard.asked_at <= servers_asked_at, "evidence seems older than it is, never younger");
    assert!(heard.asked_at >= servers_asked_at - ms(42), "by the way of the question at the most");
    let heard = answer.store_read.unwrap().reading(answer.made_at(sent_at), Era::NONE).unwrap();
    assert_eq!(heard.revision, at(20));
    assert!(heard.asked_at <= reading.asked_at && heard.asked_at >= reading.asked_at - ms(42));
}

#[test]
fn changes_pass_between_daemons_unaltered() {
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
    // The changes travel behind the answer, so that it is small whatever they are.
    let (head, changes) = message.split(bytes::Bytes::new());
    assert!(head.changes_follow && head.changes.is_empty());
    let mut received = FollowAnswer::decode(&*head.encode_to_vec()).unwrap();
    received.changes = ChangesMessage::decode(&*changes.unwrap().encode_to_vec()).unwrap().changes;
    assert_eq!(received.take_contents(Instant::now()).updates.changes, sent);
    // All revisions of an answer are of the era that it tells.
    let mut restored = FollowAnswer {
        changes: sent.iter().cloned().map(Into::into).collect(),
        era: 3,
        ..FollowAnswer::default()
    };
    let told = restored.take_contents(Instant::now()).updates.changes;
    assert!(told.iter().all(|change| change.revision().era() == Era(3)));
    let (head, changes) = FollowAnswer::default().split(bytes::Bytes::new());
    assert!(!head.changes_follow && changes.is_none());
}

/// Two daemons' clocks have nothing in common; a sample that passes between them may seem older than it
/// is, by the time that messages take, and never younger.
#[test]
fn a_sample_never_seems_younger_than_it_is_on_any_way() {
    let base = Instant::now() + ms(10_000);
    let service = Name::from("a");
    let point = LogPoint::new(2, 30);
    // The reader began at 0 and answers at 1000; the answer is on its way for 70 ms.
    let (epoch, made_at, heard_at) = (base, base + ms(1_000), base + ms(1_070));
    let taken_at = base + ms(1_200);
    let sample = PrimarySample { asked_at: taken_at, point };
    let clock =
        ClockMessage { incarnation: 9, at_ms: made_at.duration_since(epoch).as_millis() as u64 };
    let request = FollowRequest {
        last_clock: Some(clock),
        samples: sample.to_message_since(&service, heard_at).into_iter().collect(),
        ..FollowRequest::default()
    };
    // Up: the question is on its way for any time.
    let received_at = base + ms(2_500);
    let here = request.samples_here(9, epoch, received_at);
    assert_eq!(here.len(), 1);
    assert_eq!(here[0].1.point, point);
    assert!(here[0].1.asked_at <= taken_at && here[0].1.asked_at >= taken_at - ms(71));
    // Down again, to a third daemon whose question was sent at 2400 and waited for 200 ms.
    let mut answer = FollowAnswer {
        held_ms: 200,
        samples: vec![here[0].1.to_message(&service, base + ms(2_650))],
        ..FollowAnswer::default()
    };
    let told = answer.take_contents(base + ms(2_400));
    assert_eq!(told.samples.len(), 1);
    assert!(told.samples[0].1.asked_at <= taken_at);
    assert!(told.samples[0].1.asked_at >= taken_at - ms(125));
}

#[test]
fn samples_that_no_clock_vouches_for_are_left_out() {
    let base = Instant::now() + ms(10_000);
    let sample = PrimarySample { asked_at: base + ms(100), point: LogPoint::new(1, 1) };
    let service = Name::from("a");
    assert_eq!(
        sample.to_message_since(&service, base + ms(101)),
        None,
        "taken before the answer came"
    );
    let told = sample.to_message_since(&service, base).unwrap();
    let request = |heard| FollowRequest {
        last_clock: heard,
        samples: vec![told.clone()],
        ..FollowRequest::default()
    };
    let now = base + ms(500);
    let here = |heard| request(heard).samples_here(7, base, now).len();
    assert_eq!(here(Some(ClockMessage { incarnation: 7, at_ms: 0 })), 1);
    assert_eq!(here(Some(ClockMessage { incarnation: 8, at_ms: 0 })), 0, "another life");
    assert_eq!(
        here(Some(ClockMessage { incarnation: 7, at_ms: 450 })),
        0,
        "a time that has not come"
    );
    assert_eq!(here(None), 0);
}

#[test]
fn a_packed_value_that_is_none_is_an_error_and_no_value() {
    let message = |value: &[u8]| ChangeMessage {
        key: "k".to_owned(),
        value: Some(value.to_vec().into()),
        is_compressed: true,
        ..ChangeMessage::default()
    };
    assert!(decompress(&mut message(b"\xff\xff plain text")).is_err());
    // A value that is not packed stays as it is.
    let mut plain = ChangeMessage { is_compressed: false, ..message(b"plain text") };
    decompress(&mut plain).unwrap();
    assert_eq!(plain.value.as_deref(), Some(&b"plain text"[..]));
}
