//! Election of the limit coordinator among the daemons.
//!
//! A vote binds its voter for a time by the voter's clock, and counts for the candidate for a slightly shorter time
//! from its request. Two coordinators at a time would need a voter that is bound to both. A daemon that starts
//! does not know the votes of its former incarnation, so its votes are not granted until those have expired. The
//! exception is a round in which every member is bound to the candidate.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// The share of the members whose votes make a coordinator. Above one half, since daemons may have slightly different
/// member lists while hosts join or leave, and two quorums must still have a voter in common.
const QUORUM_SHARE: f64 = 0.55;
/// The share of the votes from which a coordinator grants the whole rate. With fewer votes it grants its share of the
/// rate, and other candidates may grant theirs. A candidate with no more than the remaining share of the votes grants
/// none of the rate, so that nothing is granted twice.
const FULL_RATE_SHARE: f64 = 0.75;
/// A candidate with more than this fraction (1/n) of the votes does not yield to another one.
const MANY_VOTES_DIVISOR: usize = 3;
/// How often a daemon's share of the provisional quota may be used in a window: by a candidate that it supported at
/// the end of the previous window, by the next candidate, and by one that it supported before a restart. The share is
/// divided by this number.
const MAX_USES_PER_WINDOW: f64 = 3.0;

/// The timing of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionTimes {
    /// How long a vote binds its voter.
    pub vote_duration: Duration,
    /// How long a vote counts for the candidate. Shorter than `vote_duration` by the possible clock drift.
    pub counted_for: Duration,
    /// The window of the limits. A voter supports at most one unelected candidate per window.
    pub window: Duration,
}

/// A candidate's request for a vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The candidate's host.
    pub host: Name,
    /// Identifies the incarnation of the candidate.
    pub incarnation: u64,
    /// Whether the candidate has a quorum.
    pub is_coordinator: bool,
    /// Whether the candidate has stopped granting quota and releases its voters.
    pub resigns: bool,
}

/// The answer to a vote request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// Whether the voter is bound to the candidate, and no former incarnation of the voter can be bound to another
    /// one.
    pub is_granted: bool,
    /// Whether the voter's current incarnation is bound to the candidate.
    pub is_bound: bool,
    /// Whether the candidate gets the voter's share of the provisional quota.
    pub is_provisional: bool,
}

/// A daemon in its role as voter.
#[derive(Clone, Debug)]
pub struct Voter {
    times: ElectionTimes,
    /// Until when votes of the voter's former incarnation may bind it.
    unknown_votes_until: Instant,
    bound: Option<Bound>,
    supported_at: Option<Instant>,
    /// The daemon that was last announced as the coordinator, and when, regardless of this voter's vote.
    announced: Option<(Name, Instant)>,
}

#[derive(Clone, Debug)]
struct Bound {
    request: VoteRequest,
    until: Instant,
    supports: bool,
}

impl Voter {
    /// Creates the voter of a daemon that starts now.
    pub fn new(times: ElectionTimes, now: Instant) -> Voter {
        Voter {
            times,
            unknown_votes_until: now + times.vote_duration,
            bound: None,
            supported_at: None,
            announced: None,
        }
    }

    /// Votes on a candidate's request. Only a daemon with a valid membership lease votes; others may no longer count
    /// it as a member.
    pub fn vote(&mut self, request: &VoteRequest, is_member: bool, now: Instant) -> Vote {
        if request.resigns {
            return self.release(request);
        }
        if request.is_coordinator {
            self.announced = Some((request.host.clone(), now));
        }
        let is_other = |bound: &&Bound| {
            now < bound.until
                && (bound.request.host != request.host
                    || bound.request.incarnation != request.incarnation)
        };
        if !is_member || self.bound.as_ref().is_some_and(|bound| is_other(&bound)) {
            return Vote::default();
        }
        let is_same = |bound: &Bound| {
            bound.request.host == request.host && bound.request.incarnation == request.incarnation
        };
        let supported = self.bound.as_ref().is_some_and(|bound| is_same(bound) && bound.supports);
        let may_support =
            self.supported_at.is_none_or(|at| now.duration_since(at) >= self.times.window);
        let supports = supported || (!request.is_coordinator && may_support);
        if supports && !supported {
            self.supported_at = Some(now);
        }
        let until = now + self.times.vote_duration;
        self.bound = Some(Bound { request: request.clone(), until, supports });
        Vote {
            is_granted: now >= self.unknown_votes_until,
            is_bound: true,
            is_provisional: supports,
        }
    }

    /// Releases this voter from a coordinator that has stopped granting quota.
    fn release(&mut self, request: &VoteRequest) -> Vote {
        let is_same = |vote: &VoteRequest| {
            vote.host == request.host && vote.incarnation == request.incarnation
        };
        self.bound.take_if(|bound| is_same(&bound.request));
        self.announced.take_if(|(host, _)| *host == request.host);
        Vote::default()
    }

    /// Returns the presumed coordinator: the last one announced, otherwise the candidate that this voter is bound to.
    pub fn coordinator(&self, now: Instant) -> Option<&Name> {
        let announced =
            self.announced.as_ref().filter(|(_, at)| now < *at + self.times.vote_duration);
        let bound = self.bound.as_ref().filter(|bound| now < bound.until);
        announced.map(|(host, _)| host).or(bound.map(|bound| &bound.request.host))
    }

    /// Records that a daemon is the coordinator, as announced by itself or another daemon.
    pub fn record_coordinator(&mut self, host: Name, now: Instant) {
        self.announced = Some((host, now));
    }
}

/// The role of a daemon in an election.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ElectionState {
    /// The daemon is the coordinator.
    Coordinator {
        /// Increases with each election won by this candidacy.
        term: u64,
        /// When the daemon became the coordinator.
        since: Instant,
    },
    /// The daemon grants quota for a part of the members, for example on one side of a partition.
    Partial {
        /// The term of the candidacy; it increases when a quorum is reached.
        term: u64,
        /// Since when all counted votes have been held.
        since: Instant,
        /// The share of the members' votes, and so of each limit that the daemon may grant.
        share: f64,
    },
    /// The daemon campaigns and may grant a share of the provisional quota.
    Candidate {
        /// The term of the candidacy.
        term: u64,
        /// The share of the provisional quota, at most 1.
        share: f64,
    },
    /// The daemon is neither coordinator nor candidate, or has lost its votes.
    None,
}

/// A vote and when it was requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The voter.
    pub host: Name,
    /// When the candidate sent the request.
    pub requested_at: Instant,
    /// The vote.
    pub vote: Vote,
}

/// The latest ballot of a voter.
#[derive(Clone, Debug)]
struct CountedBallot {
    ballot: Ballot,
    /// Since when the voter's granted votes have been valid without a gap; set by the tally.
    since: Option<Instant>,
}

/// A daemon in its role as candidate or coordinator.
#[derive(Clone, Debug)]
pub struct Candidacy {
    times: ElectionTimes,
    ballots: HashMap<Name, CountedBallot>,
    term: u64,
    /// Since when the candidate has a quorum.
    since: Option<Instant>,
    /// Since when the candidate has enough votes to grant the whole rate.
    full_rate_since: Option<Instant>,
    valid_until: Option<Instant>,
}

impl Candidacy {
    /// Starts a candidacy. `term` must exceed the terms of earlier candidacies of this incarnation.
    pub fn new(times: ElectionTimes, term: u64) -> Candidacy {
        Candidacy {
            times,
            ballots: HashMap::new(),
            term,
            since: None,
            full_rate_since: None,
            valid_until: None,
        }
    }

    /// Adds the ballot of a voter, which replaces its previous one.
    pub fn count(&mut self, ballot: Ballot) {
        let counted_for = self.times.counted_for;
        let before = self.ballots.remove(&ballot.host).filter(|before| {
            before.ballot.vote.is_granted
                && ballot.requested_at < before.ballot.requested_at + counted_for
        });
        let since = before.and_then(|before| before.since);
        self.ballots.insert(ballot.host.clone(), CountedBallot { ballot, since });
    }

    /// Computes until when the votes of these members are valid.
    pub fn tally(&mut self, members: &[Name], now: Instant) {
        for counted in self.ballots.values_mut().filter(|counted| counted.ballot.vote.is_granted) {
            counted.since.get_or_insert(now);
        }
        let is_valid = |ballot: &&Ballot| now < ballot.requested_at + self.times.counted_for;
        let ballots = || {
            let answers = members.iter().filter_map(|host| self.ballots.get(host));
            answers.map(|counted| &counted.ballot).filter(is_valid)
        };
        let mut granted: Vec<Instant> = ballots()
            .filter(|ballot| ballot.vote.is_granted)
            .map(|ballot| ballot.requested_at)
            .collect();
        let bound: Vec<Instant> = ballots()
            .filter(|ballot| ballot.vote.is_bound)
            .map(|ballot| ballot.requested_at)
            .collect();
        let quorum = (members.len() as f64 * QUORUM_SHARE) as usize + 1;
        granted.sort_unstable();
        let by_quorum = granted.len().checked_sub(quorum).map(|index| granted[index]);
        let is_unanimous = !members.is_empty() && bound.len() == members.len();
        let by_all = bound.iter().min().copied().filter(|_| is_unanimous);
        let has_full_rate = by_all.is_some() || has_full_rate(granted.len(), members.len());
        self.full_rate_since = has_full_rate.then(|| self.full_rate_since.unwrap_or(now));
        let requested_at = by_quorum.max(by_all);
        self.valid_until = requested_at.map(|at| at + self.times.counted_for);
        match (self.valid_until, self.since) {
            (Some(_), None) => {
                self.since = Some(now);
                self.term += 1;
            }
            // A candidate that lost its quorum starts again without saved tokens.
            (None, Some(_)) => self.since = None,
            _ => {}
        }
    }

    /// Returns the daemon's current role.
    pub fn state(&self, members: usize, now: Instant) -> ElectionState {
        let is_valid =
            |counted: &&CountedBallot| now < counted.ballot.requested_at + self.times.counted_for;
        let votes = || self.ballots.values().filter(is_valid);
        let is_granted =
            |counted: &&CountedBallot| counted.ballot.vote.is_granted && counted.since.is_some();
        let granted = votes().filter(is_granted).count();
        let bound = votes().filter(|counted| counted.ballot.vote.is_bound).count();
        let has_full_rate = bound >= members || has_full_rate(granted, members);
        if let Some(since) =
            self.full_rate_since.filter(|_| has_full_rate && self.is_coordinator(now))
        {
            return ElectionState::Coordinator { term: self.term, since };
        }
        let share = granted as f64 / members.max(1) as f64;
        let since = votes().filter(is_granted).filter_map(|counted| counted.since).max();
        if let Some(since) = since.filter(|_| share > 1.0 - FULL_RATE_SHARE) {
            return ElectionState::Partial { term: self.term, since, share: share.min(1.0) };
        }
        if self.since.is_some() {
            return ElectionState::None;
        }
        let supports = votes().filter(|counted| counted.ballot.vote.is_provisional).count() as f64;
        let parts = supports / members.max(1) as f64;
        ElectionState::Candidate { term: self.term, share: parts.min(1.0) / MAX_USES_PER_WINDOW }
    }

    /// Whether many of the members are bound to this candidate by a valid vote. Such a candidate should not yield: the
    /// next round may reach a quorum, and its voters would stay bound after it yielded.
    pub fn has_many_votes(&self, members: usize, now: Instant) -> bool {
        let is_bound = |counted: &&CountedBallot| {
            counted.ballot.vote.is_bound
                && now < counted.ballot.requested_at + self.times.counted_for
        };
        self.ballots.values().filter(is_bound).count() * MANY_VOTES_DIVISOR > members
    }

    /// Returns the term for the next candidacy of this incarnation.
    pub fn next_term(&self) -> u64 {
        self.term + 1
    }

    /// Whether the candidate has a quorum.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.since.is_some() && self.valid_until.is_some_and(|until| now < until)
    }
}

/// Whether the remaining votes are too few for another candidate to grant a part of the rate.
fn has_full_rate(votes: usize, members: usize) -> bool {
    members > 0 && votes as f64 >= members as f64 * FULL_RATE_SHARE
}

/// Returns how long a daemon waits for the announcement of a coordinator before it campaigns. The delay grows with the
/// daemon's position among the members, so that daemons campaign one after the other and don't split the votes.
pub fn campaign_delay(timeout: Duration, position: usize) -> Duration {
    const ROUND_DURATION: Duration = Duration::from_millis(60);
    timeout + ROUND_DURATION * position as u32
}

/// Whether a candidate without a quorum yields to another one, given their positions among the voters. The first
/// position wins.
pub fn should_yield(own_position: Option<usize>, other_position: Option<usize>) -> bool {
    match (own_position, other_position) {
        (Some(own_position), Some(other_position)) => other_position < own_position,
        // A daemon that is not among the voters can't win.
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
