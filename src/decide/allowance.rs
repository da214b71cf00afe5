//! What each team may use on this box.
//!
//! A team's limit is one over all boxes. The leader keeps its level ([`super::level`]) and, with every
//! answer to a box's word, allows the box an amount until the next one. A request that finds too little
//! asks for more. Without word from the leader the amount lapses, and the box goes on with a trickle
//! that the leader sets aside for it, for a while.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::TeamName;

/// How long an amount may be used after the word that it answers: two beats of a box and their answers.
pub const GRANT_TIME: Duration = Duration::from_millis(900);

/// How long after that a box may go on with its trickle. A box that hears no leader for longer can be
/// sure of no configuration either.
pub const TRICKLE_TIME: Duration = Duration::from_secs(5);

/// Seconds of its trickle that a box can save up: enough for a long request now and then, too little for
/// a burst that nobody knows of.
pub const TRICKLE_CAP: f64 = 2.0;

/// The longest and shortest wait told to a caller whose team is over its limit.
const WAIT_LIMITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// What a box tells the leader of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Units used in the life of the box's process, so that a word that is lost or comes twice counts once.
    pub total: f64,
    /// Units refused since the last word.
    pub refused: f64,
    /// Units of the requests that found too little since the last word and wait for the answer.
    pub wanted: f64,
}

/// Why a request is not within its team's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// How long until there likely is enough.
    pub wait: Duration,
    /// Whether the leader is to be asked at once: by its last word it had more.
    pub ask: bool,
    /// Whether a leader has said anything of the team to this box yet.
    pub known: bool,
}

/// What the leader allows a box of one team's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowed {
    /// Units until the next word.
    pub amount: f64,
    /// Units a second once the amount has lapsed.
    pub trickle: f64,
    /// Seconds until there is more, 0 if there is now.
    pub wait: f64,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    trickle: f64,
    wait: f64,
    /// Whether any answer was heard.
    known: bool,
    demand: TeamDemand,
    /// The total that was told last.
    told: f64,
    /// When the word went out whose answer allowed what is left.
    heard: Instant,
    /// Up to when the trickle has come in.
    filled: Instant,
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            left: 0.0,
            trickle: 0.0,
            wait: 0.0,
            known: false,
            demand: TeamDemand::default(),
            told: 0.0,
            heard: now,
            filled: now,
        }
    }

    /// Lets what was allowed lapse and the trickle come in.
    fn pass(&mut self, now: Instant) {
        let (lapse, end) = (self.heard + GRANT_TIME, self.heard + GRANT_TIME + TRICKLE_TIME);
        if now > lapse {
            if self.filled <= lapse {
                self.left = self.left.min(0.0);
            }
            let since = self.filled.max(lapse).min(end);
            let trickled = now.min(end).saturating_duration_since(since).as_secs_f64();
            self.left = (self.left + self.trickle * trickled).min(self.trickle * TRICKLE_CAP);
        }
        self.filled = now;
    }
}

/// The allowances of all teams on this box.
#[derive(Debug)]
pub struct Allowances {
    teams: BTreeMap<TeamName, Allowance>,
    /// The words told, and the last of them that was answered.
    turn: u64,
    answered: u64,
    sent: Instant,
}

impl Allowances {
    /// Those of a box that starts at `now` and knows no teams yet.
    pub fn new(now: Instant) -> Self {
        Self { teams: BTreeMap::new(), turn: 0, answered: 0, sent: now }
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
        let Some(allowance) = self.teams.get_mut(team) else {
            return Ok(());
        };
        allowance.pass(now);
        if allowance.left >= cost {
            allowance.left -= cost;
            allowance.demand.total += cost;
            return Ok(());
        }
        allowance.demand.wanted += cost;
        let wait = Duration::from_secs_f64(allowance.wait.clamp(0.0, 60.0));
        let wait = wait.clamp(WAIT_LIMITS.0, WAIT_LIMITS.1);
        Err(Short { wait, ask: allowance.wait == 0.0, known: allowance.known })
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

    /// The words told so far, and the last of them that was answered.
    pub fn turns(&self) -> (u64, u64) {
        (self.turn, self.answered)
    }

    /// The demand to tell the leader.
    pub fn tell(&mut self, now: Instant) -> BTreeMap<TeamName, TeamDemand> {
        self.turn += 1;
        self.sent = now;
        let mut told = BTreeMap::new();
        for (name, allowance) in &mut self.teams {
            allowance.pass(now);
            allowance.told = allowance.demand.total;
            told.insert(name.clone(), allowance.demand);
            allowance.demand.refused = 0.0;
            allowance.demand.wanted = 0.0;
        }
        told
    }

    /// Takes the leader's answer to what was told. What was used meanwhile counts against it.
    pub fn hear(&mut self, allowed: &BTreeMap<TeamName, Allowed>, now: Instant) {
        self.answered = self.turn;
        for (name, allowance) in &mut self.teams {
            let Some(allowed) = allowed.get(name) else {
                continue;
            };
            allowance.pass(now);
            allowance.left = allowed.amount - (allowance.demand.total - allowance.told);
            allowance.trickle = allowed.trickle;
            allowance.wait = allowed.wait;
            allowance.known = true;
            allowance.heard = self.sent;
            allowance.filled = now;
        }
    }
}
