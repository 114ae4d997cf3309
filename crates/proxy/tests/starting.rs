//! Tests of which daemons read the whole store when many start at once.

use std::time::Duration;

use proxy::control::starting::skipped_peers;

/// Guards against a whole zone reading the store at once because a start takes long.
#[test]
fn number_of_readers_doubles_with_each_read_duration() {
    let read_duration = Duration::from_secs(6);
    for (waited_s, expected) in [(0, 0), (5, 0), (6, 1), (11, 1), (12, 3), (18, 7), (600, 65_535)] {
        let passed = skipped_peers(Duration::from_secs(waited_s), read_duration);
        assert_eq!(passed, expected, "{waited_s} s");
    }
}
