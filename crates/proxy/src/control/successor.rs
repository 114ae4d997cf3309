//! Which server can become a group's primary.

use std::sync::Arc;

use model::Name;

use crate::{
    catalog::ServerEntry,
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeReason, ChangeRun, PLANNED_COMMAND_TIMEOUT},
        commands::Commands,
        record::{ChosenServer, LeadershipRecord},
        runner::Control,
        selection::{StoppedServer, SuccessorSelection},
    },
    statement::{EndpointOperation, EndpointStatus},
};

/// How many log entries a replica may lack to take over in an optional change; it receives the rest during the change.
const MAX_SUCCESSOR_LAG_ENTRIES: u64 = 8;

impl<P: Adapter> Control<P> {
    /// Chooses the server to promote; `None` if no server can take over or the old primary should go on leading.
    pub(crate) fn select_successor(
        &self,
        service: &Name,
        run: &ChangeRun,
        stopped: &[StoppedServer],
    ) -> Option<ChosenServer> {
        let selection = self.succession(service, run);
        let chosen = selection
            .choose(stopped)
            .filter(|chosen| chosen.server != run.record.primary || !old_primary_leads(stopped));
        log::info!(
            event = "successor_choice", service = &**service, change = run.id(),
            answered = describe(stopped).as_str(), servers = selection.servers,
            synchronous_replicas = selection.synchronous_replicas,
            chosen = chosen.as_ref().map_or("", |chosen| &chosen.server);
            "chose the server to promote"
        );
        chosen
    }

    /// Returns the inputs for choosing a successor.
    pub(crate) fn succession<'a>(
        &self,
        service: &Name,
        run: &'a ChangeRun,
    ) -> SuccessorSelection<'a> {
        let entries = self.entries(service);
        SuccessorSelection {
            record: &run.record,
            servers: entries.len(),
            synchronous_replicas: self.synchronous_replicas(service),
            may_keep_primary: run.reason() == ChangeReason::ReplicasBehind.as_str(),
            is_primary_listed: entries.iter().any(|it| *it.server == *run.record.primary),
        }
    }

    /// Fails unless some replica has received nearly everything that the primary holds.
    pub(crate) async fn check_caught_up_replica(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        let requests =
            entries.iter().filter(|entry| !entry.leaving || *entry.server == *record.primary);
        let requests = requests.map(|entry| (entry.clone(), EndpointOperation::Status)).collect();
        let mut commands = Commands::new(self);
        commands.timeout = PLANNED_COMMAND_TIMEOUT;
        let statuses = commands.send_all(requests).await;
        let leads = |entry: &Arc<ServerEntry>| *entry.server == *record.primary;
        let primary = statuses.iter().find(|(entry, status)| leads(entry) && status.leads);
        let (_, primary) = primary.ok_or(ChangeFailure::NoSuccessor)?;
        let is_caught_up = |status: &EndpointStatus| {
            status.received.term == primary.received.term
                && status.received.position.0 + MAX_SUCCESSOR_LAG_ENTRIES
                    >= primary.received.position.0
        };
        let caught_up =
            statuses.iter().any(|(entry, status)| !leads(entry) && is_caught_up(status));
        caught_up.then_some(()).ok_or(ChangeFailure::NoSuccessor)
    }

    /// Returns the number of replicas that receive a write before it is acknowledged.
    fn synchronous_replicas(&self, service: &Name) -> u32 {
        let state = self.state.borrow();
        state.catalog.services.get(service).map_or(0, |rule| rule.synchronous_replicas)
    }
}

fn old_primary_leads(stopped: &[StoppedServer]) -> bool {
    stopped.iter().any(|server| server.is_old_primary && server.status.leads)
}

/// Returns what each server answered, for the log: its term, the position that it has received, and its role.
fn describe(stopped: &[StoppedServer]) -> String {
    let of_server = |server: &StoppedServer| {
        let status = &server.status;
        let role = match (status.leads, server.is_old_primary) {
            (true, _) => "leads",
            (false, true) => "old primary",
            (false, false) => "replica",
        };
        format!("{} {}.{} {role}", server.server, status.term.0, status.received.position.0)
    };
    stopped.iter().map(of_server).collect::<Vec<_>>().join(", ")
}
