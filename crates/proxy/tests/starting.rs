//! Who reads everything of the store where many daemons start at once.

use std::time::Duration;

use proxy::control::starting::skipped_peers;

/// Guards against a zone of which everybody reads everything at once as soon as a start takes long.
#[test]
fn twice_as_many_of_a_zone_read_everything_with_each_time_that_one_reading_may_take() {
    let reading_takes = Duration::from_secs(6);
    for (waited_s, expected) in [(0, 0), (5, 0), (6, 1), (11, 1), (12, 3), (18, 7), (600, 65_535)] {
        let passed = skipped_peers(Duration::from_secs(waited_s), reading_takes);
        assert_eq!(passed, expected, "{waited_s} s");
    }
}
