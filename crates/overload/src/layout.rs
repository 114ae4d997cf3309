//! How far another availability zone is, as the operators laid the fleet out.

use std::collections::HashMap;

use model::Name;

/// Where a server stands, seen from a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// In the daemon's own availability zone.
    SameZone,
    /// In another zone of its region.
    SameRegion,
    /// In another region, whose link all traffic shares.
    OtherRegion,
}

/// The zones with their regions, seen from one of them.
#[derive(Clone, Debug)]
pub struct Layout {
    zone: Name,
    region_by_zone: HashMap<Name, Name>,
}

impl Layout {
    /// Makes the layout that a daemon in `zone` sees; zones that are not listed count as of its own region.
    pub fn new(zone: Name, region_by_zone: HashMap<Name, Name>) -> Layout {
        Layout { zone, region_by_zone }
    }

    /// Returns the daemon's own zone.
    pub fn zone(&self) -> &Name {
        &self.zone
    }

    /// Says how far a zone is.
    pub fn reach(&self, zone: &str) -> Reach {
        if *self.zone == *zone {
            return Reach::SameZone;
        }
        let regions = self.region_by_zone.get(&self.zone).zip(self.region_by_zone.get(zone));
        match regions {
            Some((own, other)) if own != other => Reach::OtherRegion,
            _ => Reach::SameRegion,
        }
    }
}
