//! A store that is restored, among daemons that promote, in any order of events.
//!
//! The engine's own decisions run over a model of the store, of daemons and of the servers: which record counts, when a
//! group is left as it is, what a fencing token is. The store compares numbers only, as the real one does, and gives them
//! out again after a restore; orders and writes may take effect late. What must hold, at any moment: tokens never fall, no
//! second server is ordered while an order for another one may take effect, a record that gives rights names the server that
//! leads, and no configuration falls at a daemon. Variants that are broken on purpose show that the model would notice.
//!
//! Left out: rights and their ends (`leadership_model.rs`), what servers hold (`history_model.rs`).

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proxy::{
    control::record::{ChosenServer, EraView, LeadershipRecord, PrimaryChange, RecordSource},
    metadata::{Era, Revision},
};

const DAEMONS: usize = 3;
const SERVERS: usize = 3;
/// How long a group is left as it is after a restore, and for how long an order may take to take effect.
const SETTLES_MS: u64 = 4_000;
/// For how long after the store confirmed it a holder may give its order, and how long a lost one may be on its way.
const ORDER_TAKES_MS: u64 = 3_500;

#[derive(Clone, Debug)]
enum Event {
    Time {
        ms: u64,
    },
    /// The store comes back as it was so many writes before.
    Restore {
        writes: usize,
    },
    Configure,
    /// The operators write again what the store lost.
    ConfigureAgain,
    Read {
        daemon: usize,
    },
    PutBack {
        daemon: usize,
    },
    TakeDuty {
        daemon: usize,
    },
    /// The duty's lease ends in the store.
    LoseDuty,
    /// Confirms, goes on with or begins a change, as the record asks for; the order takes effect after so long.
    Act {
        daemon: usize,
        server: usize,
        order_takes_ms: u64,
    },
    /// The same, but the write is carried out only once [`Event::CarryOut`] comes, and nobody hears of it.
    ActUnheard {
        daemon: usize,
        server: usize,
    },
    CarryOut,
    Cut {
        daemon: usize,
    },
    Mend {
        daemon: usize,
    },
    Start {
        daemon: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    let server = 0..SERVERS;
    prop_oneof![
        3 => prop_oneof![1_u64..300, 1_000_u64..5_000].prop_map(|ms| Event::Time { ms }),
        1 => (0_usize..12).prop_map(|writes| Event::Restore { writes }),
        1 => Just(Event::Configure),
        1 => Just(Event::ConfigureAgain),
        8 => daemon.clone().prop_map(|daemon| Event::Read { daemon }),
        4 => daemon.clone().prop_map(|daemon| Event::PutBack { daemon }),
        4 => daemon.clone().prop_map(|daemon| Event::TakeDuty { daemon }),
        1 => Just(Event::LoseDuty),
        8 => (daemon.clone(), server.clone(), 0..ORDER_TAKES_MS).prop_map(
            |(daemon, server, order_takes_ms)| Event::Act { daemon, server, order_takes_ms }
        ),
        1 => (daemon.clone(), server).prop_map(|(daemon, server)| Event::ActUnheard { daemon, server }),
        1 => Just(Event::CarryOut),
        1 => daemon.clone().prop_map(|daemon| Event::Cut { daemon }),
        1 => daemon.clone().prop_map(|daemon| Event::Mend { daemon }),
        1 => daemon.prop_map(|daemon| Event::Start { daemon }),
    ]
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The fencing token is the store's number alone.
    TokenWithoutEra,
    /// Nobody waits for orders from before the restore.
    NoWait,
    /// Records of ended eras give rights.
    OldRecordsCount,
    /// An answer is believed whatever era it is of.
    AnyAnswer,
    /// What a daemon knows is not put back.
    NoConfigurationKept,
}

#[derive(Clone, Debug)]
struct Duty {
    holder: usize,
    era: Era,
    created: u64,
}

/// What the store holds; revisions are its own numbers.
#[derive(Clone, Debug, Default)]
struct Held {
    revision: u64,
    duty: Option<Duty>,
    record: Option<(LeadershipRecord, u64)>,
    configuration: u64,
    kept: u64,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    is_cut: bool,
    /// The era that it has read the store in; `None` before the first reading.
    era: Option<Era>,
    entered_at_ms: u64,
    knew_earlier_era: bool,
    /// The record that counts, with the revision at which one stands in the store.
    record: Option<LeadershipRecord>,
    record_revision: u64,
    /// When the duty that it holds was created.
    duty: Option<u64>,
    duty_seen: Option<Duty>,
    configuration: u64,
    edition: u64,
}

#[derive(Clone, Debug)]
struct Order {
    token: u64,
    server: usize,
    arrives_at_ms: u64,
}

/// A write that nobody heard of, as it was sent.
#[derive(Clone, Debug)]
struct Unheard {
    duty_created: u64,
    record_revision: u64,
    record: LeadershipRecord,
}

struct Model {
    broken: Broken,
    now_ms: u64,
    era: Era,
    store: Held,
    /// What it held after each write of this era and those before, latest last.
    copies: Vec<Held>,
    /// The operators' latest.
    configuration: u64,
    daemons: Vec<Daemon>,
    orders: Vec<Order>,
    last_token: u64,
    /// Who leads in truth.
    primary: usize,
    term: u64,
    unheard: Vec<Unheard>,
}

impl Model {
    fn new(broken: Broken) -> Model {
        let record = LeadershipRecord { term: 1, primary: "0".to_owned(), ..Default::default() };
        let store = Held { revision: 1, record: Some((record, 1)), ..Held::default() };
        Model {
            broken,
            now_ms: 100_000,
            era: Era::NONE,
            copies: vec![store.clone()],
            store,
            configuration: 0,
            daemons: vec![Daemon::default(); DAEMONS],
            orders: Vec::new(),
            last_token: 0,
            primary: 0,
            term: 1,
            unheard: Vec::new(),
        }
    }

    fn play(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Time { ms } => self.pass(*ms)?,
            Event::Restore { writes } => {
                let kept = self.copies.len().saturating_sub(*writes).max(1);
                self.copies.truncate(kept);
                self.store = self.copies[kept - 1].clone();
                self.era = Era(self.era.0 + 1);
            }
            Event::Configure => {
                self.configuration += 1;
                self.write(|store, version| store.configuration = version, self.configuration);
            }
            Event::ConfigureAgain => {
                self.write(|store, version| store.configuration = version, self.configuration);
            }
            Event::Read { daemon } => self.read(*daemon)?,
            Event::PutBack { daemon } => self.put_back(*daemon),
            Event::TakeDuty { daemon } => self.take_duty(*daemon),
            Event::LoseDuty => self.write(|store, ()| store.duty = None, ()),
            Event::Act { daemon, server, order_takes_ms } => {
                self.act(*daemon, *server, Some(*order_takes_ms))?;
            }
            Event::ActUnheard { daemon, server } => self.act(*daemon, *server, None)?,
            Event::CarryOut => self.carry_out(),
            Event::Cut { daemon } => self.daemons[*daemon].is_cut = true,
            Event::Mend { daemon } => self.daemons[*daemon].is_cut = false,
            Event::Start { daemon } => {
                self.daemons[*daemon] = Daemon::default();
            }
        }
        self.check()
    }

    fn write<T>(&mut self, change: impl FnOnce(&mut Held, T), with: T) {
        self.store.revision += 1;
        change(&mut self.store, with);
        self.copies.push(self.store.clone());
    }

    fn pass(&mut self, ms: u64) -> Result<(), TestCaseError> {
        let until = self.now_ms + ms;
        loop {
            self.orders.sort_by_key(|order| order.arrives_at_ms);
            let Some(order) = self.orders.first().filter(|it| it.arrives_at_ms <= until).cloned()
            else {
                break;
            };
            self.orders.remove(0);
            prop_assert!(
                order.token >= self.last_token,
                "token {} after {}",
                order.token,
                self.last_token
            );
            self.last_token = order.token;
            if order.server != self.primary {
                self.primary = order.server;
                self.term += 1;
            }
        }
        self.now_ms = until;
        Ok(())
    }

    /// Reads everything; a restore shows by the era.
    fn read(&mut self, number: usize) -> Result<(), TestCaseError> {
        let (era, now_ms, store) = (self.era, self.now_ms, self.store.clone());
        let daemon = &mut self.daemons[number];
        if daemon.is_cut {
            return Ok(());
        }
        if daemon.era != Some(era) {
            daemon.knew_earlier_era = daemon.era.is_some();
            daemon.entered_at_ms = now_ms;
            daemon.duty = None;
            daemon.era = Some(era);
        }
        let stored = store.record.as_ref().map(|(record, _)| record);
        let counts = RecordSource::choose(daemon.record.as_ref(), stored, era);
        if counts == RecordSource::Stored {
            daemon.record = stored.cloned();
        }
        if let Some(record) = &daemon.record {
            daemon.edition = daemon.edition.max(record.edition);
        }
        daemon.record_revision = store.record.as_ref().map_or(0, |(_, revision)| *revision);
        daemon.duty_seen = store.duty.clone();
        if daemon.duty.is_some() {
            let is_own = |duty: &Duty| duty.holder == number && Some(duty.created) == daemon.duty;
            daemon.duty = daemon.duty.filter(|_| store.duty.as_ref().is_some_and(is_own));
        }
        let before = daemon.configuration;
        daemon.configuration = before.max(store.configuration).max(store.kept);
        Ok(())
    }

    /// Whether a daemon's call reaches the store and its answer is believed.
    fn is_heard(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        !daemon.is_cut && (daemon.era == Some(self.era) || self.broken == Broken::AnyAnswer)
    }

    fn put_back(&mut self, number: usize) {
        if !self.is_heard(number) || self.era == Era::NONE {
            return;
        }
        let daemon = self.daemons[number].clone();
        let stands = self.store.record.as_ref().map_or(0, |(_, revision)| *revision);
        let stored = self.store.record.as_ref().map(|(record, _)| record);
        let counts = RecordSource::choose(daemon.record.as_ref(), stored, self.era);
        if let Some(record) = daemon.record.filter(|_| counts == RecordSource::Known)
            && stands == daemon.record_revision
        {
            self.put_record(record);
        }
        let is_kept = self.broken != Broken::NoConfigurationKept;
        if is_kept && daemon.configuration > self.store.configuration.max(self.store.kept) {
            self.write(|store, version| store.kept = version, daemon.configuration);
        }
    }

    fn put_record(&mut self, record: LeadershipRecord) {
        self.write(|store, record| store.record = Some((record, store.revision)), record);
    }

    fn take_duty(&mut self, number: usize) {
        let daemon = &self.daemons[number];
        let is_free = daemon.duty_seen.as_ref().is_none_or(|duty| Some(duty.era) < daemon.era);
        let Some(era) = daemon.era.filter(|_| is_free && daemon.duty.is_none()) else { return };
        if !self.is_heard(number) {
            return;
        }
        match &self.store.duty {
            // The key of an ended duty goes first.
            Some(duty) if duty.era < era => self.write(|store, ()| store.duty = None, ()),
            Some(_) => return,
            None => {}
        }
        let created = self.store.revision + 1;
        let duty = Duty { holder: number, era, created };
        self.write(|store, duty| store.duty = Some(duty), duty);
        self.daemons[number].duty = Some(created);
    }

    /// What the holder writes next, and the server that it orders after that.
    fn next_record(
        &self,
        number: usize,
        server: usize,
    ) -> Option<(LeadershipRecord, Option<usize>)> {
        let daemon = &self.daemons[number];
        let known = daemon.record.clone()?;
        let era = daemon.era?;
        let seen = EraView {
            era,
            known_for: Duration::from_millis(self.now_ms - daemon.entered_at_ms),
            knew_earlier_era: daemon.knew_earlier_era,
        };
        let waits = seen.must_wait_for_orders(Some(&known), Duration::from_millis(SETTLES_MS));
        if waits && self.broken != Broken::NoWait {
            return None;
        }
        let written = |record: LeadershipRecord| LeadershipRecord {
            era: era.0,
            edition: if era == Era::NONE { 0 } else { daemon.edition + 1 },
            ..record
        };
        let is_settled = |chosen: usize| self.orders.is_empty() && self.primary == chosen;
        match known.change.as_ref().and_then(|change| change.chosen.as_ref()) {
            Some(chosen) => {
                let chosen: usize = chosen.server.parse().unwrap();
                if is_settled(chosen) {
                    return Some((written(self.settled(&known)), None));
                }
                // It is ordered again, and no other one.
                Some((written(known), Some(chosen)))
            }
            // The servers' word, where the record is of an ended era.
            None if known.era != era.0 => Some((written(self.settled(&known)), None)),
            None => {
                let chosen = ChosenServer { server: server.to_string(), kept_position: 0 };
                let change = PrimaryChange {
                    id: String::new(),
                    reason: String::new(),
                    chosen: Some(chosen),
                };
                let record = LeadershipRecord { change: Some(change), ..known };
                Some((written(record), Some(server)))
            }
        }
    }

    fn settled(&self, known: &LeadershipRecord) -> LeadershipRecord {
        LeadershipRecord {
            term: self.term,
            primary: self.primary.to_string(),
            change: None,
            ..known.clone()
        }
    }

    fn act(
        &mut self,
        number: usize,
        server: usize,
        order_takes_ms: Option<u64>,
    ) -> Result<(), TestCaseError> {
        let daemon = self.daemons[number].clone();
        let (Some(created), Some(era)) = (daemon.duty, daemon.era) else { return Ok(()) };
        let Some((record, ordered)) = self.next_record(number, server) else { return Ok(()) };
        let unheard = Unheard {
            duty_created: created,
            record_revision: daemon.record_revision,
            record: record.clone(),
        };
        let Some(order_takes_ms) = order_takes_ms else {
            self.unheard.push(unheard);
            return Ok(());
        };
        // The call may reach a store of a later era, which compares the numbers and does it; only the answer tells.
        if daemon.is_cut || !self.carry(&unheard) {
            return Ok(());
        }
        if !self.is_heard(number) {
            return Ok(());
        }
        self.daemons[number].record = Some(record.clone());
        self.daemons[number].record_revision = self.store.revision;
        self.daemons[number].edition = record.edition;
        let Some(ordered) = ordered else { return Ok(()) };
        let under_way = self.orders.iter().find(|order| order.server != ordered);
        prop_assert!(under_way.is_none(), "{ordered} is ordered while {under_way:?} may come");
        let token = match self.broken {
            Broken::TokenWithoutEra => created,
            _ => Revision::new(era, created).fencing_token(),
        };
        let arrives_at_ms = self.now_ms + order_takes_ms;
        // Those of one holder come one after the other.
        let arrives_at_ms =
            self.orders.iter().map(|it| it.arrives_at_ms).fold(arrives_at_ms, u64::max);
        self.orders.push(Order { token, server: ordered, arrives_at_ms });
        Ok(())
    }

    /// Does a write if its conditions hold by the store's numbers.
    fn carry(&mut self, write: &Unheard) -> bool {
        let duty_holds =
            self.store.duty.as_ref().is_some_and(|it| it.created == write.duty_created);
        let stands = self.store.record.as_ref().map_or(0, |(_, revision)| *revision);
        let holds = duty_holds && stands == write.record_revision;
        if holds {
            self.put_record(write.record.clone());
        }
        holds
    }

    fn carry_out(&mut self) {
        if let Some(write) = self.unheard.pop() {
            self.carry(&write);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        // A right by the store's word names the server that leads.
        let may_be_used = |record: &LeadershipRecord| {
            record.change.is_none()
                && (record.era == self.era.0 || self.broken == Broken::OldRecordsCount)
        };
        if let Some((record, _)) =
            self.store.record.as_ref().filter(|(record, _)| may_be_used(record))
        {
            prop_assert_eq!(&record.primary, &self.primary.to_string(), "in era {}", self.era);
            prop_assert!(self.orders.iter().all(|it| it.server == self.primary));
        }
        Ok(())
    }
}

/// Plays one order of events, and at its end has everybody meet: what anybody knew of the configuration reaches a daemon that
/// starts then.
fn holds(events: &[Event], broken: Broken) -> Result<(), TestCaseError> {
    let mut model = Model::new(broken);
    for event in events {
        let before: Vec<u64> = model.daemons.iter().map(|it| it.configuration).collect();
        model.play(event)?;
        for (number, before) in before.into_iter().enumerate() {
            let is_new = matches!(event, Event::Start { daemon } if *daemon == number);
            prop_assert!(is_new || model.daemons[number].configuration >= before);
        }
    }
    let newest = model.daemons.iter().map(|it| it.configuration).max().unwrap_or(0);
    for daemon in 0..DAEMONS {
        model.daemons[daemon].is_cut = false;
        model.read(daemon)?;
        model.put_back(daemon);
    }
    model.daemons[0] = Daemon::default();
    model.read(0)?;
    let is_known = model.era == Era::NONE || model.daemons[0].configuration >= newest;
    prop_assert!(is_known, "a daemon that starts knows less than others");
    Ok(())
}

fn run(broken: Broken) -> Result<(), String> {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 10..80);
    runner.run(&events, |events| holds(&events, broken)).map_err(|error| error.to_string())
}

#[test]
fn tokens_records_and_configurations_never_fall_through_restores() {
    run(Broken::Nothing).unwrap();
}

#[test]
fn a_broken_variant_is_noticed() {
    for broken in [
        Broken::TokenWithoutEra,
        Broken::NoWait,
        Broken::OldRecordsCount,
        Broken::AnyAnswer,
        Broken::NoConfigurationKept,
    ] {
        assert!(run(broken).is_err(), "{broken:?} goes unnoticed");
    }
}
