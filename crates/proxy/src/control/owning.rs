//! Among which daemons the owners of connections are found.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::control::{beliefs::Owners, outside::Outside, runner::Control, state::State};

impl<P: Outside> Control<P> {
    /// Takes over which daemons stand in this one's zone, where members have changed.
    pub(crate) fn renew_owners(&self, state: &mut State) {
        if state.owners_of_members == Some(state.members_version) {
            return;
        }
        state.owners_of_members = Some(state.members_version);
        let mut zones = BTreeSet::new();
        let mut near = BTreeMap::new();
        let mut members = BTreeMap::new();
        for (host, member) in &state.members {
            let Some(address) = member.peer_address else { continue };
            zones.insert(&*member.availability_zone);
            members.insert(host.clone(), address);
            if member.availability_zone == *self.settings.availability_zone {
                near.insert(host.clone(), address);
            }
        }
        state.zones = zones.len() as u32;
        if *state.published_members != members {
            state.published_members = Arc::new(members);
        }
        let owners = Owners { host: Some(self.settings.host.clone()), near };
        if *state.published_owners != owners {
            state.published_owners = Arc::new(owners);
        }
    }
}
