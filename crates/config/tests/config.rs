//! Mistakes are reported with their place, all at once; chunks join to what was split.

use std::collections::HashMap;

use config::{
    Head, HostSettings, PlacementRequest, assemble, check_configuration, reference_page, split,
};
use proptest::prelude::*;

const GOOD: &str = "\
[service shop]
default_group = one

[group shop/one]
primary = a

[server shop/one/a]
address = 127.0.0.1:1
availability_zone = east

[group shop/two]
primary = b

[server shop/two/b]
address = 127.0.0.1:2

[rule shop/desk]
user = desk
group = two

[user desk]
";

#[test]
fn every_mistake_is_reported_with_its_place_and_a_suggestion() {
    let bad = "\
# not a comment
[service shop]
aknowledge = majority
acknowledge = everybody
request_deadline_ms = soon
[group shop/one]
primary = aa
connections = 1
[server shop/one/ab]
address = localhost:1
[server shop/one/ac]
address = 127.0.0.1:3
[group shpo/two]
primary = x
[kind shop]
staleness_ms = 1
[usr desk]
[limits]
queue_length = 1
queue_length = 2
callers
[limits]
";
    let problems = check_configuration("shop.ini", bad).expect_err("it is full of mistakes");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn settings_report_their_mistakes_too() {
    let bad = "[daemon]\nlisten = 6432\nhots = a\n[tls]\nrequired = yes\n[platfrom]\n";
    let problems = HostSettings::read("host.ini", bad).expect_err("it is full of mistakes");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn callers_are_placed_by_name_by_rule_or_by_default() {
    let configuration = check_configuration("shop.ini", GOOD).expect("no mistakes");
    let shop = &configuration.services["shop"];
    let rows = [
        (Some("two"), "anybody", Some("two")),
        (None, "desk", Some("two")),
        (None, "anybody", Some("one")),
        (Some("three"), "desk", None),
    ];
    for (named, user, expected) in rows {
        let placed = shop.place(PlacementRequest { named, user, application_name: "" });
        assert_eq!(placed.map(|group| &**group), expected, "{named:?} {user}");
    }
}

#[test]
fn the_reference_page_lists_every_option() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let reference = reference_page();
    assert!(
        page.contains(reference.trim()),
        "docs/CONFIGURATION.md differs from the options; put this in:\n{reference}"
    );
}

fn join(text: &str) -> String {
    let chunks = split(text);
    let head = Head {
        revision: 1,
        chunks: chunks.iter().map(|chunk| chunk.hash.clone()).collect(),
        ..Head::default()
    };
    let texts: HashMap<_, _> =
        chunks.iter().map(|chunk| (chunk.hash.clone(), chunk.text.clone())).collect();
    assemble(&head, |hash| texts.get(hash).map(String::as_str)).expect("every chunk is there")
}

/// A configuration of many services, for the size of chunks.
fn large(services: usize, staleness_of_7: u32) -> String {
    let mut text = String::new();
    for service in 0..services {
        let staleness = if service == 7 { staleness_of_7 } else { 1 };
        text.push_str(&format!(
            "[service s{service}]\n[kind s{service}/k]\nstaleness_ms = {staleness}\n\
             [group s{service}/g]\nprimary = a\n[server s{service}/g/a]\naddress = \
             10.{}.{}.1:5432\n",
            service / 256,
            service % 256
        ));
    }
    text
}

#[test]
fn chunks_join_to_the_same_configuration() {
    for text in [GOOD.to_owned(), large(3_000, 5)] {
        let before = check_configuration("before", &text).expect("no mistakes");
        let after = check_configuration("after", &join(&text)).expect("no mistakes");
        assert_eq!(before, after);
    }
}

#[test]
fn a_change_moves_one_chunk() {
    let (before, after) = (split(&large(3_000, 5)), split(&large(3_000, 6)));
    assert!(before.len() > 4);
    let changed: Vec<_> = after.iter().filter(|chunk| !before.contains(chunk)).collect();
    assert_eq!(changed.len(), 1);
    assert!(after.iter().all(|chunk| chunk.text.len() < 256 * 1024));
}

#[test]
fn a_damaged_chunk_is_found() {
    let chunks = split(GOOD);
    let hash = chunks[0].hash.clone();
    let head = Head { revision: 1, chunks: vec![hash.clone()], ..Head::default() };
    assert_eq!(assemble(&head, |_| Some("[service other]\n")), Err(hash.clone()));
    assert_eq!(assemble(&head, |_| None), Err(hash));
}

proptest! {
    #[test]
    fn no_text_breaks_the_check(text in "[\\[\\]a-z/= ;#\\n0-9.:]{0,200}") {
        let _ = check_configuration("any", &text);
        let _ = HostSettings::read("any", &text);
        let _ = join(&text);
    }
}
