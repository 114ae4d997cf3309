//! Runs one request of a session: selects the group, runs the job and records metrics.

use bytes::Bytes;
use config::{PlacementRequest, Service, UntrackedReads};
use model::{GroupId, Refusal, RefusalReason};
use peer::{Job, Setting};
use pgwire::messages::PgWireBackendMessage;
use telemetry::Span;
use wire::{CallerStream, StreamEnd, encode_refusal, refusal_response};

use crate::{
    caller_session::{AfterRequest, CallerSession},
    endpoint_connection::AnswerSink,
    executor::{JobResult, execute, point_message},
    relay::relay,
    request::{Request, RequestError},
};

impl CallerSession {
    pub(super) async fn run_request(
        &mut self,
        request: Request,
    ) -> Result<AfterRequest, StreamEnd> {
        let in_force = self.context.in_force.load_full();
        let Some(service) = in_force.configuration.services.get(&self.service_name).cloned() else {
            let message = format!("the service \"{}\" was taken out", self.service_name);
            self.fail(&RequestError::new("3D000", message));
            return Ok(AfterRequest::Continue);
        };
        let group = match self.select_group(&service) {
            Ok(group) => group,
            Err(error) => {
                self.fail(&error);
                return Ok(AfterRequest::Continue);
            }
        };
        let mut span = self.context.tracer.start_request("caller", request.traceparent.as_deref());
        let class = if request.effects.is_read_only() { "read" } else { "write" };
        let job = match self.job(request, &service, &group, span.as_ref()) {
            Ok(job) => job,
            Err(error) => {
                self.fail(&error);
                return Ok(AfterRequest::Continue);
            }
        };
        let outcome = self.run_job(&group, &job).await?;
        self.record_metrics(class, &job, &outcome);
        if let Some(mut span) = span.take() {
            span.set_attribute("wardtiller.group", group.to_string());
            span.set_attribute("wardtiller.class", class);
            if let Err(refusal) = &outcome {
                span.set_attribute("wardtiller.verdict", refusal.verdict.as_str());
            }
            self.context.tracer.finish(span);
        }
        Ok(match outcome {
            Ok(result) => self.accept(&group, &job, result),
            Err(refusal) => self.refuse(&job, &refusal).await,
        })
    }

    fn select_group(&self, service: &Service) -> Result<GroupId, RequestError> {
        let placement = PlacementRequest {
            group: self.group_name.as_deref(),
            user: &self.user,
            application_name: self.settings.get("application_name").unwrap_or_default(),
        };
        let group = service.group_for(placement).ok_or_else(|| {
            let known: Vec<&str> = service.groups.iter().map(|group| &**group).collect();
            RequestError::new(
                "22023",
                format!(
                    "the service \"{}\" has several groups and no rule places this session; set \
                     wardtiller.group to one of: {}",
                    service.name,
                    known.join(", ")
                ),
            )
        })?;
        Ok(GroupId { service: service.name.clone(), group: group.clone() })
    }

    fn job(
        &self,
        request: Request,
        service: &Service,
        group: &GroupId,
        span: Option<&Span>,
    ) -> Result<Job, RequestError> {
        let read_kind = request.read_kind.unwrap_or_else(|| self.read_kind.clone());
        self.check_read_kind(&read_kind)?;
        let in_transaction = self.transaction != b'I';
        let effects = request.effects;
        let settings = self
            .settings
            .iter()
            .map(|(name, value)| Setting { name: name.to_owned(), value: value.to_owned() });
        Ok(Job {
            session_id: self.id,
            service: group.service.to_string(),
            group: group.group.to_string(),
            user: self.user.to_string(),
            min_point: self.token.point(&group.group).map(point_message),
            tracked: self.tracked || service.options.untracked_reads == UntrackedReads::Connection,
            read_kind,
            read_only: effects.is_read_only(),
            may_commit: effects.commits || (effects.writes && !in_transaction),
            in_transaction,
            steps: request.steps,
            statements: request.statements,
            settings: settings.collect(),
            remaining_ms: service.options.request_deadline_ms,
            traceparent: span.map(|span| span.context.to_traceparent()).unwrap_or_default(),
            writes: effects.writes,
        })
    }

    /// Runs a job in this daemon or at an owner of the group.
    async fn run_job(
        &mut self,
        group: &GroupId,
        job: &Job,
    ) -> Result<Result<JobResult, Refusal>, StreamEnd> {
        let context = self.context.clone();
        let in_force = context.in_force.load_full();
        let Some(configured) = in_force.configuration.groups.get(group) else {
            let detail = format!("the group {group} was taken out");
            return Ok(Err(Refusal::not_run(RefusalReason::UnknownName, detail)));
        };
        let runs_here =
            if job.in_transaction { self.relay_pin.is_none() } else { context.owns(configured) };
        let mut sink = CallerSink { stream: &mut self.stream, begun: false };
        if runs_here {
            let Some(state) = context.group(group) else {
                let detail = format!("the group {group} was taken out");
                return Ok(Err(Refusal::not_run(RefusalReason::UnknownName, detail)));
            };
            let running = self.running.clone();
            let outcome =
                execute(&context, &state, &mut self.pinned, &running, job, &mut sink).await;
            return Ok(outcome);
        }
        let pin = &mut self.relay_pin;
        Ok(relay(&context, configured, pin, &self.relayed_to, job, &mut sink).await)
    }

    fn accept(&mut self, group: &GroupId, job: &Job, result: JobResult) -> AfterRequest {
        if let Some(write_point) = result.write_point {
            self.token.advance(&group.group, write_point);
            let token = self.token.to_string();
            self.add_status("wardtiller.session", token);
        }
        let role = if result.by_replica { "replica" } else { "primary" };
        self.served_by = format!("{} {role}", result.served_by);
        self.transaction = result.transaction;
        if self.transaction == b'I' {
            self.relay_pin = None;
        }
        let _ = job;
        self.stream.add_bytes(&result.tail);
        AfterRequest::Continue
    }

    /// Sends a refusal to the caller. It also ends an open transaction and its connection:
    /// statements that the caller has already sent must not run outside of the transaction.
    async fn refuse(&mut self, job: &Job, refusal: &Refusal) -> AfterRequest {
        self.served_by = format!("nobody: {}", refusal.reason.as_str());
        if !job.in_transaction {
            self.stream.add_bytes(&encode_refusal(refusal));
            return AfterRequest::Continue;
        }
        self.pinned = None;
        self.relay_pin = None;
        self.transaction = b'I';
        if job.may_commit {
            // The request would have ended the transaction, so no further statement belongs to it.
            self.stream.add_bytes(&encode_refusal(refusal));
            return AfterRequest::Continue;
        }
        let mut response = refusal_response(refusal);
        for field in &mut response.fields {
            if matches!(field.0, b'S' | b'V') {
                "FATAL".clone_into(&mut field.1);
            }
        }
        self.stream.add(&PgWireBackendMessage::ErrorResponse(response));
        // The caller may have disconnected, so a failure is ignored.
        let _ = self.stream.flush().await;
        AfterRequest::Close
    }

    fn record_metrics(&self, class: &str, job: &Job, outcome: &Result<JobResult, Refusal>) {
        let metrics = &self.context.metrics;
        let service = &*self.service_name;
        let seconds = self.received_at.elapsed().as_secs_f64();
        metrics.request_seconds.with_label_values(&[service, class]).observe(seconds);
        match outcome {
            Ok(result) => {
                metrics.requests.with_label_values(&[service, "ok"]).inc();
                if job.read_only && !job.in_transaction {
                    let kind = if job.read_kind.is_empty() { "none" } else { &job.read_kind };
                    let role = if result.by_replica { "replica" } else { "primary" };
                    metrics.reads.with_label_values(&[service, kind, role]).inc();
                }
            }
            Err(refusal) => {
                metrics.requests.with_label_values(&[service, refusal.reason.as_str()]).inc();
                let labels = [refusal.verdict.as_str(), refusal.reason.as_str()];
                metrics.refusals.with_label_values(&labels).inc();
            }
        }
    }
}

/// Forwards the parts of an answer to the caller.
struct CallerSink<'a> {
    stream: &'a mut CallerStream,
    begun: bool,
}

impl AnswerSink for CallerSink<'_> {
    async fn send(&mut self, messages: Bytes) -> bool {
        self.begun = true;
        self.stream.add_bytes(&messages);
        self.stream.flush().await.is_ok()
    }

    fn has_begun(&self) -> bool {
        self.begun
    }
}
