//! This daemon's part in keeping the limits of client accounts: whom it votes for, and whether it is the keeper itself.
//!
//! The rules are those of the `limits` crate; here they meet clocks, members and links. What an operation takes of a limit
//! stands in [`super::admission`]; `docs/ACCOUNTS.md` has the guarantee and its proof.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limits::{
    Ballot, Candidacy, ElectionTimes, Grant, Ledger, RateLimit, Standing, Vote, VoteRequest, Voter,
    Wanted, WindowRule, campaign_after, gives_way,
};
use model::Name;
use rand::RngExt;

use crate::{
    control::control_view::ControlView,
    dialect::{CallerDialect, EndpointDialect},
    relay::messages::{RelayOutcome, RelayRequest, RelayTask},
    serve::{
        admission::{AccountQuota, GRANT_LIFETIME},
        engine::Engine,
    },
};

/// How long a vote binds its voter: three rounds, so that a lost one costs nothing, and as long as an account waits at
/// the most where the keeper died.
const VOTE_DURATION: Duration = Duration::from_millis(600);
/// How long it counts for the candidate: less, by far more than two steady clocks drift apart in a second.
const VOTE_COUNTED_FOR: Duration = Duration::from_millis(570);
/// How often votes are asked for.
const VOTE_ROUND_INTERVAL: Duration = Duration::from_millis(190);
/// How long an answer to a candidate may take: a round trip between zones, on busy hosts.
const VOTE_TIMEOUT: Duration = Duration::from_millis(180);
/// How long nothing may be heard of a keeper before the first in order asks for votes: two rounds and a little.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(420);
/// The same for a daemon that has heard of none since it started, so that all accounts are served soon after all
/// daemons were started anew: as long as the members must have been the same.
const STARTUP_COORDINATOR_TIMEOUT: Duration = Duration::from_millis(20);
/// How long the members must have been the same before random_voter becomes keeper by their votes: while a fleet starts for
/// the first time each daemon sees more of them from moment to moment.
const STABLE_MEMBERS_FOR: Duration = Duration::from_millis(200);
/// How long a candidate without a quorum goes on before it lets others have its voters.
const CANDIDACY_LIMIT: Duration = Duration::from_millis(1_200);
/// The same for one that lends its part of the limits: longer, since its voters are served meanwhile, and not for good, since the
/// others may be back without a quorum for either.
const PARTIAL_CANDIDACY_LIMIT: Duration = Duration::from_millis(5_000);
/// How often it is looked whether random_voter has to become the keeper.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The same where no account has a limit.
const UNLIMITED_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The times of the election.
const fn times(window: Duration) -> ElectionTimes {
    ElectionTimes { binds: VOTE_DURATION, counts: VOTE_COUNTED_FOR, window }
}

/// The members that vote, and since when they are the same.
#[derive(Default)]
struct Electorate {
    /// Best first; the same on every daemon that knows the same members.
    hosts: Vec<Name>,
    since: Option<Instant>,
    /// The members that they were found among.
    members: Arc<BTreeMap<Name, SocketAddr>>,
}

/// Members that vote at the most. Each asks all of them while it wants to be the keeper: with 300 that asked 300 the daemons of a
/// fleet did nothing else. So many still have a quorum among them when a third is cut off.
const MAX_VOTERS: usize = 75;

/// This daemon's part in the limits.
pub(crate) struct Limits {
    rule: WindowRule,
    life: u64,
    voter: RefCell<Voter>,
    candidacy: RefCell<Option<Candidacy>>,
    began_at: Cell<Instant>,
    next_term: Cell<u64>,
    no_campaign_until: Cell<Option<Instant>>,
    coordinator_seen_at: Cell<Option<Instant>>,
    member_since: Cell<Option<Instant>>,
    electorate: RefCell<Electorate>,
    ledger: RefCell<Ledger>,
    pub(super) quota: RefCell<HashMap<Name, Rc<AccountQuota>>>,
}

impl Limits {
    /// Makes that of a daemon that starts now.
    pub(crate) fn new(rule: WindowRule) -> Limits {
        let now = Instant::now();
        Limits {
            rule,
            life: rand::rng().random(),
            voter: RefCell::new(Voter::new(times(rule.window), now)),
            candidacy: RefCell::default(),
            began_at: Cell::new(now),
            next_term: Cell::new(1),
            no_campaign_until: Cell::new(None),
            coordinator_seen_at: Cell::new(None),
            member_since: Cell::new(None),
            electorate: RefCell::default(),
            ledger: RefCell::default(),
            quota: RefCell::default(),
        }
    }

    /// Returns whom this daemon takes for the keeper.
    pub(super) fn keeper(&self, now: Instant) -> Option<Name> {
        self.voter.borrow().keeper(now).cloned()
    }

    /// Notes that a daemon is the keeper, as it or another one has told.
    pub(super) fn note_keeper(&self, host: Name, now: Instant) {
        self.voter.borrow_mut().note_keeper(host, now);
    }

    /// Whether anything was heard of a keeper since this daemon started, or it asks for votes itself.
    pub(super) fn has_seen_coordinator(&self) -> bool {
        self.coordinator_seen_at.get().is_some() || self.candidacy.borrow().is_some()
    }

    /// Lends what there is of an account's limit, if this daemon is the keeper or asks to be.
    pub(super) fn grant(
        &self,
        account: &Name,
        limit: &RateLimit,
        wanted: &Wanted,
        now: Instant,
    ) -> Grant {
        let budget = self.rule.budget(limit);
        let standing = self.standing(now);
        self.ledger.borrow_mut().lend(account, &budget, wanted, standing, GRANT_LIFETIME, now)
    }

    fn standing(&self, now: Instant) -> Standing {
        let members = self.electorate.borrow().hosts.len();
        let candidacy = self.candidacy.borrow();
        candidacy.as_ref().map_or(Standing::None, |it| it.standing(members, now))
    }

    fn is_keeper(&self, now: Instant) -> bool {
        self.candidacy.borrow().as_ref().is_some_and(|candidacy| candidacy.is_keeper(now))
    }

    /// Answers a candidate.
    fn vote(&self, request: &VoteRequest, beliefs: &ControlView, now: Instant) -> Vote {
        let vote = self.voter.borrow_mut().vote(request, beliefs.is_member(now), now);
        if request.life == self.life {
            return vote;
        }
        if request.ends {
            // The first in order asks for votes at once.
            self.coordinator_seen_at.set(now.checked_sub(COORDINATOR_TIMEOUT));
        } else if vote.is_bound {
            self.coordinator_seen_at.set(Some(now));
        } else if request.is_keeper && !self.is_keeper(now) {
            // Another one has a quorum: whoever goes on to ask for votes only keeps them from it.
            self.coordinator_seen_at.set(Some(now));
            self.resign();
        }
        vote
    }

    /// Leaves the campaign to another candidate that comes first in the order that all daemons share. After a partition
    /// many ask for votes at once, and as long as each has some of them nobody has enough.
    fn yield_to(&self, other: &Name, own: &Name, now: Instant) {
        let members = self.electorate.borrow().hosts.len();
        let has_chance = |it: &Candidacy| it.is_keeper(now) || it.has_many_votes(members, now);
        let is_candidate = self.candidacy.borrow().as_ref().is_some_and(|it| !has_chance(it));
        let place_of =
            |host: &Name| self.electorate.borrow().hosts.iter().position(|it| it == host);
        if is_candidate && gives_way(place_of(own), place_of(other)) {
            self.coordinator_seen_at.set(Some(now));
            self.resign();
        }
    }

    fn count(&self, ballot: Ballot, now: Instant) {
        let electorate = self.electorate.borrow();
        let is_settled =
            electorate.since.is_some_and(|at| now.duration_since(at) >= STABLE_MEMBERS_FOR);
        let mut candidacy = self.candidacy.borrow_mut();
        let Some(candidacy) = candidacy.as_mut() else { return };
        let was_keeper = candidacy.is_keeper(now);
        candidacy.count(ballot);
        if was_keeper || is_settled {
            candidacy.settle(&electorate.hosts, now);
        }
        if candidacy.is_keeper(now) != was_keeper {
            log::info!(
                event = "limits_keeper", keeps = !was_keeper, members = electorate.hosts.len();
                "whether this daemon keeps the accounts' limits changed"
            );
        }
    }

    /// Takes over who the members are.
    fn note_members(&self, beliefs: &ControlView, now: Instant) {
        let mut electorate = self.electorate.borrow_mut();
        if Arc::ptr_eq(&beliefs.members, &electorate.members) {
            return;
        }
        electorate.members = beliefs.members.clone();
        let ranked =
            routing::rank_hosts(VOTER_RANKING_KEY, beliefs.members.keys().map(|host| &**host));
        let hosts: Vec<Name> = ranked.into_iter().take(MAX_VOTERS).map(Name::from).collect();
        if hosts != electorate.hosts {
            electorate.hosts = hosts;
            electorate.since = Some(now);
        }
    }

    /// Returns a voter that may know who the keeper is; another one each time.
    pub(super) fn random_voter(&self, own: &Name) -> Option<Name> {
        let electorate = self.electorate.borrow();
        let others: Vec<&Name> = electorate.hosts.iter().filter(|host| *host != own).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rand::rng().random_range(0..others.len())].clone())
    }

    /// Returns where the voters other than this daemon are asked.
    fn others(&self, own: &Name) -> Vec<(Name, SocketAddr)> {
        let electorate = self.electorate.borrow();
        let others = electorate.hosts.iter().filter(|host| *host != own);
        others.filter_map(|host| Some((host.clone(), *electorate.members.get(host)?))).collect()
    }

    fn resign(&self) {
        if let Some(candidacy) = self.candidacy.borrow_mut().take() {
            self.next_term.set(candidacy.next_term());
        }
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Answers a candidate.
    pub(crate) fn vote(&self, request: &VoteRequest) -> Vote {
        let now = Instant::now();
        let vote = self.limits.vote(request, &self.control_view(), now);
        if !vote.is_bound {
            self.limits.yield_to(&request.host, &self.settings.host, now);
        }
        vote
    }

    /// Takes part in the election of the keeper for as long as the daemon runs.
    pub async fn run_limit_election(self: Rc<Self>) {
        loop {
            let beliefs = self.control_view();
            if !beliefs.has_limits() {
                self.limits.resign();
                // Before the first configuration nobody knows whether there are limits.
                let pause = if beliefs.is_ready() {
                    UNLIMITED_CHECK_INTERVAL
                } else {
                    ELECTION_CHECK_INTERVAL
                };
                tokio::time::sleep(pause).await;
                continue;
            }
            let now = Instant::now();
            self.limits.note_members(&beliefs, now);
            let pause = match self.should_campaign(&beliefs, now) {
                true => {
                    self.ask_for_votes(&beliefs, now);
                    VOTE_ROUND_INTERVAL
                }
                false => ELECTION_CHECK_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Whether this daemon is to ask for votes now.
    fn should_campaign(self: &Rc<Self>, beliefs: &Arc<ControlView>, now: Instant) -> bool {
        let limits = &self.limits;
        let own = &self.settings.host;
        if self.is_stopping() && limits.is_keeper(now) {
            limits.resign();
            self.release_voters(beliefs, now);
        }
        if self.is_stopping() || !beliefs.is_member(now) || !beliefs.members.contains_key(own) {
            limits.resign();
            limits.member_since.set(None);
            return false;
        }
        let member_since = limits.member_since.get().unwrap_or(now);
        limits.member_since.set(Some(member_since));
        let is_candidate = limits.candidacy.borrow().is_some();
        if is_candidate {
            let candidacy_limit = match limits.standing(now) {
                Standing::Partial { .. } => PARTIAL_CANDIDACY_LIMIT,
                _ => CANDIDACY_LIMIT,
            };
            let is_expired = now.duration_since(limits.began_at.get()) > candidacy_limit;
            if limits.is_keeper(now) {
                limits.began_at.set(now);
            } else if is_expired {
                limits.resign();
                let pause = VOTE_DURATION.mul_f64(rand::rng().random_range(1.0..2.0));
                limits.no_campaign_until.set(Some(now + pause));
                return false;
            }
            return true;
        }
        if limits.no_campaign_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let place = limits.electorate.borrow().hosts.iter().position(|host| host == own);
        let Some(place) = place else { return false };
        let (since, silence) = match limits.coordinator_seen_at.get() {
            Some(at) => (at, COORDINATOR_TIMEOUT),
            None => (member_since, STARTUP_COORDINATOR_TIMEOUT),
        };
        if now.duration_since(since) < campaign_after(silence, place) {
            return false;
        }
        let term = limits.next_term.get();
        *limits.candidacy.borrow_mut() = Some(Candidacy::new(times(limits.rule.window), term));
        limits.began_at.set(now);
        true
    }

    /// Tells every voter that this daemon lends nothing more, so that another one need not wait for its votes to end: the
    /// daemons of a fleet that is restarted in turn stop one after the other, and each may be the keeper.
    fn release_voters(self: &Rc<Self>, beliefs: &Arc<ControlView>, now: Instant) {
        let own = &self.settings.host;
        let host = own.clone();
        let request = VoteRequest { host, life: self.limits.life, is_keeper: false, ends: true };
        self.limits.vote(&request, beliefs, now);
        for (host, address) in self.limits.others(own) {
            self.ask_for_vote(host, address, &request, now);
        }
    }

    /// Asks every voter for its vote; answers are counted as they come.
    fn ask_for_votes(self: &Rc<Self>, beliefs: &Arc<ControlView>, now: Instant) {
        let own = self.settings.host.clone();
        let is_keeper = self.limits.is_keeper(now);
        let request =
            VoteRequest { host: own.clone(), life: self.limits.life, is_keeper, ends: false };
        let vote = self.limits.vote(&request, beliefs, now);
        if !vote.is_bound {
            // It has voted for random_voter else a moment ago.
            self.limits.resign();
            return;
        }
        self.limits.count(Ballot { host: own.clone(), asked_at: now, vote }, now);
        for (host, address) in self.limits.others(&own) {
            self.ask_for_vote(host, address, &request, now);
        }
    }

    fn ask_for_vote(
        self: &Rc<Self>,
        host: Name,
        address: SocketAddr,
        request: &VoteRequest,
        asked_at: Instant,
    ) {
        let link = self.relays.to_member(address, asked_at);
        let request =
            RelayRequest { task: Some(RelayTask::Vote(request.into())), ..RelayRequest::default() };
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            let answered = link.call(request, asked_at + VOTE_TIMEOUT).await;
            if let Ok(RelayOutcome::Voted(vote)) = answered {
                let ballot = Ballot { host, asked_at, vote: vote.vote() };
                engine.limits.count(ballot, Instant::now());
            }
        });
    }
}

/// What the members are ranked for where one of them is to keep the limits.
const VOTER_RANKING_KEY: &str = "account limits";
