//! Configuration changes: conflicts, lost responses, validation and propagation.

mod common;

use std::sync::Arc;

use common::{SMALL_CONFIGURATION, small_system, wait_until};
use config::HostSettings;
use daemon::{ApplyError, Daemon, apply_configuration};
use model::Name;
use store::ConsulClient;
use wardtiller::local_system::LocalSystem;

fn store(system: &LocalSystem) -> ConsulClient {
    ConsulClient::new(system.platform.address(), std::time::Duration::from_secs(2))
}

/// Returns the configuration of the system with a different staleness.
fn with_staleness(system: &LocalSystem, staleness_ms: u32) -> String {
    let replacement = format!("staleness_ms = {staleness_ms}");
    system.configuration_text.replace("staleness_ms = 60000", &replacement)
}

fn in_force_everywhere(system: &LocalSystem, revision: u64) -> bool {
    system.daemons.iter().flatten().all(|daemon| daemon.show().revision == revision)
}

#[test]
fn a_conflicting_change_is_refused_with_the_changed_sections() {
    let system = small_system(1);
    let store = store(&system);
    let base = Some(1);
    let first = with_staleness(&system, 1_000);
    assert_eq!(apply_configuration(&store, "wardtiller", "f", &first, base, "one").unwrap(), 2);
    let second = with_staleness(&system, 2_000);
    let error = apply_configuration(&store, "wardtiller", "f", &second, base, "two").unwrap_err();
    match error {
        ApplyError::Conflict { revision, changed } => {
            assert_eq!(revision, 2);
            assert_eq!(changed, ["[kind shop/menu]"]);
        }
        other => panic!("{other:?}"),
    }
    wait_until("the accepted configuration is in force", || in_force_everywhere(&system, 2));
}

#[test]
fn a_change_with_lost_responses_is_applied_exactly_once() {
    for lost in 1..=3 {
        let system = small_system(1);
        let store = store(&system);
        system.platform.change_faults(|faults| faults.lose_responses = lost);
        let text = with_staleness(&system, 1_000);
        let revision =
            apply_configuration(&store, "wardtiller", "f", &text, Some(1), "change").unwrap();
        assert_eq!(revision, 2, "{lost} responses lost");
        wait_until("the configuration is in force once", || in_force_everywhere(&system, 2));
    }
}

#[test]
fn an_invalid_configuration_changes_nothing() {
    let system = small_system(1);
    let text = system.configuration_text.replace("primary = a", "primary = z");
    let error =
        apply_configuration(&store(&system), "wardtiller", "shop.ini", &text, None, "change");
    let message = error.unwrap_err().to_string();
    assert!(message.contains("shop.ini:8: primary: there is no [server shop/one/z]"), "{message}");
    assert!(in_force_everywhere(&system, 1));
}

#[test]
fn a_configuration_spreads_between_daemons_while_the_store_is_down() {
    let mut system = small_system(3);
    // The third daemon is down while the change is accepted and the store fails.
    system.kill_daemon(2);
    system.apply(&with_staleness(&system, 1_000), Some(1)).unwrap();
    wait_until("the other daemons have the change", || in_force_everywhere(&system, 2));
    system.platform.change_faults(|faults| faults.down = true);
    // A new daemon has no stored state, only its settings with their seeds.
    let peers: Vec<_> =
        system.daemons.iter().flatten().map(|daemon| daemon.peer_address()).collect();
    let mut settings = HostSettings::default();
    settings.daemon.host = Name::from("entry-new");
    settings.daemon.availability_zone = Name::from("east");
    let unused_port = "127.0.0.1:0".parse().unwrap();
    settings.daemon.listen = Some(unused_port);
    settings.daemon.peer_listen = Some(unused_port);
    settings.daemon.operator_listen = Some(unused_port);
    settings.platform.address = Some(system.platform.address());
    settings.control.gossip_ms = 50;
    settings.control.seeds = peers;
    let new_daemon = Daemon::start(settings, Arc::new(store(&system))).unwrap();
    wait_until("the new daemon has the change", || new_daemon.show().revision == 2);
    assert!(!new_daemon.show().store_reachable);
}

#[test]
fn a_disconnected_daemon_catches_up_without_reverting_a_revision() {
    let mut system = small_system(2);
    system.platform.change_faults(|faults| faults.down = true);
    let refused = apply_configuration(
        &store(&system),
        "wardtiller",
        "f",
        &with_staleness(&system, 1_000),
        None,
        "while-down",
    );
    assert!(matches!(refused, Err(ApplyError::Store(_))), "{refused:?}");
    system.platform.change_faults(|faults| faults.down = false);
    for (index, staleness_ms) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        let revision = system.apply(&with_staleness(&system, staleness_ms), None).unwrap();
        assert_eq!(revision, index as u64 + 2);
    }
    let mut highest = 0;
    wait_until("the last accepted revision is in force", || {
        let revision = system.daemon(1).unwrap().show().revision;
        assert!(revision >= highest, "the revision went back from {highest} to {revision}");
        highest = revision;
        in_force_everywhere(&system, 4)
    });
}

#[test]
fn the_sample_configurations_are_valid() {
    let samples = [
        include_str!("../../../examples/skyndibiti.ini"),
        include_str!("../../../examples/authority.ini"),
        SMALL_CONFIGURATION,
    ];
    for sample in samples {
        config::check_configuration("a sample", sample).expect("no mistakes");
    }
    let settings = include_str!("../../../examples/host.ini");
    HostSettings::read("host.ini", settings).expect("no mistakes");
}
