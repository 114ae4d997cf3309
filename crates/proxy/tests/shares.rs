//! How the connections of a server are divided.

use proxy::serve::share::{Keep, Owned, Share, Sharers, share_of};

/// Statements that a server of these tests runs at a time.
const SLOTS: u32 = 1;

#[test]
fn shares_never_add_up_to_more_than_is_granted_unless_they_are_scarce() {
    let share = |limit, loan, keep| Share { limit, loan, keep, owned: None };
    let scarce =
        |keep, owned| Share { limit: 1, loan: 0, keep, owned: Some(Owned::InEachZone(owned)) };
    let cases = [
        (23, 9, 3, share(2, 0, Keep::One)),
        (38, 8, 3, share(4, 0, Keep::One)),
        (23, 1, 1, share(20, 0, Keep::One)),
        (16, 7, 3, share(1, 1, Keep::One)),
        (23, 20, 7, share(1, 0, Keep::One)),
        (23, 19, 7, share(1, 1, Keep::One)),
        (23, 21, 7, scarce(Keep::OneNear, 1)),
        (53, 71, 25, scarce(Keep::OneNear, 4)),
        (53, 71, 26, scarce(Keep::Nothing, 4)),
        (0, 5, 2, scarce(Keep::Nothing, 1)),
        (23, 0, 0, share(20, 0, Keep::One)),
    ];
    for (granted, daemons, in_zone, expected) in cases {
        let sharers = Sharers { daemons, in_zone, zones: 3 };
        let found = share_of(granted, SLOTS, sharers, false);
        assert_eq!(found, expected, "{granted} among {daemons}");
        let kept = match expected.keep {
            Keep::One => expected.limit * daemons.max(1),
            Keep::OneNear => in_zone * 2,
            Keep::Nothing => 0,
        };
        assert!(kept == 0 || kept + 3 <= granted, "{granted} among {daemons}");
        // One daemon that borrows leaves everybody else their own share and the reserve.
        let borrows = expected.loan;
        assert!(borrows == 0 || kept + borrows + 3 <= granted, "{granted} among {daemons}");
    }
}

/// An account's connection does no other's work, so a server's connections are in one owner's hands, who leaves room for
/// those of its former life and for commands.
#[test]
fn where_there_are_accounts_one_owner_keeps_most_of_what_a_server_grants() {
    let sharers = Sharers { daemons: 71, in_zone: 25, zones: 3 };
    for (granted, most, kept) in [(29, 20, 10), (53, 40, 20), (15, 9, 4), (4, 1, 1), (0, 1, 1)] {
        let owned = Some(Owned::Once { most, kept });
        assert_eq!(share_of(granted, SLOTS, sharers, true).owned, owned, "{granted}");
    }
    let owned = Owned::Once { most: 20, kept: 10 };
    assert_eq!([0, 1].map(|place| owned.kept_at(place)), [10, 0]);
    assert_eq!([0, 1].map(|place| Owned::InEachZone(4).kept_at(place)), [4, 4]);
    let few = Sharers { daemons: 9, in_zone: 3, zones: 3 };
    assert_eq!(share_of(29, SLOTS, few, true).owned, None);
}

/// Two regions of three zones before few connections: an owner in each zone had two of them, so a server ran no more than two
/// statements for the region that asked most, and the others' connections rested.
#[test]
fn where_a_zones_owner_could_not_use_a_servers_slots_one_owner_serves_all_zones() {
    let sharers = Sharers { daemons: 88, in_zone: 16, zones: 6 };
    assert_eq!(share_of(58, 2, sharers, false).owned, Some(Owned::InEachZone(2)));
    let owned = Some(Owned::Once { most: 44, kept: 22 });
    assert_eq!(share_of(58, 6, sharers, false).owned, owned);
    // What is granted bounds what slots can ask for.
    let sharers = Sharers { daemons: 20, in_zone: 10, zones: 2 };
    assert_eq!(share_of(4, 6, sharers, false).owned, Some(Owned::InEachZone(1)));
}

/// Behind a queue a first owner has connections for transactions that rest; it keeps no more of them for good, the second one has
/// no more than before, and both of every zone leave room for what dead daemons leave behind.
#[test]
fn an_owner_with_a_queue_has_room_for_transactions_that_rest() {
    for (granted, daemons, zones) in [(58, 88, 6), (53, 71, 3), (23, 21, 3)] {
        let sharers = Sharers { daemons, in_zone: daemons / zones, zones };
        let owned = share_of(granted, SLOTS, sharers, false).owned.expect("connections are scarce");
        let at = |place| owned.most_at(place, true);
        assert_eq!(at(0), owned.count() * 2);
        assert_eq!([at(1), owned.most_at(0, false)], [owned.count(); 2]);
        assert!(owned.kept_at(0) <= owned.count());
        assert!((at(0) + at(1)) * zones <= granted * 4 / 5, "{granted}");
    }
    let once = Owned::Once { most: 20, kept: 10 };
    assert_eq!(once.most_at(0, true), 20);
}
