//! Tests of holding statements during an outage of the primary.

use std::time::{Duration, Instant};

use overload::{
    Rank,
    hold::{
        HoldDecision, HoldLimits, HoldQueue, OngoingOutage, Outage, OutageHistory, Ticket, decide,
    },
    retry_delay::RetryDelay,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Interval between two answers of a server with six slots that takes 20 ms for a statement.
const SERVICE_INTERVAL: Duration = Duration::from_micros(20_000 / 6);

/// Kinds of statements: rank, latency target and timeout.
const KINDS: [(usize, Duration, Duration); 3] =
    [(0, ms(200), ms(1_000)), (1, ms(400), ms(1_000)), (2, ms(1_500), ms(3_000))];

fn history_of(outage: Outage, lengths: &[Duration]) -> OutageHistory {
    let mut history = OutageHistory::default();
    lengths.iter().for_each(|length| history.record(outage, *length));
    history
}

struct Arrival {
    rank: Rank,
    limits: HoldLimits,
    ticket: Option<Ticket>,
    /// When the caller retries, if the statement was refused.
    retries_at: Option<Instant>,
}

/// 600 statements of three kinds that arrive evenly while a change takes 0.6 s.
fn arrive_during_change(
    history: &OutageHistory,
    queue: &mut HoldQueue,
    t0: Instant,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(7);
    let arrive = |number: u64| {
        let now = t0 + ms(number);
        let (rank, target, timeout) = KINDS[number as usize % KINDS.len()];
        let rank = Rank::ALL[rank];
        let limits = HoldLimits { arrived: now, target, timeout };
        let ongoing = OngoingOutage::new(Outage::PlannedChange, t0, now);
        let ticket = queue.enqueue(rank);
        let backlog = SERVICE_INTERVAL * queue.ahead_of(ticket) as u32;
        match decide(history, &ongoing, &limits, backlog, now) {
            HoldDecision::Wait { .. } => {
                Arrival { rank, limits, ticket: Some(ticket), retries_at: None }
            }
            HoldDecision::Refuse { remaining } => {
                queue.remove(ticket);
                let delay = RetryDelay { target, timeout }.for_wait(remaining, rng.random());
                Arrival { rank, limits, ticket: None, retries_at: Some(now + delay) }
            }
        }
    };
    (0..600).map(arrive).collect()
}

/// During a planned change, statements with enough time are held; urgent ones must be released first.
#[test]
fn statements_with_enough_time_are_held_and_released_by_rank() {
    let t0 = Instant::now();
    let history = history_of(Outage::PlannedChange, &[ms(600); 5]);
    let mut queue = HoldQueue::default();
    let arrivals = arrive_during_change(&history, &mut queue, t0);
    let ended_at = t0 + ms(600);

    let held: Vec<&Arrival> = arrivals.iter().filter(|it| it.ticket.is_some()).collect();
    assert!(held.len() >= 100, "only {} waited", held.len());
    let mut releases: Vec<(Instant, Rank)> = Vec::new();
    for arrival in &held {
        let ticket = arrival.ticket.expect("it waits");
        let latest = arrival.limits.release_deadline(Outage::PlannedChange, ended_at);
        let release_at = queue.release_time(ticket, SERVICE_INTERVAL, latest, ended_at);
        assert!(release_at <= arrival.limits.arrived + arrival.limits.timeout / 2);
        assert!(release_at >= ended_at);
        releases.push((release_at, arrival.rank));
    }
    let last_urgent = releases.iter().filter(|it| it.1 == Rank::ALL[0]).map(|it| it.0).max();
    let first_least = releases.iter().filter(|it| it.1 == Rank::ALL[2]).map(|it| it.0).min();
    assert!(last_urgent <= first_least, "a less urgent statement is released before an urgent one");
    let immediate = releases.iter().filter(|it| it.0 == ended_at).count();
    assert!(immediate <= 1, "{immediate} are released at once");
}

/// Refused statements must not be retried during the change or all at the same time.
#[test]
fn refused_statements_are_retried_after_the_end_and_not_all_at_once() {
    let t0 = Instant::now();
    let history = history_of(Outage::PlannedChange, &[ms(600); 5]);
    let arrivals = arrive_during_change(&history, &mut HoldQueue::default(), t0);
    let ended_at = t0 + ms(600);
    let mut retries: Vec<Duration> = Vec::new();
    for arrival in &arrivals {
        let Some(at) = arrival.retries_at else { continue };
        assert!(at >= ended_at, "the retry is scheduled before the end of the outage");
        retries.push(at - ended_at);
    }
    assert!(retries.len() >= 100, "only {} were refused", retries.len());
    let max_count = (0..40).map(|tenth| {
        let (from, to) = (ms(10 * tenth), ms(10 * (tenth + 1)));
        retries.iter().filter(|at| **at >= from && **at < to).count()
    });
    let max_count = max_count.max().expect("there are spans");
    assert!(max_count * 4 <= retries.len(), "{max_count} of {} retry within 10 ms", retries.len());
}

/// An outage that lasts ten times as long as the earlier ones must not exceed the limits of held statements.
#[test]
fn no_statement_is_held_beyond_its_limits() {
    let t0 = Instant::now();
    let history = history_of(Outage::Failover, &[ms(400); 8]);
    for (_, target, timeout) in KINDS {
        for arrives_ms in (0..4_000).step_by(50) {
            let arrived = t0 + ms(arrives_ms);
            let limits = HoldLimits { arrived, target, timeout };
            let mut now = arrived;
            while let HoldDecision::Wait { until } = decide(
                &history,
                &OngoingOutage::new(Outage::Failover, t0, now),
                &limits,
                Duration::ZERO,
                now,
            ) {
                assert!(until > now, "the wait ends at once");
                now = until;
                if now >= limits.hold_deadline(Outage::Failover) {
                    break;
                }
            }
            assert!(now <= arrived + timeout / 2, "held for {:?}", now - arrived);
        }
        // After more than the length of all earlier outages, no statement starts to wait.
        let late = t0 + ms(2_500);
        let limits = HoldLimits { arrived: late, target, timeout };
        let ongoing = OngoingOutage::new(Outage::Failover, t0, late);
        let decided = decide(&history, &ongoing, &limits, Duration::ZERO, late);
        assert!(matches!(decided, HoldDecision::Refuse { .. }), "{decided:?}");
    }
}

/// During a partition, daemons that can't renew their lease must refuse early, so that callers can retry elsewhere.
#[test]
fn no_statement_is_held_during_a_long_lapse_of_the_lease() {
    let t0 = Instant::now();
    let history = history_of(Outage::LapsedLease, &[ms(40), ms(60), ms(80), ms(80), ms(90)]);
    let held_ms = |arrives_ms: u64| {
        let arrived = t0 + ms(arrives_ms);
        let limits = HoldLimits { arrived, target: ms(400), timeout: ms(1_000) };
        let mut now = arrived;
        loop {
            let ongoing = OngoingOutage::new(Outage::LapsedLease, t0, now);
            match decide(&history, &ongoing, &limits, Duration::ZERO, now) {
                HoldDecision::Wait { until } if until > now => now = until,
                HoldDecision::Wait { .. } | HoldDecision::Refuse { .. } => {
                    return (now - arrived).as_millis() as u64;
                }
            }
        }
    };
    assert!(held_ms(0) > 0, "a lease that is usually renewed within 0.1 s is waited for");
    for arrives_ms in (1_000..7_000).step_by(100) {
        assert_eq!(held_ms(arrives_ms), 0);
    }
}

#[test]
fn the_expected_remaining_time_grows_with_the_elapsed_time() {
    let history = history_of(Outage::Failover, &[ms(500), ms(500), ms(600), ms(4_000)]);
    assert_eq!(history.remaining(Outage::Failover, Duration::ZERO), ms(600));
    assert_eq!(history.remaining(Outage::Failover, ms(550)), ms(1_450));
    assert_eq!(history.remaining(Outage::Failover, ms(3_000)), ms(1_000));
    assert_eq!(history.remaining(Outage::Failover, ms(5_000)), ms(5_000));
}

#[test]
fn an_unobserved_end_gives_no_length() {
    let t0 = Instant::now();
    let mut ongoing = OngoingOutage::new(Outage::LapsedLease, t0, t0 + ms(10));
    ongoing.observe(t0 + ms(400));
    assert_eq!(ongoing.length(t0 + ms(500)), Some(ms(500)));
    assert_eq!(ongoing.length(t0 + ms(900)), None);
}

/// In a rarely used group, an old outage whose end was not observed must not count as the current one.
#[test]
fn an_outage_that_was_not_observed_for_long_is_forgotten() {
    let t0 = Instant::now();
    let mut ongoing = OngoingOutage::new(Outage::Unreachable, t0, t0);
    ongoing.observe(t0 + ms(1_000));
    assert!(ongoing.is_same(Outage::Unreachable, t0 + ms(2_900)));
    assert!(!ongoing.is_same(Outage::Unreachable, t0 + ms(3_100)));
    assert!(!ongoing.is_same(Outage::Failover, t0 + ms(1_100)));
}

/// After a cancelled change, waiting statements must not keep their former release times.
#[test]
fn release_times_are_cleared_when_the_change_is_cancelled() {
    let t0 = Instant::now();
    let mut queue = HoldQueue::default();
    let (first, second) = (queue.enqueue(Rank::ALL[1]), queue.enqueue(Rank::ALL[1]));
    assert_eq!(queue.release_time(second, ms(10), t0 + ms(100), t0), t0 + ms(10));
    queue.clear_release_times();
    queue.remove(first);
    assert_eq!(queue.release_time(second, ms(10), t0 + ms(400), t0 + ms(300)), t0 + ms(300));
    queue.remove(second);
    assert!(queue.is_empty());
}
