//! A change of primary as a state machine.
//!
//! The driver returns one step at a time and receives its result. Every step is idempotent and may be
//! repeated by any daemon: the claim and the choice are compare-and-swaps of one record, a seal and a
//! promotion carry their term, and a server refuses a lower term.

use model::{ServerId, ServerStatus, Term};

use crate::{LeadershipRecord, RecordStage};

/// The next action for the daemon that runs the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverStep {
    /// Read the group's record.
    ReadRecord,
    /// Replace the record if it still has the expected version.
    WriteRecord {
        /// The version that was read; 0 when there was no record.
        expected_version: u64,
        /// The new record.
        record: LeadershipRecord,
    },
    /// Seal every reachable server at this term, and report each answer.
    Seal {
        /// The term of the seal; a sealed server refuses writes and changes of lower terms.
        term: Term,
    },
    /// Promote the chosen server to primary.
    Promote {
        /// The server to promote.
        server: ServerId,
        /// The term in which it becomes primary.
        term: Term,
    },
    /// Make the other servers follow the new primary, as far as they can be reached.
    Follow {
        /// The new primary.
        primary: ServerId,
        /// The term of the new primary.
        term: Term,
    },
    /// Nothing; the driver has finished.
    Done(FailoverOutcome),
}

/// The result of a finished driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverOutcome {
    /// The chosen server is primary.
    Promoted {
        /// The new primary.
        primary: ServerId,
        /// The term of the new primary.
        term: Term,
    },
    /// Another daemon is changing the primary and has not stalled for the takeover time.
    DrivenElsewhere,
    /// The store can't be reached, so no server was promoted.
    StoreUnreachable,
    /// Too few servers could be sealed.
    NoMajority,
    /// The chosen server could not be promoted; a new claim may choose another one.
    PromotionFailed,
}

/// The result of a step.
#[derive(Clone, Debug)]
pub enum FailoverEvent {
    /// The record was read.
    Record {
        /// The record; `None` when there is none yet.
        record: Option<LeadershipRecord>,
        /// The version of the record in the store; 0 when there is none.
        version: u64,
        /// Whether the change is complete, or the record has not changed for the takeover time.
        stalled: bool,
    },
    /// The store accepted the new record.
    Written {
        /// The version of the new record.
        version: u64,
    },
    /// The store rejected the write because the record had changed, or its answer was lost.
    WriteUncertain,
    /// The store could not be reached, and nothing was written.
    StoreUnreachable,
    /// The reachable servers have answered the seal.
    Sealed {
        /// The status after the seal of each server that accepted it.
        statuses: Vec<(ServerId, ServerStatus)>,
    },
    /// The chosen server is primary.
    Promoted,
    /// The chosen server could not be promoted.
    PromotionFailed,
    /// The other servers were told to follow.
    Followed,
}

/// The phase of a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverStage {
    /// Reading the record.
    Reading,
    /// Writing the claim.
    Claiming,
    /// Sealing the servers.
    Sealing,
    /// Writing the choice.
    Recording,
    /// Promoting the new primary.
    Promoting,
    /// Telling the other servers to follow.
    Following,
    /// Finished.
    Ended,
}

impl FailoverStage {
    /// Returns the name used in logs, metrics and spans.
    pub fn as_str(self) -> &'static str {
        match self {
            FailoverStage::Reading => "read",
            FailoverStage::Claiming => "claim",
            FailoverStage::Sealing => "seal",
            FailoverStage::Recording => "record",
            FailoverStage::Promoting => "promote",
            FailoverStage::Following => "follow",
            FailoverStage::Ended => "end",
        }
    }
}

/// What a driver needs to know about its group.
#[derive(Clone, Debug)]
pub struct FailoverGroup {
    /// The names of the servers, in the group's order.
    pub servers: Vec<String>,
    /// Servers to choose only if no other one holds as much, such as leaving servers.
    pub avoid: Vec<ServerId>,
    /// The server to choose if no other one holds more.
    pub preferred: Option<ServerId>,
    /// The primary that is considered failed. It may still answer and hold the longest log, so it is
    /// chosen only if the other sealed servers are not a majority.
    pub failed: Option<ServerId>,
}

/// One daemon's attempt to change a group's primary.
#[derive(Clone, Debug)]
pub struct FailoverDriver {
    group: FailoverGroup,
    host: String,
    claim_id: String,
    /// The highest term seen on any server or in the record; a claim uses a higher one.
    highest_term: Term,
    version: u64,
    stage: FailoverStage,
    step: FailoverStep,
    term: Term,
    chosen: Option<ServerId>,
}

impl FailoverDriver {
    /// Creates a driver. `claim_id` must be unique among the attempts of all daemons.
    pub fn new(
        group: FailoverGroup,
        host: impl Into<String>,
        claim_id: impl Into<String>,
        highest_term: Term,
    ) -> FailoverDriver {
        FailoverDriver {
            group,
            host: host.into(),
            claim_id: claim_id.into(),
            highest_term,
            version: 0,
            stage: FailoverStage::Reading,
            step: FailoverStep::ReadRecord,
            term: Term::default(),
            chosen: None,
        }
    }

    /// Returns the step to carry out next.
    pub fn step(&self) -> &FailoverStep {
        &self.step
    }

    /// Returns the phase of the driver.
    pub fn stage(&self) -> FailoverStage {
        self.stage
    }

    /// Processes the result of the current step and moves to the next one.
    pub fn on_event(&mut self, event: FailoverEvent) {
        let (stage, step) = match (self.stage, event) {
            (FailoverStage::Ended, _) => return,
            (_, FailoverEvent::StoreUnreachable) => end(FailoverOutcome::StoreUnreachable),
            (_, FailoverEvent::WriteUncertain) => {
                (FailoverStage::Reading, FailoverStep::ReadRecord)
            }
            (_, FailoverEvent::Record { record, version, stalled }) => {
                self.on_record(record, version, stalled)
            }
            (_, FailoverEvent::Written { version }) => self.on_written(version),
            (_, FailoverEvent::Sealed { statuses }) => self.on_sealed(&statuses),
            (_, FailoverEvent::Promoted) => self.on_promoted(),
            (_, FailoverEvent::PromotionFailed) => end(FailoverOutcome::PromotionFailed),
            (_, FailoverEvent::Followed) => self.on_followed(),
        };
        self.stage = stage;
        self.step = step;
    }

    fn on_record(
        &mut self,
        record: Option<LeadershipRecord>,
        version: u64,
        stalled: bool,
    ) -> (FailoverStage, FailoverStep) {
        self.version = version;
        let Some(record) = record else { return self.claim() };
        self.highest_term = self.highest_term.max(record.term);
        let is_own_claim = record.claim_id == self.claim_id;
        match record.stage {
            // The answer to this driver's claim was lost, but the claim was stored.
            RecordStage::Claimed if is_own_claim => self.seal(record.term),
            RecordStage::Claimed if stalled => self.claim(),
            RecordStage::Claimed => end(FailoverOutcome::DrivenElsewhere),
            RecordStage::Chosen { ref server, .. } => {
                self.resume_chosen(&record, server, is_own_claim, stalled)
            }
        }
    }

    /// Continues from a record that names the new primary.
    ///
    /// A choice of this driver is promoted. A recent choice of another driver is left to that driver;
    /// a stalled one means that its server has failed since, so a new term is claimed.
    fn resume_chosen(
        &mut self,
        record: &LeadershipRecord,
        server: &str,
        is_own_claim: bool,
        stalled: bool,
    ) -> (FailoverStage, FailoverStep) {
        if !is_own_claim && stalled {
            return self.claim();
        }
        if !is_own_claim {
            return end(FailoverOutcome::DrivenElsewhere);
        }
        match self.group.servers.iter().position(|name| name == server) {
            Some(index) => self.promote(ServerId::from_index(index), record.term),
            None => self.claim(),
        }
    }

    fn claim(&mut self) -> (FailoverStage, FailoverStep) {
        self.term = self.highest_term.next();
        let record = self.new_record(RecordStage::Claimed);
        (
            FailoverStage::Claiming,
            FailoverStep::WriteRecord { expected_version: self.version, record },
        )
    }

    fn on_written(&mut self, version: u64) -> (FailoverStage, FailoverStep) {
        self.version = version;
        match self.chosen {
            Some(server) => self.promote(server, self.term),
            None => self.seal(self.term),
        }
    }

    fn seal(&mut self, term: Term) -> (FailoverStage, FailoverStep) {
        self.term = term;
        (FailoverStage::Sealing, FailoverStep::Seal { term })
    }

    fn on_sealed(
        &mut self,
        statuses: &[(ServerId, ServerStatus)],
    ) -> (FailoverStage, FailoverStep) {
        let sealed: Vec<&(ServerId, ServerStatus)> =
            statuses.iter().filter(|(_, status)| status.promised_term == self.term).collect();
        let majority = self.group.servers.len() / 2 + 1;
        if sealed.len() < majority {
            return end(FailoverOutcome::NoMajority);
        }
        // Any two majorities share a server, so a majority includes a holder of every acknowledged write.
        let without_failed: Vec<_> =
            sealed.iter().filter(|(server, _)| self.group.failed != Some(*server)).collect();
        let candidates =
            if without_failed.len() >= majority { without_failed } else { sealed.iter().collect() };
        let best = candidates.into_iter().max_by_key(|(server, status)| {
            let not_avoided = !self.group.avoid.contains(server);
            let preferred = self.group.preferred == Some(*server);
            (status.held(), preferred, not_avoided, std::cmp::Reverse(*server))
        });
        let Some((server, status)) = best else { return end(FailoverOutcome::NoMajority) };
        self.chosen = Some(*server);
        let record = self.new_record(RecordStage::Chosen {
            server: self.group.servers[server.index()].clone(),
            start: status.held_position,
        });
        (
            FailoverStage::Recording,
            FailoverStep::WriteRecord { expected_version: self.version, record },
        )
    }

    fn promote(&mut self, server: ServerId, term: Term) -> (FailoverStage, FailoverStep) {
        self.term = term;
        self.chosen = Some(server);
        (FailoverStage::Promoting, FailoverStep::Promote { server, term })
    }

    fn on_promoted(&mut self) -> (FailoverStage, FailoverStep) {
        match self.chosen {
            Some(primary) => {
                (FailoverStage::Following, FailoverStep::Follow { primary, term: self.term })
            }
            None => end(FailoverOutcome::PromotionFailed),
        }
    }

    fn on_followed(&mut self) -> (FailoverStage, FailoverStep) {
        match self.chosen {
            Some(primary) => end(FailoverOutcome::Promoted { primary, term: self.term }),
            None => end(FailoverOutcome::PromotionFailed),
        }
    }

    fn new_record(&self, stage: RecordStage) -> LeadershipRecord {
        LeadershipRecord {
            term: self.term,
            claim_id: self.claim_id.clone(),
            driver: self.host.clone(),
            stage,
        }
    }
}

fn end(outcome: FailoverOutcome) -> (FailoverStage, FailoverStep) {
    (FailoverStage::Ended, FailoverStep::Done(outcome))
}
