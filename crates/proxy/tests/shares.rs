//! How the connections of a server are divided.

use proxy::serve::share::{Keep, Share, Sharers, share_of};

#[test]
fn shares_never_add_up_to_more_than_is_granted_unless_they_are_scarce() {
    let share = |limit, loan, keep| Share { limit, loan, keep, owned: 0 };
    let scarce = |keep, owned| Share { limit: 1, loan: 0, keep, owned };
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
        let found = share_of(granted, sharers);
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
