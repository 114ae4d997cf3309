//! Admission of operations: the quota that this daemon holds of each account's limit, and its requests for more.
//!
//! [`super::limits`] elects the coordinator that grants quota; `docs/ACCOUNTS.md` has the guarantee and its proof.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limits::{Grant, GrantedQuota, HeldQuota, QuotaRequest, RateLimit, TakeResult};
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

/// How long granted quota may be used. Long enough for quota that is requested in advance; limits the loss of unused
/// quota when callers move to other daemons.
pub(super) const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// Timeout of a quota request: a round trip between zones, on busy hosts.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an operation may wait for the coordinator, or for one to be elected, before it is refused.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(220);
/// The same until this daemon has seen a coordinator. Covers the first election after a restart of all daemons, where a
/// refused caller would only retry at another daemon that has just started. With the shorter timeout 2,500 of 3,400
/// operations were refused in the two seconds after all daemons of a site were killed.
const STARTUP_ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before quota is requested again if no coordinator was found.
const COORDINATOR_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// How long operations of an account are refused at once after no coordinator was found.
const NO_COORDINATOR_PAUSE: Duration = Duration::from_millis(100);
/// Minimum delay before a caller may retry when its account is at its limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The quota that this daemon holds of one account's limit.
#[derive(Default)]
pub(super) struct AccountQuota {
    held: RefCell<HeldQuota>,
    /// Whether a quota request is in progress.
    is_requesting: Cell<bool>,
    /// Number of operations that wait for the answer to a quota request.
    waiting: Cell<u32>,
    /// Wakes the waiting operations.
    answered: Notify,
    /// Operations refused since the last log record about refusals, and the time of that record.
    refused: Cell<u32>,
    logged_at: Cell<Option<Instant>>,
}

impl AccountQuota {
    /// Counts a refusal; returns the number of refusals since the last log record if another one is due.
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
    /// Returns how long an operation may wait for a coordinator.
    fn admission_timeout(&self) -> Duration {
        if self.has_seen_coordinator() { ADMISSION_TIMEOUT } else { STARTUP_ADMISSION_TIMEOUT }
    }

    fn quota_of(&self, account: &Name) -> Rc<AccountQuota> {
        self.quotas.borrow_mut().entry(account.clone()).or_default().clone()
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Takes one operation from an account's quota; the error is the refusal to the caller if nothing is left.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        account: &Arc<Account>,
        id: &[u8],
    ) -> Result<(), StatementError> {
        let Some(limit) = account.limit else { return Ok(()) };
        let quota = self.limits.quota_of(&account.name);
        let arrived = Instant::now();
        quota.held.borrow_mut().record_demand(arrived);
        let until = arrived + self.limits.admission_timeout();
        loop {
            let answered = quota.answered.notified();
            tokio::pin!(answered);
            // Registers for the notification before the check, so that none is missed.
            answered.as_mut().enable();
            let now = Instant::now();
            let taken = quota.held.borrow_mut().take(now);
            match taken {
                TakeResult::Allowed { request_ahead } => {
                    if request_ahead {
                        self.request_quota(account, &quota);
                    }
                    return Ok(());
                }
                TakeResult::AtLimit { until: full_until, is_sustained } => {
                    if is_sustained || full_until >= until {
                        let wait = full_until.saturating_duration_since(now);
                        return Err(self.refuse_at_limit(account, limit, &quota, wait, id));
                    }
                    tokio::time::sleep_until(full_until.into()).await;
                    continue;
                }
                TakeResult::RequestQuota if now >= until => {
                    return Err(self.refuse_at_limit(account, limit, &quota, Duration::ZERO, id));
                }
                TakeResult::RequestQuota => self.request_quota(account, &quota),
            }
            quota.waiting.set(quota.waiting.get() + 1);
            // After a timeout the next iteration refuses the operation.
            let _ = tokio::time::timeout_at(until.into(), answered).await;
            quota.waiting.set(quota.waiting.get() - 1);
        }
    }

    fn refuse_at_limit(
        &self,
        account: &Account,
        limit: RateLimit,
        quota: &AccountQuota,
        wait: Duration,
        id: &[u8],
    ) -> StatementError {
        let retry_delay_ms = self.with_jitter(wait.max(MIN_RETRY_DELAY)).as_millis() as u64 + 1;
        self.metrics.refusals.with_label_values(&["limit"]).inc();
        log::debug!(
            event = "at_limit", id = id_text(id).as_str(), account = &*account.name,
            rate_per_s = limit.rate_per_s, retry_after_ms = retry_delay_ms;
            "refused an operation: its account is at its limit"
        );
        let now = Instant::now();
        if let Some(refused) = quota.count_refused(now) {
            let coordinator = self.limits.coordinator(now);
            log::info!(
                event = "account_limited", account = &*account.name, refused = refused,
                rate_per_s = limit.rate_per_s, keeper = coordinator.as_deref().unwrap_or("");
                "refused operations of an account that is at its limit"
            );
        }
        let why = "the client account is at its limit";
        StatementError::with_retry_delay(ErrorCode::Overloaded, why, retry_delay_ms)
    }

    /// Requests quota in the background; one request at a time for each account.
    fn request_quota(self: &Rc<Self>, account: &Arc<Account>, quota: &Rc<AccountQuota>) {
        if quota.is_requesting.replace(true) {
            return;
        }
        let (engine, account, quota) = (self.clone(), account.clone(), quota.clone());
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            loop {
                let asked_at = Instant::now();
                let waiting = quota.waiting.get();
                let (unused, wanted) = quota.held.borrow().request_amounts(waiting, asked_at);
                match engine.request_grant(&account.name, unused, wanted).await {
                    Grant::Granted(count) => {
                        let granted = GrantedQuota {
                            count,
                            requested_at: asked_at,
                            lifetime: GRANT_LIFETIME,
                        };
                        quota.held.borrow_mut().add_grant(granted);
                        break;
                    }
                    Grant::Exhausted(wait) => {
                        let now = Instant::now();
                        quota.held.borrow_mut().record_exhausted(now, now + wait);
                        break;
                    }
                    Grant::NotCoordinator
                        if begun.elapsed() < engine.limits.admission_timeout() =>
                    {
                        tokio::time::sleep(COORDINATOR_RETRY_INTERVAL).await;
                    }
                    Grant::NotCoordinator => {
                        let now = Instant::now();
                        quota.held.borrow_mut().record_exhausted(now, now + NO_COORDINATOR_PAUSE);
                        break;
                    }
                }
            }
            quota.is_requesting.set(false);
            quota.answered.notify_waiters();
        });
    }

    /// Requests quota from the coordinator, or from a random voter that may know the coordinator.
    ///
    /// A daemon that is not a member is not asked for its vote, so it may not know a coordinator that it can reach.
    async fn request_grant(self: &Rc<Self>, account: &Name, unused: u32, wanted: u32) -> Grant {
        let now = Instant::now();
        let view = self.control_view();
        let quota_request = QuotaRequest { host: self.settings.host.clone(), unused, wanted };
        let coordinator = self.limits.coordinator(now);
        if coordinator.as_ref() == Some(&self.settings.host) {
            return self.grant_quota(account, &quota_request);
        }
        let Some(target) = coordinator.or_else(|| self.limits.random_voter(&self.settings.host))
        else {
            return Grant::NotCoordinator;
        };
        let address = view.members.get(&target).copied();
        let Some(address) = address else { return Grant::NotCoordinator };
        let link = self.relays.member_link(address, now);
        let request = RelayRequest {
            account: account.to_string(),
            task: Some(RelayTask::RequestQuota(QuotaRequestMessage::of(&quota_request))),
            ..RelayRequest::default()
        };
        let Ok(RelayOutcome::QuotaGranted(granted)) = link.call(request, now + GRANT_TIMEOUT).await
        else {
            return Grant::NotCoordinator;
        };
        let grant = granted.grant();
        let reported =
            (!granted.coordinator.is_empty()).then(|| Name::from(granted.coordinator.as_str()));
        let coordinator = if grant == Grant::NotCoordinator { reported } else { Some(target) };
        if let Some(coordinator) = coordinator {
            self.limits.record_coordinator(coordinator, Instant::now());
        }
        grant
    }

    /// Answers a quota request of another daemon with a grant, or with the name of the coordinator.
    pub(crate) fn answer_quota_request(
        &self,
        account: &Name,
        quota_request: &QuotaRequest,
    ) -> QuotaGrantMessage {
        let grant = self.grant_quota(account, quota_request);
        let coordinator = match grant {
            Grant::NotCoordinator => self.limits.coordinator(Instant::now()),
            Grant::Granted(_) | Grant::Exhausted(_) => None,
        };
        let coordinator = coordinator.filter(|host| *host != self.settings.host);
        let coordinator = coordinator.map_or_else(String::new, |host| host.to_string());
        QuotaGrantMessage { coordinator, ..QuotaGrantMessage::from(grant) }
    }

    /// Grants quota from an account's limit, as the coordinator or a candidate.
    pub(crate) fn grant_quota(&self, account: &Name, quota_request: &QuotaRequest) -> Grant {
        let now = Instant::now();
        let view = self.control_view();
        if !view.is_member(now) {
            return Grant::NotCoordinator;
        }
        let account_entry = view.catalog.accounts.as_ref().and_then(|it| it.get(account));
        // The requesting daemon may already have a newer configuration.
        let Some(limit) = account_entry.and_then(|account| account.limit) else {
            return Grant::NotCoordinator;
        };
        self.limits.grant(account, &limit, quota_request, now)
    }
}
