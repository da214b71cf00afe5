//! The leader's view of which releases serve without an order, for [`crate::decide::serving`]: which ones the list
//! shows, which ones are over, and whether all boxes know that streams may be of several.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::lead::LeaderState;
use super::rollouts::SoleWord;
use crate::decide::origins::{
    OriginAnswer, REPORT_PATIENCE, ReturnTime, StreamKey, StreamOrigin, UNKNOWN_RETURN_TIME,
};
use crate::decide::serving::{ReleaseListing, ReleaseView, ServiceView};
use crate::ids::{Release, ServiceName};
use crate::relay::table::Repeat;
use crate::state::rollout::{Rollout, RolloutState, ServingReleases};
use crate::sync::lock;
use crate::units::UnixMillis;

/// Time between two looks at the list, which may have thousands of servers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// How long boxes wait for a list that names no server of the releases that they may use, while the group stores that
/// further ones serve.
const MAX_LIST_HOLD: Duration = Duration::from_millis(500);

/// Which releases serve, as last found.
#[derive(Debug, Default)]
pub(crate) struct ServingTracker {
    refreshed_at: Option<Instant>,
    /// For how long callers come back for a stream; `None` until the routes are known.
    return_time: Option<ReturnTime>,
    /// The releases of each service that were listed.
    listed: BTreeMap<ServiceName, BTreeMap<Release, ReleaseListing>>,
    /// What boxes are told.
    words: BTreeMap<ServiceName, SoleWord>,
    /// The services whose releases the group is to store.
    changed: BTreeMap<ServiceName, ServingReleases>,
    /// Since when the list names no server of the admitted releases of some service, but one of another release, which
    /// the group is to store.
    unserved_since: Option<Instant>,
}

impl ServingTracker {
    /// What boxes are told of a service.
    pub(super) fn word(&self, service: &ServiceName) -> SoleWord {
        self.words.get(service).copied().unwrap_or(SoleWord::Ending)
    }
}

/// The listed servers by service and release.
type ServerCounts = BTreeMap<ServiceName, BTreeMap<Release, ServerCount>>;

/// How many servers run a release.
#[derive(Debug, Clone, Copy, Default)]
struct ServerCount {
    all: usize,
    /// Those that are not leaving.
    open: usize,
}

impl LeaderState {
    /// Looks at the list and at what boxes have reported, if that is due. `is_new` marks a changed state of the group.
    pub(super) fn refresh_serving(&mut self, is_new: bool) {
        let now = Instant::now();
        let is_due = self.serving.refreshed_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        let Some(book) = self.rollouts.book().cloned().filter(|_| is_new || is_due) else {
            return;
        };
        self.update_return_time(now);
        let counts = self.count_servers();
        self.update_listings(&counts, now);
        let word = |service: &ServiceName| match self.is_sole(&book, &counts, service) {
            true => SoleWord::Given,
            false if self.is_withdrawn(&book, service, now) => SoleWord::Withdrawn,
            false => SoleWord::Ending,
        };
        let words = book.in_force.keys().map(|service| (service.clone(), word(service))).collect();
        let idle = book.in_force.keys().filter(|service| !book.is_rolled_out(service));
        let idle = idle.filter(|_| !self.list.is_empty());
        let changed = idle.filter_map(|service| {
            let view = self.service_view(&book, &counts, service, now)?;
            Some((service.clone(), view.next_serving()?))
        });
        let changed: BTreeMap<_, _> = changed.collect();
        let is_unserved = |(service, next): (&ServiceName, &ServingReleases)| {
            let is_open = |release: &Release| {
                let count = counts.get(service).and_then(|releases| releases.get(release));
                count.is_some_and(|count| count.open > 0)
            };
            let mut next = next.beside.iter().chain([&next.in_force]);
            !book.admitted(service).any(is_open) && next.any(is_open)
        };
        let is_unserved = changed.iter().any(is_unserved);
        let since = self.serving.unserved_since.unwrap_or(now);
        self.serving.unserved_since = is_unserved.then_some(since);
        self.serving.refreshed_at = Some(now);
        (self.serving.words, self.serving.changed) = (words, changed);
    }

    /// The releases that serve, of services where these have changed without an order, to be stored by the group;
    /// `None` if there is no such service.
    pub(super) fn serving_to_store(&mut self) -> Option<BTreeMap<ServiceName, ServingReleases>> {
        let changed = std::mem::take(&mut self.serving.changed);
        (!changed.is_empty()).then_some(changed)
    }

    /// Whether boxes are to keep the list that they have, as the new one has servers only of releases that they may not
    /// use yet.
    pub(super) fn holds_list(&self, now: Instant) -> bool {
        self.serving.unserved_since.is_some_and(|since| now < since + MAX_LIST_HOLD)
    }

    /// What this leader knows of the origin of a stream of a service; `None` until it has read the stored state.
    pub(super) fn find_origin(
        &self,
        key: StreamKey,
        service: &ServiceName,
    ) -> Option<OriginAnswer> {
        if let Some(origin) = lock(&self.origins).find(key, Instant::now()) {
            return Some(OriginAnswer::Known(StreamOrigin::clone(origin)));
        }
        let book = self.rollouts.book()?;
        let sole = book.in_force.get(service).filter(|_| self.is_admitted_alone(book, service));
        Some(match sole {
            Some(release) => OriginAnswer::Sole(release.clone()),
            None => OriginAnswer::Unknown,
        })
    }

    fn update_listings(&mut self, counts: &ServerCounts, now: Instant) {
        let mut listed = std::mem::take(&mut self.serving.listed);
        for (service, releases) in counts {
            let known = listed.entry(service.clone()).or_default();
            for release in releases.keys() {
                known.entry(release.clone()).or_insert_with(|| ReleaseListing::new(now));
            }
        }
        let return_time = self.return_time();
        for (service, releases) in &mut listed {
            let counts = counts.get(service);
            releases.retain(|release, listing| {
                let is_listed = counts.is_some_and(|counts| counts.contains_key(release));
                listing.update(is_listed, self.relay_states().map(|(_, heard)| heard), now);
                !listing.is_over(return_time, now)
            });
        }
        self.serving.listed = listed;
    }

    fn count_servers(&self) -> ServerCounts {
        let mut flat: HashMap<(&ServiceName, &Release), ServerCount> = HashMap::new();
        for server in self.list.servers() {
            let count = flat.entry((&server.service, &server.release)).or_default();
            count.all += 1;
            count.open += usize::from(!server.leaving);
        }
        let mut counts = ServerCounts::new();
        for ((service, release), count) in flat {
            counts.entry(service.clone()).or_default().insert(release.clone(), count);
        }
        counts
    }

    /// Whether a release that is not listed has not been, by the list of any box, for as long as callers of its streams
    /// come back.
    fn is_over(&self, service: &ServiceName, release: &Release, now: Instant) -> bool {
        let releases = self.serving.listed.get(service);
        match releases.and_then(|releases| releases.get(release)) {
            Some(listing) => listing.is_over(self.return_time(), now),
            None => now >= self.started_at + self.return_time(),
        }
    }

    fn update_return_time(&mut self, now: Instant) {
        let Some(table) = &self.table else {
            return;
        };
        let resumable = table.routes().filter(|route| route.repeat == Repeat::ResumableStream);
        let longest = resumable.map(|route| route.timeout).max().unwrap_or_default();
        let new = || ReturnTime::new(self.is_first, self.started_at);
        self.serving.return_time.get_or_insert_with(new).update(longest, now);
    }

    /// For how long callers come back for a stream.
    fn return_time(&self) -> Duration {
        let known = self.serving.return_time.as_ref();
        known.map_or(UNKNOWN_RETURN_TIME, |known| known.get(Instant::now()))
    }

    /// Whether the release in force is the only one that gets new requests, and streams of others are over.
    fn is_admitted_alone(&self, book: &RolloutState, service: &ServiceName) -> bool {
        let is_over = book.rollouts.get(service).is_none_or(|rollout| {
            let end = rollout.ordered + rollout.order.time.0;
            let return_time = self.return_time().as_millis() as u64;
            rollout.phase.is_finished() && UnixMillis::now().0 >= end + return_time
        });
        is_over && book.admitted(service).count() == 1
    }

    /// Whether boxes are told that only the release in force has begun streams: the list shows no other one either.
    fn is_sole(&self, book: &RolloutState, counts: &ServerCounts, service: &ServiceName) -> bool {
        let others = |releases: &BTreeMap<Release, ServerCount>| {
            releases.keys().any(|release| Some(release) != book.in_force.get(service))
        };
        self.is_admitted_alone(book, service) && !counts.get(service).is_some_and(others)
    }

    /// Whether boxes have reported the streams of a service that began while only one release served: each does so, or
    /// has not been heard for long. Those that a former leader asked for have come if there was none, or if it had
    /// several releases used.
    fn is_withdrawn(&self, book: &RolloutState, service: &ServiceName, now: Instant) -> bool {
        let is_exposed = |rollout: &Rollout| !rollout.phase.is_finished() && rollout.exposed > 0;
        let was_withdrawn = self.is_first
            || book.admitted(service).count() > 1
            || book.rollouts.get(service).is_some_and(is_exposed);
        let mut boxes = self.relay_states();
        (was_withdrawn || now >= self.started_at + REPORT_PATIENCE)
            && boxes
                .all(|(shared, heard)| shared.contains(service) || now >= heard + REPORT_PATIENCE)
    }

    /// The releases of a service, if one is in force.
    fn service_view(
        &self,
        book: &RolloutState,
        counts: &ServerCounts,
        service: &ServiceName,
        now: Instant,
    ) -> Option<ServiceView> {
        let stored = ServingReleases {
            in_force: book.in_force.get(service)?.clone(),
            beside: book.beside.get(service).cloned().unwrap_or_default(),
            replaced: book.replaced.get(service).cloned().unwrap_or_default(),
        };
        let listed = counts.get(service);
        let names = listed.into_iter().flat_map(BTreeMap::keys);
        let names = names.chain(book.admitted(service)).chain(&stored.replaced);
        let view = |release: &Release| {
            let count = listed.and_then(|listed| listed.get(release)).copied().unwrap_or_default();
            let is_over = self.is_over(service, release, now);
            let is_bad = book.is_rolled_back(service, release);
            ReleaseView { listed: count.all, open: count.open, is_over, is_bad }
        };
        let releases = names.map(|release| (release.clone(), view(release))).collect();
        let may_share = self.is_withdrawn(book, service, now);
        Some(ServiceView { stored, releases, may_share })
    }
}
