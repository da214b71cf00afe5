//! Estimates the number of relays from the view of one leader.
//!
//! A new leader has not heard from any relay yet, and those it has not heard from may still hold leases from
//! a former leader. It learns how many there were from the number stored by the group, and from the number
//! that relays were told. The stored number is the only source if the first relay it hears from has just
//! started and was told nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::BoxId;

/// The assumed number of relays that share the limits while none can tell it.
pub const ASSUMED_RELAYS: u32 = 16;

/// The time without a heartbeat after which a relay no longer shares the limits.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The time in which relays may still act on a former leader's answer without the new leader having heard
/// from them. Until it is over, [`ASSUMED_RELAYS`] is used if no relay can tell their number.
const TAKEOVER_TIME: Duration = Duration::from_secs(6);

/// How long there must be fewer relays than stored before the group stores the lower number. It is longer
/// than any lease.
const SHRINK_DELAY: Duration = Duration::from_secs(10);

/// How long after a restart of everything a replica becomes the leader at the latest.
const MAX_RESTART_TIME: Duration = Duration::from_secs(20);

/// The relays that one leader has heard from, and those that may exist beyond them.
#[derive(Debug)]
pub struct RelayPresence {
    started_at: Instant,
    /// The relays heard from recently, and when.
    heard: BTreeMap<BoxId, Instant>,
    /// The highest number of relays that a former leader told one of them or had the group store.
    former_relays: u32,
    /// The relays that no leader had told anything yet.
    uninformed: BTreeSet<BoxId>,
    /// Whether any relay was heard from that a leader had told something.
    has_informed: bool,
    /// The number stored by the group, or `None` while unknown.
    stored: Option<u32>,
    /// Since when there are fewer relays than stored, and the highest number since then.
    shrinking: Option<(Instant, u32)>,
    /// Whether this replica ran before its term, so that not everything was restarted.
    has_run_before: bool,
}

impl RelayPresence {
    /// The state of a leader that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            heard: BTreeMap::new(),
            former_relays: 0,
            uninformed: BTreeSet::new(),
            has_informed: false,
            stored: None,
            shrinking: None,
            has_run_before: false,
        }
    }

    /// The state of a leader that starts at `now`, in a process that has run for `uptime` before.
    pub fn after_uptime(now: Instant, uptime: Duration) -> Self {
        Self { has_run_before: uptime > MAX_RESTART_TIME, ..Self::new(now) }
    }

    /// Records a heartbeat of a relay and returns when it was heard from before.
    pub fn record(&mut self, box_id: &BoxId, now: Instant) -> Option<Instant> {
        self.heard.insert(box_id.clone(), now)
    }

    /// Removes the relays that are gone.
    pub fn remove_absent(&mut self, now: Instant) {
        self.heard.retain(|_, heard| *heard + ABSENCE_TIMEOUT > now);
    }

    /// Records the number of relays that a former leader told this relay, or `None` if it has just started.
    pub fn record_told(&mut self, box_id: &BoxId, relays: Option<u32>) {
        match relays {
            Some(relays) => {
                self.has_informed = true;
                self.former_relays = self.former_relays.max(relays);
            }
            None => drop(self.uninformed.insert(box_id.clone())),
        }
    }

    /// Whether all relays were restarted, as after a power failure: this replica was, at least half of them
    /// were, and none heard from had been told anything. No relay holds a lease then. A replica that ran on
    /// may hear restarted relays only, because the others are cut off, and those hold leases.
    fn all_restarted(&self) -> bool {
        !self.has_run_before
            && !self.has_informed
            && 2 * self.uninformed.len() as u32 >= self.former_relays
    }

    /// Records the number stored by the group. Only a former leader's number, the first one read, counts as
    /// such.
    pub fn record_stored(&mut self, stored: u32) {
        if self.stored.is_none() {
            self.former_relays = self.former_relays.max(stored);
        }
        self.stored = Some(stored);
    }

    fn count(&self) -> u32 {
        self.heard.len() as u32
    }

    /// The estimated number of relays that share the limits evenly.
    pub fn estimated_relays(&self, now: Instant) -> u32 {
        let heard = self.count().max(1);
        match self.former_relays {
            0 if now < self.started_at + TAKEOVER_TIME => heard.max(ASSUMED_RELAYS),
            former_relays => heard.max(former_relays),
        }
    }

    /// The number of relays that this leader has not heard from but a former one had. At least one until the
    /// stored number is known.
    pub fn unheard_relays(&self) -> u32 {
        if self.stored.is_some() && self.all_restarted() {
            return 0;
        }
        let least = u32::from(self.stored.is_none());
        self.former_relays.saturating_sub(self.count().max(1)).max(least)
    }

    /// The number of relays that the group should store, if it has to change. A higher number is stored at
    /// once, as the leader may change at any moment.
    pub fn next_stored(&mut self, now: Instant) -> Option<u32> {
        let (stored, count) = (self.stored?, self.count());
        if count >= stored || now < self.started_at + TAKEOVER_TIME {
            self.shrinking = None;
            return (count > stored).then_some(count);
        }
        let (since, most) = self.shrinking.get_or_insert((now, count));
        *most = count.max(*most);
        (now >= *since + SHRINK_DELAY).then_some(*most)
    }
}
