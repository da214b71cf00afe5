//! Decides which releases of a service get new requests without an order.
//!
//! Servers of several releases may run side by side. A listed release is admitted once boxes report which release began
//! their streams. Releases that a roll-out replaced or was rolled back from are not admitted while they are listed, as
//! their servers are about to stop.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::Release;
use crate::state::rollout::ServingReleases;

/// The time in which a box that was heard has the new list: two heartbeats of the largest fleet, and the time that it takes
/// to fetch the parts.
const LIST_DELAY: Duration = Duration::from_secs(5);

/// A release that is listed, or was.
#[derive(Debug, Clone, Copy)]
pub struct ReleaseListing {
    /// Since when it is not.
    gone_at: Option<Instant>,
    /// Until when a box may have had it in its list.
    used_until: Instant,
}

impl ReleaseListing {
    /// A release that is listed at `now`.
    pub fn new(now: Instant) -> Self {
        Self { gone_at: None, used_until: now + LIST_DELAY }
    }

    /// Records whether the release is listed now; `heard` tells when each box was heard last. One that was not heard since
    /// the release left the list still has it in its own, and may begin streams there.
    pub fn update(
        &mut self,
        is_listed: bool,
        mut heard: impl Iterator<Item = Instant>,
        now: Instant,
    ) {
        self.gone_at = self.gone_at.or(Some(now)).filter(|_| !is_listed);
        if self.gone_at.is_none_or(|gone| heard.any(|heard| heard <= gone)) {
            self.used_until = now + LIST_DELAY;
        }
    }

    /// Whether no caller comes back any more for a stream that the release began. Callers do for `return_time`.
    pub fn is_over(&self, return_time: Duration, now: Instant) -> bool {
        now >= self.used_until + return_time
    }
}

/// What is known of a release of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReleaseView {
    /// Listed servers.
    pub listed: usize,
    /// Listed servers that are not leaving.
    pub open: usize,
    /// Whether no caller comes back any more for a stream that it began before it was listed no longer.
    pub is_over: bool,
    /// Whether the last roll-out of the service was rolled back from it.
    pub is_bad: bool,
}

/// The releases of a service, as the leader sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// The releases that get new requests, and those that were replaced, as the group stores them.
    pub stored: ServingReleases,
    /// What is known of each release that is listed or stored.
    pub releases: BTreeMap<Release, ReleaseView>,
    /// Whether all boxes that are heard report their streams.
    pub may_share: bool,
}

impl ServiceView {
    /// The releases that are to get new requests, if they differ from those that do.
    pub fn next_serving(&self) -> Option<ServingReleases> {
        let mut admitted = self.stored.beside.clone();
        admitted.insert(self.stored.in_force.clone());
        let is_served = admitted.iter().any(|release| self.view(release).open > 0);
        let new = self.releases.keys().filter(|release| self.is_admissible(release, is_served));
        admitted.extend(new.cloned());
        let in_force = self.next_in_force(&admitted);
        let keeps = |release: &Release| {
            let view = self.view(release);
            *release != in_force && (view.listed > 0 || !view.is_over)
        };
        let beside: BTreeSet<_> = admitted.into_iter().filter(keeps).collect();
        let replaced = self.stored.replaced.iter().filter(|release| keeps(release));
        let replaced = replaced.filter(|release| !beside.contains(*release)).cloned().collect();
        let next = ServingReleases { in_force, beside, replaced };
        (next != self.stored).then_some(next)
    }

    fn view(&self, release: &Release) -> ReleaseView {
        self.releases.get(release).copied().unwrap_or_default()
    }

    /// Whether a release may get new requests from now on. While nothing else serves, one that was replaced may, and
    /// none waits for boxes: new requests would have no server.
    fn is_admissible(&self, release: &Release, is_served: bool) -> bool {
        let view = self.view(release);
        let is_refused = view.is_bad || is_served && self.stored.replaced.contains(release);
        view.open > 0 && !is_refused && (self.may_share || !is_served)
    }

    /// The release in force, or the one with most servers if it has none left.
    fn next_in_force(&self, admitted: &BTreeSet<Release>) -> Release {
        let most = admitted.iter().max_by_key(|release| self.view(release).open);
        let is_lost = self.view(&self.stored.in_force).listed == 0;
        let next = most.filter(|release| is_lost && self.view(release).open > 0);
        next.unwrap_or(&self.stored.in_force).clone()
    }
}
