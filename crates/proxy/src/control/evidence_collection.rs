//! Queries the servers for the primary of each group while the store does not answer.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use model::{Name, Term};
use tokio::sync::oneshot;

use crate::{
    control::{
        adapter::Adapter,
        change::VersionedRecord,
        control_view::{Basis, GroupLeader},
        evidence::{
            self, HeldPrimaryLease, KnownLeader, LeaderByEvidence, may_grant_primary_lease,
        },
        peers::Evidence,
        runner::{CommandRequest, Control, ServingRequest},
    },
    metadata::MetadataStore,
    statement::{EndpointOperation, EndpointStatus},
};

/// Queries of a group within the time that evidence remains valid.
const QUERIES_PER_EVIDENCE_DURATION: u32 = 2;
/// How often the groups to query are determined while the store does not answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long before the end of its primary lease a daemon with an upstream queries the servers itself: a round trip and
/// the server's processing time.
const QUERY_BEFORE_EXPIRY: Duration = Duration::from_millis(50);
/// How long a service counts as used after a request of a caller.
const USED_SERVICE_TTL: Duration = Duration::from_secs(10);
/// The largest number of recently unused groups that are queried, so that a primary lease exists when a caller needs
/// one. With a thousand groups, queries of all of them by every daemon would overload the servers: 300 daemons sent
/// 289,000 in 42 s while the store was slow.
const MAX_UNUSED_SERVICES_QUERIED: usize = 32;
/// How long to wait for answers that may contradict a majority: a round trip between availability zones and the
/// server's processing time.
const DISSENT_TIMEOUT: Duration = Duration::from_millis(40);
/// The part of the evidence duration after which a query times out.
const QUERY_TIMEOUT_PART: f64 = 0.75;

impl<P: Adapter> Control<P> {
    /// Queries the servers for their primary while the store does not answer. Each group is queried independently, so
    /// that a group without answers does not delay the evidence of the others.
    pub(crate) async fn evidence_loop(self: Rc<Self>) {
        let interval = self.evidence_duration() / QUERIES_PER_EVIDENCE_DURATION;
        let mut running = FuturesUnordered::new();
        let mut queried_at = HashMap::new();
        loop {
            let check_after = if self.needs_evidence() { CHECK_INTERVAL } else { interval };
            tokio::select! {
                () = tokio::time::sleep(check_after) => {}
                Some(found) = running.next(), if !running.is_empty() => {
                    let mut found: Vec<Option<Evidence>> = vec![found];
                    while let Some(Some(more)) = running.next().now_or_never() {
                        found.push(more);
                    }
                    self.accept_all(found.into_iter().flatten());
                }
            }
            if !self.needs_evidence() {
                self.state.borrow_mut().evidence.clear();
                continue;
            }
            let now = Instant::now();
            queried_at.retain(|_, asked_at: &mut Instant| now.duration_since(*asked_at) < interval);
            for service in self.services_to_query(now) {
                if queried_at.contains_key(&service) {
                    continue;
                }
                queried_at.insert(service.clone(), now);
                running.push(self.clone().collect_evidence(service));
            }
        }
    }

    /// Whether the store can't show the primaries, since it does not answer or its restored records are unconfirmed.
    fn needs_evidence(&self) -> bool {
        let state = self.state.borrow();
        // Records of services that are no longer configured are never confirmed.
        let is_unconfirmed = |(service, known): (&Name, &Arc<VersionedRecord>)| {
            !state.is_confirmed(&known.record) && state.catalog.services.contains_key(service)
        };
        state.is_store_silent(self.store_silence_timeout())
            || self.store.era() > state.mirror.era()
            || state.records.iter().any(is_unconfirmed)
    }

    fn accept_all(&self, found: impl Iterator<Item = Evidence>) {
        for evidence in found {
            self.accept_evidence(&evidence);
        }
        self.updates_available.notify_waiters();
        self.publish();
    }

    /// Returns the services whose servers this daemon queries itself. A daemon with an upstream relies on its evidence
    /// as long as its own primary leases last, to limit the load on the servers. Only a few unused services are
    /// included.
    fn services_to_query(&self, now: Instant) -> Vec<Name> {
        let follows = self.upstream().is_some();
        // In a large fleet the upstream queries the unused services; queries by every daemon would saturate the links
        // between regions.
        let max_unused = match follows && self.is_fleet_large() {
            true => 0,
            false => MAX_UNUSED_SERVICES_QUERIED,
        };
        let mut state = self.state.borrow_mut();
        state.used_at.retain(|_, used_at| now.duration_since(*used_at) < USED_SERVICE_TTL);
        let state = &*state;
        let has_lasting_lease = |service: &Name| {
            let leader = state.leaders.get(service);
            leader.is_some_and(|leader| {
                !leader.changing && leader.valid_until > now + QUERY_BEFORE_EXPIRY
            })
        };
        let services = state.published_servers.keys();
        let (used, mut unused): (Vec<&Name>, Vec<&Name>) =
            services.partition(|service| state.used_at.contains_key(*service));
        // Sorted to select the same services each time, so that their primary leases are extended.
        unused.sort_unstable();
        unused.truncate(max_unused);
        let considered = used.into_iter().chain(unused);
        considered.filter(|service| !(follows && has_lasting_lease(service))).cloned().collect()
    }

    /// Queries one group's servers and judges their statuses.
    async fn collect_evidence(self: Rc<Self>, service: Name) -> Option<Evidence> {
        let asked_at = Instant::now();
        let deadline = asked_at + self.evidence_duration().mul_f64(QUERY_TIMEOUT_PART);
        let servers: Vec<Name> = {
            let state = self.state.borrow();
            let entries = state.published_servers.get(&service);
            entries.into_iter().flatten().map(|entry| entry.server.clone()).collect()
        };
        let held = self.held_primary_lease(&service, asked_at);
        let judge = |statuses: &[_]| evidence::judge_statuses(statuses, servers.len(), &held);
        let statuses = self.query_statuses(&service, &servers, deadline, &judge).await;
        let Some(found) = judge(&statuses) else {
            log::debug!(
                event = "no_evidence", service = &*service, known_term = held.known_term.0,
                in_force = held.usable_leader.is_some(), servers = servers.len(),
                statuses = format!("{statuses:?}").as_str();
                "the servers' answers do not show which server leads"
            );
            return None;
        };
        Some(Evidence { service, server: found.server, term: found.term, asked_at })
    }

    pub(crate) fn held_primary_lease(&self, service: &Name, now: Instant) -> HeldPrimaryLease {
        let state = self.state.borrow();
        let leader = state.leaders.get(service);
        let usable = leader.filter(|leader| leader.is_valid(now));
        HeldPrimaryLease {
            known_term: leader.map_or(Term(0), |leader| leader.term),
            usable_leader: usable.map(|leader| LeaderByEvidence {
                server: leader.server.clone(),
                term: leader.term,
            }),
        }
    }

    fn known_leader(&self, service: &Name) -> KnownLeader {
        let state = self.state.borrow();
        let leader = state.leaders.get(service);
        KnownLeader {
            term: leader.map_or(Term(0), |leader| leader.term),
            changing: leader.is_some_and(|leader| leader.changing),
            is_store_silent: state.is_store_silent(self.store_silence_timeout()),
        }
    }

    /// Grants a primary lease on evidence that this daemon or another one collected.
    pub(crate) fn accept_evidence(&self, found: &Evidence) {
        let service = &found.service;
        if !may_grant_primary_lease(found.term, self.known_leader(service)) {
            return;
        }
        let valid_until = found.asked_at + self.evidence_duration();
        if valid_until <= Instant::now() {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.keep_evidence(found);
        let known = state.leaders.get(service);
        if known.is_none_or(|leader| !leader.is_valid(found.asked_at)) {
            log::info!(
                event = "right_gained", service = &**service, server = &*found.server,
                term = found.term.0, basis = Basis::Evidence.as_str(),
                age_ms = found.asked_at.elapsed().as_millis() as u64;
                "primary lease granted on evidence of the servers"
            );
        }
        let same_leader =
            known.filter(|leader| leader.server == found.server && leader.term == found.term);
        let current_until =
            same_leader.filter(|leader| !leader.changing).map(|leader| leader.valid_until);
        let history = known.map(|leader| leader.history.clone()).unwrap_or_default();
        let leader = GroupLeader {
            server: found.server.clone(),
            term: found.term,
            valid_until: current_until.map_or(valid_until, |until| until.max(valid_until)),
            basis: Basis::Evidence,
            changing: false,
            planned: false,
            history,
        };
        Arc::make_mut(&mut state.leaders).insert(service.clone(), leader);
    }

    /// Queries servers over shared session connections; returns the statuses that arrive in time. Once these suffice,
    /// the remaining servers get only [`DISSENT_TIMEOUT`], so that a failed server does not delay the result.
    async fn query_statuses(
        &self,
        service: &Name,
        servers: &[Name],
        deadline: Instant,
        judge: &impl Fn(&[(Name, EndpointStatus)]) -> Option<LeaderByEvidence>,
    ) -> Vec<(Name, EndpointStatus)> {
        let mut waiting = FuturesUnordered::new();
        for server in servers {
            let (answer, answered) = oneshot::channel();
            let request = CommandRequest {
                service: service.clone(),
                server: server.clone(),
                operation: EndpointOperation::Status,
                deadline,
                answer,
            };
            // If the queue is full, the serving thread is overloaded; this query omits the server.
            if self.serving_requests.try_send(ServingRequest::Command(request)).is_ok() {
                let server = server.clone();
                waiting.push(async move { answered.await.ok().map(|status| (server, status)) });
            }
        }
        let mut statuses = Vec::new();
        let mut until = deadline;
        while let Ok(Some(answered)) = tokio::time::timeout_at(until.into(), waiting.next()).await {
            statuses.extend(answered);
            if judge(&statuses).is_some() {
                until = until.min(Instant::now() + DISSENT_TIMEOUT);
            }
        }
        statuses
    }
}
