//! Samples of primaries' logs on their way through daemons that wait, freeze and start anew, in any order.
//!
//! The messages and conversions are the engine's own; the daemons, their clocks and the delays are modelled. What must
//! hold: wherever a sample arrives, it counts from no later than when its primary was asked, since a read that goes by
//! it must see everything that was acknowledged before. Variants that are broken on purpose are noticed.
//!
//! Left out: what a promotion does to a sample (`reads.rs` and `history_model.rs`), and which sample is told to whom.

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

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An answer counts from when it came, not from when its question was sent.
    FromArrival,
    /// A clock of an earlier life is taken for the present one.
    AnyLife,
}

#[derive(Clone, Debug)]
enum Event {
    /// A daemon asks the primary.
    Sample(usize),
    /// One daemon asks another one; each part takes so many milliseconds.
    Ask { asker: usize, asked: usize, there_ms: u64, held_ms: u64, back_ms: u64 },
    /// A daemon starts anew.
    Restart(usize),
    /// Time passes.
    Wait(u64),
}

struct Daemon {
    life: u64,
    epoch: Instant,
    sample: Option<PrimarySample>,
    /// What was last heard of each other daemon's clock, and when.
    heard: HashMap<usize, (ClockMessage, Instant)>,
}

struct Fleet {
    base: Instant,
    now_us: u64,
    lives: u64,
    daemons: Vec<Daemon>,
    /// When each sample was asked for, by its point.
    asked_at: Vec<Instant>,
    service: Name,
}

fn event() -> impl Strategy<Value = Event> {
    let ask = (0..DAEMONS, 1..DAEMONS, 0_u64..400, 0_u64..900, 0_u64..2_000).prop_map(
        |(asker, distance, there_ms, held_ms, back_ms)| Event::Ask {
            asker,
            asked: (asker + distance) % DAEMONS,
            there_ms,
            held_ms,
            back_ms,
        },
    );
    prop_oneof![
        2 => (0..DAEMONS).prop_map(Event::Sample),
        6 => ask,
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
            lives: 0,
            daemons: Vec::new(),
            asked_at: Vec::new(),
            service: Name::from("ledger1"),
        };
        for _ in 0..DAEMONS {
            // Clocks that began at different moments, and not on a whole millisecond.
            fleet.now_us += 12_345;
            let daemon = fleet.new_life();
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

    fn new_life(&mut self) -> Daemon {
        self.lives += 1;
        Daemon { life: self.lives, epoch: self.now(), sample: None, heard: HashMap::new() }
    }

    fn play(&mut self, event: &Event, broken: Broken) {
        match event {
            Event::Sample(daemon) => {
                let asked_at = self.now();
                self.pass(5);
                self.asked_at.push(asked_at);
                let point = LogPoint::new(1, self.asked_at.len() as u64);
                self.keep(*daemon, PrimarySample { asked_at, point });
            }
            Event::Ask { asker, asked, there_ms, held_ms, back_ms } => {
                let (request, sent_at) = self.request(*asker, *asked, broken);
                self.pass(*there_ms);
                let received_at = self.now();
                self.take_request(*asked, &request, received_at);
                self.pass(*held_ms);
                let mut answer = self.answer(*asked, received_at);
                self.pass(*back_ms);
                let counts_from = match broken {
                    Broken::FromArrival => self.now(),
                    _ => sent_at,
                };
                for (_, sample) in answer.take_contents(counts_from).samples {
                    self.keep(*asker, sample);
                }
                let heard = answer.clock.map(|clock| (clock, self.now()));
                self.daemons[*asker].heard.extend(heard.map(|heard| (*asked, heard)));
            }
            Event::Restart(daemon) => self.daemons[*daemon] = self.new_life(),
            Event::Wait(ms) => self.pass(*ms),
        }
    }

    fn request(&self, asker: usize, asked: usize, broken: Broken) -> (FollowRequest, Instant) {
        let daemon = &self.daemons[asker];
        let heard = daemon.heard.get(&asked);
        let told = daemon
            .sample
            .zip(heard)
            .and_then(|(sample, (_, heard_at))| sample.to_message_since(&self.service, *heard_at));
        let clock = heard.map(|(clock, _)| match broken {
            Broken::AnyLife => ClockMessage { incarnation: self.daemons[asked].life, ..*clock },
            _ => *clock,
        });
        let request = FollowRequest {
            last_clock: clock,
            samples: told.into_iter().collect(),
            ..FollowRequest::default()
        };
        (request, self.now())
    }

    fn take_request(&mut self, asked: usize, request: &FollowRequest, received_at: Instant) {
        let Daemon { life, epoch, .. } = self.daemons[asked];
        for (_, sample) in request.local_samples(life, epoch, received_at) {
            self.keep(asked, sample);
        }
    }

    fn answer(&self, asked: usize, received_at: Instant) -> FollowAnswer {
        let (daemon, now) = (&self.daemons[asked], self.now());
        let told = daemon.sample.map(|sample| sample.to_message(&self.service, now));
        FollowAnswer {
            held_ms: now.duration_since(received_at).as_millis() as u64,
            clock: Some(ClockMessage {
                incarnation: daemon.life,
                at_ms: now.duration_since(daemon.epoch).as_millis() as u64,
            }),
            samples: told.into_iter().collect(),
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

fn run(broken: Broken) -> Result<(), String> {
    let config = Config { cases: 10_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 0..30);
    let played = runner.run(&events, |events| {
        let mut fleet = Fleet::new();
        for event in &events {
            fleet.play(event, broken);
            fleet.check()?;
        }
        Ok(())
    });
    played.map_err(|error| error.to_string())
}

#[test]
fn a_sample_never_seems_younger_than_it_is() {
    run(Broken::Nothing).unwrap();
}

#[test]
fn a_broken_variant_is_noticed() {
    for broken in [Broken::FromArrival, Broken::AnyLife] {
        assert!(run(broken).is_err(), "{broken:?} goes unnoticed");
    }
}
