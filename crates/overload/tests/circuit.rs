//! Tests of circuit breakers for failing servers and paths.

use std::time::{Duration, Instant};

use overload::{CircuitBreaker, CircuitChange, PathOutcome};

const STEP: Duration = Duration::from_millis(5);

/// Sends a request every step while the circuit allows it; returns the number of requests sent.
fn send_requests(
    circuit: &mut CircuitBreaker,
    now: &mut Instant,
    steps: usize,
    mut outcome: impl FnMut(usize) -> PathOutcome,
) -> usize {
    let mut sent = 0;
    for step in 0..steps {
        *now += STEP;
        if circuit.allows_request(*now) {
            circuit.on_request(*now);
            circuit.on_outcome(outcome(step), *now);
            sent += 1;
        }
    }
    sent
}

/// An owner that answers while its server is unreachable must not get every request.
#[test]
fn a_refusing_path_gets_few_requests() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    assert_eq!(circuit.on_outcome(PathOutcome::Refused, now), Some(CircuitChange::Opened));
    let sent = send_requests(&mut circuit, &mut now, 1_400, |_| PathOutcome::Refused);
    assert!((5..=15).contains(&sent), "{sent} of 1,400 were tried");
}

/// A server that hangs on half of its requests, although its status check succeeds, must be avoided.
#[test]
fn a_server_that_hangs_on_half_of_its_requests_is_avoided() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    let mut before = 0;
    while circuit.is_closed() {
        now += STEP;
        let outcome = [PathOutcome::Answered, PathOutcome::Failed][before % 2];
        circuit.on_outcome(outcome, now);
        before += 1;
        assert!(before <= 30, "it is still used after {before} requests");
    }
    let sent = send_requests(&mut circuit, &mut now, 400, |step| {
        [PathOutcome::Answered, PathOutcome::Failed][step % 2]
    });
    assert!(sent < 60, "{sent} of 400 sent");
}

/// Single lost answers must not open the circuit.
#[test]
fn a_few_failures_do_not_open_the_circuit() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    for step in 0..1_000 {
        now += STEP;
        let outcome = if step % 10 == 0 { PathOutcome::Failed } else { PathOutcome::Answered };
        assert_eq!(circuit.on_outcome(outcome, now), None);
    }
}

/// Rare failures must not add up over time.
#[test]
fn old_failures_do_not_add_up() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    for _ in 0..20 {
        now += Duration::from_secs(2);
        assert_eq!(circuit.on_outcome(PathOutcome::Failed, now), None);
    }
}

/// A server that restarts with a cold cache must not get all requests at once.
#[test]
fn a_recovered_path_is_probed_first_and_fully_used_within_half_a_second() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    send_requests(&mut circuit, &mut now, 200, |_| PathOutcome::Refused);
    while !circuit.allows_request(now) {
        now += STEP;
    }
    let begun = now;
    let mut sent = 0;
    while !circuit.is_closed() {
        if circuit.allows_request(now) {
            circuit.on_request(now);
            circuit.on_outcome(PathOutcome::Answered, now);
            sent += 1;
        }
        now += STEP;
    }
    assert_eq!(sent, 4);
    assert!(now - begun < Duration::from_millis(500));
}

/// A server that fails and recovers repeatedly is probed less often each time.
#[test]
fn a_flapping_path_is_probed_less_often_each_time() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    let mut lost = Vec::new();
    for _ in 0..6 {
        let down = send_requests(&mut circuit, &mut now, 100, |_| PathOutcome::Refused);
        send_requests(&mut circuit, &mut now, 100, |_| PathOutcome::Answered);
        lost.push(down);
    }
    assert!(lost.iter().sum::<usize>() <= 15, "lost {lost:?}");
}

/// A probe without an outcome must not block the path.
#[test]
fn a_probe_without_an_outcome_does_not_block_the_path() {
    let (mut circuit, mut now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    now += Duration::from_millis(100);
    circuit.on_request(now);
    assert!(!circuit.allows_request(now));
    assert!(circuit.allows_request(now + Duration::from_millis(80)));
}

#[test]
fn outcomes_of_requests_sent_before_it_opened_are_ignored() {
    let (mut circuit, now) = (CircuitBreaker::default(), Instant::now());
    circuit.on_outcome(PathOutcome::Refused, now);
    assert_eq!(circuit.on_outcome(PathOutcome::Answered, now), None);
    assert!(!circuit.allows_request(now));
}
