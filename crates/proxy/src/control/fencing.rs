//! Fencing during a change of primary: stops the servers (steps the old primary down and pauses the replicas), waits
//! until no daemon holds a primary lease, and verifies before the order that the servers are still stopped.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{Name, Term};

use crate::{
    catalog::ServerEntry,
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeRun, has_taken_over},
        commands::{CatchUp, Commands, MIN_LEASE_TO_RESUME, POLL_INTERVAL},
        record::{
            FencingProgress, LeadershipRecord, PrimaryLeaseDurations, has_stepped_down, is_fenced,
            majority,
        },
        runner::Control,
        selection::StoppedServer,
        state::SeenMember,
    },
    metadata::MetadataError,
    statement::{EndpointOperation, EndpointStatus},
};

/// How often the remaining promoter lease is checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a change tries to stop a majority before it is cancelled.
const FENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether the old primary of a planned change may be stepped down.
enum Preparation {
    /// It may be, or it does not lead any more.
    Done,
    /// No server can take over, or too few answer, so it should lead on.
    NoSuccessor,
}

impl<P: Adapter> Control<P> {
    /// Stops the servers and waits until no daemon can hold a primary lease for the old primary. Returns the servers
    /// that answered.
    pub(crate) async fn fence_old_primary(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<Vec<StoppedServer>, ChangeFailure> {
        if run.is_planned()
            && let Preparation::NoSuccessor = self.prepare_step_down(service, run, commands).await?
        {
            self.cancel_change(service, run.clone(), commands).await?;
            return Err(ChangeFailure::NoSuccessor);
        }
        let give_up_at = Instant::now() + FENCE_TIMEOUT;
        let mut term = Term(run.record.term + 1);
        loop {
            let entries = self.entries(service);
            let answered = self.stop_servers(service, run, term, commands).await;
            if has_chosen_taken_over(run, &answered) {
                // An order of an earlier attempt took effect meanwhile.
                return Ok(answered);
            }
            self.check_lease_to_resume(Instant::now())?;
            // A server ignores a pause for a term that it has already reached.
            let newest = answered.iter().map(|server| server.status.term).max();
            let has_stepped_down = has_stepped_down(&answered);
            if is_fenced(&answered, term, entries.len()) {
                self.log_step("fenced", service, run);
                self.await_daemon_stops(service, run, Some(Instant::now())).await?;
                if let Some(stopped) = self.confirm_fence(service, answered, term, commands).await {
                    self.log_step("stopped", service, run);
                    return Ok(stopped);
                }
                // A daemon may have gained a primary lease meanwhile.
                self.log_step("fence_broken", service, run);
            }
            if Instant::now() >= give_up_at {
                // A primary that has stepped down can't remain in place, so the change goes on with the next check.
                if run.chosen().is_none() && !has_stepped_down {
                    self.cancel_change(service, run.clone(), commands).await?;
                }
                return Err(ChangeFailure::NoMajority);
            }
            term = term.max(Term(newest.map_or(0, |newest| newest.0 + 1)));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the old primary of a planned change may be stepped down. It leads until the daemons have stopped, or
    /// nearly so, and the store has just answered, so that the group keeps a primary if the change can't continue.
    async fn prepare_step_down(
        &self,
        service: &Name,
        run: &ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<Preparation, ChangeFailure> {
        let servers = self.entries(service).len();
        let answered = self.query_servers(service, &run.record, commands).await;
        if !answered.iter().any(|server| server.is_old_primary && server.status.leads) {
            return Ok(Preparation::Done);
        }
        let can_take_over = answered.len() >= majority(servers)
            && self.succession(service, run).has_successor(&answered);
        if run.chosen().is_none() && !can_take_over {
            return Ok(Preparation::NoSuccessor);
        }
        self.await_daemon_stops(service, run, None).await?;
        self.confirm_promoter_lease().await?;
        Ok(Preparation::Done)
    }

    /// Steps the old primary down and pauses the replicas; returns the servers that answered.
    async fn stop_servers(
        &self,
        service: &Name,
        run: &ChangeRun,
        term: Term,
        commands: &mut Commands<'_, P>,
    ) -> Vec<StoppedServer> {
        let (old, replicas) = self.primary_and_replicas(service, &run.record);
        let primary = step_down(&old, term, commands).await;
        if let Some((_, status)) = primary.first() {
            // The old primary's last log entries may be acknowledged to callers, so a replica gets time to receive
            // them. The choice compares the logs, however the wait ends.
            let _: CatchUp = commands.await_catch_up(&replicas, status).await;
        }
        let chosen = run.chosen().map(|chosen| chosen.server);
        let paused = pause(&replicas, chosen.as_deref(), term, commands).await;
        let primary = primary.into_iter().map(|answer| stopped_server(answer, true));
        primary.chain(paused.into_iter().map(|answer| stopped_server(answer, false))).collect()
    }

    /// Returns the servers that are still stopped; `None` if the group is no longer fenced. The old primary alone is
    /// queried if it has stepped down, and it counts as stopped if it does not answer any more. Otherwise it may commit
    /// with any replica that is not paused, so the servers are returned as they are now.
    async fn confirm_fence(
        &self,
        service: &Name,
        answered: Vec<StoppedServer>,
        term: Term,
        commands: &mut Commands<'_, P>,
    ) -> Option<Vec<StoppedServer>> {
        let by_step_down = has_stepped_down(&answered);
        let queried = answered.iter().filter(|server| server.is_old_primary || !by_step_down);
        let entries = queried.filter_map(|server| self.entry_of(service, &server.server));
        let queries = entries.map(|entry| (entry, EndpointOperation::Status)).collect();
        let statuses = commands.send_all(queries).await;
        if by_step_down {
            return statuses.iter().all(|(_, status)| !status.leads).then_some(answered);
        }
        let is_old_primary = |entry: &ServerEntry| {
            answered.iter().any(|it| it.is_old_primary && *it.server == *entry.server)
        };
        let mut current: Vec<_> = statuses
            .into_iter()
            .map(|(entry, status)| {
                let is_old_primary = is_old_primary(&entry);
                stopped_server((entry, status), is_old_primary)
            })
            .collect();
        let is_still_fenced = is_fenced(&current, term, self.entries(service).len());
        current.retain(|server| server.is_stopped(term));
        is_still_fenced.then_some(current)
    }

    /// Waits until every daemon that may hold a primary lease has acknowledged the stop, or these leases have expired,
    /// and until no daemon can hold one on evidence from before `fenced_at`. With `None`, waits until the old primary of
    /// a planned change may be stepped down.
    ///
    /// Gives up shortly before an unrenewed promoter lease expires: until then no other daemon can have started a
    /// change, so the servers can be resumed and used on evidence. Otherwise the group would have no primary until the
    /// store answers again.
    async fn await_daemon_stops(
        &self,
        service: &Name,
        run: &ChangeRun,
        fenced_at: Option<Instant>,
    ) -> Result<(), ChangeFailure> {
        let bounds = PrimaryLeaseDurations {
            store: self.primary_lease_duration(),
            evidence: self.evidence_duration(),
        };
        loop {
            let progress = FencingProgress {
                recorded_at: run.recorded_at,
                fenced_at,
                all_acknowledged: self.all_acknowledged(service, run),
            };
            let complete_at = progress.complete_at(bounds).unwrap_or(progress.step_down_at(bounds));
            let now = Instant::now();
            if now >= complete_at {
                return Ok(());
            }
            self.check_lease_to_resume(now)?;
            let check_at = complete_at.min(now + LEASE_CHECK_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(check_at.into()) => {}
                () = self.mirror_changed.notified() => {}
            }
        }
    }

    /// Fails once too little of the promoter lease is left to continue a change.
    fn check_lease_to_resume(&self, now: Instant) -> Result<(), ChangeFailure> {
        if self.promoter_lease_left(now) < MIN_LEASE_TO_RESUME {
            let why = "the promoter lease could not be renewed".to_owned();
            return Err(ChangeFailure::Store(MetadataError::NotDone(why)));
        }
        Ok(())
    }

    /// Whether every daemon that may hold a primary lease has acknowledged the stop.
    pub(crate) fn all_acknowledged(&self, service: &Name, run: &ChangeRun) -> bool {
        let state = self.state.borrow();
        // A daemon that disappeared before this one watched the members may still hold a primary lease.
        let lease_duration = self.primary_lease_duration().mul_f64(1.1);
        let watched_long_enough = state
            .watching_since
            .is_some_and(|since| run.recorded_at.saturating_duration_since(since) > lease_duration);
        let may_hold = |member: &SeenMember| {
            run.recorded_at.checked_sub(lease_duration).is_none_or(|from| member.seen_at >= from)
        };
        watched_long_enough
            && state.members_seen.iter().filter(|(_, member)| may_hold(member)).all(|(host, _)| {
                let key = self.key(&format!("stopped/{service}/{host}"));
                state.mirror.get(&key).is_some_and(|item| item.value == run.id().as_bytes())
            })
    }

    /// Cancels a change before any promotion was ordered, so that the old primary remains in place.
    pub(crate) async fn cancel_change(
        &self,
        service: &Name,
        run: ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        commands
            .send_all(entries.into_iter().map(|entry| (entry, EndpointOperation::Resume)).collect())
            .await;
        let record = LeadershipRecord { change: None, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        self.log_step("called_off", service, &run);
        Ok(())
    }
}

/// Steps servers down; returns their answers.
async fn step_down<P: Adapter>(
    servers: &[Arc<ServerEntry>],
    term: Term,
    commands: &mut Commands<'_, P>,
) -> Vec<(Arc<ServerEntry>, EndpointStatus)> {
    let step_down = |entry| (entry, EndpointOperation::StepDown { term });
    commands.send_all(servers.iter().cloned().map(step_down).collect()).await
}

/// Pauses servers; returns their answers. A server that leads another term ignores a pause, so it is stepped down first,
/// unless it is the one whose promotion was ordered.
async fn pause<P: Adapter>(
    servers: &[Arc<ServerEntry>],
    chosen: Option<&str>,
    term: Term,
    commands: &mut Commands<'_, P>,
) -> Vec<(Arc<ServerEntry>, EndpointStatus)> {
    let pause = |entry| (entry, EndpointOperation::Pause { term });
    let answers = commands.send_all(servers.iter().cloned().map(pause).collect()).await;
    let (leading, mut paused): (Vec<_>, Vec<_>) =
        answers.into_iter().partition(|(entry, status)| {
            status.leads && chosen.is_none_or(|chosen| *entry.server != *chosen)
        });
    if leading.is_empty() {
        return paused;
    }
    let leading: Vec<_> = leading.into_iter().map(|(entry, _)| entry).collect();
    let stepped_down = step_down(&leading, term, commands).await;
    let stepped_down = stepped_down.into_iter().map(|(entry, _)| pause(entry)).collect();
    paused.extend(commands.send_all(stepped_down).await);
    paused
}

/// Whether the server whose promotion was ordered leads.
fn has_chosen_taken_over(run: &ChangeRun, answered: &[StoppedServer]) -> bool {
    run.chosen().is_some_and(|chosen| {
        answered.iter().any(|server| {
            server.server == chosen.server && has_taken_over(&run.record, &chosen, &server.status)
        })
    })
}

pub(crate) fn stopped_server(
    (entry, status): (Arc<ServerEntry>, EndpointStatus),
    is_old_primary: bool,
) -> StoppedServer {
    StoppedServer {
        server: entry.server.to_string(),
        status,
        leaving: entry.leaving,
        is_old_primary,
    }
}
