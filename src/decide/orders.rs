//! What the orders for engines of one service stand for until the list shows it, and when the next one is
//! due.
//!
//! The list lags, an engine boots for seconds, and an order without an answer may be carried out late. So
//! an order counts for what it asked for a while after it was given.
//!
//! Pure: times are seconds on any one clock.

use std::collections::BTreeMap;

use super::spend::EngineCount;
use crate::ids::DataCentre;

/// How long a refusal is taken to hold, in seconds: reclaimable engines come back after several, and each
/// question is a call to the platform.
const REFUSED_TIME: f64 = 2.5;

/// How much later than it serves an engine may be listed, in seconds.
const LAG_TIME: f64 = 2.0;

/// Seconds beyond booting after which an order that shows no effect is given again: the list lags, and
/// an order without an answer may be carried out late and undo a newer one.
const AGAIN_TIME: f64 = 2.5;

/// Seconds between two orders for fewer engines of one kind in one place: counts that swing would have
/// engines booted for nothing.
const SHRINK_TIME: f64 = 4.0;

/// Engines of one kind in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether reclaimable ones are meant.
    pub spot: bool,
}

/// An order that the platform took, or may have taken.
#[derive(Debug, Clone, Copy)]
struct Placed {
    count: u32,
    at: f64,
    /// Of the engines it asked for, those that served at the last look.
    seen: u32,
    /// Those that served and were lost since.
    lost: u32,
}

impl Placed {
    /// Takes that so many serve: what goes below what the order asked for is lost, not given up.
    fn look(&mut self, serving: u32) {
        let seen = serving.min(self.count);
        self.lost += self.seen.saturating_sub(seen);
        self.seen = seen;
    }

    /// Whether nothing is left that it stands for: a data centre's reclaimable engines go together, and
    /// those that boot with those that serve.
    fn is_void(&self, spot: bool) -> bool {
        spot && self.seen == 0 && self.lost > 0
    }
}

/// The orders of one service.
#[derive(Debug, Clone, Default)]
pub struct OrderTracker {
    placed: BTreeMap<Place, Placed>,
    refused: BTreeMap<Place, f64>,
}

impl OrderTracker {
    /// Notes that an order for `count` engines was taken at `now`, or may have been.
    pub fn record_order(&mut self, now: f64, place: Place, count: u32) {
        self.placed.insert(place, Placed { count, at: now, seen: 0, lost: 0 });
    }

    /// Notes that an order was refused. While engines serve there, it says that there are no further ones,
    /// and what was ordered before stands; where none do, that there are none.
    pub fn record_refusal(&mut self, now: f64, place: Place) {
        if self.placed.get(&place).is_some_and(|placed| placed.seen == 0) {
            self.placed.remove(&place);
        }
        self.refused.insert(place, now);
    }

    /// What serves, and what is coming: an order stands for itself, less what was lost since, until the list
    /// must show it, `boot` seconds and a lag later.
    pub fn count(&mut self, now: f64, place: &Place, serving: u32, boot: f64) -> EngineCount {
        let Some(placed) = self.placed.get_mut(place) else {
            return EngineCount { serving, expected: serving };
        };
        placed.look(serving);
        if placed.is_void(place.spot) {
            self.placed.remove(place);
            return EngineCount { serving, expected: serving };
        }
        let stands = now - placed.at < boot + LAG_TIME;
        let coming = if stands { placed.count.saturating_sub(placed.lost) } else { serving };
        EngineCount { serving, expected: coming }
    }

    /// Whether an order is due: the count is not what was ordered last, or shows no effect for long.
    pub fn is_due(
        &self,
        now: f64,
        place: &Place,
        count: u32,
        there: EngineCount,
        boot: f64,
    ) -> bool {
        if self.refused_for(now, place).is_some_and(|passed| passed < REFUSED_TIME) {
            return false;
        }
        match self.placed.get(place) {
            None => count != there.serving,
            Some(placed) if placed.count == count => {
                count != there.serving && now - placed.at > boot + AGAIN_TIME
            }
            Some(placed) if count < placed.count => now - placed.at > SHRINK_TIME,
            Some(_) => true,
        }
    }

    /// Seconds since an order was refused there.
    pub fn refused_for(&self, now: f64, place: &Place) -> Option<f64> {
        self.refused.get(place).map(|at| now - at)
    }
}
