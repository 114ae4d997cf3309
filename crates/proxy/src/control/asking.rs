//! Asking the servers themselves who leads, while the store is silent.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::{Name, Term};
use tokio::sync::oneshot;

use crate::{
    catalog::CatalogFormat,
    control::{
        beliefs::{Basis, Lead},
        evidence,
        runner::{Ask, CommandAsk, Control, join_all},
    },
    dialect::EndpointDialect,
    metadata::MetadataStore,
    order::PromotionOrders,
    statement::{EndpointStatus, EndpointText},
};

/// Askings for evidence within the time that it holds.
const EVIDENCE_PER_TERM: u32 = 2;

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    /// While the store is silent, asks the servers themselves who leads.
    pub(crate) async fn evidence_loop(self: Rc<Self>) {
        let every = self.evidence() / EVIDENCE_PER_TERM;
        loop {
            tokio::time::sleep(every).await;
            let silent = {
                let state = self.state.borrow();
                let patience = Duration::from_millis(self.settings.leadership.refresh_ms) * 2;
                state.last_read_at.is_none_or(|at| at.elapsed() > patience)
            };
            if !silent {
                continue;
            }
            let services: Vec<Name> =
                self.state.borrow().published_servers.keys().cloned().collect();
            let asked = services.into_iter().map(|service| self.ask_for_evidence(service));
            join_all(asked).await;
            self.publish();
        }
    }

    /// Asks one group's servers, and takes the right to a primary that a majority shows.
    pub(crate) async fn ask_for_evidence(&self, service: Name) {
        let asked_at = Instant::now();
        let deadline = asked_at + self.evidence().mul_f64(0.75);
        let servers: Vec<Name> = {
            let state = self.state.borrow();
            let entries = state.published_servers.get(&service);
            entries.into_iter().flatten().map(|entry| entry.server.clone()).collect()
        };
        let statuses = self.ask_statuses(&service, &servers, deadline).await;
        let mut state = self.state.borrow_mut();
        let known_term = state.leads.get(&service).map_or(Term(0), |lead| lead.term);
        let Some(found) = evidence::judge(&statuses, servers.len(), known_term) else {
            log::debug!(
                event = "no_evidence", service = &*service, known_term = known_term.0,
                servers = servers.len(), statuses = format!("{statuses:?}").as_str();
                "the servers' answers do not show who leads"
            );
            return;
        };
        let valid_until = asked_at + self.evidence();
        let known = state.leads.get(&service);
        if known.is_none_or(|lead| !lead.is_valid(asked_at)) {
            log::info!(
                event = "right_gained", service = &*service, server = &*found.server,
                term = found.term.0, basis = Basis::Evidence.as_str(), answers = statuses.len();
                "a primary may be used by the word of a majority"
            );
        }
        let same = known.filter(|lead| lead.server == found.server && lead.term == found.term);
        let known_since = same.map_or(asked_at, |lead| lead.known_since);
        let still = same.filter(|lead| !lead.changing).map(|lead| lead.valid_until);
        let history = known.map(|lead| lead.history.clone()).unwrap_or_default();
        let lead = Lead {
            server: found.server,
            term: found.term,
            valid_until: still.map_or(valid_until, |until| until.max(valid_until)),
            basis: Basis::Evidence,
            changing: false,
            known_since,
            history,
        };
        state.leads.insert(service, lead);
    }

    /// Asks servers over the connections that sessions share; returns the answers in time.
    pub(crate) async fn ask_statuses(
        &self,
        service: &Name,
        servers: &[Name],
        deadline: Instant,
    ) -> Vec<(Name, EndpointStatus)> {
        let mut waiting = Vec::new();
        for server in servers {
            let (answer, answered) = oneshot::channel();
            let ask = CommandAsk {
                service: service.clone(),
                server: server.clone(),
                text: EndpointText::Status,
                deadline,
                answer,
            };
            // A full ring means that the serving thread is behind; this round goes without it.
            if self.asks.try_send(Ask::Command(ask)).is_ok() {
                waiting.push((server.clone(), answered));
            }
        }
        let mut statuses = Vec::new();
        for (server, answered) in waiting {
            if let Ok(Ok(status)) = tokio::time::timeout_at(deadline.into(), answered).await {
                statuses.push((server, status));
            }
        }
        statuses
    }
}
