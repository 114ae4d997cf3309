//! Groups the members by zone, from which the owners of server connections are chosen.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::Name;

use crate::control::{adapter::Adapter, control_view::Owners, runner::Control, state::State};

impl<P: Adapter> Control<P> {
    /// Rebuilds the published members and owners after the members have changed.
    pub(crate) fn update_owners(&self, state: &mut State) {
        if state.owners_members_version == Some(state.members_version) {
            return;
        }
        state.owners_members_version = Some(state.members_version);
        let mut by_zone: BTreeMap<Name, BTreeMap<Name, SocketAddr>> = BTreeMap::new();
        let mut members = BTreeMap::new();
        for (host, member) in &state.members {
            let Some(address) = member.peer_address else { continue };
            let zone = Name::from(member.availability_zone.as_str());
            by_zone.entry(zone).or_default().insert(host.clone(), address);
            members.insert(host.clone(), address);
        }
        state.zone_count = by_zone.len() as u32;
        if *state.published_members != members {
            state.published_members = Arc::new(members);
        }
        let owners = Owners { host: Some(self.settings.host.clone()), by_zone };
        if *state.published_owners != owners {
            state.published_owners = Arc::new(owners);
        }
    }
}
