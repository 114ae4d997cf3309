//! Errors that are returned to callers, with their reason and verdict.
//!
//! `docs/REFUSALS.md` documents the mapping to SQLSTATE for callers; a test compares the two.

use std::fmt;

/// Whether a failed request may have taken effect.
///
/// Only the daemon that sends a request to the endpoint knows this, so the verdict is forwarded with
/// every error on every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No endpoint ran any part of the request. It can be retried safely.
    NotRun,
    /// An endpoint ran the request, and the result (success or error) is known.
    Ran,
    /// The request was sent to an endpoint and its effect is unknown. A retry may apply it twice.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name used in logs, metrics and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::Ran => "ran",
            Verdict::MayHaveRun => "may_have_run",
        }
    }

    /// Returns the verdict for a request whose parts have these two verdicts.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

/// Why a request was refused or abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The queue for the group's connections is full.
    Overloaded,
    /// The request's deadline passed before a connection was available.
    DeadlinePassed,
    /// No server currently accepts writes; a promotion may be in progress.
    NoPrimary,
    /// No reachable server has the data that the session must see.
    NoFreshServer,
    /// The group or its owners can't be reached.
    Unreachable,
    /// An acknowledged write of the session was lost in a promotion.
    WriteLost,
    /// The session token is malformed.
    BadToken,
    /// The request needs a feature that pooled connections don't support.
    Unsupported,
    /// The request names a service, group, kind or setting that is not configured.
    UnknownName,
    /// The caller has no permission for the request.
    Forbidden,
    /// The daemon is stopping and accepts no new work.
    Stopping,
    /// The connection to the endpoint was lost before its answer arrived.
    AnswerLost,
    /// The write ran, but no second server confirmed it in time.
    NoEvidence,
    /// The primary was replaced while the write ran.
    Deposed,
    /// The endpoint's answer exceeded the limit for held answers.
    AnswerTooLarge,
}

impl RefusalReason {
    /// Every reason, in the order of `docs/REFUSALS.md`.
    pub const ALL: [RefusalReason; 15] = [
        RefusalReason::Overloaded,
        RefusalReason::DeadlinePassed,
        RefusalReason::NoPrimary,
        RefusalReason::NoFreshServer,
        RefusalReason::Unreachable,
        RefusalReason::WriteLost,
        RefusalReason::BadToken,
        RefusalReason::Unsupported,
        RefusalReason::UnknownName,
        RefusalReason::Forbidden,
        RefusalReason::Stopping,
        RefusalReason::AnswerLost,
        RefusalReason::NoEvidence,
        RefusalReason::Deposed,
        RefusalReason::AnswerTooLarge,
    ];

    /// Returns the name used in logs, metrics and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::NoPrimary => "no_primary",
            RefusalReason::NoFreshServer => "no_fresh_server",
            RefusalReason::Unreachable => "unreachable",
            RefusalReason::WriteLost => "write_lost",
            RefusalReason::BadToken => "bad_token",
            RefusalReason::Unsupported => "unsupported",
            RefusalReason::UnknownName => "unknown_name",
            RefusalReason::Forbidden => "forbidden",
            RefusalReason::Stopping => "stopping",
            RefusalReason::AnswerLost => "answer_lost",
            RefusalReason::NoEvidence => "no_evidence",
            RefusalReason::Deposed => "deposed",
            RefusalReason::AnswerTooLarge => "answer_too_large",
        }
    }

    /// Returns the reason with this name, as given by [`RefusalReason::as_str`].
    pub fn from_name(name: &str) -> Option<RefusalReason> {
        RefusalReason::ALL.into_iter().find(|reason| reason.as_str() == name)
    }

    /// Returns the SQLSTATE under which a refusal with this reason and verdict is sent.
    ///
    /// A verdict of [`Verdict::MayHaveRun`] always maps to `08007` (transaction resolution
    /// unknown), so that the code alone tells a caller that a retry is not safe.
    pub fn sqlstate(self, verdict: Verdict) -> &'static str {
        if verdict == Verdict::MayHaveRun {
            return "08007";
        }
        match self {
            RefusalReason::Overloaded | RefusalReason::DeadlinePassed => "53300",
            RefusalReason::NoPrimary | RefusalReason::Deposed => "25006",
            RefusalReason::NoFreshServer | RefusalReason::WriteLost => "72000",
            RefusalReason::Unreachable => "08001",
            RefusalReason::BadToken => "22023",
            RefusalReason::Unsupported => "0A000",
            RefusalReason::UnknownName => "3D000",
            RefusalReason::Forbidden => "42501",
            RefusalReason::Stopping => "57P01",
            RefusalReason::AnswerLost | RefusalReason::NoEvidence => "08006",
            RefusalReason::AnswerTooLarge => "54000",
        }
    }
}

/// An error returned to a caller, with the verdict on its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused or abandoned.
    pub reason: RefusalReason,
    /// One sentence for a person who reads the caller's log.
    pub detail: String,
    /// When a retry may succeed, in milliseconds from now; `None` if a retry won't help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request of which no part ran.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, reason, detail: detail.into(), retry_after_ms: None }
    }

    /// Creates a refusal of a request whose effect is unknown.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the refusal with a time after which the caller may retry, in milliseconds from now.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Refusal {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the SQLSTATE of this refusal.
    pub fn sqlstate(&self) -> &'static str {
        self.reason.sqlstate(self.verdict)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason.as_str(), self.verdict.as_str(), self.detail)
    }
}

impl std::error::Error for Refusal {}
