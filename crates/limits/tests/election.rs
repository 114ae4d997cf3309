//! Tests of the coordinator election, and of granted and held quota.

use std::time::{Duration, Instant};

use limits::{
    Ballot, Candidacy, ElectionState, ElectionTimes, Grant, GrantedQuota, HeldQuota, Ledger,
    QuotaRequest, RateLimit, TakeResult, Vote, VoteRequest, Voter, WindowRule, campaign_delay,
    should_yield,
};
use model::Name;

const TIMES: ElectionTimes = ElectionTimes {
    vote_duration: Duration::from_millis(600),
    counted_for: Duration::from_millis(570),
    window: Duration::from_secs(5),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(host: &str, incarnation: u64) -> VoteRequest {
    VoteRequest { host: Name::from(host), incarnation, is_coordinator: false, resigns: false }
}

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("h{number}"))).collect()
}

fn ballot(host: &Name, requested_at: Instant, vote: Vote) -> Ballot {
    Ballot { host: host.clone(), requested_at, vote }
}

/// A restarted daemon does not know the votes of its former incarnation, which may still bind it.
#[test]
fn a_voter_is_bound_to_one_candidate_at_a_time_across_restarts() {
    let start = Instant::now();
    let mut voter = Voter::new(TIMES, start);
    let first = voter.vote(&request("a", 1), true, start);
    assert!(first.is_bound && !first.is_granted);
    assert!(!voter.vote(&request("b", 1), true, start + ms(10)).is_bound);
    // Another incarnation of the same host is another candidate.
    assert!(!voter.vote(&request("a", 2), true, start + ms(10)).is_bound);
    assert!(voter.vote(&request("a", 1), true, start + ms(500)).is_bound);
    assert!(!voter.vote(&request("b", 1), true, start + ms(1_050)).is_bound);
    let later = voter.vote(&request("b", 1), true, start + ms(1_150));
    assert!(later.is_bound && later.is_granted);
    // A daemon whose membership lease has expired by its own clock does not vote.
    assert_eq!(voter.vote(&request("b", 1), false, start + ms(1_200)), Vote::default());
}

#[test]
fn a_coordinator_that_resigns_releases_only_its_own_voters() {
    let start = Instant::now();
    let mut voter = Voter::new(TIMES, start);
    voter.vote(&request("a", 1), true, start);
    let resigns = |host, incarnation| VoteRequest { resigns: true, ..request(host, incarnation) };
    voter.vote(&resigns("b", 1), true, start + ms(10));
    voter.vote(&resigns("a", 2), true, start + ms(10));
    assert!(!voter.vote(&request("b", 1), true, start + ms(20)).is_bound);
    voter.vote(&resigns("a", 1), true, start + ms(30));
    assert!(voter.vote(&request("b", 1), true, start + ms(40)).is_bound);
}

/// How much of a limit a daemon grants.
#[derive(Debug, PartialEq)]
enum Share {
    Whole,
    /// A number of ninths of the rate.
    Ninths(usize),
    Provisional,
}

#[test]
fn a_quorum_or_all_votes_make_a_coordinator_while_they_count() {
    let now = Instant::now();
    let members = hosts(9);
    let granted_vote = Vote { is_granted: true, is_bound: true, is_provisional: false };
    let fresh = Vote { is_granted: false, ..granted_vote.clone() };
    // Granted votes, votes of daemons that have just started, whether the candidate is the coordinator, and its
    // share.
    let cases = [
        (2, 0, false, Share::Provisional),
        (3, 0, false, Share::Ninths(3)),
        (4, 0, false, Share::Ninths(4)),
        (5, 0, true, Share::Ninths(5)),
        (6, 0, true, Share::Ninths(6)),
        (7, 0, true, Share::Whole),
        (4, 4, false, Share::Ninths(4)),
        (4, 5, true, Share::Whole),
        (0, 9, true, Share::Whole),
        (0, 8, false, Share::Provisional),
    ];
    for (old, new, is_coordinator, share_of_rate) in cases {
        let mut candidacy = Candidacy::new(TIMES, 1);
        for host in &members[..old] {
            candidacy.count(ballot(host, now, granted_vote.clone()));
        }
        for host in &members[old..old + new] {
            candidacy.count(ballot(host, now, fresh.clone()));
        }
        candidacy.tally(&members, now + ms(10));
        assert_eq!(candidacy.is_coordinator(now + ms(10)), is_coordinator, "{old} {new}");
        let granted = match candidacy.state(9, now + ms(10)) {
            ElectionState::Coordinator { .. } => Share::Whole,
            ElectionState::Partial { share, .. } => Share::Ninths((share * 9.0).round() as usize),
            ElectionState::Candidate { .. } | ElectionState::None => Share::Provisional,
        };
        assert_eq!(granted, share_of_rate, "{old} {new}");
        assert!(!candidacy.is_coordinator(now + ms(570)), "{old} {new}");
        let late = candidacy.state(9, now + ms(570));
        let grants_late =
            matches!(late, ElectionState::Coordinator { .. } | ElectionState::Partial { .. });
        assert!(!grants_late, "{old} {new}: {late:?}");
    }
}

/// In a partition each side grants its share of the rate, and together they grant no more than the rate.
#[test]
fn both_sides_of_a_partition_grant_their_share_of_the_rate() {
    let start = Instant::now();
    let members = hosts(9);
    let granted_vote = Vote { is_granted: true, is_bound: true, is_provisional: false };
    let rule = WindowRule { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    let limit = RateLimit { rate_per_s: 90.0, burst: 0.0 };
    let budget = rule.budget(&limit);
    let mut granted = [0_u32; 2];
    for (side, voters) in [&members[..5], &members[5..]].into_iter().enumerate() {
        let mut candidacy = Candidacy::new(TIMES, 1);
        let mut ledger = Ledger::default();
        for round in 0..50 {
            let now = start + ms(200 * round);
            for host in voters {
                candidacy.count(ballot(host, now, granted_vote.clone()));
            }
            candidacy.tally(&members, now);
            let wanted = QuotaRequest { host: voters[0].clone(), unused: 0, wanted: 1_000 };
            let state = candidacy.state(9, now);
            let grant = ledger.grant(&Name::from("a"), &budget, &wanted, state, ms(500), now);
            if let Grant::Granted(count) = grant {
                granted[side] += count;
            }
        }
    }
    let rate_of_ten_s = 900;
    assert!(granted[0] * 9 >= rate_of_ten_s * 4, "{granted:?}");
    assert!(granted[1] * 9 >= rate_of_ten_s * 3, "{granted:?}");
    assert!(granted[0] + granted[1] <= rate_of_ten_s + budget.burst as u32, "{granted:?}");
}

/// After a gap in a vote, nothing is granted for the time before the vote's return.
#[test]
fn a_vote_that_returns_counts_from_its_return() {
    let start = Instant::now();
    let members = hosts(9);
    let granted_vote = Vote { is_granted: true, is_bound: true, is_provisional: false };
    let mut candidacy = Candidacy::new(TIMES, 1);
    let rounds = [(0, 4), (200, 4), (400, 4), (600, 3), (800, 3), (1_200, 4)];
    for (at_ms, votes) in rounds {
        for host in &members[..votes] {
            candidacy.count(ballot(host, start + ms(at_ms), granted_vote.clone()));
        }
        candidacy.tally(&members, start + ms(at_ms));
    }
    let state = candidacy.state(9, start + ms(1_200));
    let ElectionState::Partial { since, .. } = state else { panic!("{state:?}") };
    assert_eq!(since, start + ms(1_200));
}

#[test]
fn later_positions_wait_longer() {
    let waits: Vec<Duration> = (0..3).map(|position| campaign_delay(ms(400), position)).collect();
    assert!(waits[0] < waits[1] && waits[1] < waits[2]);
    // No two daemons campaign at once, even if all positions before them are silent.
    assert!(campaign_delay(ms(400), 70) < campaign_delay(ms(400), 71));
}

#[test]
fn the_parts_of_a_limit_stay_within_its_bound() {
    let rule = WindowRule { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    for rate_per_s in [0.5, 2.0, 112.0, 370.0] {
        for burst in [0.0, 1.0, 112.0, 1_000.0] {
            let limit = RateLimit { rate_per_s, burst };
            let budget = rule.budget(&limit);
            let held = rate_per_s * 5.0 + budget.burst + budget.outstanding + budget.provisional;
            assert!(held <= rule.bound(&limit), "{rate_per_s} {burst}");
        }
    }
}

/// A new coordinator does not know earlier grants, so nothing that it sends may extend them.
#[test]
fn later_grants_do_not_extend_earlier_ones() {
    let start = Instant::now();
    let mut held_quota = HeldQuota::default();
    let granted =
        |count, at| GrantedQuota { count, requested_at: start + ms(at), lifetime: ms(500) };
    held_quota.add_grant(granted(3, 0));
    held_quota.add_grant(granted(2, 400));
    assert_eq!(held_quota.request_amounts(0, start + ms(450)).0, 5);
    assert_eq!(held_quota.request_amounts(0, start + ms(500)).0, 2);
    let at = start + ms(600);
    let taken: Vec<bool> =
        (0..3).map(|_| matches!(held_quota.take(at), TakeResult::Allowed { .. })).collect();
    assert_eq!(taken, [true, true, false]);
}

/// An account far above its limit is refused by the daemon that it reaches, without a request to the coordinator.
#[test]
fn a_flood_costs_one_quota_request_per_pause_not_per_operation() {
    let start = Instant::now();
    let rule = WindowRule { window: Duration::from_secs(1), overage: 0.0, slack: 0.0 };
    let budget = rule.budget(&RateLimit { rate_per_s: 10.0, burst: 10.0 });
    let (mut ledger, mut held_quota) = (Ledger::default(), HeldQuota::default());
    let (mut requests, mut ran, mut refused) = (0, 0, 0);
    for tick in 0..10_000 {
        let now = start + ms(tick);
        held_quota.record_demand(now);
        match held_quota.take(now) {
            TakeResult::Allowed { .. } => ran += 1,
            TakeResult::AtLimit { .. } => refused += 1,
            TakeResult::RequestQuota => {
                requests += 1;
                let (unused, wanted) = held_quota.request_amounts(1, now);
                let wanted = QuotaRequest { host: Name::from("h"), unused, wanted };
                let state = ElectionState::Coordinator { term: 1, since: start };
                let granted = ledger.grant(&Name::from("a"), &budget, &wanted, state, ms(500), now);
                match granted {
                    Grant::Granted(count) => {
                        held_quota.add_grant(GrantedQuota {
                            count,
                            requested_at: now,
                            lifetime: ms(500),
                        });
                    }
                    Grant::Exhausted(wait) => held_quota.record_exhausted(now, now + wait),
                    Grant::NotCoordinator => unreachable!(),
                }
            }
        }
    }
    assert!((85..=115).contains(&ran), "{ran}");
    assert!(requests < 300, "{requests}");
    assert!(refused > 9_000, "{refused}");
}

/// After a partition many daemons campaign at once, each with some votes.
#[test]
fn of_competing_candidates_the_first_in_order_stays() {
    let stays = |own: usize| (0..25).all(|other| !should_yield(Some(own), Some(other)));
    assert_eq!((0..25).filter(|own| stays(*own)).collect::<Vec<_>>(), [0]);
    assert!(should_yield(None, Some(70)));
    assert!(!should_yield(Some(70), None));
}

/// A candidate with nearly enough votes must not yield to one with a better position.
#[test]
fn many_votes_are_recognized_until_they_expire() {
    let now = Instant::now();
    let times = ElectionTimes { vote_duration: ms(600), counted_for: ms(570), window: ms(5_000) };
    let mut candidacy = Candidacy::new(times, 1);
    let vote = Vote { is_granted: true, is_bound: true, is_provisional: false };
    for voter in 0..10 {
        let host = Name::from(format!("host-{voter}"));
        candidacy.count(Ballot { host, requested_at: now, vote: vote.clone() });
    }
    assert!(candidacy.has_many_votes(29, now));
    assert!(!candidacy.has_many_votes(30, now));
    assert!(!candidacy.has_many_votes(29, now + ms(570)));
}
