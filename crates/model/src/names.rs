//! Identifiers of groups and servers.

use std::{fmt, sync::Arc};

/// A shared immutable name; cloning it does not allocate.
pub type Name = Arc<str>;

/// The identifier of a database group, the replicated copies of one shard of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// The service, which callers give as the database name.
    pub service: Name,
    /// The group's name within the service.
    pub group: Name,
}

impl GroupId {
    /// Creates an identifier from the names of a service and its group.
    pub fn new(service: impl Into<Name>, group: impl Into<Name>) -> GroupId {
        GroupId { service: service.into(), group: group.into() }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.group)
    }
}

/// The identifier of a server: its index in the group's configured order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u16);

impl ServerId {
    /// Returns the index into the group's servers.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Creates an identifier from an index into the group's servers.
    ///
    /// # Panics
    /// Panics if the index is above 65,535, which the check of the configuration prevents.
    pub fn from_index(index: usize) -> ServerId {
        ServerId(u16::try_from(index).expect("a group has fewer than 65,536 servers"))
    }
}
