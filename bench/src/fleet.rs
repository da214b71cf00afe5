//! A model of the teams' limits over a whole fleet, in virtual time: one leader with a bounded processor and
//! a queue, hundreds to thousands of boxes, and requests of many teams, each box and team drawn by chance.
//!
//! Boxes and leader run the product's own code ([`Allowances`], [`TokenBucket`], [`intervals`]). It models
//! decisions: no sockets, no consensus. What a message costs the leader is an assumption, [`Costs`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use emberturn::decide::allowance::{Allowances, DemandReport, Grant};
use emberturn::decide::intervals;
use emberturn::decide::token_bucket::{RateLimit, ReserveNote, TeamReport, TokenBucket};
use emberturn::ids::{BoxId, Incarnation, TeamName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Units that requests claim: a plain one, and prompts of three sizes.
const SIZES: [f64; 4] = [200.0, 900.0, 2_400.0, 12_000.0];

/// How long a request waits for its allowance at most, in seconds.
const PATIENCE: f64 = 0.15;

/// Seconds of a message's way.
const WAY_TIME: f64 = 0.001;

/// Seconds after which a box takes a demand to be lost.
const LOST_TIME: f64 = 0.4;

/// Seconds between two looks at the buckets.
const LOOK_TIME: f64 = 0.1;

/// What messages cost the leader, in seconds of a whole core.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// A heartbeat with its reply.
    pub heartbeat: f64,
    /// A demand with its reply.
    pub demand: f64,
    /// The part of a core that the leader has.
    pub share: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self { heartbeat: 130e-6, demand: 70e-6, share: 0.6 }
    }
}

/// A fleet, and what happens to it.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Boxes.
    pub boxes: u32,
    /// Teams.
    pub teams: u32,
    /// Requests a second at each box.
    pub rate: f64,
    /// A team's limit, as a multiple of what its requests claim on the mean.
    pub ample: f64,
    /// From when until when no leader is there, in seconds.
    pub without_leader: Option<(f64, f64)>,
    /// Seconds in all.
    pub length: f64,
    /// What messages cost the leader.
    pub costs: Costs,
}

/// What became of it, from [`Fleet::measured_from`] on.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Boxes.
    pub boxes: u32,
    /// Requests.
    pub requests: u32,
    /// Requests refused although their team was within its limit.
    pub refused: u32,
    /// Those of them that came more than 2 s after a leader was there again, or where none was lost.
    pub refused_late: u32,
    /// Messages to the leader a second.
    pub messages: f64,
    /// The part of a core that they took.
    pub processor: f64,
    /// The longest queue at the leader, in messages.
    pub queue: usize,
    /// Milliseconds that 99 in 100 requests waited for their allowance at most.
    pub wait: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Request,
    Heartbeat,
    Arrive { message: usize },
    Served,
    Reply { message: usize },
    GiveUp { message: usize },
    Look,
    Leave,
    Return,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    micros: u64,
    order: u64,
    place: usize,
    what: What,
}

struct Message {
    place: usize,
    report: DemandReport,
    is_heartbeat: bool,
    reply: Option<BTreeMap<TeamName, Grant>>,
    closed: bool,
}

struct Waiting {
    team: usize,
    cost: f64,
    since: f64,
}

struct Entry {
    id: BoxId,
    allowances: Allowances,
    waiting: Vec<Waiting>,
    failed: u32,
}

struct Model {
    fleet: Fleet,
    rng: SmallRng,
    base: Instant,
    now: f64,
    order: u64,
    events: BinaryHeap<Reverse<Event>>,
    names: Vec<TeamName>,
    limit: RateLimit,
    boxes: Vec<Entry>,
    messages: Vec<Message>,
    queue: VecDeque<usize>,
    busy: bool,
    leads: bool,
    returned: f64,
    buckets: BTreeMap<TeamName, TokenBucket>,
    waits: Vec<f64>,
    outcome: Outcome,
    spent: f64,
}

impl Fleet {
    /// The seconds from which on figures count: boxes have started by then.
    pub fn measured_from(&self) -> f64 {
        3.0
    }

    /// Plays it.
    pub fn play(self, seed: u64) -> Outcome {
        let mut model = Model::new(self, seed);
        model.begin();
        while let Some(Reverse(event)) = model.events.pop() {
            let now = event.micros as f64 / 1e6;
            if now > self.length {
                break;
            }
            model.now = now;
            model.step(event);
        }
        model.finish()
    }
}

impl Model {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let base = Instant::now();
        let names: Vec<TeamName> =
            (0..fleet.teams).map(|team| format!("team-{team}").parse().expect("a name")).collect();
        let mean = SIZES.iter().sum::<f64>() / SIZES.len() as f64;
        let rate = f64::from(fleet.boxes) * fleet.rate * mean / f64::from(fleet.teams);
        // As with the least limit that operators give: one long request fits any burst.
        let rate = (fleet.ample * rate).max(36_000.0);
        let limit = RateLimit { rate, burst: 3.0 * rate };
        let new = |place: u32| {
            let mut allowances = Allowances::new();
            allowances.set_limited_teams(names.iter(), base);
            let id = format!("box-{place}").parse().expect("a name");
            Entry { id, allowances, waiting: Vec::new(), failed: 0 }
        };
        let boxes = (0..fleet.boxes).map(new).collect();
        Self {
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            base,
            now: 0.0,
            order: 0,
            events: BinaryHeap::new(),
            names,
            limit,
            boxes,
            messages: Vec::new(),
            queue: VecDeque::new(),
            busy: false,
            leads: true,
            returned: 0.0,
            buckets: BTreeMap::new(),
            waits: Vec::new(),
            outcome: Outcome { boxes: fleet.boxes, ..Outcome::default() },
            spent: 0.0,
        }
    }

    fn begin(&mut self) {
        for place in 0..self.boxes.len() {
            let first = self.rng.random_range(0.0..0.4);
            self.after(first, place, What::Heartbeat);
            let first = 1.0 + self.gap();
            self.after(first, place, What::Request);
        }
        self.after(LOOK_TIME, 0, What::Look);
        if let Some((from, until)) = self.fleet.without_leader {
            self.after(from, 0, What::Leave);
            self.after(until, 0, What::Return);
        }
    }

    fn step(&mut self, event: Event) {
        let place = event.place;
        match event.what {
            What::Request => {
                let gap = self.gap();
                self.after(gap, place, What::Request);
                let team = self.rng.random_range(0..self.names.len());
                let cost = SIZES[self.rng.random_range(0..SIZES.len())];
                self.claim(place, Waiting { team, cost, since: self.now });
            }
            What::Heartbeat => self.heartbeat(place),
            What::Arrive { message } => self.arrive(message),
            What::Served => self.serve_next(),
            What::Reply { message } => self.take_reply(message),
            What::GiveUp { message } => self.give_up(message),
            What::Look => self.look(),
            What::Leave => {
                self.leads = false;
                self.buckets.clear();
                self.queue.clear();
            }
            What::Return => {
                self.leads = true;
                self.returned = self.now;
            }
        }
    }

    fn after(&mut self, seconds: f64, place: usize, what: What) {
        self.order += 1;
        let micros = ((self.now + seconds) * 1e6) as u64;
        self.events.push(Reverse(Event { micros, order: self.order, place, what }));
    }

    /// Seconds until a box's next request.
    fn gap(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / self.fleet.rate
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn is_measured(&self) -> bool {
        self.now >= self.fleet.measured_from()
    }

    /// A request claims what it costs, for the first time or once something was heard.
    fn claim(&mut self, place: usize, waiting: Waiting) {
        let now = self.instant();
        let team = &self.names[waiting.team];
        let patient = self.now < waiting.since + PATIENCE;
        let entry = &mut self.boxes[place];
        if entry.allowances.is_pending(team) && patient {
            entry.waiting.push(waiting);
            return;
        }
        match entry.allowances.claim(team, waiting.cost, now) {
            Ok(()) => self.end(&waiting, false),
            Err(short) if short.ask_leader && patient => {
                entry.waiting.push(waiting);
                self.demand(place);
            }
            Err(_) => {
                entry.allowances.record_refusal(team, waiting.cost);
                self.end(&waiting, true);
            }
        }
    }

    fn end(&mut self, waiting: &Waiting, refused: bool) {
        if !self.is_measured() {
            return;
        }
        self.outcome.requests += 1;
        self.waits.push(self.now - waiting.since);
        if refused {
            self.outcome.refused += 1;
            let lost = self.fleet.without_leader;
            if lost.is_none_or(|(from, until)| !(from..until + 2.0).contains(&self.now)) {
                self.outcome.refused_late += 1;
            }
        }
    }

    fn demand(&mut self, place: usize) {
        let now = self.instant();
        if let Some(report) = self.boxes[place].allowances.next_demand(now) {
            let message = self.send(place, report, false);
            self.after(LOST_TIME, place, What::GiveUp { message });
        }
    }

    fn heartbeat(&mut self, place: usize) {
        let now = self.instant();
        let boxes = self.fleet.boxes;
        if !self.leads {
            let failed = self.boxes[place].failed;
            self.boxes[place].failed += 1;
            let pause = intervals::retry_delay(boxes, failed).as_secs_f64();
            return self.after(pause, place, What::Heartbeat);
        }
        self.boxes[place].failed = 0;
        let interval = intervals::heartbeat_interval(boxes);
        let entry = &mut self.boxes[place];
        entry.allowances.set_heartbeat_interval(interval);
        let report = entry.allowances.heartbeat_report(now);
        self.send(place, report, true);
        let jitter = self.rng.random_range(0.85..1.15);
        self.after(interval.as_secs_f64() * jitter, place, What::Heartbeat);
    }

    fn send(&mut self, place: usize, report: DemandReport, is_heartbeat: bool) -> usize {
        let message = self.messages.len();
        self.messages.push(Message { place, report, is_heartbeat, reply: None, closed: false });
        self.after(WAY_TIME, place, What::Arrive { message });
        message
    }

    /// A message reaches the leader, if there is one, and waits for its processor.
    fn arrive(&mut self, message: usize) {
        if !self.leads {
            return;
        }
        self.queue.push_back(message);
        if self.is_measured() {
            self.outcome.queue = self.outcome.queue.max(self.queue.len());
        }
        if !self.busy {
            self.serve_next();
        }
    }

    fn serve_next(&mut self) {
        let Some(message) = self.queue.pop_front() else {
            self.busy = false;
            return;
        };
        self.busy = true;
        let costs = self.fleet.costs;
        let cost = if self.messages[message].is_heartbeat { costs.heartbeat } else { costs.demand };
        if self.is_measured() {
            self.spent += cost;
            self.outcome.messages += 1.0;
        }
        let grants = self.grant(message);
        self.messages[message].reply = Some(grants);
        let place = self.messages[message].place;
        self.after(cost / costs.share + WAY_TIME, place, What::Reply { message });
        self.after(cost / costs.share, 0, What::Served);
    }

    fn grant(&mut self, message: usize) -> BTreeMap<TeamName, Grant> {
        let Message { place, report, .. } = &self.messages[message];
        let (id, now, turn) = (&self.boxes[*place].id, self.now, report.seq);
        let mut grants = BTreeMap::new();
        for (name, demand) in &report.teams {
            let new = || TokenBucket::new(self.returned);
            let bucket = self.buckets.entry(name.clone()).or_insert_with(new);
            let told = TeamReport { incarnation: Incarnation(1), seq: turn, demand: *demand };
            let grant = bucket.handle_report(now, self.limit, ReserveNote::Intact, 0, id, told);
            grants.extend(grant.map(|grant| (name.clone(), grant)));
        }
        grants
    }

    fn take_reply(&mut self, message: usize) {
        let now = self.instant();
        let held = &mut self.messages[message];
        let (place, grants) = (held.place, held.reply.take());
        if let Some(grants) = grants.filter(|_| !held.closed) {
            held.closed = true;
            self.boxes[place].allowances.apply_grants(&held.report, &grants, now);
        }
        self.wake(place);
    }

    fn give_up(&mut self, message: usize) {
        let held = &mut self.messages[message];
        if !held.closed {
            held.closed = true;
            let place = held.place;
            self.boxes[place].allowances.clear_pending(&held.report);
            self.wake(place);
        }
    }

    /// All requests that wait at a box try again.
    fn wake(&mut self, place: usize) {
        for waiting in std::mem::take(&mut self.boxes[place].waiting) {
            self.claim(place, waiting);
        }
    }

    fn look(&mut self) {
        for bucket in self.buckets.values_mut().filter(|_| self.leads) {
            bucket.tick(self.now, self.limit, ReserveNote::Intact, 0);
        }
        // Those whose patience has ended are refused, whatever they wait for.
        for place in 0..self.boxes.len() {
            self.wake(place);
        }
        self.after(LOOK_TIME, 0, What::Look);
    }

    fn finish(mut self) -> Outcome {
        let seconds = self.fleet.length - self.fleet.measured_from();
        self.outcome.messages /= seconds;
        self.outcome.processor = self.spent / seconds;
        self.waits.sort_by(f64::total_cmp);
        let place = self.waits.len() * 99 / 100;
        self.outcome.wait = self.waits.get(place).map_or(0.0, |wait| wait * 1e3);
        self.outcome
    }
}
