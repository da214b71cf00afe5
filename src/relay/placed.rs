//! The servers of a service by how far they are, as a choice goes through them.

use std::sync::Arc;

use super::known::Known;
use crate::decide::topology::{Reach, Topology};

/// A server, and where it stands as seen from this box.
#[derive(Debug, Clone)]
pub struct PlacedServer {
    /// The server.
    pub known: Arc<Known>,
    /// How far it is.
    pub reach: Reach,
    /// Its region's place among the regions.
    pub region: usize,
}

/// The servers of a service. Each list is in the order of the servers' hashes.
#[derive(Debug, Default)]
pub struct Placed {
    /// All of them.
    pub all: Vec<PlacedServer>,
    /// Those that are about as far as each other, the nearest first. Where there is one region, all are.
    pub groups: Vec<Vec<PlacedServer>>,
    /// Those of each region.
    pub regions: Vec<Vec<PlacedServer>>,
}

impl Placed {
    /// The servers, given in the order of their hashes, as they are seen by a box.
    pub fn new(topology: Option<&Topology>, servers: &[Arc<Known>]) -> Self {
        let regions = topology.map(Topology::regions).unwrap_or_default();
        let place = |known: &Arc<Known>| {
            let data_centre = &known.server.data_centre;
            let reach = topology.map_or(Reach::Regional, |topology| topology.reach(data_centre));
            let region = topology.and_then(|topology| topology.region_or_own(data_centre));
            let region = regions.iter().position(|it| Some(*it) == region).unwrap_or(0);
            PlacedServer { known: known.clone(), reach, region }
        };
        let all: Vec<_> = servers.iter().map(place).collect();
        let groups = match regions.len() {
            0 | 1 => vec![all.clone()],
            _ => by(Reach::ALL.len(), &all, |it| it.reach as usize),
        };
        let regions = by(regions.len().max(1), &all, |it| it.region);
        Self { all, groups, regions }
    }
}

fn by(
    count: usize,
    all: &[PlacedServer],
    key: impl Fn(&PlacedServer) -> usize,
) -> Vec<Vec<PlacedServer>> {
    let mut lists = vec![Vec::new(); count];
    for server in all {
        lists[key(server)].push(server.clone());
    }
    lists
}
