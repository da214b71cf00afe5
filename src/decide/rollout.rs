//! When a roll-out goes on, and when it goes back: the leader's half.
//!
//! A roll-out has a trial, in which a small part of the traffic goes to the new release by permits
//! ([`super::exposure`]) and its answers are judged ([`super::verdict`]); a shift of all traffic, as late
//! as the requests allowed make it; and its end. A release that turns out bad at any time before the
//! deadline must not have got more than the part allowed, so the shift begins only when what is still to
//! come fits in. Streams at former servers have the time from the shift to the end to finish.

use std::collections::{BTreeMap, VecDeque};

use super::exposure::{Exposure, ExposureLimit, WHOLE_PART};
use super::releases::TrialReport;
use super::verdict::{Pair, ROUTE_ODDS, Verdict, judge};
use crate::ids::{BoxId, Incarnation};
use crate::state::rollout::{Phase, Rollout, RolloutStep};

/// Seconds before the deadline at which a roll-out is completed: a look of the leader, and the group's
/// acknowledgement beside other work. Whoever asks at the deadline is told the end.
const END_TIME: f64 = 0.3;

/// Seconds in which all boxes hear of the shift: those that have not go on at the former servers, which are
/// gone once the roll-out is completed.
const SPREAD_TIME: f64 = 0.4;

/// Seconds before the deadline from which boxes are to speak more often: they hear of the shift and of the
/// end sooner, for a few words more.
const SOON_TIME: f64 = 2.5;

/// The part of the whole time that the end takes at most, where that is short.
const END_PART: f64 = 0.25;

/// The part of the whole time at most for which all traffic is at the new release before the end: in
/// the part before, its answers can be held against the former one's.
const SHIFT_PART: f64 = 0.5;

/// The part of a trial's requests that it may send at once.
const FIRST_PART: f64 = 0.1;

/// Seconds after the order before which the rate of requests is not taken from what came.
const EARLIEST: f64 = 0.5;

/// The part of a box's requests that it tries at most: the others are what they are held against.
const TRIED_PART: f64 = 0.5;

/// Seconds of a box's traffic that an answer grants permits for: a beat, and half as much for late ones.
const GRANT_TIME: f64 = 0.6;

/// What is known of a roll-out at some moment.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    /// Its phase.
    pub phase: Phase,
    /// Seconds since the order.
    pub passed: f64,
    /// Seconds that it may take.
    pub whole: f64,
    /// Requests of the service that came since the order.
    pub came: u64,
    /// Requests that may have gone to the new release.
    pub exposed: u64,
    /// Whether servers of the new release are there to take all traffic.
    pub ready: bool,
    /// What the answers say.
    pub verdict: Verdict,
}

impl Facts {
    /// The phase that a roll-out goes to now, if any.
    pub fn next(&self, limit: ExposureLimit) -> Option<Phase> {
        let left = self.whole - self.passed;
        let end = END_TIME.min(self.whole * END_PART);
        match (self.phase, self.verdict) {
            (Phase::Trial | Phase::Shift, Verdict::Bad(_)) => Some(Phase::RolledBack),
            (Phase::Trial | Phase::Shift, _) if left <= 0.0 => Some(Phase::RolledBack),
            (Phase::Trial, Verdict::Good) => {
                let time =
                    |part| limit.shift_time(part, self.came, self.exposed, self.passed, self.whole);
                let early = time(WHOLE_PART).min(self.whole * SHIFT_PART);
                let early = early.max(end + SPREAD_TIME).min(time(1.0));
                (self.ready && left <= early).then_some(Phase::Shift)
            }
            // It has all traffic by now: what speaks against it in the last seconds counts.
            (Phase::Shift, Verdict::Good) => (left <= end).then_some(Phase::Completed),
            _ => None,
        }
    }

    /// Whether the shift or the end is near.
    fn is_soon(&self) -> bool {
        self.whole - self.passed < SOON_TIME
    }

    /// Requests that will have come at the deadline, as things stand.
    fn expected(&self) -> u64 {
        (self.came as f64 * (self.whole / self.passed.max(EARLIEST)).max(1.0)) as u64
    }
}

/// What a box told last, and when.
#[derive(Debug, Default)]
struct Told {
    word: TrialReport,
    at: f64,
    /// Requests a second at the box.
    rate: f64,
}

/// The answers of all boxes by route.
type Routes = BTreeMap<String, Pair>;

/// A roll-out at its leader: what boxes told of it, and what they were granted.
#[derive(Debug)]
pub struct Led {
    ordered: u64,
    exposure: Exposure,
    words: BTreeMap<(BoxId, Incarnation), Told>,
    /// Requests that came, over all words, and when the first word did.
    came: u64,
    since: Option<f64>,
    /// Requests that the trial may have sent by now.
    allowed: u64,
    /// Whether the shift or the end is near.
    soon: bool,
    /// What all had answered at some moments of late, the latest last.
    marks: VecDeque<(f64, Routes)>,
}

impl Led {
    /// A roll-out whose leader has heard nothing yet.
    pub fn new(rollout: &Rollout) -> Self {
        Self {
            ordered: rollout.ordered,
            exposure: Exposure::new(rollout.exposed),
            words: BTreeMap::new(),
            came: 0,
            since: None,
            allowed: 0,
            soon: false,
            marks: VecDeque::new(),
        }
    }

    /// When it was ordered, which tells it from others.
    pub fn ordered(&self) -> u64 {
        self.ordered
    }

    /// Whether boxes are to speak more often.
    pub fn is_soon(&self) -> bool {
        self.soon
    }

    /// Requests a second, by what boxes told up to `now`.
    fn rate(&self, now: f64) -> f64 {
        let passed = now - self.since.unwrap_or(now);
        self.came as f64 / passed.max(EARLIEST)
    }

    /// Takes a box's word at `now`, in seconds; the permits it gets. `random` is a number from 0 to 1.
    pub fn hear(
        &mut self,
        now: f64,
        key: (BoxId, Incarnation),
        word: &TrialReport,
        rollout: &Rollout,
        random: f64,
    ) -> u64 {
        self.since.get_or_insert(now);
        let told = self.words.entry(key.clone()).or_default();
        let came = word.came.saturating_sub(told.word.came);
        let passed = now - told.at;
        if told.at > 0.0 && passed > 0.0 {
            told.rate = came as f64 / passed;
        }
        (told.word, told.at) = (word.clone(), now);
        // A box with little traffic has one as often as not: its next request is likely far off.
        let few = u64::from(random < TRIED_PART);
        let wanted = ((told.rate * TRIED_PART * GRANT_TIME + random) as u64).max(few);
        self.came += came;
        let bound = match rollout.phase {
            Phase::Trial => self.allowed.min(rollout.exposed),
            Phase::Shift | Phase::Completed | Phase::RolledBack => 0,
        };
        self.exposure.grant(key, word.permits, wanted, bound)
    }

    /// What the answers that all boxes told of say at `now`: bad where either all of them or those of late
    /// do, so that many good ones at the beginning speak for nothing that comes after; good where both
    /// are.
    pub fn verdict(&mut self, now: f64) -> Verdict {
        let mut routes = Routes::new();
        for (route, pair) in self.words.values().flat_map(|told| &told.word.routes) {
            routes.entry(route.clone()).or_default().add(pair);
        }
        let whole = judge(routes.values());
        let recent = self.marks.iter().map(|(_, mark)| {
            let since = routes.iter().map(|(route, pair)| match mark.get(route) {
                Some(before) => pair.since(before),
                None => *pair,
            });
            since.collect::<Vec<_>>()
        });
        let recent: Vec<_> = recent.collect();
        let bad = recent.iter().map(|pairs| judge(pairs.iter()));
        let bad = bad.chain([whole]).find(|verdict| matches!(verdict, Verdict::Bad(_)));
        let last = recent.first().is_some_and(|pairs| is_fresh(pairs));
        if self.marks.back().is_none_or(|(at, _)| *at + MARK_TIME <= now) {
            self.marks.push_back((now, routes));
        }
        while self.marks.len() > MARKS {
            self.marks.pop_front();
        }
        match bad {
            Some(bad) => bad,
            None if whole == Verdict::Good && last => Verdict::Good,
            None => Verdict::Open,
        }
    }
}

/// Whether the new release has answered some requests of late, and nothing speaks against it.
fn is_fresh(pairs: &[Pair]) -> bool {
    let mut sum = Pair::default();
    pairs.iter().for_each(|pair| sum.add(pair));
    sum.new.answers >= FRESH_ANSWERS && sum.failure_odds() < ROUTE_ODDS
}

/// Seconds between two moments at which the answers so far are kept, and how many moments: answers of
/// late are those of the last half second to three seconds.
const MARK_TIME: f64 = 0.5;

/// How many of these moments are kept.
const MARKS: usize = 6;

/// Answers of the new release in the last three seconds before all traffic goes to it.
const FRESH_ANSWERS: f64 = 3.0;

/// The step of a roll-out that is due at `now`, `passed` seconds after the order, and what it goes by.
/// `ready` says whether servers of the new release are there.
pub fn next_step(
    rollout: &Rollout,
    led: Option<&mut Led>,
    now: f64,
    passed: f64,
    ready: bool,
    limit: ExposureLimit,
) -> Option<(RolloutStep, Facts)> {
    let mut facts = Facts {
        phase: rollout.phase,
        passed,
        whole: rollout.order.time.duration().as_secs_f64(),
        came: 0,
        exposed: rollout.exposed,
        ready,
        verdict: Verdict::Open,
    };
    let mut bound = None;
    if let Some(led) = led {
        led.soon = facts.is_soon();
        facts.came = led.came;
        facts.exposed = led.exposure.committed();
        facts.verdict = led.verdict(now);
        let most = limit.for_trial(facts.expected(), led.rate(now));
        // Evenly over the time, so that there are answers of late when all traffic is to go there.
        let pace = (passed / facts.whole + FIRST_PART).min(1.0);
        let paced = (most as f64 * pace) as u64;
        led.allowed = paced.min(limit.for_trial(led.came, led.rate(now)));
        bound = led.exposure.next_bound(rollout.exposed, led.allowed, most);
    }
    if let Some(phase) = facts.next(limit) {
        return Some((rollout.step(phase, rollout.exposed), facts));
    }
    let bound = bound.filter(|_| rollout.phase == Phase::Trial && ready)?;
    Some((rollout.step(rollout.phase, bound), facts))
}
