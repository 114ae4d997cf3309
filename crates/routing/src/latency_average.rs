//! An exponential moving average of a server's response time.

use std::sync::atomic::{AtomicU32, Ordering};

/// The weight of a new sample is one divided by this.
const SMOOTHING: u32 = 8;

/// The average response time of a server in microseconds, updated without a lock.
///
/// A concurrent update may be lost, which has little effect on the average.
#[derive(Debug, Default)]
pub struct LatencyAverage {
    average_us: AtomicU32,
}

impl LatencyAverage {
    /// Adds a response time, in microseconds.
    pub fn add(&self, latency_us: u64) {
        let sample = u32::try_from(latency_us).unwrap_or(u32::MAX / SMOOTHING);
        let sample = sample.min(u32::MAX / SMOOTHING);
        let average = self.average_us.load(Ordering::Relaxed);
        let updated = match average {
            0 => sample,
            average => average - average / SMOOTHING + sample / SMOOTHING,
        };
        self.average_us.store(updated.max(1), Ordering::Relaxed);
    }

    /// Returns the average in microseconds; 0 before the first response, to favor an unused server.
    pub fn get_us(&self) -> u32 {
        self.average_us.load(Ordering::Relaxed)
    }
}
