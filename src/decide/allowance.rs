//! What each team may use on this box.
//!
//! A team's limit is one over all boxes. The leader keeps its level ([`super::level`]) and, with every
//! answer to a box's word, leases the box an amount and a rate on top, by what the team usually uses
//! there. A request that finds too little asks for more. Without word from the leader a box goes on
//! with both until the lease ends: a change of leader is over by then, and a box that hears none for
//! longer can be sure of no configuration either.
//!
//! A box has nothing of a team that does not come to it, and does not speak of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::TeamName;

/// How long after a word that was answered a leader is taken to answer: two beats of a box and their
/// answers. No request waits for one that does not.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// How long a lease holds after the word that it answers: an election after the loss of a leader, or of
/// power everywhere, takes about half of it, and keys are no longer sure at its end.
pub const LEASE_TIME: Duration = Duration::from_millis(5_900);

/// Seconds over which a team's use of a box is averaged: long enough for callers that come every few
/// seconds, short enough to follow a wave.
const USUAL_TIME: f64 = 4.0;

/// How long after its last request a team still counts as coming to a box.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// The longest and shortest wait told to a caller whose team is over its limit.
const WAIT_LIMITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// What a box tells the leader of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Units used in the life of the box's process, so that a word that is lost or comes twice counts once.
    pub total: f64,
    /// Units refused since the last word.
    #[serde(with = "crate::units::thin")]
    pub refused: f64,
    /// Units of the requests that found too little since the last word and wait for the answer.
    #[serde(with = "crate::units::thin")]
    pub wanted: f64,
    /// Units a second that callers usually bring; 0 for a team that no longer comes.
    #[serde(with = "crate::units::thin")]
    pub usual: f64,
    /// Units a second that the box has on lease.
    #[serde(with = "crate::units::thin")]
    pub rate: f64,
    /// Units that it has left.
    #[serde(with = "crate::units::thin")]
    pub left: f64,
}

/// Why a request is not within its team's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// How long until there likely is enough.
    pub wait: Duration,
    /// Whether the leader is to be asked at once: it answers, and by its last word it had more.
    pub ask: bool,
    /// Whether a leader has said anything of the teams to this box yet.
    pub known: bool,
}

/// What the leader allows a box of one team's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowed {
    /// Units, for [`LEASE_TIME`] or until the next answer.
    #[serde(with = "crate::units::thin")]
    pub amount: f64,
    /// Units a second on top.
    #[serde(with = "crate::units::thin")]
    pub rate: f64,
    /// Seconds until there is more, 0 if there is now.
    #[serde(with = "crate::units::thin")]
    pub wait: f64,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    rate: f64,
    wait: f64,
    demand: TeamDemand,
    /// The total that was told last, and when.
    told: f64,
    told_at: Instant,
    /// When the word went out whose answer allowed what is left.
    heard: Instant,
    /// Up to when the rate has come in.
    filled: Instant,
    /// When the last request came.
    came: Instant,
    /// Whether the leader was told that nothing is left here.
    is_given_up: bool,
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            left: 0.0,
            rate: 0.0,
            wait: 0.0,
            demand: TeamDemand::default(),
            told: 0.0,
            told_at: now,
            heard: now,
            filled: now,
            came: now,
            is_given_up: true,
        }
    }

    /// Lets the rate come in and the lease end.
    fn pass(&mut self, now: Instant) {
        let end = self.heard + LEASE_TIME;
        let passed = now.min(end).saturating_duration_since(self.filled);
        self.left += self.rate * passed.as_secs_f64();
        if now > end {
            self.left = self.left.min(0.0);
            self.rate = 0.0;
        }
        self.filled = now;
    }

    /// What is to be told, averaged up to `now`.
    fn tell(&mut self, now: Instant) -> TeamDemand {
        self.pass(now);
        let came = self.demand.total - self.told + self.demand.refused;
        let passed = now.saturating_duration_since(self.told_at).as_secs_f64();
        let passed = passed.clamp(0.01, USUAL_TIME);
        let weight = 1.0 - (-passed / USUAL_TIME).exp();
        self.demand.usual += weight * (came.max(0.0) / passed - self.demand.usual);
        if now.saturating_duration_since(self.came) > IDLE_TIME {
            self.demand.usual = 0.0;
        }
        (self.demand.rate, self.demand.left) = (self.rate, self.left);
        (self.told, self.told_at) = (self.demand.total, now);
        let told = self.demand;
        self.is_given_up = told.usual == 0.0 && told.wanted == 0.0 && self.left <= 0.0;
        self.is_given_up &= self.rate == 0.0;
        (self.demand.refused, self.demand.wanted) = (0.0, 0.0);
        told
    }

    /// Whether there is anything to say of the team.
    fn is_silent(&self) -> bool {
        let told = &self.demand;
        self.is_given_up && told.total == self.told && told.refused + told.wanted == 0.0
    }
}

/// The allowances of all teams on this box.
#[derive(Debug)]
pub struct Allowances {
    teams: BTreeMap<TeamName, Allowance>,
    /// The words told.
    turn: u64,
    sent: Instant,
    /// When the word went out that was answered last; `None` before any was.
    heard: Option<Instant>,
}

impl Allowances {
    /// Those of a box that starts at `now` and knows no teams yet.
    pub fn new(now: Instant) -> Self {
        Self { teams: BTreeMap::new(), turn: 0, sent: now, heard: None }
    }

    /// Keeps the teams that have a limit; new ones begin with nothing.
    pub fn follow<'a>(&mut self, limited: impl Iterator<Item = &'a TeamName>, now: Instant) {
        let mut kept = std::mem::take(&mut self.teams);
        for name in limited {
            let allowance = kept.remove(name).unwrap_or_else(|| Allowance::new(now));
            self.teams.insert(name.clone(), allowance);
        }
    }

    /// Takes `cost` of a team's allowance, if so much of it is left. A team without a limit has none.
    ///
    /// # Errors
    /// That too little is left.
    pub fn take(&mut self, team: &TeamName, cost: f64, now: Instant) -> Result<(), Short> {
        let answers = self.heard.is_none_or(|heard| now < heard + ANSWER_TIME);
        let known = self.heard.is_some();
        let Some(allowance) = self.teams.get_mut(team) else {
            return Ok(());
        };
        allowance.pass(now);
        allowance.came = now;
        if allowance.left >= cost {
            allowance.left -= cost;
            allowance.demand.total += cost;
            return Ok(());
        }
        allowance.demand.wanted += cost;
        let missing = cost - allowance.left;
        let wait = match answers {
            true => allowance.wait,
            false => missing / allowance.rate.max(f64::MIN_POSITIVE),
        };
        let wait = Duration::from_secs_f64(wait.clamp(0.0, 60.0));
        let wait = wait.clamp(WAIT_LIMITS.0, WAIT_LIMITS.1);
        Err(Short { wait, ask: answers && allowance.wait == 0.0, known })
    }

    /// Notes that a request was refused for want of `cost`.
    pub fn note_refused(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.demand.refused += cost;
        }
    }

    /// Gives an amount back: the request was not run.
    pub fn give_back(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.left += cost;
            allowance.demand.total -= cost;
        }
    }

    /// The words told so far.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// The demand to tell the leader: of the teams that come to this box.
    pub fn tell(&mut self, now: Instant) -> BTreeMap<TeamName, TeamDemand> {
        self.turn += 1;
        self.sent = now;
        let speaking = self.teams.iter_mut().filter(|(_, allowance)| !allowance.is_silent());
        speaking.map(|(name, allowance)| (name.clone(), allowance.tell(now))).collect()
    }

    /// Takes the leader's answer to what was told. What was used meanwhile counts against it.
    pub fn hear(&mut self, allowed: &BTreeMap<TeamName, Allowed>, now: Instant) {
        self.heard = Some(self.sent);
        for (name, allowed) in allowed {
            let Some(allowance) = self.teams.get_mut(name) else {
                continue;
            };
            allowance.left = allowed.amount - (allowance.demand.total - allowance.told);
            allowance.rate = allowed.rate;
            allowance.wait = allowed.wait;
            allowance.heard = self.sent;
            allowance.filled = now;
        }
    }
}
