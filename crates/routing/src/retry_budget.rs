//! Limits retries to a fraction of the requests, so that they don't amplify an overload.

/// The maximum number of saved tokens, which allows the retries of a short burst of failures.
const MAX_TOKENS: u32 = 10;

/// The token of one retry, in hundredths, since each request adds a percentage of a token.
const TOKEN_HUNDREDTHS: u32 = 100;

/// A token bucket that each request fills by a percentage and each retry empties by one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    saved_hundredths: u32,
}

impl RetryBudget {
    /// Creates a full bucket that allows `percent` retries for each 100 requests; empty if `percent` is 0.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            percent,
            saved_hundredths: if percent == 0 { 0 } else { MAX_TOKENS * TOKEN_HUNDREDTHS },
        }
    }

    /// Changes the percentage; saved tokens are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a request.
    pub fn on_request(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + self.percent).min(MAX_TOKENS * TOKEN_HUNDREDTHS);
    }

    /// Takes the token of a retry; returns `false` if there is none.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_hundredths < TOKEN_HUNDREDTHS {
            return false;
        }
        self.saved_hundredths -= TOKEN_HUNDREDTHS;
        true
    }
}
