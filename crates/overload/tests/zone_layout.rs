//! Tests of the distance between zones.

use std::collections::HashMap;

use model::Name;
use overload::{ZoneDistance, ZoneLayout};

fn layout(zones: &[(&str, &str)]) -> ZoneLayout {
    let regions: HashMap<Name, Name> =
        zones.iter().map(|(zone, region)| (Name::from(*zone), Name::from(*region))).collect();
    ZoneLayout::new(Name::from("east-1"), regions)
}

#[test]
fn the_distance_of_a_zone_depends_on_its_region() {
    let two = layout(&[("east-1", "east"), ("east-2", "east"), ("west-1", "west")]);
    assert_eq!(two.distance("east-1"), ZoneDistance::SameZone);
    assert_eq!(two.distance("east-2"), ZoneDistance::SameRegion);
    assert_eq!(two.distance("west-1"), ZoneDistance::OtherRegion);
    // A zone that is not listed.
    assert_eq!(two.distance("north-1"), ZoneDistance::SameRegion);
    assert_eq!(layout(&[]).distance("west-1"), ZoneDistance::SameRegion);
}
