//! Prometheus metrics.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// The metrics of a daemon, described in `docs/OPERATIONS.md`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome (`ok`, `error`, or the reason of a refusal).
    pub requests: IntCounterVec,
    /// Refusals by verdict and reason.
    pub refusals: IntCounterVec,
    /// Reads by service, kind and role of the server (`replica` or `primary`).
    pub reads: IntCounterVec,
    /// Reads sent to a second server, by service and cause.
    pub read_retries: IntCounterVec,
    /// Seconds from a request's arrival to the end of its response, by service and class.
    pub request_seconds: HistogramVec,
    /// Seconds that writes waited for evidence after the primary's response, by service.
    pub evidence_seconds: HistogramVec,
    /// Seconds of a promotion, by step.
    pub failover_seconds: HistogramVec,
    /// Promotions by result.
    pub promotions: IntCounterVec,
    /// Connected callers.
    pub callers: IntGauge,
    /// Open endpoint connections by group and server.
    pub endpoint_connections: IntGaugeVec,
    /// Requests waiting for a connection, by group.
    pub waiting: IntGaugeVec,
    /// The active configuration revision.
    pub revision: IntGauge,
    /// Requests relayed between daemons, by direction.
    pub relayed: IntCounterVec,
    /// Calls to the platform's store by kind.
    pub store_calls: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and a registry for them.
    ///
    /// # Panics
    /// Panics if the name of a metric is invalid or used twice.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("valid metric");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let seconds = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, labels).expect("valid metric");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        Metrics {
            requests: counter(
                "wardtiller_requests_total",
                "Requests by service and outcome.",
                &["service", "outcome"],
            ),
            refusals: counter(
                "wardtiller_refusals_total",
                "Refusals by verdict and reason.",
                &["verdict", "reason"],
            ),
            reads: counter(
                "wardtiller_reads_total",
                "Reads by service, kind and the server's role.",
                &["service", "kind", "served_by"],
            ),
            read_retries: counter(
                "wardtiller_read_retries_total",
                "Reads sent to a second server, by cause.",
                &["service", "cause"],
            ),
            request_seconds: seconds(
                "wardtiller_request_seconds",
                "Time from a request's entry to the end of its answer.",
                &["service", "class"],
            ),
            evidence_seconds: seconds(
                "wardtiller_evidence_seconds",
                "Time that writes waited for evidence after the primary's answer.",
                &["service"],
            ),
            failover_seconds: seconds(
                "wardtiller_failover_step_seconds",
                "Time of each step of a change of primary.",
                &["step"],
            ),
            promotions: counter(
                "wardtiller_promotions_total",
                "Changes of primary driven by this daemon, by ending.",
                &["ending"],
            ),
            callers: gauge("wardtiller_callers", "Callers connected now."),
            endpoint_connections: gauges(
                "wardtiller_endpoint_connections",
                "Endpoint connections open now.",
                &["group", "server"],
            ),
            waiting: gauges(
                "wardtiller_waiting_requests",
                "Requests that wait for a connection now.",
                &["group"],
            ),
            revision: gauge(
                "wardtiller_configuration_revision",
                "The configuration revision in force.",
            ),
            relayed: counter(
                "wardtiller_relayed_total",
                "Requests relayed between daemons, by direction.",
                &["direction"],
            ),
            store_calls: counter(
                "wardtiller_store_calls_total",
                "Calls to the platform's store, by kind.",
                &["kind"],
            ),
            registry,
        }
    }

    /// Renders every metric in Prometheus's text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding to memory can't fail, since the metrics were validated when they were registered.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Bounds of histogram buckets in seconds.
const SECONDS_BUCKETS: [f64; 16] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
    10.0,
];
