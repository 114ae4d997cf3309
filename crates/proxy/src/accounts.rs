//! Client accounts: which account a caller's key belongs to, and which principal a connection to a server acts for.
//!
//! See `docs/ACCOUNTS.md`. A key is a secret: it is compared in constant time, overwritten when it is dropped, and
//! never printed.

use std::{
    collections::{HashMap, hash_map::RandomState},
    fmt,
    hash::BuildHasher,
    sync::Arc,
};

use limits::RateLimit;
use model::Name;
use subtle::ConstantTimeEq;
use zeroize::Zeroizing;

use crate::{
    catalog::{Catalog, Route},
    statement::{ErrorCode, StatementError},
};

/// The secret by which a caller identifies its account.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct AccountKey(Zeroizing<Vec<u8>>);

impl AccountKey {
    /// Creates a key from a copy of its bytes.
    pub fn new(key: &[u8]) -> AccountKey {
        AccountKey(Zeroizing::new(key.to_vec()))
    }

    /// Returns whether the caller sent no key.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(..)")
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The account's name, which is sent to servers.
    pub name: Name,
    /// The limit on its requests; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// The accounts of a configuration with their keys.
#[derive(Clone, Debug)]
pub struct Accounts {
    accounts: Vec<Arc<Account>>,
    keys: Vec<(AccountKey, Arc<Account>)>,
    /// Indices into `keys` by a keyed hash, so that the time of a lookup reveals nothing about other keys.
    key_indices: HashMap<u64, Vec<usize>>,
    hasher: RandomState,
}

/// The error for two accounts with the same key: a caller that sends it can't be attributed to one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateKey {
    /// The accounts.
    pub accounts: [Name; 2],
}

impl fmt::Display for DuplicateKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = &self.accounts;
        write!(f, "the accounts {first} and {second} hold the same key")
    }
}

impl std::error::Error for DuplicateKey {}

impl Accounts {
    /// Indexes accounts by their keys. Fails if two of them hold the same key.
    pub fn new(
        entries: impl IntoIterator<Item = (Account, Vec<AccountKey>)>,
    ) -> Result<Accounts, DuplicateKey> {
        let mut accounts = Accounts {
            accounts: Vec::new(),
            keys: Vec::new(),
            key_indices: HashMap::new(),
            hasher: RandomState::new(),
        };
        for (account, keys) in entries {
            let account = Arc::new(account);
            accounts.accounts.push(account.clone());
            for key in keys {
                accounts.add(key, &account)?;
            }
        }
        Ok(accounts)
    }

    fn add(&mut self, key: AccountKey, account: &Arc<Account>) -> Result<(), DuplicateKey> {
        if let Some(owner) = self.find_by_key(&key) {
            if owner.name == account.name {
                return Ok(());
            }
            return Err(DuplicateKey { accounts: [owner.name.clone(), account.name.clone()] });
        }
        let hash = self.hasher.hash_one(&*key.0);
        self.key_indices.entry(hash).or_default().push(self.keys.len());
        self.keys.push((key, account.clone()));
        Ok(())
    }

    /// Returns the account that holds a key.
    pub fn find_by_key(&self, key: &AccountKey) -> Option<&Arc<Account>> {
        if key.is_empty() {
            return None;
        }
        let key_indices = self.key_indices.get(&self.hasher.hash_one(&*key.0))?;
        let candidates = key_indices.iter().map(|index| &self.keys[*index]);
        let mut found =
            candidates.filter(|(known, _)| bool::from(known.0.as_slice().ct_eq(&key.0)));
        found.next().map(|(_, account)| account)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.accounts.iter().any(|account| account.limit.is_some())
    }

    /// Returns an account by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.iter().find(|account| &*account.name == name)
    }
}

impl PartialEq for Accounts {
    fn eq(&self, other: &Accounts) -> bool {
        self.accounts == other.accounts && self.keys == other.keys
    }
}

/// The principal that a connection to a server acts for, from its first message to its end.
///
/// A server keeps session values, prepared statements and usage by client, so a connection is never reused for another
/// account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Principal {
    /// The daemon itself, and callers without an account.
    Daemon,
    /// A client account.
    Account(Name),
}

impl Principal {
    /// Returns the principal of a caller with this account.
    pub fn of(account: Option<&Arc<Account>>) -> Principal {
        account.map_or(Principal::Daemon, |account| Principal::Account(account.name.clone()))
    }

    /// Returns the account's name as it is sent to an owner; empty for the daemon.
    pub fn account_name(&self) -> &str {
        match self {
            Principal::Daemon => "",
            Principal::Account(name) => name,
        }
    }

    /// Returns the principal for an account's name that another daemon sent; the daemon if it is empty.
    pub fn from_account_name(name: &str) -> Principal {
        match name {
            "" => Principal::Daemon,
            name => Principal::Account(Name::from(name)),
        }
    }
}

/// The error for a key that belongs to no account of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Returns the error for a caller whose key belongs to no account.
pub fn unknown_key_error() -> StatementError {
    StatementError::new(ErrorCode::Forbidden, "the key belongs to no client account")
}

/// Returns the account that a key belongs to. `None` if the configuration has no accounts, or if the key is unknown and
/// the route is public.
pub fn account_of(
    catalog: &Catalog,
    key: &AccountKey,
    route: &Route,
) -> Result<Option<Arc<Account>>, UnknownKey> {
    let Some(accounts) = &catalog.accounts else { return Ok(None) };
    match accounts.find_by_key(key) {
        Some(account) => Ok(Some(account.clone())),
        None if route.is_public => Ok(None),
        None => Err(UnknownKey),
    }
}
