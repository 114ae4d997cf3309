//! Which server can become a group's primary.

use std::sync::Arc;

use model::Name;

use crate::{
    catalog::ServerEntry,
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeReason, ChangeRun},
        commands::{CatchUp, Commands},
        fencing::stopped_server,
        group_members::updated_members,
        record::{ChosenServer, LeadershipRecord},
        runner::Control,
        selection::{StoppedServer, SuccessorSelection, lacks_few_entries},
    },
    statement::EndpointOperation,
};

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
        let may_keep_primary = run.reason() == ChangeReason::ReplicasBehind.as_str();
        SuccessorSelection { may_keep_primary, ..self.selection(service, &run.record) }
    }

    fn selection<'a>(
        &self,
        service: &Name,
        record: &'a LeadershipRecord,
    ) -> SuccessorSelection<'a> {
        let entries = self.entries(service);
        let synchronous_replicas = self.synchronous_replicas(service);
        SuccessorSelection {
            record,
            servers: match synchronous_replicas {
                0 => entries.len(),
                _ => updated_members(&record.members, &entries).len(),
            },
            synchronous_replicas,
            may_keep_primary: false,
            is_primary_listed: entries.iter().any(|it| *it.server == *record.primary),
            has_primary_restarted: self.state.borrow_mut().has_primary_restarted(service, record),
        }
    }

    /// Whether a group with synchronous replicas has other members than its record.
    pub(crate) fn have_members_changed(&self, service: &Name, record: &LeadershipRecord) -> bool {
        self.synchronous_replicas(service) > 0
            && updated_members(&record.members, &self.entries(service)) != record.members
    }

    /// Returns the record with the group's members as they are now, if it has synchronous replicas.
    pub(crate) fn with_members(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> LeadershipRecord {
        let members = match self.synchronous_replicas(service) {
            0 => record.members.clone(),
            _ => updated_members(&record.members, &self.entries(service)),
        };
        LeadershipRecord { members, ..record.clone() }
    }

    /// Records the group's members, so that they count although they may not be listed when the primary is changed.
    pub(crate) async fn record_members(&self, service: &Name) -> Result<(), ChangeFailure> {
        let known = self.known_record(service).ok_or(ChangeFailure::Superseded)?;
        let record = self.with_members(service, &known.record);
        self.write_record(service, &record, known.revision).await?;
        Ok(())
    }

    /// Fails unless a change can end with a primary whose log contains every acknowledged commit. It is called before the
    /// change is recorded, since the daemons stop using the primary then. Without synchronous replicas nothing is asked.
    pub(crate) async fn check_commits_are_kept(
        &self,
        service: &Name,
        record: &LeadershipRecord,
        reason: ChangeReason,
    ) -> Result<(), ChangeFailure> {
        if self.synchronous_replicas(service) == 0 {
            return Ok(());
        }
        let mut commands = Commands::for_change(self, reason.is_planned());
        let answered = self.query_servers(service, record, &mut commands).await;
        let selection = self.selection(service, record);
        if selection.enough_replicas_answered(&answered) {
            return Ok(());
        }
        let primary = selection.primary_with_every_commit(&answered);
        let primary = primary.ok_or(ChangeFailure::NoSuccessor)?;
        if !primary.status.leads {
            // It can lead again if no replica has received as much.
            return Ok(());
        }
        let (_, replicas) = self.primary_and_replicas(service, record);
        match commands.await_catch_up(&replicas, &primary.status).await {
            CatchUp::Done => Ok(()),
            CatchUp::TimedOut => Err(ChangeFailure::NoSuccessor),
        }
    }

    /// Queries the statuses of a group's servers; returns those that answered.
    pub(crate) async fn query_servers(
        &self,
        service: &Name,
        record: &LeadershipRecord,
        commands: &mut Commands<'_, P>,
    ) -> Vec<StoppedServer> {
        let entries = self.entries(service).into_iter();
        let queries = entries.map(|entry| (entry, EndpointOperation::Status)).collect();
        let answered = commands.send_all(queries).await.into_iter();
        answered
            .map(|(entry, status)| {
                let is_old_primary = *entry.server == *record.primary;
                stopped_server((entry, status), is_old_primary)
            })
            .collect()
    }

    /// Returns the recorded primary, if it is listed, and the other servers of its group.
    pub(crate) fn primary_and_replicas(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> (Vec<Arc<ServerEntry>>, Vec<Arc<ServerEntry>>) {
        self.entries(service).into_iter().partition(|entry| *entry.server == *record.primary)
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
        let mut commands = Commands::for_change(self, true);
        let statuses = commands.send_all(requests).await;
        let leads = |entry: &Arc<ServerEntry>| *entry.server == *record.primary;
        let primary = statuses.iter().find(|(entry, status)| leads(entry) && status.leads);
        let (_, primary) = primary.ok_or(ChangeFailure::NoSuccessor)?;
        let caught_up = statuses
            .iter()
            .any(|(entry, status)| !leads(entry) && lacks_few_entries(status, primary));
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
