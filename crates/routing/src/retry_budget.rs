//! Keeps retries a fraction of requests, so that they can't multiply an overload.

/// Tokens saved up at most, so that a short burst of failures can be retried after a calm time.
const MOST_SAVED: u32 = 10;

/// Tokens are counted in hundredths, since each request adds a percentage of one.
const TOKEN: u32 = 100;

/// A count of retries that are allowed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    saved: u32,
}

impl RetryBudget {
    /// Allows `percent` retries for each 100 requests, after a small initial allowance.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { percent, saved: if percent == 0 { 0 } else { MOST_SAVED * TOKEN } }
    }

    /// Changes the percentage; what was saved stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a request.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + self.percent).min(MOST_SAVED * TOKEN);
    }

    /// Takes a retry out of the budget; `false` when it is spent.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < TOKEN {
            return false;
        }
        self.saved -= TOKEN;
        true
    }
}
