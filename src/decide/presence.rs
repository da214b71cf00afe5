//! How many relays there are, as one leader can tell.
//!
//! A new leader has heard none of them, and those that it has not heard may go by what a former one leased them. How
//! many there were it learns from the group's note, and from what relays were told. The note alone holds where a relay
//! that has just started is the first to be heard: it was told nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::BoxId;

/// Relays taken to share the limits before anyone can tell how many do.
pub const RELAYS_GUESSED: u32 = 16;

/// A relay that has not been heard for this long does not share the limits.
pub const ABSENT_TIME: Duration = Duration::from_secs(3);

/// Time in which relays that a new leader has not heard may still go by a former one's word: until it
/// is over, one that no relay can tell their number takes them to be [`RELAYS_GUESSED`].
const LEARN_TIME: Duration = Duration::from_secs(6);

/// How long there are fewer relays than noted before the group notes that: longer than any of them goes by a lease.
const FEWER_TIME: Duration = Duration::from_secs(10);

/// The relays that one leader has heard, and those that there may be beside.
#[derive(Debug)]
pub struct Presence {
    began: Instant,
    /// The relays that were heard lately, and when.
    heard: BTreeMap<BoxId, Instant>,
    /// The most relays that a former leader told any of them of, or had the group note.
    former: u32,
    /// The relays that no leader had told anything yet.
    started: BTreeSet<BoxId>,
    /// Whether one was heard that a leader had told something.
    informed: bool,
    /// What the group has noted; `None` until that is known.
    noted: Option<u32>,
    /// Since when there are fewer than noted, and the most since then.
    fewer: Option<(Instant, u32)>,
}

impl Presence {
    /// That of a leader which begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            heard: BTreeMap::new(),
            former: 0,
            started: BTreeSet::new(),
            informed: false,
            noted: None,
            fewer: None,
        }
    }

    /// Records that a relay was heard; when it was heard before.
    pub fn record(&mut self, box_id: &BoxId, now: Instant) -> Option<Instant> {
        self.heard.insert(box_id.clone(), now)
    }

    /// Forgets the relays that are gone.
    pub fn sweep(&mut self, now: Instant) {
        self.heard.retain(|_, heard| *heard + ABSENT_TIME > now);
    }

    /// Takes how many relays a former leader told a relay of; `None` from one that has just started.
    pub fn learn(&mut self, box_id: &BoxId, relays: Option<u32>) {
        match relays {
            Some(relays) => {
                self.informed = true;
                self.former = self.former.max(relays);
            }
            None => drop(self.started.insert(box_id.clone())),
        }
    }

    /// Whether all relays have started anew, as after a loss of all power: half of them have, and none that was
    /// heard had been told anything. None of them holds anything on lease then.
    fn all_started(&self) -> bool {
        !self.informed && 2 * self.started.len() as u32 >= self.former
    }

    /// Takes what the group has noted. Only the note of a former leader counts as its word.
    pub fn restore(&mut self, noted: u32) {
        if self.noted.is_none() {
            self.former = self.former.max(noted);
        }
        self.noted = Some(noted);
    }

    fn count(&self) -> u32 {
        self.heard.len() as u32
    }

    /// Relays that share what is shared evenly, as far as can be told.
    pub fn relays(&self, now: Instant) -> u32 {
        let heard = self.count().max(1);
        match self.former {
            0 if now < self.began + LEARN_TIME => heard.max(RELAYS_GUESSED),
            former => heard.max(former),
        }
    }

    /// Relays that this leader has not heard and a former one had. One at least until the group's note is known.
    pub fn unheard(&self) -> u32 {
        if self.noted.is_some() && self.all_started() {
            return 0;
        }
        let least = u32::from(self.noted.is_none());
        self.former.saturating_sub(self.count().max(1)).max(least)
    }

    /// How many relays the group is to note. More are noted at once, as the next leader may lead at any moment.
    pub fn next_note(&mut self, now: Instant) -> Option<u32> {
        let (noted, count) = (self.noted?, self.count());
        if count >= noted || now < self.began + LEARN_TIME {
            self.fewer = None;
            return (count > noted).then_some(count);
        }
        let (since, most) = self.fewer.get_or_insert((now, count));
        *most = count.max(*most);
        (now >= *since + FEWER_TIME).then_some(*most)
    }
}
