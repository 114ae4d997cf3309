//! Circuits under servers and paths that misbehave, without network.

use std::time::{Duration, Instant};

use overload::{CircuitBreaker, CircuitChange, PathOutcome};

const STEP: Duration = Duration::from_millis(5);

/// Asks every few milliseconds for a while; returns how many passed, of so many.
fn drive(
    circuit: &mut CircuitBreaker,
    now: &mut Instant,
    steps: usize,
    mut outcome: impl FnMut(usize) -> PathOutcome,
) -> usize {
    let mut passed = 0;
    for step in 0..steps {
        *now += STEP;
        if circuit.allows_request(*now) {
            circuit.on_request(*now);
            circuit.on_outcome(outcome(step), *now);
            passed += 1;
        }
    }
    passed
}

/// The pattern: an owner that answers its link while its server is out of its reach; without a circuit each request of seven
/// seconds is handed over in vain.
#[test]
fn a_path_that_refuses_sees_few_tries() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    assert_eq!(circuit.on_outcome(PathOutcome::Refused, now), Some(CircuitChange::Opened));
    let passed = drive(&mut circuit, &mut now, 1_400, |_| PathOutcome::Refused);
    assert!((5..=15).contains(&passed), "{passed} of 1,400 were tried");
}

/// The pattern: one server of three hangs on half of its requests while its status check is good.
#[test]
fn a_server_that_hangs_on_half_of_its_requests_is_set_aside_within_some_tens() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    let mut before = 0;
    while circuit.is_closed() {
        now += STEP;
        let outcome = [PathOutcome::Answered, PathOutcome::Failed][before % 2];
        circuit.on_outcome(outcome, now);
        before += 1;
        assert!(before <= 30, "it is still used after {before} requests");
    }
    let passed = drive(&mut circuit, &mut now, 400, |step| {
        [PathOutcome::Answered, PathOutcome::Failed][step % 2]
    });
    assert!(passed < 60, "{passed} of 400 passed");
}

/// The pattern: answers that are lost on their way, a few in a hundred; none of them says anything of the path.
#[test]
fn a_few_losses_set_nothing_aside() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    for step in 0..1_000 {
        now += STEP;
        let outcome = if step % 10 == 0 { PathOutcome::Failed } else { PathOutcome::Answered };
        assert_eq!(circuit.on_outcome(outcome, now), None);
    }
}

/// The pattern: three daemons' requests are lost at one moment, and the next one is answered.
#[test]
fn losses_of_long_ago_do_not_add_up() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    for _ in 0..20 {
        now += Duration::from_secs(2);
        assert_eq!(circuit.on_outcome(PathOutcome::Failed, now), None);
    }
}

/// The pattern: a server comes back with a cold cache; all of its callers at once would throw it down again.
#[test]
fn a_path_that_is_back_is_used_by_few_first_and_by_all_within_half_a_second() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    drive(&mut circuit, &mut now, 200, |_| PathOutcome::Refused);
    while !circuit.allows_request(now) {
        now += STEP;
    }
    let begun = now;
    let mut passed = 0;
    while !circuit.is_closed() {
        if circuit.allows_request(now) {
            circuit.on_request(now);
            circuit.on_outcome(PathOutcome::Answered, now);
            passed += 1;
        }
        now += STEP;
    }
    assert_eq!(passed, 4);
    assert!(now - begun < Duration::from_millis(500));
}

/// The pattern: a server goes down and up by turns, each for a few hundred milliseconds; it is tried less and less often.
#[test]
fn a_path_that_flaps_is_set_aside_for_longer_each_time() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    let mut lost = Vec::new();
    for _ in 0..6 {
        let down = drive(&mut circuit, &mut now, 100, |_| PathOutcome::Refused);
        drive(&mut circuit, &mut now, 100, |_| PathOutcome::Answered);
        lost.push(down);
    }
    assert!(lost.iter().sum::<usize>() <= 15, "lost {lost:?}");
}

/// The pattern: a try whose asker has gone away, and of which nothing is ever heard again.
#[test]
fn a_try_without_an_outcome_holds_up_nobody() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    now += Duration::from_millis(100);
    circuit.on_request(now);
    assert!(!circuit.allows_request(now));
    assert!(circuit.allows_request(now + Duration::from_millis(80)));
}

#[test]
fn what_was_sent_before_it_opened_changes_nothing() {
    let (mut circuit, now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    assert_eq!(circuit.on_outcome(PathOutcome::Answered, now), None);
    assert!(!circuit.allows_request(now));
}
