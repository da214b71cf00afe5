//! Where the replicas are reached.
//!
//! There are two ways to know. The settings may list every replica with its address. Or they name
//! only a few seeds; then every box has its IP address for a name, all boxes listen for peers on the
//! same port, and the replicas behind the seeds are learned from the group's members as they change.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use crate::decide::topology::{Reach, Topology};
use crate::ids::{BoxId, DataCentre};

/// The replicas known.
#[derive(Debug)]
pub struct Directory {
    /// The peer port of every box, where boxes are named by their IP addresses.
    port: Option<u16>,
    known: RwLock<Known>,
    topology: Topology,
}

#[derive(Debug, Default)]
struct Known {
    /// Where replicas have said that they are.
    sites: BTreeMap<BoxId, DataCentre>,
    seeds: BTreeMap<BoxId, SocketAddr>,
    members: BTreeMap<BoxId, SocketAddr>,
}

impl Directory {
    /// The replicas that the settings list, and no others.
    pub fn listed(replicas: BTreeMap<BoxId, SocketAddr>, topology: Topology) -> Self {
        let known = Known { seeds: replicas, ..Known::default() };
        Self { port: None, known: RwLock::new(known), topology }
    }

    /// Seeds by their IP addresses; every box's peer side is at `port`.
    pub fn seeded(seeds: &[IpAddr], port: u16, topology: Topology) -> Self {
        let directory = Self { port: Some(port), known: RwLock::default(), topology };
        directory.reseed(seeds);
        directory
    }

    fn read(&self) -> RwLockReadGuard<'_, Known> {
        self.known.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether boxes are named by their IP addresses.
    pub fn is_seeded(&self) -> bool {
        self.port.is_some()
    }

    /// The seeds.
    pub fn seeds(&self) -> Vec<(BoxId, SocketAddr)> {
        let known = self.read();
        known.seeds.iter().map(|(id, addr)| (id.clone(), *addr)).collect()
    }

    /// Every replica known: seeds and members.
    pub fn all(&self) -> Vec<(BoxId, SocketAddr)> {
        let known = self.read();
        let mut all = known.members.clone();
        for (id, addr) in &known.seeds {
            all.entry(id.clone()).or_insert(*addr);
        }
        all.into_iter().collect()
    }

    /// The members last learned; the seeds while none are.
    pub fn members(&self) -> Vec<(BoxId, SocketAddr)> {
        let known = self.read();
        let chosen = if known.members.is_empty() { &known.seeds } else { &known.members };
        chosen.iter().map(|(id, addr)| (id.clone(), *addr)).collect()
    }

    /// Where one replica is reached.
    pub fn find(&self, box_id: &BoxId) -> Option<SocketAddr> {
        let known = self.read();
        let listed = known.seeds.get(box_id).or_else(|| known.members.get(box_id)).copied();
        listed.or_else(|| self.derive(box_id))
    }

    /// Notes where a replica says that it is.
    pub fn note_site(&self, box_id: &BoxId, data_centre: DataCentre) {
        if self.read().sites.get(box_id) != Some(&data_centre) {
            let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
            known.sites.insert(box_id.clone(), data_centre);
        }
    }

    /// How far a replica is, if there are several regions and it has said where it is.
    pub fn reach(&self, box_id: &BoxId) -> Option<Reach> {
        let split = self.topology.has_multiple_regions();
        split.then(|| Some(self.topology.reach(self.read().sites.get(box_id)?))).flatten()
    }

    /// Takes the seeds of changed settings.
    pub fn reseed(&self, seeds: &[IpAddr]) {
        let Some(port) = self.port else {
            return;
        };
        let named = seeds.iter().filter_map(|ip| {
            let id = ip.to_string().parse().ok()?;
            Some((id, SocketAddr::new(*ip, port)))
        });
        let seeds = named.collect();
        self.known.write().unwrap_or_else(PoisonError::into_inner).seeds = seeds;
    }

    /// Takes the group's members; an empty list is passed over.
    pub fn learn<'a>(&self, members: impl Iterator<Item = &'a BoxId>) {
        let found = |id: &BoxId| Some((id.clone(), self.derive(id)?));
        let members: BTreeMap<_, _> = members.filter_map(found).collect();
        if members.is_empty() {
            return;
        }
        self.known.write().unwrap_or_else(PoisonError::into_inner).members = members;
    }

    fn derive(&self, box_id: &BoxId) -> Option<SocketAddr> {
        let ip: IpAddr = box_id.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port?))
    }
}
