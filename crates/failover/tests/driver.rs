//! The change of primary as a state machine, with a fault injected at every step.

use std::collections::BTreeMap;

use failover::{
    FailoverDriver, FailoverEvent, FailoverGroup, FailoverOutcome, FailoverStage, FailoverStep,
    LeadershipRecord, RecordStage,
};
use model::{Position, ServerId, ServerRole, ServerStatus, Term};

/// A simulated group of servers and its record in the store.
#[derive(Clone)]
struct SimulatedCluster {
    servers: Vec<FakeServer>,
    record: Option<LeadershipRecord>,
    version: u64,
}

#[derive(Clone)]
struct FakeServer {
    up: bool,
    promised: u64,
    log_term: u64,
    held: u64,
    leads: bool,
}

impl SimulatedCluster {
    fn new(held: [u64; 3], up: [bool; 3]) -> SimulatedCluster {
        let server = |index: usize| FakeServer {
            up: up[index],
            promised: 1,
            log_term: 1,
            held: held[index],
            leads: index == 0,
        };
        SimulatedCluster { servers: (0..3).map(server).collect(), record: None, version: 0 }
    }

    fn status(&self, index: usize) -> ServerStatus {
        let server = &self.servers[index];
        ServerStatus {
            promised_term: Term(server.promised),
            log_term: Term(server.log_term),
            held_position: Position(server.held),
            applied_position: Position(server.held),
            role: if server.leads { ServerRole::Primary } else { ServerRole::Replica },
            leader_silence_ms: None,
            term_starts: Vec::new(),
        }
    }

    fn carry_out(&mut self, step: &FailoverStep, stalled: bool) -> FailoverEvent {
        match step {
            FailoverStep::ReadRecord => FailoverEvent::Record {
                record: self.record.clone(),
                version: self.version,
                stalled,
            },
            FailoverStep::WriteRecord { expected_version, record } => {
                if *expected_version != self.version {
                    return FailoverEvent::WriteUncertain;
                }
                self.record = Some(record.clone());
                self.version += 1;
                FailoverEvent::Written { version: self.version }
            }
            FailoverStep::Seal { term } => {
                let mut statuses = Vec::new();
                for index in 0..self.servers.len() {
                    let server = &mut self.servers[index];
                    if server.up && server.promised <= term.0 {
                        server.promised = term.0;
                        statuses.push((ServerId::from_index(index), self.status(index)));
                    }
                }
                FailoverEvent::Sealed { statuses }
            }
            FailoverStep::Promote { server, term } => {
                let server = &mut self.servers[server.index()];
                if !server.up || server.promised != term.0 {
                    return FailoverEvent::PromotionFailed;
                }
                server.leads = true;
                server.log_term = term.0;
                FailoverEvent::Promoted
            }
            FailoverStep::Follow { .. } => FailoverEvent::Followed,
            FailoverStep::Done(_) => {
                unreachable!("`finish` returns before it carries out this step")
            }
        }
    }

    /// Returns the servers that are up and accept writes, by their term.
    fn leaders(&self) -> BTreeMap<u64, usize> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter(|(_, server)| server.up && server.leads && server.log_term == server.promised)
            .map(|(index, server)| (server.log_term, index))
            .collect()
    }
}

fn group(failed: Option<u16>) -> FailoverGroup {
    FailoverGroup {
        servers: vec!["a".to_owned(), "b".to_owned(), "c".to_owned()],
        avoid: Vec::new(),
        preferred: None,
        failed: failed.map(ServerId),
    }
}

fn driver(name: &str) -> FailoverDriver {
    FailoverDriver::new(group(Some(0)), name, format!("claim-{name}"), Term(1))
}

fn finish(
    cluster: &mut SimulatedCluster,
    driver: &mut FailoverDriver,
    stalled: bool,
) -> FailoverOutcome {
    for _ in 0..50 {
        if let FailoverStep::Done(outcome) = driver.step() {
            return *outcome;
        }
        let event = cluster.carry_out(&driver.step().clone(), stalled);
        driver.on_event(event);
    }
    panic!("the driver does not finish; it is at {:?}", driver.stage());
}

#[test]
fn the_longest_log_is_chosen() {
    let cases = [
        // held positions, which servers are up, the expected primary
        ([9, 9, 8], [false, true, true], 1),
        ([9, 7, 8], [false, true, true], 2),
        ([9, 9, 9], [true, true, true], 1),
        // A failed primary that answers is not chosen if the others are a majority.
        ([12, 9, 8], [true, true, true], 1),
        // Otherwise it is chosen, since only it and the unreachable server may hold a write.
        ([12, 9, 9], [true, true, false], 0),
    ];
    for (held, up, expected) in cases {
        let mut cluster = SimulatedCluster::new(held, up);
        let outcome = finish(&mut cluster, &mut driver("one"), false);
        let primary = ServerId(expected);
        assert_eq!(
            outcome,
            FailoverOutcome::Promoted { primary, term: Term(2) },
            "{held:?} {up:?}"
        );
    }
}

#[test]
fn no_server_is_promoted_without_a_majority_or_the_store() {
    let mut cluster = SimulatedCluster::new([9, 9, 9], [false, true, false]);
    assert_eq!(finish(&mut cluster, &mut driver("one"), false), FailoverOutcome::NoMajority);
    assert!(cluster.servers.iter().skip(1).all(|server| !server.leads));

    let mut without_store = driver("two");
    without_store.on_event(FailoverEvent::StoreUnreachable);
    assert_eq!(*without_store.step(), FailoverStep::Done(FailoverOutcome::StoreUnreachable));
}

/// A fault of the first driver at a step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The driver crashes before the step takes effect.
    CrashBefore,
    /// The driver crashes after the step took effect.
    CrashAfter,
    /// The step takes effect, but its answer is lost.
    AnswerLost,
}

#[test]
fn a_fault_at_any_step_leaves_one_primary() {
    let steps = [
        FailoverStage::Reading,
        FailoverStage::Claiming,
        FailoverStage::Sealing,
        FailoverStage::Recording,
        FailoverStage::Promoting,
        FailoverStage::Following,
    ];
    for at in steps {
        for fault in [Fault::CrashBefore, Fault::CrashAfter, Fault::AnswerLost] {
            let mut cluster = SimulatedCluster::new([9, 9, 8], [false, true, true]);
            let mut first = driver("one");
            let survived = run_until_fault(&mut cluster, &mut first, at, fault);
            let mut second = driver("two");
            let outcome = finish(&mut cluster, &mut second, false);
            if survived {
                finish(&mut cluster, &mut first, false);
            } else if outcome == FailoverOutcome::DrivenElsewhere {
                // Another daemon takes over after the record has not changed for the takeover time.
                let mut third = driver("three");
                let outcome = finish(&mut cluster, &mut third, true);
                assert!(
                    matches!(outcome, FailoverOutcome::Promoted { .. }),
                    "{at:?} {fault:?}: {outcome:?}"
                );
            }
            let leaders = cluster.leaders();
            let newest = leaders.last_key_value();
            let (term, index) =
                newest.unwrap_or_else(|| panic!("{at:?} {fault:?}: no server is primary"));
            assert!(*term > 1, "{at:?} {fault:?}");
            assert_eq!(
                cluster.servers[*index].held, 9,
                "{at:?} {fault:?}: the primary has a shorter log"
            );
            let record = cluster.record.as_ref().expect("a record was written");
            assert_eq!(record.term.0, *term, "{at:?} {fault:?}: the record names another term");
        }
    }
}

/// Runs the driver until the fault; returns whether the driver is still running afterwards.
fn run_until_fault(
    cluster: &mut SimulatedCluster,
    driver: &mut FailoverDriver,
    at: FailoverStage,
    fault: Fault,
) -> bool {
    loop {
        let step = driver.step().clone();
        if matches!(step, FailoverStep::Done(_)) {
            return true;
        }
        if driver.stage() != at {
            let event = cluster.carry_out(&step, false);
            driver.on_event(event);
            continue;
        }
        if fault == Fault::CrashBefore {
            return false;
        }
        let event = cluster.carry_out(&step, false);
        if fault == Fault::CrashAfter {
            return false;
        }
        let lost = match step {
            FailoverStep::WriteRecord { .. } => FailoverEvent::WriteUncertain,
            FailoverStep::Promote { .. } => FailoverEvent::PromotionFailed,
            _ => event,
        };
        driver.on_event(lost);
        return !matches!(driver.step(), FailoverStep::Done(FailoverOutcome::PromotionFailed));
    }
}

#[test]
fn one_of_two_concurrent_drivers_wins_the_record() {
    let mut cluster = SimulatedCluster::new([9, 9, 9], [false, true, true]);
    let (mut first, mut second) = (driver("one"), driver("two"));
    // Both drivers read the empty record before either claims.
    for driver in [&mut first, &mut second] {
        let event = cluster.carry_out(&driver.step().clone(), false);
        driver.on_event(event);
    }
    let outcome = finish(&mut cluster, &mut first, false);
    assert!(matches!(outcome, FailoverOutcome::Promoted { .. }));
    assert_eq!(finish(&mut cluster, &mut second, false), FailoverOutcome::DrivenElsewhere);
    assert_eq!(cluster.leaders().len(), 1);
}

#[test]
fn a_driver_resumed_after_a_takeover_promotes_no_server() {
    for paused_at in [FailoverStage::Sealing, FailoverStage::Recording, FailoverStage::Promoting] {
        let mut cluster = SimulatedCluster::new([9, 9, 9], [false, true, true]);
        let mut paused = driver("one");
        while paused.stage() != paused_at {
            let event = cluster.carry_out(&paused.step().clone(), false);
            paused.on_event(event);
        }
        let mut other = driver("two");
        let outcome = finish(&mut cluster, &mut other, true);
        assert!(
            matches!(outcome, FailoverOutcome::Promoted { term: Term(3), .. }),
            "{paused_at:?}"
        );
        finish(&mut cluster, &mut paused, false);
        let leaders = cluster.leaders();
        assert_eq!(leaders.keys().copied().collect::<Vec<_>>(), [3], "{paused_at:?}");
        assert!(matches!(
            cluster.record.as_ref().map(|record| &record.stage),
            Some(RecordStage::Chosen { .. })
        ));
    }
}
