//! A handful of cores, their disks and the messages between them, all driven by one seed.

use std::collections::{BTreeMap, BTreeSet};

use emberturn::group::core::{Core, Identity, Role, Stored};
use emberturn::group::log::Tail;
use emberturn::group::message::{Entry, Envelope, MemberChange, Members, Message, Payload};
use emberturn::ids::{BoxId, Incarnation, Index, Term};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// How often what goes wrong, as a chance for each message or step.
#[derive(Debug, Clone, Copy)]
pub struct Chaos {
    pub loss: f64,
    pub double: f64,
    pub crash: f64,
    pub part: f64,
    pub lose_disk: f64,
    pub pause: f64,
}

impl Chaos {
    pub const NONE: Self =
        Self { loss: 0.0, double: 0.0, crash: 0.0, part: 0.0, lose_disk: 0.0, pause: 0.0 };
}

const SNAPSHOT_LENGTH: usize = 24;

struct Box1 {
    life: Incarnation,
    /// The world's time at which the process started.
    began: u64,
    /// What the process's clock showed then. Each process of a box has a clock of its own.
    first: u64,
    disk: Stored,
    core: Option<Core>,
    applied: Vec<String>,
    wake_at: u64,
    paused_until: u64,
    /// When the newest message that this process got from a confirmed leader was sent.
    last_sent: Option<u64>,
}

impl Box1 {
    fn new(life: Incarnation, first: u64) -> Self {
        Self {
            life,
            began: 0,
            first,
            disk: Stored::default(),
            core: None,
            applied: Vec::new(),
            wake_at: 0,
            paused_until: 0,
            last_sent: None,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        self.first + (now - self.began)
    }

    /// The world's time at which the process's clock shows `clock`; `None` if that is before all time.
    fn world_time(&self, clock: u64) -> Option<u64> {
        (self.began + clock).checked_sub(self.first)
    }

    fn leads(&self) -> bool {
        self.core.as_ref().is_some_and(Core::leads_whole)
    }
}

struct Mail {
    sent: u64,
    due: u64,
    envelope: Envelope,
}

pub struct World {
    seed: u64,
    random: SmallRng,
    /// Draws the clocks of processes that start again, and pauses, so that seeds keep their other events.
    clocks: SmallRng,
    chaos: Chaos,
    now: u64,
    boxes: BTreeMap<BoxId, Box1>,
    mail: Vec<Mail>,
    cut: BTreeSet<(BoxId, BoxId)>,
    leaders: BTreeMap<Term, BoxId>,
    history: BTreeMap<Index, Entry>,
    /// Acknowledged commands: when, where in the log, and the command.
    acknowledged: Vec<(u64, Index, String)>,
    proposed: Vec<(BoxId, Index, Term, String)>,
    next_command: u64,
    next_life: u64,
    /// A box whose disk was lost and that is not yet a voter again.
    replacing: Option<BoxId>,
}

impl World {
    pub fn new(count: usize, seed: u64, chaos: Chaos) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let names: Vec<BoxId> = (0..count).map(|n| format!("b{n}").parse().unwrap()).collect();
        let mut members = Members::default();
        let mut boxes = BTreeMap::new();
        for (number, name) in names.iter().enumerate() {
            let life = Incarnation(number as u64 + 1);
            members.voters.insert(name.clone(), life);
            let first = random.random_range(0..100_000);
            boxes.insert(name.clone(), Box1::new(life, first));
        }
        let mut world = Self {
            seed,
            random,
            clocks: SmallRng::seed_from_u64(!seed),
            chaos,
            now: 1,
            boxes,
            mail: Vec::new(),
            cut: BTreeSet::new(),
            leaders: BTreeMap::new(),
            history: BTreeMap::new(),
            acknowledged: Vec::new(),
            proposed: Vec::new(),
            next_command: 0,
            next_life: 100,
            replacing: None,
        };
        for name in &names {
            world.launch(name);
            let one = world.boxes.get_mut(name).unwrap();
            one.core.as_mut().unwrap().form(members.clone()).unwrap();
        }
        world
    }

    /// Starts a box again, with another clock than its former process had.
    fn start(&mut self, name: &BoxId) {
        self.boxes.get_mut(name).unwrap().first = self.clocks.random_range(1..100_000);
        self.launch(name);
    }

    fn launch(&mut self, name: &BoxId) {
        let seed = self.random.random();
        let one = self.boxes.get_mut(name).unwrap();
        let own = Identity { group: 0, box_id: name.clone(), life: one.life };
        (one.began, one.last_sent, one.paused_until) = (self.now, None, 0);
        let clock = one.clock(self.now);
        one.applied = match &one.disk.snapshot {
            Some(snapshot) => serde_json::from_str(&snapshot.data).unwrap(),
            None => Vec::new(),
        };
        one.core = Some(Core::new(own, one.disk.clone(), clock, seed));
    }

    /// Lets the world run for a number of steps with everything that goes wrong.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            self.go_wrong();
        }
    }

    /// Ends all cuts.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Ends all faults and checks that the group gets on: what was acknowledged is there, a new
    /// command is committed, all state machines are equal.
    pub fn heal(&mut self) {
        self.chaos = Chaos::NONE;
        self.cut.clear();
        let names: Vec<_> = self.boxes.keys().cloned().collect();
        for name in &names {
            if self.boxes[name].core.is_none() {
                self.start(name);
            }
        }
        let before = self.acknowledged.len();
        for _ in 0..3_000 {
            self.step();
            if self.acknowledged.len() > before + 5 && self.replacing.is_none() {
                break;
            }
        }
        assert!(self.acknowledged.len() > before, "seed {}: no progress when healed", self.seed);
        assert!(self.replacing.is_none(), "seed {}: lost disk was not replaced", self.seed);
        for _ in 0..400 {
            self.advance();
        }
        let states: Vec<_> = self.boxes.values().map(|one| &one.applied).collect();
        for state in &states {
            assert_eq!(state, &states[0], "seed {}: state machines differ", self.seed);
        }
        for (_, _, command) in &self.acknowledged {
            assert!(states[0].contains(command), "seed {}: {command} is lost", self.seed);
        }
    }

    /// Stops every box at once, and gives how many milliseconds after the last one's return a box
    /// leads that knows all that was acknowledged.
    pub fn stop_all(&mut self) -> u64 {
        let names: Vec<_> = self.boxes.keys().cloned().collect();
        let mut last = 0;
        for name in &names {
            self.crash(name);
            let wake_at = self.now + self.random.random_range(600..1_000);
            self.boxes.get_mut(name).unwrap().wake_at = wake_at;
            last = last.max(wake_at);
        }
        while self.now < last || !self.boxes.values().any(Box1::leads) {
            self.advance();
            assert!(self.now < last + 5_000, "seed {}: no leader after a stop of all", self.seed);
        }
        self.now - last
    }

    /// Cuts the leader off, and has all other boxes start anew at once: none of them remembers that it
    /// has just confirmed that leader, which may still answer reads.
    pub fn cut_leader_off_and_restart_others(&mut self) {
        let names: Vec<_> = self.boxes.keys().cloned().collect();
        let Some(leader) = names.iter().find(|name| self.boxes[*name].leads()).cloned() else {
            return;
        };
        for name in names.into_iter().filter(|name| *name != leader) {
            self.cut.insert((leader.clone(), name.clone()));
            self.cut.insert((name.clone(), leader.clone()));
            self.crash(&name);
            self.boxes.get_mut(&name).unwrap().wake_at = self.now + 1;
        }
    }

    fn step(&mut self) {
        self.advance();
        if self.random.random_bool(0.15) {
            self.propose();
        }
        self.replace_disk();
    }

    /// Time passes: messages arrive, clocks tick, cores are carried out.
    fn advance(&mut self) {
        self.now += self.random.random_range(1..25);
        self.deliver();
        let names: Vec<_> = self.boxes.keys().cloned().collect();
        for name in &names {
            let one = self.boxes.get_mut(name).unwrap();
            if one.paused_until > self.now {
                continue;
            }
            let clock = one.clock(self.now);
            match &mut one.core {
                Some(core) => core.tick(clock),
                None if one.wake_at <= self.now => self.start(name),
                None => {}
            }
            self.carry_out(name);
        }
        self.check();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|mail| mail.due <= now);
        self.mail = later;
        for mail in due {
            if self.cut.contains(&(mail.envelope.from.clone(), mail.envelope.to.clone())) {
                continue;
            }
            let Some(one) = self.boxes.get_mut(&mail.envelope.to) else {
                continue;
            };
            if one.paused_until > now {
                self.mail.push(Mail { due: one.paused_until, ..mail });
                continue;
            }
            let clock = one.clock(now);
            if let Some(core) = &mut one.core {
                let confirmed =
                    matches!(&mail.envelope.message, Message::Append(it) if it.age.is_some());
                if confirmed && mail.envelope.to_life == one.life {
                    one.last_sent = one.last_sent.max(Some(mail.sent));
                }
                core.step(clock, mail.envelope);
            }
        }
    }

    fn post(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            if self.random.random_bool(self.chaos.loss) {
                continue;
            }
            let copies = if self.random.random_bool(self.chaos.double) { 2 } else { 1 };
            for _ in 0..copies {
                let late = self.random.random_bool(0.02);
                let delay = self.random.random_range(1..if late { 1_500 } else { 15 });
                let envelope = envelope.clone();
                self.mail.push(Mail { sent: self.now, due: self.now + delay, envelope });
            }
        }
    }

    /// Stores, sends and applies what a core says, perhaps crashing on the way.
    fn carry_out(&mut self, name: &BoxId) {
        for _ in 0..3 {
            let Some(core) = &mut self.boxes.get_mut(name).unwrap().core else {
                return;
            };
            let output = core.output();
            self.post(output.early);
            // Crashes between sending and storing strike most where something is to be stored.
            let storing = output.hard.is_some() || !output.append.is_empty();
            let chance = self.chaos.crash * if storing { 8.0 } else { 0.1 };
            if self.random.random_bool(chance) {
                self.crash(name);
                return;
            }
            let one = self.boxes.get_mut(name).unwrap();
            if let Some(hard) = output.hard {
                one.disk.hard = hard;
            }
            if let Some(snapshot) = output.install {
                one.applied = serde_json::from_str(&snapshot.data).unwrap();
                one.disk.entries.clear();
                one.disk.snapshot = Some(snapshot);
            }
            if let Some(first) = output.append.first() {
                let first = first.index;
                one.disk.entries.retain(|entry| entry.index < first);
                let last = output.append.last().unwrap().index;
                one.disk.entries.extend(output.append);
                one.core.as_mut().unwrap().stored(last);
            }
            self.post(output.late);
            self.apply(name, output.apply);
        }
        self.compact(name);
    }

    fn apply(&mut self, name: &BoxId, entries: Vec<Entry>) {
        for entry in entries {
            let first = self.history.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(first, &entry, "seed {}: entry differs on {name}", self.seed);
            if let Payload::Command(text) = &entry.payload {
                self.boxes.get_mut(name).unwrap().applied.push(text.clone());
            }
            let place = (name.clone(), entry.index, entry.term);
            let mine = |it: &(BoxId, Index, Term, String)| (it.0.clone(), it.1, it.2) == place;
            if let Some(found) = self.proposed.iter().position(mine) {
                let (_, index, _, command) = self.proposed.swap_remove(found);
                self.acknowledged.push((self.now, index, command));
            }
        }
    }

    fn compact(&mut self, name: &BoxId) {
        let one = self.boxes.get_mut(name).unwrap();
        let Some(core) = &mut one.core else {
            return;
        };
        if core.log().len() <= SNAPSHOT_LENGTH {
            return;
        }
        let data = serde_json::to_string(&one.applied).unwrap();
        let tail = Tail { entries: self.random.random_range(0..16), bytes: 1 << 20 };
        if let Some(snapshot) = core.compact(core.applied(), data, tail) {
            one.disk.entries.retain(|entry| entry.index > snapshot.index);
            one.disk.snapshot = Some(snapshot);
        }
    }

    /// Every box that thinks it leads is given a command: stale leaders too.
    fn propose(&mut self) {
        for (name, one) in &mut self.boxes {
            let Some(core) = one.core.as_mut().filter(|core| *core.role() == Role::Leader) else {
                continue;
            };
            self.next_command += 1;
            let command = format!("c{}", self.next_command);
            if let Ok((index, term)) = core.propose(self.now, command.clone()) {
                self.proposed.push((name.clone(), index, term, command));
            }
        }
    }

    fn go_wrong(&mut self) {
        let names: Vec<_> = self.boxes.keys().cloned().collect();
        if self.chaos.crash > 0.0 && self.random.random_bool(self.chaos.crash * names.len() as f64)
        {
            let name = names.choose(&mut self.random).unwrap().clone();
            self.crash(&name);
        }
        if self.chaos.part > 0.0 && self.random.random_bool(self.chaos.part) {
            self.part(&names);
        }
        if self.chaos.lose_disk > 0.0
            && self.replacing.is_none()
            && self.random.random_bool(self.chaos.lose_disk * names.len() as f64)
        {
            self.lose_disk(&names);
        }
        if self.chaos.pause > 0.0 && self.clocks.random_bool(self.chaos.pause * names.len() as f64)
        {
            let name = names.choose(&mut self.clocks).unwrap();
            let until = self.now + self.clocks.random_range(100..2_500);
            self.boxes.get_mut(name).unwrap().paused_until = until;
        }
    }

    fn crash(&mut self, name: &BoxId) {
        let short = self.random.random_bool(0.5);
        let wake_at = self.now + self.random.random_range(1..if short { 60 } else { 1_500 });
        let one = self.boxes.get_mut(name).unwrap();
        one.core = None;
        one.wake_at = wake_at;
        self.proposed.retain(|(owner, ..)| owner != name);
    }

    /// Cuts some boxes off, one way or both, or ends the last cut.
    fn part(&mut self, names: &[BoxId]) {
        self.cut.clear();
        if self.random.random_bool(0.4) {
            return;
        }
        let away: BTreeSet<_> =
            names.iter().filter(|_| self.random.random_bool(0.4)).cloned().collect();
        let one_way = self.random.random_bool(0.3);
        for a in &away {
            for b in names.iter().filter(|name| !away.contains(*name)) {
                self.cut.insert((a.clone(), b.clone()));
                if !one_way {
                    self.cut.insert((b.clone(), a.clone()));
                }
            }
        }
    }

    fn lose_disk(&mut self, names: &[BoxId]) {
        let name = names.choose(&mut self.random).unwrap().clone();
        self.crash(&name);
        self.next_life += 1;
        let one = self.boxes.get_mut(&name).unwrap();
        one.disk = Stored::default();
        one.life = Incarnation(self.next_life);
        self.replacing = Some(name);
    }

    /// What an operator does about a lost disk, one change of members at a time.
    fn replace_disk(&mut self) {
        let Some(name) = self.replacing.clone() else {
            return;
        };
        let life = self.boxes[&name].life;
        let leads = |core: &&mut Core| *core.role() == Role::Leader;
        let cores = self.boxes.values_mut().filter_map(|one| one.core.as_mut());
        let Some(core) = cores.filter(leads).max_by_key(|core| core.term()) else {
            return;
        };
        let members = core.members().clone();
        let (_, since) = core.log().members();
        if members.voters.get(&name) == Some(&life) {
            if core.commit() >= since {
                self.replacing = None;
            }
            return;
        }
        let change = match members.incarnation(&name) {
            Some(held) if held != life => MemberChange::Remove(name),
            Some(_) => MemberChange::Promote(name),
            None => MemberChange::AddLearner(name, life),
        };
        let _ = core.change_members(self.now, &change);
    }

    fn check(&mut self) {
        for (name, one) in &self.boxes {
            let Some(core) = one.core.as_ref().filter(|_| one.paused_until <= self.now) else {
                continue;
            };
            if *core.role() == Role::Leader {
                let first = self.leaders.entry(core.term()).or_insert_with(|| name.clone());
                assert_eq!(first, name, "seed {}: two leaders in {}", self.seed, core.term());
            }
            // What was acknowledged before the time a box calls itself fresh at, it has.
            let fresh = core.fresh().and_then(|at| one.world_time(at));
            // A replica is as fresh as what it was sent, and a leader never fresher than now.
            let last = if *core.role() == Role::Leader { Some(self.now) } else { one.last_sent };
            assert!(
                fresh <= last,
                "seed {}: {name} claims to be fresh at {fresh:?}, and was last sent something at {last:?}",
                self.seed,
            );
            let reads = core.may_read().then_some(self.now);
            for (claim, at) in [("fresh", fresh), ("may read", reads)] {
                let Some(at) = at else { continue };
                let known = self.acknowledged.iter().filter(|(when, ..)| *when < at);
                let newest = known.map(|(_, index, _)| *index).max().unwrap_or_default();
                assert!(
                    core.commit() >= newest,
                    "seed {}: {name} claims {claim} at {at} with {} and lacks {newest}",
                    self.seed,
                    core.commit(),
                );
            }
        }
    }
}

#[allow(dead_code, reason = "only the tests of membership use it")]
#[path = "replacing.rs"]
pub mod replacing;
