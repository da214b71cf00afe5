//! Tracks which data centres have no spot engines for a service, and how long such outages last.
//!
//! An outage begins when all spot engines of a data centre are under notice, or when an order is refused
//! while none serve. It ends when an order is accepted or some serve. Each outage counts as one observation,
//! however often it is looked at. An outage in progress is a censored observation: it only affects the mean
//! once it exceeds it.
//!
//! This module does no I/O; times are seconds of any monotonic clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::capacity::OutageStats;
use crate::ids::DataCentre;

/// The prior: observed data-centre seconds, and outage seconds within them. A cautious 10%.
const PRIOR_TIME: f64 = 120.0;
const PRIOR_OUTAGE_TIME: f64 = 12.0;

/// The prior of the outage duration, in seconds, and its weight in observations. A few real outages outweigh
/// it.
const PRIOR_DURATION: f64 = 12.0;
const PRIOR_COUNT: f64 = 0.25;

/// The listed state of the spot engines in a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpotStatus {
    /// Engines that serve and are not leaving.
    pub serving: u32,
    /// Engines that are leaving.
    pub leaving: u32,
    /// Seconds until the last of them is gone, if known.
    pub notice: Option<f64>,
}

/// Whether a data centre has spot engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Unknown,
    /// No engines are wanted there; the leaving ones were given up on purpose.
    Unwanted,
    /// Some engines serve.
    Present,
    /// An order was accepted, but no engine serves yet.
    Ordered,
    /// There have been none since `since`; an order was last refused at `refused`.
    Lost { since: f64, last_refusal: Option<f64> },
}

/// Outages observed so far, including the prior.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OutageTotals {
    /// Observed data-centre seconds.
    time: f64,
    /// Data-centre seconds without spot engines.
    #[serde(rename = "away")]
    outage_time: f64,
    /// The total duration of ended outages, in seconds.
    #[serde(rename = "lengths")]
    total_duration: f64,
    /// The number of ended outages.
    #[serde(rename = "count")]
    pub(super) ended: f64,
}

impl Default for OutageTotals {
    fn default() -> Self {
        Self {
            time: PRIOR_TIME,
            outage_time: PRIOR_OUTAGE_TIME,
            total_duration: PRIOR_DURATION * PRIOR_COUNT,
            ended: PRIOR_COUNT,
        }
    }
}

/// Learns when data centres run out of spot engines, and for how long.
#[derive(Debug, Clone, Default)]
pub struct OutageLearner {
    pub(super) learned: OutageTotals,
    now: Option<f64>,
    states: BTreeMap<DataCentre, State>,
}

impl OutageLearner {
    /// Updates the states with the listing at `now` and returns the number of newly lost data centres.
    pub fn observe(&mut self, now: f64, listed: &[(DataCentre, SpotStatus)]) -> u32 {
        let passed = now - self.now.replace(now).unwrap_or(now);
        let mut lost = 0;
        self.states.retain(|held, _| listed.iter().any(|(data_centre, _)| data_centre == held));
        for (data_centre, listed) in listed {
            let state = self.states.get(data_centre).copied().unwrap_or_default();
            self.learned.time += passed;
            if matches!(state, State::Lost { .. }) {
                self.learned.outage_time += passed;
            }
            match state {
                // The list lags and still shows engines that were given up.
                State::Unwanted => {}
                State::Unknown | State::Present if listed.serving == 0 && listed.leaving > 0 => {
                    lost += 1;
                    self.set(data_centre, State::Lost { since: now, last_refusal: None });
                }
                _ if listed.serving > 0 => self.end_outage(now, data_centre, State::Present),
                // Lost without notice: the engines crashed.
                State::Present => self.set(data_centre, State::Unknown),
                _ => {}
            }
        }
        lost
    }

    /// Records that an order for spot engines was refused. If some served at the last observation, it only
    /// means that no further ones are available.
    pub fn record_refusal(&mut self, now: f64, data_centre: &DataCentre) {
        let since = match self.states.get(data_centre).copied().unwrap_or_default() {
            State::Present => return,
            State::Lost { since, .. } => since,
            State::Unknown | State::Unwanted | State::Ordered => now,
        };
        self.set(data_centre, State::Lost { since, last_refusal: Some(now) });
    }

    /// Records that no spot engines are wanted in a data centre. Their absence means nothing from now on,
    /// and the end of an outage in progress is not observed.
    pub fn record_unwanted(&mut self, data_centre: &DataCentre) {
        self.set(data_centre, State::Unwanted);
    }

    /// Records that an order for spot engines was accepted.
    pub fn record_acceptance(&mut self, now: f64, data_centre: &DataCentre) {
        let state = self.states.get(data_centre).copied().unwrap_or_default();
        match state {
            State::Lost { .. } => self.end_outage(now, data_centre, State::Ordered),
            State::Unwanted => self.set(data_centre, State::Ordered),
            State::Unknown | State::Present | State::Ordered => {}
        }
    }

    /// The number of data centres in an outage.
    pub fn lost_count(&self) -> u32 {
        let lost = self.states.values().filter(|state| matches!(state, State::Lost { .. }));
        lost.count() as u32
    }

    /// The learned statistics.
    pub fn stats(&self) -> OutageStats {
        let fraction = (self.learned.outage_time / self.learned.time).clamp(0.001, 0.9);
        OutageStats { fraction, duration: self.mean_duration() }
    }

    /// The mean over the ended outages and those in progress that already exceed the mean.
    fn mean_duration(&self) -> f64 {
        let OutageTotals { total_duration, ended, .. } = self.learned;
        let mean = total_duration / ended;
        let now = self.now.unwrap_or_default();
        let ages = self.states.values().filter_map(|state| match state {
            State::Lost { since, .. } => Some(now - since),
            _ => None,
        });
        let longer = ages.filter(|age| *age > mean);
        let (sum, count) =
            longer.fold((total_duration, ended), |(sum, count), age| (sum + age, count + 1.0));
        sum / count
    }

    /// Ends the outage in progress, if any. It ended between the last refused order and now, so the middle
    /// is taken.
    fn end_outage(&mut self, now: f64, data_centre: &DataCentre, state: State) {
        if let Some(State::Lost { since, last_refusal }) = self.states.get(data_centre) {
            let end = last_refusal.map_or(now, |last_refusal| (last_refusal + now) / 2.0);
            self.learned.total_duration += end - since;
            self.learned.ended += 1.0;
        }
        self.set(data_centre, state);
    }

    fn set(&mut self, data_centre: &DataCentre, state: State) {
        self.states.insert(data_centre.clone(), state);
    }
}
