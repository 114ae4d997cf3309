//! Which daemons own the connections to which servers, as every daemon finds out for itself.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use model::Name;
use routing::owners_of;

use crate::{
    catalog::ServerEntry,
    control::{
        beliefs::{Owners, Ownership},
        outside::Outside,
        runner::{Control, State},
    },
    metadata::Revision,
};

/// What owners were last worked out from.
pub(crate) struct OwnersOf {
    servers: Arc<HashMap<Name, Vec<Arc<ServerEntry>>>>,
    members: usize,
    members_changed_at: Revision,
}

impl<P: Outside> Control<P> {
    /// Works out anew who owns connections, where servers or members have changed.
    pub(crate) fn renew_owners(&self, state: &mut State) {
        let prefix = self.key("members/");
        let keys = state.mirror.below(&prefix);
        let (members, members_changed_at) =
            keys.fold((0, 0), |(count, latest), item| (count + 1, item.revision.max(latest)));
        let is_same = state.owners_of.as_ref().is_some_and(|of| {
            Arc::ptr_eq(&of.servers, &state.published_servers)
                && of.members == members
                && of.members_changed_at == members_changed_at
        });
        if is_same {
            return;
        }
        let servers = state.published_servers.clone();
        state.owners_of = Some(OwnersOf { servers: servers.clone(), members, members_changed_at });
        let mut zones = BTreeSet::new();
        let mut near = BTreeMap::new();
        for (host, member) in self.members(state) {
            let Some(address) = member.peer_address else { continue };
            if member.availability_zone == *self.settings.availability_zone {
                near.insert(host.to_owned(), address);
            }
            zones.insert(member.availability_zone);
        }
        let zone_count = zones.len() as u32;
        let servers = servers.values().flatten().map(|entry| entry.server.clone());
        let owners = servers.filter_map(|server| {
            let ownership = self.ownership_of(&server, &near)?;
            Some((server, ownership))
        });
        let owners: Owners = owners.collect();
        state.zones = zone_count;
        if *state.published_owners != owners {
            state.published_owners = Arc::new(owners);
        }
    }

    /// Returns who owns a server's connections in this zone; `None` before anybody there is known.
    fn ownership_of(
        &self,
        server: &Name,
        near: &BTreeMap<String, SocketAddr>,
    ) -> Option<Ownership> {
        let hosts = owners_of(server, near.keys().map(String::as_str));
        if hosts.is_empty() {
            return None;
        }
        let own_place = hosts.iter().position(|host| **host == *self.settings.host);
        let before = own_place.unwrap_or(hosts.len());
        let asked = hosts[..before].iter().map(|host| near[*host]).collect();
        Some(Ownership { is_owner: own_place.is_some(), asked })
    }
}
