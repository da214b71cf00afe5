//! One reading of the platform's list: what could be read of it, and what could not.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::list::Server;
use crate::ids::BackendId;
use crate::units::Millis;

/// Why an entry names no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryFault {
    /// It has no fields.
    Shape,
    /// This field is missing, of another type, or out of range.
    Field(&'static str),
    /// Another entry says something else of the same id.
    Doubled,
}

impl EntryFault {
    /// Its name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shape => "shape",
            Self::Field(_) => "field",
            Self::Doubled => "doubled",
        }
    }
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shape => f.write_str("it has no fields"),
            Self::Field(name) => write!(f, "{name} cannot be read"),
            Self::Doubled => f.write_str("another entry has its id"),
        }
    }
}

/// An entry that names no server, and what can be told of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unread {
    /// Its id.
    pub id: Option<BackendId>,
    /// Its address.
    pub addr: Option<SocketAddr>,
    /// Why it names none.
    pub fault: EntryFault,
}

/// One reading.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The entries that could be read.
    pub servers: Vec<Server>,
    /// Those that could not.
    pub unread: Vec<Unread>,
}

impl From<Vec<Server>> for Listing {
    fn from(servers: Vec<Server>) -> Self {
        Self { servers, unread: Vec::new() }
    }
}

impl Listing {
    /// Adds what a further page lists.
    pub fn extend(&mut self, page: Self) {
        self.servers.extend(page.servers);
        self.unread.extend(page.unread);
    }

    /// Settles what the reading says beside the one before, `passed` ago: each id names one server at most,
    /// and an entry that cannot be read any more takes none away.
    pub(super) fn settle(self, former: &[Server], passed: Duration) -> Self {
        let settled = self.without_doubles(former);
        settled.with_former(former, passed)
    }

    fn without_doubles(self, former: &[Server]) -> Self {
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
        let mut settled = Self { servers: Vec::new(), unread: self.unread };
        let held: HashMap<_, _> = former.iter().map(|server| (&server.id, server)).collect();
        for id in order {
            let same = entries.remove(&id).unwrap_or_default();
            let held = held.get(&id).copied();
            match one_of(same, held) {
                Some(server) => settled.servers.push(server),
                None => {
                    let fault = EntryFault::Doubled;
                    settled.unread.push(Unread { id: Some(id), addr: None, fault });
                }
            }
        }
        settled
    }

    fn with_former(mut self, former: &[Server], passed: Duration) -> Self {
        if self.unread.is_empty() {
            return self;
        }
        let there: HashSet<_> = self.servers.iter().map(|server| &server.id).collect();
        let missing = former.iter().filter(|server| !there.contains(&server.id));
        // An entry that cannot be read is a server's by its id, or by its address where that cannot be read
        // either.
        let ids: HashSet<_> = self.unread.iter().filter_map(|it| it.id.as_ref()).collect();
        let nameless = self.unread.iter().filter(|it| it.id.is_none());
        let addrs: HashSet<_> = nameless.filter_map(|it| it.addr).collect();
        let is_shown = |it: &&Server| ids.contains(&it.id) || addrs.contains(&it.addr);
        let shown: Vec<_> = missing.filter(is_shown).cloned().collect();
        self.servers.extend(shown.into_iter().map(|mut server| {
            let left = server.leaves_in.map(|left| left.duration().saturating_sub(passed));
            server.leaves_in = left.map(Millis::from);
            server
        }));
        self
    }
}

/// The server that entries of one id name: they agree where it is and what it serves, or one of them agrees
/// with what was known. It is leaving if one of those says so.
fn one_of(entries: Vec<Server>, held: Option<&Server>) -> Option<Server> {
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
