//! The change of primary as a state machine, with a fault at every step.

use std::collections::BTreeMap;

use failover::{
    Driver, DriverEvent, DriverGroup, DriverStep, Ending, LeadershipRecord, RecordStage, Stage,
};
use model::{Position, ServerId, ServerRole, ServerStatus, Term};

/// A group and a store, as far as the driver touches them.
#[derive(Clone)]
struct World {
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

impl World {
    fn new(held: [u64; 3], up: [bool; 3]) -> World {
        let server = |index: usize| FakeServer {
            up: up[index],
            promised: 1,
            log_term: 1,
            held: held[index],
            leads: index == 0,
        };
        World { servers: (0..3).map(server).collect(), record: None, version: 0 }
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

    fn carry_out(&mut self, step: &DriverStep, stalled: bool) -> DriverEvent {
        match step {
            DriverStep::ReadRecord => {
                DriverEvent::Record { record: self.record.clone(), version: self.version, stalled }
            }
            DriverStep::WriteRecord { expected_version, record } => {
                if *expected_version != self.version {
                    return DriverEvent::WriteUnclear;
                }
                self.record = Some(record.clone());
                self.version += 1;
                DriverEvent::Written { version: self.version }
            }
            DriverStep::Seal { term } => {
                let mut statuses = Vec::new();
                for index in 0..self.servers.len() {
                    let server = &mut self.servers[index];
                    if server.up && server.promised <= term.0 {
                        server.promised = term.0;
                        statuses.push((ServerId::from_index(index), self.status(index)));
                    }
                }
                DriverEvent::Sealed { statuses }
            }
            DriverStep::Promote { server, term } => {
                let server = &mut self.servers[server.index()];
                if !server.up || server.promised != term.0 {
                    return DriverEvent::PromotionFailed;
                }
                server.leads = true;
                server.log_term = term.0;
                DriverEvent::Promoted
            }
            DriverStep::Follow { .. } => DriverEvent::Followed,
            DriverStep::End(_) => unreachable!("the loop ends before"),
        }
    }

    /// Servers that are up and take writes, by their term.
    fn leaders(&self) -> BTreeMap<u64, usize> {
        let leading = self.servers.iter().enumerate();
        leading
            .filter(|(_, server)| server.up && server.leads && server.log_term == server.promised)
            .map(|(index, server)| (server.log_term, index))
            .collect()
    }
}

fn group(failed: Option<u16>) -> DriverGroup {
    DriverGroup {
        servers: vec!["a".to_owned(), "b".to_owned(), "c".to_owned()],
        unwanted: Vec::new(),
        preferred: None,
        failed: failed.map(ServerId),
    }
}

fn driver(name: &str) -> Driver {
    Driver::new(group(Some(0)), name, format!("claim-{name}"), Term(1))
}

fn finish(world: &mut World, driver: &mut Driver, stalled: bool) -> Ending {
    for _ in 0..50 {
        if let DriverStep::End(ending) = driver.step() {
            return *ending;
        }
        let event = world.carry_out(&driver.step().clone(), stalled);
        driver.on_event(event);
    }
    panic!("the driver goes in circles at {:?}", driver.stage());
}

#[test]
fn the_longest_log_is_chosen() {
    let cases = [
        // held positions, who is up, who must lead
        ([9, 9, 8], [false, true, true], 1),
        ([9, 7, 8], [false, true, true], 2),
        ([9, 9, 9], [true, true, true], 1),
        // A failed primary that answers is passed over while a majority is left without it …
        ([12, 9, 8], [true, true, true], 1),
        // … and chosen when there is none, since a write may be on it and the lost server only.
        ([12, 9, 9], [true, true, false], 0),
    ];
    for (held, up, expected) in cases {
        let mut world = World::new(held, up);
        let ending = finish(&mut world, &mut driver("one"), false);
        let primary = ServerId(expected);
        assert_eq!(ending, Ending::Opened { primary, term: Term(2) }, "{held:?} {up:?}");
    }
}

#[test]
fn nothing_is_promoted_without_a_majority_or_the_store() {
    let mut world = World::new([9, 9, 9], [false, true, false]);
    assert_eq!(finish(&mut world, &mut driver("one"), false), Ending::NoMajority);
    assert!(world.servers.iter().skip(1).all(|server| !server.leads));

    let mut without_store = driver("two");
    without_store.on_event(DriverEvent::StoreUnreachable);
    assert_eq!(*without_store.step(), DriverStep::End(Ending::StoreUnreachable));
}

/// What becomes of the first driver at a step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultAt {
    /// It dies before the step takes effect.
    DiesBefore,
    /// It dies after the step took effect.
    DiesAfter,
    /// The step takes effect, and the driver does not learn of it.
    AnswerLost,
}

#[test]
fn a_fault_at_any_step_leaves_one_primary() {
    let steps = [
        Stage::Reading,
        Stage::Claiming,
        Stage::Sealing,
        Stage::Recording,
        Stage::Promoting,
        Stage::Following,
    ];
    for at in steps {
        for fault in [FaultAt::DiesBefore, FaultAt::DiesAfter, FaultAt::AnswerLost] {
            let mut world = World::new([9, 9, 8], [false, true, true]);
            let mut first = driver("one");
            let survived = run_until_fault(&mut world, &mut first, at, fault);
            let mut second = driver("two");
            let left = finish(&mut world, &mut second, false);
            if survived {
                finish(&mut world, &mut first, false);
            } else if left == Ending::LeftToOther {
                // Once the record has stood still for long, another daemon takes over.
                let mut third = driver("three");
                let ending = finish(&mut world, &mut third, true);
                assert!(matches!(ending, Ending::Opened { .. }), "{at:?} {fault:?}: {ending:?}");
            }
            let leaders = world.leaders();
            let newest = leaders.last_key_value();
            let (term, index) = newest.unwrap_or_else(|| panic!("{at:?} {fault:?}: nobody leads"));
            assert!(*term > 1, "{at:?} {fault:?}");
            assert_eq!(world.servers[*index].held, 9, "{at:?} {fault:?}: a shorter log leads");
            let record = world.record.as_ref().expect("a record was written");
            assert_eq!(record.term.0, *term, "{at:?} {fault:?}: the record names another term");
        }
    }
}

/// Returns whether the first driver is still there after the fault.
fn run_until_fault(world: &mut World, driver: &mut Driver, at: Stage, fault: FaultAt) -> bool {
    loop {
        let step = driver.step().clone();
        if matches!(step, DriverStep::End(_)) {
            return true;
        }
        if driver.stage() != at {
            let event = world.carry_out(&step, false);
            driver.on_event(event);
            continue;
        }
        if fault == FaultAt::DiesBefore {
            return false;
        }
        let event = world.carry_out(&step, false);
        if fault == FaultAt::DiesAfter {
            return false;
        }
        let lost = match step {
            DriverStep::WriteRecord { .. } => DriverEvent::WriteUnclear,
            DriverStep::Promote { .. } => DriverEvent::PromotionFailed,
            _ => event,
        };
        driver.on_event(lost);
        return !matches!(driver.step(), DriverStep::End(Ending::PromotionFailed));
    }
}

#[test]
fn racing_drivers_are_decided_by_the_record() {
    let mut world = World::new([9, 9, 9], [false, true, true]);
    let (mut first, mut second) = (driver("one"), driver("two"));
    // Both read the empty record before either claims.
    for driver in [&mut first, &mut second] {
        let event = world.carry_out(&driver.step().clone(), false);
        driver.on_event(event);
    }
    let won = finish(&mut world, &mut first, false);
    assert!(matches!(won, Ending::Opened { .. }));
    assert_eq!(finish(&mut world, &mut second, false), Ending::LeftToOther);
    assert_eq!(world.leaders().len(), 1);
}

#[test]
fn a_paused_driver_that_wakes_after_a_takeover_opens_nothing() {
    for paused_at in [Stage::Sealing, Stage::Recording, Stage::Promoting] {
        let mut world = World::new([9, 9, 9], [false, true, true]);
        let mut paused = driver("one");
        while paused.stage() != paused_at {
            let event = world.carry_out(&paused.step().clone(), false);
            paused.on_event(event);
        }
        let mut other = driver("two");
        let opened = finish(&mut world, &mut other, true);
        assert!(matches!(opened, Ending::Opened { term: Term(3), .. }), "{paused_at:?}");
        finish(&mut world, &mut paused, false);
        let leaders = world.leaders();
        assert_eq!(leaders.keys().copied().collect::<Vec<_>>(), [3], "{paused_at:?}");
        assert!(matches!(
            world.record.as_ref().map(|record| &record.stage),
            Some(RecordStage::Chosen { .. })
        ));
    }
}
