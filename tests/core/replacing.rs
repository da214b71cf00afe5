//! Losses and replacements of members, within what a group of five is to bear, and the leader's answer to them.

use std::collections::BTreeMap;

use emberturn::decide::membership::{GroupView, MemberState, Step};
use emberturn::group::core::{Core, Role, Stored};
use emberturn::group::message::MemberChange;
use emberturn::ids::{BoxId, Incarnation};
use emberturn::units::Millis;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Box1, World};

/// Losses that the group bears at once.
pub const TOLERANCE: usize = 2;

/// For this long after it has started or come back, a machine still counts as lost.
const CATCH_UP: u64 = 4_000;

/// Time between two looks of the leader at its members.
const LOOK: u64 = 250;

/// A replica that stops waits this long for a learner to get its vote.
const HAND_OVER: u64 = 4_000;

/// Decides on the next change of members.
pub type Rule = fn(&GroupView) -> Option<Step>;

/// What is done to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// It is gone for good, and another one comes a moment later.
    Replaced,
    /// Another one is added, and once that has had its time, the member is asked to stop and does not return.
    Planned,
    /// Its process ends and starts again.
    Restarted,
    /// It returns with an empty disk.
    Emptied,
    /// No other one reaches it for a while.
    CutOff,
}

const LOSSES: [Loss; 5] =
    [Loss::Replaced, Loss::Planned, Loss::Restarted, Loss::Emptied, Loss::CutOff];

#[derive(Debug)]
enum Due {
    Add,
    AskToStop(BoxId),
    End(BoxId),
    Rejoin(BoxId),
}

/// What is under way.
pub struct Replacing {
    rule: Rule,
    look_at: u64,
    due: Vec<(u64, Due)>,
    /// Until when each lost machine counts.
    counted: Vec<u64>,
    stopping: Vec<BoxId>,
    next_name: usize,
}

impl World {
    /// Lets `events` losses happen, one after the other or overlapping, each within the tolerance.
    pub fn replace_members(&mut self, rule: Rule, events: usize) {
        let next_name = self.boxes.len();
        let mut state = Replacing {
            rule,
            look_at: 0,
            due: Vec::new(),
            counted: Vec::new(),
            stopping: Vec::new(),
            next_name,
        };
        self.pass(&mut state, 3_000);
        for _ in 0..events {
            let pause = self.random.random_range(0..5_000);
            self.pass(&mut state, pause);
            state.counted.retain(|until| *until > self.now);
            if state.counted.len() < TOLERANCE {
                self.lose_one(&mut state);
            }
        }
        self.pass(&mut state, 12_000);
        self.cut.clear();
        let before = self.acknowledged.len();
        self.pass(&mut state, 6_000);
        assert!(self.acknowledged.len() > before, "seed {}: nothing is accepted", self.seed);
    }

    fn pass(&mut self, state: &mut Replacing, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.advance();
            if self.random.random_bool(0.05) {
                self.propose();
            }
            self.carry_out_due(state);
            if self.now >= state.look_at {
                state.look_at = self.now + LOOK;
                self.change_members(state);
            }
        }
    }

    fn carry_out_due(&mut self, state: &mut Replacing) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut state.due).into_iter().partition(|(at, _)| *at <= now);
        state.due = later;
        for (_, due) in due {
            match due {
                Due::Add => self.add_box(state),
                Due::AskToStop(name) => {
                    if let Some(core) = self.boxes.get_mut(&name).and_then(|it| it.core.as_mut()) {
                        core.announce_stop();
                    }
                    state.stopping.push(name.clone());
                    state.due.push((now + HAND_OVER, Due::End(name)));
                }
                Due::End(name) => {
                    state.stopping.retain(|it| *it != name);
                    self.boxes.remove(&name);
                }
                Due::Rejoin(name) => self.cut.retain(|(a, b)| *a != name && *b != name),
            }
        }
        // A replica that was asked to stop ends once it has no vote any more.
        let voters = self.voters();
        let done = state.stopping.iter().filter(|name| !voters.contains_key(*name));
        for name in done.cloned().collect::<Vec<_>>() {
            state.stopping.retain(|it| *it != name);
            self.boxes.remove(&name);
        }
    }

    fn add_box(&mut self, state: &mut Replacing) {
        let name: BoxId = format!("b{}", state.next_name).parse().unwrap();
        state.next_name += 1;
        self.next_life += 1;
        let life = Incarnation(self.next_life);
        let first = self.random.random_range(0..100_000);
        self.boxes.insert(name.clone(), Box1::new(life, first));
        self.launch(&name);
    }

    fn voters(&self) -> BTreeMap<BoxId, Incarnation> {
        let leader = self.leading().and_then(|name| self.boxes[&name].core.as_ref());
        leader.map(|core| core.members().voters.clone()).unwrap_or_default()
    }

    fn leading(&self) -> Option<BoxId> {
        let leads = |core: &&Core| *core.role() == Role::Leader;
        let cores = self.boxes.iter().filter_map(|(name, one)| Some((name, one.core.as_ref()?)));
        let leaders = cores.filter(|(_, core)| leads(core));
        leaders.max_by_key(|(_, core)| core.term()).map(|(name, _)| name.clone())
    }

    /// A voter or, as often, the leader is lost in one of the ways.
    fn lose_one(&mut self, state: &mut Replacing) {
        let voters: Vec<_> = self.voters().into_keys().collect();
        let up = |name: &&BoxId| self.boxes.get(*name).is_some_and(|it| it.core.is_some());
        let up: Vec<_> = voters.iter().filter(up).cloned().collect();
        let leader = self.leading().filter(|_| self.random.random_bool(0.5));
        let Some(name) = leader.or_else(|| up.choose(&mut self.random).cloned()) else {
            return;
        };
        if state.stopping.contains(&name) || state.planned(&name) {
            return;
        }
        let loss = *LOSSES.choose(&mut self.random).unwrap();
        let away = self.random.random_range(200..3_000);
        let back = self.now + away;
        match loss {
            Loss::Replaced => {
                self.boxes.remove(&name);
                state.due.push((back, Due::Add));
            }
            Loss::Planned => {
                self.add_box(state);
                state.due.push((self.now + CATCH_UP, Due::AskToStop(name)));
                return;
            }
            Loss::Restarted | Loss::Emptied => {
                self.crash(&name);
                let emptied = loss == Loss::Emptied;
                self.next_life += 1;
                let life = Incarnation(self.next_life);
                let one = self.boxes.get_mut(&name).unwrap();
                one.wake_at = back;
                if emptied {
                    (one.disk, one.life) = (Stored::default(), life);
                }
            }
            Loss::CutOff => {
                for other in self.boxes.keys().filter(|it| **it != name) {
                    self.cut.insert((name.clone(), other.clone()));
                    self.cut.insert((other.clone(), name.clone()));
                }
                state.due.push((back, Due::Rejoin(name)));
            }
        }
        state.counted.push(back + CATCH_UP);
    }

    /// One change at the leader: boxes ask to be let in, and the rule decides on the rest.
    fn change_members(&mut self, state: &mut Replacing) {
        let Some(leader) = self.leading() else {
            return;
        };
        let lives: BTreeMap<_, _> = self
            .boxes
            .iter()
            .filter(|(name, one)| {
                let cut = self.cut.contains(&((*name).clone(), leader.clone()));
                one.core.as_ref().is_some_and(|core| !core.is_stopping()) && !cut
            })
            .map(|(name, one)| (name.clone(), one.life))
            .collect();
        let now = self.now;
        let core = self.boxes.get_mut(&leader).unwrap().core.as_mut().unwrap();
        let members = core.members().clone();
        let other_life =
            lives.iter().find(|(name, life)| members.incarnation(name) != Some(**life));
        let change = match other_life {
            Some((name, _)) if members.incarnation(name).is_some() => {
                Some(MemberChange::Remove(name.clone()))
            }
            Some((name, life)) => Some(MemberChange::AddLearner(name.clone(), *life)),
            None => (state.rule)(&view(core, &leader)).map(|step| match step {
                Step::Promote { learner, .. } => MemberChange::Promote(learner),
                Step::Remove { member, .. } => MemberChange::Remove(member),
            }),
        };
        if let Some(change) = change {
            let _ = core.change_members(now, &change);
        }
    }
}

impl Replacing {
    fn planned(&self, name: &BoxId) -> bool {
        self.due.iter().any(|(_, due)| matches!(due, Due::AskToStop(it) if it == name))
    }
}

fn view(core: &Core, own: &BoxId) -> GroupView {
    let state = |id: &BoxId| match core.progress().get(id) {
        Some(progress) => MemberState {
            silent: Millis(core.silent_for(progress)),
            level: progress.matched >= core.commit(),
            stopping: progress.stopping,
        },
        None => MemberState {
            level: id == own,
            stopping: id == own && core.is_stopping(),
            ..MemberState::default()
        },
    };
    let states = |members: &BTreeMap<BoxId, Incarnation>| {
        members.keys().map(|id| (id.clone(), state(id))).collect()
    };
    let members = core.members();
    GroupView {
        voters: states(&members.voters),
        learners: states(&members.learners),
        size: 2 * TOLERANCE + 1,
    }
}
