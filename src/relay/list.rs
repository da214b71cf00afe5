//! The list of backend servers on its way from the leader to the boxes.
//!
//! The list goes out in parts, each the servers of one service in one data centre that share the first
//! bits of their ids' hashes. A box is told by an index which parts it is to hold and the print of each
//! one's content, and fetches only those that it does not have. A part stays valid whoever leads and
//! whatever else changes, so a box that was told of another leader, or missed some changes, asks for
//! what differs and no more.

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
    /// Its id, which a later start may have again.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it is reached. An address may pass to another server.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The release of its software.
    pub release: Release,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it goes, counted from the listing, where that is known.
    pub leaves_in: Option<Millis>,
    /// Whether it may be reclaimed.
    pub spot: bool,
}

impl Server {
    /// Whether a later listing says the same of it, `passed` of the time left being over.
    pub(super) fn is_again(&self, later: &Self, passed: Duration, slack: Duration) -> bool {
        let left = match (self.leaves_in, later.leaves_in) {
            (Some(old), Some(new)) => {
                old.duration().saturating_sub(passed).abs_diff(new.duration()) <= slack
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

/// A listed server in the life in which the leader knows it; the platform tells no lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The server. It is leaving if the life is.
    pub server: Server,
    /// The life; 0 where nothing told it.
    pub life: Incarnation,
}

/// A box's word of the life that a server is in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationReport {
    /// The server in its life.
    pub server: ServerKey,
    /// Where it answered: at another address it is in another life.
    pub addr: SocketAddr,
}

/// Which list: the term of the leader that read it, and its place among that leader's lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion {
    /// The term.
    pub term: Term,
    /// The place.
    pub place: u64,
}

impl fmt::Display for ListVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.place)
    }
}

/// A part of the list: the servers of a service in a data centre whose hashes begin with the same bits.
/// Written as `service/data_centre/bits/place`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartId {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// How many bits of the hash tell the parts of this service and data centre apart.
    pub bits: u32,
    /// What those bits are.
    pub place: u64,
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.service, self.data_centre, self.bits, self.place)
    }
}

/// That a text names no part of the list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no part of the list")]
pub struct NoPart(String);

impl FromStr for PartId {
    type Err = NoPart;

    fn from_str(text: &str) -> Result<Self, NoPart> {
        let fields: Vec<_> = text.split('/').collect();
        let part = match fields[..] {
            [service, data_centre, bits, place] => (|| {
                let (service, data_centre) = (service.parse().ok()?, data_centre.parse().ok()?);
                Some(Self {
                    service,
                    data_centre,
                    bits: bits.parse().ok()?,
                    place: place.parse().ok()?,
                })
            })(),
            _ => None,
        };
        part.ok_or_else(|| NoPart(text.to_owned()))
    }
}

impl TryFrom<String> for PartId {
    type Error = NoPart;

    fn try_from(text: String) -> Result<Self, NoPart> {
        text.parse()
    }
}

impl From<PartId> for String {
    fn from(part: PartId) -> Self {
        part.to_string()
    }
}

/// A fingerprint of a part's content: of all that is listed but the time that is left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// The print of these servers.
    pub fn of(servers: &[Listed]) -> Self {
        let mut text = String::new();
        for Listed { server, life } in servers {
            if !life.is_none() {
                text += &format!("{life} ");
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

    /// The print of an index: of its parts with their prints, in their order.
    fn of_index(parts: &[(PartId, Self)]) -> Self {
        let text: String =
            parts.iter().map(|(part, print)| format!("{part} {};", print.0)).collect();
        Self(fingerprint(&text))
    }
}

/// Which parts a box is to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListIndex {
    /// The list that it is of.
    pub version: ListVersion,
    /// The print of `parts`.
    pub print: ContentHash,
    /// The parts, each with the print of its content.
    pub parts: Vec<(PartId, ContentHash)>,
}

impl ListIndex {
    /// The index of some parts.
    pub fn new(version: ListVersion, parts: Vec<(PartId, ContentHash)>) -> Self {
        Self { version, print: ContentHash::of_index(&parts), parts }
    }

    /// Notes that a part's content has another print by now.
    pub(super) fn renew(&mut self, part: &PartId, print: ContentHash) {
        let held = self.parts.iter_mut().find(|(id, _)| id == part);
        if let Some((_, held)) = held.filter(|(_, held)| *held != print) {
            *held = print;
            self.print = ContentHash::of_index(&self.parts);
        }
    }
}

/// A server in a part, which names its service and data centre once: a message of a few hundred is a
/// third shorter. No field may be left out: parts go out packed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PartServer {
    id: BackendId,
    addr: SocketAddr,
    release: Release,
    slots: u32,
    spot: bool,
    leaving: bool,
    leaves_in: Option<Millis>,
    life: Incarnation,
}

/// The content of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// Which part.
    pub id: PartId,
    /// The print of its content.
    pub print: ContentHash,
    servers: Vec<PartServer>,
}

/// Parts of the list, each packed once for all boxes that ask for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedParts {
    /// Milliseconds since the parts were read.
    pub passed: Millis,
    /// The parts, each packed.
    pub parts: Vec<Arc<str>>,
}

impl PackedParts {
    /// The parts as they are now.
    ///
    /// # Errors
    /// What cannot be read.
    pub fn unpack(&self) -> Result<Vec<ListPart>, Unreadable> {
        let unpacked = self.parts.iter().map(|part| {
            let part: ListPart = unpack(part)?;
            Ok(part.after(self.passed))
        });
        unpacked.collect()
    }
}

impl ListPart {
    /// The part as it goes into a call.
    pub(super) fn packed(&self) -> Arc<str> {
        pack(self).expect("a part has a packed form").into()
    }

    /// The part once `passed` of the time left is over.
    fn after(mut self, passed: Millis) -> Self {
        for left in self.servers.iter_mut().filter_map(|server| server.leaves_in.as_mut()) {
            left.0 = left.0.saturating_sub(passed.0);
        }
        self
    }

    /// The part of these servers, of which `passed` of the time left is over since they were listed.
    pub fn new(id: PartId, print: ContentHash, servers: &[Listed], passed: Millis) -> Self {
        let servers = servers.iter().map(|Listed { server, life }| PartServer {
            id: server.id.clone(),
            addr: server.addr,
            release: server.release.clone(),
            slots: server.slots,
            spot: server.spot,
            leaving: server.leaving,
            leaves_in: server.leaves_in.map(|left| Millis(left.0.saturating_sub(passed.0))),
            life: *life,
        });
        Self { servers: servers.collect(), id, print }
    }

    /// The server at a place, in its life.
    pub fn key_at(&self, place: usize) -> Option<ServerKey> {
        let server = self.servers.get(place)?;
        Some(ServerKey { id: server.id.clone(), life: server.life })
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        self.listed().map(|listed| listed.server)
    }

    /// The servers, each in its life.
    pub fn listed(&self) -> impl Iterator<Item = Listed> {
        self.servers.iter().map(|server| Listed {
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
            life: server.life,
        })
    }
}
