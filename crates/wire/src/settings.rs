//! Session settings that are replayed on each endpoint connection.

use std::{collections::BTreeMap, fmt};

use xxhash_rust::xxh3::xxh3_64;

/// Settings that are replayed on every endpoint connection of a session.
const REPLAYED_SETTINGS: [&str; 16] = [
    "application_name",
    "bytea_output",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "default_transaction_isolation",
    "default_transaction_read_only",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "standard_conforming_strings",
    "statement_timeout",
    "timezone",
    "transform_null_equals",
];

/// Limit on the length of a setting's value.
const MAX_VALUE_BYTES: usize = 4_096;

/// Why a setting was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingError {
    /// The setting is not one of those that are replayed.
    NotReplayed {
        /// The setting's name.
        name: String,
    },
    /// The value is too long.
    TooLong {
        /// The setting's name.
        name: String,
    },
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingError::NotReplayed { name } => write!(
                f,
                "the setting `{name}` is not carried between pooled connections; use SET LOCAL in \
                 a transaction, or one of: {}",
                REPLAYED_SETTINGS.join(", ")
            ),
            SettingError::TooLong { name } => {
                write!(f, "the value of `{name}` is longer than {MAX_VALUE_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for SettingError {}

/// The settings that a session has changed, with their values at start-up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSettings {
    values: BTreeMap<String, String>,
    startup_values: BTreeMap<String, String>,
}

impl SessionSettings {
    /// Stores a setting from the caller's start-up message, which becomes the value for `RESET`.
    pub fn set_at_startup(&mut self, name: &str, value: &str) -> Result<(), SettingError> {
        self.set(name, Some(value))?;
        self.startup_values.clone_from(&self.values);
        Ok(())
    }

    /// Changes a setting; `None` resets it to its value at start-up.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), SettingError> {
        let name = name.to_lowercase();
        if !REPLAYED_SETTINGS.contains(&name.as_str()) {
            return Err(SettingError::NotReplayed { name });
        }
        if value.is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(SettingError::TooLong { name });
        }
        match value.or(self.startup_values.get(&name).map(String::as_str)) {
            Some(value) => self.values.insert(name, value.to_owned()),
            None => self.values.remove(&name),
        };
        Ok(())
    }

    /// Resets every setting to its value at start-up.
    pub fn reset_all(&mut self) {
        self.values.clone_from(&self.startup_values);
    }

    /// Returns the changed settings, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns a setting's value, if the session has changed it.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns a hash of the settings; 0 if there are none.
    pub fn fingerprint<'a>(settings: impl Iterator<Item = (&'a str, &'a str)>) -> u64 {
        settings.fold(0, |hash: u64, (name, value)| {
            hash.rotate_left(7)
                ^ xxh3_64(name.as_bytes())
                ^ xxh3_64(value.as_bytes()).rotate_left(3)
        })
    }

    /// Returns the `SET` statements that apply the settings to a connection; empty if there are none.
    pub fn replay_statement<'a>(settings: impl Iterator<Item = (&'a str, &'a str)>) -> String {
        settings.fold(String::new(), |mut sql, (name, value)| {
            sql.push_str("SET ");
            sql.push_str(name);
            sql.push_str(" = '");
            sql.push_str(&value.replace('\'', "''"));
            sql.push_str("';");
            sql
        })
    }
}
