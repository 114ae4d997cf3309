//! Which connection is ended when accounts compete for a server's connections.

use std::time::{Duration, Instant};

use model::Name;
use overload::{IdleConnection, ReuseHistory};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_small_account_keeps_its_only_connection_while_a_hot_one_has_several() {
    let start = Instant::now();
    let mut reuse = ReuseHistory::default();
    for it in 0..200 {
        reuse.on_used("hot", start + MS * it);
    }
    reuse.on_used("small", start);
    let now = start + MS * 300;
    let resting = [("small", 0), ("hot", 250), ("hot", 290), ("hot", 299)];
    let resting =
        resting.map(|(account, at)| IdleConnection { account, idle_since: start + MS * at });
    assert_eq!(reuse.least_likely_reused(&resting, now), Some(1));
    assert_eq!(reuse.least_likely_reused(&[], now), None);
}

#[test]
fn of_single_connections_the_one_goes_that_is_used_least() {
    let start = Instant::now();
    let mut reuse = ReuseHistory::default();
    for it in 0..10 {
        reuse.on_used("often", start + MS * (100 * it));
    }
    reuse.on_used("seldom", start + MS * 990);
    let resting = [
        IdleConnection { account: "often", idle_since: start + MS * 900 },
        IdleConnection { account: "seldom", idle_since: start + MS * 995 },
    ];
    assert_eq!(reuse.least_likely_reused(&resting, start + MS * 1_000), Some(1));
    // Who asked much, but long ago, counts as little as who never did.
    let later = start + Duration::from_secs(120);
    assert!(reuse.least_likely_reused(&resting, later).is_some());
}

/// What a server's connections do for accounts, a few of them large: how many statements need a new one.
fn opened(
    choose: impl Fn(&ReuseHistory, &[IdleConnection<'_>], Instant) -> usize,
    seed: u64,
) -> u32 {
    const ACCOUNTS: usize = 84;
    const CONNECTIONS: usize = 50;
    const STATEMENTS: u32 = 20_000;
    let mut rng = StdRng::seed_from_u64(seed);
    let names: Vec<Name> = (0..ACCOUNTS).map(|it| Name::from(format!("a{it}").as_str())).collect();
    let weights: Vec<f64> = (1..=ACCOUNTS).map(|rank| 1.0 / rank as f64).collect();
    let all: f64 = weights.iter().sum();
    let mut reuse = ReuseHistory::default();
    let mut idle: Vec<(Name, Instant)> = Vec::new();
    let mut now = Instant::now();
    let mut count = 0;
    for _ in 0..STATEMENTS {
        now += MS * 20;
        let mut point = rng.random_range(0.0..all);
        let rank = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let account = &names[rank.unwrap_or(0)];
        reuse.on_used(account, now);
        match idle.iter().rposition(|(name, _)| name == account) {
            Some(index) => drop(idle.remove(index)),
            None => {
                count += 1;
                if idle.len() == CONNECTIONS {
                    let resting: Vec<IdleConnection<'_>> = idle
                        .iter()
                        .map(|(name, since)| IdleConnection { account: name, idle_since: *since })
                        .collect();
                    let index = choose(&reuse, &resting, now);
                    idle.remove(index);
                }
            }
        }
        idle.push((account.clone(), now));
    }
    count
}

/// 84 accounts, a few of them large, and room for 50 connections: fewer are opened than where the one that rested longest
/// goes, and little more than by who knows what each account will ask.
#[test]
fn accounts_that_compete_open_few_more_connections_than_by_foresight() {
    let by_reuse =
        opened(|reuse, resting, now| reuse.least_likely_reused(resting, now).unwrap_or(0), 21);
    let by_rest = opened(|_, _, _| 0, 21);
    // Accounts are numbered from the largest to the smallest.
    let number = |it: &IdleConnection<'_>| it.account[1..].parse::<usize>().expect("a number");
    let foresight = |_: &ReuseHistory, resting: &[IdleConnection<'_>], _| {
        let numbered = resting.iter().enumerate();
        numbered.max_by_key(|(_, it)| number(it)).map_or(0, |(index, _)| index)
    };
    let by_foresight = opened(foresight, 21);
    assert!(by_reuse < by_rest, "{by_reuse} of {by_rest}");
    assert!(by_reuse * 5 <= by_foresight * 6, "{by_reuse} of {by_foresight}");
}
