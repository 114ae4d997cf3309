//! The first half of a change of primary: the servers are stopped, and nobody holds a right any more.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{Name, Term};

use crate::{
    catalog::ServerEntry,
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeRun},
        commands::{Commands, POLL_INTERVAL},
        record::{LeadershipRecord, PrimaryLeaseDurations, StopProgress, StoppedServer, majority},
        runner::Control,
        state::SeenMember,
    },
    metadata::MetadataError,
    statement::{EndpointStatus, EndpointText},
};

/// How long a planned change waits for daemons to stop before it pauses the replicas.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);
/// How much of the duty's lease must be left for the servers' pauses to be ended under it: a command and its answer on
/// busy servers.
const DUTY_LEFT_TO_RESUME: Duration = Duration::from_millis(300);
/// How often it is looked whether so much is left.
const LOOK_AT_DUTY_EVERY: Duration = Duration::from_millis(50);
/// How long a change may look for a majority before it is called off.
const FENCE_WITHIN: Duration = Duration::from_secs(3);

/// Servers that answered while the group was stopped.
pub(crate) struct Fence {
    pub(crate) servers: Vec<StoppedServer>,
    /// Those of them that show to any daemon that asks that the old primary may not be used.
    pub(crate) fenced: usize,
}

impl<P: Adapter> Control<P> {
    /// Stops the servers, and waits until no daemon can hold a right to the old primary.
    pub(crate) async fn await_stop(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<Vec<StoppedServer>, ChangeFailure> {
        let give_up_at = Instant::now() + FENCE_WITHIN;
        loop {
            let entries = self.entries(service);
            let stopped = self.stop_servers(service, &entries, run, commands).await;
            if stopped.fenced >= majority(entries.len()) {
                self.step("fenced", service, run);
                self.await_daemons(service, run, Instant::now()).await?;
                self.step("stopped", service, run);
                return Ok(stopped.servers);
            }
            if Instant::now() >= give_up_at {
                if run.chosen().is_none() {
                    self.call_off(service, run.clone(), commands).await?;
                }
                return Err(ChangeFailure::NoMajority);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Steps the old primary down and pauses the replicas; returns those that answered.
    pub(crate) async fn stop_servers(
        &self,
        service: &Name,
        entries: &[Arc<ServerEntry>],
        run: &ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Fence {
        let term = Term(run.record.term + 1);
        let (old, replicas): (Vec<_>, Vec<_>) =
            entries.iter().cloned().partition(|entry| *entry.server == *run.record.primary);
        let step_down = |entry| (entry, EndpointText::StepDown { term });
        let planned = run.is_planned();
        let mut primary = if planned {
            // It leads on until the order, so that nothing is lost if the change can't go on.
            self.await_answers(service, run).await;
            let ask = |entry| (entry, EndpointText::Status);
            commands.ask_all(old.iter().cloned().map(ask).collect()).await
        } else {
            commands.ask_all(old.iter().cloned().map(step_down).collect()).await
        };
        if let Some((_, status)) = primary.first() {
            // What it still holds was acknowledged to callers: a replica gets the time to receive it.
            commands.await_catch_up(&replicas, status).await;
        }
        let pause = |entry| (entry, EndpointText::Pause { term });
        let paused = commands.ask_all(replicas.into_iter().map(pause).collect()).await;
        let needs_primary = paused.len() < majority(entries.len());
        if planned && needs_primary {
            primary = commands.ask_all(old.into_iter().map(step_down).collect()).await;
        }
        // A primary that was not stepped down is no part of the majority.
        let fenced = paused.len() + if planned && !needs_primary { 0 } else { primary.len() };
        let stopped = |replaced: bool| {
            move |(entry, status): (Arc<ServerEntry>, EndpointStatus)| StoppedServer {
                server: entry.server.to_string(),
                status,
                leaving: entry.leaving,
                replaced,
            }
        };
        let primary = primary.into_iter().map(stopped(true));
        let servers = primary.chain(paused.into_iter().map(stopped(false))).collect();
        Fence { servers, fenced }
    }

    /// Waits a moment for the daemons to say that they stopped, so that a replica can receive the last
    /// writes before it is paused.
    async fn await_answers(&self, service: &Name, run: &ChangeRun) {
        let until = run.recorded_at + ANSWERS_WITHIN;
        while !self.all_answered(service, run) && Instant::now() < until {
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = self.mirror_changed.notified() => {}
            }
        }
    }

    /// Waits until every daemon that may hold a right has said that it stopped, or the rights ended.
    ///
    /// A duty that can't be renewed ends the wait while it still holds: nobody else can have begun a change then, so the
    /// pauses can be ended and evidence serves the group. Once it has ended they can't, and the group would have no
    /// primary until the store is back; where the last renewal was half a second old as a planned change began, it had not.
    pub(crate) async fn await_daemons(
        &self,
        service: &Name,
        run: &ChangeRun,
        fenced_at: Instant,
    ) -> Result<(), ChangeFailure> {
        let bounds = PrimaryLeaseDurations {
            store: self.primary_lease_duration(),
            evidence: self.evidence_duration(),
        };
        loop {
            let progress = StopProgress {
                recorded_at: run.recorded_at,
                fenced_at: Some(fenced_at),
                all_answered: self.all_answered(service, run),
            };
            let Some(complete_at) = progress.complete_at(bounds) else { return Ok(()) };
            let now = Instant::now();
            if now >= complete_at {
                return Ok(());
            }
            if self.promoter_lease_left(now) < DUTY_LEFT_TO_RESUME {
                let why = "the duty could not be renewed".to_owned();
                return Err(ChangeFailure::Store(MetadataError::NotDone(why)));
            }
            let look_at = complete_at.min(now + LOOK_AT_DUTY_EVERY);
            tokio::select! {
                () = tokio::time::sleep_until(look_at.into()) => {}
                () = self.mirror_changed.notified() => {}
            }
        }
    }

    /// Whether every daemon that may hold a right has said that it stopped.
    pub(crate) fn all_answered(&self, service: &Name, run: &ChangeRun) -> bool {
        let state = self.state.borrow();
        // A daemon that vanished before this one began to watch may still hold a right.
        let lasting = self.primary_lease_duration().mul_f64(1.1);
        let watched = state
            .watching_since
            .is_some_and(|since| run.recorded_at.saturating_duration_since(since) > lasting);
        let may_hold = |member: &SeenMember| {
            run.recorded_at.checked_sub(lasting).is_none_or(|from| member.seen_at >= from)
        };
        watched
            && state.members_seen.iter().filter(|(_, member)| may_hold(member)).all(|(host, _)| {
                let key = self.key(&format!("stopped/{service}/{host}"));
                state.mirror.get(&key).is_some_and(|item| item.value == run.id().as_bytes())
            })
    }

    /// Leaves the old primary in place, as nothing was ordered.
    pub(crate) async fn call_off(
        &self,
        service: &Name,
        run: ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        commands
            .ask_all(entries.into_iter().map(|entry| (entry, EndpointText::Resume)).collect())
            .await;
        let record = LeadershipRecord { change: None, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        self.step("called_off", service, &run);
        Ok(())
    }
}
