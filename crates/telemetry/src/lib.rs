//! Logs, metrics and traces.
//!
//! Logs are JSON lines, and metrics use Prometheus's text format. Each hop of a traced request is a span,
//! and W3C trace context links the spans. `docs/OPERATIONS.md` lists the metrics and what to watch.

mod bounded_log;
mod explain;
mod exporter;
mod logging;
mod metrics;
mod trace;

pub use bounded_log::{flush_logs, init_bounded_logging};
pub use explain::explain;
pub use exporter::{SpanExporter, SpanSink};
pub use logging::init_logging;
pub use metrics::Metrics;
pub use trace::{Span, SpanContext, Tracer};
