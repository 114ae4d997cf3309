//! What the servers of a group hold, over many changes of primary.
//!
//! The engine's own choice of a successor and its record run over a model of logs: servers that are cut off
//! through a promotion, come back with what it took back, follow late or never, or are lost for good. What must
//! hold: what a promotion took back never counts again, since reads have been run without it. The model had not
//! been there when a day showed the opposite; the leadership model ends with the order and knows no logs.
//!
//! Left out: synchronous replicas, orders that take effect late, servers that are lost together.

use model::{LogPoint, Term};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proxy::{
    control::record::{ChosenServer, LeadershipRecord, StoppedServer, SuccessorSelection},
    statement::EndpointStatus,
};

const SERVERS: usize = 3;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// The primary keeps a write.
    Write,
    /// A server is cut off from the others, and stays as it is.
    CutOff(usize),
    /// A server is reached by the others again.
    Return(usize),
    /// Every server that is not cut off receives what the newest primary holds.
    Replicate,
    /// The primary is replaced; these servers answer whoever does it.
    Replace([bool; SERVERS]),
}

#[derive(Clone, Debug)]
struct Server {
    leads: bool,
    term: u64,
    /// The identities of the writes that it holds, in order, with their terms.
    log: Vec<(u64, u64)>,
    is_cut_off: bool,
}

struct Group {
    servers: Vec<Server>,
    record: LeadershipRecord,
    writes: u64,
    taken_back: Vec<u64>,
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS;
    prop_oneof![
        4 => Just(Event::Write),
        2 => server.clone().prop_map(Event::CutOff),
        2 => server.prop_map(Event::Return),
        3 => Just(Event::Replicate),
        3 => prop::array::uniform3(prop::bool::weighted(0.7)).prop_map(Event::Replace),
    ]
}

impl Group {
    fn new() -> Group {
        let server = |leads| Server { leads, term: 1, log: Vec::new(), is_cut_off: false };
        let record =
            LeadershipRecord { term: 1, primary: "0".to_owned(), ..LeadershipRecord::default() };
        Group {
            servers: (0..SERVERS).map(|place| server(place == 0)).collect(),
            record,
            writes: 0,
            taken_back: Vec::new(),
        }
    }

    fn primary(&self) -> usize {
        self.record.primary.parse().unwrap()
    }

    fn play(&mut self, event: &Event, any_branch: bool) {
        match event {
            Event::Write => self.write(),
            Event::CutOff(server) => self.servers[*server].is_cut_off = true,
            Event::Return(server) => self.servers[*server].is_cut_off = false,
            Event::Replicate => self.replicate(),
            Event::Replace(answers) => self.replace(*answers, any_branch),
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
        let leading = self.servers.iter().filter(|server| server.leads && !server.is_cut_off);
        let Some(leader) = leading.max_by_key(|server| server.term).cloned() else { return };
        for server in self.servers.iter_mut().filter(|server| !server.is_cut_off) {
            if server.term <= leader.term {
                server.leads = server.term == leader.term && server.leads;
                server.term = leader.term;
                server.log.clone_from(&leader.log);
            }
        }
    }

    fn status(&self, place: usize) -> EndpointStatus {
        let server = &self.servers[place];
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

    fn replace(&mut self, answers: [bool; SERVERS], any_branch: bool) {
        let primary = self.primary();
        if answers[primary] {
            self.servers[primary].leads = false;
        }
        let answering = (0..SERVERS).filter(|place| answers[*place]);
        let stopped: Vec<StoppedServer> = answering
            .map(|place| StoppedServer {
                server: place.to_string(),
                status: self.status(place),
                leaving: false,
                is_old_primary: place == primary,
            })
            .collect();
        let before = self.record.clone();
        let record = if any_branch { &LeadershipRecord::default() } else { &before };
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
        let place: usize = chosen.server.parse().unwrap();
        let kept = self.servers[place].log.clone();
        let term = self.servers.iter().map(|server| server.term).max().unwrap() + 1;
        let others = self.servers.iter().flat_map(|server| &server.log);
        let lost = others.filter(|entry| !kept.contains(entry)).map(|(_, write)| *write);
        self.taken_back.extend(lost);
        let new = &mut self.servers[place];
        new.leads = true;
        new.term = term;
        self.record = self.record.with_new_primary(chosen, None, term);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let primary = &self.servers[self.primary()];
        for (_, write) in &primary.log {
            prop_assert!(
                !self.taken_back.contains(write),
                "write {write} counts again in term {}",
                primary.term
            );
        }
        Ok(())
    }
}

fn run(any_branch: bool) -> Result<(), String> {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 0..24);
    let played = runner.run(&events, |events| {
        let mut group = Group::new();
        for event in &events {
            group.play(event, any_branch);
            group.check()?;
        }
        Ok(())
    });
    played.map_err(|error| error.to_string())
}

#[test]
fn what_a_promotion_took_back_never_counts_again() {
    run(false).unwrap();
}

#[test]
fn a_choice_by_the_longest_log_alone_is_noticed() {
    assert!(run(true).is_err());
}
