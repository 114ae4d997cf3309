//! The distance between availability zones.

use std::collections::HashMap;

use model::Name;

/// The distance of a server from a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// In the daemon's availability zone.
    SameZone,
    /// In another zone of the daemon's region.
    SameRegion,
    /// In another region; all traffic shares the link to it.
    OtherRegion,
}

/// The regions of all zones, as seen from one zone.
#[derive(Clone, Debug)]
pub struct ZoneLayout {
    zone: Name,
    region_by_zone: HashMap<Name, Name>,
}

impl ZoneLayout {
    /// Creates the layout for a daemon in `zone`. Zones that are not listed count as part of its region.
    pub fn new(zone: Name, region_by_zone: HashMap<Name, Name>) -> ZoneLayout {
        ZoneLayout { zone, region_by_zone }
    }

    /// Returns the daemon's zone.
    pub fn zone(&self) -> &Name {
        &self.zone
    }

    /// Returns the distance of a zone.
    pub fn distance(&self, zone: &str) -> ZoneDistance {
        if *self.zone == *zone {
            return ZoneDistance::SameZone;
        }
        let regions = self.region_by_zone.get(&self.zone).zip(self.region_by_zone.get(zone));
        match regions {
            Some((own, other)) if own != other => ZoneDistance::OtherRegion,
            _ => ZoneDistance::SameRegion,
        }
    }
}
