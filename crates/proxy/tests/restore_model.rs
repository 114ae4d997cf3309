//! Model test of restores of the store during changes of primary.
//!
//! Runs the engine's decisions on authoritative records, waiting after a restore and fencing tokens over a model of the
//! store, daemons and servers. Like the real store, the model compares revision numbers only and reuses them after a
//! restore; orders and writes may take effect late. Invariants: fencing tokens never decrease, no other server is
//! ordered while an order may still take effect, a record that grants leases names the actual primary, and the
//! configuration version of a daemon never decreases. Injected defects show that the model detects violations.
//!
//! Not modelled: lease expiry (`leadership_model.rs`) and the servers' logs (`history_model.rs`).

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
/// How long a group must not be changed after a restore, so that orders from before the restore have taken effect.
const SETTLES_MS: u64 = 4_000;
/// The longest delay between the confirmation of the promoter key and the effect of an order.
const ORDER_DELAY_MS: u64 = 3_500;

#[derive(Clone, Debug)]
enum Event {
    Time {
        ms: u64,
    },
    /// Restores the store to its state before this many writes.
    Restore {
        writes: usize,
    },
    Configure,
    /// The operators write their latest configuration again.
    Reconfigure,
    Read {
        daemon: usize,
    },
    Republish {
        daemon: usize,
    },
    AcquirePromoterLease {
        daemon: usize,
    },
    /// The promoter lease expires in the store.
    ExpirePromoterLease,
    /// Confirms a record, or resumes or starts a change, as the record requires; an order takes effect after the delay.
    Act {
        daemon: usize,
        server: usize,
        order_delay_ms: u64,
    },
    /// Like `Act`, but the write is applied only at [`Event::ApplyDelayedWrite`], and its result is lost.
    ActWithoutReply {
        daemon: usize,
        server: usize,
    },
    ApplyDelayedWrite,
    Disconnect {
        daemon: usize,
    },
    Reconnect {
        daemon: usize,
    },
    Restart {
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
        1 => Just(Event::Reconfigure),
        8 => daemon.clone().prop_map(|daemon| Event::Read { daemon }),
        4 => daemon.clone().prop_map(|daemon| Event::Republish { daemon }),
        4 => daemon.clone().prop_map(|daemon| Event::AcquirePromoterLease { daemon }),
        1 => Just(Event::ExpirePromoterLease),
        8 => (daemon.clone(), server.clone(), 0..ORDER_DELAY_MS).prop_map(
            |(daemon, server, order_delay_ms)| Event::Act { daemon, server, order_delay_ms }
        ),
        1 => (daemon.clone(), server).prop_map(|(daemon, server)| Event::ActWithoutReply { daemon, server }),
        1 => Just(Event::ApplyDelayedWrite),
        1 => daemon.clone().prop_map(|daemon| Event::Disconnect { daemon }),
        1 => daemon.clone().prop_map(|daemon| Event::Reconnect { daemon }),
        1 => daemon.prop_map(|daemon| Event::Restart { daemon }),
    ]
}

/// A defect that is injected into the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    Nothing,
    /// The fencing token omits the era.
    TokenWithoutEra,
    /// Promoters don't wait for orders from before the restore.
    NoWait,
    /// Records of earlier eras grant leases.
    UnconfirmedRecordsGrantLeases,
    /// Responses of any era are accepted.
    AcceptAnyEra,
    /// Daemons don't republish the newest configuration.
    NoConfigurationRetained,
}

#[derive(Clone, Debug)]
struct PromoterKey {
    holder: usize,
    era: Era,
    created: u64,
}

/// The contents of the store, with revision numbers without era.
#[derive(Clone, Debug, Default)]
struct StoreContents {
    revision: u64,
    promoter_key: Option<PromoterKey>,
    record: Option<(LeadershipRecord, u64)>,
    configuration: u64,
    retained: u64,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    is_disconnected: bool,
    /// The era of the last store read; `None` before the first one.
    era: Option<Era>,
    entered_at_ms: u64,
    knew_earlier_era: bool,
    /// The authoritative record, and the revision of the stored one.
    record: Option<LeadershipRecord>,
    record_revision: u64,
    /// The revision at which its promoter key was created, if it is the promoter.
    promoter_key_created: Option<u64>,
    seen_promoter_key: Option<PromoterKey>,
    configuration: u64,
    edition: u64,
}

#[derive(Clone, Debug)]
struct Order {
    token: u64,
    server: usize,
    takes_effect_at_ms: u64,
}

/// A write with its conditions; it may be delayed and its result be lost.
#[derive(Clone, Debug)]
struct ConditionalWrite {
    promoter_key_created: u64,
    record_revision: u64,
    record: LeadershipRecord,
}

struct Model {
    defect: Defect,
    now_ms: u64,
    era: Era,
    store: StoreContents,
    /// The contents after each write, latest last.
    backups: Vec<StoreContents>,
    /// The operators' latest configuration.
    configuration: u64,
    daemons: Vec<Daemon>,
    orders: Vec<Order>,
    last_token: u64,
    /// The actual primary.
    primary: usize,
    term: u64,
    delayed_writes: Vec<ConditionalWrite>,
}

impl Model {
    fn new(defect: Defect) -> Model {
        let record = LeadershipRecord { term: 1, primary: "0".to_owned(), ..Default::default() };
        let store =
            StoreContents { revision: 1, record: Some((record, 1)), ..StoreContents::default() };
        Model {
            defect,
            now_ms: 100_000,
            era: Era::NONE,
            backups: vec![store.clone()],
            store,
            configuration: 0,
            daemons: vec![Daemon::default(); DAEMONS],
            orders: Vec::new(),
            last_token: 0,
            primary: 0,
            term: 1,
            delayed_writes: Vec::new(),
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Time { ms } => self.advance_time(*ms)?,
            Event::Restore { writes } => {
                let remaining = self.backups.len().saturating_sub(*writes).max(1);
                self.backups.truncate(remaining);
                self.store = self.backups[remaining - 1].clone();
                self.era = Era(self.era.0 + 1);
            }
            Event::Configure => {
                self.configuration += 1;
                self.write(|store, version| store.configuration = version, self.configuration);
            }
            Event::Reconfigure => {
                self.write(|store, version| store.configuration = version, self.configuration);
            }
            Event::Read { daemon } => self.read(*daemon)?,
            Event::Republish { daemon } => self.republish(*daemon),
            Event::AcquirePromoterLease { daemon } => self.acquire_promoter_lease(*daemon),
            Event::ExpirePromoterLease => self.write(|store, ()| store.promoter_key = None, ()),
            Event::Act { daemon, server, order_delay_ms } => {
                self.act(*daemon, *server, Some(*order_delay_ms))?;
            }
            Event::ActWithoutReply { daemon, server } => self.act(*daemon, *server, None)?,
            Event::ApplyDelayedWrite => self.apply_delayed_write(),
            Event::Disconnect { daemon } => self.daemons[*daemon].is_disconnected = true,
            Event::Reconnect { daemon } => self.daemons[*daemon].is_disconnected = false,
            Event::Restart { daemon } => {
                self.daemons[*daemon] = Daemon::default();
            }
        }
        self.check_invariants()
    }

    fn write<T>(&mut self, change: impl FnOnce(&mut StoreContents, T), with: T) {
        self.store.revision += 1;
        change(&mut self.store, with);
        self.backups.push(self.store.clone());
    }

    fn advance_time(&mut self, ms: u64) -> Result<(), TestCaseError> {
        let until = self.now_ms + ms;
        loop {
            self.orders.sort_by_key(|order| order.takes_effect_at_ms);
            let Some(order) =
                self.orders.first().filter(|it| it.takes_effect_at_ms <= until).cloned()
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

    /// Reads the whole store; a new era shows that it was restored.
    fn read(&mut self, index: usize) -> Result<(), TestCaseError> {
        let (era, now_ms, store) = (self.era, self.now_ms, self.store.clone());
        let daemon = &mut self.daemons[index];
        if daemon.is_disconnected {
            return Ok(());
        }
        if daemon.era != Some(era) {
            daemon.knew_earlier_era = daemon.era.is_some();
            daemon.entered_at_ms = now_ms;
            daemon.promoter_key_created = None;
            daemon.era = Some(era);
        }
        let stored = store.record.as_ref().map(|(record, _)| record);
        let source = RecordSource::choose(daemon.record.as_ref(), stored, era);
        if source == RecordSource::Stored {
            daemon.record = stored.cloned();
        }
        if let Some(record) = &daemon.record {
            daemon.edition = daemon.edition.max(record.edition);
        }
        daemon.record_revision = store.record.as_ref().map_or(0, |(_, revision)| *revision);
        daemon.seen_promoter_key = store.promoter_key.clone();
        if daemon.promoter_key_created.is_some() {
            let is_own = |promoter_key: &PromoterKey| {
                promoter_key.holder == index
                    && Some(promoter_key.created) == daemon.promoter_key_created
            };
            daemon.promoter_key_created = daemon
                .promoter_key_created
                .filter(|_| store.promoter_key.as_ref().is_some_and(is_own));
        }
        let before = daemon.configuration;
        daemon.configuration = before.max(store.configuration).max(store.retained);
        Ok(())
    }

    /// Whether a daemon's call reaches the store and its response is accepted.
    fn is_response_accepted(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        !daemon.is_disconnected
            && (daemon.era == Some(self.era) || self.defect == Defect::AcceptAnyEra)
    }

    fn republish(&mut self, index: usize) {
        if !self.is_response_accepted(index) || self.era == Era::NONE {
            return;
        }
        let daemon = self.daemons[index].clone();
        let stored_revision = self.store.record.as_ref().map_or(0, |(_, revision)| *revision);
        let stored = self.store.record.as_ref().map(|(record, _)| record);
        let source = RecordSource::choose(daemon.record.as_ref(), stored, self.era);
        if let Some(record) = daemon.record.filter(|_| source == RecordSource::Known)
            && stored_revision == daemon.record_revision
        {
            self.put_record(record);
        }
        let retains_configuration = self.defect != Defect::NoConfigurationRetained;
        if retains_configuration
            && daemon.configuration > self.store.configuration.max(self.store.retained)
        {
            self.write(|store, version| store.retained = version, daemon.configuration);
        }
    }

    fn put_record(&mut self, record: LeadershipRecord) {
        self.write(|store, record| store.record = Some((record, store.revision)), record);
    }

    fn acquire_promoter_lease(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let is_free = daemon
            .seen_promoter_key
            .as_ref()
            .is_none_or(|promoter_key| Some(promoter_key.era) < daemon.era);
        let Some(era) = daemon.era.filter(|_| is_free && daemon.promoter_key_created.is_none())
        else {
            return;
        };
        if !self.is_response_accepted(index) {
            return;
        }
        match &self.store.promoter_key {
            // A key of an earlier era is removed first.
            Some(promoter_key) if promoter_key.era < era => {
                self.write(|store, ()| store.promoter_key = None, ())
            }
            Some(_) => return,
            None => {}
        }
        let created = self.store.revision + 1;
        let promoter_key = PromoterKey { holder: index, era, created };
        self.write(|store, promoter_key| store.promoter_key = Some(promoter_key), promoter_key);
        self.daemons[index].promoter_key_created = Some(created);
    }

    /// Returns the record that the promoter writes next, and the server whose promotion it orders after that.
    fn next_record(
        &self,
        index: usize,
        server: usize,
    ) -> Option<(LeadershipRecord, Option<usize>)> {
        let daemon = &self.daemons[index];
        let known = daemon.record.clone()?;
        let era = daemon.era?;
        let seen = EraView {
            era,
            known_for: Duration::from_millis(self.now_ms - daemon.entered_at_ms),
            knew_earlier_era: daemon.knew_earlier_era,
        };
        let must_wait = seen.must_wait_for_orders(Some(&known), Duration::from_millis(SETTLES_MS));
        if must_wait && self.defect != Defect::NoWait {
            return None;
        }
        let written = |record: LeadershipRecord| LeadershipRecord {
            era: era.0,
            edition: if era == Era::NONE { 0 } else { daemon.edition + 1 },
            ..record
        };
        let has_taken_effect = |chosen: usize| self.orders.is_empty() && self.primary == chosen;
        match known.change.as_ref().and_then(|change| change.chosen.as_ref()) {
            Some(chosen) => {
                let chosen: usize = chosen.server.parse().unwrap();
                if has_taken_effect(chosen) {
                    return Some((written(self.with_current_primary(&known)), None));
                }
                // The same server is ordered again.
                Some((written(known), Some(chosen)))
            }
            // A record of an earlier era is confirmed by the servers.
            None if known.era != era.0 => Some((written(self.with_current_primary(&known)), None)),
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

    fn with_current_primary(&self, known: &LeadershipRecord) -> LeadershipRecord {
        LeadershipRecord {
            term: self.term,
            primary: self.primary.to_string(),
            change: None,
            ..known.clone()
        }
    }

    fn act(
        &mut self,
        index: usize,
        server: usize,
        order_delay_ms: Option<u64>,
    ) -> Result<(), TestCaseError> {
        let daemon = self.daemons[index].clone();
        let (Some(created), Some(era)) = (daemon.promoter_key_created, daemon.era) else {
            return Ok(());
        };
        let Some((record, ordered)) = self.next_record(index, server) else { return Ok(()) };
        let write = ConditionalWrite {
            promoter_key_created: created,
            record_revision: daemon.record_revision,
            record: record.clone(),
        };
        let Some(order_delay_ms) = order_delay_ms else {
            self.delayed_writes.push(write);
            return Ok(());
        };
        // The call may reach a store of a later era, which compares only numbers; the response shows the era.
        if daemon.is_disconnected || !self.apply_write(&write) {
            return Ok(());
        }
        if !self.is_response_accepted(index) {
            return Ok(());
        }
        self.daemons[index].record = Some(record.clone());
        self.daemons[index].record_revision = self.store.revision;
        self.daemons[index].edition = record.edition;
        let Some(ordered) = ordered else { return Ok(()) };
        let pending_order = self.orders.iter().find(|order| order.server != ordered);
        prop_assert!(
            pending_order.is_none(),
            "{ordered} is ordered while {pending_order:?} may take effect"
        );
        let token = match self.defect {
            Defect::TokenWithoutEra => created,
            _ => Revision::new(era, created).fencing_token(),
        };
        let takes_effect_at_ms = self.now_ms + order_delay_ms;
        // Orders take effect in sequence.
        let takes_effect_at_ms =
            self.orders.iter().map(|it| it.takes_effect_at_ms).fold(takes_effect_at_ms, u64::max);
        self.orders.push(Order { token, server: ordered, takes_effect_at_ms });
        Ok(())
    }

    /// Applies a write if its conditions hold by the store's revision numbers.
    fn apply_write(&mut self, write: &ConditionalWrite) -> bool {
        let is_promoter_key_current = self
            .store
            .promoter_key
            .as_ref()
            .is_some_and(|it| it.created == write.promoter_key_created);
        let stored_revision = self.store.record.as_ref().map_or(0, |(_, revision)| *revision);
        let is_current = is_promoter_key_current && stored_revision == write.record_revision;
        if is_current {
            self.put_record(write.record.clone());
        }
        is_current
    }

    fn apply_delayed_write(&mut self) {
        if let Some(write) = self.delayed_writes.pop() {
            self.apply_write(&write);
        }
    }

    fn check_invariants(&self) -> Result<(), TestCaseError> {
        // A record that grants a lease names the actual primary.
        let may_be_used = |record: &LeadershipRecord| {
            record.change.is_none()
                && (record.era == self.era.0
                    || self.defect == Defect::UnconfirmedRecordsGrantLeases)
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

/// Applies the events, then reconnects all daemons: the newest configuration that any daemon knew must reach a daemon
/// that starts afterwards.
fn check_run(events: &[Event], defect: Defect) -> Result<(), TestCaseError> {
    let mut model = Model::new(defect);
    for event in events {
        let before: Vec<u64> = model.daemons.iter().map(|it| it.configuration).collect();
        model.apply(event)?;
        for (index, before) in before.into_iter().enumerate() {
            let is_new = matches!(event, Event::Restart { daemon } if *daemon == index);
            prop_assert!(is_new || model.daemons[index].configuration >= before);
        }
    }
    let newest = model.daemons.iter().map(|it| it.configuration).max().unwrap_or(0);
    for daemon in 0..DAEMONS {
        model.daemons[daemon].is_disconnected = false;
        model.read(daemon)?;
        model.republish(daemon);
    }
    model.daemons[0] = Daemon::default();
    model.read(0)?;
    let is_known = model.era == Era::NONE || model.daemons[0].configuration >= newest;
    prop_assert!(is_known, "a daemon that starts knows an older configuration than others");
    Ok(())
}

fn run(defect: Defect) -> Result<(), String> {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 10..80);
    runner.run(&events, |events| check_run(&events, defect)).map_err(|error| error.to_string())
}

#[test]
fn invariants_hold_through_restores() {
    run(Defect::Nothing).unwrap();
}

#[test]
fn every_injected_defect_is_detected() {
    for defect in [
        Defect::TokenWithoutEra,
        Defect::NoWait,
        Defect::UnconfirmedRecordsGrantLeases,
        Defect::AcceptAnyEra,
        Defect::NoConfigurationRetained,
    ] {
        assert!(run(defect).is_err(), "{defect:?} is not detected");
    }
}
