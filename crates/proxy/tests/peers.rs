//! What another daemon's reading of the store is worth.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;
use proxy::control::peers::{OwnReading, ReadingAnswer, SharedReading, judge_answer};

const USEFUL: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn known(records: &[(&str, u64)]) -> HashMap<Name, u64> {
    records.iter().map(|(service, revision)| (Name::from(*service), *revision)).collect()
}

#[test]
fn an_answer_renews_what_both_know_alike_and_counts_from_the_question() {
    let base = Instant::now() + ms(10_000);
    let reading = OwnReading {
        asked_at: base,
        members: vec!["me".to_owned()],
        records: known(&[("a", 5), ("b", 6)]),
    };
    let told = reading.answer_to("me", base + ms(300));
    let judge = |answer: &ReadingAnswer, records: &[(&str, u64)]| {
        judge_answer(answer, base + ms(290), USEFUL, &known(records))
    };
    let renews = |services: &[&str]| {
        // The question was sent 10 ms before the answer: the right is 10 ms shorter than it might be.
        let asked_at = base + ms(290) - ms(301);
        let services = services.iter().map(|service| Name::from(*service)).collect();
        SharedReading::Renews { asked_at, services }
    };
    let sorted = |reading: SharedReading| match reading {
        SharedReading::Renews { asked_at, mut services } => {
            services.sort();
            SharedReading::Renews { asked_at, services }
        }
        SharedReading::Useless => SharedReading::Useless,
    };
    let cases = [
        ("the same records", told.clone(), &[("a", 5), ("b", 6)][..], renews(&["a", "b"])),
        ("a later change is known", told.clone(), &[("a", 9), ("b", 6)], renews(&["b"])),
        ("the asker is behind", told.clone(), &[("a", 4), ("b", 6)], SharedReading::Useless),
        ("a record is not known", told.clone(), &[("a", 5)], SharedReading::Useless),
        (
            "a stranger",
            reading.answer_to("you", base),
            &[("a", 5), ("b", 6)],
            SharedReading::Useless,
        ),
        (
            "too old",
            reading.answer_to("me", base + ms(800)),
            &[("a", 5), ("b", 6)],
            SharedReading::Useless,
        ),
        ("no reading", ReadingAnswer::default(), &[("a", 5), ("b", 6)], SharedReading::Useless),
    ];
    for (name, answer, records, expected) in cases {
        assert_eq!(sorted(judge(&answer, records)), expected, "{name}");
    }
}
