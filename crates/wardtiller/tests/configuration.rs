//! Configurations that race, get lost, and spread.

mod common;

use std::sync::Arc;

use common::{SMALL, small_system, wait_until};
use config::HostSettings;
use daemon::{ApplyError, Daemon, apply_configuration};
use model::Name;
use store::ConsulClient;
use wardtiller::local_system::LocalSystem;

fn store(system: &LocalSystem) -> ConsulClient {
    ConsulClient::new(system.platform.address(), std::time::Duration::from_secs(2))
}

/// The system's configuration with another staleness, so that it differs from the one in force.
fn changed(system: &LocalSystem, staleness_ms: u32) -> String {
    let wanted = format!("staleness_ms = {staleness_ms}");
    system.configuration_text.replace("staleness_ms = 60000", &wanted)
}

fn everywhere(system: &LocalSystem, revision: u64) -> bool {
    system.daemons.iter().flatten().all(|daemon| daemon.show().revision == revision)
}

#[test]
fn of_two_operators_one_is_told_what_changed_beneath_it() {
    let system = small_system(1);
    let store = store(&system);
    let base = Some(1);
    let first = changed(&system, 1_000);
    assert_eq!(apply_configuration(&store, "wardtiller", "f", &first, base, "one").unwrap(), 2);
    let second = changed(&system, 2_000);
    let error = apply_configuration(&store, "wardtiller", "f", &second, base, "two").unwrap_err();
    match error {
        ApplyError::Conflict { revision, changed } => {
            assert_eq!(revision, 2);
            assert_eq!(changed, ["[kind shop/menu]"]);
        }
        other => panic!("{other:?}"),
    }
    wait_until("the accepted configuration is in force", || everywhere(&system, 2));
}

#[test]
fn a_lost_answer_neither_applies_twice_nor_tells_a_falsehood() {
    for lost in 1..=3 {
        let system = small_system(1);
        let store = store(&system);
        system.platform.change_faults(|faults| faults.lose_answers = lost);
        let text = changed(&system, 1_000);
        let revision =
            apply_configuration(&store, "wardtiller", "f", &text, Some(1), "change").unwrap();
        assert_eq!(revision, 2, "{lost} answers lost");
        wait_until("the configuration is in force once", || everywhere(&system, 2));
    }
}

#[test]
fn a_configuration_with_a_mistake_changes_nothing() {
    let system = small_system(1);
    let text = system.configuration_text.replace("primary = a", "primary = z");
    let error =
        apply_configuration(&store(&system), "wardtiller", "shop.ini", &text, None, "change");
    let message = error.unwrap_err().to_string();
    assert!(message.contains("shop.ini:8: primary: there is no [server shop/one/z]"), "{message}");
    assert!(everywhere(&system, 1));
}

#[test]
fn a_configuration_spreads_between_daemons_while_the_store_is_down() {
    let mut system = small_system(3);
    // The third daemon is away while the change is accepted and the store goes down.
    system.kill_daemon(2);
    system.apply(&changed(&system, 1_000), Some(1)).unwrap();
    wait_until("the others have it", || everywhere(&system, 2));
    system.platform.change_faults(|faults| faults.down = true);
    // A host that starts anew has no disk: it knows its settings and the seeds in them.
    let peers: Vec<_> =
        system.daemons.iter().flatten().map(|daemon| daemon.peer_address()).collect();
    let mut settings = HostSettings::default();
    settings.daemon.host = Name::from("entry-new");
    settings.daemon.availability_zone = Name::from("east");
    let any = "127.0.0.1:0".parse().unwrap();
    settings.daemon.listen = Some(any);
    settings.daemon.peer_listen = Some(any);
    settings.daemon.operator_listen = Some(any);
    settings.platform.address = Some(system.platform.address());
    settings.control.gossip_ms = 50;
    settings.control.seeds = peers;
    let fresh = Daemon::start(settings, Arc::new(store(&system))).unwrap();
    wait_until("the fresh daemon has it too", || fresh.show().revision == 2);
    assert!(!fresh.show().store_reachable);
}

#[test]
fn a_daemon_that_was_cut_off_moves_forward_and_never_back() {
    let mut system = small_system(2);
    system.platform.change_faults(|faults| faults.down = true);
    let refused = apply_configuration(
        &store(&system),
        "wardtiller",
        "f",
        &changed(&system, 1_000),
        None,
        "while-down",
    );
    assert!(matches!(refused, Err(ApplyError::Store(_))), "{refused:?}");
    system.platform.change_faults(|faults| faults.down = false);
    for (index, staleness_ms) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        let revision = system.apply(&changed(&system, staleness_ms), None).unwrap();
        assert_eq!(revision, index as u64 + 2);
    }
    let mut highest = 0;
    wait_until("the last accepted revision is in force", || {
        let revision = system.daemon(1).unwrap().show().revision;
        assert!(revision >= highest, "a revision went back from {highest} to {revision}");
        highest = revision;
        everywhere(&system, 4)
    });
}

#[test]
fn the_samples_have_no_mistakes() {
    let samples = [
        include_str!("../../../examples/skyndibiti.ini"),
        include_str!("../../../examples/authority.ini"),
        SMALL,
    ];
    for sample in samples {
        config::check_configuration("a sample", sample).expect("no mistakes");
    }
    let settings = include_str!("../../../examples/host.ini");
    HostSettings::read("host.ini", settings).expect("no mistakes");
}
