//! How the connections of a server are divided.

use proxy::serve::share::{DaemonCounts, IdlePolicy, OwnerQuota, Share, share_of};

/// Statements that a server of these tests runs at a time.
const SLOTS: u32 = 1;

#[test]
fn shares_never_add_up_to_more_than_is_granted_unless_they_are_scarce() {
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
        // One daemon that borrows leaves everybody else their own share and the reserve.
        let borrows = expected.overflow;
        assert!(borrows == 0 || kept + borrows + 3 <= granted, "{granted} among {daemons}");
    }
}

/// An account's connection does no other's work, so a server's connections are in one owner's hands, who leaves room for
/// those of its former life and for commands.
#[test]
fn where_there_are_accounts_one_owner_keeps_most_of_what_a_server_grants() {
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

/// Two regions of three zones before few connections: an owner in each zone had two of them, so a server ran no more than two
/// statements for the region that asked most, and the others' connections rested.
#[test]
fn where_a_zones_owner_could_not_use_a_servers_slots_one_owner_serves_all_zones() {
    let counts = DaemonCounts { daemons: 88, in_zone: 16, zones: 6 };
    assert_eq!(share_of(58, 2, counts, false).owned, Some(OwnerQuota::PerZone(2)));
    let owned = Some(OwnerQuota::Single { max: 44, kept: 22 });
    assert_eq!(share_of(58, 6, counts, false).owned, owned);
    // What is granted bounds what slots can ask for.
    let counts = DaemonCounts { daemons: 20, in_zone: 10, zones: 2 };
    assert_eq!(share_of(4, 6, counts, false).owned, Some(OwnerQuota::PerZone(1)));
}

/// Behind a queue a first owner has connections for transactions that rest; it keeps no more of them for good, the second one has
/// no more than before, and both of every zone leave room for what dead daemons leave behind.
#[test]
fn an_owner_with_a_queue_has_room_for_transactions_that_rest() {
    for (granted, daemons, zones) in [(58, 88, 6), (53, 71, 3), (23, 21, 3)] {
        let counts = DaemonCounts { daemons, in_zone: daemons / zones, zones };
        let owned = share_of(granted, SLOTS, counts, false).owned.expect("connections are scarce");
        let at = |rank| owned.limit_of(rank, true);
        assert_eq!(at(0), owned.count() * 2);
        assert_eq!([at(1), owned.limit_of(0, false)], [owned.count(); 2]);
        assert!(owned.kept_by(0) <= owned.count());
        assert!((at(0) + at(1)) * zones <= granted * 4 / 5, "{granted}");
    }
    let once = OwnerQuota::Single { max: 20, kept: 10 };
    assert_eq!(once.limit_of(0, true), 20);
}
