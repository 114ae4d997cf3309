//! Selection of the daemons that watch the store on behalf of the others.

use crate::Member;

/// Returns whether a daemon watches the store: it is among the first `count` of its availability zone.
///
/// Open watches count against the store's request rate, so their number depends on the number of zones
/// and not of daemons. Members are ordered by their keys, which don't change with a restart.
pub fn is_watcher(own_key: u64, members: &[Member], count: usize) -> bool {
    let Some(own) = members.iter().find(|member| member.key == own_key) else {
        // A daemon that is not listed yet gets no updates from the watchers, so it watches the store itself.
        return true;
    };
    let before = members
        .iter()
        .filter(|other| other.availability_zone == own.availability_zone && other.key < own.key)
        .count();
    before < count
}
