//! Remembers which release began each stream. A caller that comes back for the rest of a stream names the request that
//! brought its first event, and may reach any box, but only servers of that release can continue it.
//!
//! A box remembers the streams that began there. While several releases of a service may serve, it reports them to the
//! leader, which answers the other boxes. This module does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{Release, ServiceName, TeamName};
use crate::units::Millis;

/// The most streams that a box remembers.
pub const MAX_BOX_ORIGINS: usize = 1 << 14;

/// The most streams that the leader remembers.
pub const MAX_LEADER_ORIGINS: usize = 1 << 17;

/// A caller comes back for a stream within this many times its route's timeout.
pub const RETURN_TIMEOUTS: u32 = 2;

/// The longest time for which callers come back while the routes are not known.
pub const UNKNOWN_RETURN_TIME: Duration = Duration::from_secs(60);

/// The most streams in one report.
pub const MAX_REPORTED: usize = 1_024;

/// How long a release that begins to serve beside another one waits for the streams of a box that is not heard: two
/// heartbeats of the largest fleet, and longer than an election.
pub const REPORT_PATIENCE: Duration = Duration::from_millis(4_500);

/// Identifies a stream: the hash of its team and of the id of the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// The key of the stream that a request of a team began.
    pub fn new(team: Option<&TeamName>, request: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(team.map_or("", TeamName::as_str));
        hash.update([0]);
        hash.update(request);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The release of the server.
    pub release: Release,
}

/// A box's report of a stream that began there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The stream.
    pub key: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
    /// For how long its caller may come back.
    pub left: Millis,
}

#[derive(Debug)]
struct Entry {
    /// `None` if two streams of different origins have the key.
    origin: Option<Arc<StreamOrigin>>,
    until: Instant,
    is_reported: bool,
}

/// The origins of streams, each until its caller comes back no more.
#[derive(Debug)]
pub struct StreamOrigins {
    entries: BTreeMap<StreamKey, Entry>,
    /// The origins of all entries: a few, each of many streams.
    shared: BTreeSet<Arc<StreamOrigin>>,
    expiry: BTreeSet<(Instant, StreamKey)>,
    capacity: usize,
}

impl StreamOrigins {
    /// Remembers at most `capacity` streams; beyond it those that expire first are removed.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            shared: BTreeSet::new(),
            expiry: BTreeSet::new(),
            capacity,
        }
    }

    /// Records what began a stream. If that differs from what is known, the origin counts as unknown: the caller has
    /// used an id twice. Returns whether it is new.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        until: Instant,
        now: Instant,
    ) -> bool {
        self.remove_expired(now);
        let origin = self.share(origin);
        let known = self.entries.get(&key).map(|known| known.origin.as_ref() == Some(&origin));
        let entry = match self.entries.remove(&key) {
            Some(known) => {
                self.expiry.remove(&(known.until, key));
                let is_same = known.origin.as_ref() == Some(&origin);
                let until = known.until.max(until);
                Entry { origin: is_same.then_some(origin), until, ..known }
            }
            None => Entry { origin: Some(origin), until, is_reported: false },
        };
        self.expiry.insert((entry.until, key));
        self.entries.insert(key, entry);
        if self.entries.len() > self.capacity
            && let Some((_, first)) = self.expiry.pop_first()
        {
            self.entries.remove(&first);
        }
        known != Some(true)
    }

    /// All streams, as a box would report them.
    pub fn reports(&mut self, now: Instant) -> Vec<OriginReport> {
        self.remove_expired(now);
        let known = self.entries.iter();
        let report = |(key, entry): (&StreamKey, &Entry)| {
            let origin = StreamOrigin::clone(entry.origin.as_ref()?);
            let left = entry.until.saturating_duration_since(now);
            Some(OriginReport { key: *key, origin, left: left.into() })
        };
        known.filter_map(report).collect()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What began a stream, if that is known.
    pub fn find(&self, key: StreamKey, now: Instant) -> Option<&StreamOrigin> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.until)?;
        entry.origin.as_deref()
    }

    fn share(&mut self, origin: StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.shared.get(&origin) {
            return shared.clone();
        }
        // Those that no stream has any more are as few as the releases that come and go.
        self.shared.retain(|shared| Arc::strong_count(shared) > 1);
        let origin = Arc::new(origin);
        self.shared.insert(origin.clone());
        origin
    }

    /// Some of the streams that the leader has not been told of, of the services for which `is_asked` holds.
    pub fn unreported(
        &mut self,
        is_asked: impl Fn(&ServiceName) -> bool,
        now: Instant,
    ) -> Vec<OriginReport> {
        self.remove_expired(now);
        let waiting = self.entries.iter().filter(|(_, entry)| !entry.is_reported);
        let reports = waiting.filter_map(|(key, entry)| {
            let origin = entry.origin.as_ref().filter(|origin| is_asked(&origin.service))?;
            let left = entry.until.saturating_duration_since(now);
            Some(OriginReport { key: *key, origin: StreamOrigin::clone(origin), left: left.into() })
        });
        reports.take(MAX_REPORTED).collect()
    }

    /// Records that the leader has these reports.
    pub fn mark_reported(&mut self, reports: &[OriginReport]) {
        for report in reports {
            if let Some(entry) = self.entries.get_mut(&report.key) {
                entry.is_reported = true;
            }
        }
    }

    /// Has everything reported again, as another leader knows nothing yet.
    pub fn forget_reports(&mut self) {
        self.entries.values_mut().for_each(|entry| entry.is_reported = false);
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.expiry.pop_first() {
                self.entries.remove(&key);
            }
        }
    }
}

/// A box's question on a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// The stream.
    pub key: StreamKey,
    /// The service that it is to be continued by, if that is not known.
    pub service: ServiceName,
}

/// The leader's word on a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// What began it.
    Known(StreamOrigin),
    /// It is not known, but only this release can have begun it.
    Sole(Release),
    /// Any of several releases may have begun it.
    Unknown,
}

/// For how long callers come back for a stream, over changes of the routes' timeouts: streams that began under a longer
/// one may come back for as long as it allowed.
#[derive(Debug, Clone)]
pub struct ReturnTime {
    current: Duration,
    /// Longer times of before, and until when each applies.
    former: Vec<(Duration, Instant)>,
}

impl ReturnTime {
    /// The return time at a leader that began at `began`. Unless it `is_first`, others published before it what it does
    /// not know.
    pub fn new(is_first: bool, began: Instant) -> Self {
        let unknown = (UNKNOWN_RETURN_TIME, began + UNKNOWN_RETURN_TIME);
        let former = if is_first { Vec::new() } else { vec![unknown] };
        Self { current: Duration::ZERO, former }
    }

    /// Records the longest timeout of the published routes with resumable streams.
    pub fn update(&mut self, timeout: Duration, now: Instant) {
        let next = timeout * RETURN_TIMEOUTS;
        self.former.retain(|(_, until)| now < *until);
        if next < self.current {
            self.former.push((self.current, now + self.current));
        }
        self.current = next;
    }

    /// For how long callers may come back now.
    pub fn get(&self, now: Instant) -> Duration {
        let former = self.former.iter().filter(|(_, until)| now < *until);
        former.map(|(time, _)| *time).fold(self.current, Duration::max)
    }
}
