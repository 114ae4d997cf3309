//! The daemons that watch the store for all others.

use crate::Member;

/// Whether a daemon watches the store: it is among the first `count` of its availability zone.
///
/// Each waiting watch counts against the store's rate, so their number follows the zones and not
/// the fleet. The order is that of the members' keys, which no restart changes.
pub fn is_watcher(own_key: u64, members: &[Member], count: usize) -> bool {
    let Some(own) = members.iter().find(|member| member.key == own_key) else {
        // A daemon that the list does not name yet has nobody to hear from.
        return true;
    };
    let before = members
        .iter()
        .filter(|other| other.availability_zone == own.availability_zone && other.key < own.key)
        .count();
    before < count
}
