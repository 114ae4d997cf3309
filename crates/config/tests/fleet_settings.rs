//! Parsing and checks of the settings of a fleet daemon.

use config::ProxySettings;

fn settings(daemon_options: &str) -> String {
    format!(
        "[daemon]\nhost = a\navailability_zone = east-1\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\n{daemon_options}\n\
         [metadata]\naddress = 127.0.0.1:3\n[leadership]\norder_address = 127.0.0.1:4\n"
    )
}

#[test]
fn regions_are_parsed_by_zone() {
    let text = settings("regions = east-1/east, west-1/west");
    let read = ProxySettings::read("host.ini", &text).unwrap();
    let regions: Vec<(String, String)> = read
        .daemon
        .region_by_zone()
        .map(|(zone, region)| (zone.to_string(), region.to_string()))
        .collect();
    let expected = [("east-1", "east"), ("west-1", "west")];
    assert_eq!(regions, expected.map(|(zone, region)| (zone.to_owned(), region.to_owned())));
}

#[test]
fn invalid_regions_are_refused() {
    let cases = [
        ("regions = east-1", "expected ZONE/REGION"),
        ("regions = east-1/", "expected ZONE/REGION"),
        ("regions = east-1/east/1", "expected ZONE/REGION"),
        ("regions = west-1/west", "must name the daemon's own zone `east-1`"),
        ("regions = east-1/east, east-1/west", "names the zone `east-1` twice"),
    ];
    for (line, expected) in cases {
        let problems = ProxySettings::read("host.ini", &settings(line)).unwrap_err().to_string();
        assert!(problems.contains(expected), "{line}: {problems}");
    }
}

#[test]
fn overload_options_are_switched_off_by_key() {
    let text = settings("") + "[overload]\ncircuits = no\n";
    let read = ProxySettings::read("host.ini", &text).unwrap();
    assert!(!read.overload.circuits && read.overload.queue);
    let text = settings("") + "[overload]\ncircuit = no\n";
    let problems = ProxySettings::read("host.ini", &text).unwrap_err().to_string();
    assert!(problems.contains("circuits"), "{problems}");
}
