//! Relays jobs to an owner of their group, and runs jobs relayed by other daemons.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::Group;
use membership::Member;
use model::{LogPoint, Refusal, RefusalReason, Verdict};
use parking_lot::Mutex;
use peer::{Body, Job, PeerHandler, RelayAbandon, RelayCancel, RelayChunk, RelayEnd, Reply};
use telemetry::SpanContext;

use crate::{
    context::Context,
    control_messages::answer_control,
    endpoint_connection::AnswerSink,
    executor::{JobResult, PinnedConnection, RunningStatement, execute, group_of, point_message},
};

/// A session's transaction at another daemon.
#[derive(Clone)]
pub(crate) struct RelayPin {
    client: Arc<peer::PeerClient>,
    owner: u64,
    session_id: u64,
}

impl Drop for RelayPin {
    fn drop(&mut self) {
        let client = self.client.clone();
        let session_id = self.session_id;
        // The notification lets the owner roll back at once, rather than when the connection to this
        // daemon closes.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = client.notify(Body::Abandon(RelayAbandon { session_id })).await;
            });
        }
    }
}

/// Runs a job at one of the group's owners.
pub(crate) async fn relay<S: AnswerSink>(
    context: &Context,
    group: &Group,
    pin: &mut Option<Arc<RelayPin>>,
    relayed_to: &Mutex<Option<u64>>,
    job: &Job,
    sink: &mut S,
) -> Result<JobResult, Refusal> {
    context.metrics.relayed.with_label_values(&["sent"]).inc();
    if job.in_transaction {
        let Some(held) = pin.take() else { return Err(transaction_lost()) };
        *relayed_to.lock() = Some(held.owner);
        let (client, owner) = (held.client.clone(), held.owner);
        let result = relay_to(&client, job, sink).await.map_err(|failure| failure.refusal)?;
        keep_pin(pin, &client, owner, job, &result, Some(held));
        return Ok(result);
    }
    *pin = None;
    let started = Instant::now();
    let mut last_refusal = None;
    for owner in owners_by_preference(context, group, job.session_id) {
        if owner.key == context.key {
            continue;
        }
        *relayed_to.lock() = Some(owner.key);
        let client = match context.relay_peers.get(owner.peer_address).await {
            Ok(client) => client,
            Err(_) => {
                context.change_members(|members| members.suspect(owner.key, Instant::now()));
                last_refusal = Some(owner_unreachable(Verdict::NotRun));
                continue;
            }
        };
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let remaining_ms = job.remaining_ms.saturating_sub(elapsed_ms);
        let job = Job { remaining_ms, ..job.clone() };
        match relay_to(&client, &job, sink).await {
            Ok(result) => {
                keep_pin(pin, &client, owner.key, &job, &result, None);
                return Ok(result);
            }
            Err(failure) if failure.try_next && !sink.has_begun() => {
                context.change_members(|members| members.suspect(owner.key, Instant::now()));
                last_refusal = Some(failure.refusal);
            }
            Err(failure) => return Err(failure.refusal),
        }
    }
    Err(last_refusal.unwrap_or_else(|| owner_unreachable(Verdict::NotRun)))
}

fn keep_pin(
    pin: &mut Option<Arc<RelayPin>>,
    client: &Arc<peer::PeerClient>,
    owner: u64,
    job: &Job,
    result: &JobResult,
    held: Option<Arc<RelayPin>>,
) {
    if result.transaction == b'I' {
        return;
    }
    let session_id = job.session_id;
    *pin = held.or_else(|| Some(Arc::new(RelayPin { client: client.clone(), owner, session_id })));
}

fn transaction_lost() -> Refusal {
    Refusal::not_run(
        RefusalReason::AnswerLost,
        "the transaction's connection is gone, so the transaction was rolled back",
    )
}

fn owner_unreachable(verdict: Verdict) -> Refusal {
    Refusal {
        verdict,
        reason: RefusalReason::Unreachable,
        detail: "the daemon that owns the group can't be reached".to_owned(),
        retry_after_ms: (verdict == Verdict::NotRun).then_some(OWNER_RETRY_MS),
    }
}

/// Retry delay for a request that reaches no owner of its group.
const OWNER_RETRY_MS: u64 = 200;

/// Returns the owners, those of this availability zone first. Owners of equal preference are ordered
/// differently for each session, to spread the load.
fn owners_by_preference(context: &Context, group: &Group, session_id: u64) -> Vec<Member> {
    let owners = context.owners_of(group);
    let zone = &context.settings.daemon.availability_zone;
    let mut owners: Vec<Member> = owners.iter().cloned().collect();
    owners.sort_by_key(|owner| (owner.availability_zone != *zone, owner.key ^ session_id));
    owners
}

/// Why a relayed job was not answered.
struct RelayFailure {
    refusal: Refusal,
    /// Whether another owner may be tried, because nothing ran or only reads did.
    try_next: bool,
}

async fn relay_to<S: AnswerSink>(
    client: &Arc<peer::PeerClient>,
    job: &Job,
    sink: &mut S,
) -> Result<JobResult, RelayFailure> {
    let not_sent = || RelayFailure { refusal: owner_unreachable(Verdict::NotRun), try_next: true };
    let lost = || RelayFailure {
        refusal: owner_unreachable(Verdict::MayHaveRun),
        try_next: job.read_only && !job.in_transaction,
    };
    let mut answers = client.call(Body::Job(job.clone())).await.map_err(|_| not_sent())?;
    loop {
        match answers.next().await.map_err(|_| lost())? {
            Body::Chunk(chunk) => {
                if !sink.send(chunk.messages).await {
                    return Err(lost());
                }
            }
            Body::End(end) => return read_end(end),
            _ => return Err(lost()),
        }
    }
}

fn read_end(end: RelayEnd) -> Result<JobResult, RelayFailure> {
    if end.verdict.is_empty() {
        return Ok(JobResult {
            tail: end.messages,
            transaction: u8::try_from(end.transaction).unwrap_or(b'E'),
            write_point: end.write_point.map(|point| LogPoint::new(point.term, point.position)),
            served_by: end.served_by,
            by_replica: end.by_replica,
        });
    }
    let verdict = match end.verdict.as_str() {
        "not_run" => Verdict::NotRun,
        "ran" => Verdict::Ran,
        _ => Verdict::MayHaveRun,
    };
    let reason = RefusalReason::from_name(&end.reason).unwrap_or(RefusalReason::Unreachable);
    let refusal =
        Refusal { verdict, reason, detail: end.detail, retry_after_ms: end.retry_after_ms };
    let try_next = verdict == Verdict::NotRun && reason == RefusalReason::Stopping;
    Err(RelayFailure { refusal, try_next })
}

/// Requests the daemon that runs a session's statement to cancel it.
pub(crate) async fn relay_cancel(context: &Context, owner: u64, session_id: u64) {
    let address = context
        .members
        .load()
        .all()
        .iter()
        .find(|member| member.key == owner)
        .map(|member| member.peer_address);
    let Some(address) = address else { return };
    if let Ok(client) = context.relay_peers.get(address).await {
        // A cancellation has no answer, so a failure can't be reported.
        let _ = client.notify(Body::Cancel(RelayCancel { session_id })).await;
    }
}

/// A session of another daemon. Its jobs run one at a time.
#[derive(Default)]
struct RelaySession {
    pinned: tokio::sync::Mutex<Option<PinnedConnection>>,
    running: RunningStatement,
}

type SessionKey = (u64, u64);

/// Handles requests from other daemons.
pub(crate) struct RelayServer {
    context: Arc<Context>,
    sessions: Arc<Mutex<HashMap<SessionKey, Arc<RelaySession>>>>,
}

impl RelayServer {
    pub(crate) fn new(context: Arc<Context>) -> RelayServer {
        RelayServer { context, sessions: Arc::default() }
    }

    fn session(&self, key: SessionKey) -> Arc<RelaySession> {
        self.sessions.lock().entry(key).or_default().clone()
    }

    fn run_job(&self, job: Job, reply: Reply) {
        let context = self.context.clone();
        let key = (reply.connection_id(), job.session_id);
        let session = self.session(key);
        let sessions = self.sessions.clone();
        context.metrics.relayed.with_label_values(&["served"]).inc();
        tokio::spawn(async move {
            let end = serve_relayed_job(&context, &session, &job, &reply).await;
            // A session is only kept while it has an open transaction.
            if session.pinned.lock().await.is_none() {
                sessions.lock().remove(&key);
            }
            // If the requesting daemon has disconnected, `on_disconnect` ends its sessions.
            let _ = reply.send(Body::End(end)).await;
        });
    }
}

impl PeerHandler for RelayServer {
    fn on_request(&self, body: Body, reply: Reply) {
        match body {
            Body::Job(job) => self.run_job(job, reply),
            Body::Abandon(abandon) => {
                self.sessions.lock().remove(&(reply.connection_id(), abandon.session_id));
            }
            Body::Cancel(cancel) => {
                let sessions = self.sessions.lock();
                let session = sessions.get(&(reply.connection_id(), cancel.session_id));
                let key = session.and_then(|session| session.running.lock().clone());
                if let Some(key) = key {
                    tokio::spawn(key.cancel());
                }
            }
            other => {
                let context = self.context.clone();
                tokio::spawn(async move {
                    if let Some(answer) = answer_control(&context, other).await {
                        let _ = reply.send(answer).await;
                    }
                });
            }
        }
    }

    fn on_disconnect(&self, connection_id: u64) {
        self.sessions.lock().retain(|(connection, _), _| *connection != connection_id);
    }
}

/// Forwards the parts of an answer to the daemon that relayed the job.
struct ReplySink<'a> {
    reply: &'a Reply,
    begun: bool,
}

impl AnswerSink for ReplySink<'_> {
    async fn send(&mut self, messages: Bytes) -> bool {
        self.begun = true;
        self.reply.send(Body::Chunk(RelayChunk { messages })).await.is_ok()
    }

    fn has_begun(&self) -> bool {
        self.begun
    }
}

/// How long a relayed job may run beyond its deadline.
const RELAYED_JOB_GRACE: Duration = Duration::from_secs(60);

async fn serve_relayed_job(
    context: &Context,
    session: &RelaySession,
    job: &Job,
    reply: &Reply,
) -> RelayEnd {
    let parent = SpanContext::parse(&job.traceparent);
    let mut span = parent.map(|parent| context.tracer.start_child("owner", parent));
    let outcome = execute_relayed_job(context, session, job, reply).await;
    if let Some(mut span) = span.take() {
        span.set_attribute("wardtiller.group", format!("{}/{}", job.service, job.group));
        if let Ok(end) = &outcome {
            span.set_attribute("wardtiller.served_by", end.served_by.as_str());
        }
        context.tracer.finish(span);
    }
    match outcome {
        Ok(end) => RelayEnd {
            transaction: u32::from(end.transaction),
            write_point: end.write_point.map(point_message),
            served_by: end.served_by,
            by_replica: end.by_replica,
            messages: end.tail,
            ..RelayEnd::default()
        },
        Err(refusal) => RelayEnd {
            verdict: refusal.verdict.as_str().to_owned(),
            reason: refusal.reason.as_str().to_owned(),
            detail: refusal.detail,
            retry_after_ms: refusal.retry_after_ms,
            ..RelayEnd::default()
        },
    }
}

async fn execute_relayed_job(
    context: &Context,
    session: &RelaySession,
    job: &Job,
    reply: &Reply,
) -> Result<JobResult, Refusal> {
    if context.is_stopping() && !job.in_transaction {
        return Err(Refusal::not_run(RefusalReason::Stopping, "the daemon is stopping"));
    }
    let id = group_of(job);
    let group = context.group(&id).ok_or_else(|| {
        Refusal::not_run(RefusalReason::UnknownName, format!("there is no group {id}"))
            .retry_after(OWNER_RETRY_MS)
    })?;
    let mut pinned = session.pinned.lock().await;
    let mut sink = ReplySink { reply, begun: false };
    let timeout = Duration::from_millis(job.remaining_ms) + RELAYED_JOB_GRACE;
    let run = execute(context, &group, &mut pinned, &session.running, job, &mut sink);
    match tokio::time::timeout(timeout, run).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Refusal::may_have_run(
            RefusalReason::DeadlinePassed,
            "the request ran for too long at the group's owner",
        )),
    }
}
