//! Model test of a change of primary with delayed, frozen and disconnected daemons.
//!
//! Runs the engine's decisions on leases, evidence and fencing over a model of time. Invariant: once the promotion is
//! ordered, no daemon holds or gains a lease for the old primary, even if servers are resumed, learn of the new primary
//! late or never, and answer only some daemons. A former promoter may resume servers at any time, except after the order
//! if the old primary could not be stepped down: `docs/PLATFORM.md`, "Commands to servers", states that gap. Injected
//! defects show that the model detects violations.
//!
//! Not modelled: the servers' logs (`history_model.rs`) and messages between daemons.

use std::time::{Duration, Instant};

use model::{LogPoint, Name, Term};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use proxy::{
    control::{
        evidence::{HeldPrimaryLease, LeaderByEvidence, judge_statuses},
        record::{FencingProgress, PrimaryLeaseDurations, majority},
    },
    statement::EndpointStatus,
};

const STORE_LEASE_MS: u64 = 1_000;
const EVIDENCE_LEASE_MS: u64 = 300;
const SERVERS: usize = 3;
/// When the record of the change takes effect; events happen before and after it.
const CHANGE_AT_MS: u64 = 5_000;

/// A request of a daemon to the store or to the servers.
#[derive(Clone, Debug)]
struct Request {
    sent_at_ms: u64,
    /// From sending the request to its processing.
    request_delay_ms: u64,
    /// From the processing until the daemon handles the response; longer if the daemon is frozen.
    response_delay_ms: u64,
}

impl Request {
    fn processed_at_ms(&self) -> u64 {
        self.sent_at_ms + self.request_delay_ms
    }

    fn received_at_ms(&self) -> u64 {
        self.processed_at_ms() + self.response_delay_ms
    }
}

/// One query of all servers for evidence.
#[derive(Clone, Debug)]
struct EvidenceQuery {
    request: Request,
    /// Which servers answer this daemon.
    reachable: [bool; SERVERS],
}

/// What happens to a server after the order.
#[derive(Clone, Debug)]
struct AfterOrder {
    /// When the promoter resumes it, after the order.
    resumed_after_ms: u64,
    /// When it learns of the new primary, after the order; `None` if it can't reach the new primary.
    learns_after_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Daemon {
    store_reads: Vec<Request>,
    evidence_queries: Vec<EvidenceQuery>,
    /// Until when its member key exists; it may be removed at any time.
    member_until_ms: u64,
    /// When it learns of the change and drops its lease; `None` while it is disconnected.
    learns_after_ms: Option<u64>,
    /// From learning of the change until the promoter sees the acknowledgement.
    acknowledge_delay_ms: u64,
}

#[derive(Clone, Debug)]
struct Case {
    daemons: Vec<Daemon>,
    /// When each server is stopped, after the record; `None` if the promoter can't reach it.
    stops_after_ms: Vec<Option<u64>>,
    /// From a stop until the promoter receives the reply to it.
    stop_reply_delay_ms: u64,
    /// From the record's effect until the promoter receives the reply to its write.
    record_reply_delay_ms: u64,
    after_order: Vec<AfterOrder>,
    /// Whether the old primary leads until the daemons have stopped.
    is_planned: bool,
    /// When the resume of a former promoter reaches each server, after the record; `None` if there is none.
    late_resumes_after_ms: Vec<Option<u64>>,
}

/// When the steps of a change are done.
#[derive(Clone, Copy, Debug)]
struct Timeline {
    /// When the old primary steps down; `None` if the promoter can't reach it, or does not step it down.
    stepped_down_at_ms: Option<u64>,
    /// Whether the promoter knows of that when the group is fenced.
    is_step_down_known: bool,
    ordered_at_ms: u64,
}

/// A daemon's lease for the old primary.
#[derive(Clone, Copy, Debug)]
struct Lease {
    received_at_ms: u64,
    expires_at_ms: u64,
}

/// A defect that is injected into the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    Nothing,
    /// The promoter does not wait until evidence has expired.
    NoEvidenceWait,
    /// The promoter does not wait for daemons that do not acknowledge the stop.
    NoStoreWait,
    /// The promoter accepts one stopped server as enough.
    NoMajority,
    /// A lease is counted from the arrival of the response.
    LeaseFromResponse,
    /// A daemon that is no longer a member gets a lease from a store read.
    LeaseWithoutMembership,
    /// A majority suffices after the lease has expired.
    MajorityAfterExpiry,
    /// A planned change leaves the old primary leading until the order takes effect.
    NoStepDown,
    /// The promoter does not verify before the order that the servers are still paused.
    NoFenceCheck,
}

fn request(sent_range_ms: std::ops::Range<u64>) -> impl Strategy<Value = Request> {
    (sent_range_ms, 0_u64..400, 0_u64..900).prop_map(
        |(sent_at_ms, request_delay_ms, response_delay_ms)| Request {
            sent_at_ms,
            request_delay_ms,
            response_delay_ms,
        },
    )
}

fn evidence_query() -> impl Strategy<Value = EvidenceQuery> {
    let reachable = prop::array::uniform3(prop::bool::weighted(0.8));
    (request(3_000..9_500), reachable)
        .prop_map(|(request, reachable)| EvidenceQuery { request, reachable })
}

fn after_order() -> impl Strategy<Value = AfterOrder> {
    (300_u64..800, prop::option::weighted(0.6, 300_u64..3_000)).prop_map(
        |(resumed_after_ms, learns_after_ms)| AfterOrder { resumed_after_ms, learns_after_ms },
    )
}

fn daemon() -> impl Strategy<Value = Daemon> {
    (
        prop::collection::vec(request(3_000..7_500), 0..6),
        prop::collection::vec(evidence_query(), 0..8),
        prop_oneof![Just(u64::MAX), 2_000_u64..6_000],
        prop::option::weighted(0.7, 0_u64..1_500),
        0_u64..300,
    )
        .prop_map(
            |(
                store_reads,
                evidence_queries,
                member_until_ms,
                learns_after_ms,
                acknowledge_delay_ms,
            )| {
                Daemon {
                    store_reads,
                    evidence_queries,
                    member_until_ms,
                    learns_after_ms,
                    acknowledge_delay_ms,
                }
            },
        )
}

fn case() -> impl Strategy<Value = Case> {
    let late_resume = prop::option::weighted(0.3, 0_u64..4_000);
    (
        prop::collection::vec(daemon(), 1..4),
        prop::collection::vec(prop::option::weighted(0.8, 0_u64..1_200), SERVERS),
        0_u64..200,
        0_u64..200,
        prop::collection::vec(after_order(), SERVERS),
        any::<bool>(),
        prop::collection::vec(late_resume, SERVERS),
    )
        .prop_map(
            |(
                daemons,
                stops_after_ms,
                stop_reply_delay_ms,
                record_reply_delay_ms,
                after_order,
                is_planned,
                late_resumes_after_ms,
            )| {
                Case {
                    daemons,
                    stops_after_ms,
                    stop_reply_delay_ms,
                    record_reply_delay_ms,
                    after_order,
                    is_planned,
                    late_resumes_after_ms,
                }
            },
        )
}

impl Case {
    fn recorded_at_ms(&self) -> u64 {
        CHANGE_AT_MS + self.record_reply_delay_ms
    }

    /// When the promoter stops a server, if nothing delays that.
    fn stopped_at_ms(&self, server: usize) -> Option<u64> {
        self.stops_after_ms[server].map(|after| self.recorded_at_ms() + after)
    }

    /// When the fence has been kept for long enough, if it was complete at `fenced_at_ms`; with `None`, when the
    /// old primary of a planned change is stepped down.
    fn waited_until_ms(&self, fenced_at_ms: Option<u64>, defect: Defect) -> u64 {
        let base = Instant::now();
        let at = |ms: u64| base + Duration::from_millis(ms);
        let recorded_at_ms = self.recorded_at_ms();
        let bounds = PrimaryLeaseDurations {
            store: Duration::from_millis(match defect {
                Defect::NoStoreWait => 0,
                _ => STORE_LEASE_MS,
            }),
            evidence: Duration::from_millis(match defect {
                Defect::NoEvidenceWait => 0,
                _ => EVIDENCE_LEASE_MS,
            }),
        };
        let complete_ms = |all_acknowledged| {
            let progress = FencingProgress {
                recorded_at: at(recorded_at_ms),
                fenced_at: fenced_at_ms.map(at),
                all_acknowledged,
            };
            let complete_at = progress.complete_at(bounds).unwrap_or(progress.step_down_at(bounds));
            complete_at.duration_since(base).as_millis() as u64
        };
        let unacknowledged_ms = complete_ms(false);
        let acknowledged_ms =
            self.all_acknowledged_at_ms(recorded_at_ms).map(|at_ms| complete_ms(true).max(at_ms));
        acknowledged_ms.map_or(unacknowledged_ms, |at_ms| at_ms.min(unacknowledged_ms))
    }

    /// Returns the steps of the change; `None` if the promoter can't stop enough servers or keep them stopped.
    fn timeline(&self, defect: Defect) -> Option<Timeline> {
        let needed = if defect == Defect::NoMajority { 1 } else { majority(SERVERS) };
        let earliest = |servers: std::ops::Range<usize>| {
            let mut stops: Vec<u64> =
                servers.filter_map(|server| self.stopped_at_ms(server)).collect();
            stops.sort_unstable();
            stops.get(needed - 1).copied()
        };
        let paused_at_ms = earliest(1..SERVERS).filter(|_| self.is_planned);
        let (last_ms, stepped_down_at_ms) = match paused_at_ms {
            // The old primary leads until the daemons have stopped.
            Some(paused_at_ms) => {
                let waited_until_ms = self.waited_until_ms(None, defect).max(paused_at_ms);
                let stop = self.stopped_at_ms(0).filter(|_| defect != Defect::NoStepDown);
                let stepped_down_at_ms = stop.map(|at_ms| at_ms.max(waited_until_ms));
                (stepped_down_at_ms.unwrap_or(paused_at_ms), stepped_down_at_ms)
            }
            None => (earliest(0..SERVERS)?, self.stopped_at_ms(0)),
        };
        let fenced_at_ms = last_ms + self.stop_reply_delay_ms;
        let timeline = Timeline {
            stepped_down_at_ms,
            is_step_down_known: stepped_down_at_ms.is_some_and(|at_ms| at_ms <= last_ms),
            ordered_at_ms: self.waited_until_ms(Some(fenced_at_ms), defect),
        };
        let is_checked = !matches!(defect, Defect::NoFenceCheck | Defect::NoStepDown);
        let is_fenced = timeline.is_step_down_known || !is_checked || {
            let statuses = (1..SERVERS)
                .map(|server| self.status_at(server, timeline.ordered_at_ms - 1, timeline));
            statuses.filter(|status| status.paused_for > Term(0)).count() >= needed
        };
        is_fenced.then_some(timeline)
    }

    /// When every recent member has acknowledged the stop; `None` if one never does.
    fn all_acknowledged_at_ms(&self, recorded_at_ms: u64) -> Option<u64> {
        let since_ms = recorded_at_ms.saturating_sub(STORE_LEASE_MS * 11 / 10);
        let required = self.daemons.iter().filter(|daemon| daemon.member_until_ms >= since_ms);
        let acknowledgements = required.map(|daemon| {
            let learned_at = CHANGE_AT_MS + daemon.learns_after_ms?;
            // A daemon without a member key can't write its acknowledgement under its lease.
            (daemon.member_until_ms > learned_at)
                .then_some(learned_at + daemon.acknowledge_delay_ms)
        });
        acknowledgements.collect::<Option<Vec<u64>>>().map(|all| all.into_iter().max().unwrap_or(0))
    }

    /// Returns the promoted replica: the first one that was stopped.
    fn promoted(&self) -> Option<usize> {
        (1..SERVERS).find(|server| self.stops_after_ms[*server].is_some())
    }

    fn status_at(&self, server: usize, ms: u64, timeline: Timeline) -> EndpointStatus {
        let ordered_at_ms = timeline.ordered_at_ms;
        let after = &self.after_order[server];
        let stopped_at_ms = match server {
            0 => timeline.stepped_down_at_ms,
            _ => self.stopped_at_ms(server),
        };
        let stopped = stopped_at_ms.is_some_and(|at_ms| ms >= at_ms);
        let late_resume_ms =
            self.late_resumes_after_ms[server].map(|after| self.recorded_at_ms() + after);
        // A resume before the pause has no effect.
        let resumed_late = late_resume_ms.is_some_and(|at_ms| {
            ms >= at_ms
                && stopped_at_ms.is_some_and(|stopped_at_ms| at_ms > stopped_at_ms)
                && (timeline.is_step_down_known || at_ms < ordered_at_ms)
        });
        let resumed = resumed_late || ms >= ordered_at_ms + after.resumed_after_ms;
        let is_ordered = ms >= ordered_at_ms;
        let leads_next = is_ordered && self.promoted() == Some(server);
        let follows_next =
            is_ordered && after.learns_after_ms.is_some_and(|learns| ms >= ordered_at_ms + learns);
        let in_next_term = leads_next || follows_next;
        EndpointStatus {
            // The first server is the primary; it is stepped down, the others are paused.
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

    /// Returns the leases for the old primary that store reads grant.
    fn leases_from_store(&self, daemon: &Daemon, defect: Defect) -> Vec<Lease> {
        let dropped_at = daemon.learns_after_ms.map(|after| CHANGE_AT_MS + after);
        let leases = daemon.store_reads.iter().filter_map(|store_read| {
            let shows_change = store_read.processed_at_ms() >= CHANGE_AT_MS;
            let is_member = store_read.processed_at_ms() < daemon.member_until_ms
                || defect == Defect::LeaseWithoutMembership;
            // A response that arrives after the daemon learned of the change is outdated.
            let too_late = dropped_at.is_some_and(|at| store_read.received_at_ms() >= at);
            if shows_change || !is_member || too_late {
                return None;
            }
            let from = match defect {
                Defect::LeaseFromResponse => store_read.received_at_ms(),
                _ => store_read.sent_at_ms,
            };
            let end = from + STORE_LEASE_MS;
            let expires_at_ms = dropped_at.map_or(end, |at| end.min(at));
            Some(Lease { received_at_ms: store_read.received_at_ms(), expires_at_ms })
        });
        leases.collect()
    }

    /// Returns until when a daemon uses the old primary.
    fn latest_lease_expiry_ms(&self, daemon: &Daemon, timeline: Timeline, defect: Defect) -> u64 {
        let old = LeaderByEvidence { server: Name::from("0"), term: Term(1) };
        let mut leases = self.leases_from_store(daemon, defect);
        let mut evidence_queries: Vec<&EvidenceQuery> = daemon.evidence_queries.iter().collect();
        evidence_queries.sort_by_key(|evidence_query| evidence_query.request.sent_at_ms);
        for EvidenceQuery { request, reachable } in evidence_queries {
            let answering = (0..SERVERS).filter(|server| reachable[*server]).map(|server| {
                let status = self.status_at(server, request.processed_at_ms(), timeline);
                (Name::from(server.to_string()), status)
            });
            let statuses: Vec<_> = answering.collect();
            let asked_at_ms = request.sent_at_ms;
            let is_lease_valid = defect == Defect::MajorityAfterExpiry
                || leases.iter().any(|lease| {
                    lease.received_at_ms <= asked_at_ms && asked_at_ms < lease.expires_at_ms
                });
            let usable_leader = is_lease_valid.then(|| old.clone());
            let held = HeldPrimaryLease { known_term: Term(1), usable_leader };
            if judge_statuses(&statuses, SERVERS, &held) == Some(old.clone()) {
                leases.push(Lease {
                    received_at_ms: request.received_at_ms(),
                    expires_at_ms: asked_at_ms + EVIDENCE_LEASE_MS,
                });
            }
        }
        leases.iter().map(|lease| lease.expires_at_ms).max().unwrap_or(0)
    }

    fn check_invariant(&self, defect: Defect) -> Result<(), TestCaseError> {
        let Some(timeline) = self.timeline(defect) else { return Ok(()) };
        let ordered_at_ms = timeline.ordered_at_ms;
        for daemon in &self.daemons {
            let until = self.latest_lease_expiry_ms(daemon, timeline, defect);
            prop_assert!(
                until <= ordered_at_ms,
                "a lease until {until} after the order at {ordered_at_ms}"
            );
        }
        Ok(())
    }
}

fn run(defect: Defect) -> Result<(), String> {
    let config = Config { cases: 60_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    runner.run(&case(), |case| case.check_invariant(defect)).map_err(|error| error.to_string())
}

#[test]
fn no_lease_outlives_the_order() {
    run(Defect::Nothing).unwrap();
}

#[test]
fn every_injected_defect_is_detected() {
    for defect in [
        Defect::NoEvidenceWait,
        Defect::NoStoreWait,
        Defect::NoMajority,
        Defect::LeaseFromResponse,
        Defect::LeaseWithoutMembership,
        Defect::MajorityAfterExpiry,
        Defect::NoStepDown,
        Defect::NoFenceCheck,
    ] {
        assert!(run(defect).is_err(), "{defect:?} is not detected");
    }
}
