//! Decides when a primary is considered failed.

use std::time::Duration;

/// The thresholds for suspecting a primary.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionRules {
    /// How long the primary must be unreachable before it is suspected.
    pub suspect_after: Duration,
}

/// What this daemon observes of the primary and its group.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryObservation {
    /// How long ago the primary last answered; `None` when it never has.
    pub silent_for: Option<Duration>,
    /// How long this daemon has watched the group. Until this reaches `suspect_after`, missing
    /// observations are no evidence of a failure.
    pub watched_for: Duration,
    /// The number of replicas that answer this daemon.
    pub replicas_answering: usize,
    /// The number of answering replicas that have not heard from the primary for `suspect_after`.
    pub replicas_without_leader: usize,
    /// The number of replicas in the group.
    pub replicas: usize,
    /// Whether a server of the group reports that it is primary in the newest term.
    pub has_leader: bool,
}

/// What another owner of the group reports about the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerView {
    /// The primary answers the other owner.
    Reachable,
    /// The primary does not answer the other owner either.
    Unreachable,
    /// The other owner did not answer, so it is not counted.
    NoAnswer,
}

/// The assessment of a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryAssessment {
    /// The primary answers, or has not been silent for long.
    Healthy,
    /// This daemon suspects the primary; the other owners must be asked.
    AskOwners,
    /// The primary has failed and must be replaced.
    Failed,
    /// The primary seems to have failed, but too few servers answer to promote another one.
    NoMajority,
}

/// Assesses the primary; `others` is `None` until the other owners were asked.
///
/// A false suspicion causes an unnecessary promotion but loses no acknowledged write, since the servers
/// are sealed before the promotion.
/// A primary that is silent towards this daemon has failed if most of the owners that answer, this
/// daemon included, can't reach it. A primary has also failed if a majority of the group's servers
/// has lost contact with it, since it can't acknowledge writes, or if no server is primary.
pub fn assess_primary(
    rules: SuspicionRules,
    observation: &PrimaryObservation,
    others: Option<&[OwnerView]>,
) -> PrimaryAssessment {
    let servers = observation.replicas + 1;
    let majority = servers / 2 + 1;
    let silent = observation.silent_for.unwrap_or(observation.watched_for) >= rules.suspect_after;
    let long_watched = observation.watched_for >= rules.suspect_after;
    let isolated = observation.replicas > 0
        && observation.replicas_without_leader >= majority.min(observation.replicas)
        && long_watched;
    let leaderless = !observation.has_leader && long_watched;
    if !silent && !isolated && !leaderless {
        return PrimaryAssessment::Healthy;
    }
    if observation.replicas_answering + usize::from(!silent) < majority {
        return PrimaryAssessment::NoMajority;
    }
    if isolated || leaderless {
        return PrimaryAssessment::Failed;
    }
    let Some(others) = others else { return PrimaryAssessment::AskOwners };
    let count = |view| others.iter().filter(|other| **other == view).count();
    let suspecting = 1 + count(OwnerView::Unreachable);
    if suspecting > count(OwnerView::Reachable) {
        PrimaryAssessment::Failed
    } else {
        PrimaryAssessment::Healthy
    }
}
