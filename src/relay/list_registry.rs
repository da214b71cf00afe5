//! The leader's list of backend servers, in the parts in which boxes take it. Pure: time is an argument.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use super::list::{
    ContentHash, IncarnationReport, ListIndex, ListPart, ListVersion, Listed, PackedParts, PartId,
    Server,
};
use super::listing::{Listing, Unread};
use crate::decide::lives::{Heard, Life, Moment, Speaker};
use crate::decide::subset::{SUBSET, chosen, part_bits, part_place, parts_taken, shares};
use crate::decide::topology::{Reach, Topology};
use crate::ids::{BackendId, BoxId, DataCentre, Region, Release, ServerKey, ServiceName, Term};
use crate::member::table::fingerprint;
use crate::units::Millis;

/// Parts that an answer brings at most: 24 of up to 24 servers are 50 KB, 40 ms of a link of 10 Mbit/s.
pub const PARTS_LIMIT: usize = 24;

/// The servers of a service in a data centre.
type Group = (ServiceName, DataCentre);

/// Servers remembered beside those that are listed: one may be back within a few readings.
const GONE_LIMIT: usize = 1_024;

/// How far the time left may differ between two readings that say the same: a move takes longer.
const LEFT_SLACK: Duration = Duration::from_millis(200);

struct Part {
    print: ContentHash,
    /// A hash of its id: by it boxes take some parts and not others.
    hash: u64,
    servers: Vec<Listed>,
    /// Its content as it goes to boxes, once one has asked.
    packed: OnceLock<Arc<str>>,
}

impl Part {
    fn new(id: &PartId, servers: Vec<Listed>) -> Self {
        let (print, hash) = (ContentHash::of(&servers), fingerprint(&id.to_string()));
        Self { print, hash, servers, packed: OnceLock::new() }
    }

    /// Packs the content, once for all boxes: hundreds ask for the same part when the list changes.
    fn packed(&self, id: &PartId) -> Arc<str> {
        let pack = || ListPart::new(id.clone(), self.print, &self.servers, Millis(0)).packed();
        self.packed.get_or_init(pack).clone()
    }
}

/// The life in which a server was last known.
struct InLife {
    life: Life,
    /// When something was last heard of it that another life may have been meant by.
    since: Instant,
    addr: SocketAddr,
}

/// The newest list.
#[derive(Default)]
pub struct ListRegistry {
    /// The region of each data centre; empty where there is one.
    regions: BTreeMap<DataCentre, Region>,
    version: ListVersion,
    /// What the platform lists.
    read: Vec<Server>,
    /// The entries that name no server.
    unread: Vec<Unread>,
    /// When that was read.
    read_at: Option<Moment>,
    /// The same, each server as it is in its life.
    servers: Vec<Server>,
    lives: HashMap<BackendId, InLife>,
    /// Whether the lives say something that `servers` does not show, or may with the next reading.
    stale: bool,
    bits: BTreeMap<Group, u32>,
    parts: BTreeMap<PartId, Part>,
    /// Servers of each service.
    counts: BTreeMap<ServiceName, usize>,
    /// The indexes of the boxes that have asked since this list came.
    indexes: HashMap<BoxId, Arc<ListIndex>>,
}

impl ListRegistry {
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

    /// The servers, each in its life.
    pub fn keys(&self) -> impl Iterator<Item = ServerKey> {
        let listed = self.parts.values().flat_map(|part| &part.servers);
        listed.map(|it| ServerKey { id: it.server.id.clone(), life: it.life })
    }

    /// The entries of the last reading that name no server.
    pub fn unread(&self) -> &[Unread] {
        &self.unread
    }

    /// Takes what was read just now by the leader of `term`; the version of their list if
    /// it says something new.
    pub fn put(
        &mut self,
        term: Term,
        listing: impl Into<Listing>,
        now: impl Into<Moment>,
    ) -> Option<ListVersion> {
        let now = now.into();
        let passed = self.read_at.map(|read| now.at.saturating_duration_since(read.at));
        let passed = passed.unwrap_or_default();
        let listing = listing.into().settle(&self.read, passed);
        self.unread = listing.unread;
        if !self.stale && !self.is_empty() && self.is_read_again(&listing.servers, passed) {
            return None;
        }
        self.read = listing.servers;
        self.read_at = Some(now);
        self.renew(term, now)
    }

    /// Whether a reading says what the last one did. The time that is left has passed meanwhile.
    fn is_read_again(&self, servers: &[Server], passed: Duration) -> bool {
        let same = |(old, new): (&Server, &Server)| old.is_again(new, passed, LEFT_SLACK);
        self.read.len() == servers.len() && self.read.iter().zip(servers).all(same)
    }

    /// Takes a box's word of the life that a server is in. What it changes of the list is told with the
    /// next [`ListRegistry::renew`].
    pub fn apply_incarnation(&mut self, told: &IncarnationReport, now: impl Into<Moment>) -> Heard {
        let now = now.into();
        let held = self.lives.get_mut(&told.server.id);
        let Some(held) = held.filter(|held| held.addr == told.addr) else {
            return Heard::Earlier;
        };
        let heard = held.life.hear(told.server.life, Speaker::Other, now.unix);
        if matches!(heard, Heard::Named | Heard::Another) {
            held.since = now.at;
            self.stale = true;
        }
        heard
    }

    /// Whether something was heard of lives that the list does not show yet.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Makes the list anew from what was read last and what is known of lives; its version if it says
    /// something new.
    pub fn renew(&mut self, term: Term, now: impl Into<Moment>) -> Option<ListVersion> {
        let listed = self.in_lives(now.into());
        self.servers = listed.iter().map(|it| it.server.clone()).collect();
        let groups = grouped(listed);
        let bits = |(group, servers): (&Group, &Vec<Listed>)| {
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
        self.keep_packed(parts);
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

    /// Takes the parts of a new list. What of them has not changed, and has no time left that passes, need not
    /// be packed again.
    fn keep_packed(&mut self, mut parts: BTreeMap<PartId, Part>) {
        for (id, part) in &mut parts {
            let is_timed = part.servers.iter().any(|it| it.server.leaves_in.is_some());
            let held = self.parts.remove(id).filter(|held| held.print == part.print && !is_timed);
            if let Some(held) = held {
                part.packed = held.packed;
            }
        }
        self.parts = parts;
    }

    /// The servers that were read, each as it is in its life: a notice of leaving that may be of an earlier
    /// one is held back until the platform has gone on showing it.
    fn in_lives(&mut self, now: Moment) -> Vec<Listed> {
        let read = self.read_at.unwrap_or(now);
        self.stale = false;
        let mut listed = Vec::with_capacity(self.read.len());
        for server in &self.read {
            let fresh =
                || InLife { life: Life::seen_at(now.unix), since: now.at, addr: server.addr };
            let held = self.lives.entry(server.id.clone()).or_insert_with(fresh);
            if held.addr != server.addr {
                // A server keeps its address for its life.
                held.life.restart(now.unix);
                (held.since, held.addr) = (now.at, server.addr);
            }
            let mut server = server.clone();
            let known = read.at.saturating_duration_since(held.since);
            if server.leaving && !held.life.is_listed(read.unix, known) {
                (server.leaving, server.leaves_in) = (false, None);
                self.stale = true;
            }
            listed.push(Listed { server, life: held.life.told() });
        }
        if self.lives.len() > 2 * listed.len() + GONE_LIMIT {
            let there: HashSet<_> = listed.iter().map(|it| &it.server.id).collect();
            self.lives.retain(|id, _| there.contains(id));
        }
        listed
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

    fn parts_of(&self, box_id: &BoxId, own: Option<&DataCentre>) -> Vec<(PartId, ContentHash)> {
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
            let hashes: Vec<_> = group.iter().map(|(_, part)| part.hash).collect();
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
    pub fn listed_parts<'a>(&'a self, index: &ListIndex) -> Vec<(ContentHash, Vec<&'a BackendId>)> {
        let parts = index.parts.iter().filter_map(|(id, _)| self.parts.get(id));
        let of_part = |part: &'a Part| {
            let ids = part.servers.iter().map(|listed| &listed.server.id);
            (part.print, ids.collect::<Vec<_>>())
        };
        parts.map(of_part).collect()
    }

    /// The contents of some parts as they go to boxes, [`PARTS_LIMIT`] at most; those that are no longer there
    /// are left out.
    pub fn packed_contents(&self, wanted: &[PartId], now: Instant) -> PackedParts {
        let passed = self.read_at.map(|read| now.saturating_duration_since(read.at));
        let wanted = wanted.iter().take(PARTS_LIMIT);
        let parts = wanted.filter_map(|id| Some(self.parts.get(id)?.packed(id))).collect();
        PackedParts { passed: passed.unwrap_or_default().into(), parts }
    }

    /// The contents of some parts, [`PARTS_LIMIT`] at most; those that are no longer there are left out.
    pub fn contents(&self, wanted: &[PartId], now: Instant) -> Vec<ListPart> {
        let passed = self.read_at.map(|read| now.saturating_duration_since(read.at));
        let passed = passed.unwrap_or_default();
        let found = wanted.iter().take(PARTS_LIMIT).filter_map(|id| {
            let part = self.parts.get(id)?;
            Some(ListPart::new(id.clone(), part.print, &part.servers, passed.into()))
        });
        found.collect()
    }
}

fn grouped(servers: Vec<Listed>) -> BTreeMap<Group, Vec<Listed>> {
    let mut groups: BTreeMap<Group, Vec<Listed>> = BTreeMap::new();
    for listed in servers {
        let group = (listed.server.service.clone(), listed.server.data_centre.clone());
        groups.entry(group).or_default().push(listed);
    }
    groups
}

fn split((service, data_centre): &Group, bits: u32, servers: Vec<Listed>) -> Vec<(PartId, Part)> {
    let mut places: BTreeMap<u64, Vec<Listed>> = BTreeMap::new();
    for listed in servers {
        let place = part_place(fingerprint(listed.server.id.as_str()), bits);
        places.entry(place).or_default().push(listed);
    }
    let parts = places.into_iter().map(|(place, mut servers)| {
        servers.sort_unstable_by(|a, b| a.server.id.cmp(&b.server.id));
        let (service, data_centre) = (service.clone(), data_centre.clone());
        let id = PartId { service, data_centre, bits, place };
        let part = Part::new(&id, servers);
        (id, part)
    });
    parts.collect()
}
