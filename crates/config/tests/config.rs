//! Reports of mistakes, placement of callers, and chunks of a configuration.

use std::collections::HashMap;

use config::{
    Head, HostSettings, PlacementRequest, assemble, check_configuration, reference_page, split,
};
use proptest::prelude::*;

const VALID_CONFIGURATION: &str = "\
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
fn configuration_mistakes_are_reported_with_line_and_suggestion() {
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
    let problems = check_configuration("shop.ini", bad).expect_err("the text is invalid");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn settings_mistakes_are_reported_with_line_and_suggestion() {
    let bad = "[daemon]\nlisten = 6432\nhots = a\n[tls]\nrequired = yes\n[platfrom]\n";
    let problems = HostSettings::read("host.ini", bad).expect_err("the text is invalid");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn callers_are_placed_by_requested_group_rule_or_default() {
    let configuration = check_configuration("shop.ini", VALID_CONFIGURATION).expect("no mistakes");
    let shop = &configuration.services["shop"];
    let rows = [
        (Some("two"), "anybody", Some("two")),
        (None, "desk", Some("two")),
        (None, "anybody", Some("one")),
        (Some("three"), "desk", None),
    ];
    for (group, user, expected) in rows {
        let placed = shop.group_for(PlacementRequest { group, user, application_name: "" });
        assert_eq!(placed.map(|group| &**group), expected, "{group:?} {user}");
    }
}

#[test]
fn reference_page_matches_the_options() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let reference = reference_page();
    assert!(
        page.contains(reference.trim()),
        "docs/CONFIGURATION.md differs from the options; put this in:\n{reference}"
    );
}

fn split_and_assemble(text: &str) -> String {
    let chunks = split(text);
    let head = Head {
        revision: 1,
        chunks: chunks.iter().map(|chunk| chunk.hash.clone()).collect(),
        ..Head::default()
    };
    let texts: HashMap<_, _> =
        chunks.iter().map(|chunk| (chunk.hash.clone(), chunk.text.clone())).collect();
    assemble(&head, |hash| texts.get(hash).map(String::as_str)).expect("every chunk is present")
}

/// Builds a configuration that is large enough for several chunks.
fn large_configuration(services: usize, staleness_of_7: u32) -> String {
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
fn assembled_chunks_give_the_same_configuration() {
    for text in [VALID_CONFIGURATION.to_owned(), large_configuration(3_000, 5)] {
        let before = check_configuration("before", &text).expect("no mistakes");
        let after = check_configuration("after", &split_and_assemble(&text)).expect("no mistakes");
        assert_eq!(before, after);
    }
}

#[test]
fn changing_one_service_changes_one_chunk() {
    let (before, after) =
        (split(&large_configuration(3_000, 5)), split(&large_configuration(3_000, 6)));
    assert!(before.len() > 4);
    let changed: Vec<_> = after.iter().filter(|chunk| !before.contains(chunk)).collect();
    assert_eq!(changed.len(), 1);
    assert!(after.iter().all(|chunk| chunk.text.len() < 256 * 1024));
}

#[test]
fn damaged_and_missing_chunks_are_detected() {
    let chunks = split(VALID_CONFIGURATION);
    let hash = chunks[0].hash.clone();
    let head = Head { revision: 1, chunks: vec![hash.clone()], ..Head::default() };
    assert_eq!(assemble(&head, |_| Some("[service other]\n")), Err(hash.clone()));
    assert_eq!(assemble(&head, |_| None), Err(hash));
}

proptest! {
    #[test]
    fn parsers_handle_any_text(text in "[\\[\\]a-z/= ;#\\n0-9.:]{0,200}") {
        let _ = check_configuration("any", &text);
        let _ = HostSettings::read("any", &text);
        let _ = split_and_assemble(&text);
    }
}
