//! Requests that end the servers they run on are kept from all servers: at once by the box that saw it, and by
//! every box as soon as the leader knows.
//!
//! Each attempt of a caller is a new request at any box, so the count is the fleet's. Boxes tell the leader
//! which servers ended under which requests; the leader judges ([`super::ends`]), has the group note it and
//! tells all boxes. A box that no leader answers goes by what it has seen itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ends::{DEADLY_ENDS, EndTracker, ToldEnd};
use crate::ids::{BackendId, Fingerprint};
use crate::state::quarantine::{QuarantineBook, QuarantineChange};
use crate::units::{Millis, UnixMillis};

/// How long a request is kept from servers: software that ends under it is seldom mended sooner, and each
/// try costs three servers. Operators lift it when it is.
pub const HOLD_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Requests that are held at most; those held for the shortest time yet are the last to go.
const HELD_LIMIT: usize = 1_024;

/// Ends that one word to the leader tells at most; the others follow.
const TOLD_LIMIT: usize = 16;

/// A request that a server answered no longer ago than this ends none. Where a new release does what the former
/// one did not, this is how much longer it is let through.
const WELL_TIME: Duration = Duration::from_secs(10);

/// Requests remembered as answered: all of [`WELL_TIME`] at 100 a second.
const WELL_SLOTS: usize = 1_024;

/// Time in which the leader has to have read the platform's list to tell a server that left from one that
/// ended.
const LEFT_TIME: Duration = Duration::from_secs(60);

/// Time between two judgements: one goes through all ends, and with a data centre hundreds of boxes tell of
/// hundreds at once. A fifth of a box's usual time between two words.
const JUDGE_TIME: Duration = Duration::from_millis(80);

/// Requests that one box tells as answered at most, until it has told them.
const CLEARED_LIMIT: usize = 64;

/// A request that is held, on its way to a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldHeld {
    /// The request.
    pub request: Fingerprint,
    /// For how much longer.
    pub left: Millis,
}

/// What a box tells the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Servers that ended under its requests, as far as that is news.
    pub ends: Vec<ToldEnd>,
    /// Requests that are held or suspected and that a server has answered.
    pub cleared: Vec<Fingerprint>,
    /// Which word of the leader it has; 0 for none.
    pub has: u64,
}

/// What the leader tells a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Which word this is; not 0.
    pub mark: u64,
    /// All requests that are held.
    pub held: Vec<ToldHeld>,
}

/// What a word changes for somebody who logs it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Requests that are held from now on.
    pub held: Vec<Fingerprint>,
    /// Requests that are let through again.
    pub lifted: Vec<Fingerprint>,
}

impl Changes {
    fn between(before: &BTreeSet<Fingerprint>, after: &BTreeSet<Fingerprint>) -> Self {
        let held = after.difference(before).copied().collect();
        Self { held, lifted: before.difference(after).copied().collect() }
    }
}

/// The requests that a server answered lately. Each has one place, so whoever sends many others can only have it
/// forgotten.
#[derive(Debug)]
struct WellBook {
    slots: Vec<Option<(Fingerprint, Instant)>>,
}

impl Default for WellBook {
    fn default() -> Self {
        Self { slots: vec![None; WELL_SLOTS] }
    }
}

impl WellBook {
    fn place(request: &Fingerprint) -> usize {
        usize::from(u16::from_be_bytes([request.0[0], request.0[1]])) % WELL_SLOTS
    }

    fn note(&mut self, request: Fingerprint, now: Instant) {
        self.slots[Self::place(&request)] = Some((request, now));
    }

    fn has(&self, request: &Fingerprint, now: Instant) -> bool {
        let held = self.slots[Self::place(request)];
        held.is_some_and(|(it, at)| it == *request && at + WELL_TIME > now)
    }
}

/// A box's side.
#[derive(Debug, Default)]
pub struct BoxQuarantine {
    /// What the leader told, and until when each is held.
    told: BTreeMap<Fingerprint, Instant>,
    mark: u64,
    /// Servers that ended under this box's requests.
    ends: EndTracker,
    /// What ends its servers by those ends, and the leader has not heard of.
    own: BTreeSet<Fingerprint>,
    well: WellBook,
    cleared: BTreeSet<Fingerprint>,
}

impl BoxQuarantine {
    /// For how much longer a request is kept from servers; `None` where it is not.
    pub fn left(&self, request: &Fingerprint, now: Instant) -> Option<Duration> {
        let told = self.told.get(request).map(|until| until.saturating_duration_since(now));
        let own = self.own.contains(request).then_some(HOLD_TIME);
        told.max(own).filter(|left| !left.is_zero())
    }

    /// Whether no request is kept from servers.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty() && self.own.is_empty()
    }

    /// Requests that are kept from servers.
    pub fn len(&self) -> usize {
        self.told.len() + self.own.iter().filter(|it| !self.told.contains_key(it)).count()
    }

    /// Takes that a server ended; the changes, and whether that is news for the leader.
    pub fn record_end(&mut self, told: ToldEnd, now: Instant) -> (Changes, bool) {
        let before = self.requests();
        let news = self.ends.note(told, now);
        self.judge_own();
        (Changes::between(&before, &self.requests()), news)
    }

    /// Takes that a server answered a request, well or not: it did not end under it. Whether that is news for
    /// the leader.
    pub fn record_success(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.well.note(request, now);
        let suspected = !self.ends.is_empty() && self.ends.clear(&request);
        if suspected || self.told.contains_key(&request) {
            return self.clear(request);
        }
        false
    }

    fn clear(&mut self, request: Fingerprint) -> bool {
        self.told.remove(&request);
        self.own.remove(&request);
        self.cleared.len() < CLEARED_LIMIT && self.cleared.insert(request)
    }

    /// What the leader is to be told.
    pub fn tell(&self, now: Instant) -> EndReport {
        let ends = self.ends.news(now, TOLD_LIMIT);
        EndReport { ends, cleared: self.cleared.iter().copied().collect(), has: self.mark }
    }

    /// Takes the answer to a word: the leader has heard it, and may have told something. One that `lacks` what
    /// it was told before is told all again. The changes, and whether something is left to tell at once.
    pub fn answered(
        &mut self,
        told: &EndReport,
        word: Option<QuarantineUpdate>,
        lacks: bool,
        now: Instant,
    ) -> (Changes, bool) {
        self.ends.heard(&told.ends);
        if lacks {
            self.ends.tell_again();
        }
        self.cleared.retain(|request| !told.cleared.contains(request));
        let before = self.requests();
        if let Some(word) = word {
            self.take(word, now);
        }
        self.judge_own();
        let changes = Changes::between(&before, &self.requests());
        (changes, !self.cleared.is_empty())
    }

    fn take(&mut self, word: QuarantineUpdate, now: Instant) {
        self.mark = word.mark;
        let until = |held: ToldHeld| (held.request, now + held.left.duration());
        let told: BTreeMap<_, _> = word.held.into_iter().map(until).collect();
        // What was lifted starts anew: told again, its ends would have the next leader hold it.
        for request in self.told.keys().filter(|request| !told.contains_key(request)) {
            self.ends.clear(request);
        }
        self.told = told;
        let wrong: Vec<_> =
            self.told.keys().filter(|request| self.well.has(request, now)).copied().collect();
        for request in wrong {
            self.ends.clear(&request);
            self.clear(request);
        }
    }

    /// The leader sees more than this box: what it has heard, it judges.
    fn judge_own(&mut self) {
        let deadly = self.ends.deadly();
        self.own = deadly.into_iter().filter(|request| self.ends.has_news_of(request)).collect();
    }

    fn requests(&self) -> BTreeSet<Fingerprint> {
        self.told.keys().chain(&self.own).copied().collect()
    }
}

/// The leader's side.
#[derive(Debug, Default)]
pub struct FleetQuarantine {
    ends: EndTracker,
    held: QuarantineBook,
    /// What is held by the ends that this leader knows.
    judged: BTreeSet<Fingerprint>,
    /// Whether something came since the last judgement, and when that was.
    due: bool,
    judged_at: Option<Instant>,
    /// Servers that were shown as leaving.
    left: BTreeMap<BackendId, Instant>,
    /// What the group has noted; `None` before that is known.
    noted: Option<Arc<QuarantineBook>>,
    /// What was held at the last judgement.
    said: BTreeSet<Fingerprint>,
    /// What boxes were told last, and which word that was.
    told: Option<(u64, BTreeSet<Fingerprint>)>,
}

impl FleetQuarantine {
    /// Whether this leader knows what the group has noted.
    pub fn is_known(&self) -> bool {
        self.noted.is_some()
    }

    /// Takes what the group has noted. What it no longer holds was lifted, by an operator or a former leader.
    pub fn follow(&mut self, noted: Arc<QuarantineBook>) {
        if self.noted.as_ref().is_some_and(|held| Arc::ptr_eq(held, &noted)) {
            return;
        }
        let former = self.noted.replace(noted.clone()).unwrap_or_default();
        for (request, until) in noted.iter().filter(|(request, _)| !former.contains_key(request)) {
            self.held.entry(*request).or_insert(*until);
        }
        for request in former.keys().filter(|request| !noted.contains_key(request)) {
            self.lift(request);
        }
    }

    /// Takes a box's word.
    pub fn hear(&mut self, word: EndReport, now: Instant) {
        for told in word.ends {
            if !self.left.contains_key(&told.server) {
                self.due |= self.ends.note(told, now);
            }
        }
        for request in &word.cleared {
            self.due = true;
            self.lift(request);
        }
    }

    /// Takes which servers the platform shows as leaving: their ends are no request's doing.
    pub fn record_leaving<'a>(
        &mut self,
        leaving: impl Iterator<Item = &'a BackendId>,
        now: Instant,
    ) {
        self.left.retain(|_, at| *at + LEFT_TIME > now);
        for server in leaving {
            if self.left.insert(server.clone(), now).is_some() {
                continue;
            }
            for request in self.ends.pardon(server) {
                self.due = true;
                if self.judged.contains(&request) && self.ends.count(&request) < DEADLY_ENDS {
                    self.judged.remove(&request);
                    self.held.remove(&request);
                }
            }
        }
    }

    fn lift(&mut self, request: &Fingerprint) {
        self.ends.clear(request);
        self.judged.remove(request);
        self.held.remove(request);
    }

    /// Judges anew what has come; the changes since the last judgement.
    pub fn judge(&mut self, now: Instant, unix: UnixMillis) -> Changes {
        self.held.retain(|_, until| *until > unix);
        let is_rested = self.judged_at.is_none_or(|at| at + JUDGE_TIME <= now);
        if self.due && is_rested {
            (self.due, self.judged_at) = (false, Some(now));
            self.judge_ends(unix);
        }
        let held: BTreeSet<_> = self.held.keys().copied().collect();
        let changes = Changes::between(&self.said, &held);
        self.said = held;
        changes
    }

    fn judge_ends(&mut self, unix: UnixMillis) {
        let deadly = self.ends.deadly();
        for request in self.judged.difference(&deadly) {
            // Its ends are another one's. Where they were only forgotten, as after a great many others, it
            // stays held.
            if self.ends.count(request) >= DEADLY_ENDS {
                self.held.remove(request);
            }
        }
        let until = UnixMillis(unix.0 + HOLD_TIME.as_millis() as u64);
        for request in deadly.difference(&self.judged) {
            if self.held.len() < HELD_LIMIT {
                self.held.insert(*request, until);
            }
        }
        self.judged = deadly;
    }

    /// Servers that ended under a request, as far as this leader knows.
    pub fn ends_of(&self, request: &Fingerprint) -> usize {
        self.ends.count(request)
    }

    /// What the group is to note, where it holds something else.
    pub fn to_note(&self) -> Option<QuarantineChange> {
        let noted = self.noted.as_ref()?;
        let new = self.held.iter().filter(|(request, _)| !noted.contains_key(request));
        let held = new.map(|(request, until)| (*request, *until)).collect();
        let gone = noted.keys().filter(|request| !self.held.contains_key(request));
        let change = QuarantineChange { held, lifted: gone.copied().collect() };
        (!change.is_empty()).then_some(change)
    }

    /// The word for a box that has the one marked `has`; none before this leader knows what the group has
    /// noted, so that a box keeps what it was told before. `mark` is for a new word.
    pub fn word(&mut self, has: u64, mark: u64, unix: UnixMillis) -> Option<QuarantineUpdate> {
        self.noted.as_ref()?;
        let same = |(_, told): &(u64, BTreeSet<Fingerprint>)| self.held.keys().eq(told.iter());
        if !self.told.as_ref().is_some_and(same) {
            self.told = Some((mark.max(1), self.held.keys().copied().collect()));
        }
        let mark = self.told.as_ref().map_or(1, |(mark, _)| *mark);
        let left = |(request, until): (&Fingerprint, &UnixMillis)| ToldHeld {
            request: *request,
            left: Millis(until.0.saturating_sub(unix.0)),
        };
        (mark != has).then(|| QuarantineUpdate { mark, held: self.held.iter().map(left).collect() })
    }
}
