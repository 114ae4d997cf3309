//! Model test of the exchange of primary samples between daemons that wait, freeze and restart, in any order.
//!
//! The messages and conversions are the engine's own; the daemons, their clocks and the delays are modelled.
//! Invariant: a sample never counts as younger than its request to the primary, since a read that relies on it must
//! see everything that was acknowledged before. The test must detect the injected faults.
//!
//! Not covered: how a promotion affects a sample (`reads.rs` and `history_model.rs`), and which daemon is sent which
//! sample.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::{LogPoint, Name};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proxy::control::peers::{ClockMessage, FollowAnswer, FollowRequest, PrimarySample};

const DAEMONS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A sample's age counts from the arrival of the answer, not from the time of the request.
    FromArrival,
    /// A clock of an earlier incarnation is used for the current one.
    IgnoredIncarnation,
}

#[derive(Clone, Debug)]
enum Event {
    /// A daemon requests a sample from the primary.
    Sample(usize),
    /// One daemon sends a request to another one; with the delays of the request, at the receiver and of the answer.
    Request {
        sender: usize,
        receiver: usize,
        request_delay_ms: u64,
        held_ms: u64,
        answer_delay_ms: u64,
    },
    Restart(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

struct Daemon {
    incarnation: u64,
    epoch: Instant,
    sample: Option<PrimarySample>,
    /// The last known clock of each other daemon, and when it was received.
    last_clocks: HashMap<usize, (ClockMessage, Instant)>,
}

struct Fleet {
    base: Instant,
    now_us: u64,
    incarnations: u64,
    daemons: Vec<Daemon>,
    /// When each sample was requested, by its position.
    asked_at: Vec<Instant>,
    service: Name,
}

fn event() -> impl Strategy<Value = Event> {
    let request = (0..DAEMONS, 1..DAEMONS, 0_u64..400, 0_u64..900, 0_u64..2_000).prop_map(
        |(sender, distance, request_delay_ms, held_ms, answer_delay_ms)| Event::Request {
            sender,
            receiver: (sender + distance) % DAEMONS,
            request_delay_ms,
            held_ms,
            answer_delay_ms,
        },
    );
    prop_oneof![
        2 => (0..DAEMONS).prop_map(Event::Sample),
        6 => request,
        1 => (0..DAEMONS).prop_map(Event::Restart),
        1 => (0_u64..700).prop_map(Event::Wait),
    ]
}

impl Fleet {
    fn new() -> Fleet {
        let base = Instant::now();
        let mut fleet = Fleet {
            base,
            now_us: 0,
            incarnations: 0,
            daemons: Vec::new(),
            asked_at: Vec::new(),
            service: Name::from("ledger1"),
        };
        for _ in 0..DAEMONS {
            // The clocks start at different times, and not on a whole millisecond.
            fleet.now_us += 12_345;
            let daemon = fleet.new_incarnation();
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    fn pass(&mut self, ms: u64) {
        self.now_us += ms * 1_000 + 377;
    }

    fn new_incarnation(&mut self) -> Daemon {
        self.incarnations += 1;
        Daemon {
            incarnation: self.incarnations,
            epoch: self.now(),
            sample: None,
            last_clocks: HashMap::new(),
        }
    }

    fn apply(&mut self, event: &Event, fault: Fault) {
        match event {
            Event::Sample(daemon) => {
                let asked_at = self.now();
                self.pass(5);
                self.asked_at.push(asked_at);
                let point = LogPoint::new(1, self.asked_at.len() as u64);
                self.keep(*daemon, PrimarySample { asked_at, point });
            }
            Event::Request { sender, receiver, request_delay_ms, held_ms, answer_delay_ms } => {
                let (request, sent_at) = self.request(*sender, *receiver, fault);
                self.pass(*request_delay_ms);
                let received_at = self.now();
                self.take_request(*receiver, &request, received_at);
                self.pass(*held_ms);
                let mut answer = self.answer(*receiver, received_at);
                self.pass(*answer_delay_ms);
                let counts_from = match fault {
                    Fault::FromArrival => self.now(),
                    _ => sent_at,
                };
                for (_, sample) in answer.take_contents(counts_from).samples {
                    self.keep(*sender, sample);
                }
                let last_clock = answer.clock.map(|clock| (clock, self.now()));
                self.daemons[*sender]
                    .last_clocks
                    .extend(last_clock.map(|clock| (*receiver, clock)));
            }
            Event::Restart(daemon) => self.daemons[*daemon] = self.new_incarnation(),
            Event::Wait(ms) => self.pass(*ms),
        }
    }

    fn request(&self, sender: usize, receiver: usize, fault: Fault) -> (FollowRequest, Instant) {
        let daemon = &self.daemons[sender];
        let last_clock = daemon.last_clocks.get(&receiver);
        let message = daemon.sample.zip(last_clock).and_then(|(sample, (_, received_at))| {
            sample.to_message_since(&self.service, *received_at)
        });
        let clock = last_clock.map(|(clock, _)| match fault {
            Fault::IgnoredIncarnation => {
                ClockMessage { incarnation: self.daemons[receiver].incarnation, ..*clock }
            }
            _ => *clock,
        });
        let request = FollowRequest {
            last_clock: clock,
            samples: message.into_iter().collect(),
            ..FollowRequest::default()
        };
        (request, self.now())
    }

    fn take_request(&mut self, receiver: usize, request: &FollowRequest, received_at: Instant) {
        let Daemon { incarnation, epoch, .. } = self.daemons[receiver];
        for (_, sample) in request.local_samples(incarnation, epoch, received_at) {
            self.keep(receiver, sample);
        }
    }

    fn answer(&self, receiver: usize, received_at: Instant) -> FollowAnswer {
        let (daemon, now) = (&self.daemons[receiver], self.now());
        let message = daemon.sample.map(|sample| sample.to_message(&self.service, now));
        FollowAnswer {
            held_ms: now.duration_since(received_at).as_millis() as u64,
            clock: Some(ClockMessage {
                incarnation: daemon.incarnation,
                at_ms: now.duration_since(daemon.epoch).as_millis() as u64,
            }),
            samples: message.into_iter().collect(),
            ..FollowAnswer::default()
        }
    }

    fn keep(&mut self, daemon: usize, sample: PrimarySample) {
        let known = &mut self.daemons[daemon].sample;
        if known.is_none_or(|known| known.asked_at < sample.asked_at) {
            *known = Some(sample);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for sample in self.daemons.iter().filter_map(|daemon| daemon.sample) {
            let asked_at = self.asked_at[sample.point.position.0 as usize - 1];
            prop_assert!(
                sample.asked_at <= asked_at,
                "a sample seems younger than it is by {:?}",
                sample.asked_at - asked_at
            );
        }
        Ok(())
    }
}

fn run(fault: Fault) -> Result<(), String> {
    let config = Config { cases: 10_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 0..30);
    let result = runner.run(&events, |events| {
        let mut fleet = Fleet::new();
        for event in &events {
            fleet.apply(event, fault);
            fleet.check()?;
        }
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn a_sample_never_seems_younger_than_it_is() {
    run(Fault::None).unwrap();
}

#[test]
fn every_injected_fault_is_detected() {
    for fault in [Fault::FromArrival, Fault::IgnoredIncarnation] {
        assert!(run(fault).is_err(), "{fault:?} was not detected");
    }
}
