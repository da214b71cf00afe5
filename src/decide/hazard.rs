//! Predicts which data centres may soon lose their spot engines, from the number that already have none.
//!
//! Spot engines are reclaimed because of demand from others, which often hits several data centres in a row.
//! The hazard rate is therefore learned per number of data centres already lost: losses divided by the time
//! in which the remaining ones could have been lost. The rates for one or more lost data centres share a
//! pooled prior, as outages are rare and each gives few observations per number. Follow-up losses come soon
//! after the first or hardly at all, so rates are also kept per phase of the time since the last loss.
//!
//! The result is a [`LossForecast`]: how many data centres may be lost by the time an engine ordered now
//! would serve. From it, [`super::capacity`] computes how many on-demand engines to hold in reserve, and for
//! how long.
//!
//! This module does no I/O; times are seconds of any monotonic clock.

use serde::{Deserialize, Serialize};

use super::absence::{OutageLearner, OutageTotals, SpotStatus};
use super::capacity::OutageStats;
use crate::ids::DataCentre;

/// The prior mean time between first losses, in data-centre seconds: no market is assumed to be safe. With
/// 120 s, a service in three data centres paid for an idle reserve (score 0.607 instead of 0.636 on a day
/// with two losses, one run each).
const PRIOR_TIME_TO_FIRST_LOSS: f64 = 600.0;

/// The same while other data centres are lost: within one outage, each remaining data centre is lost with a
/// probability of one in four. With this prior, the first series of losses in a market meets too small a
/// reserve; a prior of one in two would pay for a reserve in markets without series.
const PRIOR_TIME_TO_FURTHER_LOSS: f64 = 48.0;

/// The weight of this prior, in data-centre seconds. A single series of losses outweighs it.
const PRIOR_WEIGHT: f64 = 12.0;

/// Seconds since the last loss at which the first phase ends; each phase is twice as long as the one before.
/// Engines boot in 1 to about 20 seconds, so the phases resolve times up to that length.
const FIRST_PHASE: f64 = 2.0;
const PHASES: usize = 4;

/// Seconds by which a new engine serves later than it could: orders are evaluated, the list is read and
/// relays learn of the engine, each at most twice a second.
const ORDER_LAG: f64 = 1.5;

/// The prior of the notice, in seconds. It is short, so that the first loss finds engines ordered early.
const PRIOR_NOTICE: f64 = 1.0;

/// The weight of a new notice in the moving average. A few notices suffice to learn it.
const NOTICE_WEIGHT: f64 = 0.3;

/// The number of loss counts in a forecast: from 0 to 7 further losses.
pub const FORECAST_LOSSES: usize = 8;

/// The number of steps in which the time until an engine serves is integrated.
const FORECAST_STEPS: u32 = 24;

/// The number of losses, and the data-centre seconds during which losses could have occurred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct LossTotals {
    losses: f64,
    time: f64,
}

impl LossTotals {
    fn with_prior(self, rate: f64, time: f64) -> f64 {
        (self.losses + rate * time) / (self.time + time)
    }
}

/// A forecast of how many more data centres lose their spot engines before an engine ordered now serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LossForecast {
    /// Data centres without spot engines now.
    pub lost: u32,
    /// Data centres with spot engines now.
    pub remaining: u32,
    /// The probability of each number of further losses.
    pub probabilities: [f64; FORECAST_LOSSES],
    /// The expected seconds until the next loss if no data centre is lost now, else 0.
    pub time_to_loss: f64,
}

impl LossForecast {
    /// A forecast in which nothing is lost.
    pub const fn no_loss(remaining: u32) -> Self {
        let mut probabilities = [0.0; FORECAST_LOSSES];
        probabilities[0] = 1.0;
        Self { lost: 0, remaining, probabilities, time_to_loss: 0.0 }
    }

    /// The numbers that may remain of `spots` spot engines, each with its probability.
    pub fn remaining_engines(&self, spots: u32) -> impl Iterator<Item = (u32, f64)> + '_ {
        let cases =
            self.probabilities.iter().enumerate().filter(|(_, probability)| **probability > 0.0);
        cases.map(move |(lost, probability)| {
            let remaining = self.remaining.saturating_sub(lost as u32);
            (spots * remaining / self.remaining.max(1), *probability)
        })
    }
}

/// What was learned about the spot outages of one service, to be handed to the next leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutageHistory {
    #[serde(rename = "absences")]
    outages: OutageTotals,
    #[serde(rename = "calm")]
    first_losses: LossTotals,
    /// Indexed by the number of lost data centres minus one, then by phase.
    #[serde(rename = "follow")]
    further_losses: Vec<[LossTotals; PHASES]>,
    /// The mean seconds of notice left when a leader sees it.
    notice: f64,
}

impl Default for OutageHistory {
    fn default() -> Self {
        let (outages, first_losses) = Default::default();
        Self { outages, first_losses, further_losses: Vec::new(), notice: PRIOR_NOTICE }
    }
}

impl OutageHistory {
    /// Whether the two differ enough to be saved: by a loss or a return, or by twice the time without a
    /// loss.
    pub fn differs(&self, other: &Self) -> bool {
        self.outages.ended != other.outages.ended
            || self.losses() != other.losses()
            || self.first_losses.time > 2.0 * other.first_losses.time + PRIOR_TIME_TO_FIRST_LOSS
    }

    fn losses(&self) -> f64 {
        let further = self.further_losses.iter().flatten().map(|totals| totals.losses);
        self.first_losses.losses + further.sum::<f64>()
    }
}

/// Observes and predicts the spot outages of one service.
#[derive(Debug, Clone, Default)]
pub struct OutagePredictor {
    outages: OutageLearner,
    learned: OutageHistory,
    data_centres: u32,
    /// When a data centre was last lost.
    last_loss: f64,
    /// Whether data centres have recovered since the last loss. Once a series of losses recedes, it is
    /// expected to take no further data centres.
    recovering: bool,
    now: Option<f64>,
}

impl OutagePredictor {
    /// What was learned so far.
    pub fn learned(&self) -> OutageHistory {
        OutageHistory { outages: self.outages.learned, ..self.learned.clone() }
    }

    /// Replaces what was learned so far with the history of a former leader.
    pub fn restore(&mut self, learned: OutageHistory) {
        self.outages.learned = learned.outages;
        self.learned = learned;
    }

    /// Updates the statistics with the listing of every data centre at `now`.
    pub fn observe(&mut self, now: f64, listed: &[(DataCentre, SpotStatus)]) {
        let before = self.now.replace(now);
        let passed = now - before.unwrap_or(now);
        self.data_centres = listed.len() as u32;
        let already_lost = self.lost_count();
        let age = now - self.last_loss;
        if !self.recovering {
            self.totals_mut(already_lost, age).time +=
                passed * f64::from(self.data_centres.saturating_sub(already_lost));
        }
        let lost = self.outages.observe(now, listed);
        self.update_recovery(already_lost + lost);
        if lost == 0 {
            return;
        }
        // Data centres already lost at the first observation were lost earlier, and a former leader may
        // have counted them.
        let new_losses = if before.is_some() { lost } else { 0 };
        for more in 0..new_losses {
            let age = if more == 0 { age } else { 0.0 };
            self.totals_mut(already_lost + more, age).losses += 1.0;
        }
        (self.recovering, self.last_loss) = (false, now);
        // Ignore data centres where some engines serve: the leaving ones may have been given up on purpose.
        let out_of_service = listed.iter().filter(|(_, listed)| listed.serving == 0);
        let notice = out_of_service.filter_map(|(_, listed)| listed.notice).max_by(f64::total_cmp);
        if let Some(notice) = notice {
            self.learned.notice += NOTICE_WEIGHT * (notice - self.learned.notice);
        }
    }

    /// Records that an order for spot engines was refused.
    pub fn record_refusal(&mut self, now: f64, data_centre: &DataCentre) {
        self.outages.record_refusal(now, data_centre);
    }

    /// Records that an order for spot engines was accepted.
    pub fn record_acceptance(&mut self, now: f64, data_centre: &DataCentre) {
        let already_lost = self.lost_count();
        self.outages.record_acceptance(now, data_centre);
        self.update_recovery(already_lost);
    }

    /// Records that no spot engines are wanted in a data centre.
    pub fn record_unwanted(&mut self, data_centre: &DataCentre) {
        let already_lost = self.lost_count();
        self.outages.record_unwanted(data_centre);
        self.update_recovery(already_lost);
    }

    /// Updates `ends` if fewer data centres are lost than `before`.
    fn update_recovery(&mut self, before: u32) {
        let already_lost = self.lost_count();
        self.recovering = already_lost > 0 && (self.recovering || already_lost < before);
    }

    /// The number of data centres without spot engines.
    pub fn lost_count(&self) -> u32 {
        self.outages.lost_count()
    }

    /// How often and for how long data centres have no spot engines.
    pub fn outage_stats(&self) -> OutageStats {
        self.outages.stats()
    }

    /// The loss rate per second of one remaining data centre when `already_lost` are lost, the last of them
    /// `age` seconds ago.
    pub fn loss_rate(&self, already_lost: u32, age: f64) -> f64 {
        let already_lost = if self.recovering {
            already_lost - self.lost_count().min(already_lost)
        } else {
            already_lost
        };
        let Some(place) = (already_lost as usize).checked_sub(1) else {
            return self
                .learned
                .first_losses
                .with_prior(1.0 / PRIOR_TIME_TO_FIRST_LOSS, PRIOR_TIME_TO_FIRST_LOSS);
        };
        let phase = phase(age);
        let all = self.learned.further_losses.iter().fold(LossTotals::default(), |sum, phases| {
            LossTotals {
                losses: sum.losses + phases[phase].losses,
                time: sum.time + phases[phase].time,
            }
        });
        let all = all.with_prior(1.0 / PRIOR_TIME_TO_FURTHER_LOSS, PRIOR_WEIGHT / PHASES as f64);
        let own = self.learned.further_losses.get(place).map(|phases| phases[phase]);
        own.unwrap_or_default().with_prior(all, PRIOR_WEIGHT)
    }

    /// Predicts the losses before an engine that boots for `boot` seconds serves. Engines under notice by
    /// then may still serve, so the mean notice is subtracted.
    pub fn forecast(&self, boot_time: f64) -> LossForecast {
        let already_lost = self.lost_count();
        let left = self.data_centres.saturating_sub(already_lost);
        let time_to_loss = if already_lost == 0 {
            1.0 / (self.loss_rate(0, 0.0) * f64::from(left.max(1)))
        } else {
            0.0
        };
        let mut forecast =
            LossForecast { lost: already_lost, time_to_loss, ..LossForecast::no_loss(left) };
        let step =
            (boot_time + ORDER_LAG - self.learned.notice).max(0.0) / f64::from(FORECAST_STEPS);
        let last = (left as usize).min(FORECAST_LOSSES - 1);
        let age = self.now.unwrap_or_default() - self.last_loss;
        for index in 0..FORECAST_STEPS {
            let passed = step * f64::from(index);
            for lost in (0..last).rev() {
                let (already_lost, left) = (already_lost + lost as u32, left - lost as u32);
                // For a predicted loss, assume that it happened half of the time ago.
                let age = if lost == 0 { age + passed } else { passed / 2.0 };
                let part =
                    1.0 - (-self.loss_rate(already_lost, age) * f64::from(left) * step).exp();
                let flow = forecast.probabilities[lost] * part;
                forecast.probabilities[lost] -= flow;
                forecast.probabilities[lost + 1] += flow;
            }
        }
        forecast
    }

    fn totals_mut(&mut self, already_lost: u32, age: f64) -> &mut LossTotals {
        let already_lost = already_lost as usize;
        if self.learned.further_losses.len() < already_lost {
            self.learned.further_losses.resize(already_lost, [LossTotals::default(); PHASES]);
        }
        match already_lost {
            0 => &mut self.learned.first_losses,
            _ => &mut self.learned.further_losses[already_lost - 1][phase(age)],
        }
    }
}

fn phase(age: f64) -> usize {
    let end = |phase: &usize| FIRST_PHASE * (1 << phase) as f64;
    (0..PHASES - 1).filter(|phase| end(phase) <= age).count()
}
