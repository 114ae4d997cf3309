//! Exports finished spans to an OTLP/HTTP collector or to the log.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::Span;

/// Capacity of the queue to the exporter.
const QUEUE_SPANS: usize = 4_096;

/// Maximum number of spans in one export request.
const MAX_BATCH_SPANS: usize = 256;

/// How long the first span of a batch waits for more spans.
const BATCH_WAIT: Duration = Duration::from_millis(500);

/// Timeout of one export request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The sending half of the queue to a [`SpanExporter`].
#[derive(Clone, Debug)]
pub struct SpanSink {
    queue: flume::Sender<Span>,
}

impl SpanSink {
    /// Queues a span, or drops it if the queue is full, so that tracing never delays a request.
    pub fn offer(&self, span: Span) {
        let _ = self.queue.try_send(span);
    }
}

/// Exports spans in batches; [`SpanExporter::run`] blocks and needs its own thread.
#[derive(Debug)]
pub struct SpanExporter {
    queue: flume::Receiver<Span>,
    collector: Option<SocketAddr>,
    host: String,
}

impl SpanExporter {
    /// Creates an exporter and its sink. Without a collector, spans go to the log.
    pub fn new(collector: Option<SocketAddr>, host: impl Into<String>) -> (SpanExporter, SpanSink) {
        let (sender, queue) = flume::bounded(QUEUE_SPANS);
        (SpanExporter { queue, collector, host: host.into() }, SpanSink { queue: sender })
    }

    /// Exports spans until every sink is dropped.
    pub fn run(self) {
        let agent =
            ureq::Agent::config_builder().timeout_global(Some(EXPORT_TIMEOUT)).build().new_agent();
        while let Ok(first) = self.queue.recv() {
            let batch = self.collect(first);
            match self.collector {
                Some(collector) => self.send(&agent, collector, &batch),
                None => write_to_log(&batch),
            }
        }
    }

    fn collect(&self, first: Span) -> Vec<Span> {
        let mut batch = vec![first];
        let deadline = Instant::now() + BATCH_WAIT;
        while batch.len() < MAX_BATCH_SPANS {
            match self.queue.recv_deadline(deadline) {
                Ok(span) => batch.push(span),
                Err(_) => break,
            }
        }
        batch
    }

    fn send(&self, agent: &ureq::Agent, collector: SocketAddr, batch: &[Span]) {
        let body = otlp_request(&self.host, batch);
        let sent = agent.post(format!("http://{collector}/v1/traces")).send_json(&body);
        if let Err(error) = sent {
            let lost = batch.len();
            log::warn!(lost, error = error.to_string().as_str(); "can't export spans; they are dropped");
        }
    }
}

/// Builds the JSON body of an OTLP/HTTP export request.
fn otlp_request(host: &str, batch: &[Span]) -> Value {
    let spans: Vec<Value> = batch.iter().map(otlp_span).collect();
    json!({"resourceSpans": [{
        "resource": {"attributes": [
            {"key": "service.name", "value": {"stringValue": "wardtiller"}},
            {"key": "host.name", "value": {"stringValue": host}},
        ]},
        "scopeSpans": [{"scope": {"name": "wardtiller"}, "spans": spans}],
    }]})
}

/// The OTLP value of `SPAN_KIND_SERVER`.
const SPAN_KIND_SERVER: u8 = 2;

fn otlp_span(span: &Span) -> Value {
    let attributes: Vec<Value> = span
        .attributes
        .iter()
        .map(|(key, value)| json!({"key": key, "value": {"stringValue": value}}))
        .collect();
    json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "parentSpanId": parent_id(span),
        "name": span.name,
        "kind": SPAN_KIND_SERVER,
        "startTimeUnixNano": span.start_unix_ns.to_string(),
        "endTimeUnixNano": span.start_unix_ns.saturating_add(span.duration_ns).to_string(),
        "attributes": attributes,
    })
}

fn parent_id(span: &Span) -> String {
    match span.parent_span_id {
        0 => String::new(),
        parent => format!("{parent:016x}"),
    }
}

fn write_to_log(batch: &[Span]) {
    for span in batch {
        let attributes: serde_json::Map<String, Value> =
            span.attributes.iter().map(|(key, value)| ((*key).to_owned(), json!(value))).collect();
        log::info!(
            target: "wardtiller::span",
            trace_id = format!("{:032x}", span.context.trace_id).as_str(),
            span_id = format!("{:016x}", span.context.span_id).as_str(),
            parent_span_id = parent_id(span).as_str(),
            duration_us = span.duration_ns / 1_000,
            attributes = Value::Object(attributes).to_string().as_str();
            "{}", span.name
        );
    }
}
