//! Which life a backend server is in, and when a box asks it.
//!
//! A server may start again under its id, at the same address or at another. It then holds nothing of
//! before, so what is known of it must not outlive its life. The platform's list tells no lives: a box
//! asks the server itself when something makes it doubt, and tells the others what it heard.
//!
//! A life is the Unix millisecond at which it began, by the server's own word. Lives only grow: a word of
//! an earlier one changes nothing, in whatever order words arrive.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{BackendId, Incarnation};
use crate::units::UnixMillis;

/// How far a clock may be ahead for a server's word of its start to be believed: a word that no later one
/// can ever exceed would bar every start to come.
const AHEAD_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// How exactly the clocks of a box and a server are taken to agree.
const CLOCK_SLACK: Duration = Duration::from_secs(1);

/// How old what the platform's list shows may be: it runs about a second behind, and is read every half
/// second. What is read later than this after a life began is of that life. Shorter than a server that
/// leaves serves on, so that the notice of a life that is itself leaving is heard in time.
pub const LIST_LAG: Duration = Duration::from_secs(2);

/// A moment, by the clock that only goes on and by the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// By the clock that only goes on.
    pub at: Instant,
    /// By the time of day, as servers tell their starts.
    pub unix: UnixMillis,
}

impl From<Instant> for Moment {
    fn from(at: Instant) -> Self {
        Self { at, unix: UnixMillis::now() }
    }
}

/// What a word of a server's life changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing: it names the life that is known, or none.
    Same,
    /// The life that is known has a name now; what is known of it stands.
    Named,
    /// The server has started again: nothing that was known of it holds.
    Another,
    /// It is of an earlier life, and to be passed over.
    Earlier,
    /// It names no time at which a server can have started.
    Unbelieved,
}

/// Who says which life a server is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speaker {
    /// The server itself, asked by this process.
    Server,
    /// Another process, of what it was told: the word may be old.
    Other,
}

/// The life that a server is in, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// The life; 0 where nothing has told it.
    told: Incarnation,
    /// Whether the server itself has told it.
    sure: bool,
    /// When the server was first known in it.
    seen: UnixMillis,
    /// Whether it followed on another one.
    renewed: bool,
    /// The latest life that is known to be over.
    past: Incarnation,
}

impl Life {
    /// The life, not told yet, of a server that is first known now.
    pub fn seen_at(now: UnixMillis) -> Self {
        let (told, past) = Default::default();
        Self { told, sure: false, seen: now, renewed: false, past }
    }

    /// Its name; 0 where nothing has told it.
    pub fn told(&self) -> Incarnation {
        self.told
    }

    /// Whether a word that names `life`, or none, is of this life. Where the server is known to have started
    /// again, a word that names none may be of an earlier one.
    pub fn is_of(&self, life: Incarnation) -> bool {
        life == self.told || (life.is_none() && !self.renewed)
    }

    /// Takes a word of the life that the server is in.
    ///
    /// One that began before the server was known is the life that is known, whatever an older word had
    /// named it; unless the server itself had named another since.
    pub fn hear(&mut self, life: Incarnation, speaker: Speaker, now: UnixMillis) -> Heard {
        if life.is_none() {
            return Heard::Same;
        }
        if life < self.told || life <= self.past {
            return Heard::Earlier;
        }
        if life.0 > now.0 + AHEAD_LIMIT.as_millis() as u64 {
            return Heard::Unbelieved;
        }
        let sure = speaker == Speaker::Server;
        if life == self.told {
            self.sure |= sure;
            return Heard::Same;
        }
        if !self.sure && life.0 <= self.seen.0 + CLOCK_SLACK.as_millis() as u64 {
            (self.told, self.sure) = (life, sure);
            return Heard::Named;
        }
        *self = Self { told: life, sure, seen: now, renewed: true, past: self.told.max(self.past) };
        Heard::Another
    }

    /// Takes that the server is in another life, which is not told yet.
    pub fn restart(&mut self, now: UnixMillis) {
        let past = self.told.max(self.past);
        *self = Self { told: Incarnation::default(), sure: false, seen: now, renewed: true, past };
    }

    /// Whether a listing that was read at `read` is of this life as well: the list lags, and may show what
    /// was true of an earlier one. `known` is for how long the life has been known: a clock that is behind
    /// holds a notice back no longer than this.
    pub fn is_listed(&self, read: UnixMillis, known: Duration) -> bool {
        let lag = LIST_LAG.as_millis() as u64;
        self.told.is_none() || read.0 >= self.told.0 + lag || known >= LIST_LAG
    }
}

/// Time within which boxes that doubt a server at the same moment ask it: the others mostly hear the life
/// from the first before their turn comes.
const SPREAD: Duration = Duration::from_millis(500);

/// Time between two questions to one server, doubled each time up to [`PAUSE_LIMIT`].
const PAUSE: Duration = Duration::from_secs(1);

/// The longest time between two questions to one server.
const PAUSE_LIMIT: Duration = Duration::from_secs(30);

/// Questions to a server without an answer before it is no longer asked until something new makes doubt.
const ASK_LIMIT: u32 = 8;

/// Servers asked at a time.
const DUE_LIMIT: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// When it is asked next.
    next: Instant,
    /// Before when it is not asked.
    rests: Option<Instant>,
    /// Questions since the doubt arose.
    tries: u32,
    /// Whether there is something to ask.
    open: bool,
}

/// The servers that may have started again, and when they are asked.
#[derive(Debug, Default)]
pub struct DoubtQueue {
    doubts: BTreeMap<BackendId, Doubt>,
}

impl DoubtQueue {
    /// Notes that something makes doubt whether a server is in the life that is known; whether that is
    /// news. `random` is a number from 0 to 1.
    pub fn raise(&mut self, server: &BackendId, now: Instant, random: f64) -> bool {
        let soon = now + SPREAD.mul_f64(random);
        let held = self.doubts.get(server);
        if held.is_some_and(|doubt| doubt.open) {
            return false;
        }
        let rests = held.and_then(|doubt| doubt.rests);
        let next = rests.map_or(soon, |rests| soon.max(rests));
        self.doubts.insert(server.clone(), Doubt { next, rests, tries: 0, open: true });
        true
    }

    /// The servers to ask now, [`DUE_LIMIT`] at most.
    pub fn due(&mut self, now: Instant) -> Vec<BackendId> {
        let due = self.doubts.iter_mut().filter(|(_, doubt)| doubt.open && doubt.next <= now);
        let due = due.take(DUE_LIMIT).map(|(server, doubt)| {
            doubt.rests = Some(now + PAUSE);
            doubt.tries += 1;
            doubt.open = doubt.tries < ASK_LIMIT;
            let pause = PAUSE * 2u32.pow(doubt.tries.min(8));
            doubt.next = now + pause.min(PAUSE_LIMIT);
            server.clone()
        });
        due.collect()
    }

    /// When the next server is to be asked.
    pub fn next(&self) -> Option<Instant> {
        self.doubts.values().filter(|doubt| doubt.open).map(|doubt| doubt.next).min()
    }

    /// Notes that a server's life is known: nothing is to be asked before something makes doubt again.
    pub fn settle(&mut self, server: &BackendId) {
        if let Some(doubt) = self.doubts.get_mut(server) {
            doubt.open = false;
        }
    }

    /// Notes that a server answered and told no life: to ask it again soon is of little use.
    pub fn settle_untold(&mut self, server: &BackendId, now: Instant) {
        self.settle(server);
        if let Some(doubt) = self.doubts.get_mut(server) {
            doubt.rests = Some(now + PAUSE_LIMIT);
        }
    }

    /// Forgets the servers that are not there.
    pub fn keep(&mut self, is_there: impl Fn(&BackendId) -> bool) {
        self.doubts.retain(|server, _| is_there(server));
    }
}
