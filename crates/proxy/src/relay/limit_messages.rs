//! What daemons tell each other of the limits of client accounts; see `docs/ACCOUNTS.md`.

use std::time::Duration;

use limits::{Grant, Vote, VoteRequest, Wanted};
use model::Name;
use prost::Message;

/// A candidate's question, see [`limits::VoteRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteMessage {
    /// The candidate's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// A number of this life of it.
    #[prost(uint64, tag = "2")]
    pub life: u64,
    /// Whether it has a quorum.
    #[prost(bool, tag = "3")]
    pub is_keeper: bool,
    /// Whether it has stopped lending and frees those that are bound to it.
    #[prost(bool, tag = "4")]
    pub ends: bool,
}

/// The answer, see [`limits::Vote`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct VotedMessage {
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
pub struct LendMessage {
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
pub struct LentMessage {
    /// So many operations.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Where nothing is left, when to ask again, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// Whom the asked daemon takes for the keeper, where it is not itself and knows one.
    #[prost(string, tag = "3")]
    pub keeper: String,
}

impl From<&VoteRequest> for VoteMessage {
    fn from(request: &VoteRequest) -> VoteMessage {
        let VoteRequest { host, life, is_keeper, ends } = request;
        VoteMessage { host: host.to_string(), life: *life, is_keeper: *is_keeper, ends: *ends }
    }
}

impl VoteMessage {
    /// Returns the question.
    pub fn request(&self) -> VoteRequest {
        let host = Name::from(self.host.as_str());
        VoteRequest { host, life: self.life, is_keeper: self.is_keeper, ends: self.ends }
    }
}

impl From<Vote> for VotedMessage {
    fn from(vote: Vote) -> VotedMessage {
        let Vote { is_granted, is_bound, is_provisional } = vote;
        VotedMessage { is_granted, is_bound, is_provisional }
    }
}

impl VotedMessage {
    /// Returns the answer.
    pub fn vote(self) -> Vote {
        let VotedMessage { is_granted, is_bound, is_provisional } = self;
        Vote { is_granted, is_bound, is_provisional }
    }
}

impl LendMessage {
    /// Returns how a question is told.
    pub fn of(wanted: &Wanted) -> LendMessage {
        let Wanted { host, unused, wanted } = wanted;
        LendMessage { host: host.to_string(), unused: *unused, wanted: *wanted }
    }

    /// Returns the question.
    pub fn wanted(&self) -> Wanted {
        let host = Name::from(self.host.as_str());
        Wanted { host, unused: self.unused, wanted: self.wanted }
    }
}

impl LentMessage {
    /// Returns what was lent.
    pub fn grant(&self) -> Grant {
        match (self.count, self.wait_ms) {
            (0, 0) => Grant::NotKeeper,
            (0, wait_ms) => Grant::Empty(Duration::from_millis(wait_ms)),
            (count, _) => Grant::Lent(count),
        }
    }
}

impl From<Grant> for LentMessage {
    fn from(grant: Grant) -> LentMessage {
        let (count, wait_ms) = match grant {
            Grant::Lent(count) => (count, 0),
            // Rounded up, so that it is never taken for the answer of who does not keep the limits.
            Grant::Empty(wait) => (0, wait.as_millis() as u64 + 1),
            Grant::NotKeeper => (0, 0),
        };
        LentMessage { count, wait_ms, keeper: String::new() }
    }
}
