//! Bounds on the age of a replica's data, without synchronized clocks.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::LogPoint;

/// Samples of the primary's position, each with the time at which it was requested.
///
/// A server that has reached a sample has everything that was acknowledged before the sample was
/// requested, so its data is at most as old as the sample. All times are of this process's monotonic
/// clock. A sample may be added only if a second server confirmed the primary's term afterwards.
#[derive(Clone, Debug)]
pub struct StalenessSamples {
    samples: VecDeque<Sample>,
    capacity: usize,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    requested_at: Instant,
    point: LogPoint,
}

impl StalenessSamples {
    /// Creates an empty collection for at most `capacity` samples, and at least one.
    pub fn new(capacity: usize) -> StalenessSamples {
        StalenessSamples { samples: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Adds a sample, unless it is not newer than the last one or is of an earlier point.
    pub fn add(&mut self, requested_at: Instant, point: LogPoint) {
        if let Some(last) = self.samples.back()
            && (requested_at <= last.requested_at || point < last.point)
        {
            return;
        }
        self.samples.push_back(Sample { requested_at, point });
        self.thin_out();
    }

    /// Returns the point of the latest sample.
    pub fn latest(&self) -> Option<LogPoint> {
        self.samples.back().map(|sample| sample.point)
    }

    /// Returns the latest sample: the time at which it was requested, and the point.
    pub fn latest_sample(&self) -> Option<(Instant, LogPoint)> {
        self.samples.back().map(|sample| (sample.requested_at, sample.point))
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Removes every other sample of the older half when full.
    fn thin_out(&mut self) {
        if self.samples.len() <= self.capacity {
            return;
        }
        let older_half = self.samples.len() / 2;
        let mut index = 0;
        self.samples.retain(|_| {
            index += 1;
            index > older_half || index % 2 == 0
        });
    }

    /// Returns the point that a server must have reached for its data to be at most `bound` old.
    ///
    /// `None` means that no sample is recent enough, for example when the primary has been unreachable
    /// for longer than the bound.
    pub fn point_for(&self, bound: Duration, now: Instant) -> Option<LogPoint> {
        let oldest = now.checked_sub(bound);
        let recent = self
            .samples
            .iter()
            .find(|sample| oldest.is_none_or(|oldest| sample.requested_at >= oldest));
        recent.map(|sample| sample.point)
    }

    /// Returns the maximum age of a server's data at `point`; `None` if it has reached no sample.
    pub fn age_of(&self, point: LogPoint, now: Instant) -> Option<Duration> {
        let reached = self.samples.iter().rev().find(|sample| sample.point <= point);
        reached.map(|sample| now.saturating_duration_since(sample.requested_at))
    }
}
