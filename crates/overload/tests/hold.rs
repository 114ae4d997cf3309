//! Waiting for what is known to come: a change of primary, a right that lapsed, a server that does not answer.

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

/// A server's slots and how long it takes for a statement, as one entry that has it for itself sees it.
const PACE: Duration = Duration::from_micros(20_000 / 6);

/// A kind of statement: its rank, its latency target and its route's time.
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
    /// From which time on it comes back, if it was refused.
    returns_at: Option<Instant>,
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
        let backlog = PACE * queue.ahead_of(ticket) as u32;
        match decide(history, &ongoing, &limits, backlog, now) {
            HoldDecision::Wait { .. } => {
                Arrival { rank, limits, ticket: Some(ticket), returns_at: None }
            }
            HoldDecision::Refuse { remaining } => {
                queue.remove(ticket);
                let told = RetryDelay { target, timeout }.for_wait(remaining, rng.random());
                Arrival { rank, limits, ticket: None, returns_at: Some(now + told) }
            }
        }
    };
    (0..600).map(arrive).collect()
}

/// Load pattern: 1,000 statements a second meet a change of primary that takes 0.6 s.
#[test]
fn those_whose_time_bears_it_wait_and_go_by_rank() {
    let t0 = Instant::now();
    let history = history_of(Outage::PlannedChange, &[ms(600); 5]);
    let mut queue = HoldQueue::default();
    let arrivals = arrive_during_change(&history, &mut queue, t0);
    let over_at = t0 + ms(600);

    let held: Vec<&Arrival> = arrivals.iter().filter(|it| it.ticket.is_some()).collect();
    assert!(held.len() >= 100, "only {} waited", held.len());
    let mut turns: Vec<(Instant, Rank)> = Vec::new();
    for arrival in &held {
        let ticket = arrival.ticket.expect("it waits");
        let latest = arrival.limits.release_deadline(Outage::PlannedChange, over_at);
        let turn = queue.release_time(ticket, PACE, latest, over_at);
        assert!(turn <= arrival.limits.arrived + arrival.limits.timeout / 2);
        assert!(turn >= over_at);
        turns.push((turn, arrival.rank));
    }
    let last_urgent = turns.iter().filter(|it| it.1 == Rank::ALL[0]).map(|it| it.0).max();
    let first_least = turns.iter().filter(|it| it.1 == Rank::ALL[2]).map(|it| it.0).min();
    assert!(last_urgent <= first_least, "a less urgent statement goes before an urgent one");
    let at_once = turns.iter().filter(|it| it.0 == over_at).count();
    assert!(at_once <= 1, "{at_once} go at once");
}

/// Load pattern: the same; here those that can't wait so long.
#[test]
fn those_that_cannot_wait_are_told_the_end_and_do_not_return_together() {
    let t0 = Instant::now();
    let history = history_of(Outage::PlannedChange, &[ms(600); 5]);
    let arrivals = arrive_during_change(&history, &mut HoldQueue::default(), t0);
    let over_at = t0 + ms(600);
    let mut returns: Vec<Duration> = Vec::new();
    for arrival in &arrivals {
        let Some(at) = arrival.returns_at else { continue };
        assert!(at >= over_at, "told to come back before the end");
        returns.push(at - over_at);
    }
    assert!(returns.len() >= 100, "only {} were refused", returns.len());
    let most = (0..40).map(|tenth| {
        let (from, to) = (ms(10 * tenth), ms(10 * (tenth + 1)));
        returns.iter().filter(|at| **at >= from && **at < to).count()
    });
    let most = most.max().expect("there are spans");
    assert!(most * 4 <= returns.len(), "{most} of {} return within 10 ms", returns.len());
}

/// Load pattern: a change that takes ten times as long as those before it.
#[test]
fn nobody_is_held_for_longer_than_it_bears() {
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
                assert!(until > now, "a wait that ends at once");
                now = until;
                if now >= limits.hold_deadline(Outage::Failover) {
                    break;
                }
            }
            assert!(now <= arrived + timeout / 2, "held for {:?}", now - arrived);
        }
        // Once it has lasted far longer than any before, nobody begins to wait.
        let late = t0 + ms(2_500);
        let limits = HoldLimits { arrived: late, target, timeout };
        let ongoing = OngoingOutage::new(Outage::Failover, t0, late);
        let decided = decide(&history, &ongoing, &limits, Duration::ZERO, late);
        assert!(matches!(decided, HoldDecision::Refuse { .. }), "{decided:?}");
    }
}

/// Load pattern: a split of the fleet for seven seconds. The daemons on the side that can't prove who leads refuse at once after
/// the first moments, so that callers have time to be served on the other side.
#[test]
fn a_right_that_stays_away_is_not_waited_for() {
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
    assert!(held_ms(0) > 0, "a right that is mostly back within 0.1 s is waited for");
    for arrives_ms in (1_000..7_000).step_by(100) {
        assert_eq!(held_ms(arrives_ms), 0);
    }
}

#[test]
fn the_longer_it_lasts_the_longer_it_is_expected_to_last() {
    let history = history_of(Outage::Failover, &[ms(500), ms(500), ms(600), ms(4_000)]);
    assert_eq!(history.remaining(Outage::Failover, Duration::ZERO), ms(600));
    assert_eq!(history.remaining(Outage::Failover, ms(550)), ms(1_450));
    assert_eq!(history.remaining(Outage::Failover, ms(3_000)), ms(1_000));
    assert_eq!(history.remaining(Outage::Failover, ms(5_000)), ms(5_000));
}

#[test]
fn an_end_that_nobody_saw_tells_no_length() {
    let t0 = Instant::now();
    let mut ongoing = OngoingOutage::new(Outage::LapsedLease, t0, t0 + ms(10));
    ongoing.observe(t0 + ms(400));
    assert_eq!(ongoing.length(t0 + ms(500)), Some(ms(500)));
    assert_eq!(ongoing.length(t0 + ms(900)), None);
}

/// A group that is rarely asked for: what failed there long ago and was never seen to end is not what fails now.
#[test]
fn an_outage_that_nobody_looked_at_for_long_is_forgotten() {
    let t0 = Instant::now();
    let mut ongoing = OngoingOutage::new(Outage::Unreachable, t0, t0);
    ongoing.observe(t0 + ms(1_000));
    assert!(ongoing.is_same(Outage::Unreachable, t0 + ms(2_900)));
    assert!(!ongoing.is_same(Outage::Unreachable, t0 + ms(3_100)));
    assert!(!ongoing.is_same(Outage::Failover, t0 + ms(1_100)));
}

/// A change that is called off: what waited for its end has no turn any more, and gets a new one with the next end.
#[test]
fn turns_end_with_what_they_were_given_for() {
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
