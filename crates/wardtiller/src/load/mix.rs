//! The mixes of requests that callers send, one for each modelled workload.

use std::{fmt, str::FromStr};

/// The mix of requests of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Takeaway orders: tablets that poll for most of the requests, and few orders and updates.
    Skyndibiti,
    /// A balancing market: participants that update offers, and staff who only read.
    Authority,
}

/// The kind of requests that one caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Polls with a read kind that accepts staleness.
    Poller,
    /// Writes in transactions and reads its own writes.
    Writer,
    /// Writes in single requests and reads its own writes.
    Updater,
    /// Reads without accepting staleness and writes nothing.
    Reader,
}

impl Mix {
    /// Returns the mix for a service with these read kinds.
    pub fn for_read_kinds(kinds: &[&str]) -> Mix {
        if kinds.contains(&"reserve-schedule") { Mix::Authority } else { Mix::Skyndibiti }
    }

    /// Returns the read kind that pollers use.
    pub fn read_kind(self) -> &'static str {
        match self {
            Mix::Skyndibiti => "menu",
            Mix::Authority => "reserve-schedule",
        }
    }

    /// Returns the role of a caller by its number.
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

/// The error for an unknown mix.
#[derive(Debug)]
pub struct UnknownMix {
    name: String,
}

impl fmt::Display for UnknownMix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "there is no mix `{}`; write skyndibiti or authority", self.name)
    }
}

impl std::error::Error for UnknownMix {}

impl FromStr for Mix {
    type Err = UnknownMix;

    fn from_str(name: &str) -> Result<Mix, UnknownMix> {
        match name {
            "skyndibiti" => Ok(Mix::Skyndibiti),
            "authority" => Ok(Mix::Authority),
            _ => Err(UnknownMix { name: name.to_owned() }),
        }
    }
}
