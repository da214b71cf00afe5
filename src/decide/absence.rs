//! Which data centres have no reclaimable engines for a service, and for how long that lasts.
//!
//! A data centre is gone when its reclaimable engines have notice and none serves, or when an order for some
//! was refused and none serves. It is back when an order is taken or some serve. An absence is one
//! observation, however often it is looked at; one under way says no more than that it has lasted so long
//! (it is censored), which teaches something only beyond the mean.
//!
//! Pure: times are seconds on any one clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::capacity::OutageStats;
use crate::ids::DataCentre;

/// Seconds of a data centre, and of absence in them, taken to have been seen before anything was: cautious,
/// a tenth of the time.
const PRIOR_TIME: f64 = 120.0;
const PRIOR_AWAY: f64 = 12.0;

/// Seconds that an absence lasts before any was seen, and how many of them that weighs: a few of the first
/// ones outweigh it.
const PRIOR_LENGTH: f64 = 12.0;
const PRIOR_COUNT: f64 = 0.25;

/// What a list shows of the reclaimable engines in a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Seen {
    /// That serve and do not leave.
    pub serving: u32,
    /// That leave.
    pub leaving: u32,
    /// Seconds until the last of them goes, where that is known.
    pub notice: Option<f64>,
}

/// Whether a data centre has reclaimable engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Unknown,
    /// None are wanted there: what leaves was given up.
    Unwanted,
    /// Some serve.
    Present,
    /// An order for some was taken; none serves yet.
    Coming,
    /// There are none since then; an order was last refused at `refused`.
    Gone { since: f64, refused: Option<f64> },
}

/// Absences so far, the prior among them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Absences {
    /// Seconds of single data centres.
    time: f64,
    /// Those without reclaimable engines.
    away: f64,
    /// Seconds of those that ended.
    lengths: f64,
    /// How many ended.
    pub(super) count: f64,
}

impl Default for Absences {
    fn default() -> Self {
        Self {
            time: PRIOR_TIME,
            away: PRIOR_AWAY,
            lengths: PRIOR_LENGTH * PRIOR_COUNT,
            count: PRIOR_COUNT,
        }
    }
}

/// Learns when data centres run out of reclaimable engines, and for how long.
#[derive(Debug, Clone, Default)]
pub struct AbsenceLearner {
    pub(super) learned: Absences,
    now: Option<f64>,
    states: BTreeMap<DataCentre, State>,
}

impl AbsenceLearner {
    /// Takes what the list shows at `now`, and returns how many data centres are gone that were not before.
    pub fn look(&mut self, now: f64, seen: &[(DataCentre, Seen)]) -> u32 {
        let passed = now - self.now.replace(now).unwrap_or(now);
        let mut lost = 0;
        self.states.retain(|held, _| seen.iter().any(|(data_centre, _)| data_centre == held));
        for (data_centre, seen) in seen {
            let state = self.states.get(data_centre).copied().unwrap_or_default();
            self.learned.time += passed;
            if matches!(state, State::Gone { .. }) {
                self.learned.away += passed;
            }
            match state {
                // The list lags: it shows for a while what was given up.
                State::Unwanted => {}
                State::Unknown | State::Present if seen.serving == 0 && seen.leaving > 0 => {
                    lost += 1;
                    self.set(data_centre, State::Gone { since: now, refused: None });
                }
                _ if seen.serving > 0 => self.bring_back(now, data_centre, State::Present),
                // Lost without notice: engines crash.
                State::Present => self.set(data_centre, State::Unknown),
                _ => {}
            }
        }
        lost
    }

    /// Takes that an order for reclaimable engines was refused. Where some serve, or are known to have been
    /// there, it says no more than that there are no further ones.
    pub fn note_refused(&mut self, now: f64, data_centre: &DataCentre) {
        let since = match self.states.get(data_centre).copied().unwrap_or_default() {
            State::Present => return,
            State::Gone { since, .. } => since,
            State::Unknown | State::Unwanted | State::Coming => now,
        };
        self.set(data_centre, State::Gone { since, refused: Some(now) });
    }

    /// Takes that no reclaimable engines are wanted in a data centre: none being there says nothing from now
    /// on, and an absence under way is not seen to its end.
    pub fn record_unwanted(&mut self, data_centre: &DataCentre) {
        self.set(data_centre, State::Unwanted);
    }

    /// Takes that an order for reclaimable engines was taken.
    pub fn note_taken(&mut self, now: f64, data_centre: &DataCentre) {
        let state = self.states.get(data_centre).copied().unwrap_or_default();
        match state {
            State::Gone { .. } => self.bring_back(now, data_centre, State::Coming),
            State::Unwanted => self.set(data_centre, State::Coming),
            State::Unknown | State::Present | State::Coming => {}
        }
    }

    /// How many data centres are gone.
    pub fn gone(&self) -> u32 {
        let gone = self.states.values().filter(|state| matches!(state, State::Gone { .. }));
        gone.count() as u32
    }

    /// What is known.
    pub fn absence(&self) -> OutageStats {
        let share = (self.learned.away / self.learned.time).clamp(0.001, 0.9);
        OutageStats { fraction: share, duration: self.length() }
    }

    /// The mean over those that ended and those that have lasted longer by now.
    fn length(&self) -> f64 {
        let Absences { lengths, count, .. } = self.learned;
        let mean = lengths / count;
        let now = self.now.unwrap_or_default();
        let ages = self.states.values().filter_map(|state| match state {
            State::Gone { since, .. } => Some(now - since),
            _ => None,
        });
        let longer = ages.filter(|age| *age > mean);
        let (sum, count) =
            longer.fold((lengths, count), |(sum, count), age| (sum + age, count + 1.0));
        sum / count
    }

    /// Ends an absence, if one is under way: at some time since an order was last refused.
    fn bring_back(&mut self, now: f64, data_centre: &DataCentre, state: State) {
        if let Some(State::Gone { since, refused }) = self.states.get(data_centre) {
            let end = refused.map_or(now, |refused| (refused + now) / 2.0);
            self.learned.lengths += end - since;
            self.learned.count += 1.0;
        }
        self.set(data_centre, state);
    }

    fn set(&mut self, data_centre: &DataCentre, state: State) {
        self.states.insert(data_centre.clone(), state);
    }
}
