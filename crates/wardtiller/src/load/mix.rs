//! What callers ask, for each of the users.

use std::{fmt, str::FromStr};

/// A user's mix of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Takeaway orders: tablets that poll, diners that pay, couriers that post.
    Skyndibiti,
    /// A balancing market: participants that revise offers, clerks and analysts that read.
    Authority,
}

/// What one caller does all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Polls with a kind of read that accepts staleness.
    Poller,
    /// Writes in transactions and reads back what it wrote.
    Writer,
    /// Changes one row again and again and reads it back.
    Updater,
    /// Reads without staleness, having written nothing.
    Reader,
}

impl Mix {
    /// Returns the mix that fits a service, by its kinds of read.
    pub fn for_read_kinds(kinds: &[&str]) -> Mix {
        if kinds.contains(&"reserve-schedule") { Mix::Authority } else { Mix::Skyndibiti }
    }

    /// Returns the kind of read that pollers name.
    pub fn read_kind(self) -> &'static str {
        match self {
            Mix::Skyndibiti => "menu",
            Mix::Authority => "reserve-schedule",
        }
    }

    /// Returns the role of the caller with a number.
    pub fn role(self, caller: usize) -> Role {
        let roles: [Role; 8] = match self {
            Mix::Skyndibiti => [
                Role::Poller,
                Role::Poller,
                Role::Writer,
                Role::Poller,
                Role::Poller,
                Role::Updater,
                Role::Poller,
                Role::Poller,
            ],
            Mix::Authority => [
                Role::Writer,
                Role::Reader,
                Role::Poller,
                Role::Updater,
                Role::Writer,
                Role::Reader,
                Role::Poller,
                Role::Writer,
            ],
        };
        roles[caller % roles.len()]
    }
}

/// The word names no mix.
#[derive(Debug)]
pub struct UnknownMix {
    word: String,
}

impl fmt::Display for UnknownMix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "there is no mix `{}`; write skyndibiti or authority", self.word)
    }
}

impl std::error::Error for UnknownMix {}

impl FromStr for Mix {
    type Err = UnknownMix;

    fn from_str(word: &str) -> Result<Mix, UnknownMix> {
        match word {
            "skyndibiti" => Ok(Mix::Skyndibiti),
            "authority" => Ok(Mix::Authority),
            _ => Err(UnknownMix { word: word.to_owned() }),
        }
    }
}
