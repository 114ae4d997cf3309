//! A change of primary among daemons that read, ask, freeze and are cut, in any order of events.
//!
//! The engine's own decisions run over a model of time: when a right is given, when evidence suffices,
//! when a stop is complete. What must hold: once the order is given, no daemon holds a right to the
//! old primary, nor gains one afterwards, while servers are let go on, hear of the new primary late or
//! never, and answer only some daemons. Variants that are broken on purpose show that the model would notice.
//!
//! Left out: what servers hold (`history_model.rs`), and what daemons tell each other.

use std::time::{Duration, Instant};

use model::{LogPoint, Name, Term};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use proxy::{
    control::{
        evidence::{HeldPrimaryLease, LeaderByEvidence, judge_statuses},
        record::{PrimaryLeaseDurations, StopProgress, majority},
    },
    statement::EndpointStatus,
};

const STORE_RIGHT_MS: u64 = 1_000;
const EVIDENCE_RIGHT_MS: u64 = 300;
const SERVERS: usize = 3;
/// When the record of the change takes effect; events lie before and after it.
const CHANGE_AT_MS: u64 = 5_000;

/// A question that a daemon asks, to the store or to the servers.
#[derive(Clone, Debug)]
struct Question {
    sent_at_ms: u64,
    /// From the question to the moment at which it is answered there.
    reaches_after_ms: u64,
    /// From there back to the daemon; a frozen daemon takes it up that much later.
    returns_after_ms: u64,
}

impl Question {
    fn answered_at_ms(&self) -> u64 {
        self.sent_at_ms + self.reaches_after_ms
    }

    fn known_at_ms(&self) -> u64 {
        self.answered_at_ms() + self.returns_after_ms
    }
}

/// A round of questions to the servers.
#[derive(Clone, Debug)]
struct Asking {
    question: Question,
    /// Which servers answer this daemon.
    reached: [bool; SERVERS],
}

/// What becomes of a server after the order.
#[derive(Clone, Debug)]
struct Afterwards {
    /// When the driver lets it go on, after the order.
    resumed_after_ms: u64,
    /// When it hears of the new primary, after the order; `None` if it is out of that one's reach.
    hears_after_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Daemon {
    readings: Vec<Question>,
    askings: Vec<Asking>,
    /// Until when its member key stands; it may be taken away at any moment.
    member_until_ms: u64,
    /// When it hears of the change and gives its right up; `None` while it is cut off.
    hears_after_ms: Option<u64>,
    /// From then until the driver sees its answer.
    answer_takes_ms: u64,
}

#[derive(Clone, Debug)]
struct Case {
    daemons: Vec<Daemon>,
    /// When each server is stopped, after the record; `None` if it is out of the driver's reach.
    stops_after_ms: Vec<Option<u64>>,
    /// From a stop until the driver knows of it.
    stop_known_ms: u64,
    /// From the record's effect until the driver knows of it.
    record_known_ms: u64,
    afterwards: Vec<Afterwards>,
}

/// A right to the old primary, as a daemon holds it.
#[derive(Clone, Copy, Debug)]
struct HeldUntil {
    known_at_ms: u64,
    until_ms: u64,
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The driver does not wait until evidence has run out.
    NoEvidenceWait,
    /// The driver does not wait for daemons that do not answer.
    NoStoreWait,
    /// The driver takes one stopped server for enough.
    NoMajority,
    /// A right is counted from when the answer came.
    RightFromAnswer,
    /// Whoever is no member any more gets a right from a reading too.
    RightWithoutMembership,
    /// A majority is enough although the right had ended.
    MajorityAfterGap,
}

fn question(within_ms: std::ops::Range<u64>) -> impl Strategy<Value = Question> {
    (within_ms, 0_u64..400, 0_u64..900).prop_map(
        |(sent_at_ms, reaches_after_ms, returns_after_ms)| Question {
            sent_at_ms,
            reaches_after_ms,
            returns_after_ms,
        },
    )
}

fn asking() -> impl Strategy<Value = Asking> {
    let reached = prop::array::uniform3(prop::bool::weighted(0.8));
    (question(3_000..9_500), reached).prop_map(|(question, reached)| Asking { question, reached })
}

fn afterwards() -> impl Strategy<Value = Afterwards> {
    (300_u64..800, prop::option::weighted(0.6, 300_u64..3_000)).prop_map(
        |(resumed_after_ms, hears_after_ms)| Afterwards { resumed_after_ms, hears_after_ms },
    )
}

fn daemon() -> impl Strategy<Value = Daemon> {
    (
        prop::collection::vec(question(3_000..7_500), 0..6),
        prop::collection::vec(asking(), 0..8),
        prop_oneof![Just(u64::MAX), 2_000_u64..6_000],
        prop::option::weighted(0.7, 0_u64..1_500),
        0_u64..300,
    )
        .prop_map(|(readings, askings, member_until_ms, hears_after_ms, answer_takes_ms)| {
            Daemon { readings, askings, member_until_ms, hears_after_ms, answer_takes_ms }
        })
}

fn case() -> impl Strategy<Value = Case> {
    (
        prop::collection::vec(daemon(), 1..4),
        prop::collection::vec(prop::option::weighted(0.8, 0_u64..1_200), SERVERS),
        0_u64..200,
        0_u64..200,
        prop::collection::vec(afterwards(), SERVERS),
    )
        .prop_map(|(daemons, stops_after_ms, stop_known_ms, record_known_ms, afterwards)| {
            Case { daemons, stops_after_ms, stop_known_ms, record_known_ms, afterwards }
        })
}

impl Case {
    /// When the order is given; `None` if the driver never gets that far.
    fn ordered_at_ms(&self, broken: Broken) -> Option<u64> {
        let base = Instant::now();
        let at = |ms: u64| base + Duration::from_millis(ms);
        let recorded_at_ms = CHANGE_AT_MS + self.record_known_ms;
        let mut stops: Vec<u64> = self.stops_after_ms.iter().flatten().copied().collect();
        stops.sort_unstable();
        let needed = if broken == Broken::NoMajority { 1 } else { majority(SERVERS) };
        // The driver stops servers once it knows that the record stands.
        let last = *stops.get(needed - 1)?;
        let fenced_at_ms = recorded_at_ms + last + self.stop_known_ms;
        let answered_at_ms = self.all_answered_at_ms(recorded_at_ms);
        let bounds = PrimaryLeaseDurations {
            store: Duration::from_millis(match broken {
                Broken::NoStoreWait => 0,
                _ => STORE_RIGHT_MS,
            }),
            evidence: Duration::from_millis(match broken {
                Broken::NoEvidenceWait => 0,
                _ => EVIDENCE_RIGHT_MS,
            }),
        };
        let progress = |all_acknowledged| StopProgress {
            recorded_at: at(recorded_at_ms),
            fenced_at: Some(at(fenced_at_ms)),
            all_acknowledged,
        };
        let complete_ms = |all_acknowledged| {
            let complete_at = progress(all_acknowledged).complete_at(bounds).unwrap();
            complete_at.duration_since(base).as_millis() as u64
        };
        let without = complete_ms(false);
        let with = answered_at_ms.map(|answered| complete_ms(true).max(answered));
        Some(with.map_or(without, |with| with.min(without)))
    }

    /// When every daemon that was a member lately has answered; `None` if one never does.
    fn all_answered_at_ms(&self, recorded_at_ms: u64) -> Option<u64> {
        let lately = recorded_at_ms.saturating_sub(STORE_RIGHT_MS * 11 / 10);
        let required = self.daemons.iter().filter(|daemon| daemon.member_until_ms >= lately);
        let answers = required.map(|daemon| {
            let hears_at = CHANGE_AT_MS + daemon.hears_after_ms?;
            // A member whose key is gone can't write its answer under its lease.
            (daemon.member_until_ms > hears_at).then_some(hears_at + daemon.answer_takes_ms)
        });
        answers.collect::<Option<Vec<u64>>>().map(|all| all.into_iter().max().unwrap_or(0))
    }

    /// The replica that is promoted: the first one that was stopped.
    fn promoted(&self) -> Option<usize> {
        (1..SERVERS).find(|server| self.stops_after_ms[*server].is_some())
    }

    fn status_at(&self, server: usize, ms: u64, ordered_at_ms: u64) -> EndpointStatus {
        let recorded_at_ms = CHANGE_AT_MS + self.record_known_ms;
        let after = &self.afterwards[server];
        let stopped = self.stops_after_ms[server].is_some_and(|after| ms >= recorded_at_ms + after);
        let resumed = ms >= ordered_at_ms + after.resumed_after_ms;
        let is_ordered = ms >= ordered_at_ms;
        let leads_next = is_ordered && self.promoted() == Some(server);
        let follows_next =
            is_ordered && after.hears_after_ms.is_some_and(|hears| ms >= ordered_at_ms + hears);
        let in_next_term = leads_next || follows_next;
        EndpointStatus {
            // The first server leads; stopping it means that it steps down.
            leads: leads_next || (server == 0 && !stopped && !follows_next),
            term: Term(if in_next_term { 2 } else { 1 }),
            received: LogPoint::new(1, 1),
            paused_for: Term(if server > 0 && stopped && !resumed && !in_next_term {
                2
            } else {
                0
            }),
            lag_ms: 0,
            connections: 1,
        }
    }

    /// Returns the rights to the old primary that readings of the store give.
    fn rights_by_store(&self, daemon: &Daemon, broken: Broken) -> Vec<HeldUntil> {
        let gives_up_at = daemon.hears_after_ms.map(|after| CHANGE_AT_MS + after);
        let rights = daemon.readings.iter().filter_map(|reading| {
            let shows_change = reading.answered_at_ms() >= CHANGE_AT_MS;
            let is_member = reading.answered_at_ms() < daemon.member_until_ms
                || broken == Broken::RightWithoutMembership;
            // A reading that comes back after the change was heard of is of a record that is over.
            let too_late = gives_up_at.is_some_and(|at| reading.known_at_ms() >= at);
            if shows_change || !is_member || too_late {
                return None;
            }
            let from = match broken {
                Broken::RightFromAnswer => reading.known_at_ms(),
                _ => reading.sent_at_ms,
            };
            let end = from + STORE_RIGHT_MS;
            let until_ms = gives_up_at.map_or(end, |at| end.min(at));
            Some(HeldUntil { known_at_ms: reading.known_at_ms(), until_ms })
        });
        rights.collect()
    }

    /// Until when a daemon believes that it may use the old primary.
    fn right_until_ms(&self, daemon: &Daemon, ordered_at_ms: u64, broken: Broken) -> u64 {
        let old = LeaderByEvidence { server: Name::from("0"), term: Term(1) };
        let mut rights = self.rights_by_store(daemon, broken);
        let mut askings: Vec<&Asking> = daemon.askings.iter().collect();
        askings.sort_by_key(|asking| asking.question.sent_at_ms);
        for Asking { question, reached } in askings {
            let answering = (0..SERVERS).filter(|server| reached[*server]).map(|server| {
                let status = self.status_at(server, question.answered_at_ms(), ordered_at_ms);
                (Name::from(server.to_string()), status)
            });
            let statuses: Vec<_> = answering.collect();
            let asked_at_ms = question.sent_at_ms;
            let is_in_force = broken == Broken::MajorityAfterGap
                || rights
                    .iter()
                    .any(|right| right.known_at_ms <= asked_at_ms && asked_at_ms < right.until_ms);
            let usable_leader = is_in_force.then(|| old.clone());
            let held = HeldPrimaryLease { known_term: Term(1), usable_leader };
            if judge_statuses(&statuses, SERVERS, &held) == Some(old.clone()) {
                rights.push(HeldUntil {
                    known_at_ms: question.known_at_ms(),
                    until_ms: asked_at_ms + EVIDENCE_RIGHT_MS,
                });
            }
        }
        rights.iter().map(|right| right.until_ms).max().unwrap_or(0)
    }

    fn holds(&self, broken: Broken) -> Result<(), TestCaseError> {
        let Some(ordered_at_ms) = self.ordered_at_ms(broken) else { return Ok(()) };
        for daemon in &self.daemons {
            let until = self.right_until_ms(daemon, ordered_at_ms, broken);
            prop_assert!(
                until <= ordered_at_ms,
                "a right until {until} after the order at {ordered_at_ms}"
            );
        }
        Ok(())
    }
}

fn run(broken: Broken) -> Result<(), String> {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    runner.run(&case(), |case| case.holds(broken)).map_err(|error| error.to_string())
}

#[test]
fn no_right_outlives_the_order() {
    run(Broken::Nothing).unwrap();
}

#[test]
fn a_broken_variant_is_noticed() {
    for broken in [
        Broken::NoEvidenceWait,
        Broken::NoStoreWait,
        Broken::NoMajority,
        Broken::RightFromAnswer,
        Broken::RightWithoutMembership,
        Broken::MajorityAfterGap,
    ] {
        assert!(run(broken).is_err(), "{broken:?} goes unnoticed");
    }
}
