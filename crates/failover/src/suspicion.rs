//! When a primary is taken to have failed.

use std::time::Duration;

/// The times that decide.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionRules {
    /// How long the primary must be out of reach.
    pub suspect_after: Duration,
}

/// What this daemon sees of the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryHealth {
    /// How long ago it last answered; `None` when it never has.
    pub silent_for: Option<Duration>,
    /// How long this daemon has been watching, which bounds what a silence can mean.
    pub watched_for: Duration,
    /// Servers of the group that answer this daemon, the primary not counted.
    pub replicas_answering: usize,
    /// Those of them that have not heard from the primary for the suspicion time.
    pub replicas_without_leader: usize,
    /// Replicas in the group.
    pub replicas: usize,
    /// Whether some server of the group says that it leads in the newest term.
    pub has_leader: bool,
}

/// What another owner of the group answered when asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherView {
    /// The primary answers it.
    Reachable,
    /// The primary does not answer it either.
    Unreachable,
    /// The other owner did not answer, so it has no say.
    Silent,
}

/// The judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The primary answers, or has not been silent for long.
    Fine,
    /// This daemon suspects the primary; the other owners are to be asked.
    AskOthers,
    /// The primary is to be replaced.
    Failed,
    /// The primary looks failed, but too few servers answer to promote one.
    NoMajority,
}

/// Judges the primary's health; `others` is `None` until the other owners were asked.
///
/// A suspicion that is wrong costs a needless promotion and never safety, which rests on the seal.
/// So the judgement only has to be quick and rarely wrong: a majority of the owners that answer must
/// share it, this daemon included. Two signs count: silence towards the daemon, and a majority of
/// the group's servers cut off from a primary that can then acknowledge nothing.
pub fn judge_health(
    rules: SuspicionRules,
    health: &PrimaryHealth,
    others: Option<&[OtherView]>,
) -> Health {
    let servers = health.replicas + 1;
    let majority = servers / 2 + 1;
    let silent = health.silent_for.unwrap_or(health.watched_for) >= rules.suspect_after;
    let long_watched = health.watched_for >= rules.suspect_after;
    let isolated = health.replicas > 0
        && health.replicas_without_leader >= majority.min(health.replicas)
        && long_watched;
    let leaderless = !health.has_leader && long_watched;
    if !silent && !isolated && !leaderless {
        return Health::Fine;
    }
    if health.replicas_answering + usize::from(!silent) < majority {
        return Health::NoMajority;
    }
    if isolated || leaderless {
        return Health::Failed;
    }
    let Some(others) = others else { return Health::AskOthers };
    let count = |view| others.iter().filter(|other| **other == view).count();
    let sharing = 1 + count(OtherView::Unreachable);
    if sharing > count(OtherView::Reachable) { Health::Failed } else { Health::Fine }
}
