//! A listing of the backend servers as read from the platform: the entries that could be parsed and
//! those that could not.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::list::Server;
use crate::ids::BackendId;
use crate::units::Millis;

/// Why an entry could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryError {
    /// The entry is not a JSON object.
    NotAnObject,
    /// The named field is missing, has the wrong type or is out of range.
    InvalidField(&'static str),
    /// Several entries have this id and contradict each other.
    DuplicateId,
}

impl EntryError {
    /// The error's name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotAnObject => "shape",
            Self::InvalidField(_) => "field",
            Self::DuplicateId => "doubled",
        }
    }
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAnObject => f.write_str("it is not a JSON object"),
            Self::InvalidField(name) => write!(f, "{name} is missing or invalid"),
            Self::DuplicateId => f.write_str("it contradicts another entry of the same id"),
        }
    }
}

/// An entry that could not be read, with the fields that identify its server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableEntry {
    /// Its id, if readable.
    pub id: Option<BackendId>,
    /// Its address, if readable.
    pub addr: Option<SocketAddr>,
    /// Why it could not be read.
    pub error: EntryError,
}

/// The result of reading the platform's list once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The entries that were read.
    pub servers: Vec<Server>,
    /// The entries that could not be read.
    pub unreadable: Vec<UnreadableEntry>,
}

impl From<Vec<Server>> for Listing {
    fn from(servers: Vec<Server>) -> Self {
        Self { servers, unreadable: Vec::new() }
    }
}

impl Listing {
    /// Appends the entries of another page.
    pub fn extend(&mut self, page: Self) {
        self.servers.extend(page.servers);
        self.unreadable.extend(page.unreadable);
    }

    /// Reconciles this listing with the `previous` one, read `elapsed` ago: merges entries with the
    /// same id, and keeps a known server listed while its entry cannot be read.
    pub(super) fn reconcile(self, previous: &[Server], elapsed: Duration) -> Self {
        let merged = self.merge_duplicates(previous);
        merged.retain_unreadable(previous, elapsed)
    }

    fn merge_duplicates(self, previous: &[Server]) -> Self {
        let mut ids = HashSet::new();
        if self.servers.iter().all(|server| ids.insert(&server.id)) {
            return self;
        }
        let mut entries: HashMap<BackendId, Vec<Server>> = HashMap::new();
        let mut order = Vec::new();
        for server in self.servers {
            let same = entries.entry(server.id.clone()).or_insert_with(|| {
                order.push(server.id.clone());
                Vec::new()
            });
            same.push(server);
        }
        let mut merged = Self { servers: Vec::new(), unreadable: self.unreadable };
        let held: HashMap<_, _> = previous.iter().map(|server| (&server.id, server)).collect();
        for id in order {
            let same = entries.remove(&id).unwrap_or_default();
            let held = held.get(&id).copied();
            match merge_entries(same, held) {
                Some(server) => merged.servers.push(server),
                None => {
                    let error = EntryError::DuplicateId;
                    merged.unreadable.push(UnreadableEntry { id: Some(id), addr: None, error });
                }
            }
        }
        merged
    }

    fn retain_unreadable(mut self, previous: &[Server], elapsed: Duration) -> Self {
        if self.unreadable.is_empty() {
            return self;
        }
        let there: HashSet<_> = self.servers.iter().map(|server| &server.id).collect();
        let missing = previous.iter().filter(|server| !there.contains(&server.id));
        // An unreadable entry is matched to a known server by its id, or by its address if the id
        // is unreadable too.
        let ids: HashSet<_> = self.unreadable.iter().filter_map(|it| it.id.as_ref()).collect();
        let nameless = self.unreadable.iter().filter(|it| it.id.is_none());
        let addrs: HashSet<_> = nameless.filter_map(|it| it.addr).collect();
        let is_shown = |it: &&Server| ids.contains(&it.id) || addrs.contains(&it.addr);
        let shown: Vec<_> = missing.filter(is_shown).cloned().collect();
        self.servers.extend(shown.into_iter().map(|mut server| {
            let left = server.leaves_in.map(|left| left.duration().saturating_sub(elapsed));
            server.leaves_in = left.map(Millis::from);
            server
        }));
        self
    }
}

/// Merges entries that have the same id. Returns `None` if they name different addresses or
/// services and none of them matches what was known. The result is leaving if any matching entry
/// is.
fn merge_entries(entries: Vec<Server>, held: Option<&Server>) -> Option<Server> {
    let place = |server: &Server| (server.addr, server.service.clone());
    let first = place(entries.first()?);
    let agreed = match held {
        Some(held) if entries.iter().any(|it| place(it) == place(held)) => place(held),
        _ if entries.iter().all(|it| place(it) == first) => first,
        _ => return None,
    };
    let mut agreeing = entries.into_iter().filter(|it| place(it) == agreed);
    let one = agreeing.next()?;
    Some(agreeing.fold(one, |one, other| if other.leaving { other } else { one }))
}
