//! Model test of the logs of a group over many changes of primary.
//!
//! Guards against writes that a promotion rolled back and a later one restores, after reads have run without them; with
//! synchronous replicas also against a promoted log that lacks an acknowledged write, and against a group that has no
//! primary after the old one stepped down. Not modelled: delayed orders, servers that lose their log.

use model::{LogPoint, Term};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proxy::{
    control::{
        record::{ChosenServer, LeadershipRecord},
        selection::{StoppedServer, SuccessorSelection},
    },
    statement::EndpointStatus,
};

/// The largest number of servers in a group.
const MAX_SERVERS: usize = 5;
/// Enough for 20,000 groups of three without synchronous replicas.
const CASES: u32 = 90_000;

/// An event of the model.
#[derive(Clone, Debug)]
enum Event {
    /// The primary appends a write.
    Write,
    /// A server is partitioned from the others and keeps its state.
    Partition(usize),
    /// The partition of a server ends.
    Heal(usize),
    /// Every server that is not partitioned receives the log of the primary with the latest term.
    Replicate,
    /// The primary is replaced.
    Replace {
        /// The servers that answer the promoter.
        answers: [bool; MAX_SERVERS],
        /// The replicas that catch up with the old primary after its step-down, before they are paused.
        catch_up: [bool; MAX_SERVERS],
    },
}

/// A group's size and the number of its synchronous replicas, with the events.
#[derive(Clone, Debug)]
struct Case {
    servers: usize,
    synchronous_replicas: u32,
    events: Vec<Event>,
}

/// A defect that is injected into the choice of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    Nothing,
    /// The choice ignores the recorded history.
    IgnoresRecord,
    /// The choice ignores that replicas are synchronous.
    IgnoresSynchronousReplicas,
    /// The old primary counts among the servers that must answer, though another one is chosen.
    CountsOldPrimary,
    /// A majority of the servers has to answer, whatever the number of synchronous replicas.
    AsksMajority,
}

#[derive(Clone, Debug)]
struct Server {
    leads: bool,
    term: u64,
    /// The entries of its log in order, each with its term and the identity of the write.
    log: Vec<(u64, u64)>,
    is_partitioned: bool,
}

struct Group {
    servers: Vec<Server>,
    synchronous_replicas: u32,
    record: LeadershipRecord,
    writes: u64,
    rolled_back: Vec<u64>,
    acknowledged: Vec<u64>,
    /// Whether the last change left the group without a primary although the old one had answered.
    lacks_primary: bool,
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..MAX_SERVERS;
    let flags = |weight| prop::array::uniform5(prop::bool::weighted(weight));
    prop_oneof![
        4 => Just(Event::Write),
        2 => server.clone().prop_map(Event::Partition),
        2 => server.prop_map(Event::Heal),
        3 => Just(Event::Replicate),
        3 => (flags(0.7), flags(0.5))
            .prop_map(|(answers, catch_up)| Event::Replace { answers, catch_up }),
    ]
}

fn case() -> impl Strategy<Value = Case> {
    let size = prop_oneof![2 => Just(3_usize), 1 => Just(5_usize)];
    (size, 0_u32..3, prop::collection::vec(event(), 0..24)).prop_map(
        |(servers, synchronous_replicas, events)| Case { servers, synchronous_replicas, events },
    )
}

impl Group {
    fn new(case: &Case) -> Group {
        let server = |leads| Server { leads, term: 1, log: Vec::new(), is_partitioned: false };
        let record =
            LeadershipRecord { term: 1, primary: "0".to_owned(), ..LeadershipRecord::default() };
        Group {
            servers: (0..case.servers).map(|index| server(index == 0)).collect(),
            synchronous_replicas: case.synchronous_replicas,
            record,
            writes: 0,
            rolled_back: Vec::new(),
            acknowledged: Vec::new(),
            lacks_primary: false,
        }
    }

    fn primary(&self) -> usize {
        self.record.primary.parse().unwrap()
    }

    fn apply(&mut self, event: &Event, defect: Defect) {
        match event {
            Event::Write => self.write(),
            Event::Partition(server) => self.set_partitioned(*server, true),
            Event::Heal(server) => self.set_partitioned(*server, false),
            Event::Replicate => self.replicate(),
            Event::Replace { answers, catch_up } => self.replace(*answers, *catch_up, defect),
        }
        self.acknowledge();
    }

    fn set_partitioned(&mut self, server: usize, is_partitioned: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.is_partitioned = is_partitioned;
        }
    }

    fn write(&mut self) {
        self.writes += 1;
        let primary = self.primary();
        let (write, server) = (self.writes, &mut self.servers[primary]);
        if server.leads {
            server.log.push((server.term, write));
        }
    }

    /// The primary acknowledges what enough replicas of its term have received.
    fn acknowledge(&mut self) {
        let primary = self.primary();
        let leader = &self.servers[primary];
        if !leader.leads {
            return;
        }
        let receives = |index: usize, entry: &(u64, u64)| {
            let server = &self.servers[index];
            index != primary && server.term == leader.term && server.log.contains(entry)
        };
        for entry in &leader.log {
            let receipts = (0..self.servers.len()).filter(|index| receives(*index, entry));
            if receipts.count() >= self.synchronous_replicas as usize
                && !self.acknowledged.contains(&entry.1)
            {
                self.acknowledged.push(entry.1);
            }
        }
    }

    fn replicate(&mut self) {
        let leading = self.servers.iter().filter(|server| server.leads && !server.is_partitioned);
        let Some(leader) = leading.max_by_key(|server| server.term).cloned() else { return };
        for server in self.servers.iter_mut().filter(|server| !server.is_partitioned) {
            if server.term <= leader.term {
                server.leads = server.term == leader.term && server.leads;
                server.term = leader.term;
                server.log.clone_from(&leader.log);
            }
        }
    }

    fn status(&self, index: usize) -> EndpointStatus {
        let server = &self.servers[index];
        let last_term = server.log.last().map_or(server.term, |(term, _)| *term);
        EndpointStatus {
            leads: server.leads,
            term: Term(server.term),
            received: LogPoint::new(last_term, server.log.len() as u64),
            paused_for: Term(0),
            lag_ms: 0,
            connections: 1,
        }
    }

    /// The old primary steps down, and some replicas of its term receive what it holds.
    fn step_down(&mut self, catch_up: [bool; MAX_SERVERS]) {
        let primary = self.primary();
        self.servers[primary].leads = false;
        let old = self.servers[primary].clone();
        for (index, server) in self.servers.iter_mut().enumerate() {
            let receives = catch_up[index] && !server.is_partitioned && !old.is_partitioned;
            if receives && server.term == old.term && server.log.len() < old.log.len() {
                server.log.clone_from(&old.log);
            }
        }
    }

    fn replace(
        &mut self,
        answers: [bool; MAX_SERVERS],
        catch_up: [bool; MAX_SERVERS],
        defect: Defect,
    ) {
        let primary = self.primary();
        if answers[primary] {
            self.step_down(catch_up);
        }
        let answering = (0..self.servers.len()).filter(|index| answers[*index]);
        let stopped: Vec<StoppedServer> = answering
            .map(|index| StoppedServer {
                server: index.to_string(),
                status: self.status(index),
                leaving: false,
                is_old_primary: index == primary,
            })
            .collect();
        let chosen = self.choose(&stopped, defect);
        self.lacks_primary = answers[primary] && chosen.is_none();
        if let Some(chosen) = chosen {
            self.promote(&chosen);
        }
    }

    fn choose(&self, stopped: &[StoppedServer], defect: Defect) -> Option<ChosenServer> {
        let no_record = LeadershipRecord::default();
        let servers = self.servers.len();
        let needed = match defect {
            Defect::CountsOldPrimary => servers - self.synchronous_replicas as usize,
            Defect::AsksMajority => servers / 2 + 1,
            _ => 0,
        };
        if stopped.len() < needed {
            return None;
        }
        let succession = SuccessorSelection {
            record: if defect == Defect::IgnoresRecord { &no_record } else { &self.record },
            servers,
            synchronous_replicas: match defect {
                Defect::Nothing | Defect::IgnoresRecord => self.synchronous_replicas,
                _ => 0,
            },
            may_keep_primary: false,
            is_primary_listed: true,
            has_primary_restarted: false,
        };
        succession.choose(stopped)
    }

    fn promote(&mut self, chosen: &ChosenServer) {
        let index: usize = chosen.server.parse().unwrap();
        let kept = self.servers[index].log.clone();
        let term = self.servers.iter().map(|server| server.term).max().unwrap() + 1;
        let others = self.servers.iter().flat_map(|server| &server.log);
        let lost = others.filter(|entry| !kept.contains(entry)).map(|(_, write)| *write);
        self.rolled_back.extend(lost);
        let new = &mut self.servers[index];
        new.leads = true;
        new.term = term;
        self.record = self.record.with_new_primary(chosen, None, term);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let primary = &self.servers[self.primary()];
        for (_, write) in &primary.log {
            prop_assert!(
                !self.rolled_back.contains(write),
                "write {write} is restored in term {}",
                primary.term
            );
        }
        if self.synchronous_replicas > 0 {
            for write in &self.acknowledged {
                prop_assert!(
                    primary.log.iter().any(|(_, kept)| kept == write),
                    "acknowledged write {write} is lost in term {}",
                    primary.term
                );
            }
        }
        prop_assert!(!self.lacks_primary, "no primary after term {}", primary.term);
        Ok(())
    }
}

fn run(defect: Defect) -> Result<(), String> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&case(), |case| {
        let mut group = Group::new(&case);
        for event in &case.events {
            group.apply(event, defect);
            group.check()?;
        }
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn no_write_is_restored_or_lost_and_a_primary_that_answers_is_succeeded() {
    run(Defect::Nothing).unwrap();
}

#[test]
fn every_injected_defect_is_detected() {
    for defect in [
        Defect::IgnoresRecord,
        Defect::IgnoresSynchronousReplicas,
        Defect::CountsOldPrimary,
        Defect::AsksMajority,
    ] {
        assert!(run(defect).is_err(), "{defect:?} is not detected");
    }
}
