//! The metrics of a daemon in Prometheus's format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The metrics of a daemon; `docs/OPERATIONS.md` lists them.
#[derive(Clone)]
pub struct ProxyMetrics {
    registry: Registry,
    /// Statements, by the route's read rule and outcome.
    pub statements: IntCounterVec,
    /// The duration of statements in seconds, by the route's read rule.
    pub statement_seconds: HistogramVec,
    /// Statements sent to servers, by the server's role and whether it is in the same zone.
    pub statements_sent: IntCounterVec,
    /// Attempts to open connections to servers, by outcome.
    pub connections_opened: IntCounterVec,
    /// Statements offered to an owner's queue, by rank and outcome.
    pub statements_queued: IntCounterVec,
    /// Calls to the metadata store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Steps of changes of primary, by step.
    pub promotion_steps: IntCounterVec,
    /// Answers of primaries that contradict the primary lease under which the statement was sent. Any such answer is a
    /// fault.
    pub contradictions: IntCounterVec,
    /// Operations refused for their client account, by reason: its limit or an unknown key.
    pub refusals: IntCounterVec,
    /// State changes of circuit breakers, by the hop that they watch and the new state.
    pub circuit_changes: IntCounterVec,
    /// Statements that found no usable primary, by the kind of outage and whether they were released or refused.
    pub statements_held: IntCounterVec,
    /// Retries that an account's retry budget did not allow, by the cause of the failed attempt.
    pub attempts_denied: IntCounterVec,
    /// Detected restores of the store and the actions that followed, by kind.
    pub store_restores: IntCounterVec,
    /// Current values, by what is measured, such as the number of members.
    pub gauges: IntGaugeVec,
}

/// The upper bounds of the histogram's buckets, in seconds.
const STATEMENT_SECONDS_BUCKETS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

impl ProxyMetrics {
    /// Creates and registers every metric.
    pub fn new() -> ProxyMetrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("names of metrics are constants that a test checks");
            registry.register(Box::new(counter.clone())).expect("each metric is registered once");
            counter
        };
        let statements = counter(
            "wardtiller_proxy_statements_total",
            "Statements of callers, by kind of route and outcome.",
            &["reads", "outcome"],
        );
        let statements_sent = counter(
            "wardtiller_proxy_sent_total",
            "Statements sent to servers, by role and zone.",
            &["role", "zone"],
        );
        let connections_opened = counter(
            "wardtiller_proxy_connections_opened_total",
            "Connections opened to servers, by outcome.",
            &["outcome"],
        );
        let statements_queued = counter(
            "wardtiller_proxy_queued_total",
            "Statements offered to the queue of a server, by rank and outcome.",
            &["rank", "outcome"],
        );
        let store_calls = counter(
            "wardtiller_proxy_store_calls_total",
            "Calls to the metadata store, by kind and outcome.",
            &["kind", "outcome"],
        );
        let promotion_steps = counter(
            "wardtiller_proxy_promotion_steps_total",
            "Steps of changes of primary carried out by this daemon.",
            &["step"],
        );
        let contradictions = counter(
            "wardtiller_proxy_contradictions_total",
            "Answers of primaries that contradict the right that they were used by.",
            &["how"],
        );
        let refusals = counter(
            "wardtiller_proxy_refused_total",
            "Operations refused for their client account, by reason.",
            &["why"],
        );
        let circuit_changes = counter(
            "wardtiller_proxy_circuits_total",
            "Changes of the circuits of paths to servers, by hop and new state.",
            &["hop", "state"],
        );
        let statements_held = counter(
            "wardtiller_proxy_held_total",
            "Statements that found no primary to use, by reason and end.",
            &["outage", "end"],
        );
        let attempts_denied = counter(
            "wardtiller_proxy_tries_denied_total",
            "Attempts that were not made so that they take no room from others, by cause.",
            &["cause"],
        );
        let store_restores = counter(
            "wardtiller_proxy_restores_total",
            "Restores of the metadata store that were seen, and what was put back, confirmed or given up after them.",
            &["what"],
        );
        let statement_seconds = HistogramVec::new(
            HistogramOpts::new(
                "wardtiller_proxy_statement_seconds",
                "From the arrival of a statement to its answer, by kind of route.",
            )
            .buckets(STATEMENT_SECONDS_BUCKETS.to_vec()),
            &["reads"],
        )
        .expect("names of metrics are constants that a test checks");
        registry
            .register(Box::new(statement_seconds.clone()))
            .expect("each metric is registered once");
        let gauges = IntGaugeVec::new(
            Opts::new("wardtiller_proxy_now", "Numbers as they are now, by what is counted."),
            &["what"],
        )
        .expect("names of metrics are constants that a test checks");
        registry.register(Box::new(gauges.clone())).expect("each metric is registered once");
        ProxyMetrics {
            registry,
            statements,
            statement_seconds,
            statements_sent,
            connections_opened,
            statements_queued,
            store_calls,
            promotion_steps,
            contradictions,
            refusals,
            circuit_changes,
            statements_held,
            attempts_denied,
            store_restores,
            gauges,
        }
    }

    /// Writes every metric in Prometheus's text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Writing into memory can't fail, and every metric was validated when it was registered.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

impl Default for ProxyMetrics {
    fn default() -> ProxyMetrics {
        ProxyMetrics::new()
    }
}
