//! Seeded days of prompts with a segment that crashes servers, wherever it stands in them: alone and in groups, in quiet
//! spells, beside outages, with lost heartbeats, restarts of boxes and changes of leader. Held against the two stated bounds: few such prompts reach servers, and sound ones are served.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::ends::{CrashReport, CrashedPrompt};
use emberturn::decide::intervals::crash_reply_wait;
use emberturn::decide::quarantine::{BoxQuarantine, FleetQuarantine, QuarantineReport};
use emberturn::ids::{Fingerprint, SegmentKey};
use emberturn::state::quarantine::QuarantinedSuspects;
use emberturn::units::{Millis, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Days for each test. `EMBERTURN_SEEDS` asks for more.
const SEEDS: u64 = 40;

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 5_000;

/// The step at which prompts with the poison segment begin to come.
const POISON_BEGIN: u32 = 1_800;

/// Time from a prompt's arrival at a server to its first event.
const START_TIME: Duration = Duration::from_millis(100);

/// How long a server that has crashed is gone.
const DOWN_TIME: Duration = Duration::from_secs(3);

const BEAT_STEPS: u32 = 40;
const URGENT_STEPS: u32 = 6;

/// Steps between the end of the wait for a reply and the next call.
const PAUSE_STEPS: u32 = 4;

/// Steps from a heartbeat that is lost to the next one, if servers crash meanwhile.
const SILENT_STEPS: u32 = 18;

/// The time in which boxes hear of each other.
const CONTACT: Duration = Duration::from_secs(3);

/// The crash from which on the bounds hold.
const BOUND_CRASH: usize = 5;

/// Prompts with the poison segment that may reach servers once that time has passed behind that crash.
const MAX_LATE_POISON: usize = 3;

/// Sound prompts, fewer of which say nothing.
const MIN_SOUND: u32 = 20;

/// What happens on a day.
#[derive(Debug, Clone)]
struct Day {
    boxes: usize,
    servers: usize,
    /// Sound prompts per second.
    rate: f64,
    /// Steps without sound prompts before and after the poison begins.
    quiet: (u32, u32),
    /// Prompts with the poison segment that come at once, and steps between two such groups.
    group: usize,
    period: u32,
    /// Servers that crash by themselves at one moment, every three seconds.
    outage: usize,
    /// The chance that a heartbeat or its reply is lost.
    loss: f64,
    /// Whether the first heartbeat that reports crashes is lost.
    is_first_lost: bool,
    /// Segments that all prompts share: one of the first ones, and a deeper one if there is any.
    firsts: Vec<u64>,
    deeper: Option<u64>,
    /// Segments of sound prompts, and the poison one that stands in their place.
    subjects: Vec<u64>,
    poison: u64,
    /// The place of that segment in the prompts.
    depth: usize,
    /// What restarts, and at which step.
    restarts: Vec<(u32, Restart)>,
}

/// What loses its memory. A box that is replaced by a new one counts as restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    Box(usize),
    AllBoxes,
    Leader,
}

impl Day {
    fn draw(rng: &mut SmallRng) -> Self {
        let mut ids: Vec<u64> = (0..30).map(|_| rng.random()).collect();
        let poison = ids.pop().unwrap();
        let deeper = ids.pop().filter(|_| rng.random_bool(0.3));
        let firsts = ids.split_off(ids.len() - rng.random_range(1..3));
        let quiet = match rng.random_range(0..3) {
            0 => (0, 0),
            1 => (1_200, 0),
            _ => (rng.random_range(300..1_500), rng.random_range(300..1_200)),
        };
        let boxes = rng.random_range(2..10);
        let rate = match rng.random_range(0..4) {
            0 => rng.random_range(0.0..5.0),
            _ => rng.random_range(10.0..80.0),
        };
        let restarts = (0..rng.random_range(0..5))
            .map(|_| {
                let restart = match rng.random_range(0..4) {
                    0 | 1 => Restart::Box(rng.random_range(0..boxes)),
                    2 => Restart::AllBoxes,
                    _ => Restart::Leader,
                };
                (rng.random_range(POISON_BEGIN / 2..STEPS), restart)
            })
            .collect();
        Self {
            depth: rng.random_range(0..2 + usize::from(deeper.is_some())),
            boxes,
            servers: rng.random_range(8..20),
            rate,
            restarts,
            quiet,
            group: rng.random_range(1..8),
            period: rng.random_range(50..400),
            outage: if rng.random_bool(0.25) { 3 } else { 0 },
            loss: if rng.random_bool(0.3) { 0.2 } else { 0.0 },
            is_first_lost: false,
            firsts,
            subjects: ids,
            poison,
            deeper,
        }
    }

    fn is_quiet(&self, step: u32) -> bool {
        step + self.quiet.0 >= POISON_BEGIN && step < POISON_BEGIN + self.quiet.1
    }
}

/// A prompt at a server that has not begun to answer it.
#[derive(Debug, Clone)]
struct Prompt {
    own: Fingerprint,
    place: usize,
    segments: Vec<u64>,
    starts_at: Instant,
}

struct Play {
    day: Day,
    rng: SmallRng,
    now: Instant,
    boxes: Vec<BoxQuarantine>,
    due: Vec<u32>,
    /// When each box sent a heartbeat that was lost, and how many in a row that reported crashes were.
    lost_at: Vec<Option<u32>>,
    lost_reports: Vec<u32>,
    /// Whether each box has had an answer of a leader, without which it serves nobody, and of the current one.
    is_ready: Vec<bool>,
    is_known: Vec<bool>,
    leader: FleetQuarantine,
    replicated: QuarantinedSuspects,
    version: u64,
    waiting: Vec<Vec<Prompt>>,
    up_at: Vec<Instant>,
    lives: u32,
    /// When servers crashed under the poison segment, and when prompts with it reached servers.
    crashes: Vec<Instant>,
    reached: Vec<Instant>,
    /// Sound prompts, each with whether it was let through.
    sound: Vec<(Instant, bool)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let day = Day::draw(&mut rng);
        Self::of_day(day, rng)
    }

    fn of_day(day: Day, mut rng: SmallRng) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let mut leader = FleetQuarantine::default();
        leader.apply_replicated(Arc::default());
        Self {
            due: (0..day.boxes).map(|_| rng.random_range(0..BEAT_STEPS)).collect(),
            boxes: (0..day.boxes).map(|_| BoxQuarantine::default()).collect(),
            lost_at: vec![None; day.boxes],
            lost_reports: vec![0; day.boxes],
            is_ready: vec![true; day.boxes],
            is_known: vec![true; day.boxes],
            replicated: QuarantinedSuspects::new(),
            waiting: vec![Vec::new(); day.servers],
            up_at: vec![now; day.servers],
            lives: 0,
            crashes: Vec::new(),
            reached: Vec::new(),
            sound: Vec::new(),
            version: 0,
            day,
            rng,
            now,
            leader,
        }
    }

    fn run(mut self) -> Self {
        for step in 0..STEPS {
            self.now += STEP;
            self.restart(step);
            if self.rng.random_bool(self.day.rate * STEP.as_secs_f64()) && !self.day.is_quiet(step)
            {
                let subject = self.day.subjects[self.rng.random_range(0..self.day.subjects.len())];
                if let Some(is_sent) = self.offer(subject) {
                    self.sound.push((self.now, is_sent));
                }
            }
            if step >= POISON_BEGIN && (step - POISON_BEGIN).is_multiple_of(self.day.period) {
                for _ in 0..self.day.group {
                    if self.offer(self.day.poison) == Some(true) {
                        self.reached.push(self.now);
                    }
                }
            }
            self.start(step);
            if self.day.outage > 0 && step >= POISON_BEGIN && step % 300 == 0 {
                for _ in 0..self.day.outage {
                    let server = self.rng.random_range(0..self.day.servers);
                    self.crash(server, step);
                }
            }
            self.beat(step);
        }
        self
    }

    fn restart(&mut self, step: u32) {
        for index in 0..self.day.restarts.len() {
            match self.day.restarts[index] {
                (at, Restart::Box(place)) if at == step => self.restart_box(place, step),
                (at, Restart::AllBoxes) if at == step => {
                    (0..self.day.boxes).for_each(|place| self.restart_box(place, step));
                }
                (at, Restart::Leader) if at == step => {
                    self.leader = FleetQuarantine::default();
                    self.leader.apply_replicated(Arc::new(self.replicated.clone()));
                    self.is_known.fill(false);
                }
                _ => (),
            }
        }
    }

    fn restart_box(&mut self, place: usize, step: u32) {
        self.boxes[place] = BoxQuarantine::default();
        (self.lost_at[place], self.lost_reports[place]) = (None, 0);
        self.is_ready[place] = false;
        self.due[place] = step + BEAT_STEPS;
        self.waiting.iter_mut().for_each(|it| it.retain(|prompt| prompt.place != place));
    }

    /// Sends a prompt to a server that is up, unless its box refuses it. `None` if the box does not serve.
    fn offer(&mut self, subject: u64) -> Option<bool> {
        let first = self.day.firsts[self.rng.random_range(0..self.day.firsts.len())];
        let mut segments: Vec<_> = [first].into_iter().chain(self.day.deeper).collect();
        segments.insert(self.day.depth, subject);
        let place = self.rng.random_range(0..self.day.boxes);
        if !self.is_ready[place] {
            return None;
        }
        let keys: Vec<_> = segments.iter().map(|id| key(*id)).collect();
        if self.boxes[place].prompt_remaining(&keys, self.now).is_some() {
            return Some(false);
        }
        let up: Vec<_> = (0..self.up_at.len()).filter(|it| self.up_at[*it] <= self.now).collect();
        if !up.is_empty() {
            let mut own = Fingerprint::default();
            self.rng.fill(&mut own.0);
            let server = up[self.rng.random_range(0..up.len())];
            let starts_at = self.now + START_TIME;
            self.waiting[server].push(Prompt { own, place, segments, starts_at });
        }
        Some(true)
    }

    /// Has the prompts that are due begin to be answered.
    fn start(&mut self, step: u32) {
        for server in 0..self.day.servers {
            let (now, poison) = (self.now, self.day.poison);
            let is_poison = |it: &Prompt| it.starts_at <= now && it.segments.contains(&poison);
            if self.waiting[server].iter().any(is_poison) {
                self.crashes.push(now);
                self.crash(server, step);
                continue;
            }
            let due = self.waiting[server].extract_if(.., |it| it.starts_at <= now);
            for prompt in due.collect::<Vec<_>>() {
                for id in prompt.segments {
                    self.boxes[prompt.place].record_survival(&key(id), now);
                }
            }
        }
    }

    fn crash(&mut self, server: usize, step: u32) {
        let broken = std::mem::take(&mut self.waiting[server]);
        self.up_at[server] = self.now + DOWN_TIME;
        self.lives += 1;
        let mut by_box: BTreeMap<usize, Vec<CrashedPrompt>> = BTreeMap::new();
        for Prompt { own, place, segments, .. } in broken {
            let segments = segments.into_iter().map(key).collect();
            by_box.entry(place).or_default().push(CrashedPrompt { request: Some(own), segments });
        }
        for (place, prompts) in by_box {
            let report = CrashReport {
                server: format!("i-{server}-{}", self.lives).parse().unwrap(),
                data_centre: format!("dc-{}", server % 4).parse().unwrap(),
                prompts,
                age: Millis(0),
            };
            self.boxes[place].record_crash(report, self.now);
            let earliest = self.lost_at[place].map_or(0, |at| at + SILENT_STEPS);
            self.due[place] = self.due[place].min((step + URGENT_STEPS).max(earliest));
        }
    }

    /// Whether a heartbeat or its reply is lost. If so, the box sends the next one once it has waited for the reply.
    fn is_lost(&mut self, place: usize, report: &QuarantineReport, step: u32) -> bool {
        let has_crashes = !report.crashes.is_empty();
        let is_first = self.day.is_first_lost && has_crashes;
        if !is_first && !self.rng.random_bool(self.day.loss) {
            return false;
        }
        self.day.is_first_lost &= !is_first;
        self.lost_at[place] = Some(step);
        if has_crashes {
            let wait = crash_reply_wait(self.lost_reports[place]);
            self.due[place] = step + steps(wait) + PAUSE_STEPS;
            self.lost_reports[place] += 1;
        }
        true
    }

    fn beat(&mut self, step: u32) {
        for place in 0..self.day.boxes {
            if self.due[place] > step {
                continue;
            }
            self.due[place] = step + BEAT_STEPS;
            let report = self.boxes[place].report(self.now);
            if self.is_lost(place, &report, step) {
                continue;
            }
            self.version += 1;
            self.leader.apply_report(report.clone(), self.now);
            let unix = UnixMillis(u64::from(step) * STEP.as_millis() as u64);
            self.leader.evaluate(self.now, unix);
            if let Some(change) = self.leader.pending_change() {
                self.replicated.retain(|suspect, _| !change.lifted.contains(suspect));
                self.replicated.extend(change.held);
                self.leader.apply_replicated(Arc::new(self.replicated.clone()));
            }
            let update = self.leader.update_for(report.known_version, self.version, unix);
            if self.is_lost(place, &report, step) {
                continue;
            }
            (self.lost_at[place], self.lost_reports[place]) = (None, 0);
            let lacks = !std::mem::replace(&mut self.is_known[place], true);
            self.is_ready[place] = true;
            let own = &mut self.boxes[place];
            let (_, is_urgent) = own.apply_reply(&report, update, lacks, self.now);
            if is_urgent {
                self.due[place] = step + URGENT_STEPS;
            }
        }
    }

    /// The crash from which on the bounds hold: the last one where there are fewer.
    fn bound_crash(&self) -> Option<Instant> {
        self.crashes.get(BOUND_CRASH - 1).or(self.crashes.last()).copied()
    }

    fn late_poison(&self) -> usize {
        let bound = self.crashes.get(BOUND_CRASH - 1);
        let is_late = |at: &&Instant| bound.is_some_and(|fifth| **at > *fifth + CONTACT);
        self.reached.iter().filter(is_late).count()
    }

    /// The share of sound prompts let through behind the crashes; `None` if they are too few.
    fn sound_share(&self) -> Option<f64> {
        let from = self.bound_crash()? + 2 * CONTACT;
        let asked = self.sound.iter().filter(|(at, _)| *at > from);
        let (sum, begun) =
            asked.fold((0, 0), |(sum, begun), (_, sent)| (sum + 1, begun + u32::from(*sent)));
        (sum >= MIN_SOUND).then(|| f64::from(begun) / f64::from(sum))
    }
}

fn steps(time: Duration) -> u32 {
    time.div_duration_f64(STEP).ceil() as u32
}

fn key(id: u64) -> SegmentKey {
    SegmentKey { service: "svc".parse().unwrap(), id }
}

fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("EMBERTURN_SEEDS").ok().and_then(|text| text.parse().ok());
    0..asked.unwrap_or(SEEDS)
}

/// Guards against engines that go on crashing: prompts with the segment come in groups, or boxes hear late of each other.
#[test]
fn few_prompts_with_a_poison_segment_reach_servers_after_the_fifth_crash() {
    let plays = seeds().map(|seed| (seed, Play::new(seed).run()));
    let broken: Vec<_> = plays
        .filter(|(_, play)| play.late_poison() > MAX_LATE_POISON)
        .map(|(seed, play)| format!("seed {seed}: {} late, {:?}", play.late_poison(), play.day))
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against evidence that is lost with a box whose report of crashes was lost on its way.
#[test]
fn crashes_are_reported_again_before_their_box_restarts() {
    let crash = POISON_BEGIN + steps(START_TIME);
    let mut rng = SmallRng::seed_from_u64(0);
    let day = Day {
        boxes: 1,
        servers: 40,
        rate: 30.0,
        quiet: (0, 0),
        group: BOUND_CRASH + 2,
        period: 336,
        outage: 0,
        loss: 0.0,
        is_first_lost: true,
        restarts: vec![(crash + 25, Restart::Box(0))],
        ..Day::draw(&mut rng)
    };
    let play = Play::of_day(day, rng).run();
    assert!(play.crashes.len() >= BOUND_CRASH);
    assert!(play.late_poison() <= MAX_LATE_POISON, "{} late, {:?}", play.late_poison(), play.day);
}

/// Guards against a segment of all prompts that is refused for the crashes of another one.
#[test]
fn sound_prompts_are_served_beside_a_poison_segment() {
    let plays = seeds().map(|seed| (seed, Play::new(seed).run()));
    let broken: Vec<_> = plays
        .filter(|(_, play)| play.sound_share().is_some_and(|share| share < 0.5))
        .map(|(seed, play)| {
            let (share, held) = (play.sound_share(), &play.replicated);
            format!("seed {seed}: {share:?} of them, held {held:?}, {:?}", play.day)
        })
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
