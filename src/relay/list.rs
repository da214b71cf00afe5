//! The wire types that carry the list of backend servers from the leader to the boxes.
//!
//! The list is split into parts. A part holds the servers of one service in one data centre whose
//! id hashes share a prefix. The leader sends each box an index: the parts that the box must hold
//! and the content hash of each. The box fetches only the parts that it lacks or that have changed.
//! A part's validity depends only on its content, so after a change of leader or missed updates a
//! box still fetches only the differences.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, Incarnation, Release, ServerKey, ServiceName, Term};
use crate::member::table::fingerprint;
use crate::peer::packed::{Unreadable, pack, unpack};
use crate::units::Millis;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id, which the platform may reuse for a later incarnation.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address. The platform may later assign the address to another server.
    pub addr: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The release of the software it runs.
    pub release: Release,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time until it shuts down, measured from the listing, if known.
    pub leaves_in: Option<Millis>,
    /// Whether it runs on a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

impl Server {
    /// Whether `later` describes the same state, where `elapsed` has passed between the two
    /// listings. Their shutdown times may differ by `tolerance`.
    pub(super) fn is_unchanged_in(
        &self,
        later: &Self,
        elapsed: Duration,
        tolerance: Duration,
    ) -> bool {
        let left = match (self.leaves_in, later.leaves_in) {
            (Some(old), Some(new)) => {
                old.duration().saturating_sub(elapsed).abs_diff(new.duration()) <= tolerance
            }
            (old, new) => old == new,
        };
        left && self.id == later.id
            && self.service == later.service
            && self.addr == later.addr
            && self.data_centre == later.data_centre
            && self.release == later.release
            && self.slots == later.slots
            && self.leaving == later.leaving
            && self.spot == later.spot
    }
}

/// A listed server with its incarnation as the leader knows it. The platform's list does not
/// contain incarnations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// The server. `leaving` applies to this incarnation.
    pub server: Server,
    /// The incarnation; 0 if unknown.
    pub incarnation: Incarnation,
}

/// A box's report to the leader of a server's current incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationReport {
    /// The server's id and incarnation.
    pub server: ServerKey,
    /// The address that it answered at. The same id at another address is another incarnation.
    pub addr: SocketAddr,
}

/// Identifies a version of the list. Versions order first by the term of the leader that built the
/// list, then by the leader's sequence number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion {
    /// The leader's term.
    pub term: Term,
    /// The sequence number.
    #[serde(rename = "place")]
    pub sequence: u64,
}

impl fmt::Display for ListVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// Identifies a part of the list: the servers of a service in a data centre whose id hashes begin
/// with the same bits. Serialized as `service/data_centre/prefix_bits/prefix`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartId {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Length of the hash prefix in bits, the same for all parts of this service and data centre.
    #[serde(rename = "bits")]
    pub prefix_bits: u32,
    /// The hash prefix.
    #[serde(rename = "place")]
    pub prefix: u64,
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.service, self.data_centre, self.prefix_bits, self.prefix)
    }
}

/// The error for a text that is not a valid [`PartId`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a part id of the form service/data_centre/prefix_bits/prefix")]
pub struct ParsePartIdError(String);

impl FromStr for PartId {
    type Err = ParsePartIdError;

    fn from_str(text: &str) -> Result<Self, ParsePartIdError> {
        let fields: Vec<_> = text.split('/').collect();
        let part = match fields[..] {
            [service, data_centre, prefix_bits, prefix] => (|| {
                let (service, data_centre) = (service.parse().ok()?, data_centre.parse().ok()?);
                Some(Self {
                    service,
                    data_centre,
                    prefix_bits: prefix_bits.parse().ok()?,
                    prefix: prefix.parse().ok()?,
                })
            })(),
            _ => None,
        };
        part.ok_or_else(|| ParsePartIdError(text.to_owned()))
    }
}

impl TryFrom<String> for PartId {
    type Error = ParsePartIdError;

    fn try_from(text: String) -> Result<Self, ParsePartIdError> {
        text.parse()
    }
}

impl From<PartId> for String {
    fn from(part: PartId) -> Self {
        part.to_string()
    }
}

/// A hash of a part's content. It leaves out the remaining time until shutdown, which changes
/// continuously.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Hashes the servers, in the order given.
    pub fn of(servers: &[ListedServer]) -> Self {
        let mut text = String::new();
        for ListedServer { server, incarnation } in servers {
            if !incarnation.is_none() {
                text += &format!("{incarnation} ");
            }
            text += &format!(
                "{} {} {} {} {} {} {};",
                server.id,
                server.service,
                server.addr,
                server.release,
                server.slots,
                server.leaving,
                server.spot,
            );
        }
        Self(fingerprint(&text))
    }

    /// Hashes the ids and content hashes of an index's parts, in the order given.
    fn of_index(parts: &[(PartId, Self)]) -> Self {
        let text: String = parts.iter().map(|(part, hash)| format!("{part} {};", hash.0)).collect();
        Self(fingerprint(&text))
    }
}

/// The parts that a box must hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListIndex {
    /// The list version that it was built from.
    pub version: ListVersion,
    /// The hash of `parts`.
    #[serde(rename = "print")]
    pub hash: ContentHash,
    /// The parts, each with its content hash.
    pub parts: Vec<(PartId, ContentHash)>,
}

impl ListIndex {
    /// Creates an index and computes its hash.
    pub fn new(version: ListVersion, parts: Vec<(PartId, ContentHash)>) -> Self {
        Self { version, hash: ContentHash::of_index(&parts), parts }
    }

    /// Replaces the content hash of a part, if the index has the part.
    pub(super) fn update_part_hash(&mut self, part: &PartId, hash: ContentHash) {
        let held = self.parts.iter_mut().find(|(id, _)| id == part);
        if let Some((_, held)) = held.filter(|(_, held)| *held != hash) {
            *held = hash;
            self.hash = ContentHash::of_index(&self.parts);
        }
    }
}

/// A server within a [`ListPart`]. The part stores the service and data centre once for all of its
/// servers, which makes a message of a few hundred servers a third shorter. Parts are sent in a
/// positional encoding, so no field may be skipped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PartServer {
    id: BackendId,
    addr: SocketAddr,
    release: Release,
    slots: u32,
    spot: bool,
    leaving: bool,
    leaves_in: Option<Millis>,
    #[serde(rename = "life")]
    incarnation: Incarnation,
}

/// A part of the list with its servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// The part's id.
    pub id: PartId,
    /// The hash of its content.
    #[serde(rename = "print")]
    pub hash: ContentHash,
    servers: Vec<PartServer>,
}

/// Parts in their encoded form. Each is encoded once and shared by the answers to all boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedParts {
    /// Milliseconds since the platform's list was read. Shutdown times count from that read.
    #[serde(rename = "passed")]
    pub elapsed: Millis,
    /// The encoded parts.
    pub parts: Vec<Arc<str>>,
}

impl PackedParts {
    /// Decodes the parts and subtracts [`PackedParts::elapsed`] from their shutdown times.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] if a part cannot be decoded.
    pub fn unpack(&self) -> Result<Vec<ListPart>, Unreadable> {
        let unpacked = self.parts.iter().map(|part| {
            let part: ListPart = unpack(part)?;
            Ok(part.after_elapsed(self.elapsed))
        });
        unpacked.collect()
    }
}

impl ListPart {
    /// Encodes the part for a message.
    pub(super) fn pack(&self) -> Arc<str> {
        pack(self).expect("a part can be encoded").into()
    }

    /// Subtracts `elapsed` from the servers' shutdown times.
    fn after_elapsed(mut self, elapsed: Millis) -> Self {
        for left in self.servers.iter_mut().filter_map(|server| server.leaves_in.as_mut()) {
            left.0 = left.0.saturating_sub(elapsed.0);
        }
        self
    }

    /// Creates a part from `servers`, which were listed `elapsed` ago.
    pub fn new(id: PartId, hash: ContentHash, servers: &[ListedServer], elapsed: Millis) -> Self {
        let servers = servers.iter().map(|ListedServer { server, incarnation }| PartServer {
            id: server.id.clone(),
            addr: server.addr,
            release: server.release.clone(),
            slots: server.slots,
            spot: server.spot,
            leaving: server.leaving,
            leaves_in: server.leaves_in.map(|left| Millis(left.0.saturating_sub(elapsed.0))),
            incarnation: *incarnation,
        });
        Self { servers: servers.collect(), id, hash }
    }

    /// The id and incarnation of the server at `index`.
    pub fn key_at(&self, index: usize) -> Option<ServerKey> {
        let server = self.servers.get(index)?;
        Some(ServerKey { id: server.id.clone(), life: server.incarnation })
    }

    /// The servers without their incarnations.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        self.listed_servers().map(|listed| listed.server)
    }

    /// The servers with their incarnations.
    pub fn listed_servers(&self) -> impl Iterator<Item = ListedServer> {
        self.servers.iter().map(|server| ListedServer {
            server: Server {
                id: server.id.clone(),
                service: self.id.service.clone(),
                addr: server.addr,
                data_centre: self.id.data_centre.clone(),
                release: server.release.clone(),
                slots: server.slots,
                leaving: server.leaving,
                leaves_in: server.leaves_in,
                spot: server.spot,
            },
            incarnation: server.incarnation,
        })
    }
}
