//! Division of a server's connections.

use proxy::serve::share::{DaemonCounts, IdlePolicy, OwnerQuota, Share, share_of};

/// Number of statements that a server runs at a time in these tests.
const SLOTS: u32 = 1;

#[test]
fn shares_never_exceed_what_is_granted_unless_connections_are_scarce() {
    let share = |limit, overflow, idle_policy| Share { limit, overflow, idle_policy, owned: None };
    let scarce = |idle_policy, owned| Share {
        limit: 1,
        overflow: 0,
        idle_policy,
        owned: Some(OwnerQuota::PerZone(owned)),
    };
    let cases = [
        (23, 9, 3, share(2, 0, IdlePolicy::KeepOne)),
        (38, 8, 3, share(4, 0, IdlePolicy::KeepOne)),
        (23, 1, 1, share(20, 0, IdlePolicy::KeepOne)),
        (16, 7, 3, share(1, 1, IdlePolicy::KeepOne)),
        (23, 20, 7, share(1, 0, IdlePolicy::KeepOne)),
        (23, 19, 7, share(1, 1, IdlePolicy::KeepOne)),
        (23, 21, 7, scarce(IdlePolicy::KeepOneInZone, 1)),
        (53, 71, 25, scarce(IdlePolicy::KeepOneInZone, 4)),
        (53, 71, 26, scarce(IdlePolicy::KeepNone, 4)),
        (0, 5, 2, scarce(IdlePolicy::KeepNone, 1)),
        (23, 0, 0, share(20, 0, IdlePolicy::KeepOne)),
    ];
    for (granted, daemons, in_zone, expected) in cases {
        let counts = DaemonCounts { daemons, in_zone, zones: 3 };
        let found = share_of(granted, SLOTS, counts, false);
        assert_eq!(found, expected, "{granted} among {daemons}");
        let kept = match expected.idle_policy {
            IdlePolicy::KeepOne => expected.limit * daemons.max(1),
            IdlePolicy::KeepOneInZone => in_zone * 2,
            IdlePolicy::KeepNone => 0,
        };
        assert!(kept == 0 || kept + 3 <= granted, "{granted} among {daemons}");
        // When one daemon uses its overflow, the shares of all others and the reserve remain.
        let overflow = expected.overflow;
        assert!(overflow == 0 || kept + overflow + 3 <= granted, "{granted} among {daemons}");
    }
}

/// A connection serves one account only, so one owner has all connections of a server. Part of them stays unused for
/// the connections of the owner's previous incarnation and for commands.
#[test]
fn with_accounts_one_owner_has_most_of_a_servers_connections() {
    let counts = DaemonCounts { daemons: 71, in_zone: 25, zones: 3 };
    for (granted, max, kept) in [(29, 20, 10), (53, 40, 20), (15, 9, 4), (4, 1, 1), (0, 1, 1)] {
        let owned = Some(OwnerQuota::Single { max, kept });
        assert_eq!(share_of(granted, SLOTS, counts, true).owned, owned, "{granted}");
    }
    let owned = OwnerQuota::Single { max: 20, kept: 10 };
    assert_eq!([0, 1].map(|rank| owned.kept_by(rank)), [10, 0]);
    assert_eq!([0, 1].map(|rank| OwnerQuota::PerZone(4).kept_by(rank)), [4, 4]);
    let few = DaemonCounts { daemons: 9, in_zone: 3, zones: 3 };
    assert_eq!(share_of(29, SLOTS, few, true).owned, None);
}

/// Guards against slots that stay unused because an owner in each zone has fewer connections than the server has
/// slots.
#[test]
fn one_owner_serves_all_zones_if_zone_owners_could_not_use_all_slots() {
    let counts = DaemonCounts { daemons: 88, in_zone: 16, zones: 6 };
    assert_eq!(share_of(58, 2, counts, false).owned, Some(OwnerQuota::PerZone(2)));
    let owned = Some(OwnerQuota::Single { max: 44, kept: 22 });
    assert_eq!(share_of(58, 6, counts, false).owned, owned);
    // The owner's quota can't exceed what the server grants.
    let counts = DaemonCounts { daemons: 20, in_zone: 10, zones: 2 };
    assert_eq!(share_of(4, 6, counts, false).owned, Some(OwnerQuota::PerZone(1)));
}

/// The first owner with a queue has connections for idle transactions, but keeps no more of them. The second has no
/// more than without a queue, and both leave room for the connections of dead daemons.
#[test]
fn an_owner_with_a_queue_has_room_for_idle_transactions() {
    for (granted, daemons, zones) in [(58, 88, 6), (53, 71, 3), (23, 21, 3)] {
        let counts = DaemonCounts { daemons, in_zone: daemons / zones, zones };
        let owned = share_of(granted, SLOTS, counts, false).owned.expect("connections are scarce");
        let at = |rank| owned.limit_of(rank, true);
        assert_eq!(at(0), owned.count() * 2);
        assert_eq!([at(1), owned.limit_of(0, false)], [owned.count(); 2]);
        assert!(owned.kept_by(0) <= owned.count());
        assert!((at(0) + at(1)) * zones <= granted * 4 / 5, "{granted}");
    }
    let single = OwnerQuota::Single { max: 20, kept: 10 };
    assert_eq!(single.limit_of(0, true), 20);
}
