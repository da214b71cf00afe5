//! How likely data centres run out of reclaimable engines soon, given how many have none already.
//!
//! Reclaimable engines go because somebody else wants them, and who wants those of one data centre often
//! wants those of the next: what is gone tells of what goes. So a hazard is learned by how many are gone:
//! losses over the seconds in which the data centres that were left could be lost. Those with some gone
//! lean on each other, since dry spells are few and each shows little of each number.
//!
//! From it comes what may serve by the time at which an engine ordered now would ([`Outlook`]), and from that
//! in [`super::capacity`] how many engines on demand to hold: at the first sign, in reserve, and until when.
//!
//! Pure: times are seconds on any one clock.

use super::absence::{AbsenceLearner, Seen};
use super::capacity::Absence;
use crate::ids::DataCentre;

/// Seconds of one data centre, with none gone, in which one is taken to have been lost before anything was
/// seen: no market is taken to be safe, and a few quiet minutes outweigh it.
const PRIOR_CALM: f64 = 120.0;

/// The same while others are gone: within one absence each of the others is lost as likely as not.
const PRIOR_FOLLOW: f64 = 12.0;

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
#[derive(Debug, Clone, Copy)]
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
}

impl Outlook {
    /// That nothing is lost.
    pub const fn calm(left: u32) -> Self {
        let mut chances = [0.0; LOSSES];
        chances[0] = 1.0;
        Self { gone: 0, left, chances }
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

/// What is learned of the dry spells of one service.
#[derive(Debug, Clone)]
pub struct DrySpells {
    absences: AbsenceLearner,
    tallies: Vec<Tally>,
    places: u32,
    notice: f64,
    now: Option<f64>,
}

impl Default for DrySpells {
    fn default() -> Self {
        let absences = AbsenceLearner::default();
        Self { absences, tallies: Vec::new(), places: 0, notice: PRIOR_NOTICE, now: None }
    }
}

impl DrySpells {
    /// Takes what the list shows of every data centre at `now`.
    pub fn look(&mut self, now: f64, seen: &[(DataCentre, Seen)]) {
        let passed = now - self.now.replace(now).unwrap_or(now);
        self.places = seen.len() as u32;
        let gone = self.absences.gone();
        self.tally(gone).time += passed * f64::from(self.places.saturating_sub(gone));
        let lost = self.absences.look(now, seen);
        (gone..gone + lost).for_each(|gone| self.tally(gone).losses += 1.0);
        if lost > 0 {
            let left = seen.iter().filter_map(|(_, seen)| seen.notice);
            let left = left.fold(0.0, f64::max);
            self.notice += NOTICE_WEIGHT * (left - self.notice);
        }
    }

    /// Takes that an order for reclaimable engines was refused.
    pub fn note_refused(&mut self, now: f64, data_centre: &DataCentre) {
        self.absences.note_refused(now, data_centre);
    }

    /// Takes that an order for `count` reclaimable engines was taken.
    pub fn note_taken(&mut self, now: f64, data_centre: &DataCentre, count: u32) {
        self.absences.note_taken(now, data_centre, count);
    }

    /// How many data centres are gone.
    pub fn gone(&self) -> u32 {
        self.absences.gone()
    }

    /// How often data centres have none, and for how long.
    pub fn absence(&self) -> Absence {
        self.absences.absence()
    }

    /// Losses a second of one data centre that is left, where `gone` are gone.
    pub fn rate(&self, gone: u32) -> f64 {
        let Some(tally) = self.tallies.get(gone as usize) else {
            return self.follow();
        };
        match gone {
            0 => tally.with_prior(1.0 / PRIOR_CALM, PRIOR_CALM),
            _ => tally.with_prior(self.follow(), PRIOR_FOLLOW),
        }
    }

    /// Losses a second of one data centre while others are gone, however many.
    fn follow(&self) -> f64 {
        let all = self.tallies.iter().skip(1).fold(Tally { losses: 0.0, time: 0.0 }, |sum, it| {
            Tally { losses: sum.losses + it.losses, time: sum.time + it.time }
        });
        all.with_prior(1.0 / PRIOR_FOLLOW, PRIOR_FOLLOW)
    }

    /// What may be lost before an engine that boots for `boot` seconds serves. What has notice by then may
    /// still serve, so the time of a notice comes off.
    pub fn outlook(&self, boot: f64) -> Outlook {
        let gone = self.gone();
        let left = self.places.saturating_sub(gone);
        let mut outlook = Outlook { gone, ..Outlook::calm(left) };
        let step = (boot + LIST_TIME - self.notice).max(0.0) / f64::from(STEPS);
        let last = (left as usize).min(LOSSES - 1);
        for _ in 0..STEPS {
            for lost in (0..last).rev() {
                let (gone, left) = (gone + lost as u32, left - lost as u32);
                let part = 1.0 - (-self.rate(gone) * f64::from(left) * step).exp();
                let flow = outlook.chances[lost] * part;
                outlook.chances[lost] -= flow;
                outlook.chances[lost + 1] += flow;
            }
        }
        outlook
    }

    fn tally(&mut self, gone: u32) -> &mut Tally {
        let gone = gone as usize;
        if self.tallies.len() <= gone {
            self.tallies.resize(gone + 1, Tally { losses: 0.0, time: 0.0 });
        }
        &mut self.tallies[gone]
    }
}
