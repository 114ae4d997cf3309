//! Records the outcome of every write and compares it with the contents of the groups.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use model::Verdict;
use parking_lot::Mutex;
use serde::Serialize;

/// Identifies one write by group, caller and sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteId {
    /// The group.
    pub group: String,
    /// The caller.
    pub caller: usize,
    /// The caller's counter, which increases by one with each write.
    pub sequence: u64,
}

/// The outcome of a write as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was refused or abandoned with this verdict.
    Failed(Verdict),
}

/// A violated consistency guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// The observation that violates the guarantee.
    #[serde(rename = "seen")]
    pub observation: String,
}

#[derive(Default)]
struct GroupTerms {
    /// The times of the first and the last acknowledged write, by term.
    write_times: BTreeMap<u64, (Instant, Instant)>,
}

/// The write outcomes and the violations of one run.
#[derive(Default)]
pub struct Ledger {
    writes: Mutex<HashMap<WriteId, WriteOutcome>>,
    violations: Mutex<Vec<Violation>>,
    terms: Mutex<BTreeMap<String, GroupTerms>>,
}

/// Limit on the recorded violations; further ones are dropped.
const MAX_VIOLATIONS: usize = 100;

impl Ledger {
    /// Records the outcome of a write.
    pub fn record_write(&self, id: WriteId, outcome: WriteOutcome) {
        self.writes.lock().insert(id, outcome);
    }

    /// Records that a write was acknowledged in a term.
    pub fn record_term(&self, group: &str, term: u64, at: Instant) {
        let mut groups = self.terms.lock();
        let terms = groups.entry(group.to_owned()).or_default();
        let span = terms.write_times.entry(term).or_insert((at, at));
        span.0 = span.0.min(at);
        span.1 = span.1.max(at);
    }

    /// Records a violation.
    pub fn record_violation(&self, guarantee: &'static str, observation: String) {
        let mut violations = self.violations.lock();
        if violations.len() < MAX_VIOLATIONS {
            violations.push(Violation { guarantee, observation });
        }
    }

    /// Returns the failover gaps: the time from the last acknowledged write of a term to the first one of the next.
    pub fn failover_gaps(&self) -> Vec<(String, Duration)> {
        let groups = self.terms.lock();
        let mut gaps = Vec::new();
        for (group, terms) in groups.iter() {
            let spans: Vec<&(Instant, Instant)> = terms.write_times.values().collect();
            for pair in spans.windows(2) {
                gaps.push((group.clone(), pair[1].0.saturating_duration_since(pair[0].1)));
            }
        }
        gaps
    }

    /// Returns the number of writes by outcome.
    pub fn counts(&self) -> WriteCounts {
        let mut counts = WriteCounts::default();
        for outcome in self.writes.lock().values() {
            match outcome {
                WriteOutcome::Acknowledged => counts.acknowledged += 1,
                WriteOutcome::Failed(Verdict::NotRun) => counts.not_run += 1,
                WriteOutcome::Failed(Verdict::Ran) => counts.ran += 1,
                WriteOutcome::Failed(Verdict::MayHaveRun) => counts.may_have_run += 1,
            }
        }
        counts
    }

    /// Compares the contents of a group with the recorded outcomes. `row_counts` maps each write to its number of rows
    /// in the two tables that its transaction inserts into, `orders` and `holds`.
    pub fn verify_group(&self, group: &str, row_counts: &HashMap<WriteId, (u64, u64)>) {
        let writes = self.writes.lock().clone();
        for (id, outcome) in writes.iter().filter(|(id, _)| id.group == group) {
            let (orders, holds) = row_counts.get(id).copied().unwrap_or_default();
            if orders != holds {
                let observation = format!("{id:?}: {orders} orders but {holds} holds");
                self.record_violation("transactions never mix", observation);
            }
            match outcome {
                WriteOutcome::Acknowledged if orders == 0 => {
                    self.record_violation("no acknowledged write is lost", format!("{id:?}"));
                }
                WriteOutcome::Failed(Verdict::NotRun) if orders > 0 => {
                    self.record_violation("\"not run\" is true", format!("{id:?}"));
                }
                _ => {}
            }
            if orders > 1 {
                let observation = format!("{id:?}: {orders} times");
                self.record_violation("what may not be repeated runs at most once", observation);
            }
        }
        for id in row_counts.keys().filter(|id| !writes.contains_key(id)) {
            self.record_violation("no write without a request", format!("{id:?}"));
        }
    }

    /// Returns the recorded violations.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.lock().clone()
    }
}

/// The number of writes by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WriteCounts {
    /// Acknowledged.
    pub acknowledged: u64,
    /// Refused with the verdict "not run".
    pub not_run: u64,
    /// Failed with the verdict "ran".
    pub ran: u64,
    /// Failed with the verdict "may have run".
    pub may_have_run: u64,
}
