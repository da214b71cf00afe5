//! Which data centres make up which region, and how far they are from the one this box stands in.
//!
//! The settings say which data centre belongs to which region. A fleet whose settings name no regions
//! lies in one.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::{DataCentre, Region};

/// How far a data centre is from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// The same data centre.
    Local,
    /// Another data centre of the same region.
    Regional,
    /// Another region.
    Remote,
}

impl Reach {
    /// Every reach, the nearest first.
    pub const ALL: [Self; 3] = [Self::Local, Self::Regional, Self::Remote];
}

impl fmt::Display for Reach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Local => "local",
            Self::Regional => "regional",
            Self::Remote => "remote",
        })
    }
}

/// The regions of a fleet, seen from one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    own: DataCentre,
    regions: BTreeMap<DataCentre, Region>,
}

impl Topology {
    /// The regions as they are seen from the data centre `own`. With none given, all data centres lie in
    /// one region.
    pub fn new(own: DataCentre, regions: BTreeMap<DataCentre, Region>) -> Self {
        Self { own, regions }
    }

    /// This box's data centre.
    pub fn own(&self) -> &DataCentre {
        &self.own
    }

    /// The region of a data centre; `None` where the settings don't name it.
    pub fn region(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.regions.get(data_centre)
    }

    /// This box's region.
    pub fn own_region(&self) -> Option<&Region> {
        self.region(&self.own)
    }

    /// Whether there is more than one region.
    pub fn is_split(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// How far a data centre is from this box. One that the settings don't name is taken to be in this
    /// box's region: it may be new, and must not be left without work for that.
    pub fn reach(&self, data_centre: &DataCentre) -> Reach {
        if *data_centre == self.own {
            return Reach::Local;
        }
        match (self.own_region(), self.region(data_centre)) {
            (Some(own), Some(other)) if own != other => Reach::Remote,
            _ => Reach::Regional,
        }
    }

    /// The regions, in the order of their names.
    pub fn regions(&self) -> Vec<&Region> {
        self.by_region().into_keys().collect()
    }

    /// The region in which a data centre is taken to lie: this box's where the settings don't name it.
    pub fn region_or_own(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.region(data_centre).or_else(|| self.own_region())
    }

    /// The data centres named, by region.
    pub fn by_region(&self) -> BTreeMap<&Region, Vec<&DataCentre>> {
        let mut regions: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (data_centre, region) in &self.regions {
            regions.entry(region).or_default().push(data_centre);
        }
        regions
    }
}
