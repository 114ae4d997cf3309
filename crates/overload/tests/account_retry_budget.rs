//! Tries over all hops: that they don't multiply an overload.

use std::sync::Arc;

use overload::{
    Rank,
    account_retry_budget::{AccountRetryBudget, RetryCause},
};

/// Load pattern: callers ask for twice what the servers can do, for long; every second statement finds no room, at first and when it
/// is tried again.
#[test]
fn at_two_times_overload_at_most_a_tenth_is_tried_again() {
    let mut budget = AccountRetryBudget::default();
    let accounts: Vec<Arc<str>> = (0..20).map(|it| Arc::from(format!("account-{it}"))).collect();
    let (mut operations, mut sent, mut served) = (0_u32, 0_u32, 0_u32);
    for round in 0..2_000_u32 {
        for account in &accounts {
            let rank = Rank::ALL[round as usize % 3];
            operations += 1;
            let mut tried = 0;
            loop {
                tried += 1;
                sent += 1;
                if sent % 2 == 0 {
                    served += 1;
                    budget.on_success(account, rank);
                    break;
                }
                if !budget.may_retry(account, rank, tried, RetryCause::NoRoom) {
                    break;
                }
            }
        }
    }
    let again = sent - operations;
    assert!(again * 10 <= operations + operations / 10, "{again} of {operations} were tried again");
    assert!(served * 10 >= operations * 5);
}

/// Load pattern: one account sends many times its usual, and is refused; another one is not to pay for its tries.
#[test]
fn an_account_spends_only_its_own_tries() {
    let mut budget = AccountRetryBudget::default();
    let (hot, small): (Arc<str>, Arc<str>) = (Arc::from("hot"), Arc::from("small"));
    let rank = Rank::ALL[0];
    while budget.may_retry(&hot, rank, 1, RetryCause::NoRoom) {}
    assert!(budget.may_retry(&small, rank, 1, RetryCause::NoRoom));
    assert!(budget.may_retry(&hot, Rank::ALL[1], 1, RetryCause::NoRoom), "ranks are apart too");
}

/// Load pattern: a path fails for all at once. Each statement is tried once more on another path, whatever was saved.
#[test]
fn a_failed_path_is_left_once_for_free() {
    let mut budget = AccountRetryBudget::default();
    let account: Arc<str> = Arc::from("account");
    let rank = Rank::ALL[1];
    for _ in 0..1_000 {
        assert!(budget.may_retry(&account, rank, 1, RetryCause::Path));
    }
    let second = (0..1_000).filter(|_| budget.may_retry(&account, rank, 2, RetryCause::Path));
    assert!(second.count() <= 5);
    assert!(!budget.may_retry(&account, rank, 3, RetryCause::Path));
}
