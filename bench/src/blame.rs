//! Which segment of prompts is blamed for crashes of servers: a model of a fleet in virtual time, with the decisions of
//! [`emberturn::decide::quarantine`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::ends::{CrashReport, CrashedPrompt};
use emberturn::decide::quarantine::{BoxQuarantine, FleetQuarantine};
use emberturn::ids::{Fingerprint, SegmentKey, Suspect};
use emberturn::units::{Millis, UnixMillis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::report::Table;

/// Seeds of each scenario.
const SEEDS: u64 = 40;

const STEP: Duration = Duration::from_millis(5);

/// Length of a play in steps, and when the crashes begin.
const STEPS: u32 = 4_800;
const BEGIN: u32 = 1_200;

/// Time from a prompt's arrival at a server to its first event.
const START_TIME: Duration = Duration::from_millis(150);

/// How long a server that has crashed is gone.
const DOWN_TIME: Duration = Duration::from_secs(4);

const BEAT_STEPS: u32 = 80;
const URGENT_STEPS: u32 = 12;

/// The poison segment, and the first segments and subjects of sound prompts.
const POISON: u64 = 0xbad;
const FIRST: u64 = 0x100;
const FIRST_COUNT: u64 = 3;
const SUBJECT: u64 = 0x1_000;
const SUBJECTS: f64 = 200.0;

/// A fleet and what happens in it.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    boxes: usize,
    servers: usize,
    /// Prompts per second, and poison ones among them.
    rate: f64,
    poison_rate: f64,
    /// Share of the starts of poison prompts that crash the server.
    harm: f64,
    /// Servers that crash by themselves at the same moment, every two seconds.
    outage: usize,
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "each start",
        boxes: 9,
        servers: 18,
        rate: 110.0,
        poison_rate: 3.0,
        harm: 1.0,
        outage: 0,
    },
    Scenario {
        name: "every other",
        boxes: 9,
        servers: 18,
        rate: 110.0,
        poison_rate: 3.0,
        harm: 0.5,
        outage: 0,
    },
    Scenario {
        name: "one in three",
        boxes: 9,
        servers: 18,
        rate: 110.0,
        poison_rate: 3.0,
        harm: 0.33,
        outage: 0,
    },
    Scenario {
        name: "outages beside",
        boxes: 9,
        servers: 18,
        rate: 110.0,
        poison_rate: 3.0,
        harm: 1.0,
        outage: 3,
    },
    Scenario {
        name: "outages alone",
        boxes: 9,
        servers: 18,
        rate: 110.0,
        poison_rate: 0.0,
        harm: 0.0,
        outage: 5,
    },
    Scenario {
        name: "a large fleet",
        boxes: 480,
        servers: 300,
        rate: 300.0,
        poison_rate: 3.0,
        harm: 1.0,
        outage: 0,
    },
];

/// A prompt on a server that has not begun to answer.
#[derive(Debug, Clone)]
struct Prompt {
    own: Fingerprint,
    place: usize,
    segments: [u64; 2],
    starts_at: Instant,
    may_repeat: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: u32,
    /// Crashes under the poison segment until all boxes hold it, and the time since the first.
    crashes_until_held: Option<(u32, f64)>,
    wrongly_held: usize,
    sound: u32,
    begun: u32,
}

struct Play {
    scenario: Scenario,
    rng: StdRng,
    now: Instant,
    boxes: Vec<BoxQuarantine>,
    due: Vec<u32>,
    leader: FleetQuarantine,
    version: u64,
    waiting: Vec<Vec<Prompt>>,
    up_at: Vec<Instant>,
    lives: Vec<u32>,
    first_crash: Option<Instant>,
    outcome: Outcome,
}

impl Play {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut leader = FleetQuarantine::default();
        leader.apply_replicated(Arc::default());
        Self {
            due: (0..scenario.boxes).map(|_| rng.random_range(0..BEAT_STEPS)).collect(),
            boxes: (0..scenario.boxes).map(|_| BoxQuarantine::default()).collect(),
            waiting: vec![Vec::new(); scenario.servers],
            up_at: vec![now; scenario.servers],
            lives: vec![0; scenario.servers],
            first_crash: None,
            outcome: Outcome::default(),
            version: 0,
            scenario,
            rng,
            now,
            leader,
        }
    }

    fn run(mut self) -> Outcome {
        for step in 0..STEPS {
            self.now += STEP;
            self.arrive(step);
            self.start(step);
            if self.scenario.outage > 0 && step >= BEGIN && step % 400 == 0 {
                for _ in 0..self.scenario.outage {
                    let server = self.rng.random_range(0..self.scenario.servers);
                    self.crash(server, step);
                }
            }
            self.beat(step);
        }
        let held = self.leader.pending_change().unwrap_or_default().held;
        let sound = |it: &&Suspect| it.request().is_none() && !it.involves(&key(POISON));
        self.outcome.wrongly_held = held.keys().filter(sound).count();
        self.outcome
    }

    fn arrive(&mut self, step: u32) {
        let seconds = STEP.as_secs_f64();
        let poison = if step >= BEGIN { self.scenario.poison_rate } else { 0.0 };
        if self.rng.random_bool(poison * seconds) {
            self.offer(POISON, step);
        }
        let mut expected = self.scenario.rate * seconds;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let subject = SUBJECT + (SUBJECTS * self.rng.random::<f64>().powi(3)) as u64;
                self.offer(subject, step);
            }
            expected -= 1.0;
        }
    }

    fn offer(&mut self, second: u64, step: u32) {
        let mut own = Fingerprint::default();
        self.rng.fill(&mut own.0);
        let prompt = Prompt {
            own,
            place: self.rng.random_range(0..self.scenario.boxes),
            segments: [FIRST + self.rng.random_range(0..FIRST_COUNT), second],
            starts_at: self.now + START_TIME,
            may_repeat: true,
        };
        let is_counted = second != POISON && step >= BEGIN;
        self.outcome.sound += u32::from(is_counted);
        let is_sent = self.send(prompt);
        self.outcome.begun += u32::from(is_counted && is_sent);
    }

    fn send(&mut self, prompt: Prompt) -> bool {
        let segments = prompt.segments.map(key);
        let is_held = self.boxes[prompt.place].prompt_remaining(&segments, self.now).is_some();
        let up: Vec<_> = (0..self.up_at.len()).filter(|it| self.up_at[*it] <= self.now).collect();
        if is_held || up.is_empty() {
            return false;
        }
        let server = up[self.rng.random_range(0..up.len())];
        self.waiting[server].push(prompt);
        true
    }

    /// Has the prompts that are due begin to be answered.
    fn start(&mut self, step: u32) {
        for server in 0..self.scenario.servers {
            let now = self.now;
            let waiting = std::mem::take(&mut self.waiting[server]);
            let (due, waiting): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|it| it.starts_at <= now);
            self.waiting[server] = waiting;
            let harm = self.scenario.harm;
            let crashes =
                due.iter().any(|it| it.segments[1] == POISON && self.rng.random_bool(harm));
            if crashes {
                self.waiting[server].extend(due);
                self.crash(server, step);
                continue;
            }
            for prompt in due {
                for id in prompt.segments {
                    self.boxes[prompt.place].record_survival(&key(id), now);
                }
            }
        }
    }

    fn crash(&mut self, server: usize, step: u32) {
        let broken = std::mem::take(&mut self.waiting[server]);
        self.up_at[server] = self.now + DOWN_TIME;
        self.lives[server] += 1;
        self.outcome.crashes += 1;
        let has_poison = broken.iter().any(|it| it.segments[1] == POISON);
        if has_poison {
            self.first_crash.get_or_insert(self.now);
        }
        let mut by_box: BTreeMap<usize, Vec<CrashedPrompt>> = BTreeMap::new();
        for Prompt { own, place, segments, .. } in &broken {
            let segments = segments.map(key).to_vec();
            by_box.entry(*place).or_default().push(CrashedPrompt { request: Some(*own), segments });
        }
        for (place, prompts) in by_box {
            let report = CrashReport {
                server: format!("i-{server}-{}", self.lives[server]).parse().expect("a valid name"),
                data_centre: format!("dc-{}", server % 4).parse().expect("a valid name"),
                prompts,
                age: Millis(0),
            };
            self.boxes[place].record_crash(report, self.now);
            self.due[place] = self.due[place].min(step + URGENT_STEPS);
        }
        for prompt in broken.into_iter().filter(|it| it.may_repeat) {
            let is_suspected =
                |id: &u64| self.boxes[prompt.place].is_suspected(&key(*id), self.now);
            if !prompt.segments.iter().any(is_suspected) {
                let starts_at = self.now + START_TIME;
                self.send(Prompt { starts_at, may_repeat: false, ..prompt });
            }
        }
    }

    fn beat(&mut self, step: u32) {
        for place in 0..self.scenario.boxes {
            if self.due[place] > step {
                continue;
            }
            self.due[place] = step + BEAT_STEPS;
            self.version += 1;
            let own = &mut self.boxes[place];
            let report = own.report(self.now);
            self.leader.apply_report(report.clone(), self.now);
            let unix = UnixMillis(u64::from(step) * STEP.as_millis() as u64);
            self.leader.evaluate(self.now, unix);
            let update = self.leader.update_for(report.known_version, self.version, unix);
            let (_, is_urgent) = own.apply_reply(&report, update, false, self.now);
            if is_urgent {
                self.due[place] = step + URGENT_STEPS;
            }
        }
        let Some(first) = self.first_crash.filter(|_| self.outcome.crashes_until_held.is_none())
        else {
            return;
        };
        let is_held = |own: &BoxQuarantine| {
            let poison = Suspect::Segment(key(POISON));
            own.remaining(&poison, self.now).is_some()
        };
        if self.boxes.iter().all(is_held) {
            let seconds = (self.now - first).as_secs_f64();
            self.outcome.crashes_until_held = Some((self.outcome.crashes, seconds));
        }
    }
}

fn key(id: u64) -> SegmentKey {
    SegmentKey { service: "svc".parse().expect("a valid name"), id }
}

/// Plays each scenario with the same seeds, and prints what became of it.
pub(crate) fn execute(json: bool) {
    let columns = [
        "scenario",
        "held in",
        "crashes until then",
        "most",
        "seconds",
        "crashes",
        "sound held",
        "sound begun",
    ];
    let mut table = Table::new(format!("Blame for crashes, {SEEDS} seeds"), &columns);
    for scenario in SCENARIOS {
        let outcomes: Vec<_> = (0..SEEDS).map(|seed| Play::new(scenario, seed).run()).collect();
        let held: Vec<_> = outcomes.iter().filter_map(|it| it.crashes_until_held).collect();
        let mean = |sum: f64, count: usize| format!("{:.2}", sum / count.max(1) as f64);
        let sum = |of: &dyn Fn(&Outcome) -> u32| f64::from(outcomes.iter().map(of).sum::<u32>());
        table.row(vec![
            scenario.name.into(),
            format!("{} of {SEEDS}", held.len()),
            mean(held.iter().map(|it| f64::from(it.0)).sum(), held.len()),
            held.iter().map(|it| it.0).max().unwrap_or(0).to_string(),
            mean(held.iter().map(|it| it.1).sum(), held.len()),
            mean(sum(&|it| it.crashes), outcomes.len()),
            outcomes.iter().map(|it| it.wrongly_held).sum::<usize>().to_string(),
            format!("{:.3}", sum(&|it| it.begun) / sum(&|it| it.sound)),
        ]);
    }
    table.print(json);
}
