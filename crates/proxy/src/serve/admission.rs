//! Whether an account may ask for one more operation: what this daemon holds of its limit, and what it asks the keeper for.
//!
//! Who the keeper is stands in [`super::limits`]; `docs/ACCOUNTS.md` has the guarantee and its proof.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limits::{Allotment, Grant, Lent, RateLimit, Taken, Wanted};
use model::Name;
use tokio::sync::Notify;

use crate::{
    accounts::Account,
    dialect::{CallerDialect, EndpointDialect},
    relay::{
        limit_messages::{QuotaGrantMessage, QuotaRequestMessage},
        messages::{RelayOutcome, RelayRequest, RelayTask},
    },
    serve::{engine::Engine, job::id_text, limits::Limits},
    statement::{ErrorCode, StatementError},
};

/// How long lent operations last: longer than a daemon's callers need for what it asks ahead, and so short that little
/// is lost where they have gone elsewhere.
pub(super) const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// How long the keeper may take to lend: a round trip between zones, on busy hosts.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an operation waits for the keeper, also for one to be found, before it is refused.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(220);
/// The same while this daemon has heard of no keeper since it started: one is found within a second, and callers that are
/// refused meanwhile would come back to daemons that have just started too. 2,500 of 3,400 operations in the two
/// seconds after all daemons of a site were killed were refused for want of a keeper with the shorter time.
const STARTUP_ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause before the keeper is looked for again.
const COORDINATOR_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// How long an account is refused without a question where no keeper was found.
const NO_COORDINATOR_PAUSE: Duration = Duration::from_millis(100);
/// What a caller is told to wait at the least where its account is at its limit; others of its callers come back too.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often the log tells that an account is at its limit.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What this daemon holds of one account's limit.
#[derive(Default)]
pub(super) struct AccountQuota {
    allotment: RefCell<Allotment>,
    is_asking: Cell<bool>,
    waiting: Cell<u32>,
    answered: Notify,
    /// Operations refused since the log last told of it, and when that was.
    refused: Cell<u32>,
    logged_at: Cell<Option<Instant>>,
}

impl AccountQuota {
    /// Counts a refusal; returns how many there were if the log should tell of them now.
    fn count_refused(&self, now: Instant) -> Option<u32> {
        self.refused.set(self.refused.get() + 1);
        if self.logged_at.get().is_some_and(|at| now.duration_since(at) < LIMIT_LOG_INTERVAL) {
            return None;
        }
        self.logged_at.set(Some(now));
        Some(self.refused.take())
    }
}

impl Limits {
    /// Returns how long an operation may wait for a keeper.
    fn admission_timeout(&self) -> Duration {
        if self.has_seen_coordinator() { ADMISSION_TIMEOUT } else { STARTUP_ADMISSION_TIMEOUT }
    }

    fn quota_of(&self, account: &Name) -> Rc<AccountQuota> {
        self.quota.borrow_mut().entry(account.clone()).or_default().clone()
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
        let quota = self.limits.quota_of(&account.name);
        let arrived = Instant::now();
        quota.allotment.borrow_mut().note_demand(arrived);
        let until = arrived + self.limits.admission_timeout();
        loop {
            let answered = quota.answered.notified();
            tokio::pin!(answered);
            // From here on nothing is missed between the look and the wait.
            answered.as_mut().enable();
            let now = Instant::now();
            let taken = quota.allotment.borrow_mut().take(now);
            match taken {
                Taken::Yes { ask_ahead } => {
                    if ask_ahead {
                        self.request_quota(account, &quota);
                    }
                    return Ok(());
                }
                Taken::Full { until: full_until, lasts } => {
                    if lasts || full_until >= until {
                        let wait = full_until.saturating_duration_since(now);
                        return Err(self.at_limit(account, limit, &quota, wait, id));
                    }
                    tokio::time::sleep_until(full_until.into()).await;
                    continue;
                }
                Taken::Ask if now >= until => {
                    return Err(self.at_limit(account, limit, &quota, Duration::ZERO, id));
                }
                Taken::Ask => self.request_quota(account, &quota),
            }
            quota.waiting.set(quota.waiting.get() + 1);
            // An error means that the time has passed, which the next look finds.
            let _ = tokio::time::timeout_at(until.into(), answered).await;
            quota.waiting.set(quota.waiting.get() - 1);
        }
    }

    fn at_limit(
        &self,
        account: &Account,
        limit: RateLimit,
        quota: &AccountQuota,
        wait: Duration,
        id: &[u8],
    ) -> StatementError {
        let come_back_ms = self.with_jitter(wait.max(MIN_RETRY_DELAY)).as_millis() as u64 + 1;
        self.metrics.refused.with_label_values(&["limit"]).inc();
        log::debug!(
            event = "at_limit", id = id_text(id).as_str(), account = &*account.name,
            rate_per_s = limit.rate_per_s, retry_after_ms = come_back_ms;
            "an operation was refused since its account is at its limit"
        );
        let now = Instant::now();
        if let Some(refused) = quota.count_refused(now) {
            let keeper = self.limits.keeper(now);
            log::info!(
                event = "account_limited", account = &*account.name, refused = refused,
                rate_per_s = limit.rate_per_s, keeper = keeper.as_deref().unwrap_or("");
                "operations of an account were refused since it is at its limit"
            );
        }
        let why = "the client account is at its limit";
        StatementError::come_back(ErrorCode::Overloaded, why, come_back_ms)
    }

    /// Asks the keeper for operations, once at a time for each account.
    fn request_quota(self: &Rc<Self>, account: &Arc<Account>, quota: &Rc<AccountQuota>) {
        if quota.is_asking.replace(true) {
            return;
        }
        let (engine, account, quota) = (self.clone(), account.clone(), quota.clone());
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            loop {
                let asked_at = Instant::now();
                let waiting = quota.waiting.get();
                let (unused, wanted) = quota.allotment.borrow().wanted(waiting, asked_at);
                match engine.request_grant(&account.name, unused, wanted).await {
                    Grant::Lent(count) => {
                        let lent = Lent { count, asked_at, lasts: GRANT_LIFETIME };
                        quota.allotment.borrow_mut().take_over(lent);
                        break;
                    }
                    Grant::Empty(wait) => {
                        let now = Instant::now();
                        quota.allotment.borrow_mut().note_full(now, now + wait);
                        break;
                    }
                    Grant::NotKeeper if begun.elapsed() < engine.limits.admission_timeout() => {
                        tokio::time::sleep(COORDINATOR_RETRY_INTERVAL).await;
                    }
                    Grant::NotKeeper => {
                        let now = Instant::now();
                        quota.allotment.borrow_mut().note_full(now, now + NO_COORDINATOR_PAUSE);
                        break;
                    }
                }
            }
            quota.is_asking.set(false);
            quota.answered.notify_waiters();
        });
    }

    /// Asks the keeper, or whoever may know who that is.
    ///
    /// The keeper asks the members for their votes, so a daemon that the store turns away for longer than its lease lasts
    /// hears of it no more, though it reaches it: a third of a fleet refused every limited account for six seconds.
    async fn request_grant(self: &Rc<Self>, account: &Name, unused: u32, wanted: u32) -> Grant {
        let now = Instant::now();
        let beliefs = self.control_view();
        let wanted = Wanted { host: self.settings.host.clone(), unused, wanted };
        let keeper = self.limits.keeper(now);
        if keeper.as_ref() == Some(&self.settings.host) {
            return self.grant_quota(account, &wanted);
        }
        let Some(asked) = keeper.or_else(|| self.limits.random_voter(&self.settings.host)) else {
            return Grant::NotKeeper;
        };
        let address = beliefs.members.get(&asked).copied();
        let Some(address) = address else { return Grant::NotKeeper };
        let link = self.relays.to_member(address, now);
        let request = RelayRequest {
            account: account.to_string(),
            task: Some(RelayTask::RequestQuota(QuotaRequestMessage::of(&wanted))),
            ..RelayRequest::default()
        };
        let Ok(RelayOutcome::QuotaGranted(granted)) = link.call(request, now + GRANT_TIMEOUT).await
        else {
            return Grant::NotKeeper;
        };
        let grant = granted.grant();
        let told =
            (!granted.coordinator.is_empty()).then(|| Name::from(granted.coordinator.as_str()));
        let keeper = if grant == Grant::NotKeeper { told } else { Some(asked) };
        if let Some(keeper) = keeper {
            self.limits.note_keeper(keeper, Instant::now());
        }
        grant
    }

    /// Answers another daemon that asks for operations: what there is, or who keeps the limits.
    pub(crate) fn answer_quota_request(
        &self,
        account: &Name,
        wanted: &Wanted,
    ) -> QuotaGrantMessage {
        let grant = self.grant_quota(account, wanted);
        let keeper = match grant {
            Grant::NotKeeper => self.limits.keeper(Instant::now()),
            Grant::Lent(_) | Grant::Empty(_) => None,
        };
        let keeper = keeper.filter(|keeper| *keeper != self.settings.host);
        let keeper = keeper.map_or_else(String::new, |keeper| keeper.to_string());
        QuotaGrantMessage { coordinator: keeper, ..QuotaGrantMessage::from(grant) }
    }

    /// Lends what there is of an account's limit, as the keeper or as one to be.
    pub(crate) fn grant_quota(&self, account: &Name, wanted: &Wanted) -> Grant {
        let now = Instant::now();
        let beliefs = self.control_view();
        if !beliefs.is_member(now) {
            return Grant::NotKeeper;
        }
        let known = beliefs.catalog.accounts.as_ref().and_then(|it| it.get(account));
        // Whoever asks may know a later configuration, which is here in a moment.
        let Some(limit) = known.and_then(|account| account.limit) else { return Grant::NotKeeper };
        self.limits.grant(account, &limit, wanted, now)
    }
}
