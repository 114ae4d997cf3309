//! Spans that are linked by W3C trace context.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt;

use crate::SpanSink;

/// The part of a W3C trace context that is sent from hop to hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanContext {
    /// The id of the trace.
    pub trace_id: u128,
    /// The id of the span.
    pub span_id: u64,
}

const VERSION: &str = "00";
const SAMPLED_FLAG: u8 = 1;

impl SpanContext {
    /// Parses a `traceparent` value; `None` if it is malformed or its sampled flag is not set.
    pub fn parse(traceparent: &str) -> Option<SpanContext> {
        let mut parts = traceparent.split('-');
        let version = parts.next()?;
        let (trace, span, flags) = (parts.next()?, parts.next()?, parts.next()?);
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace, 16).ok()?;
        let span_id = u64::from_str_radix(span, 16).ok()?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        let sampled = flags & SAMPLED_FLAG != 0;
        (sampled && trace_id != 0 && span_id != 0).then_some(SpanContext { trace_id, span_id })
    }

    /// Formats the `traceparent` value for the next hop, with the sampled flag set.
    pub fn to_traceparent(self) -> String {
        format!("{VERSION}-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

/// A running or finished span.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// The ids of the trace and the span.
    pub context: SpanContext,
    /// The id of the parent span; 0 for a root span.
    pub parent_span_id: u64,
    /// The name of the operation.
    pub name: &'static str,
    /// The start, in nanoseconds of Unix time.
    pub start_unix_ns: u64,
    /// The duration in nanoseconds; 0 until the span is finished.
    pub duration_ns: u64,
    /// Attributes as pairs of key and value.
    pub attributes: Vec<(&'static str, String)>,
    started: Instant,
}

impl Span {
    /// Adds an attribute.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<String>) {
        self.attributes.push((key, value.into()));
    }
}

/// Starts spans and sends finished ones to the exporter.
#[derive(Clone, Debug)]
pub struct Tracer {
    sink: SpanSink,
    sample_ratio: f64,
}

impl Tracer {
    /// Creates a tracer that samples `sample_ratio` (0 to 1) of the requests without a trace context.
    pub fn new(sink: SpanSink, sample_ratio: f64) -> Tracer {
        Tracer { sink, sample_ratio }
    }

    /// Starts a span for an incoming request; `None` if the request is not traced.
    pub fn start_request(&self, name: &'static str, traceparent: Option<&str>) -> Option<Span> {
        match traceparent.and_then(SpanContext::parse) {
            Some(parent) => Some(self.start_child(name, parent)),
            None if self.sample_ratio > 0.0 && rand::rng().random::<f64>() < self.sample_ratio => {
                let trace_id = rand::rng().random_range(1..u128::MAX);
                Some(self.start_child(name, SpanContext { trace_id, span_id: 0 }))
            }
            None => None,
        }
    }

    /// Starts a child span.
    pub fn start_child(&self, name: &'static str, parent: SpanContext) -> Span {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Span {
            context: SpanContext {
                trace_id: parent.trace_id,
                span_id: rand::rng().random_range(1..u64::MAX),
            },
            parent_span_id: parent.span_id,
            name,
            start_unix_ns: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            duration_ns: 0,
            attributes: Vec::new(),
            started: Instant::now(),
        }
    }

    /// Finishes a span and queues it for export; it is dropped if the queue is full.
    pub fn finish(&self, mut span: Span) {
        span.duration_ns = u64::try_from(span.started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.sink.offer(span);
    }
}
