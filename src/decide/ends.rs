//! Under which requests backend servers ended, and which of them ends its servers.
//!
//! When a server ends, all that ran on it is under suspicion, and mostly one request of many is to blame. So
//! not every end counts against every request that was there:
//!
//! - an end is explained by the request under which most servers have ended, and counts against no other;
//! - servers of one data centre that end at the same moment were lost together: that counts only against a
//!   request that ran on most of them;
//! - a server that was leaving is taken back, and a request that any server has answered ends none.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, Fingerprint};
use crate::units::Millis;

/// Servers that have to end under a request before it is kept from all others. One or two happen to anybody
/// beside a request that ends servers; each one more costs all that runs there.
pub const DEADLY_ENDS: usize = 3;

/// How long an end counts: a caller that comes less often ends a few servers a day.
pub const END_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Ends remembered; the oldest go first. A storm ended 64 servers before it was stopped.
const ENDS_LIMIT: usize = 256;

/// Requests remembered for one end: more than run on a server at a time.
const REQUESTS_LIMIT: usize = 256;

/// Boxes hear of one end within this time of each other. No server is back and ends again within it.
const SAME_END: Duration = Duration::from_secs(1);

/// Servers that are lost together end within this time of each other, as boxes see it.
const SAME_LOSS: Duration = Duration::from_millis(100);

/// So many servers of a data centre at the same moment are a loss, not the doing of one request.
const LOSS_SIZE: usize = 3;

/// An end as a box tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEnd {
    /// The server.
    pub server: BackendId,
    /// Where it was.
    pub data_centre: DataCentre,
    /// What ran there.
    pub requests: Vec<Fingerprint>,
    /// How long ago it ended.
    pub age: Millis,
}

#[derive(Debug, Clone)]
struct End {
    server: BackendId,
    data_centre: DataCentre,
    at: Instant,
    requests: BTreeSet<Fingerprint>,
    /// Whether others are still to hear of it as it is now.
    news: bool,
}

impl End {
    fn is_same(&self, server: &BackendId, at: Instant) -> bool {
        let apart = at.max(self.at) - at.min(self.at);
        self.server == *server && apart < SAME_END
    }
}

/// The ends that count.
#[derive(Debug, Default)]
pub struct EndTracker {
    ends: Vec<End>,
}

impl EndTracker {
    /// Takes an end; whether anything about it is new.
    pub fn note(&mut self, told: ToldEnd, now: Instant) -> bool {
        let at = now.checked_sub(told.age.duration()).unwrap_or(now);
        self.ends.retain(|end| end.at + END_TIME > now);
        let held = self.ends.iter().position(|end| end.is_same(&told.server, at));
        let place = held.unwrap_or_else(|| {
            if self.ends.len() >= ENDS_LIMIT {
                self.drop_oldest();
            }
            let (server, data_centre) = (told.server, told.data_centre);
            let requests = BTreeSet::new();
            self.ends.push(End { server, data_centre, at, requests, news: true });
            self.ends.len() - 1
        });
        let end = &mut self.ends[place];
        let before = end.requests.len();
        let room = REQUESTS_LIMIT.saturating_sub(before);
        end.requests.extend(told.requests.into_iter().take(room));
        let is_new = held.is_none() || end.requests.len() > before;
        end.news |= is_new;
        is_new
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.ends.len()).min_by_key(|place| self.ends[*place].at);
        if let Some(oldest) = oldest {
            self.ends.swap_remove(oldest);
        }
    }

    /// Forgets what counts against a request; whether anything did.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        self.ends.iter_mut().fold(false, |any, end| end.requests.remove(request) | any)
    }

    /// Forgets the ends of a server that was leaving; what ran there.
    pub fn pardon(&mut self, server: &BackendId) -> BTreeSet<Fingerprint> {
        let (gone, rest) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition::<Vec<_>, _>(|end| end.server == *server);
        self.ends = rest;
        gone.into_iter().flat_map(|end| end.requests).collect()
    }

    /// Whether nothing ended.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Servers that ended under a request, whatever explains it.
    pub fn count(&self, request: &Fingerprint) -> usize {
        self.ends.iter().filter(|end| end.requests.contains(request)).count()
    }

    /// Whether others are still to hear of an end under a request.
    pub fn has_news_of(&self, request: &Fingerprint) -> bool {
        self.ends.iter().any(|end| end.news && end.requests.contains(request))
    }

    /// Ends of which others are still to hear, `limit` at most.
    pub fn news(&self, now: Instant, limit: usize) -> Vec<ToldEnd> {
        let news = self.ends.iter().filter(|end| end.news).take(limit);
        news.map(|end| ToldEnd {
            server: end.server.clone(),
            data_centre: end.data_centre.clone(),
            requests: end.requests.iter().copied().collect(),
            age: now.saturating_duration_since(end.at).into(),
        })
        .collect()
    }

    /// Notes that others have heard of these.
    pub fn heard(&mut self, told: &[ToldEnd]) {
        for end in &mut self.ends {
            let same = told.iter().find(|it| it.server == end.server);
            end.news &= same.is_none_or(|it| it.requests.len() < end.requests.len());
        }
    }

    /// Notes that whoever is told now has heard of none.
    pub fn tell_again(&mut self) {
        self.ends.iter_mut().for_each(|end| end.news = true);
    }

    /// The requests that end their servers: again and again the one under which most ends are not explained
    /// yet, as long as there are [`DEADLY_ENDS`] of them.
    pub fn deadly(&self) -> BTreeSet<Fingerprint> {
        let mut open: Vec<BTreeSet<Fingerprint>> = self.charges();
        let mut deadly = BTreeSet::new();
        loop {
            let counts = count(open.iter());
            // Of several with as many, the one whose last end is the newest: one that ends servers goes on.
            let last = |request: &Fingerprint| {
                let ends = self.ends.iter().filter(|end| end.requests.contains(request));
                ends.map(|end| end.at).max()
            };
            let most = counts.values().copied().max().unwrap_or(0);
            let leading = counts.iter().filter(|(_, count)| **count == most);
            let worst = leading.max_by_key(|(request, _)| (last(request), **request));
            let Some((worst, _)) = worst.filter(|_| most >= DEADLY_ENDS) else {
                return deadly;
            };
            open.retain(|requests| !requests.contains(worst));
            deadly.insert(*worst);
        }
    }

    /// The requests against which each end counts.
    fn charges(&self) -> Vec<BTreeSet<Fingerprint>> {
        let mut ordered: Vec<&End> = self.ends.iter().collect();
        ordered.sort_by(|a, b| (&a.data_centre, a.at).cmp(&(&b.data_centre, b.at)));
        let together =
            |a: &&End, b: &&End| a.data_centre == b.data_centre && b.at - a.at < SAME_LOSS;
        ordered.chunk_by(together).flat_map(charges_of).collect()
    }
}

/// How many of the sets each request is in.
fn count<'a>(sets: impl Iterator<Item = &'a BTreeSet<Fingerprint>>) -> HashMap<Fingerprint, usize> {
    let mut counts = HashMap::new();
    for request in sets.flatten() {
        *counts.entry(*request).or_default() += 1;
    }
    counts
}

/// The requests against which ends at the same moment in one data centre count.
fn charges_of(ends: &[&End]) -> Vec<BTreeSet<Fingerprint>> {
    let all = ends.iter().map(|end| end.requests.clone());
    if ends.len() < LOSS_SIZE {
        return all.collect();
    }
    let counts = count(ends.iter().map(|end| &end.requests));
    let ran_on_most = |request: &Fingerprint| 2 * counts[request] > ends.len();
    all.map(|requests| requests.into_iter().filter(ran_on_most).collect()).collect()
}
