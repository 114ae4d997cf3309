//! Waiting for what is known to come: a change of primary, a right that lapsed, a server that does not answer.

use std::time::{Duration, Instant};

use overload::{
    Rank,
    hold::{Hold, OngoingOutage, Outage, OutageHistory, Patience, Ticket, WaitingLine, decide},
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
    lengths.iter().for_each(|length| history.note(outage, *length));
    history
}

struct Arrival {
    rank: Rank,
    patience: Patience,
    ticket: Option<Ticket>,
    /// From which time on it comes back, if it was refused.
    returns_at: Option<Instant>,
}

/// 600 statements of three kinds that arrive evenly while a change takes 0.6 s.
fn arrive_during_change(
    history: &OutageHistory,
    line: &mut WaitingLine,
    t0: Instant,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(7);
    let arrive = |number: u64| {
        let now = t0 + ms(number);
        let (rank, target, timeout) = KINDS[number as usize % KINDS.len()];
        let rank = Rank::ALL[rank];
        let patience = Patience { arrived: now, target, timeout };
        let ongoing = OngoingOutage::new(Outage::PlannedChange, t0, now);
        let ticket = line.join(rank);
        let backlog = PACE * line.ahead_of(ticket) as u32;
        match decide(history, &ongoing, &patience, backlog, now) {
            Hold::Wait { .. } => Arrival { rank, patience, ticket: Some(ticket), returns_at: None },
            Hold::Refuse { remaining } => {
                line.leave(ticket);
                let told = RetryDelay { target, timeout }.for_wait(remaining, rng.random());
                Arrival { rank, patience, ticket: None, returns_at: Some(now + told) }
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
    let mut line = WaitingLine::default();
    let arrivals = arrive_during_change(&history, &mut line, t0);
    let over_at = t0 + ms(600);

    let held: Vec<&Arrival> = arrivals.iter().filter(|it| it.ticket.is_some()).collect();
    assert!(held.len() >= 100, "only {} waited", held.len());
    let mut turns: Vec<(Instant, Rank)> = Vec::new();
    for arrival in &held {
        let ticket = arrival.ticket.expect("it waits");
        let latest = arrival.patience.turn_until(Outage::PlannedChange, over_at);
        let turn = line.turn(ticket, PACE, latest, over_at);
        assert!(turn <= arrival.patience.arrived + arrival.patience.timeout / 2);
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
    let arrivals = arrive_during_change(&history, &mut WaitingLine::default(), t0);
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
            let patience = Patience { arrived, target, timeout };
            let mut now = arrived;
            while let Hold::Wait { until } = decide(
                &history,
                &OngoingOutage::new(Outage::Failover, t0, now),
                &patience,
                Duration::ZERO,
                now,
            ) {
                assert!(until > now, "a wait that ends at once");
                now = until;
                if now >= patience.until(Outage::Failover) {
                    break;
                }
            }
            assert!(now <= arrived + timeout / 2, "held for {:?}", now - arrived);
        }
        // Once it has lasted far longer than any before, nobody begins to wait.
        let late = t0 + ms(2_500);
        let patience = Patience { arrived: late, target, timeout };
        let ongoing = OngoingOutage::new(Outage::Failover, t0, late);
        let decided = decide(&history, &ongoing, &patience, Duration::ZERO, late);
        assert!(matches!(decided, Hold::Refuse { .. }), "{decided:?}");
    }
}

/// Load pattern: a split of the fleet for seven seconds. The daemons on the side that can't prove who leads refuse at once after
/// the first moments, so that callers have time to be served on the other side.
#[test]
fn a_right_that_stays_away_is_not_waited_for() {
    let t0 = Instant::now();
    let history = history_of(Outage::LapsedRight, &[ms(40), ms(60), ms(80), ms(80), ms(90)]);
    let held_ms = |arrives_ms: u64| {
        let arrived = t0 + ms(arrives_ms);
        let patience = Patience { arrived, target: ms(400), timeout: ms(1_000) };
        let mut now = arrived;
        loop {
            let ongoing = OngoingOutage::new(Outage::LapsedRight, t0, now);
            match decide(&history, &ongoing, &patience, Duration::ZERO, now) {
                Hold::Wait { until } if until > now => now = until,
                Hold::Wait { .. } | Hold::Refuse { .. } => {
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
    let mut ongoing = OngoingOutage::new(Outage::LapsedRight, t0, t0 + ms(10));
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
    let mut line = WaitingLine::default();
    let (first, second) = (line.join(Rank::ALL[1]), line.join(Rank::ALL[1]));
    assert_eq!(line.turn(second, ms(10), t0 + ms(100), t0), t0 + ms(10));
    line.close();
    line.leave(first);
    assert_eq!(line.turn(second, ms(10), t0 + ms(400), t0 + ms(300)), t0 + ms(300));
    line.leave(second);
    assert!(line.is_empty());
}
