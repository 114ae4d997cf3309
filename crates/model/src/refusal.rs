//! What a caller is told when a request does not succeed.
//!
//! The mapping to SQLSTATE is documented for callers in `docs/REFUSALS.md`; a test compares the two.

use std::fmt;

/// Whether the request that an error answers may have taken effect.
///
/// It travels with every error over every hop, because only the place where the bytes left for the
/// endpoint can know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No endpoint ran any part of the request. Sending it again is safe.
    NotRun,
    /// An endpoint ran the request and its answer, good or bad, is known.
    Ran,
    /// The request reached an endpoint and its effect is unknown. Sending it again may double it.
    MayHaveRun,
}

impl Verdict {
    /// Returns the word used in logs, metrics and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::Ran => "ran",
            Verdict::MayHaveRun => "may_have_run",
        }
    }

    /// Returns the verdict for a request of which a part has the one and another part the other.
    pub fn worse(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The queue for the group's connections is full.
    Overloaded,
    /// The request's deadline passed before a connection was free.
    DeadlinePassed,
    /// No server can take writes at present; a promotion may be under way.
    NoPrimary,
    /// No server within reach can show what the session has to see.
    NoFreshServer,
    /// The group or its owners can't be reached.
    Unreachable,
    /// A write that the session saw acknowledged did not survive a promotion.
    WriteLost,
    /// The session token can't be read.
    BadToken,
    /// The caller asks for something that pooled connections can't carry.
    Unsupported,
    /// The caller named a service, group, kind or setting that is not configured.
    UnknownName,
    /// The caller may not do this.
    Forbidden,
    /// The daemon is stopping and takes no new work.
    Stopping,
    /// The endpoint's connection was lost while an answer was due.
    AnswerLost,
    /// The write ran, but no second server confirmed it in time.
    NoEvidence,
    /// The primary was replaced while the write ran.
    Deposed,
    /// The endpoint's answer was larger than may be held back.
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

    /// Returns the word used in logs, metrics and messages.
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

    /// Finds a reason by its word.
    pub fn from_word(word: &str) -> Option<RefusalReason> {
        RefusalReason::ALL.into_iter().find(|reason| reason.as_str() == word)
    }

    /// Returns the SQLSTATE under which a refusal with this reason and verdict is sent.
    ///
    /// A verdict of [`Verdict::MayHaveRun`] always maps to `08007` (transaction resolution
    /// unknown), so that a caller can tell by the code alone that it must not repeat blindly.
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

/// An error for a caller, with the verdict on its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused or given up.
    pub reason: RefusalReason,
    /// One sentence for the person who reads the caller's log.
    pub detail: String,
    /// When asking again may help, in milliseconds from now; `None` where it will not.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which no part ran.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, reason, detail: detail.into(), retry_after_ms: None }
    }

    /// The end of a request whose effect is unknown.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Tells the caller when to ask again.
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
