//! The servers of a service grouped by their reach, as server selection goes through them.

use std::sync::Arc;

use super::known::KnownServer;
use crate::decide::topology::{Reach, Topology};

/// A server and its location relative to this box.
#[derive(Debug, Clone)]
pub struct LocatedServer {
    /// The server.
    pub known: Arc<KnownServer>,
    /// Its reach.
    pub reach: Reach,
    /// The index of its region in [`Topology::regions`].
    pub region_index: usize,
}

/// The servers of a service. Each list is ordered by the hash of the servers' ids.
#[derive(Debug, Default)]
pub struct ServersByReach {
    /// All servers.
    pub all: Vec<LocatedServer>,
    /// The servers of each reach, the nearest first. A single group of all servers if there is only
    /// one region.
    pub by_reach: Vec<Vec<LocatedServer>>,
    /// The servers of each region.
    pub by_region: Vec<Vec<LocatedServer>>,
}

impl ServersByReach {
    /// Groups the servers as seen from a box. `servers` must be ordered by their hashes.
    pub fn new(topology: Option<&Topology>, servers: &[Arc<KnownServer>]) -> Self {
        let regions = topology.map(Topology::regions).unwrap_or_default();
        let locate = |known: &Arc<KnownServer>| {
            let data_centre = &known.server.data_centre;
            let reach = topology.map_or(Reach::Regional, |topology| topology.reach(data_centre));
            let region = topology.and_then(|topology| topology.region_or_own(data_centre));
            let region_index = regions.iter().position(|it| Some(*it) == region).unwrap_or(0);
            LocatedServer { known: known.clone(), reach, region_index }
        };
        let all: Vec<_> = servers.iter().map(locate).collect();
        let by_reach = match regions.len() {
            0 | 1 => vec![all.clone()],
            _ => group_by(Reach::ALL.len(), &all, |it| it.reach as usize),
        };
        let by_region = group_by(regions.len().max(1), &all, |it| it.region_index);
        Self { all, by_reach, by_region }
    }
}

fn group_by(
    count: usize,
    all: &[LocatedServer],
    key: impl Fn(&LocatedServer) -> usize,
) -> Vec<Vec<LocatedServer>> {
    let mut lists = vec![Vec::new(); count];
    for server in all {
        lists[key(server)].push(server.clone());
    }
    lists
}
