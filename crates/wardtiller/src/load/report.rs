//! The measurements of a run and their report.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::Serialize;

use super::ledger::{Violation, WriteCounts};

/// The highest latency that a histogram can record, in microseconds; longer ones are counted as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A class of requests with a latency histogram of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// A read with a read kind that accepts staleness.
    StaleRead,
    /// A read of the session's own writes.
    OwnRead,
    /// Any other read.
    FreshRead,
    /// A transaction that writes.
    Transaction,
    /// A single write.
    Write,
}

impl RequestClass {
    fn as_str(self) -> &'static str {
        match self {
            RequestClass::StaleRead => "stale read",
            RequestClass::OwnRead => "own read",
            RequestClass::FreshRead => "fresh read",
            RequestClass::Transaction => "transaction",
            RequestClass::Write => "write",
        }
    }
}

#[derive(Default)]
struct Counts {
    latencies: BTreeMap<RequestClass, Option<Histogram<u64>>>,
    refusals: BTreeMap<String, u64>,
    /// The number of sampled reads that a replica served and of all sampled reads, by read kind.
    sampled_reads: BTreeMap<String, (u64, u64)>,
}

/// Collects the measurements of all callers.
#[derive(Default)]
pub struct Measurements {
    counts: Mutex<Counts>,
}

impl Measurements {
    /// Adds the latency of a successful request.
    pub fn add_latency(&self, class: RequestClass, latency_us: u64) {
        let mut counts = self.counts.lock();
        let histogram = counts.latencies.entry(class).or_default().get_or_insert_with(|| {
            Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        });
        histogram.saturating_record(latency_us);
    }

    /// Adds a request that was refused or abandoned.
    pub fn add_refusal(&self, verdict: &str, reason: &str) {
        *self.counts.lock().refusals.entry(format!("{verdict} {reason}")).or_default() += 1;
    }

    /// Adds a sampled read of this kind and whether a replica served it.
    pub fn add_sampled_read(&self, kind: &str, by_replica: bool) {
        let mut counts = self.counts.lock();
        let (replica, all) = counts.sampled_reads.entry(kind.to_owned()).or_default();
        *replica += u64::from(by_replica);
        *all += 1;
    }

    /// Returns the latencies and rates by class, for a run of this many seconds.
    pub fn report(&self, seconds: f64) -> Vec<ClassReport> {
        let counts = self.counts.lock();
        let measured = counts.latencies.iter().filter_map(|(class, histogram)| {
            let histogram = histogram.as_ref()?;
            Some(ClassReport {
                class: class.as_str(),
                requests: histogram.len(),
                per_second: histogram.len() as f64 / seconds,
                p50_us: histogram.value_at_quantile(0.5),
                p90_us: histogram.value_at_quantile(0.9),
                p99_us: histogram.value_at_quantile(0.99),
                max_us: histogram.max(),
            })
        });
        measured.collect()
    }

    /// Returns the number of refusals by verdict and reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        self.counts.lock().refusals.clone()
    }

    /// Returns the share of sampled reads that replicas served, by read kind.
    pub fn replica_share(&self) -> BTreeMap<String, f64> {
        let counts = self.counts.lock();
        let shares = counts.sampled_reads.iter().filter(|(_, (_, all))| *all > 0);
        shares.map(|(kind, (replica, all))| (kind.clone(), *replica as f64 / *all as f64)).collect()
    }
}

/// The latencies of one request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: &'static str,
    /// The number of successful requests.
    pub requests: u64,
    /// Successful requests per second.
    pub per_second: f64,
    /// The median latency in microseconds.
    pub p50_us: u64,
    /// The 90th percentile of the latency in microseconds.
    pub p90_us: u64,
    /// The 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// The maximum latency in microseconds.
    pub max_us: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// The duration of the run in seconds.
    pub seconds: f64,
    /// The seed of every random choice.
    pub seed: u64,
    /// Latencies by class.
    pub classes: Vec<ClassReport>,
    /// The number of refusals by verdict and reason.
    pub refusals: BTreeMap<String, u64>,
    /// The share of sampled reads that replicas served, by read kind.
    pub replica_share: BTreeMap<String, f64>,
    /// The number of writes by outcome.
    pub writes: WriteCounts,
    /// The time from the last acknowledged write of a term to the first one of the next term, in milliseconds, with the
    /// group.
    pub failover_gaps_ms: Vec<(String, u64)>,
    /// The number of own reads that were compared with the session's writes.
    pub own_reads_checked: u64,
    /// The number of sessions that got a `write_lost` error because one of their writes was lost in a failover.
    #[serde(rename = "told_of_lost_writes")]
    pub sessions_with_lost_writes: u64,
    /// Violated consistency guarantees; empty in a correct run.
    pub violations: Vec<Violation>,
}

impl LoadReport {
    /// Formats the report as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:<12} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9}",
            "class", "requests", "per s", "p50 us", "p90 us", "p99 us", "max us"
        );
        for class in &self.classes {
            let _ = writeln!(
                text,
                "{:<12} {:>10} {:>10.0} {:>9} {:>9} {:>9} {:>9}",
                class.class,
                class.requests,
                class.per_second,
                class.p50_us,
                class.p90_us,
                class.p99_us,
                class.max_us
            );
        }
        let _ = writeln!(
            text,
            "writes: {} acknowledged, {} not run, {} of unknown effect, {} ran with an error",
            self.writes.acknowledged,
            self.writes.not_run,
            self.writes.may_have_run,
            self.writes.ran
        );
        for (refusal, count) in &self.refusals {
            let _ = writeln!(text, "refused: {refusal}: {count}");
        }
        for (kind, share) in &self.replica_share {
            let _ = writeln!(text, "reads served by replicas: {kind}: {:.1} %", share * 100.0);
        }
        for (group, gap_ms) in &self.failover_gaps_ms {
            let _ = writeln!(text, "failover gap: {group}: {gap_ms} ms");
        }
        let _ = writeln!(
            text,
            "checked: {} own reads, {} writes; sessions told of a lost write: {}",
            self.own_reads_checked,
            self.writes.acknowledged + self.writes.not_run,
            self.sessions_with_lost_writes
        );
        if self.violations.is_empty() {
            let _ = write!(text, "every promise held");
        }
        for violation in &self.violations {
            let _ = writeln!(text, "BROKEN: {}: {}", violation.guarantee, violation.observation);
        }
        text
    }
}
