//! The leader's list of backend servers, divided into the parts that boxes fetch. Pure: the current
//! time is an argument.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use super::list::{
    ContentHash, IncarnationReport, ListIndex, ListPart, ListVersion, ListedServer, PackedParts,
    PartId, Server,
};
use super::listing::{Listing, UnreadableEntry};
use crate::decide::lives::{IncarnationSource, IncarnationUpdate, ServerIncarnation, Timestamp};
use crate::decide::subset::{
    PartSize, SUBSET_SIZE, part_bits, part_prefix, select_parts, servers_per_reach, servers_to_take,
};
use crate::decide::topology::{Reach, Topology};
use crate::ids::{BackendId, BoxId, DataCentre, Region, Release, ServerKey, ServiceName, Term};
use crate::member::table::fingerprint;
use crate::units::Millis;

/// How many parts an answer contains at most. 24 parts of up to 24 servers each are 50 KB, which
/// take 40 ms on a 10 Mbit/s link.
pub const MAX_PARTS_PER_ANSWER: usize = 24;

/// A service and the data centre of its servers.
type ServiceLocation = (ServiceName, DataCentre);

/// How many servers that are no longer listed are remembered beyond the number of listed ones. A
/// server may reappear within a few reads of the list.
const UNLISTED_LIMIT: usize = 1_024;

/// How much a server's shutdown time may differ between two reads that still count as unchanged. A
/// real change of the shutdown time is larger.
const SHUTDOWN_TIME_TOLERANCE: Duration = Duration::from_millis(200);

struct Part {
    content_hash: ContentHash,
    /// A hash of the part's id, from which each box's selection of parts is computed.
    id_hash: u64,
    servers: Vec<ListedServer>,
    /// The encoded part; computed when a box first asks for it.
    packed: OnceLock<Arc<str>>,
}

impl Part {
    fn new(id: &PartId, servers: Vec<ListedServer>) -> Self {
        let (content_hash, id_hash) = (ContentHash::of(&servers), fingerprint(&id.to_string()));
        Self { content_hash, id_hash, servers, packed: OnceLock::new() }
    }

    fn size(&self) -> PartSize {
        PartSize { id_hash: self.id_hash, servers: self.servers.len() }
    }

    /// The encoded part. The encoding is shared, since hundreds of boxes ask for the same part when
    /// the list changes.
    fn pack(&self, id: &PartId) -> Arc<str> {
        let pack = || ListPart::new(id.clone(), self.content_hash, &self.servers, Millis(0)).pack();
        self.packed.get_or_init(pack).clone()
    }
}

/// The last known incarnation of a server.
struct KnownIncarnation {
    incarnation: ServerIncarnation,
    /// When this incarnation became known.
    since: Instant,
    addr: SocketAddr,
}

/// The newest list.
#[derive(Default)]
pub struct ListRegistry {
    /// The region of each data centre; empty if there is only one region.
    regions: BTreeMap<DataCentre, Region>,
    version: ListVersion,
    /// The servers in the last listing of the platform.
    listing: Vec<Server>,
    /// The entries of the last listing that could not be read.
    unreadable: Vec<UnreadableEntry>,
    /// When the last listing was read.
    listed_at: Option<Timestamp>,
    /// The servers of `listing`, with `leaving` adjusted to their incarnations.
    servers: Vec<Server>,
    incarnations: HashMap<BackendId, KnownIncarnation>,
    /// Whether `servers` may not reflect what is known of incarnations, so that the list must be
    /// rebuilt.
    stale: bool,
    prefix_bits: BTreeMap<ServiceLocation, u32>,
    parts: BTreeMap<PartId, Part>,
    /// The number of servers of each service.
    counts: BTreeMap<ServiceName, usize>,
    /// The indexes computed for boxes since the current list version.
    indexes: HashMap<BoxId, Arc<ListIndex>>,
}

impl ListRegistry {
    /// Creates an empty list for a fleet with these regions.
    pub fn new(regions: BTreeMap<DataCentre, Region>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// The servers. `leaving` applies to their current incarnations.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Whether no listing has been applied yet.
    pub fn is_empty(&self) -> bool {
        self.version == ListVersion::default()
    }

    /// Whether enough servers run `release` to take all of the service's traffic: at least half as
    /// many as run other releases. Servers that are leaving do not count.
    pub fn can_serve(&self, service: &ServiceName, release: &Release) -> bool {
        let open = self.servers.iter().filter(|it| it.service == *service && !it.leaving);
        let (new, others): (Vec<_>, Vec<_>) = open.partition(|it| it.release == *release);
        !new.is_empty() && 2 * new.len() >= others.len()
    }

    /// The number of servers for each service and release, formatted for the log.
    pub fn releases(&self) -> String {
        let mut counts: BTreeMap<(&ServiceName, &Release), u32> = BTreeMap::new();
        for server in &self.servers {
            *counts.entry((&server.service, &server.release)).or_default() += 1;
        }
        let texts =
            counts.iter().map(|((service, release), count)| format!("{service}/{release}:{count}"));
        texts.collect::<Vec<_>>().join(",")
    }

    /// The ids and incarnations of all servers.
    pub fn keys(&self) -> impl Iterator<Item = ServerKey> {
        let listed = self.parts.values().flat_map(|part| &part.servers);
        listed.map(|it| ServerKey { id: it.server.id.clone(), life: it.incarnation })
    }

    /// The entries of the last listing that could not be read.
    pub fn unreadable(&self) -> &[UnreadableEntry] {
        &self.unreadable
    }

    /// Applies a listing that the leader of `term` has just read. Returns the new version if the
    /// list changed.
    pub fn apply_listing(
        &mut self,
        term: Term,
        listing: impl Into<Listing>,
        now: impl Into<Timestamp>,
    ) -> Option<ListVersion> {
        let now = now.into();
        let elapsed = self
            .listed_at
            .map(|listed_at| now.monotonic.saturating_duration_since(listed_at.monotonic));
        let elapsed = elapsed.unwrap_or_default();
        let listing = listing.into().reconcile(&self.listing, elapsed);
        self.unreadable = listing.unreadable;
        if !self.stale && !self.is_empty() && self.is_unchanged(&listing.servers, elapsed) {
            return None;
        }
        self.listing = listing.servers;
        self.listed_at = Some(now);
        self.rebuild(term, now)
    }

    /// Whether `servers` describes the same state as the last listing, apart from the elapsed time.
    fn is_unchanged(&self, servers: &[Server], elapsed: Duration) -> bool {
        let same = |(old, new): (&Server, &Server)| {
            old.is_unchanged_in(new, elapsed, SHUTDOWN_TIME_TOLERANCE)
        };
        self.listing.len() == servers.len() && self.listing.iter().zip(servers).all(same)
    }

    /// Applies a box's report of a server's incarnation. The list reflects it after the next
    /// [`ListRegistry::rebuild`].
    pub fn apply_incarnation(
        &mut self,
        report: &IncarnationReport,
        now: impl Into<Timestamp>,
    ) -> IncarnationUpdate {
        let now = now.into();
        let known = self.incarnations.get_mut(&report.server.id);
        let Some(known) = known.filter(|known| known.addr == report.addr) else {
            return IncarnationUpdate::Outdated;
        };
        let update =
            known.incarnation.update(report.server.life, IncarnationSource::Relayed, now.unix);
        if matches!(update, IncarnationUpdate::Identified | IncarnationUpdate::Restarted) {
            known.since = now.monotonic;
            self.stale = true;
        }
        update
    }

    /// Whether the list must be rebuilt to reflect what is known of incarnations.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Rebuilds the list from the last listing and the known incarnations. Returns the new version
    /// if a part changed.
    pub fn rebuild(&mut self, term: Term, now: impl Into<Timestamp>) -> Option<ListVersion> {
        let listed = self.with_incarnations(now.into());
        self.servers = listed.iter().map(|it| it.server.clone()).collect();
        let groups = group_by_location(listed);
        let updated_bits = |(group, servers): (&ServiceLocation, &Vec<ListedServer>)| {
            let previous_bits = self.prefix_bits.get(group).copied().unwrap_or(0);
            (group.clone(), part_bits(servers.len(), previous_bits))
        };
        self.prefix_bits = groups.iter().map(updated_bits).collect();
        let parts: BTreeMap<_, _> = groups
            .into_iter()
            .flat_map(|(group, servers)| {
                split_into_parts(&group, self.prefix_bits[&group], servers)
            })
            .collect();
        let is_same = parts.len() == self.parts.len()
            && parts.iter().all(|(id, it)| {
                self.parts.get(id).is_some_and(|known| known.content_hash == it.content_hash)
            });
        self.replace_parts(parts);
        if is_same && !self.is_empty() {
            return None;
        }
        self.version = ListVersion { term, sequence: self.version.sequence + 1 };
        self.counts.clear();
        for server in &self.servers {
            *self.counts.entry(server.service.clone()).or_default() += 1;
        }
        self.indexes.clear();
        Some(self.version)
    }

    /// Replaces the parts. The encoded form of an unchanged part is kept, unless it contains
    /// shutdown times, which are relative to the time of the listing.
    fn replace_parts(&mut self, mut parts: BTreeMap<PartId, Part>) {
        for (id, part) in &mut parts {
            let is_timed = part.servers.iter().any(|it| it.server.leaves_in.is_some());
            let known = self
                .parts
                .remove(id)
                .filter(|known| known.content_hash == part.content_hash && !is_timed);
            if let Some(known) = known {
                part.packed = known.packed;
            }
        }
        self.parts = parts;
    }

    /// Adds the incarnations to the servers of the last listing. The platform's list lags, so a
    /// shutdown notice may belong to an earlier incarnation; it is ignored until the list has shown
    /// it for long enough.
    fn with_incarnations(&mut self, now: Timestamp) -> Vec<ListedServer> {
        let listed_at = self.listed_at.unwrap_or(now);
        self.stale = false;
        let mut listed = Vec::with_capacity(self.listing.len());
        for server in &self.listing {
            let fresh = || KnownIncarnation {
                incarnation: ServerIncarnation::first_seen_at(now.unix),
                since: now.monotonic,
                addr: server.addr,
            };
            let known = self.incarnations.entry(server.id.clone()).or_insert_with(fresh);
            if known.addr != server.addr {
                // A server has one address for its whole incarnation.
                known.incarnation.mark_restarted(now.unix);
                (known.since, known.addr) = (now.monotonic, server.addr);
            }
            let mut server = server.clone();
            let known_for = listed_at.monotonic.saturating_duration_since(known.since);
            if server.leaving && !known.incarnation.accepts_listing(listed_at.unix, known_for) {
                (server.leaving, server.leaves_in) = (false, None);
                self.stale = true;
            }
            listed.push(ListedServer { server, incarnation: known.incarnation.id() });
        }
        if self.incarnations.len() > 2 * listed.len() + UNLISTED_LIMIT {
            let existing: HashSet<_> = listed.iter().map(|it| &it.server.id).collect();
            self.incarnations.retain(|id, _| existing.contains(id));
        }
        listed
    }

    /// The index for a box that has not reported its data centre.
    pub fn index(&mut self, box_id: &BoxId) -> Arc<ListIndex> {
        self.index_for_location(box_id, None)
    }

    /// The index for a box in the data centre `own`.
    pub fn index_for_location(
        &mut self,
        box_id: &BoxId,
        own: Option<&DataCentre>,
    ) -> Arc<ListIndex> {
        if let Some(index) = self.indexes.get(box_id) {
            return index.clone();
        }
        let index = Arc::new(ListIndex::new(self.version, self.select_parts(box_id, own)));
        self.indexes.insert(box_id.clone(), index.clone());
        index
    }

    fn select_parts(&self, box_id: &BoxId, own: Option<&DataCentre>) -> Vec<(PartId, ContentHash)> {
        let topology = own.map(|own| Topology::new(own.clone(), self.regions.clone()));
        let topology = topology.filter(Topology::has_multiple_regions);
        let near = topology.as_ref().map(|topology| self.count_by_reach(topology));
        let hash = fingerprint(box_id.as_str());
        let all: Vec<_> = self.parts.iter().collect();
        let same = |a: &(&PartId, &Part), b: &(&PartId, &Part)| {
            (&a.0.service, &a.0.data_centre) == (&b.0.service, &b.0.data_centre)
        };
        let mut taken = Vec::new();
        for group in all.chunk_by(same) {
            let PartId { service, data_centre, .. } = group[0].0;
            let (wanted, existing) = match (&topology, &near) {
                (Some(topology), Some(near)) => {
                    let reach = topology.reach(data_centre) as usize;
                    let existing = near.get(service).copied().unwrap_or_default();
                    (servers_per_reach(existing)[reach], existing[reach])
                }
                _ => (SUBSET_SIZE, self.counts.get(service).copied().unwrap_or(0)),
            };
            let sizes: Vec<_> = group.iter().map(|(_, part)| part.size()).collect();
            let local = sizes.iter().map(|part| part.servers).sum();
            let indices = select_parts(hash, &sizes, servers_to_take(local, wanted, existing));
            taken.extend(
                indices
                    .into_iter()
                    .map(|index| (group[index].0.clone(), group[index].1.content_hash)),
            );
        }
        taken
    }

    /// The number of servers of each service by their reach.
    fn count_by_reach(
        &self,
        topology: &Topology,
    ) -> BTreeMap<&ServiceName, [usize; Reach::ALL.len()]> {
        let mut counts: BTreeMap<_, [usize; Reach::ALL.len()]> = BTreeMap::new();
        for (id, part) in &self.parts {
            let count = counts.entry(&id.service).or_default();
            count[topology.reach(&id.data_centre) as usize] += part.servers.len();
        }
        counts
    }

    /// The server ids of each part in an index, with the part's content hash.
    pub fn listed_parts<'a>(&'a self, index: &ListIndex) -> Vec<(ContentHash, Vec<&'a BackendId>)> {
        let parts = index.parts.iter().filter_map(|(id, _)| self.parts.get(id));
        let of_part = |part: &'a Part| {
            let ids = part.servers.iter().map(|listed| &listed.server.id);
            (part.content_hash, ids.collect::<Vec<_>>())
        };
        parts.map(of_part).collect()
    }

    /// The encoded parts for an answer to a box, at most [`MAX_PARTS_PER_ANSWER`]. Parts that no
    /// longer exist are skipped.
    pub fn packed_parts(&self, wanted: &[PartId], now: Instant) -> PackedParts {
        let elapsed =
            self.listed_at.map(|listed_at| now.saturating_duration_since(listed_at.monotonic));
        let wanted = wanted.iter().take(MAX_PARTS_PER_ANSWER);
        let parts = wanted.filter_map(|id| Some(self.parts.get(id)?.pack(id))).collect();
        PackedParts { elapsed: elapsed.unwrap_or_default().into(), parts }
    }

    /// The given parts, at most [`MAX_PARTS_PER_ANSWER`]. Parts that no longer exist are skipped.
    pub fn list_parts(&self, wanted: &[PartId], now: Instant) -> Vec<ListPart> {
        let elapsed =
            self.listed_at.map(|listed_at| now.saturating_duration_since(listed_at.monotonic));
        let elapsed = elapsed.unwrap_or_default();
        let found = wanted.iter().take(MAX_PARTS_PER_ANSWER).filter_map(|id| {
            let part = self.parts.get(id)?;
            Some(ListPart::new(id.clone(), part.content_hash, &part.servers, elapsed.into()))
        });
        found.collect()
    }
}

fn group_by_location(servers: Vec<ListedServer>) -> BTreeMap<ServiceLocation, Vec<ListedServer>> {
    let mut groups: BTreeMap<ServiceLocation, Vec<ListedServer>> = BTreeMap::new();
    for listed in servers {
        let group = (listed.server.service.clone(), listed.server.data_centre.clone());
        groups.entry(group).or_default().push(listed);
    }
    groups
}

fn split_into_parts(
    (service, data_centre): &ServiceLocation,
    prefix_bits: u32,
    servers: Vec<ListedServer>,
) -> Vec<(PartId, Part)> {
    let mut by_prefix: BTreeMap<u64, Vec<ListedServer>> = BTreeMap::new();
    for listed in servers {
        let prefix = part_prefix(fingerprint(listed.server.id.as_str()), prefix_bits);
        by_prefix.entry(prefix).or_default().push(listed);
    }
    let parts = by_prefix.into_iter().map(|(prefix, mut servers)| {
        servers.sort_unstable_by(|a, b| a.server.id.cmp(&b.server.id));
        let (service, data_centre) = (service.clone(), data_centre.clone());
        let id = PartId { service, data_centre, prefix_bits, prefix };
        let part = Part::new(&id, servers);
        (id, part)
    });
    parts.collect()
}
