//! Model test: daemons grant and use quota, are partitioned, freeze and restart, in many seeded event sequences.
//!
//! No window may hold more operations of an account than the limit's bound. Deliberately broken rules show that the
//! model detects violations. There is no network or clock: time advances in steps. Each daemon is a voter, a
//! candidate while it knows no coordinator, and a holder of quota whose callers request far more than the limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use limits::{
    Ballot, Budget, Candidacy, ElectionState, ElectionTimes, Grant, Ledger, QuotaRequest,
    RateLimit, VoteRequest, Voter, WindowRule,
};
use model::Name;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(20);
const STEPS: u64 = 360;
const GRANT_LIFETIME: Duration = Duration::from_millis(500);
const DAEMONS: usize = 5;
const SEQUENCES: u64 = 20_000;
/// Number of event sequences within which a broken rule must be detected.
const BROKEN_RULE_SEQUENCES: u64 = 12_000;

const RULE: WindowRule = WindowRule { window: Duration::from_secs(2), overage: 0.1, slack: 5.0 };
const TIMES: ElectionTimes = ElectionTimes {
    vote_duration: Duration::from_millis(600),
    counted_for: Duration::from_millis(570),
    window: Duration::from_secs(2),
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    None,
    /// A candidate grants quota as if it had a quorum.
    GrantsWithoutQuorum,
    /// A partial coordinator grants the whole rate.
    GrantsFullRateInPart,
    /// The coordinator treats a grant as expired at once, while its holder uses it without a time limit.
    UsesExpiredQuota,
    /// A coordinator saves up the operations of a whole window, and grants them regardless of outstanding grants.
    SavesFullWindow,
}

struct Daemon {
    host: Name,
    incarnation: u64,
    voter: Voter,
    candidacy: Option<Candidacy>,
    ledger: Ledger,
    held: Vec<(u32, Instant)>,
    coordinator_seen_at: Instant,
    campaign_delay: Duration,
    /// The daemon's side in a partition.
    side: u8,
    frozen_until: Instant,
}

struct World {
    random: SmallRng,
    now: Instant,
    daemons: Vec<Daemon>,
    used: VecDeque<Instant>,
    incarnations: u64,
    broken_rule: BrokenRule,
    limit: RateLimit,
    /// Callers use the held quota in one of this many steps: rarely, so that it is held for a while, or so often that
    /// a coordinator grants all it may.
    use_interval: u32,
    /// The range of the random number that selects an event in each step. A larger range makes faults rarer and longer.
    fault_interval: u32,
}

impl World {
    fn new(seed: u64, broken_rule: BrokenRule) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let limit = RateLimit {
            rate_per_s: [2.0, 10.0, 50.0][random.random_range(0..3)],
            burst: [1.0, 10.0, 50.0][random.random_range(0..3)],
        };
        let use_interval = [25, 3][random.random_range(0..2)];
        let fault_interval = [45, 300][random.random_range(0..2)];
        let mut world = World {
            random,
            now,
            daemons: Vec::new(),
            used: VecDeque::new(),
            incarnations: 0,
            broken_rule,
            limit,
            use_interval,
            fault_interval,
        };
        for number in 0..DAEMONS {
            let daemon = world.start(number);
            world.daemons.push(daemon);
        }
        world
    }

    fn start(&mut self, number: usize) -> Daemon {
        self.incarnations += 1;
        Daemon {
            host: Name::from(format!("host-{number}")),
            incarnation: self.incarnations,
            voter: Voter::new(TIMES, self.now),
            candidacy: None,
            ledger: Ledger::default(),
            held: Vec::new(),
            coordinator_seen_at: self.now,
            campaign_delay: Duration::from_millis(100 + 60 * number as u64),
            side: 0,
            frozen_until: self.now,
        }
    }

    fn members(&self) -> Vec<Name> {
        self.daemons.iter().map(|daemon| daemon.host.clone()).collect()
    }

    /// Injects a fault or ends one, at random.
    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..DAEMONS);
        match self.random.random_range(0..self.fault_interval) {
            0 => {
                let cut: u8 = self.random.random_range(1..1 << (DAEMONS - 1));
                for (number, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.side = (cut >> number) & 1;
                }
            }
            1 | 2 => self.daemons.iter_mut().for_each(|daemon| daemon.side = 0),
            3 | 6 | 7 => self.daemons[index] = self.start(index),
            4 => {
                let duration = Duration::from_millis(self.random.random_range(50..1_500));
                self.daemons[index].frozen_until = self.now + duration;
            }
            5 if self.random.random_range(0..4) == 0 => {
                for number in 0..DAEMONS {
                    self.daemons[number] = self.start(number);
                }
            }
            _ => {}
        }
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.daemons[one], &self.daemons[other]);
        one.side == other.side && self.now >= one.frozen_until && self.now >= other.frozen_until
    }

    fn campaign(&mut self, number: usize) {
        let now = self.now;
        let members = self.members();
        let daemon = &mut self.daemons[number];
        if daemon.candidacy.is_none() && now < daemon.coordinator_seen_at + daemon.campaign_delay {
            return;
        }
        let incarnation = daemon.incarnation;
        let candidacy =
            daemon.candidacy.get_or_insert_with(|| Candidacy::new(TIMES, incarnation * 1_000));
        let is_coordinator = candidacy.is_coordinator(now);
        let host = daemon.host.clone();
        let request = VoteRequest { host, incarnation, is_coordinator, resigns: false };
        for other in 0..DAEMONS {
            if other != number && !self.can_reach(number, other) {
                continue;
            }
            let voter = &mut self.daemons[other];
            let vote = voter.voter.vote(&request, true, now);
            if vote.is_bound && other != number {
                voter.coordinator_seen_at = now;
                voter.candidacy = None;
            }
            let ballot = Ballot { host: voter.host.clone(), requested_at: now, vote };
            // The answer may be lost although the voter is bound.
            let is_lost = self.random.random_range(0..8) == 0;
            if let Some(candidacy) = self.daemons[number].candidacy.as_mut().filter(|_| !is_lost) {
                candidacy.count(ballot);
            }
        }
        if let Some(candidacy) = &mut self.daemons[number].candidacy {
            candidacy.tally(&members, now);
        }
    }

    fn grant_to(&mut self, requester: usize) {
        let now = self.now;
        let coordinator = self.daemons[requester].voter.coordinator(now).cloned();
        let coordinator =
            self.daemons.iter().position(|daemon| Some(&daemon.host) == coordinator.as_ref());
        let Some(coordinator) = coordinator.filter(|coordinator| {
            *coordinator == requester || self.can_reach(requester, *coordinator)
        }) else {
            return;
        };
        let mut budget: Budget = RULE.budget(&self.limit);
        if self.broken_rule == BrokenRule::SavesFullWindow {
            budget.burst = self.limit.rate_per_s * RULE.window.as_secs_f64();
            budget.outstanding = budget.burst;
        }
        let unused: u32 = self.daemons[requester]
            .held
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(count, _)| count)
            .sum();
        let wanted = QuotaRequest { host: self.daemons[requester].host.clone(), unused, wanted: 9 };
        let broken_rule = self.broken_rule;
        let daemon = &mut self.daemons[coordinator];
        let state = daemon
            .candidacy
            .as_ref()
            .map_or(ElectionState::None, |candidacy| candidacy.state(DAEMONS, now));
        let state = match (broken_rule, state) {
            (BrokenRule::GrantsWithoutQuorum, ElectionState::Candidate { term, .. }) => {
                ElectionState::Coordinator { term, since: now - STEP }
            }
            (BrokenRule::GrantsFullRateInPart, ElectionState::Partial { term, since, .. }) => {
                ElectionState::Coordinator { term, since }
            }
            (_, state) => state,
        };
        let lifetime =
            if broken_rule == BrokenRule::UsesExpiredQuota { STEP / 2 } else { GRANT_LIFETIME };
        let account = Name::from("account");
        let grant = daemon.ledger.grant(&account, &budget, &wanted, state, lifetime, now);
        if let Grant::Granted(count) = grant {
            let held = &mut self.daemons[requester].held;
            held.push((count, now + GRANT_LIFETIME));
        }
    }

    fn use_held(&mut self, number: usize) {
        let now = self.now;
        let is_bounded = self.broken_rule != BrokenRule::UsesExpiredQuota;
        if self.random.random_range(0..self.use_interval) != 0 {
            return;
        }
        let held = std::mem::take(&mut self.daemons[number].held);
        for (count, until) in held {
            if !is_bounded || now < until {
                (0..count).for_each(|_| self.used.push_back(now));
            }
        }
    }

    fn exceeds(&mut self) -> bool {
        while self.used.front().is_some_and(|at| self.now.duration_since(*at) >= RULE.window) {
            self.used.pop_front();
        }
        self.used.len() as f64 > RULE.bound(&self.limit)
    }

    /// Runs one event sequence. Returns whether a window exceeded the bound.
    fn run(&mut self) -> bool {
        for step in 0..STEPS {
            self.now += STEP;
            self.inject_fault();
            for number in 0..DAEMONS {
                if self.now < self.daemons[number].frozen_until {
                    continue;
                }
                if step % 9 == 0 {
                    self.campaign(number);
                }
                self.grant_to(number);
                self.use_held(number);
            }
            if self.exceeds() {
                return true;
            }
        }
        false
    }
}

#[test]
fn no_window_exceeds_its_bound() {
    for seed in 0..SEQUENCES {
        assert!(!World::new(seed, BrokenRule::None).run(), "seed {seed}");
    }
}

#[test]
fn broken_rules_are_detected() {
    let all = [
        BrokenRule::GrantsWithoutQuorum,
        BrokenRule::GrantsFullRateInPart,
        BrokenRule::UsesExpiredQuota,
        BrokenRule::SavesFullWindow,
    ];
    for broken_rule in all {
        let detected = (0..BROKEN_RULE_SEQUENCES).any(|seed| World::new(seed, broken_rule).run());
        assert!(detected, "{broken_rule:?}");
    }
}
