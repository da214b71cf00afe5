//! The limit that a server names, over all boxes, under cuts, restarts, changes of leader, lost and late messages: boxes
//! and leader run the product's own code, driven by one seed.

use std::time::{Duration, Instant};

use emberturn::decide::allowance::LEASE_DURATION;
use emberturn::decide::limit_leases::{LimitLeases, ReportOrigin};
use emberturn::decide::throttle::{LimitLease, LimitNotice, LimitReport, Throttles};
use emberturn::ids::{BoxId, Incarnation, ServerKey, ServiceName};
use emberturn::units::RequestRate;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const STEP: f64 = 0.02;
const REPORT_TIME: f64 = 0.4;
/// When a box gives up on a report without an answer.
const GIVE_UP: f64 = 0.4;
/// What the users allow in so many seconds: one and a half times the limit, and five requests.
const WINDOW: f64 = 4.0;
/// A box counts as told from so long after its first answer on.
const TOLD_AFTER: f64 = 0.5;

/// One way a day can go.
#[derive(Debug, Clone)]
struct Day {
    boxes: usize,
    /// The limits that the server names, each for a part of the day.
    limits: Vec<f64>,
    /// Requests a second that callers bring each box.
    demand: f64,
    /// Chances, for each second: that a box is cut off or restarts, that the leader changes.
    cut: f64,
    restart: f64,
    change: f64,
    /// Chances that a message is lost, or comes up to seconds late.
    lost: f64,
    late: f64,
    seconds: f64,
}

fn day() -> impl Strategy<Value = Day> {
    let limit = prop_oneof![Just(0.0), 0.1..2.0, 2.0..20.0];
    let trouble = || prop_oneof![Just(0.0), 0.0..0.3];
    (
        (1_usize..14, prop::collection::vec(limit, 1..3), 0.2..20.0),
        (trouble(), trouble(), trouble(), trouble(), trouble()),
    )
        .prop_map(|((boxes, limits, demand), (cut, restart, change, lost, late))| Day {
            boxes,
            limits,
            demand,
            cut,
            restart,
            change,
            lost,
            late,
            seconds: 40.0,
        })
}

/// A report on its way to the leader.
struct Message {
    at: f64,
    place: usize,
    life: Incarnation,
    turn: u64,
    sent: f64,
    /// The leader's clock when it was sent, as its box knows it: the term, and the time in that.
    clock: Option<(u64, f64)>,
    limits: Vec<LimitReport>,
}

struct TestBox {
    id: BoxId,
    life: Incarnation,
    turn: u64,
    throttles: Throttles,
    /// The limit in force that an answer told it, and when one did first.
    told: Option<(f64, f64)>,
    cut_until: f64,
    next: f64,
    reply: Option<Answer>,
    /// The leader's clock by its last reply, and when that came.
    clock: Option<(u64, f64, f64)>,
}

/// The leader's reply on its way back.
struct Answer {
    at: f64,
    sent: f64,
    clock: (u64, f64),
    leases: Vec<LimitLease>,
}

struct World {
    day: Day,
    rng: SmallRng,
    base: Instant,
    server: ServerKey,
    service: ServiceName,
    boxes: Vec<TestBox>,
    messages: Vec<Message>,
    leases: LimitLeases,
    /// The term, and when it began.
    term: (u64, f64),
    /// Until when the leader's predecessors may have leases in force.
    taken_over: f64,
    /// When requests of boxes that were told arrived.
    arrived: Vec<f64>,
    served: usize,
}

impl World {
    fn new(day: &Day, seed: u64) -> Self {
        let boxes = (0..day.boxes).map(|place| TestBox {
            id: format!("box-{place}").parse().unwrap(),
            life: Incarnation(1),
            turn: 0,
            throttles: Throttles::default(),
            told: None,
            cut_until: 0.0,
            next: 0.0,
            reply: None,
            clock: None,
        });
        Self {
            boxes: boxes.collect(),
            day: day.clone(),
            rng: SmallRng::seed_from_u64(seed),
            base: Instant::now(),
            server: ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) },
            service: "svc".parse().unwrap(),
            messages: Vec::new(),
            leases: LimitLeases::default(),
            term: (1, 0.0),
            taken_over: 0.0,
            arrived: Vec::new(),
            served: 0,
        }
    }

    fn moment(&self, at: f64) -> Instant {
        self.base + Duration::from_secs_f64(at)
    }

    fn chance(&mut self, a_second: f64) -> bool {
        self.rng.random::<f64>() < a_second * STEP
    }

    fn limit(&self, at: f64) -> f64 {
        let part = at / self.day.seconds * self.day.limits.len() as f64;
        self.day.limits[(part as usize).min(self.day.limits.len() - 1)]
    }

    /// Plays the day; the requests of told boxes in each window are within what is allowed.
    fn play(&mut self) -> Result<(), String> {
        let mut at = 0.0;
        while at < self.day.seconds {
            if self.chance(self.day.change) {
                self.leases = LimitLeases::default();
                self.term = (self.term.0 + 1, at);
                self.taken_over = at + LEASE_DURATION.as_secs_f64();
            }
            for place in 0..self.boxes.len() {
                self.trouble(place, at);
                self.report(place, at);
                self.take_reply(place, at);
                self.send(place, at);
            }
            self.lead(at);
            self.check(at)?;
            at += STEP;
        }
        Ok(())
    }

    fn trouble(&mut self, place: usize, at: f64) {
        if self.chance(self.day.cut) {
            self.boxes[place].cut_until = at + self.rng.random_range(0.5..12.0);
        }
        if self.chance(self.day.restart) {
            let it = &mut self.boxes[place];
            it.life = it.life.next();
            (it.turn, it.told, it.reply, it.clock) = (0, None, None, None);
            it.throttles = Throttles::default();
        }
    }

    fn report(&mut self, place: usize, at: f64) {
        let now = self.moment(at);
        let (lost, late) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let it = &mut self.boxes[place];
        if at < it.next || it.throttles.is_empty() {
            return;
        }
        it.next = at + REPORT_TIME;
        it.turn += 1;
        let limits = it.throttles.report(now);
        if at < it.cut_until || lost < self.day.lost {
            return;
        }
        let (life, turn) = (it.life, it.turn);
        let clock = it.clock.map(|(term, time, came)| (term, time + at - came));
        let delay = if late < self.day.late { self.rng.random_range(0.0..7.0) } else { 0.0 };
        let message =
            Message { at: at + delay + 0.002, place, life, turn, sent: at, clock, limits };
        self.messages.push(message);
    }

    fn lead(&mut self, at: f64) {
        let now = self.moment(at);
        let (due, rest): (Vec<_>, Vec<_>) = self.messages.drain(..).partition(|it| it.at <= at);
        self.messages = rest;
        for Message { place, life, turn, sent, clock, limits, .. } in due {
            let is_taking_over = at < self.taken_over;
            let id = self.boxes[place].id.clone();
            let dated = clock.filter(|(term, _)| *term == self.term.0);
            let dated = dated.map(|(_, time)| self.moment(self.term.1 + time));
            let origin = ReportOrigin { box_id: &id, incarnation: life, seq: turn, sent_at: dated };
            let leases = self.leases.handle_reports(origin, &limits, is_taking_over, now);
            let it = &mut self.boxes[place];
            let is_lost = self.rng.random::<f64>() < self.day.lost;
            if !is_lost && at >= it.cut_until && it.life == life && at < sent + GIVE_UP {
                let clock = (self.term.0, at - self.term.1);
                it.reply = Some(Answer { at: at + 0.002, sent, clock, leases });
            }
        }
    }

    fn take_reply(&mut self, place: usize, at: f64) {
        let now = self.moment(at);
        let base = self.base;
        let it = &mut self.boxes[place];
        if let Some(reply) = it.reply.take_if(|reply| reply.at <= at) {
            let sent = base + Duration::from_secs_f64(reply.sent);
            it.clock = Some((reply.clock.0, reply.clock.1, at));
            it.throttles.apply_leases(&reply.leases, sent, now);
        }
    }

    fn send(&mut self, place: usize, at: f64) {
        let now = self.moment(at);
        if !self.chance(self.day.demand) {
            return;
        }
        let limit = RequestRate(self.limit(at));
        let it = &mut self.boxes[place];
        it.throttles.states(&self.service, now);
        if !it.throttles.claim(&self.server, now) {
            return;
        }
        self.served += 1;
        let told = it.told.filter(|(named, _)| *named == limit.0);
        if told.is_some_and(|(_, told)| at >= told + TOLD_AFTER) {
            self.arrived.push(at);
        }
        it.told = told.or(Some((limit.0, at)));
        let notice = LimitNotice::Limited(limit);
        it.throttles.record_notice(&self.server, &self.service, notice, now);
    }

    fn check(&self, at: f64) -> Result<(), String> {
        let from = at - WINDOW;
        let count = self.arrived.iter().rev().take_while(|arrived| **arrived > from).count();
        let limit = self.limit(at).max(self.limit(from.max(0.0)));
        let allowed = 1.5 * limit * WINDOW + 5.0;
        match count as f64 <= allowed {
            true => Ok(()),
            false => Err(format!("{count} requests in {WINDOW} s at {at:.2} s, {allowed} allowed")),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn boxes_together_never_pass_the_limit_that_a_server_names(day in day(), seed in any::<u64>()) {
        let mut world = World::new(&day, seed);
        let played = world.play();
        prop_assert!(played.is_ok(), "{played:?}");
    }
}

/// On a day without trouble most of the limit is used, whatever part of the boxes is told.
#[parameterized(
    few_boxes = { 9, 1.2, 8.0 },
    many_boxes = { 100, 10.0, 2.0 },
    one_box = { 1, 3.0, 10.0 },
)]
fn limit_is_used(boxes: usize, limit: f64, demand: f64) {
    let day = Day {
        boxes,
        limits: vec![limit],
        demand,
        cut: 0.0,
        restart: 0.0,
        change: 0.0,
        lost: 0.0,
        late: 0.0,
        seconds: 60.0,
    };
    let mut world = World::new(&day, 7);
    world.play().unwrap();
    let used = world.served as f64 / (limit * day.seconds);
    assert!(used > 0.7, "{used}");
}

#[parameterized(
    decimal = { "1.2", Some(1.2) },
    whole = { "3", Some(3.0) },
    none = { "0", Some(0.0) },
    negative = { "-1", None },
    word = { "many", None },
    empty = { "", None },
    infinite = { "inf", None },
    not_a_number = { "NaN", None },
)]
fn limit_is_read(text: &str, read: Option<f64>) {
    assert_eq!(text.parse().ok(), read.map(RequestRate));
}

/// A named limit, then another notice; whether the box may send without a lease.
#[parameterized(
    still_named = { LimitNotice::Limited(RequestRate(2.0)), false },
    unreadable = { LimitNotice::Unreadable, false },
    ended = { LimitNotice::None, true },
)]
fn notice_changes_what_may_be_sent(notice: LimitNotice, open: bool) {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let server = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) };
    let service: ServiceName = "svc".parse().unwrap();
    throttles.record_notice(&server, &service, LimitNotice::Limited(RequestRate(1.0)), now);
    throttles.record_notice(&server, &service, notice, now);
    assert_eq!(throttles.claim(&server, now), open);
}

/// The limit is of one incarnation; what may be the same one has it.
#[parameterized(
    same = { 7, false },
    untold = { 0, false },
    later = { 8, true },
)]
fn limit_is_of_one_incarnation(life: u64, open: bool) {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let mut server = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) };
    let service: ServiceName = "svc".parse().unwrap();
    throttles.record_notice(&server, &service, LimitNotice::Limited(RequestRate(1.0)), now);
    server.life = Incarnation(life);
    assert_eq!(throttles.claim(&server, now), open);
}
