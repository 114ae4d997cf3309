//! Tests of the distance between zones.

use std::collections::HashMap;

use model::Name;
use overload::{Layout, Reach};

fn layout(zones: &[(&str, &str)]) -> Layout {
    let regions: HashMap<Name, Name> =
        zones.iter().map(|(zone, region)| (Name::from(*zone), Name::from(*region))).collect();
    Layout::new(Name::from("east-1"), regions)
}

#[test]
fn the_distance_of_a_zone_depends_on_its_region() {
    let two = layout(&[("east-1", "east"), ("east-2", "east"), ("west-1", "west")]);
    assert_eq!(two.reach("east-1"), Reach::SameZone);
    assert_eq!(two.reach("east-2"), Reach::SameRegion);
    assert_eq!(two.reach("west-1"), Reach::OtherRegion);
    // A zone that is not listed.
    assert_eq!(two.reach("north-1"), Reach::SameRegion);
    assert_eq!(layout(&[]).reach("west-1"), Reach::SameRegion);
}
