//! The shared configuration as the daemons use it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{GroupId, Name, ServerId};

use crate::{
    FailoverOptions, GroupOptions, KindOptions, LeavingOptions, LimitOptions, RuleOptions,
    ServiceOptions, UserOptions,
};

/// A server of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name within the group.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub availability_zone: Name,
    /// Whether operators are taking it out.
    pub leaving: bool,
}

/// A database group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// Its options.
    pub options: GroupOptions,
    /// Its servers, ordered by name; [`ServerId`] counts in this order.
    pub servers: Vec<Server>,
    /// The server that leads in the first term.
    pub first_primary: ServerId,
}

impl Group {
    /// Returns how many servers form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Whether the servers are the same as another's, so that connections to them can be kept.
    pub fn servers_match(&self, other: &Group) -> bool {
        let key = |server: &Server| (server.name.clone(), server.address);
        self.servers.iter().map(key).eq(other.servers.iter().map(key))
    }

    /// Finds a server by its name.
    pub fn server_named(&self, name: &str) -> Option<ServerId> {
        let index = self.servers.iter().position(|server| &*server.name == name)?;
        Some(ServerId::from_index(index))
    }
}

/// A service with all that is named beneath it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Its options.
    pub options: ServiceOptions,
    /// The names of its groups.
    pub groups: Vec<Name>,
    /// The kinds of read.
    pub kinds: BTreeMap<Name, KindOptions>,
    /// The rules that place callers, in the order of the file.
    pub rules: Vec<RuleOptions>,
}

/// What a caller shows of itself when it is placed in a group.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The group that the caller names, if it does.
    pub named: Option<&'a str>,
    /// The user that it logged in as.
    pub user: &'a str,
    /// Its `application_name`.
    pub application_name: &'a str,
}

impl Service {
    /// Places a caller in a group: by the name that it gives, by a rule, or by the default.
    pub fn place(&self, caller: PlacementRequest<'_>) -> Option<&Name> {
        let wanted = match caller.named {
            Some(named) => Some(named),
            None => self.place_by_rule(caller),
        };
        match wanted {
            Some(wanted) => self.groups.iter().find(|group| &***group == wanted),
            None if self.groups.len() == 1 => self.groups.first(),
            None => None,
        }
    }

    fn place_by_rule(&self, caller: PlacementRequest<'_>) -> Option<&str> {
        let matches = |wanted: &Option<Name>, found: &str| {
            wanted.as_ref().is_none_or(|wanted| &**wanted == found)
        };
        let rule = self.rules.iter().find(|rule| {
            matches(&rule.user, caller.user)
                && matches(&rule.application_name, caller.application_name)
        });
        let group = rule.and_then(|rule| rule.group.as_ref());
        group.or(self.options.default_group.as_ref()).map(|group| &**group)
    }
}

/// The operators' intent, checked and complete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The groups by name.
    pub groups: BTreeMap<GroupId, Arc<Group>>,
    /// The users by name.
    pub users: BTreeMap<Name, UserOptions>,
    /// Rules for leaving endpoints.
    pub leaving: LeavingOptions,
    /// Limits of each daemon.
    pub limits: LimitOptions,
    /// How failures are found and repaired.
    pub failover: FailoverOptions,
}

/// What one chunk of a configuration says.
///
/// A service stands in one chunk with everything beneath it, so chunks can be read one by one, and
/// a change costs in proportion to itself.
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
    /// Joins the parts of an accepted configuration, sharing what they hold.
    pub fn join<'a>(parts: impl IntoIterator<Item = &'a ConfigurationPart>) -> Configuration {
        let mut whole = Configuration::default();
        for part in parts {
            let shared = |(name, found): (&Name, &Arc<Service>)| (name.clone(), found.clone());
            whole.services.extend(part.services.iter().map(shared));
            let shared = |(id, found): (&GroupId, &Arc<Group>)| (id.clone(), found.clone());
            whole.groups.extend(part.groups.iter().map(shared));
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
