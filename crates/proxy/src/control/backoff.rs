//! Exponential backoff with jitter for failed calls to the store.

use std::time::Duration;

use rand::RngExt;

use crate::control::{adapter::Adapter, runner::Control};

/// The backoff after the first failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Multiplies the backoff of a daemon with an upstream, which retries as well and shares what it reads. Otherwise 295
/// daemons call a store that is away for five seconds 3,000 times.
const FOLLOWER_FACTOR: u32 = 4;
/// [`FOLLOWER_FACTOR`] while the upstream answers and would report the store's recovery immediately.
const INFORMED_FOLLOWER_FACTOR: u32 = 8;
/// How long after an answer the upstream counts as answering; slightly longer than it may hold a request.
const UPSTREAM_ANSWER_TTL: Duration = Duration::from_secs(1);

/// A delay that grows with each failure, with jitter so that daemons don't retry at the same time.
#[derive(Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(crate) async fn wait(&mut self) {
        let backoff = self.next();
        tokio::time::sleep(backoff).await;
    }

    /// Waits longer than [`Backoff::wait`], since the upstream reports the store's recovery if it answers.
    pub(crate) async fn wait_as_follower(&mut self, upstream_answers: bool) {
        let factor = if upstream_answers { INFORMED_FOLLOWER_FACTOR } else { FOLLOWER_FACTOR };
        let backoff = self.next() * factor;
        tokio::time::sleep(backoff).await;
    }

    fn next(&mut self) -> Duration {
        let longest = MIN_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        let part: f64 = rand::rng().random_range(0.5..1.0);
        longest.mul_f64(part)
    }
}

impl<P: Adapter> Control<P> {
    /// Whether this daemon's upstream has answered recently.
    pub(crate) fn does_upstream_answer(&self) -> bool {
        let upstream_progress = self.state.borrow().upstream_progress;
        upstream_progress
            .clock
            .is_some_and(|(_, answered_at)| answered_at.elapsed() < UPSTREAM_ANSWER_TTL)
    }

    /// Waits after a failed call until any daemon's store read shows that the store is back, or until the backoff ends.
    pub(crate) async fn await_store(&self, backoff: &mut Backoff) {
        let is_silent = || self.state.borrow().is_store_silent(self.store_silence_timeout());
        if self.upstream().is_none() {
            return backoff.wait().await;
        }
        if !is_silent() {
            // Other daemons reach the store, so a shared read does not show when this one can.
            return backoff.wait_as_follower(false).await;
        }
        let is_back = async {
            while is_silent() {
                self.updates_available.notified().await;
            }
        };
        tokio::select! {
            () = backoff.wait_as_follower(self.does_upstream_answer()) => {}
            () = is_back => backoff.reset(),
        }
    }
}
