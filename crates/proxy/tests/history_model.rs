//! Model test of the logs of a group over many changes of primary.
//!
//! Guards against writes that a promotion rolled back and a later one restores, after reads have run without
//! them. Not modelled: synchronous replicas, delayed orders, servers that fail together.

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

const SERVERS: usize = 3;

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
    /// The primary is replaced; the flags mark the servers that answer the promoter.
    Replace([bool; SERVERS]),
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
    record: LeadershipRecord,
    writes: u64,
    rolled_back: Vec<u64>,
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS;
    prop_oneof![
        4 => Just(Event::Write),
        2 => server.clone().prop_map(Event::Partition),
        2 => server.prop_map(Event::Heal),
        3 => Just(Event::Replicate),
        3 => prop::array::uniform3(prop::bool::weighted(0.7)).prop_map(Event::Replace),
    ]
}

impl Group {
    fn new() -> Group {
        let server = |leads| Server { leads, term: 1, log: Vec::new(), is_partitioned: false };
        let record =
            LeadershipRecord { term: 1, primary: "0".to_owned(), ..LeadershipRecord::default() };
        Group {
            servers: (0..SERVERS).map(|index| server(index == 0)).collect(),
            record,
            writes: 0,
            rolled_back: Vec::new(),
        }
    }

    fn primary(&self) -> usize {
        self.record.primary.parse().unwrap()
    }

    fn apply(&mut self, event: &Event, ignore_record: bool) {
        match event {
            Event::Write => self.write(),
            Event::Partition(server) => self.servers[*server].is_partitioned = true,
            Event::Heal(server) => self.servers[*server].is_partitioned = false,
            Event::Replicate => self.replicate(),
            Event::Replace(answers) => self.replace(*answers, ignore_record),
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

    fn replace(&mut self, answers: [bool; SERVERS], ignore_record: bool) {
        let primary = self.primary();
        if answers[primary] {
            self.servers[primary].leads = false;
        }
        let answering = (0..SERVERS).filter(|index| answers[*index]);
        let stopped: Vec<StoppedServer> = answering
            .map(|index| StoppedServer {
                server: index.to_string(),
                status: self.status(index),
                leaving: false,
                is_old_primary: index == primary,
            })
            .collect();
        let before = self.record.clone();
        let record = if ignore_record { &LeadershipRecord::default() } else { &before };
        let succession = SuccessorSelection {
            record,
            servers: SERVERS,
            synchronous_replicas: 0,
            may_keep_primary: false,
            is_primary_listed: true,
        };
        if let Some(chosen) = succession.choose(&stopped) {
            self.promote(&chosen);
        }
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
        Ok(())
    }
}

fn run(ignore_record: bool) -> Result<(), String> {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 0..24);
    let result = runner.run(&events, |events| {
        let mut group = Group::new();
        for event in &events {
            group.apply(event, ignore_record);
            group.check()?;
        }
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn a_rolled_back_write_is_never_restored() {
    run(false).unwrap();
}

#[test]
fn the_model_detects_a_choice_that_ignores_the_record() {
    assert!(run(true).is_err());
}
