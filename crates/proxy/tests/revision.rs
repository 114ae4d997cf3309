//! Revisions of a store that may be restored.

use proxy::metadata::{Era, Revision};

#[test]
fn any_revision_of_a_later_era_is_later() {
    let at = |era, number| Revision::new(Era(era), number);
    let rising = [Revision::ABSENT, at(0, 1), at(0, 900), at(1, 0), at(1, 5), at(2, 3), at(2, 4)];
    for pair in rising.windows(2) {
        assert!(pair[0] < pair[1], "{pair:?}");
    }
    assert!(rising.iter().all(|revision| *revision < Revision::MAX));
    assert_eq!(at(1, 5).next(), at(1, 6));
}

/// The platform compares tokens only, and rejects an order with a lower token as one of an earlier promoter.
#[test]
fn fencing_tokens_increase_and_equal_the_revision_number_without_eras() {
    assert_eq!(Revision::new(Era::NONE, 4_711).fencing_token(), 4_711);
    let many = 1 << 39;
    let mut last = 0;
    for era in [0, 1, 2, 700, Era::LAST.0] {
        for number in [1, 2, many] {
            let token = Revision::new(Era(era), number).fencing_token();
            assert!(token > last, "era {era}, {number}");
            last = token;
        }
    }
    assert!(last < 1 << 53, "a JSON reader may parse it as a float");
}
