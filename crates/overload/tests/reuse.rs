//! Tests of which connection is closed when accounts compete for connections.

use std::time::{Duration, Instant};

use model::Name;
use overload::{IdleConnection, ReuseHistory};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_small_account_keeps_its_only_connection_while_a_busy_one_has_several() {
    let start = Instant::now();
    let mut reuse = ReuseHistory::default();
    for it in 0..200 {
        reuse.on_used("hot", start + MS * it);
    }
    reuse.on_used("small", start);
    let now = start + MS * 300;
    let idle_connections = [("small", 0), ("hot", 250), ("hot", 290), ("hot", 299)];
    let idle_connections = idle_connections
        .map(|(account, at)| IdleConnection { account, idle_since: start + MS * at });
    assert_eq!(reuse.least_likely_reused(&idle_connections, now), Some(1));
    assert_eq!(reuse.least_likely_reused(&[], now), None);
}

#[test]
fn of_single_connections_the_least_used_is_closed() {
    let start = Instant::now();
    let mut reuse = ReuseHistory::default();
    for it in 0..10 {
        reuse.on_used("often", start + MS * (100 * it));
    }
    reuse.on_used("seldom", start + MS * 990);
    let idle_connections = [
        IdleConnection { account: "often", idle_since: start + MS * 900 },
        IdleConnection { account: "seldom", idle_since: start + MS * 995 },
    ];
    assert_eq!(reuse.least_likely_reused(&idle_connections, start + MS * 1_000), Some(1));
    // Uses of long ago don't count.
    let later = start + Duration::from_secs(120);
    assert!(reuse.least_likely_reused(&idle_connections, later).is_some());
}

/// Returns how many connections are opened for a skewed load with more accounts than connections.
fn count_opened(
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
                    let idle_connections: Vec<IdleConnection<'_>> = idle
                        .iter()
                        .map(|(name, since)| IdleConnection { account: name, idle_since: *since })
                        .collect();
                    let index = choose(&reuse, &idle_connections, now);
                    idle.remove(index);
                }
            }
        }
        idle.push((account.clone(), now));
    }
    count
}

/// Opens fewer connections than closing the longest idle one, and little more than closing the one of the smallest
/// account.
#[test]
fn competing_accounts_open_few_more_connections_than_with_known_demand() {
    let by_reuse = count_opened(
        |reuse, idle_connections, now| {
            reuse.least_likely_reused(idle_connections, now).unwrap_or(0)
        },
        21,
    );
    let by_idle_time = count_opened(|_, _, _| 0, 21);
    // Accounts are numbered from the largest to the smallest.
    let number = |it: &IdleConnection<'_>| it.account[1..].parse::<usize>().expect("a number");
    let known_demand = |_: &ReuseHistory, idle_connections: &[IdleConnection<'_>], _| {
        let numbered = idle_connections.iter().enumerate();
        numbered.max_by_key(|(_, it)| number(it)).map_or(0, |(index, _)| index)
    };
    let by_known_demand = count_opened(known_demand, 21);
    assert!(by_reuse < by_idle_time, "{by_reuse} of {by_idle_time}");
    assert!(by_reuse * 5 <= by_known_demand * 6, "{by_reuse} of {by_known_demand}");
}
