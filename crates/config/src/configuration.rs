//! The shared configuration after parsing and checking.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{GroupId, Name, ServerId};

use crate::{
    FailoverOptions, GroupOptions, KindOptions, LeavingOptions, LimitOptions, RuleOptions,
    ServiceOptions, UserOptions,
};

/// A server of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The name, unique within the group.
    pub name: Name,
    /// The socket address.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub availability_zone: Name,
    /// Whether the server is being drained for removal.
    pub leaving: bool,
}

/// A database group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The service and the name of the group.
    pub id: GroupId,
    /// The options of the group's section.
    pub options: GroupOptions,
    /// The servers, sorted by name; a [`ServerId`] is an index into this list.
    pub servers: Vec<Server>,
    /// The primary of the group's first term.
    pub first_primary: ServerId,
}

impl Group {
    /// Returns the number of servers that form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Whether both groups have the same server names and addresses, so connections can be kept.
    pub fn has_same_servers(&self, other: &Group) -> bool {
        let key = |server: &Server| (server.name.clone(), server.address);
        self.servers.iter().map(key).eq(other.servers.iter().map(key))
    }

    /// Returns the id of the server with this name.
    pub fn server_named(&self, name: &str) -> Option<ServerId> {
        let index = self.servers.iter().position(|server| &*server.name == name)?;
        Some(ServerId::from_index(index))
    }
}

/// A service with its groups, kinds of read and rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The options of the service's section.
    pub options: ServiceOptions,
    /// The names of its groups.
    pub groups: Vec<Name>,
    /// The kinds of read by name.
    pub kinds: BTreeMap<Name, KindOptions>,
    /// The rules that assign callers to groups, in the order of the file.
    pub rules: Vec<RuleOptions>,
}

/// The properties of a caller that determine its group.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The group that the caller requests, if any.
    pub group: Option<&'a str>,
    /// The user that the caller logged in as.
    pub user: &'a str,
    /// The caller's `application_name`.
    pub application_name: &'a str,
}

impl Service {
    /// Returns the group for a caller: the requested group, or else the group of the first matching rule, the default
    /// group, or the only group.
    ///
    /// Returns `None` if there is no such group or the choice is ambiguous.
    pub fn group_for(&self, caller: PlacementRequest<'_>) -> Option<&Name> {
        let selected = match caller.group {
            Some(group) => Some(group),
            None => self.group_by_rule_or_default(caller),
        };
        match selected {
            Some(selected) => self.groups.iter().find(|group| &***group == selected),
            None if self.groups.len() == 1 => self.groups.first(),
            None => None,
        }
    }

    fn group_by_rule_or_default(&self, caller: PlacementRequest<'_>) -> Option<&str> {
        let matches = |pattern: &Option<Name>, value: &str| {
            pattern.as_ref().is_none_or(|pattern| &**pattern == value)
        };
        let rule = self.rules.iter().find(|rule| {
            matches(&rule.user, caller.user)
                && matches(&rule.application_name, caller.application_name)
        });
        let group = rule.and_then(|rule| rule.group.as_ref());
        group.or(self.options.default_group.as_ref()).map(|group| &**group)
    }
}

/// A complete and valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The groups by name.
    pub groups: BTreeMap<GroupId, Arc<Group>>,
    /// The users by name.
    pub users: BTreeMap<Name, UserOptions>,
    /// Options for draining servers.
    pub leaving: LeavingOptions,
    /// Limits per daemon.
    pub limits: LimitOptions,
    /// Options for failure detection and failover.
    pub failover: FailoverOptions,
}

/// The parsed content of one chunk of a configuration.
///
/// All sections of a service are in the same chunk, so a change only needs the changed chunks to be
/// parsed again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationPart {
    pub(crate) services: BTreeMap<Name, Arc<Service>>,
    pub(crate) groups: BTreeMap<GroupId, Arc<Group>>,
    pub(crate) users: BTreeMap<Name, UserOptions>,
    pub(crate) leaving: Option<LeavingOptions>,
    pub(crate) limits: Option<LimitOptions>,
    pub(crate) failover: Option<FailoverOptions>,
}

impl Configuration {
    /// Merges the parts of an accepted configuration; services and groups are shared with the parts.
    pub fn from_parts<'a>(parts: impl IntoIterator<Item = &'a ConfigurationPart>) -> Configuration {
        let mut whole = Configuration::default();
        for part in parts {
            let share = |(name, service): (&Name, &Arc<Service>)| (name.clone(), service.clone());
            whole.services.extend(part.services.iter().map(share));
            let share = |(id, group): (&GroupId, &Arc<Group>)| (id.clone(), group.clone());
            whole.groups.extend(part.groups.iter().map(share));
            whole.users.extend(part.users.clone());
            if let Some(leaving) = &part.leaving {
                whole.leaving = leaving.clone();
            }
            if let Some(limits) = &part.limits {
                whole.limits = limits.clone();
            }
            if let Some(failover) = &part.failover {
                whole.failover = failover.clone();
            }
        }
        whole
    }
}
