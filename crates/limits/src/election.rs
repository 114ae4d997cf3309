//! Who keeps the limits: one daemon at a time, by the votes of the others.
//!
//! A vote binds its voter for a time by the voter's clock, and counts for the candidate for a little less, from when it
//! asked. Two keepers at a time would need a voter that is bound to both. A daemon that starts knows nothing of its
//! former life's votes and waits for as long as one binds, unless every member answers and none is bound.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// Votes that a keeper needs, as a part of the members: above a half, since two daemons may know of somewhat different
/// members while some come and go. Any two such sets that differ by less than two fifths of the members have a voter in
/// common.
const QUORUM_SHARE: f64 = 0.55;
/// The part of the members' votes from which a keeper lends the whole rate; with fewer it lends their part of it, and the others
/// may lend theirs. Whoever has no more votes than are left beside it lends none of the rate, so that nothing is lent twice.
const FULL_RATE_SHARE: f64 = 0.75;
/// A candidate to which more than one member in so many is bound does not leave the campaign to another one.
const MANY_VOTES_DIVISOR: usize = 3;
/// How often a daemon's part of what is lent without a keeper may be used in a window: by a candidate that it supported
/// at the end of one window and still lends, by the next one, and once more where the daemon started anew and does not
/// know. The part is divided by it.
const MAX_USES_PER_WINDOW: f64 = 3.0;

/// The times of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionTimes {
    /// How long a vote binds its voter.
    pub vote_duration: Duration,
    /// How long it counts for the candidate; less, by what clocks may drift in that time.
    pub counted_for: Duration,
    /// The window of the limits: in one of them a voter supports one candidate that is not proved.
    pub window: Duration,
}

/// A candidate's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The candidate's host.
    pub host: Name,
    /// A number of this life of it.
    pub incarnation: u64,
    /// Whether it has a quorum.
    pub is_coordinator: bool,
    /// Whether it has stopped lending and frees those that are bound to it.
    pub resigns: bool,
}

/// The answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// Whether the voter is bound to the candidate now, and was bound to nobody else in any life of it.
    pub is_granted: bool,
    /// Whether the voter is bound to the candidate, as far as this life of it knows.
    pub is_bound: bool,
    /// Whether its part of what may be lent without a keeper goes to the candidate.
    pub is_provisional: bool,
}

/// A daemon as a voter.
#[derive(Clone, Debug)]
pub struct Voter {
    times: ElectionTimes,
    /// Until when a former life of this daemon may be bound.
    unknown_votes_until: Instant,
    bound: Option<Bound>,
    supported_at: Option<Instant>,
    /// Who last said to be the keeper, and when; whoever it is bound to.
    announced: Option<(Name, Instant)>,
}

#[derive(Clone, Debug)]
struct Bound {
    request: VoteRequest,
    until: Instant,
    supports: bool,
}

impl Voter {
    /// Makes the voter of a daemon that starts now.
    pub fn new(times: ElectionTimes, now: Instant) -> Voter {
        Voter {
            times,
            unknown_votes_until: now + times.vote_duration,
            bound: None,
            supported_at: None,
            announced: None,
        }
    }

    /// Answers a candidate. Only a daemon whose lease stands by its own clock votes: others may count it no more.
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

    /// Frees this voter of a keeper that has stopped lending.
    fn release(&mut self, request: &VoteRequest) -> Vote {
        let is_same =
            |it: &VoteRequest| it.host == request.host && it.incarnation == request.incarnation;
        self.bound.take_if(|bound| is_same(&bound.request));
        self.announced.take_if(|(host, _)| *host == request.host);
        Vote::default()
    }

    /// Returns whom this daemon takes for the keeper: who last said so, else the one that it is bound to.
    pub fn coordinator(&self, now: Instant) -> Option<&Name> {
        let announced =
            self.announced.as_ref().filter(|(_, at)| now < *at + self.times.vote_duration);
        let bound = self.bound.as_ref().filter(|bound| now < bound.until);
        announced.map(|(host, _)| host).or(bound.map(|bound| &bound.request.host))
    }

    /// Notes that a daemon is the keeper, as it or another one has told.
    pub fn note_coordinator(&mut self, host: Name, now: Instant) {
        self.announced = Some((host, now));
    }
}

/// What a daemon is in an election.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ElectionState {
    /// It keeps the limits.
    Coordinator {
        /// Rises with each time that it came to keep them.
        term: u64,
        /// Since when.
        since: Instant,
    },
    /// It keeps them for the part of the members that it reaches, as on one side of a partition.
    Partial {
        /// The term of this candidacy; it rises where a quorum is reached.
        term: u64,
        /// Since when it has every one of the votes that count.
        since: Instant,
        /// The part of the members' votes that it has, and so of each limit that it may lend.
        share: f64,
    },
    /// It wants to, and may lend this share of what is for that time.
    Candidate {
        /// The term that it would have.
        term: u64,
        /// The share, 1 at the most.
        share: f64,
    },
    /// It does not, or nobody answers it.
    None,
}

/// An answer with when it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// The voter.
    pub host: Name,
    /// When the candidate asked.
    pub asked_at: Instant,
    /// What was answered.
    pub vote: Vote,
}

/// The last answer of a voter.
#[derive(Clone, Debug)]
struct Counted {
    ballot: Ballot,
    /// Since when its votes have counted without a gap, as far as that was worked out.
    since: Option<Instant>,
}

/// A daemon as a candidate, or as the keeper.
#[derive(Clone, Debug)]
pub struct Candidacy {
    times: ElectionTimes,
    ballots: HashMap<Name, Counted>,
    term: u64,
    /// Since when it has a quorum.
    since: Option<Instant>,
    /// Since when it has so many votes that it lends the whole rate.
    full_rate_since: Option<Instant>,
    valid_until: Option<Instant>,
}

impl Candidacy {
    /// Begins one; `term` is above those of former candidacies of this life.
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

    /// Takes over an answer.
    pub fn count(&mut self, ballot: Ballot) {
        let counted_for = self.times.counted_for;
        let before = self.ballots.remove(&ballot.host).filter(|before| {
            before.ballot.vote.is_granted && ballot.asked_at < before.ballot.asked_at + counted_for
        });
        let since = before.and_then(|before| before.since);
        self.ballots.insert(ballot.host.clone(), Counted { ballot, since });
    }

    /// Works out until when the votes of these members hold.
    pub fn tally(&mut self, members: &[Name], now: Instant) {
        for counted in self.ballots.values_mut().filter(|it| it.ballot.vote.is_granted) {
            counted.since.get_or_insert(now);
        }
        let counted = |ballot: &&Ballot| now < ballot.asked_at + self.times.counted_for;
        let ballots = || {
            let answers = members.iter().filter_map(|host| self.ballots.get(host));
            answers.map(|it| &it.ballot).filter(counted)
        };
        let mut granted: Vec<Instant> =
            ballots().filter(|it| it.vote.is_granted).map(|it| it.asked_at).collect();
        let bound: Vec<Instant> =
            ballots().filter(|it| it.vote.is_bound).map(|it| it.asked_at).collect();
        let quorum = (members.len() as f64 * QUORUM_SHARE) as usize + 1;
        granted.sort_unstable();
        let by_quorum = granted.len().checked_sub(quorum).map(|place| granted[place]);
        let is_unanimous = !members.is_empty() && bound.len() == members.len();
        let by_all = bound.iter().min().copied().filter(|_| is_unanimous);
        let has_full_rate = by_all.is_some() || has_full_rate(granted.len(), members.len());
        self.full_rate_since = has_full_rate.then(|| self.full_rate_since.unwrap_or(now));
        let asked_at = by_quorum.max(by_all);
        self.valid_until = asked_at.map(|at| at + self.times.counted_for);
        match (self.valid_until, self.since) {
            (Some(_), None) => {
                self.since = Some(now);
                self.term += 1;
            }
            // Whoever lost the quorum begins anew, with nothing saved up.
            (None, Some(_)) => self.since = None,
            _ => {}
        }
    }

    /// Returns what this daemon is now.
    pub fn state(&self, members: usize, now: Instant) -> ElectionState {
        let is_valid = |it: &&Counted| now < it.ballot.asked_at + self.times.counted_for;
        let votes = || self.ballots.values().filter(is_valid);
        let is_granted = |it: &&Counted| it.ballot.vote.is_granted && it.since.is_some();
        let granted = votes().filter(is_granted).count();
        let bound = votes().filter(|it| it.ballot.vote.is_bound).count();
        let has_full_rate = bound >= members || has_full_rate(granted, members);
        if let Some(since) =
            self.full_rate_since.filter(|_| has_full_rate && self.is_coordinator(now))
        {
            return ElectionState::Coordinator { term: self.term, since };
        }
        let share = granted as f64 / members.max(1) as f64;
        let since = votes().filter(is_granted).filter_map(|it| it.since).max();
        if let Some(since) = since.filter(|_| share > 1.0 - FULL_RATE_SHARE) {
            return ElectionState::Partial { term: self.term, since, share: share.min(1.0) };
        }
        if self.since.is_some() {
            return ElectionState::None;
        }
        let supports = votes().filter(|it| it.ballot.vote.is_provisional).count() as f64;
        let parts = supports / members.max(1) as f64;
        ElectionState::Candidate { term: self.term, share: parts.min(1.0) / MAX_USES_PER_WINDOW }
    }

    /// Whether a good part of so many members has voted for it a moment ago: one round more may be enough, and votes that it
    /// gave up now would bind their voters to nobody.
    pub fn has_many_votes(&self, members: usize, now: Instant) -> bool {
        let is_bound = |it: &&Counted| {
            it.ballot.vote.is_bound && now < it.ballot.asked_at + self.times.counted_for
        };
        self.ballots.values().filter(is_bound).count() * MANY_VOTES_DIVISOR > members
    }

    /// Returns the term that the next candidacy of this life begins with.
    pub fn next_term(&self) -> u64 {
        self.term + 1
    }

    /// Whether it has a quorum.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.since.is_some() && self.valid_until.is_some_and(|until| now < until)
    }
}

/// Whether so many votes leave none of the others enough to lend a part of the rate.
fn has_full_rate(votes: usize, members: usize) -> bool {
    members > 0 && votes as f64 >= members as f64 * FULL_RATE_SHARE
}

/// How long nothing may be heard of a keeper before a daemon asks for votes itself, by its place among the members: one
/// after the other, so that they don't take each other's votes.
pub fn campaign_delay(silence: Duration, place: usize) -> Duration {
    /// A round of votes and the scheduling of a busy host.
    const EACH: Duration = Duration::from_millis(60);
    silence + EACH * place as u32
}

/// Whether a candidate without a quorum leaves the campaign to another one, by their places in the order of the voters: the
/// first of those that hear each other stays.
pub fn should_yield(own: Option<usize>, other: Option<usize>) -> bool {
    match (own, other) {
        (Some(own), Some(other)) => other < own,
        // A daemon that the voters do not know has no chance.
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
