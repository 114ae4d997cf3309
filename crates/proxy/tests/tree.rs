//! Tests of the choice of a daemon's upstream.

use std::net::SocketAddr;

use proxy::control::tree::{TreeMember, select_upstream};

fn address(host: &str) -> SocketAddr {
    let number: u16 =
        host.trim_start_matches(|letter: char| !letter.is_ascii_digit()).parse().unwrap();
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

/// Members named "zone-number".
fn members<'a>(hosts: &[&'a str]) -> Vec<TreeMember<'a>> {
    let member = |host: &&'a str| TreeMember {
        host,
        availability_zone: host.split('-').next().unwrap(),
        address: address(host),
    };
    hosts.iter().map(member).collect()
}

#[test]
fn one_daemon_reads_the_store_and_the_others_follow_daemons() {
    let all = ["a-1", "a-2", "b-3", "b-4", "c-5"];
    let cases = [
        ("the first of all", &all[..], "a-1", None),
        ("the second of its zone", &all, "a-2", Some("a-1")),
        ("the first of another zone", &all, "b-3", Some("a-1")),
        ("the second of another zone", &all, "b-4", Some("b-3")),
        ("alone in its zone", &all, "c-5", Some("a-1")),
        ("the first is silent", &all[1..], "b-3", Some("a-2")),
        ("the first of its zone is silent", &["a-1", "b-4"][..], "b-4", Some("a-1")),
        ("the only member", &["c-5"][..], "c-5", None),
        ("later daemons are never followed", &["b-3", "b-4"][..], "b-3", None),
    ];
    for (name, known, host, expected) in cases {
        let zone = host.split('-').next().unwrap();
        let found = select_upstream(&members(known), host, zone);
        assert_eq!(found, expected.map(address), "{name}");
    }
}

#[test]
fn no_daemon_has_more_than_eight_followers_in_its_zone_and_there_are_no_cycles() {
    let hosts: Vec<String> = (100..400).map(|number| format!("a-{number}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let all = members(&hosts);
    let mut followers = vec![0; hosts.len()];
    for (place, host) in hosts.iter().enumerate() {
        let Some(found) = select_upstream(&all, host, "a") else {
            assert_eq!(place, 0);
            continue;
        };
        let upstream = all.iter().position(|member| member.address == found).unwrap();
        assert!(upstream < place, "{host}");
        followers[upstream] += 1;
    }
    assert!(followers.iter().all(|count| *count <= 8), "{followers:?}");
}
