//! Client accounts: whose key a caller names, and for whom a connection to a server works.
//!
//! See `docs/ACCOUNTS.md`. A key is a secret: it is compared in constant time, overwritten when it is dropped, and
//! nothing here prints it.

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

/// What a caller names to show which account it belongs to.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct AccountKey(Zeroizing<Vec<u8>>);

impl AccountKey {
    /// Takes over a key.
    pub fn new(key: &[u8]) -> AccountKey {
        AccountKey(Zeroizing::new(key.to_vec()))
    }

    /// Whether nothing was named.
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
    /// Its name, which servers are told.
    pub name: Name,
    /// How much it may ask; `None` for as much as it likes.
    pub limit: Option<RateLimit>,
}

/// Every account of a configuration, by its keys.
#[derive(Clone, Debug)]
pub struct Accounts {
    accounts: Vec<Arc<Account>>,
    keys: Vec<(AccountKey, Arc<Account>)>,
    /// Places in `keys` by a keyed hash, so that a look tells nothing of other keys by the time that it takes.
    key_indices: HashMap<u64, Vec<usize>>,
    hasher: RandomState,
}

/// Two accounts hold the same key, so that nobody knows whose work a caller does.
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
    /// Makes the list of a configuration.
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
        let mut found = candidates.filter(|(held, _)| bool::from(held.0.as_slice().ct_eq(&key.0)));
        found.next().map(|(_, account)| account)
    }

    /// Returns how many accounts there are.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Whether any of them has a limit.
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

/// For whom a connection to a server works, from its first message to its end.
///
/// A server keeps values, prepared names and its own books by whoever connected, so a connection never passes from one
/// account to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Principal {
    /// The daemon itself, and callers of public routes, which belong to no account.
    Daemon,
    /// A client account.
    Account(Name),
}

impl Principal {
    /// Returns for whom a caller's work is done.
    pub fn of(account: Option<&Arc<Account>>) -> Principal {
        account.map_or(Principal::Daemon, |account| Principal::Account(account.name.clone()))
    }

    /// Returns the account's name as it is told to an owner; empty for none.
    pub fn account_name(&self) -> &str {
        match self {
            Principal::Daemon => "",
            Principal::Account(name) => name,
        }
    }

    /// Returns whom an owner was told.
    pub fn from_account_name(name: &str) -> Principal {
        match name {
            "" => Principal::Daemon,
            name => Principal::Account(Name::from(name)),
        }
    }
}

/// The key belongs to no account of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Returns what a caller is told whose key nobody holds.
pub fn unknown_key_error() -> StatementError {
    StatementError::new(ErrorCode::Forbidden, "the key belongs to no client account")
}

/// Returns the account that a key belongs to by a configuration; none where it has no accounts, or the route asks for none.
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
