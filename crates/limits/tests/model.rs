//! Limits over many seeded orders of events: daemons that lend, use, are cut off, freeze and start again.
//!
//! No window may hold more operations of an account than the limit's bound. Rules that are broken on purpose show that the
//! model would notice. It has no network and no clock: time passes in steps, and each daemon is a voter, a candidate when it
//! has heard of no keeper, and a holder whose callers ask for far more than the limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use limits::{
    Ballot, Budget, Candidacy, ElectionTimes, Grant, Ledger, RateLimit, Standing, VoteRequest,
    Voter, Wanted, WindowRule,
};
use model::Name;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(20);
const STEPS: u64 = 360;
const LENT_LASTS: Duration = Duration::from_millis(500);
const DAEMONS: usize = 5;
/// Orders of events that are run.
const ORDERS: u64 = 20_000;
/// Orders within which a broken rule must show.
const ORDERS_OF_BROKEN: u64 = 12_000;

const RULE: WindowRule = WindowRule { window: Duration::from_secs(2), overage: 0.1, slack: 5.0 };
const TIMES: ElectionTimes = ElectionTimes {
    binds: Duration::from_millis(600),
    counts: Duration::from_millis(570),
    window: Duration::from_secs(2),
};

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A candidate lends as if it had a quorum.
    LendsWithoutQuorum,
    /// A keeper of a part of the members lends the whole rate.
    LendsTheWholeInPart,
    /// What was lent counts as ended for the keeper at once, and its holder uses it for as long as it is there.
    UsesWhatHasEnded,
    /// A keeper saves up a whole window's operations, and lends them however many are out.
    SavesUpAWindow,
}

struct Daemon {
    host: Name,
    life: u64,
    voter: Voter,
    candidacy: Option<Candidacy>,
    ledger: Ledger,
    held: Vec<(u32, Instant)>,
    heard_at: Instant,
    campaigns_after: Duration,
    /// On which side of a partition it stands.
    side: u8,
    frozen_until: Instant,
}

struct World {
    random: SmallRng,
    now: Instant,
    daemons: Vec<Daemon>,
    used: VecDeque<Instant>,
    lives: u64,
    broken: Broken,
    limit: RateLimit,
    /// One in so many steps a daemon's callers use what is lent: rarely, so that it lies for a while, or so often that a keeper
    /// lends all that it may.
    uses_in: u32,
    /// The more, the longer what goes wrong lasts.
    calm: u32,
}

impl World {
    fn new(seed: u64, broken: Broken) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let limit = RateLimit {
            rate_per_s: [2.0, 10.0, 50.0][random.random_range(0..3)],
            burst: [1.0, 10.0, 50.0][random.random_range(0..3)],
        };
        let uses_in = [25, 3][random.random_range(0..2)];
        let calm = [45, 300][random.random_range(0..2)];
        let mut world = World {
            random,
            now,
            daemons: Vec::new(),
            used: VecDeque::new(),
            lives: 0,
            broken,
            limit,
            uses_in,
            calm,
        };
        for number in 0..DAEMONS {
            let daemon = world.start(number);
            world.daemons.push(daemon);
        }
        world
    }

    fn start(&mut self, number: usize) -> Daemon {
        self.lives += 1;
        Daemon {
            host: Name::from(format!("host-{number}")),
            life: self.lives,
            voter: Voter::new(TIMES, self.now),
            candidacy: None,
            ledger: Ledger::default(),
            held: Vec::new(),
            heard_at: self.now,
            campaigns_after: Duration::from_millis(100 + 60 * number as u64),
            side: 0,
            frozen_until: self.now,
        }
    }

    fn members(&self) -> Vec<Name> {
        self.daemons.iter().map(|daemon| daemon.host.clone()).collect()
    }

    /// Something goes wrong, or right again.
    fn disturb(&mut self) {
        let one = self.random.random_range(0..DAEMONS);
        match self.random.random_range(0..self.calm) {
            0 => {
                let cut: u8 = self.random.random_range(1..1 << (DAEMONS - 1));
                for (number, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.side = (cut >> number) & 1;
                }
            }
            1 | 2 => self.daemons.iter_mut().for_each(|daemon| daemon.side = 0),
            3 | 6 | 7 => self.daemons[one] = self.start(one),
            4 => {
                let lasts = Duration::from_millis(self.random.random_range(50..1_500));
                self.daemons[one].frozen_until = self.now + lasts;
            }
            5 if self.random.random_range(0..4) == 0 => {
                for number in 0..DAEMONS {
                    self.daemons[number] = self.start(number);
                }
            }
            _ => {}
        }
    }

    fn reach(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.daemons[one], &self.daemons[other]);
        one.side == other.side && self.now >= one.frozen_until && self.now >= other.frozen_until
    }

    fn campaign(&mut self, number: usize) {
        let now = self.now;
        let members = self.members();
        let daemon = &mut self.daemons[number];
        if daemon.candidacy.is_none() && now < daemon.heard_at + daemon.campaigns_after {
            return;
        }
        let life = daemon.life;
        let candidacy = daemon.candidacy.get_or_insert_with(|| Candidacy::new(TIMES, life * 1_000));
        let is_keeper = candidacy.is_keeper(now);
        let host = daemon.host.clone();
        let request = VoteRequest { host, life, is_keeper, ends: false };
        for other in 0..DAEMONS {
            if other != number && !self.reach(number, other) {
                continue;
            }
            let voter = &mut self.daemons[other];
            let vote = voter.voter.vote(&request, true, now);
            if vote.is_bound && other != number {
                voter.heard_at = now;
                voter.candidacy = None;
            }
            let ballot = Ballot { host: voter.host.clone(), asked_at: now, vote };
            // An answer may be lost; the voter is bound all the same.
            let is_lost = self.random.random_range(0..8) == 0;
            if let Some(candidacy) = self.daemons[number].candidacy.as_mut().filter(|_| !is_lost) {
                candidacy.count(ballot);
            }
        }
        if let Some(candidacy) = &mut self.daemons[number].candidacy {
            candidacy.settle(&members, now);
        }
    }

    fn lend_to(&mut self, asker: usize) {
        let now = self.now;
        let keeper = self.daemons[asker].voter.keeper(now).cloned();
        let keeper = self.daemons.iter().position(|daemon| Some(&daemon.host) == keeper.as_ref());
        let Some(keeper) = keeper.filter(|keeper| *keeper == asker || self.reach(asker, *keeper))
        else {
            return;
        };
        let mut budget: Budget = RULE.budget(&self.limit);
        if self.broken == Broken::SavesUpAWindow {
            budget.burst = self.limit.rate_per_s * RULE.window.as_secs_f64();
            budget.outstanding = budget.burst;
        }
        let unused: u32 = self.daemons[asker]
            .held
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(count, _)| count)
            .sum();
        let wanted = Wanted { host: self.daemons[asker].host.clone(), unused, wanted: 9 };
        let broken = self.broken;
        let daemon = &mut self.daemons[keeper];
        let standing = daemon
            .candidacy
            .as_ref()
            .map_or(Standing::None, |candidacy| candidacy.standing(DAEMONS, now));
        let standing = match (broken, standing) {
            (Broken::LendsWithoutQuorum, Standing::Candidate { term, .. }) => {
                Standing::Keeper { term, since: now - STEP }
            }
            (Broken::LendsTheWholeInPart, Standing::Partial { term, since, .. }) => {
                Standing::Keeper { term, since }
            }
            (_, standing) => standing,
        };
        let lasts = if broken == Broken::UsesWhatHasEnded { STEP / 2 } else { LENT_LASTS };
        let account = Name::from("account");
        let grant = daemon.ledger.lend(&account, &budget, &wanted, standing, lasts, now);
        if let Grant::Lent(count) = grant {
            let held = &mut self.daemons[asker].held;
            held.push((count, now + LENT_LASTS));
        }
    }

    fn use_held(&mut self, number: usize) {
        let now = self.now;
        let is_bounded = self.broken != Broken::UsesWhatHasEnded;
        if self.random.random_range(0..self.uses_in) != 0 {
            return;
        }
        let held = std::mem::take(&mut self.daemons[number].held);
        for (count, until) in held {
            if !is_bounded || now < until {
                (0..count).for_each(|_| self.used.push_back(now));
            }
        }
    }

    /// Whether the last window holds too much.
    fn exceeds(&mut self) -> bool {
        while self.used.front().is_some_and(|at| self.now.duration_since(*at) >= RULE.window) {
            self.used.pop_front();
        }
        self.used.len() as f64 > RULE.bound(&self.limit)
    }

    /// Runs one order of events; `true` if a window held too much.
    fn run(&mut self) -> bool {
        for step in 0..STEPS {
            self.now += STEP;
            self.disturb();
            for number in 0..DAEMONS {
                if self.now < self.daemons[number].frozen_until {
                    continue;
                }
                if step % 9 == 0 {
                    self.campaign(number);
                }
                self.lend_to(number);
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
fn no_window_holds_more_than_its_bound_in_any_order() {
    for seed in 0..ORDERS {
        assert!(!World::new(seed, Broken::Nothing).run(), "seed {seed}");
    }
}

#[test]
fn rules_that_are_broken_on_purpose_are_noticed() {
    let all = [
        Broken::LendsWithoutQuorum,
        Broken::LendsTheWholeInPart,
        Broken::UsesWhatHasEnded,
        Broken::SavesUpAWindow,
    ];
    for broken in all {
        let noticed = (0..ORDERS_OF_BROKEN).any(|seed| World::new(seed, broken).run());
        assert!(noticed, "{broken:?}");
    }
}
