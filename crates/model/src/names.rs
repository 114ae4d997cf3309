//! Names of groups and servers.

use std::{fmt, sync::Arc};

/// A shared immutable name; a clone costs one counter and no allocation.
pub type Name = Arc<str>;

/// A database group: the replicated copies of one shard of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// The service, which callers name as their database.
    pub service: Name,
    /// The group's name within the service.
    pub group: Name,
}

impl GroupId {
    /// Names a group of a service.
    pub fn new(service: impl Into<Name>, group: impl Into<Name>) -> GroupId {
        GroupId { service: service.into(), group: group.into() }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.group)
    }
}

/// A server of a group, by its place in the group's configured order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u16);

impl ServerId {
    /// Returns the place as an index into the group's servers.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Makes an identifier from an index into the group's servers.
    ///
    /// # Panics
    /// Panics when the index is beyond 65,535, which the configuration's check rules out.
    pub fn from_index(index: usize) -> ServerId {
        ServerId(u16::try_from(index).expect("a group has fewer than 65,536 servers"))
    }
}
