//! Spans joined by the W3C trace context.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt;

use crate::SpanSink;

/// The place of a request in a trace, as it travels between hops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanContext {
    /// The trace.
    pub trace_id: u128,
    /// The span of the sending hop.
    pub span_id: u64,
}

const VERSION: &str = "00";
const SAMPLED_FLAG: u8 = 1;

impl SpanContext {
    /// Reads a `traceparent` value; `None` when it is malformed or asks not to be traced.
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

    /// Writes the `traceparent` value for the next hop.
    pub fn to_traceparent(self) -> String {
        format!("{VERSION}-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }
}

/// A finished or running part of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Its own place.
    pub context: SpanContext,
    /// The span of the hop before; 0 for the first.
    pub parent_span_id: u64,
    /// What was done.
    pub name: &'static str,
    /// When it began, in nanoseconds of Unix time.
    pub start_unix_ns: u64,
    /// How long it took.
    pub duration_ns: u64,
    /// Facts about it.
    pub attributes: Vec<(&'static str, String)>,
    started: Instant,
}

impl Span {
    /// Adds a fact.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<String>) {
        self.attributes.push((key, value.into()));
    }
}

/// Starts spans for the requests that are traced.
#[derive(Clone, Debug)]
pub struct Tracer {
    sink: SpanSink,
    sample: f64,
}

impl Tracer {
    /// Traces `sample` (0 to 1) of the requests that bring no trace context of their own.
    pub fn new(sink: SpanSink, sample: f64) -> Tracer {
        Tracer { sink, sample }
    }

    /// Starts the span of an entering request; `None` when it is not traced.
    pub fn start_request(&self, name: &'static str, traceparent: Option<&str>) -> Option<Span> {
        match traceparent.and_then(SpanContext::parse) {
            Some(parent) => Some(self.start_child(name, parent)),
            None if self.sample > 0.0 && rand::rng().random::<f64>() < self.sample => {
                let trace_id = rand::rng().random_range(1..u128::MAX);
                Some(self.start_child(name, SpanContext { trace_id, span_id: 0 }))
            }
            None => None,
        }
    }

    /// Starts a span beneath another.
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

    /// Ends a span and hands it to the exporter; a full exporter loses it rather than waits.
    pub fn finish(&self, mut span: Span) {
        span.duration_ns = u64::try_from(span.started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.sink.offer(span);
    }
}
