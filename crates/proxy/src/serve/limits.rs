//! Whether an account may ask for one more operation, and this daemon's part in keeping the limits.
//!
//! The rules are those of the `limits` crate; here they meet clocks, members and links. `docs/ACCOUNTS.md` has the
//! guarantee and its proof.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limits::{
    Allotment, Ballot, Candidacy, ElectionTimes, Grant, Ledger, Lent, RateLimit, Standing, Taken,
    Vote, VoteRequest, Voter, Wanted, WindowRule, campaign_after,
};
use model::Name;
use rand::RngExt;
use tokio::sync::Notify;

use crate::{
    accounts::Account,
    control::beliefs::Beliefs,
    dialect::{CallerDialect, EndpointDialect},
    relay::messages::{LendMessage, LentMessage, RelayOutcome, RelayRequest, RelayTask},
    serve::{engine::Engine, job::id_text},
    statement::{ErrorCode, StatementError},
};

/// How long a vote binds its voter: three rounds, so that a lost one costs nothing, and as long as an account waits at
/// the most where the keeper died.
const VOTE_BINDS: Duration = Duration::from_millis(600);
/// How long it counts for the candidate: less, by far more than two steady clocks drift apart in a second.
const VOTE_COUNTS: Duration = Duration::from_millis(570);
/// How often votes are asked for.
const ROUND_EVERY: Duration = Duration::from_millis(190);
/// How long an answer to a candidate may take: a round trip between zones, on busy hosts.
const VOTE_WITHIN: Duration = Duration::from_millis(180);
/// How long nothing may be heard of a keeper before the first in order asks for votes: two rounds and a little.
const SILENT_FOR: Duration = Duration::from_millis(420);
/// The same for a daemon that has heard of none since it started, so that all accounts are served soon after all
/// daemons were started anew: as long as the members must have been the same.
const SILENT_AT_START: Duration = Duration::from_millis(20);
/// How long the members must have been the same before somebody becomes keeper by their votes: while a fleet starts for
/// the first time each daemon sees more of them from moment to moment.
const MEMBERS_SETTLED: Duration = Duration::from_millis(200);
/// How long a candidate without a quorum goes on before it lets others have its voters.
const CANDIDATE_FOR: Duration = Duration::from_millis(1_200);
/// How often it is looked whether somebody has to become the keeper.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// The same where no account has a limit.
const IDLE_LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// How long lent operations last: longer than a daemon's callers need for what it asks ahead, and so short that little
/// is lost where they have gone elsewhere.
const LENT_LASTS: Duration = Duration::from_millis(500);
/// How long the keeper may take to lend: a round trip between zones, on busy hosts.
const LENT_WITHIN: Duration = Duration::from_millis(150);
/// How long an operation waits for the keeper, also for one to be found, before it is refused.
const ADMITTED_WITHIN: Duration = Duration::from_millis(220);
/// The same while this daemon has heard of no keeper since it started: one is found within a second, and callers that are
/// refused meanwhile would come back to daemons that have just started too. 2,500 of 3,400 operations in the two
/// seconds after all daemons of a site were killed were refused for want of a keeper with the shorter time.
const ADMITTED_AT_START_WITHIN: Duration = Duration::from_millis(1_000);
/// The pause before the keeper is looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// How long an account is refused without a question where no keeper was found.
const NO_KEEPER_FOR: Duration = Duration::from_millis(100);
/// What a caller is told to wait at the least where its account is at its limit; others of its callers come back too.
const COME_BACK_MS: u64 = 200;

/// The times of the election.
const fn times(window: Duration) -> ElectionTimes {
    ElectionTimes { binds: VOTE_BINDS, counts: VOTE_COUNTS, window }
}

/// What this daemon holds of one account's limit.
#[derive(Default)]
struct Held {
    allotment: RefCell<Allotment>,
    is_asking: Cell<bool>,
    waiting: Cell<u32>,
    answered: Notify,
}

/// The members as they were last seen, and since when they are the same.
#[derive(Default)]
struct Electorate {
    hosts: Vec<Name>,
    since: Option<Instant>,
}

/// This daemon's part in the limits.
pub(crate) struct Limits {
    rule: WindowRule,
    life: u64,
    voter: RefCell<Voter>,
    candidacy: RefCell<Option<Candidacy>>,
    began_at: Cell<Instant>,
    next_term: Cell<u64>,
    rests_until: Cell<Option<Instant>>,
    heard_at: Cell<Option<Instant>>,
    member_since: Cell<Option<Instant>>,
    electorate: RefCell<Electorate>,
    ledger: RefCell<Ledger>,
    held: RefCell<HashMap<Name, Rc<Held>>>,
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
            rests_until: Cell::new(None),
            heard_at: Cell::new(None),
            member_since: Cell::new(None),
            electorate: RefCell::default(),
            ledger: RefCell::default(),
            held: RefCell::default(),
        }
    }

    /// Returns how long an operation may wait for a keeper.
    fn admits_within(&self) -> Duration {
        let is_found = self.heard_at.get().is_some() || self.candidacy.borrow().is_some();
        if is_found { ADMITTED_WITHIN } else { ADMITTED_AT_START_WITHIN }
    }

    fn held_of(&self, account: &Name) -> Rc<Held> {
        self.held.borrow_mut().entry(account.clone()).or_default().clone()
    }

    fn standing(&self, now: Instant) -> Standing {
        let members = self.electorate.borrow().hosts.len();
        let candidacy = self.candidacy.borrow();
        candidacy.as_ref().map_or(Standing::None, |it| it.standing(members, now))
    }

    fn is_keeper(&self, now: Instant) -> bool {
        matches!(self.standing(now), Standing::Keeper { .. })
    }

    /// Answers a candidate.
    fn vote(&self, request: &VoteRequest, beliefs: &Beliefs, now: Instant) -> Vote {
        let vote = self.voter.borrow_mut().vote(request, beliefs.is_member(now), now);
        if request.life == self.life {
            return vote;
        }
        if request.ends {
            // The first in order asks for votes at once.
            self.heard_at.set(now.checked_sub(SILENT_FOR));
        } else if vote.is_bound {
            self.heard_at.set(Some(now));
        } else if request.is_keeper && !self.is_keeper(now) {
            // Another one has a quorum: whoever goes on to ask for votes only keeps them from it.
            self.heard_at.set(Some(now));
            self.resign();
        }
        vote
    }

    fn count(&self, ballot: Ballot, now: Instant) {
        let electorate = self.electorate.borrow();
        let is_settled =
            electorate.since.is_some_and(|at| now.duration_since(at) >= MEMBERS_SETTLED);
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
    fn note_members(&self, beliefs: &Beliefs, now: Instant) {
        let mut electorate = self.electorate.borrow_mut();
        if !beliefs.members.keys().eq(electorate.hosts.iter()) {
            electorate.hosts = beliefs.members.keys().cloned().collect();
            electorate.since = Some(now);
        }
    }

    fn resign(&self) {
        if let Some(candidacy) = self.candidacy.borrow_mut().take() {
            self.next_term.set(candidacy.next_term());
        }
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Takes one operation out of an account's limit; the error is what the caller is told where nothing is left.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        account: &Arc<Account>,
        id: &[u8],
    ) -> Result<(), StatementError> {
        let Some(limit) = account.limit else { return Ok(()) };
        let held = self.limits.held_of(&account.name);
        let arrived = Instant::now();
        held.allotment.borrow_mut().note_demand(arrived);
        let until = arrived + self.limits.admits_within();
        loop {
            let answered = held.answered.notified();
            tokio::pin!(answered);
            // From here on nothing is missed between the look and the wait.
            answered.as_mut().enable();
            let now = Instant::now();
            let taken = held.allotment.borrow_mut().take(now);
            match taken {
                Taken::Yes { ask_ahead } => {
                    if ask_ahead {
                        self.ask_keeper(account, &held);
                    }
                    return Ok(());
                }
                Taken::Full { until: full_until, lasts } => {
                    if lasts || full_until >= until {
                        let wait = full_until.saturating_duration_since(now);
                        return Err(self.at_limit(account, limit, wait, id));
                    }
                    tokio::time::sleep_until(full_until.into()).await;
                    continue;
                }
                Taken::Ask if now >= until => {
                    return Err(self.at_limit(account, limit, Duration::ZERO, id));
                }
                Taken::Ask => self.ask_keeper(account, &held),
            }
            held.waiting.set(held.waiting.get() + 1);
            // An error means that the time has passed, which the next look finds.
            let _ = tokio::time::timeout_at(until.into(), answered).await;
            held.waiting.set(held.waiting.get() - 1);
        }
    }

    fn at_limit(
        &self,
        account: &Account,
        limit: RateLimit,
        wait: Duration,
        id: &[u8],
    ) -> StatementError {
        let come_back_ms = COME_BACK_MS.max(wait.as_millis() as u64 + 1);
        self.metrics.refused.with_label_values(&["limit"]).inc();
        log::debug!(
            event = "at_limit", id = id_text(id).as_str(), account = &*account.name,
            rate_per_s = limit.rate_per_s, retry_after_ms = come_back_ms;
            "an operation was refused since its account is at its limit"
        );
        let why = "the client account is at its limit";
        StatementError::come_back(ErrorCode::Overloaded, why, come_back_ms)
    }

    /// Asks the keeper for operations, once at a time for each account.
    fn ask_keeper(self: &Rc<Self>, account: &Arc<Account>, held: &Rc<Held>) {
        if held.is_asking.replace(true) {
            return;
        }
        let (engine, account, held) = (self.clone(), account.clone(), held.clone());
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            loop {
                let asked_at = Instant::now();
                let waiting = held.waiting.get();
                let (unused, wanted) = held.allotment.borrow().wanted(waiting, asked_at);
                match engine.lend_from_keeper(&account.name, unused, wanted).await {
                    Grant::Lent(count) => {
                        let lent = Lent { count, asked_at, lasts: LENT_LASTS };
                        held.allotment.borrow_mut().take_over(lent, Instant::now());
                        break;
                    }
                    Grant::Empty(wait) => {
                        let now = Instant::now();
                        held.allotment.borrow_mut().note_full(now, now + wait);
                        break;
                    }
                    Grant::NotKeeper if begun.elapsed() < engine.limits.admits_within() => {
                        tokio::time::sleep(LOOK_AGAIN).await;
                    }
                    Grant::NotKeeper => {
                        let now = Instant::now();
                        held.allotment.borrow_mut().note_full(now, now + NO_KEEPER_FOR);
                        break;
                    }
                }
            }
            held.is_asking.set(false);
            held.answered.notify_waiters();
        });
    }

    /// Asks the keeper, or whoever may know who that is.
    ///
    /// The keeper asks the members for their votes, so a daemon that the store turns away for longer than its lease lasts
    /// hears of it no more, though it reaches it: a third of a fleet refused every limited account for six seconds.
    async fn lend_from_keeper(self: &Rc<Self>, account: &Name, unused: u32, wanted: u32) -> Grant {
        let now = Instant::now();
        let beliefs = self.beliefs();
        let wanted = Wanted { host: self.settings.host.clone(), unused, wanted };
        let keeper = self.limits.voter.borrow().keeper(now).cloned();
        if keeper.as_ref() == Some(&self.settings.host) {
            return self.lend(account, &wanted);
        }
        let Some(asked) = keeper.or_else(|| self.somebody(&beliefs)) else {
            return Grant::NotKeeper;
        };
        let address = beliefs.members.get(&asked).copied();
        let link = address.and_then(|address| self.relays.to_first(&[address], now));
        let Some(link) = link else { return Grant::NotKeeper };
        let request = RelayRequest {
            account: account.to_string(),
            task: Some(RelayTask::Lend(LendMessage::of(&wanted))),
            ..RelayRequest::default()
        };
        let Ok(RelayOutcome::Lent(lent)) = link.ask(request, now + LENT_WITHIN).await else {
            return Grant::NotKeeper;
        };
        let grant = lent.grant();
        let told = (!lent.keeper.is_empty()).then(|| Name::from(lent.keeper.as_str()));
        let keeper = if grant == Grant::NotKeeper { told } else { Some(asked) };
        if let Some(keeper) = keeper {
            self.limits.voter.borrow_mut().note_keeper(keeper, Instant::now());
        }
        grant
    }

    /// Returns a member that may know who the keeper is; another one each time.
    fn somebody(&self, beliefs: &Beliefs) -> Option<Name> {
        let others: Vec<&Name> =
            beliefs.members.keys().filter(|host| **host != self.settings.host).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rand::rng().random_range(0..others.len())].clone())
    }

    /// Answers another daemon that asks for operations: what there is, or who keeps the limits.
    pub(crate) fn answer_lend(&self, account: &Name, wanted: &Wanted) -> LentMessage {
        let grant = self.lend(account, wanted);
        let keeper = match grant {
            Grant::NotKeeper => self.limits.voter.borrow().keeper(Instant::now()).cloned(),
            Grant::Lent(_) | Grant::Empty(_) => None,
        };
        let keeper = keeper.filter(|keeper| *keeper != self.settings.host);
        let keeper = keeper.map_or_else(String::new, |keeper| keeper.to_string());
        LentMessage { keeper, ..LentMessage::from(grant) }
    }

    /// Lends what there is of an account's limit, as the keeper or as one to be.
    pub(crate) fn lend(&self, account: &Name, wanted: &Wanted) -> Grant {
        let now = Instant::now();
        let beliefs = self.beliefs();
        if !beliefs.is_member(now) {
            return Grant::NotKeeper;
        }
        let known = beliefs.catalog.accounts.as_ref().and_then(|it| it.get(account));
        // Whoever asks may know a later configuration, which is here in a moment.
        let Some(limit) = known.and_then(|account| account.limit) else { return Grant::NotKeeper };
        let budget = self.limits.rule.budget(&limit);
        let standing = self.limits.standing(now);
        self.limits.ledger.borrow_mut().lend(account, &budget, wanted, standing, LENT_LASTS, now)
    }

    /// Answers a candidate.
    pub(crate) fn vote(&self, request: &VoteRequest) -> Vote {
        self.limits.vote(request, &self.beliefs(), Instant::now())
    }

    /// Takes part in the election of the keeper for as long as the daemon runs.
    pub async fn keep_limits(self: Rc<Self>) {
        loop {
            let beliefs = self.beliefs();
            if !beliefs.has_limits() {
                self.limits.resign();
                // Before the first configuration nobody knows whether there are limits.
                let rest = if beliefs.is_ready() { IDLE_LOOK_EVERY } else { LOOK_EVERY };
                tokio::time::sleep(rest).await;
                continue;
            }
            let now = Instant::now();
            self.limits.note_members(&beliefs, now);
            let rest = match self.may_keep(&beliefs, now) {
                true => {
                    self.ask_for_votes(&beliefs, now);
                    ROUND_EVERY
                }
                false => LOOK_EVERY,
            };
            tokio::time::sleep(rest).await;
        }
    }

    /// Whether this daemon is to ask for votes now.
    fn may_keep(self: &Rc<Self>, beliefs: &Arc<Beliefs>, now: Instant) -> bool {
        let limits = &self.limits;
        let own = &self.settings.host;
        if self.is_stopping() && limits.is_keeper(now) {
            limits.resign();
            self.free_voters(beliefs, now);
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
            let is_long = now.duration_since(limits.began_at.get()) > CANDIDATE_FOR;
            if limits.is_keeper(now) {
                limits.began_at.set(now);
            } else if is_long {
                limits.resign();
                let rests = VOTE_BINDS.mul_f64(rand::rng().random_range(1.0..2.0));
                limits.rests_until.set(Some(now + rests));
                return false;
            }
            return true;
        }
        if limits.rests_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let order = routing::ranked(KEEPER_OF, beliefs.members.keys().map(|host| &**host));
        let place = order.iter().position(|host| **host == **own).unwrap_or(order.len());
        let (since, silence) = match limits.heard_at.get() {
            Some(at) => (at, SILENT_FOR),
            None => (member_since, SILENT_AT_START),
        };
        if now.duration_since(since) < campaign_after(silence, place) {
            return false;
        }
        let term = limits.next_term.get();
        *limits.candidacy.borrow_mut() = Some(Candidacy::new(times(limits.rule.window), term));
        limits.began_at.set(now);
        true
    }

    /// Tells every member that this daemon lends nothing more, so that another one need not wait for its votes to end: the
    /// daemons of a fleet that is restarted in turn stop one after the other, and each may be the keeper.
    fn free_voters(self: &Rc<Self>, beliefs: &Arc<Beliefs>, now: Instant) {
        let own = &self.settings.host;
        let host = own.clone();
        let request = VoteRequest { host, life: self.limits.life, is_keeper: false, ends: true };
        self.limits.vote(&request, beliefs, now);
        for (host, address) in beliefs.members.iter().filter(|(host, _)| *host != own) {
            self.ask_for_vote(host, *address, &request, now);
        }
    }

    /// Asks every member for its vote; answers are counted as they come.
    fn ask_for_votes(self: &Rc<Self>, beliefs: &Arc<Beliefs>, now: Instant) {
        let own = self.settings.host.clone();
        let is_keeper = self.limits.is_keeper(now);
        let request =
            VoteRequest { host: own.clone(), life: self.limits.life, is_keeper, ends: false };
        let vote = self.limits.vote(&request, beliefs, now);
        if !vote.is_bound {
            // It has voted for somebody else a moment ago.
            self.limits.resign();
            return;
        }
        self.limits.count(Ballot { host: own.clone(), asked_at: now, vote }, now);
        for (host, address) in beliefs.members.iter() {
            if *host != own {
                self.ask_for_vote(host, *address, &request, now);
            }
        }
    }

    fn ask_for_vote(
        self: &Rc<Self>,
        host: &Name,
        address: SocketAddr,
        request: &VoteRequest,
        asked_at: Instant,
    ) {
        let Some(link) = self.relays.to_first(&[address], asked_at) else { return };
        let request =
            RelayRequest { task: Some(RelayTask::Vote(request.into())), ..RelayRequest::default() };
        let (engine, host) = (self.clone(), host.clone());
        tokio::task::spawn_local(async move {
            let answered = link.ask(request, asked_at + VOTE_WITHIN).await;
            if let Ok(RelayOutcome::Voted(vote)) = answered {
                let ballot = Ballot { host, asked_at, vote: vote.vote() };
                engine.limits.count(ballot, Instant::now());
            }
        });
    }
}

/// What the members are ranked for where one of them is to keep the limits.
const KEEPER_OF: &str = "account limits";

impl LentMessage {
    fn grant(&self) -> Grant {
        match (self.count, self.wait_ms) {
            (0, 0) => Grant::NotKeeper,
            (0, wait_ms) => Grant::Empty(Duration::from_millis(wait_ms)),
            (count, _) => Grant::Lent(count),
        }
    }
}
