//! Owners, watchers, members and leaving endpoints.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use config::OwnerCount;
use membership::{
    LeavingEndpoints, Member, MemberList, MemberState, WorkAllowed, is_watcher, owner_count,
    select_owners,
};
use model::{GroupId, Name};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn members(count: usize, zones: usize) -> Vec<Member> {
    let member = |index: usize| {
        let host = Name::from(format!("entry-{index}"));
        let zone = Name::from(format!("zone-{}", index % zones));
        Member::new(host, zone, address(1_000 + index as u16), MemberState::Live)
    };
    (0..count).map(member).collect()
}

fn group(index: usize) -> GroupId {
    GroupId::new("service", format!("group-{index}"))
}

fn keys(chosen: &[&Member]) -> BTreeSet<u64> {
    chosen.iter().map(|member| member.key).collect()
}

#[test]
fn owners_are_in_different_zones_regardless_of_the_list_order() {
    let listed = members(9, 3);
    let mut reversed = listed.clone();
    reversed.reverse();
    for index in 0..200 {
        let chosen = select_owners(&group(index), &listed, 3);
        let zones: BTreeSet<_> = chosen.iter().map(|member| &member.availability_zone).collect();
        assert_eq!(zones.len(), 3);
        assert_eq!(keys(&chosen), keys(&select_owners(&group(index), &reversed, 3)));
    }
}

#[test]
fn a_member_that_leaves_moves_only_its_own_groups() {
    let before = members(100, 4);
    let mut after = before.clone();
    let removed = after.remove(42).key;
    let (mut moved, mut owned) = (0, 0);
    for index in 0..2_000 {
        let old = keys(&select_owners(&group(index), &before, 3));
        let new = keys(&select_owners(&group(index), &after, 3));
        owned += usize::from(old.contains(&removed));
        moved += usize::from(old != new);
        assert!(old.contains(&removed) || old == new, "group {index} moved without need");
    }
    assert_eq!(moved, owned);
    // Each of 100 members owns about 60 of 2,000 groups with three owners.
    assert!((20..140).contains(&moved), "{moved}");
}

#[test]
fn the_number_of_owners_depends_on_the_connections() {
    let rows = [
        (OwnerCount::Auto, 25, 8, 8),
        (OwnerCount::Auto, 40, 8, 8),
        (OwnerCount::Auto, 12, 8, 4),
        (OwnerCount::Auto, 25, 4_000, 8),
        (OwnerCount::Auto, 2, 8, 2),
        (OwnerCount::Fixed(3), 25, 8, 3),
        (OwnerCount::Fixed(30), 25, 8, 8),
        (OwnerCount::Auto, 25, 0, 0),
    ];
    for (setting, connections, members, expected) in rows {
        assert_eq!(
            owner_count(setting, connections, members),
            expected,
            "{setting:?} {connections}"
        );
    }
}

#[test]
fn a_fixed_number_of_members_in_each_zone_watches_the_store() {
    let mut listed = members(320, 32);
    listed.sort_by_key(|member| member.key);
    let watching = listed.iter().filter(|member| is_watcher(member.key, &listed, 2)).count();
    assert_eq!(watching, 64);
    assert!(is_watcher(7, &listed, 2), "a daemon that is not listed gets no updates from others");
}

#[test]
fn the_host_list_is_combined_with_observed_states() {
    let now = Instant::now();
    let mut list = MemberList::default();
    let mut listed = members(3, 1);
    listed[2].state = MemberState::Leaving;
    let (first, second) = (listed[0].key, listed[1].key);
    assert!(list.replace(5, listed.clone()));
    assert!(!list.replace(4, Vec::new()), "an older list is ignored");
    let usable = |list: &MemberList, at| -> BTreeSet<u64> {
        list.usable(at).iter().map(|member| member.key).collect()
    };
    assert_eq!(usable(&list, now), BTreeSet::from([first, second]));
    list.suspect(first, now);
    assert_eq!(usable(&list, now), BTreeSet::from([second]));
    let later = now + Duration::from_secs(60);
    assert_eq!(usable(&list, later), BTreeSet::from([first, second]), "a suspicion expires");
    list.mark_stopping(second, now);
    assert_eq!(usable(&list, later), BTreeSet::from([first]));
    list.mark_running(second);
    assert_eq!(usable(&list, later), BTreeSet::from([first, second]));
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_after_the_time_limit() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let (new_work, finish) = (Duration::from_secs(2), Duration::from_secs(5));
    let mut leaving = LeavingEndpoints::default();
    let server = address(1);
    leaving.mark_leaving(server, at(0));
    // A second signal, such as the platform's late host list, does not restart the time.
    leaving.mark_leaving(server, at(1_500));
    let rows = [
        (1_999, finish, WorkAllowed::All),
        (2_000, finish, WorkAllowed::Running),
        (6_999, finish, WorkAllowed::Running),
        (7_000, finish, WorkAllowed::Nothing),
        (60_000, Duration::ZERO, WorkAllowed::Running),
    ];
    for (ms, finish, expected) in rows {
        assert_eq!(leaving.work_allowed(&server, new_work, finish, at(ms)), expected, "{ms} ms");
    }
    assert_eq!(leaving.work_allowed(&address(2), new_work, finish, at(60_000)), WorkAllowed::All);
    leaving.retain(|_| false);
    assert_eq!(leaving.work_allowed(&server, new_work, finish, at(60_000)), WorkAllowed::All);
}
