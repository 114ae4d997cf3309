//! Tests that retries don't multiply an overload.

use std::sync::Arc;

use overload::{
    Rank,
    account_retry_budget::{AccountRetryBudget, RetryCause},
};

/// At twice the capacity, where every second attempt is refused, retries must not multiply the load.
#[test]
fn under_double_load_at_most_a_tenth_is_retried() {
    let mut budget = AccountRetryBudget::default();
    let accounts: Vec<Arc<str>> = (0..20).map(|it| Arc::from(format!("account-{it}"))).collect();
    let (mut operations, mut sent, mut served) = (0_u32, 0_u32, 0_u32);
    for round in 0..2_000_u32 {
        for account in &accounts {
            let rank = Rank::ALL[round as usize % 3];
            operations += 1;
            let mut attempts = 0;
            loop {
                attempts += 1;
                sent += 1;
                if sent % 2 == 0 {
                    served += 1;
                    budget.on_success(account, rank);
                    break;
                }
                if !budget.may_retry(account, rank, attempts, RetryCause::NoCapacity) {
                    break;
                }
            }
        }
    }
    let retries = sent - operations;
    assert!(retries * 10 <= operations + operations / 10, "{retries} of {operations} were retried");
    assert!(served * 10 >= operations * 5);
}

/// An account that sends far more than usual must not spend the retries of others.
#[test]
fn an_account_spends_only_its_own_tokens() {
    let mut budget = AccountRetryBudget::default();
    let (hot, small): (Arc<str>, Arc<str>) = (Arc::from("hot"), Arc::from("small"));
    let rank = Rank::ALL[0];
    while budget.may_retry(&hot, rank, 1, RetryCause::NoCapacity) {}
    assert!(budget.may_retry(&small, rank, 1, RetryCause::NoCapacity));
    assert!(
        budget.may_retry(&hot, Rank::ALL[1], 1, RetryCause::NoCapacity),
        "each rank has its own tokens"
    );
}

/// A path failure affects all statements at once; each may be retried on another path without tokens.
#[test]
fn one_retry_after_a_path_failure_costs_no_tokens() {
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
