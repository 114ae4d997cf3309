//! What daemons tell each other of the limits of client accounts; see `docs/ACCOUNTS.md`.

use std::time::Duration;

use limits::{Grant, Vote, VoteRequest, Wanted};
use model::Name;
use prost::Message;

/// A candidate's question, see [`limits::VoteRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteRequestMessage {
    /// The candidate's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// A number of this life of it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether it has a quorum.
    #[prost(bool, tag = "3")]
    pub is_coordinator: bool,
    /// Whether it has stopped lending and frees those that are bound to it.
    #[prost(bool, tag = "4")]
    pub ends: bool,
}

/// The answer, see [`limits::Vote`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct VoteAnswerMessage {
    /// Whether the voter is bound to the candidate, in every life of it.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// Whether it is as far as this life knows.
    #[prost(bool, tag = "2")]
    pub is_bound: bool,
    /// Whether its part of what is lent without a keeper goes to the candidate.
    #[prost(bool, tag = "3")]
    pub is_provisional: bool,
}

/// A question for operations of an account's limit, see [`limits::Wanted`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaRequestMessage {
    /// The asker's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Operations that it still holds.
    #[prost(uint32, tag = "2")]
    pub unused: u32,
    /// Operations that it wants.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// What was lent, see [`limits::Grant`]; neither where the asked daemon is not the keeper.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaGrantMessage {
    /// So many operations.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Where nothing is left, when to ask again, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// Whom the asked daemon takes for the keeper, where it is not itself and knows one.
    #[prost(string, tag = "3")]
    pub coordinator: String,
}

impl From<&VoteRequest> for VoteRequestMessage {
    fn from(request: &VoteRequest) -> VoteRequestMessage {
        let VoteRequest { host, life, is_keeper, ends } = request;
        VoteRequestMessage {
            host: host.to_string(),
            incarnation: *life,
            is_coordinator: *is_keeper,
            ends: *ends,
        }
    }
}

impl VoteRequestMessage {
    /// Returns the question.
    pub fn request(&self) -> VoteRequest {
        let host = Name::from(self.host.as_str());
        VoteRequest {
            host,
            life: self.incarnation,
            is_keeper: self.is_coordinator,
            ends: self.ends,
        }
    }
}

impl From<Vote> for VoteAnswerMessage {
    fn from(vote: Vote) -> VoteAnswerMessage {
        let Vote { is_granted, is_bound, is_provisional } = vote;
        VoteAnswerMessage { is_granted, is_bound, is_provisional }
    }
}

impl VoteAnswerMessage {
    /// Returns the answer.
    pub fn vote(self) -> Vote {
        let VoteAnswerMessage { is_granted, is_bound, is_provisional } = self;
        Vote { is_granted, is_bound, is_provisional }
    }
}

impl QuotaRequestMessage {
    /// Returns how a question is told.
    pub fn of(wanted: &Wanted) -> QuotaRequestMessage {
        let Wanted { host, unused, wanted } = wanted;
        QuotaRequestMessage { host: host.to_string(), unused: *unused, wanted: *wanted }
    }

    /// Returns the question.
    pub fn wanted(&self) -> Wanted {
        let host = Name::from(self.host.as_str());
        Wanted { host, unused: self.unused, wanted: self.wanted }
    }
}

impl QuotaGrantMessage {
    /// Returns what was lent.
    pub fn grant(&self) -> Grant {
        match (self.count, self.wait_ms) {
            (0, 0) => Grant::NotKeeper,
            (0, wait_ms) => Grant::Empty(Duration::from_millis(wait_ms)),
            (count, _) => Grant::Lent(count),
        }
    }
}

impl From<Grant> for QuotaGrantMessage {
    fn from(grant: Grant) -> QuotaGrantMessage {
        let (count, wait_ms) = match grant {
            Grant::Lent(count) => (count, 0),
            // Rounded up, so that it is never taken for the answer of who does not keep the limits.
            Grant::Empty(wait) => (0, wait.as_millis() as u64 + 1),
            Grant::NotKeeper => (0, 0),
        };
        QuotaGrantMessage { count, wait_ms, coordinator: String::new() }
    }
}
