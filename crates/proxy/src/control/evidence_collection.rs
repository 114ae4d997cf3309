//! Asking the servers themselves who leads, while the store is silent.

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
    statement::{EndpointStatus, EndpointText},
};

/// Askings for evidence within the time that it holds.
const EVIDENCE_PER_TERM: u32 = 2;
/// How often it is looked whom to ask while the store is silent.
const LOOK_EVERY: Duration = Duration::from_millis(30);
/// How long before its right ends a daemon that follows another one asks for itself: a round trip and a server's
/// work. What is passed on comes every 150 ms, some 60 ms old, and lasts 300.
const ASK_BEFORE_END: Duration = Duration::from_millis(50);
/// How long a service counts as used after a caller last asked for it.
const USED_FOR: Duration = Duration::from_secs(10);
/// Groups that are asked although no caller has asked for them lately, so that a right to them is at hand when one does.
/// A fleet of some ten groups is asked as a whole. With a thousand, 300 daemons that each asked all servers every 150 ms
/// while the store was slow kept them busy with 289,000 questions in 42 s, and their connections with it.
const MOST_UNUSED_ASKED: usize = 32;
/// How long an answer that might speak against a majority is waited for once there is one; a round trip
/// between availability zones and the server's own work.
const LAST_WORD_WITHIN: Duration = Duration::from_millis(40);

impl<P: Adapter> Control<P> {
    /// While the store is silent, asks the servers themselves who leads. Groups are asked each by itself: one
    /// whose servers don't answer takes all of its time, and must not make the others' evidence old.
    pub(crate) async fn evidence_loop(self: Rc<Self>) {
        let every = self.evidence_duration() / EVIDENCE_PER_TERM;
        let mut running = FuturesUnordered::new();
        let mut asked = HashMap::new();
        loop {
            let look_after = if self.needs_evidence() { LOOK_EVERY } else { every };
            tokio::select! {
                () = tokio::time::sleep(look_after) => {}
                Some(found) = running.next(), if !running.is_empty() => {
                    let mut found: Vec<Option<Evidence>> = vec![found];
                    while let Some(Some(more)) = running.next().now_or_never() {
                        found.push(more);
                    }
                    self.take_found(found.into_iter().flatten());
                }
            }
            if !self.needs_evidence() {
                self.state.borrow_mut().evidence.clear();
                continue;
            }
            let now = Instant::now();
            asked.retain(|_, asked_at: &mut Instant| now.duration_since(*asked_at) < every);
            for service in self.services_to_ask(now) {
                if asked.contains_key(&service) {
                    continue;
                }
                asked.insert(service.clone(), now);
                running.push(self.clone().ask_for_evidence(service));
            }
        }
    }

    /// Whether the store says nothing of who leads, because it is silent or was restored and what it holds is not confirmed.
    fn needs_evidence(&self) -> bool {
        let state = self.state.borrow();
        // Nobody confirms who leads a service that the configuration does not have any more.
        let is_left_open = |(service, known): (&Name, &Arc<VersionedRecord>)| {
            !state.is_confirmed(&known.record) && state.catalog.services.contains_key(service)
        };
        state.is_store_silent(self.store_silence_timeout())
            || self.store.era() > state.mirror.era()
            || state.records.iter().any(is_left_open)
    }

    fn take_found(&self, found: impl Iterator<Item = Evidence>) {
        for evidence in found {
            self.accept_evidence(&evidence);
        }
        self.updates_available.notify_waiters();
        self.publish();
    }

    /// Returns the services whose servers this daemon asks itself. One that follows another daemon
    /// leaves it to that one for as long as its rights last, so that servers are not asked by everyone: hundreds
    /// that asked each for itself took a good part of the servers' time for nothing but that. Groups that no
    /// caller of this daemon asks for are left out where there are many.
    fn services_to_ask(&self, now: Instant) -> Vec<Name> {
        let follows = self.upstream().is_some();
        // In a large fleet unused ones are left to whoever is followed: hundreds that each ask for them fill the links
        // between regions, and by that keep the store out of reach.
        let most_unused = match follows && self.is_fleet_large() {
            true => 0,
            false => MOST_UNUSED_ASKED,
        };
        let mut state = self.state.borrow_mut();
        state.used_at.retain(|_, used_at| now.duration_since(*used_at) < USED_FOR);
        let state = &*state;
        let is_known = |service: &Name| {
            let lead = state.leaders.get(service);
            lead.is_some_and(|lead| !lead.changing && lead.valid_until > now + ASK_BEFORE_END)
        };
        let services = state.published_servers.keys();
        let (used, mut unused): (Vec<&Name>, Vec<&Name>) =
            services.partition(|service| state.used_at.contains_key(*service));
        // The same ones each time, so that the rights to them last.
        unused.sort_unstable();
        unused.truncate(most_unused);
        let considered = used.into_iter().chain(unused);
        considered.filter(|service| !(follows && is_known(service))).cloned().collect()
    }

    /// Asks one group's servers which primary a majority shows.
    async fn ask_for_evidence(self: Rc<Self>, service: Name) -> Option<Evidence> {
        let asked_at = Instant::now();
        let deadline = asked_at + self.evidence_duration().mul_f64(0.75);
        let servers: Vec<Name> = {
            let state = self.state.borrow();
            let entries = state.published_servers.get(&service);
            entries.into_iter().flatten().map(|entry| entry.server.clone()).collect()
        };
        let held = self.held_primary_lease(&service, asked_at);
        let judge = |statuses: &[_]| evidence::judge(statuses, servers.len(), &held);
        let statuses = self.ask_statuses(&service, &servers, deadline, &judge).await;
        let Some(found) = judge(&statuses) else {
            log::debug!(
                event = "no_evidence", service = &*service, known_term = held.known_term.0,
                in_force = held.in_force.is_some(), servers = servers.len(), statuses = format!("{statuses:?}").as_str();
                "the servers' answers do not show who leads"
            );
            return None;
        };
        Some(Evidence { service, server: found.server, term: found.term, asked_at })
    }

    pub(crate) fn held_primary_lease(&self, service: &Name, now: Instant) -> HeldPrimaryLease {
        let state = self.state.borrow();
        let lead = state.leaders.get(service);
        let in_force = lead.filter(|lead| lead.is_valid(now));
        HeldPrimaryLease {
            known_term: lead.map_or(Term(0), |lead| lead.term),
            in_force: in_force
                .map(|lead| LeaderByEvidence { server: lead.server.clone(), term: lead.term }),
        }
    }

    fn known_leader(&self, service: &Name) -> KnownLeader {
        let state = self.state.borrow();
        let lead = state.leaders.get(service);
        KnownLeader {
            term: lead.map_or(Term(0), |lead| lead.term),
            changing: lead.is_some_and(|lead| lead.changing),
            is_store_silent: state.is_store_silent(self.store_silence_timeout()),
        }
    }

    /// Takes the right to a primary that a majority showed, to this daemon or to another one.
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
        if known.is_none_or(|lead| !lead.is_valid(found.asked_at)) {
            log::info!(
                event = "right_gained", service = &**service, server = &*found.server,
                term = found.term.0, basis = Basis::Evidence.as_str(),
                age_ms = found.asked_at.elapsed().as_millis() as u64;
                "a primary may be used by the word of a majority"
            );
        }
        let same = known.filter(|lead| lead.server == found.server && lead.term == found.term);
        let still = same.filter(|lead| !lead.changing).map(|lead| lead.valid_until);
        let history = known.map(|lead| lead.history.clone()).unwrap_or_default();
        let lead = GroupLeader {
            server: found.server.clone(),
            term: found.term,
            valid_until: still.map_or(valid_until, |until| until.max(valid_until)),
            basis: Basis::Evidence,
            changing: false,
            planned: false,
            history,
        };
        Arc::make_mut(&mut state.leaders).insert(service.clone(), lead);
    }

    /// Asks servers over the connections that sessions share; returns the answers in time. Once they are
    /// enough, the others get only a moment more: what one of them might say against is heard, and a
    /// dead server does not use up the time that the answers hold.
    async fn ask_statuses(
        &self,
        service: &Name,
        servers: &[Name],
        deadline: Instant,
        judge: &impl Fn(&[(Name, EndpointStatus)]) -> Option<LeaderByEvidence>,
    ) -> Vec<(Name, EndpointStatus)> {
        let mut waiting = FuturesUnordered::new();
        for server in servers {
            let (answer, answered) = oneshot::channel();
            let ask = CommandRequest {
                service: service.clone(),
                server: server.clone(),
                text: EndpointText::Status,
                deadline,
                answer,
            };
            // A full ring means that the serving thread is behind; this round goes without it.
            if self.serving_requests.try_send(ServingRequest::Command(ask)).is_ok() {
                let server = server.clone();
                waiting.push(async move { answered.await.ok().map(|status| (server, status)) });
            }
        }
        let mut statuses = Vec::new();
        let mut until = deadline;
        while let Ok(Some(answered)) = tokio::time::timeout_at(until.into(), waiting.next()).await {
            statuses.extend(answered);
            if judge(&statuses).is_some() {
                until = until.min(Instant::now() + LAST_WORD_WITHIN);
            }
        }
        statuses
    }
}
