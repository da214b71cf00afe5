//! The regions of a fleet and how far each data centre is from the local one.
//!
//! The settings assign data centres to regions. A fleet whose settings name no regions is a single
//! region.

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
    /// All values, the nearest first.
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

/// The regions of a fleet as seen from one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    own: DataCentre,
    regions: BTreeMap<DataCentre, Region>,
}

impl Topology {
    /// Creates the topology for a box in `own`. If `regions` is empty, all data centres are in one
    /// region.
    pub fn new(own: DataCentre, regions: BTreeMap<DataCentre, Region>) -> Self {
        Self { own, regions }
    }

    /// This box's data centre.
    pub fn own(&self) -> &DataCentre {
        &self.own
    }

    /// The region of a data centre; `None` if the settings do not name it.
    pub fn region(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.regions.get(data_centre)
    }

    /// This box's region.
    pub fn own_region(&self) -> Option<&Region> {
        self.region(&self.own)
    }

    /// Whether the settings name more than one region.
    pub fn has_multiple_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// How far a data centre is from this box. A data centre that the settings do not name counts
    /// as part of this box's region: it may be new, and should receive requests nonetheless.
    pub fn reach(&self, data_centre: &DataCentre) -> Reach {
        if *data_centre == self.own {
            return Reach::Local;
        }
        match (self.own_region(), self.region(data_centre)) {
            (Some(own), Some(other)) if own != other => Reach::Remote,
            _ => Reach::Regional,
        }
    }

    /// The regions, ordered by name.
    pub fn regions(&self) -> Vec<&Region> {
        self.by_region().into_keys().collect()
    }

    /// The region of a data centre. Defaults to this box's region if the settings do not name the
    /// data centre.
    pub fn region_or_own(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.region(data_centre).or_else(|| self.own_region())
    }

    /// The data centres of each region, as named in the settings.
    pub fn by_region(&self) -> BTreeMap<&Region, Vec<&DataCentre>> {
        let mut regions: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (data_centre, region) in &self.regions {
            regions.entry(region).or_default().push(data_centre);
        }
        regions
    }
}
