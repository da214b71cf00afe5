//! The leader's list of backend servers, in the parts in which boxes take it. Pure: time is an argument.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::list::{ListIndex, ListPart, ListVersion, PartId, Print, Server};
use crate::decide::subset::{SUBSET, chosen, part_bits, part_place, parts_taken, shares};
use crate::decide::topology::{Reach, Topology};
use crate::ids::{BackendId, BoxId, DataCentre, Region, Release, ServiceName, Term};
use crate::member::table::fingerprint;

/// Parts that an answer brings at most: 24 of up to 24 servers are 50 KB, 40 ms of a link of 10 Mbit/s.
pub const PARTS_LIMIT: usize = 24;

/// The servers of a service in a data centre.
type Group = (ServiceName, DataCentre);

struct Part {
    print: Print,
    servers: Vec<Server>,
}

/// The newest list.
#[derive(Default)]
pub struct ListBook {
    /// The region of each data centre; empty where there is one.
    regions: BTreeMap<DataCentre, Region>,
    version: ListVersion,
    servers: Vec<Server>,
    read: Option<Instant>,
    bits: BTreeMap<Group, u32>,
    parts: BTreeMap<PartId, Part>,
    /// Servers of each service.
    counts: BTreeMap<ServiceName, usize>,
    /// The indexes of the boxes that have asked since this list came.
    indexes: HashMap<BoxId, Arc<ListIndex>>,
}

impl ListBook {
    /// No list yet, of a fleet with these regions.
    pub fn new(regions: BTreeMap<DataCentre, Region>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// The servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Whether no list was read yet.
    pub fn is_empty(&self) -> bool {
        self.version == ListVersion::default()
    }

    /// Whether servers of a release are there to take all of a service's traffic: half as many as of the
    /// others at least.
    pub fn serves(&self, service: &ServiceName, release: &Release) -> bool {
        let open = self.servers.iter().filter(|it| it.service == *service && !it.leaving);
        let (new, former): (Vec<_>, Vec<_>) = open.partition(|it| it.release == *release);
        !new.is_empty() && 2 * new.len() >= former.len()
    }

    /// How many servers there are of each release of each service, for the log.
    pub fn releases(&self) -> String {
        let mut counts: BTreeMap<(&ServiceName, &Release), u32> = BTreeMap::new();
        for server in &self.servers {
            *counts.entry((&server.service, &server.release)).or_default() += 1;
        }
        let texts =
            counts.iter().map(|((service, release), count)| format!("{service}/{release}:{count}"));
        texts.collect::<Vec<_>>().join(",")
    }

    /// Takes servers as they were read just now by the leader of `term`; the version of their list if
    /// it says something new.
    pub fn put(&mut self, term: Term, servers: Vec<Server>, now: Instant) -> Option<ListVersion> {
        let groups = grouped(&servers);
        let bits = |(group, servers): (&Group, &Vec<Server>)| {
            let held = self.bits.get(group).copied().unwrap_or(0);
            (group.clone(), part_bits(servers.len(), held))
        };
        self.bits = groups.iter().map(bits).collect();
        let parts: BTreeMap<_, _> = groups
            .into_iter()
            .flat_map(|(group, servers)| split(&group, self.bits[&group], servers))
            .collect();
        let is_same = parts.len() == self.parts.len()
            && parts
                .iter()
                .all(|(id, it)| self.parts.get(id).is_some_and(|held| held.print == it.print));
        self.parts = parts;
        self.read = Some(now);
        self.servers = servers;
        if is_same && !self.is_empty() {
            return None;
        }
        self.version = ListVersion { term, place: self.version.place + 1 };
        self.counts.clear();
        for server in &self.servers {
            *self.counts.entry(server.service.clone()).or_default() += 1;
        }
        self.indexes.clear();
        Some(self.version)
    }

    /// The parts that a box is to hold which has not said where it stands.
    pub fn index(&mut self, box_id: &BoxId) -> Arc<ListIndex> {
        self.index_at(box_id, None)
    }

    /// The parts that a box in a data centre is to hold.
    pub fn index_at(&mut self, box_id: &BoxId, own: Option<&DataCentre>) -> Arc<ListIndex> {
        if let Some(index) = self.indexes.get(box_id) {
            return index.clone();
        }
        let index = Arc::new(ListIndex::new(self.version, self.parts_of(box_id, own)));
        self.indexes.insert(box_id.clone(), index.clone());
        index
    }

    fn parts_of(&self, box_id: &BoxId, own: Option<&DataCentre>) -> Vec<(PartId, Print)> {
        let topology = own.map(|own| Topology::new(own.clone(), self.regions.clone()));
        let topology = topology.filter(Topology::is_split);
        let near = topology.as_ref().map(|topology| self.by_reach(topology));
        let hash = fingerprint(box_id.as_str());
        let all: Vec<_> = self.parts.iter().collect();
        let same = |a: &(&PartId, &Part), b: &(&PartId, &Part)| {
            (&a.0.service, &a.0.data_centre) == (&b.0.service, &b.0.data_centre)
        };
        let mut taken = Vec::new();
        for group in all.chunk_by(same) {
            let PartId { service, data_centre, .. } = group[0].0;
            let (wanted, there) = match (&topology, &near) {
                (Some(topology), Some(near)) => {
                    let reach = topology.reach(data_centre) as usize;
                    let there = near.get(service).copied().unwrap_or_default();
                    (shares(there)[reach], there[reach])
                }
                _ => (SUBSET, self.counts.get(service).copied().unwrap_or(0)),
            };
            let hashes: Vec<_> = group.iter().map(|(id, _)| fingerprint(&id.to_string())).collect();
            let places = chosen(hash, &hashes, parts_taken(group.len(), wanted, there));
            taken.extend(
                places.into_iter().map(|place| (group[place].0.clone(), group[place].1.print)),
            );
        }
        taken
    }

    /// The servers of each service by how far they are.
    fn by_reach(&self, topology: &Topology) -> BTreeMap<&ServiceName, [usize; Reach::ALL.len()]> {
        let mut counts: BTreeMap<_, [usize; Reach::ALL.len()]> = BTreeMap::new();
        for (id, part) in &self.parts {
            let count = counts.entry(&id.service).or_default();
            count[topology.reach(&id.data_centre) as usize] += part.servers.len();
        }
        counts
    }

    /// The servers of an index's parts, by the prints of the contents that are held.
    pub fn listed_parts<'a>(&'a self, index: &ListIndex) -> Vec<(Print, Vec<&'a BackendId>)> {
        let parts = index.parts.iter().filter_map(|(id, _)| self.parts.get(id));
        let of_part = |part: &'a Part| {
            (part.print, part.servers.iter().map(|server| &server.id).collect::<Vec<_>>())
        };
        parts.map(of_part).collect()
    }

    /// The contents of some parts, [`PARTS_LIMIT`] at most; those that are no longer there are left out.
    pub fn contents(&self, wanted: &[PartId], now: Instant) -> Vec<ListPart> {
        let passed = self.read.map(|read| now.saturating_duration_since(read)).unwrap_or_default();
        let found = wanted.iter().take(PARTS_LIMIT).filter_map(|id| {
            let part = self.parts.get(id)?;
            Some(ListPart::new(id.clone(), part.print, &part.servers, passed.into()))
        });
        found.collect()
    }
}

fn grouped(servers: &[Server]) -> BTreeMap<Group, Vec<Server>> {
    let mut groups: BTreeMap<Group, Vec<Server>> = BTreeMap::new();
    for server in servers {
        let group = (server.service.clone(), server.data_centre.clone());
        groups.entry(group).or_default().push(server.clone());
    }
    groups
}

fn split((service, data_centre): &Group, bits: u32, servers: Vec<Server>) -> Vec<(PartId, Part)> {
    let mut places: BTreeMap<u64, Vec<Server>> = BTreeMap::new();
    for server in servers {
        let place = part_place(fingerprint(server.id.as_str()), bits);
        places.entry(place).or_default().push(server);
    }
    let parts = places.into_iter().map(|(place, mut servers)| {
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let (service, data_centre) = (service.clone(), data_centre.clone());
        let id = PartId { service, data_centre, bits, place };
        (id, Part { print: Print::of(&servers), servers })
    });
    parts.collect()
}
