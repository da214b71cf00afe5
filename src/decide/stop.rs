//! Which requests a box still accepts while it stops: those that are expected to end before it does.
//!
//! A request that is cut off at the end costs more than one that is refused, which its caller repeats at another box at
//! once. Most is lost with one that must not be repeated: nobody learns whether it ran.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Answers per route whose times are kept.
const MAX_TIMES: usize = 32;

/// How many routes have their times kept.
const MAX_ROUTES: usize = 8_192;

/// Answers of a route that are required before its times say anything.
const MIN_TIMES: usize = 4;

/// Fraction of a route's answers that end in time, from which on one that may be repeated is accepted.
const REPEATABLE_FRACTION: f64 = 0.9;

/// How much longer than the longest known answer an unrepeatable request may take.
const UNREPEATABLE_FACTOR: f64 = 1.25;

/// How long the last answers of each route took, from the arrival of a request to the end of its answer.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, VecDeque<u32>>,
}

impl AnswerTimes {
    /// Records an answer, or a wait for one that did not come.
    pub fn record(&mut self, route: &str, time: Duration) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
            self.routes.insert(route.to_owned(), VecDeque::new());
        }
        let Some(times) = self.routes.get_mut(route) else {
            return;
        };
        if times.len() >= MAX_TIMES {
            times.pop_front();
        }
        times.push_back(u32::try_from(time.as_millis()).unwrap_or(u32::MAX));
    }

    /// Drops the times of routes that are no longer published.
    pub fn retain(&mut self, is_published: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_published(route));
    }

    /// The time of a route's answers; `None` if too few are known.
    pub fn expected(&self, route: &str) -> Option<ExpectedTime> {
        let times = self.routes.get(route).filter(|times| times.len() >= MIN_TIMES)?;
        let mut sorted: Vec<_> = times.iter().copied().collect();
        sorted.sort_unstable();
        let place = (sorted.len() as f64 * REPEATABLE_FRACTION) as usize;
        let at =
            |place: usize| Duration::from_millis(u64::from(sorted[place.min(sorted.len() - 1)]));
        Some(ExpectedTime { usual: at(place), longest: at(sorted.len()) })
    }
}

/// How long the answers of a route take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Most of them.
    pub usual: Duration,
    /// All that are known.
    pub longest: Duration,
}

/// A request that arrives while the box stops.
#[derive(Debug, Clone, Copy)]
pub struct LateRequest {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Time until its deadline.
    pub time_left: Duration,
    /// What is known of its route's answers.
    pub expected: Option<ExpectedTime>,
    /// The route's latency objective, for which a repeatable request stands if nothing else is known.
    pub objective: Duration,
}

impl LateRequest {
    /// Whether it is expected to end within `left`, the time until the box has stopped.
    pub fn ends_within(&self, left: Duration) -> bool {
        if self.time_left <= left {
            return true;
        }
        match (self.is_repeatable, self.expected) {
            (true, Some(expected)) => expected.usual <= left,
            (true, None) => self.objective <= left,
            (false, Some(expected)) => expected.longest.mul_f64(UNREPEATABLE_FACTOR) <= left,
            (false, None) => false,
        }
    }
}
