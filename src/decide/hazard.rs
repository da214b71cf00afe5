//! How likely data centres run out of reclaimable engines soon, given how many have none already.
//!
//! Reclaimable engines go because somebody else wants them, and who wants those of one data centre often
//! wants those of the next: what is gone tells of what goes. So a hazard is learned by how many are gone:
//! losses over the seconds in which the data centres that were left could be lost. Those with some gone
//! lean on each other, since dry spells are few and each shows little of each number. Losses that follow
//! do so soon: one that has not come for long hardly comes, so what was learned early in a spell is kept
//! apart from what was learned later.
//!
//! From it comes what may serve by the time at which an engine ordered now would ([`Outlook`]), and from that
//! in [`super::capacity`] how many engines on demand to hold: at the first sign, in reserve, and until when.
//!
//! Pure: times are seconds on any one clock.

use serde::{Deserialize, Serialize};

use super::absence::{AbsenceLearner, Absences, Seen};
use super::capacity::OutageStats;
use crate::ids::DataCentre;

/// Seconds of one data centre, with none gone, in which one is taken to have been lost before anything was
/// seen: no market is taken to be safe. At 120 s callers of a service with three data centres paid for a reserve
/// that served nobody (worth 0.607 for 0.636 on a day with two losses, one play each).
const PRIOR_CALM: f64 = 600.0;

/// The same while others are gone: within one absence each of the others is lost with a chance of one in four.
/// The first spell of a market is met late by that; as likely as not would have it paid for where none follows.
const PRIOR_FOLLOW: f64 = 48.0;

/// Seconds of such time that the prior weighs: one spell outweighs it.
const PRIOR_WEIGHT: f64 = 12.0;

/// Seconds since the last loss at which the first phase of a spell ends; each is twice as long as the one
/// before. Engines boot in one to some twenty seconds, so phases up to that length are told apart.
const PHASE: f64 = 2.0;
const PHASES: usize = 4;

/// Seconds by which an engine takes part later than it could: orders are looked at, the list is read, and it
/// reaches the boxes, each at most twice a second.
const LIST_TIME: f64 = 1.5;

/// Seconds left when a notice is heard, before any was: little, so that the first one finds engines ordered
/// early.
const PRIOR_NOTICE: f64 = 1.0;

/// Weight of a new notice in the mean: a few of them tell.
const NOTICE_WEIGHT: f64 = 0.3;

/// Losses to come that are told apart. Beyond them hardly anything is left to lose.
pub const LOSSES: usize = 8;

/// Steps in which the time until an engine serves is gone through.
const STEPS: u32 = 24;

/// Losses, and the seconds of single data centres in which there could have been some.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Tally {
    losses: f64,
    time: f64,
}

impl Tally {
    fn with_prior(self, rate: f64, time: f64) -> f64 {
        (self.losses + rate * time) / (self.time + time)
    }
}

/// How many data centres more will have lost their reclaimable engines by the time an engine ordered now
/// serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Data centres that have none now.
    pub gone: u32,
    /// Data centres that have some.
    pub left: u32,
    /// By how many more are lost: how likely that is.
    pub chances: [f64; LOSSES],
    /// Seconds until the next loss on the mean, while none are gone.
    pub calm: f64,
}

impl Outlook {
    /// That nothing is lost.
    pub const fn calm(left: u32) -> Self {
        let mut chances = [0.0; LOSSES];
        chances[0] = 1.0;
        Self { gone: 0, left, chances, calm: 0.0 }
    }

    /// What may be left of `spots` reclaimable engines, and how likely each is.
    pub fn left_of(&self, spots: u32) -> impl Iterator<Item = (u32, f64)> + '_ {
        let cases = self.chances.iter().enumerate().filter(|(_, chance)| **chance > 0.0);
        cases.map(move |(lost, chance)| {
            let left = self.left.saturating_sub(lost as u32);
            (spots * left / self.left.max(1), *chance)
        })
    }
}

/// What is learned of the dry spells of one service, for the next leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    absences: Absences,
    calm: Tally,
    /// By how many are gone, less one, and by phase.
    follow: Vec<[Tally; PHASES]>,
    /// Mean seconds left when a notice is heard.
    notice: f64,
}

impl Default for Learned {
    fn default() -> Self {
        let (absences, calm) = Default::default();
        Self { absences, calm, follow: Vec::new(), notice: PRIOR_NOTICE }
    }
}

impl Learned {
    /// Whether another says something else: further losses or returns, or twice the time without any.
    pub fn differs(&self, other: &Self) -> bool {
        self.absences.count != other.absences.count
            || self.losses() != other.losses()
            || self.calm.time > 2.0 * other.calm.time + PRIOR_CALM
    }

    fn losses(&self) -> f64 {
        let follow = self.follow.iter().flatten().map(|tally| tally.losses);
        self.calm.losses + follow.sum::<f64>()
    }
}

/// What is seen and learned of the dry spells of one service.
#[derive(Debug, Clone, Default)]
pub struct DrySpells {
    absences: AbsenceLearner,
    learned: Learned,
    places: u32,
    /// When a data centre was lost last.
    lost: f64,
    /// Whether data centres came back since one was lost last: a dry spell that ends takes no further ones.
    ends: bool,
    now: Option<f64>,
}

impl DrySpells {
    /// What is learned.
    pub fn learned(&self) -> Learned {
        Learned { absences: self.absences.learned, ..self.learned.clone() }
    }

    /// Goes by what a former leader learned in place of what this one has until now.
    pub fn restore(&mut self, learned: Learned) {
        self.absences.learned = learned.absences;
        self.learned = learned;
    }

    /// Takes what the list shows of every data centre at `now`.
    pub fn look(&mut self, now: f64, seen: &[(DataCentre, Seen)]) {
        let before = self.now.replace(now);
        let passed = now - before.unwrap_or(now);
        self.places = seen.len() as u32;
        let gone = self.gone();
        let age = now - self.lost;
        if !self.ends {
            self.tally(gone, age).time += passed * f64::from(self.places.saturating_sub(gone));
        }
        let lost = self.absences.look(now, seen);
        self.record_end(gone + lost);
        if lost == 0 {
            return;
        }
        // What is gone at the first look was lost before it, and perhaps counted by a former leader.
        let counted = if before.is_some() { lost } else { 0 };
        for more in 0..counted {
            let age = if more == 0 { age } else { 0.0 };
            self.tally(gone + more, age).losses += 1.0;
        }
        (self.ends, self.lost) = (false, now);
        // Where some serve, others leave by our own orders.
        let gone = seen.iter().filter(|(_, seen)| seen.serving == 0);
        let notice = gone.filter_map(|(_, seen)| seen.notice).max_by(f64::total_cmp);
        if let Some(notice) = notice {
            self.learned.notice += NOTICE_WEIGHT * (notice - self.learned.notice);
        }
    }

    /// Takes that an order for reclaimable engines was refused.
    pub fn note_refused(&mut self, now: f64, data_centre: &DataCentre) {
        self.absences.note_refused(now, data_centre);
    }

    /// Takes that an order for reclaimable engines was taken.
    pub fn note_taken(&mut self, now: f64, data_centre: &DataCentre) {
        let gone = self.gone();
        self.absences.note_taken(now, data_centre);
        self.record_end(gone);
    }

    /// Takes that no reclaimable engines are wanted in a data centre.
    pub fn record_unwanted(&mut self, data_centre: &DataCentre) {
        let gone = self.gone();
        self.absences.record_unwanted(data_centre);
        self.record_end(gone);
    }

    /// Takes whether fewer are gone than `before`.
    fn record_end(&mut self, before: u32) {
        let gone = self.gone();
        self.ends = gone > 0 && (self.ends || gone < before);
    }

    /// How many data centres are gone.
    pub fn gone(&self) -> u32 {
        self.absences.gone()
    }

    /// How often data centres have none, and for how long.
    pub fn absence(&self) -> OutageStats {
        self.absences.absence()
    }

    /// Losses a second of one data centre that is left, where `gone` are gone, the last one for `age` seconds.
    pub fn rate(&self, gone: u32, age: f64) -> f64 {
        let gone = if self.ends { gone - self.gone().min(gone) } else { gone };
        let Some(place) = (gone as usize).checked_sub(1) else {
            return self.learned.calm.with_prior(1.0 / PRIOR_CALM, PRIOR_CALM);
        };
        let phase = phase(age);
        let all = self.learned.follow.iter().fold(Tally::default(), |sum, phases| Tally {
            losses: sum.losses + phases[phase].losses,
            time: sum.time + phases[phase].time,
        });
        let all = all.with_prior(1.0 / PRIOR_FOLLOW, PRIOR_WEIGHT / PHASES as f64);
        let own = self.learned.follow.get(place).map(|phases| phases[phase]);
        own.unwrap_or_default().with_prior(all, PRIOR_WEIGHT)
    }

    /// What may be lost before an engine that boots for `boot` seconds serves. What has notice by then may
    /// still serve, so the time of a notice comes off.
    pub fn outlook(&self, boot: f64) -> Outlook {
        let gone = self.gone();
        let left = self.places.saturating_sub(gone);
        let calm = if gone == 0 { 1.0 / (self.rate(0, 0.0) * f64::from(left.max(1))) } else { 0.0 };
        let mut outlook = Outlook { gone, calm, ..Outlook::calm(left) };
        let step = (boot + LIST_TIME - self.learned.notice).max(0.0) / f64::from(STEPS);
        let last = (left as usize).min(LOSSES - 1);
        let age = self.now.unwrap_or_default() - self.lost;
        for turn in 0..STEPS {
            let passed = step * f64::from(turn);
            for lost in (0..last).rev() {
                let (gone, left) = (gone + lost as u32, left - lost as u32);
                // Of a loss to come, half of the time is taken to have passed since.
                let age = if lost == 0 { age + passed } else { passed / 2.0 };
                let part = 1.0 - (-self.rate(gone, age) * f64::from(left) * step).exp();
                let flow = outlook.chances[lost] * part;
                outlook.chances[lost] -= flow;
                outlook.chances[lost + 1] += flow;
            }
        }
        outlook
    }

    fn tally(&mut self, gone: u32, age: f64) -> &mut Tally {
        let gone = gone as usize;
        if self.learned.follow.len() < gone {
            self.learned.follow.resize(gone, [Tally::default(); PHASES]);
        }
        match gone {
            0 => &mut self.learned.calm,
            _ => &mut self.learned.follow[gone - 1][phase(age)],
        }
    }
}

fn phase(age: f64) -> usize {
    let end = |phase: &usize| PHASE * (1 << phase) as f64;
    (0..PHASES - 1).filter(|phase| end(phase) <= age).count()
}
