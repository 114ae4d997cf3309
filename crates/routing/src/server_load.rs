//! A server's answering time as an average that forgets.

use std::sync::atomic::{AtomicU32, Ordering};

/// Each answer moves the average by one part in this many.
const WEIGHT: u32 = 8;

/// The average answering time of a server in microseconds, updated without a lock.
///
/// Two answers that arrive together may lose one update, which an average can bear.
#[derive(Debug, Default)]
pub struct LatencyAverage {
    average_us: AtomicU32,
}

impl LatencyAverage {
    /// Adds an answering time.
    pub fn add(&self, latency_us: u64) {
        let sample = u32::try_from(latency_us).unwrap_or(u32::MAX / WEIGHT);
        let sample = sample.min(u32::MAX / WEIGHT);
        let average = self.average_us.load(Ordering::Relaxed);
        let moved = match average {
            0 => sample,
            average => average - average / WEIGHT + sample / WEIGHT,
        };
        self.average_us.store(moved.max(1), Ordering::Relaxed);
    }

    /// Returns the average; 0 before the first answer, which makes an untried server attractive.
    pub fn get_us(&self) -> u32 {
        self.average_us.load(Ordering::Relaxed)
    }
}
