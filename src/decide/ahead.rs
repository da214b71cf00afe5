//! Lets a team use what its limit allows in a whole window at any pace, not only at its rate.
//!
//! A limit is kept over windows: in each, the rate times its length and the burst on top. A level that
//! fills at the rate ([`super::level`]) keeps that too, but refuses a team that comes in waves what the
//! window allows it. So a team whose level runs out goes on *ahead* of its rate, up to what the window
//! leaves.
//!
//! What went ahead must not be forgotten with a leader: the next one would allow it again. So a team
//! goes ahead only after the group has noted that it does, and a new leader takes a team with that note
//! to have used up its window just then. The note goes once the rate has made up for what was used.

use std::collections::VecDeque;

use super::level::Limit;
use crate::relay::allowance::Allowed;

/// The part of its burst below which a team's level is running out: what is left lasts for the time in
/// which the group notes it.
const LOW_PART: f64 = 0.6;

/// The part of its burst to which the level is back when the rate has made up for what was used.
const REPAID_PART: f64 = 0.7;

/// The part of the window's amount that is kept back: boxes let a last request in when they have only
/// a part of its cost left.
const RESERVE_PART: f64 = 0.03;

/// Use within so many seconds is kept as one sum.
const GRAIN: f64 = 0.1;

/// Use in one grain of time.
#[derive(Debug, Clone, Copy)]
struct Grain {
    at: f64,
    used: f64,
}

/// One team's use of late, and whether it goes ahead of its rate.
#[derive(Debug, Clone)]
pub struct Ahead {
    window: f64,
    recent: VecDeque<Grain>,
    sum: f64,
    /// From when on all use is known.
    known_from: Option<f64>,
    granted: bool,
}

impl Ahead {
    /// A team of which nothing is known; `window` in seconds.
    pub fn new(window: f64) -> Self {
        Self { window, recent: VecDeque::new(), sum: 0.0, known_from: None, granted: false }
    }

    /// Takes what a box used, at `now` in seconds on the leader's clock.
    pub fn note(&mut self, now: f64, used: f64) {
        self.known_from.get_or_insert(now);
        while self.recent.front().is_some_and(|grain| grain.at + self.window < now) {
            let gone = self.recent.pop_front().map_or(0.0, |grain| grain.used);
            self.sum -= gone;
        }
        self.sum += used;
        match self.recent.back_mut() {
            Some(grain) if now < grain.at + GRAIN => grain.used += used,
            _ => self.recent.push_back(Grain { at: now, used }),
        }
    }

    /// Takes use of before this leader's time.
    pub fn recall(&mut self, at: f64, used: f64) {
        self.sum += used;
        let place = self.recent.partition_point(|grain| grain.at <= at);
        self.recent.insert(place, Grain { at, used });
    }

    /// All boxes have told their use of before this leader's time, but for what processes that ended
    /// since `lost_at` may have taken with them. `noted`: the team went ahead then, and may have used
    /// all of its window.
    pub fn end_recall(&mut self, limit: Limit, lost_at: f64, noted: bool) {
        if noted {
            let missing = self.left(limit).max(0.0);
            self.recall(lost_at, missing);
            self.known_from = Some(f64::NEG_INFINITY);
        } else {
            self.known_from = self.known_from.map(|from| from.min(lost_at));
        }
    }

    /// Whether the team goes ahead.
    pub fn is_granted(&self) -> bool {
        self.granted
    }

    /// Whether the team is to go ahead: its level is running out, and the window leaves it more.
    pub fn is_due(&self, now: f64, level: f64, limit: Limit) -> bool {
        self.is_known(now) && level < LOW_PART * limit.burst && self.left(limit) > 0.0
    }

    /// Whether the rate has made up for what went ahead.
    pub fn is_repaid(&self, level: f64, limit: Limit) -> bool {
        level >= REPAID_PART * limit.burst
    }

    /// Whether all use in the window before `now` is known.
    fn is_known(&self, now: f64) -> bool {
        self.known_from.is_some_and(|from| now >= from + self.window)
    }

    /// Lets the team go ahead, which the group has noted, once its use is known.
    pub fn grant_known(&mut self, now: f64) {
        self.granted |= self.is_known(now);
    }

    /// The team no longer goes ahead.
    pub fn end(&mut self) {
        self.granted = false;
    }

    /// What a box with this share of the team's demand may use until its next word.
    pub fn allow(&self, now: f64, limit: Limit, share: f64) -> Allowed {
        let left = self.left(limit);
        match left > 0.0 {
            true => Allowed { amount: left * share, wait: 0.0, hold: self.window },
            false => Allowed { amount: 0.0, wait: self.wait(now, -left), hold: self.window },
        }
    }

    fn left(&self, limit: Limit) -> f64 {
        (limit.rate * self.window + limit.burst) * (1.0 - RESERVE_PART) - self.sum
    }

    /// Seconds until `missing` of what was used lies outside the window.
    fn wait(&self, now: f64, missing: f64) -> f64 {
        let mut freed = 0.0;
        for grain in &self.recent {
            freed += grain.used;
            if freed > missing {
                return (grain.at + self.window - now).max(0.1);
            }
        }
        self.window
    }
}
