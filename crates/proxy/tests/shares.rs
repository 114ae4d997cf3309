//! How the connections of a server are divided.

use proxy::serve::pool::{Share, share_of};

#[test]
fn shares_never_add_up_to_more_than_is_granted_unless_they_are_scarce() {
    let share = |limit, is_scarce| Share { limit, is_scarce };
    let cases = [
        (23, 9, share(2, false)),
        (38, 8, share(4, false)),
        (23, 1, share(20, false)),
        (23, 20, share(1, false)),
        (23, 21, share(1, true)),
        (53, 71, share(1, true)),
        (0, 5, share(1, true)),
        (23, 0, share(20, false)),
    ];
    for (granted, members, expected) in cases {
        assert_eq!(share_of(granted, members), expected, "{granted} among {members}");
        if !expected.is_scarce {
            assert!(expected.limit * members.max(1) + 3 <= granted);
        }
    }
}
