//! A change of primary as a state machine.
//!
//! The driver asks for one step at a time and is told how it went. Every step may be repeated, by it
//! or by another daemon, without harm: the claim and the choice are compare-and-swaps of one record,
//! a seal and a promotion name their term, and a server refuses a lower one. The table of faults in
//! `tests/driver.rs` ends the driver at each step and lets another one finish.

use model::{ServerId, ServerStatus, Term};

use crate::{LeadershipRecord, RecordStage};

/// What the shell has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverStep {
    /// Read the group's record.
    ReadRecord,
    /// Replace the record if it still has this version (0: if there is none).
    WriteRecord {
        /// The version that was read.
        expected_version: u64,
        /// The new record.
        record: LeadershipRecord,
    },
    /// Seal every server that can be reached at this term, and report each answer.
    Seal {
        /// The term below which the servers must refuse.
        term: Term,
    },
    /// Open the chosen server as primary.
    Promote {
        /// The server.
        server: ServerId,
        /// Its term.
        term: Term,
    },
    /// Tell the others to follow; the change is over even if some can't be told.
    Follow {
        /// The new primary.
        primary: ServerId,
        /// Its term.
        term: Term,
    },
    /// Nothing more to do.
    End(Ending),
}

/// How a driver ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server leads in the term.
    Opened {
        /// The new primary.
        primary: ServerId,
        /// Its term.
        term: Term,
    },
    /// Another daemon drives a change that is not old enough to be taken over.
    LeftToOther,
    /// The store can't be reached, so nobody promotes.
    StoreUnreachable,
    /// Too few servers could be sealed.
    NoMajority,
    /// The chosen server could not be opened; a new claim may choose another.
    PromotionFailed,
}

/// How a step went.
#[derive(Clone, Debug)]
pub enum DriverEvent {
    /// The record was read; `None` when there is none yet.
    Record {
        /// The record.
        record: Option<LeadershipRecord>,
        /// Its version in the store, 0 when there is none.
        version: u64,
        /// Whether it has stood unchanged for the takeover time, as this daemon saw it.
        stalled: bool,
    },
    /// The store took the new record.
    Written {
        /// Its version.
        version: u64,
    },
    /// The store refused, since the record had changed; or its answer was lost.
    WriteUnclear,
    /// The store could not be reached, and nothing was written.
    StoreUnreachable,
    /// Every reachable server has answered the seal, with its status after it.
    Sealed {
        /// The answers of the servers that took it.
        statuses: Vec<(ServerId, ServerStatus)>,
    },
    /// The chosen server is open.
    Promoted,
    /// It could not be opened.
    PromotionFailed,
    /// The others were told.
    Followed,
}

/// Where the driver stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reading the record.
    Reading,
    /// Writing the claim.
    Claiming,
    /// Sealing the servers.
    Sealing,
    /// Writing the choice.
    Recording,
    /// Opening the new primary.
    Promoting,
    /// Telling the others.
    Following,
    /// Over.
    Ended,
}

impl Stage {
    /// Returns the word used in logs, metrics and spans.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Reading => "read",
            Stage::Claiming => "claim",
            Stage::Sealing => "seal",
            Stage::Recording => "record",
            Stage::Promoting => "promote",
            Stage::Following => "follow",
            Stage::Ended => "end",
        }
    }
}

/// What a driver needs to know of its group.
#[derive(Clone, Debug)]
pub struct DriverGroup {
    /// The names of the servers, in the group's order.
    pub servers: Vec<String>,
    /// Servers that must not be chosen, such as leaving ones, unless no other holds as much.
    pub unwanted: Vec<ServerId>,
    /// A server that should be chosen if it holds as much as any.
    pub preferred: Option<ServerId>,
    /// The primary that is taken to have failed. It may answer the seal and hold the longest log,
    /// as when only its replicas can't reach it; it is chosen only if no majority is left without it.
    pub failed: Option<ServerId>,
}

/// One daemon's attempt to change a group's primary.
#[derive(Clone, Debug)]
pub struct Driver {
    group: DriverGroup,
    host: String,
    claim_id: String,
    /// The highest term seen anywhere, so that a claim is above all of them.
    highest_term: Term,
    version: u64,
    stage: Stage,
    step: DriverStep,
    term: Term,
    chosen: Option<ServerId>,
}

impl Driver {
    /// Begins. `claim_id` must be new for each attempt of any daemon.
    pub fn new(
        group: DriverGroup,
        host: impl Into<String>,
        claim_id: impl Into<String>,
        highest_term: Term,
    ) -> Driver {
        Driver {
            group,
            host: host.into(),
            claim_id: claim_id.into(),
            highest_term,
            version: 0,
            stage: Stage::Reading,
            step: DriverStep::ReadRecord,
            term: Term::default(),
            chosen: None,
        }
    }

    /// Returns the step to carry out now.
    pub fn step(&self) -> &DriverStep {
        &self.step
    }

    /// Returns where the driver stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes the outcome of the step.
    pub fn on_event(&mut self, event: DriverEvent) {
        let (stage, step) = match (self.stage, event) {
            (Stage::Ended, _) => return,
            (_, DriverEvent::StoreUnreachable) => end(Ending::StoreUnreachable),
            (_, DriverEvent::WriteUnclear) => (Stage::Reading, DriverStep::ReadRecord),
            (_, DriverEvent::Record { record, version, stalled }) => {
                self.on_record(record, version, stalled)
            }
            (_, DriverEvent::Written { version }) => self.on_written(version),
            (_, DriverEvent::Sealed { statuses }) => self.on_sealed(&statuses),
            (_, DriverEvent::Promoted) => self.on_promoted(),
            (_, DriverEvent::PromotionFailed) => end(Ending::PromotionFailed),
            (_, DriverEvent::Followed) => self.on_followed(),
        };
        self.stage = stage;
        self.step = step;
    }

    fn on_record(
        &mut self,
        record: Option<LeadershipRecord>,
        version: u64,
        stalled: bool,
    ) -> (Stage, DriverStep) {
        self.version = version;
        let Some(record) = record else { return self.claim() };
        self.highest_term = self.highest_term.max(record.term);
        let own = record.claim_id == self.claim_id;
        match record.stage {
            // The claim's answer was lost, but it took effect.
            RecordStage::Claimed if own => self.seal(record.term),
            RecordStage::Claimed if stalled => self.claim(),
            RecordStage::Claimed => end(Ending::LeftToOther),
            RecordStage::Chosen { ref server, .. } => {
                self.finish_chosen(&record, server, own, stalled)
            }
        }
    }

    /// Continues from a record that names the new primary.
    ///
    /// Our own choice is opened. Another's is left alone while it is fresh; if it stands for longer
    /// and its server does not lead, the server has failed since, and a new term is claimed.
    fn finish_chosen(
        &mut self,
        record: &LeadershipRecord,
        server: &str,
        own: bool,
        stalled: bool,
    ) -> (Stage, DriverStep) {
        if !own && stalled {
            return self.claim();
        }
        if !own {
            return end(Ending::LeftToOther);
        }
        match self.group.servers.iter().position(|name| name == server) {
            Some(index) => self.promote(ServerId::from_index(index), record.term),
            None => self.claim(),
        }
    }

    fn claim(&mut self) -> (Stage, DriverStep) {
        self.term = self.highest_term.next();
        let record = self.record(RecordStage::Claimed);
        (Stage::Claiming, DriverStep::WriteRecord { expected_version: self.version, record })
    }

    fn on_written(&mut self, version: u64) -> (Stage, DriverStep) {
        self.version = version;
        match self.chosen {
            Some(server) => self.promote(server, self.term),
            None => self.seal(self.term),
        }
    }

    fn seal(&mut self, term: Term) -> (Stage, DriverStep) {
        self.term = term;
        (Stage::Sealing, DriverStep::Seal { term })
    }

    fn on_sealed(&mut self, statuses: &[(ServerId, ServerStatus)]) -> (Stage, DriverStep) {
        let sealed: Vec<&(ServerId, ServerStatus)> =
            statuses.iter().filter(|(_, status)| status.promised_term == self.term).collect();
        let majority = self.group.servers.len() / 2 + 1;
        if sealed.len() < majority {
            return end(Ending::NoMajority);
        }
        // Every acknowledged write is held by a majority, so by a server of any other majority.
        let sound: Vec<_> =
            sealed.iter().filter(|(server, _)| self.group.failed != Some(*server)).collect();
        let best = if sound.len() >= majority { sound } else { sealed.iter().collect() };
        let best = best.into_iter().max_by_key(|(server, status)| {
            let wanted = !self.group.unwanted.contains(server);
            let preferred = self.group.preferred == Some(*server);
            (status.held(), preferred, wanted, std::cmp::Reverse(*server))
        });
        let Some((server, status)) = best else { return end(Ending::NoMajority) };
        self.chosen = Some(*server);
        let record = self.record(RecordStage::Chosen {
            server: self.group.servers[server.index()].clone(),
            start: status.held_position,
        });
        (Stage::Recording, DriverStep::WriteRecord { expected_version: self.version, record })
    }

    fn promote(&mut self, server: ServerId, term: Term) -> (Stage, DriverStep) {
        self.term = term;
        self.chosen = Some(server);
        (Stage::Promoting, DriverStep::Promote { server, term })
    }

    fn on_promoted(&mut self) -> (Stage, DriverStep) {
        match self.chosen {
            Some(primary) => (Stage::Following, DriverStep::Follow { primary, term: self.term }),
            None => end(Ending::PromotionFailed),
        }
    }

    fn on_followed(&mut self) -> (Stage, DriverStep) {
        match self.chosen {
            Some(primary) => end(Ending::Opened { primary, term: self.term }),
            None => end(Ending::PromotionFailed),
        }
    }

    fn record(&self, stage: RecordStage) -> LeadershipRecord {
        LeadershipRecord {
            term: self.term,
            claim_id: self.claim_id.clone(),
            driver: self.host.clone(),
            stage,
        }
    }
}

fn end(ending: Ending) -> (Stage, DriverStep) {
    (Stage::Ended, DriverStep::End(ending))
}
