//! This daemon's part in enforcing the limits of client accounts: its votes, and its candidacy for limit
//! coordinator.
//!
//! The rules are in the `limits` crate; this module connects them to clocks, members and links.
//! [`super::admission`] consumes the quota. `docs/ACCOUNTS.md` has the guarantee and its proof.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limits::{
    Ballot, Candidacy, ElectionState, ElectionTimes, Grant, Ledger, QuotaRequest, RateLimit, Vote,
    VoteRequest, Voter, WindowRule, campaign_delay, should_yield,
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

/// How long a vote binds its voter: three rounds, so that one lost round has no effect. After the coordinator died, an
/// account waits at most this long for a new one.
const VOTE_DURATION: Duration = Duration::from_millis(600);
/// How long a vote counts for the candidate. The difference to `VOTE_DURATION` covers the drift between two clocks.
const VOTE_COUNTED_FOR: Duration = Duration::from_millis(570);
/// Interval between two requests for votes.
const VOTE_ROUND_INTERVAL: Duration = Duration::from_millis(190);
/// Timeout of a vote request: a round trip between zones, on busy hosts.
const VOTE_TIMEOUT: Duration = Duration::from_millis(180);
/// How long the coordinator may be silent before the voter with the first rank campaigns: a little more than two
/// rounds.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(420);
/// The same for a daemon that has not seen a coordinator since it started, so that accounts are served soon after all
/// daemons restart together.
const STARTUP_COORDINATOR_TIMEOUT: Duration = Duration::from_millis(20);
/// How long the set of voters must be unchanged before their votes elect a coordinator: while a fleet starts, each
/// daemon sees more and more members.
const STABLE_MEMBERS_FOR: Duration = Duration::from_millis(200);
/// How long a candidate campaigns without a quorum before it resigns and releases its voters.
const CANDIDACY_LIMIT: Duration = Duration::from_millis(1_200);
/// The same for a candidate that grants its part of the limits. Longer, since it serves its voters during the campaign.
const PARTIAL_CANDIDACY_LIMIT: Duration = Duration::from_millis(5_000);
/// Interval between checks whether this daemon should campaign.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The same while no account has a limit.
const UNLIMITED_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

const fn times(window: Duration) -> ElectionTimes {
    ElectionTimes { vote_duration: VOTE_DURATION, counted_for: VOTE_COUNTED_FOR, window }
}

/// The members that vote, and since when this set has been unchanged.
#[derive(Default)]
struct Electorate {
    /// In order of rank, which is the same on every daemon that knows the same members.
    hosts: Vec<Name>,
    since: Option<Instant>,
    /// All members, from which the voters were selected.
    members: Arc<BTreeMap<Name, SocketAddr>>,
}

/// Maximum number of voters. Bounds the traffic, since each candidate asks all of them: with 300, the daemons of a fleet
/// do nothing else. This many still have a quorum when a third is cut off.
const MAX_VOTERS: usize = 75;

/// This daemon's state in the election, and the quota that it holds or grants.
pub(crate) struct Limits {
    rule: WindowRule,
    incarnation: u64,
    voter: RefCell<Voter>,
    candidacy: RefCell<Option<Candidacy>>,
    campaign_began_at: Cell<Instant>,
    /// The term of this daemon's next candidacy; unrelated to the terms of primaries.
    next_term: Cell<u64>,
    /// Until when this daemon does not campaign after a candidacy without a quorum.
    no_campaign_until: Cell<Option<Instant>>,
    /// When this daemon last heard of a coordinator, or of a candidate that it voted for or yielded to.
    coordinator_seen_at: Cell<Option<Instant>>,
    member_since: Cell<Option<Instant>>,
    electorate: RefCell<Electorate>,
    ledger: RefCell<Ledger>,
    pub(super) quotas: RefCell<HashMap<Name, Rc<AccountQuota>>>,
}

impl Limits {
    pub(crate) fn new(rule: WindowRule) -> Limits {
        let now = Instant::now();
        Limits {
            rule,
            incarnation: rand::rng().random(),
            voter: RefCell::new(Voter::new(times(rule.window), now)),
            candidacy: RefCell::default(),
            campaign_began_at: Cell::new(now),
            next_term: Cell::new(1),
            no_campaign_until: Cell::new(None),
            coordinator_seen_at: Cell::new(None),
            member_since: Cell::new(None),
            electorate: RefCell::default(),
            ledger: RefCell::default(),
            quotas: RefCell::default(),
        }
    }

    /// Returns the current coordinator, if this daemon knows one.
    pub(super) fn coordinator(&self, now: Instant) -> Option<Name> {
        self.voter.borrow().coordinator(now).cloned()
    }

    pub(super) fn record_coordinator(&self, host: Name, now: Instant) {
        self.voter.borrow_mut().record_coordinator(host, now);
    }

    /// Whether this daemon has seen a coordinator since it started, or is a candidate itself.
    pub(super) fn has_seen_coordinator(&self) -> bool {
        self.coordinator_seen_at.get().is_some() || self.candidacy.borrow().is_some()
    }

    /// Grants quota from an account's limit, if this daemon is the coordinator or a candidate with enough votes.
    pub(super) fn grant(
        &self,
        account: &Name,
        limit: &RateLimit,
        quota_request: &QuotaRequest,
        now: Instant,
    ) -> Grant {
        let budget = self.rule.budget(limit);
        let state = self.election_state(now);
        self.ledger.borrow_mut().grant(account, &budget, quota_request, state, GRANT_LIFETIME, now)
    }

    fn election_state(&self, now: Instant) -> ElectionState {
        let members = self.electorate.borrow().hosts.len();
        let candidacy = self.candidacy.borrow();
        candidacy.as_ref().map_or(ElectionState::None, |it| it.state(members, now))
    }

    fn is_coordinator(&self, now: Instant) -> bool {
        self.candidacy.borrow().as_ref().is_some_and(|candidacy| candidacy.is_coordinator(now))
    }

    /// Votes on a candidate's request.
    fn vote(&self, request: &VoteRequest, view: &ControlView, now: Instant) -> Vote {
        let vote = self.voter.borrow_mut().vote(request, view.is_member(now), now);
        if request.incarnation == self.incarnation {
            return vote;
        }
        if request.resigns {
            // Expires the timeout, so that the voter with the first rank campaigns at once.
            self.coordinator_seen_at.set(now.checked_sub(COORDINATOR_TIMEOUT));
        } else if vote.is_bound {
            self.coordinator_seen_at.set(Some(now));
        } else if request.is_coordinator && !self.is_coordinator(now) {
            // Another candidate has a quorum; continuing the campaign would only take votes from it.
            self.coordinator_seen_at.set(Some(now));
            self.resign();
        }
        vote
    }

    /// Gives up the campaign in favor of a candidate with a better rank. After a partition many daemons campaign at
    /// once, and none reaches a quorum while each has some votes.
    fn yield_to(&self, other: &Name, own_host: &Name, now: Instant) {
        let members = self.electorate.borrow().hosts.len();
        let has_chance = |it: &Candidacy| it.is_coordinator(now) || it.has_many_votes(members, now);
        let is_candidate = self.candidacy.borrow().as_ref().is_some_and(|it| !has_chance(it));
        let rank_of = |host: &Name| self.electorate.borrow().hosts.iter().position(|it| it == host);
        if is_candidate && should_yield(rank_of(own_host), rank_of(other)) {
            self.coordinator_seen_at.set(Some(now));
            self.resign();
        }
    }

    fn count_ballot(&self, ballot: Ballot, now: Instant) {
        let electorate = self.electorate.borrow();
        let is_settled =
            electorate.since.is_some_and(|at| now.duration_since(at) >= STABLE_MEMBERS_FOR);
        let mut candidacy = self.candidacy.borrow_mut();
        let Some(candidacy) = candidacy.as_mut() else { return };
        let was_coordinator = candidacy.is_coordinator(now);
        candidacy.count(ballot);
        if was_coordinator || is_settled {
            candidacy.tally(&electorate.hosts, now);
        }
        if candidacy.is_coordinator(now) != was_coordinator {
            log::info!(
                event = "limits_keeper", keeps = !was_coordinator, members = electorate.hosts.len();
                "this daemon became or ceased to be the limit coordinator"
            );
        }
    }

    fn update_electorate(&self, view: &ControlView, now: Instant) {
        let mut electorate = self.electorate.borrow_mut();
        if Arc::ptr_eq(&view.members, &electorate.members) {
            return;
        }
        electorate.members = view.members.clone();
        let ranked =
            routing::rank_hosts(VOTER_RANKING_KEY, view.members.keys().map(|host| &**host));
        let hosts: Vec<Name> = ranked.into_iter().take(MAX_VOTERS).map(Name::from).collect();
        if hosts != electorate.hosts {
            electorate.hosts = hosts;
            electorate.since = Some(now);
        }
    }

    /// Returns a random voter other than this daemon, which may know the coordinator.
    pub(super) fn random_voter(&self, own_host: &Name) -> Option<Name> {
        let electorate = self.electorate.borrow();
        let others: Vec<&Name> = electorate.hosts.iter().filter(|host| *host != own_host).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rand::rng().random_range(0..others.len())].clone())
    }

    /// Returns the voters other than this daemon and their addresses.
    fn other_voters(&self, own_host: &Name) -> Vec<(Name, SocketAddr)> {
        let electorate = self.electorate.borrow();
        let others = electorate.hosts.iter().filter(|host| *host != own_host);
        others.filter_map(|host| Some((host.clone(), *electorate.members.get(host)?))).collect()
    }

    fn resign(&self) {
        if let Some(candidacy) = self.candidacy.borrow_mut().take() {
            self.next_term.set(candidacy.next_term());
        }
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Votes on a candidate's request.
    pub(crate) fn vote(&self, request: &VoteRequest) -> Vote {
        let now = Instant::now();
        let vote = self.limits.vote(request, &self.control_view(), now);
        if !vote.is_bound {
            self.limits.yield_to(&request.host, &self.settings.host, now);
        }
        vote
    }

    /// Takes part in the election of the coordinator for as long as the daemon runs.
    pub async fn run_limit_election(self: Rc<Self>) {
        loop {
            let view = self.control_view();
            if !view.has_limits() {
                self.limits.resign();
                // Before the first configuration it is not known whether there are limits.
                let pause = if view.is_ready() {
                    UNLIMITED_CHECK_INTERVAL
                } else {
                    ELECTION_CHECK_INTERVAL
                };
                tokio::time::sleep(pause).await;
                continue;
            }
            let now = Instant::now();
            self.limits.update_electorate(&view, now);
            let pause = match self.should_campaign(&view, now) {
                true => {
                    self.ask_for_votes(&view, now);
                    VOTE_ROUND_INTERVAL
                }
                false => ELECTION_CHECK_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn should_campaign(self: &Rc<Self>, view: &Arc<ControlView>, now: Instant) -> bool {
        let limits = &self.limits;
        let own_host = &self.settings.host;
        if self.is_stopping() && limits.is_coordinator(now) {
            limits.resign();
            self.release_voters(view, now);
        }
        if self.is_stopping() || !view.is_member(now) || !view.members.contains_key(own_host) {
            limits.resign();
            limits.member_since.set(None);
            return false;
        }
        let member_since = limits.member_since.get().unwrap_or(now);
        limits.member_since.set(Some(member_since));
        let is_candidate = limits.candidacy.borrow().is_some();
        if is_candidate {
            let candidacy_limit = match limits.election_state(now) {
                ElectionState::Partial { .. } => PARTIAL_CANDIDACY_LIMIT,
                _ => CANDIDACY_LIMIT,
            };
            let is_expired = now.duration_since(limits.campaign_began_at.get()) > candidacy_limit;
            if limits.is_coordinator(now) {
                limits.campaign_began_at.set(now);
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
        let rank = limits.electorate.borrow().hosts.iter().position(|host| host == own_host);
        let Some(rank) = rank else { return false };
        let (since, silence) = match limits.coordinator_seen_at.get() {
            Some(at) => (at, COORDINATOR_TIMEOUT),
            None => (member_since, STARTUP_COORDINATOR_TIMEOUT),
        };
        if now.duration_since(since) < campaign_delay(silence, rank) {
            return false;
        }
        let term = limits.next_term.get();
        *limits.candidacy.borrow_mut() = Some(Candidacy::new(times(limits.rule.window), term));
        limits.campaign_began_at.set(now);
        true
    }

    /// Informs every voter that this daemon no longer grants quota, so that a successor need not wait until the votes
    /// expire. In a rolling restart each daemon may be the coordinator when it stops.
    fn release_voters(self: &Rc<Self>, view: &Arc<ControlView>, now: Instant) {
        let own_host = &self.settings.host;
        let request = VoteRequest {
            host: own_host.clone(),
            incarnation: self.limits.incarnation,
            is_coordinator: false,
            resigns: true,
        };
        self.limits.vote(&request, view, now);
        for (host, address) in self.limits.other_voters(own_host) {
            self.ask_for_vote(host, address, &request, now);
        }
    }

    /// Asks every voter for its vote; the answers are counted as they arrive.
    fn ask_for_votes(self: &Rc<Self>, view: &Arc<ControlView>, now: Instant) {
        let own_host = self.settings.host.clone();
        let is_coordinator = self.limits.is_coordinator(now);
        let request = VoteRequest {
            host: own_host.clone(),
            incarnation: self.limits.incarnation,
            is_coordinator,
            resigns: false,
        };
        let vote = self.limits.vote(&request, view, now);
        if !vote.is_bound {
            // This daemon has voted for another candidate.
            self.limits.resign();
            return;
        }
        self.limits.count_ballot(Ballot { host: own_host.clone(), requested_at: now, vote }, now);
        for (host, address) in self.limits.other_voters(&own_host) {
            self.ask_for_vote(host, address, &request, now);
        }
    }

    fn ask_for_vote(
        self: &Rc<Self>,
        host: Name,
        address: SocketAddr,
        request: &VoteRequest,
        requested_at: Instant,
    ) {
        let link = self.relays.member_link(address, requested_at);
        let request =
            RelayRequest { task: Some(RelayTask::Vote(request.into())), ..RelayRequest::default() };
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            let answered = link.call(request, requested_at + VOTE_TIMEOUT).await;
            if let Ok(RelayOutcome::Voted(vote)) = answered {
                let ballot = Ballot { host, requested_at, vote: vote.vote() };
                engine.limits.count_ballot(ballot, Instant::now());
            }
        });
    }
}

/// Key by which the members are ranked as voters.
const VOTER_RANKING_KEY: &str = "account limits";
