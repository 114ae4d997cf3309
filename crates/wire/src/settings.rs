//! Session settings that are carried from connection to connection.

use std::{collections::BTreeMap, fmt};

use xxhash_rust::xxh3::xxh3_64;

/// Settings that are replayed on every connection that a session gets.
const CARRIED: [&str; 16] = [
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

/// Longer values are refused, so that a session's state stays small.
const LONGEST_VALUE_BYTES: usize = 4_096;

/// Why a setting was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingError {
    /// It can't be carried from connection to connection.
    NotCarried {
        /// Its name.
        name: String,
    },
    /// Its value is too long.
    TooLong {
        /// Its name.
        name: String,
    },
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingError::NotCarried { name } => write!(
                f,
                "the setting `{name}` is not carried between pooled connections; use SET LOCAL in \
                 a transaction, or one of: {}",
                CARRIED.join(", ")
            ),
            SettingError::TooLong { name } => {
                write!(f, "the value of `{name}` is longer than {LONGEST_VALUE_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for SettingError {}

/// The settings that a session has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSettings {
    values: BTreeMap<String, String>,
    at_startup: BTreeMap<String, String>,
}

impl SessionSettings {
    /// Takes a setting that the caller gave at start-up, to which `RESET` returns.
    pub fn set_at_startup(&mut self, name: &str, value: &str) -> Result<(), SettingError> {
        self.set(name, Some(value))?;
        self.at_startup.clone_from(&self.values);
        Ok(())
    }

    /// Changes a setting; `None` returns it to what it was at start-up.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), SettingError> {
        let name = name.to_lowercase();
        if !CARRIED.contains(&name.as_str()) {
            return Err(SettingError::NotCarried { name });
        }
        if value.is_some_and(|value| value.len() > LONGEST_VALUE_BYTES) {
            return Err(SettingError::TooLong { name });
        }
        match value.or(self.at_startup.get(&name).map(String::as_str)) {
            Some(value) => self.values.insert(name, value.to_owned()),
            None => self.values.remove(&name),
        };
        Ok(())
    }

    /// Returns every setting to what it was at start-up.
    pub fn reset_all(&mut self) {
        self.values.clone_from(&self.at_startup);
    }

    /// Returns the changed settings, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns a setting's value, if the session has changed it.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns a number that differs when the settings do; 0 when nothing is changed.
    pub fn fingerprint<'a>(settings: impl Iterator<Item = (&'a str, &'a str)>) -> u64 {
        settings.fold(0, |hash: u64, (name, value)| {
            hash.rotate_left(7)
                ^ xxh3_64(name.as_bytes())
                ^ xxh3_64(value.as_bytes()).rotate_left(3)
        })
    }

    /// Returns the statement that gives a clean connection these settings; empty for none.
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
