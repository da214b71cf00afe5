//! Simulates the limit that a server announces, over all boxes, with network partitions, restarts, changes of leader,
//! and lost and late messages. Boxes and leader run the production code; each run is determined by its seed.

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

/// The step of the simulation, in seconds as all times here.
const STEP: f64 = 0.02;
const REPORT_INTERVAL: f64 = 0.4;
/// The time that a message takes unless it is late.
const LATENCY: f64 = 0.002;
/// How long a box waits for the answer to a report.
const REPORT_TIMEOUT: f64 = 0.4;
/// The window in which the users permit one and a half times the limit, plus five requests.
const WINDOW: f64 = 4.0;
/// The time from the first answer that announces a limit to a box until the limit is checked for that box.
const NOTICE_TIME: f64 = 0.5;

/// The parameters of one simulation.
#[derive(Debug, Clone)]
struct Scenario {
    boxes: usize,
    /// The limits that the server announces, each for an equal part of the simulation.
    limits: Vec<f64>,
    /// The requests a second that callers send to each box.
    demand: f64,
    /// Probabilities for each second: that a box is cut off, that a box restarts, that the leader changes.
    partition: f64,
    restart: f64,
    leader_change: f64,
    /// The probabilities that a message is lost, and that one is seconds late.
    loss: f64,
    delay: f64,
    seconds: f64,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let limit = prop_oneof![Just(0.0), 0.1..2.0, 2.0..20.0];
    let probability = || prop_oneof![Just(0.0), 0.0..0.3];
    (
        (1_usize..14, prop::collection::vec(limit, 1..3), 0.2..20.0),
        (probability(), probability(), probability(), probability(), probability()),
    )
        .prop_map(
            |((boxes, limits, demand), (partition, restart, leader_change, loss, delay))| {
                Scenario {
                    boxes,
                    limits,
                    demand,
                    partition,
                    restart,
                    leader_change,
                    loss,
                    delay,
                    seconds: 40.0,
                }
            },
        )
}

/// A report on its way to the leader.
struct PendingReport {
    at: f64,
    place: usize,
    incarnation: Incarnation,
    seq: u64,
    sent_at: f64,
    /// The leader's clock at that time, as far as the box knows it: the term, and the time since it began.
    clock: Option<(u64, f64)>,
    reports: Vec<LimitReport>,
}

struct SimulatedBox {
    id: BoxId,
    incarnation: Incarnation,
    seq: u64,
    throttles: Throttles,
    /// The limit in force that an answer announced to the box, and when one first did.
    announced: Option<(f64, f64)>,
    cut_off_until: f64,
    next_report: f64,
    reply: Option<PendingReply>,
    /// The leader's clock by its last reply, and when that arrived.
    clock: Option<(u64, f64, f64)>,
}

/// The leader's reply on its way to a box.
struct PendingReply {
    at: f64,
    /// When the report was sent.
    sent_at: f64,
    clock: (u64, f64),
    leases: Vec<LimitLease>,
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    base: Instant,
    server: ServerKey,
    service: ServiceName,
    boxes: Vec<SimulatedBox>,
    pending: Vec<PendingReport>,
    leases: LimitLeases,
    /// The term, and when it began.
    term: (u64, f64),
    /// The time until which leases of former leaders may be in force.
    takeover_until: f64,
    /// The arrival times of requests from boxes that the limit applies to.
    counted: Vec<f64>,
    /// The number of all requests that reached the server.
    served: usize,
}

impl Simulation {
    fn new(scenario: &Scenario, seed: u64) -> Self {
        let boxes = (0..scenario.boxes).map(|place| SimulatedBox {
            id: format!("box-{place}").parse().unwrap(),
            incarnation: Incarnation(1),
            seq: 0,
            throttles: Throttles::default(),
            announced: None,
            cut_off_until: 0.0,
            next_report: 0.0,
            reply: None,
            clock: None,
        });
        Self {
            boxes: boxes.collect(),
            scenario: scenario.clone(),
            rng: SmallRng::seed_from_u64(seed),
            base: Instant::now(),
            server: ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) },
            service: "svc".parse().unwrap(),
            pending: Vec::new(),
            leases: LimitLeases::default(),
            term: (1, 0.0),
            takeover_until: 0.0,
            counted: Vec::new(),
            served: 0,
        }
    }

    fn instant(&self, at: f64) -> Instant {
        self.base + Duration::from_secs_f64(at)
    }

    /// Whether an event happens in this step that has this probability for each second.
    fn happens(&mut self, per_second: f64) -> bool {
        self.rng.random::<f64>() < per_second * STEP
    }

    fn limit(&self, at: f64) -> f64 {
        let part = at / self.scenario.seconds * self.scenario.limits.len() as f64;
        self.scenario.limits[(part as usize).min(self.scenario.limits.len() - 1)]
    }

    /// Runs the simulation and checks after each step that the requests in the last window are within the limit.
    fn run(&mut self) -> Result<(), String> {
        let mut at = 0.0;
        while at < self.scenario.seconds {
            if self.happens(self.scenario.leader_change) {
                self.leases = LimitLeases::default();
                self.term = (self.term.0 + 1, at);
                self.takeover_until = at + LEASE_DURATION.as_secs_f64();
            }
            for place in 0..self.boxes.len() {
                self.inject_faults(place, at);
                self.send_report(place, at);
                self.receive_reply(place, at);
                self.send_request(place, at);
            }
            self.answer_reports(at);
            self.check(at)?;
            at += STEP;
        }
        Ok(())
    }

    fn inject_faults(&mut self, place: usize, at: f64) {
        if self.happens(self.scenario.partition) {
            self.boxes[place].cut_off_until = at + self.rng.random_range(0.5..12.0);
        }
        if self.happens(self.scenario.restart) {
            let it = &mut self.boxes[place];
            it.incarnation = it.incarnation.next();
            (it.seq, it.announced, it.reply, it.clock) = (0, None, None, None);
            it.throttles = Throttles::default();
        }
    }

    fn send_report(&mut self, place: usize, at: f64) {
        let now = self.instant(at);
        let (loss, lateness) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let it = &mut self.boxes[place];
        if at < it.next_report || it.throttles.is_empty() {
            return;
        }
        it.next_report = at + REPORT_INTERVAL;
        it.seq += 1;
        let reports = it.throttles.report(now);
        if at < it.cut_off_until || loss < self.scenario.loss {
            return;
        }
        let (incarnation, seq) = (it.incarnation, it.seq);
        let clock = it.clock.map(|(term, time, arrived)| (term, time + at - arrived));
        let delay =
            if lateness < self.scenario.delay { self.rng.random_range(0.0..7.0) } else { 0.0 };
        let due = at + delay + LATENCY;
        let report =
            PendingReport { at: due, place, incarnation, seq, sent_at: at, clock, reports };
        self.pending.push(report);
    }

    /// Lets the leader answer the reports that have arrived.
    fn answer_reports(&mut self, at: f64) {
        let now = self.instant(at);
        let (due, rest): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|it| it.at <= at);
        self.pending = rest;
        for PendingReport { place, incarnation, seq, sent_at, clock, reports, .. } in due {
            let is_taking_over = at < self.takeover_until;
            let id = self.boxes[place].id.clone();
            let sent_by_clock = clock.filter(|(term, _)| *term == self.term.0);
            let sent_by_clock = sent_by_clock.map(|(_, time)| self.instant(self.term.1 + time));
            let origin = ReportOrigin { box_id: &id, incarnation, seq, sent_at: sent_by_clock };
            let leases = self.leases.handle_reports(origin, &reports, is_taking_over, now);
            let it = &mut self.boxes[place];
            let is_lost = self.rng.random::<f64>() < self.scenario.loss;
            if !is_lost
                && at >= it.cut_off_until
                && it.incarnation == incarnation
                && at < sent_at + REPORT_TIMEOUT
            {
                let clock = (self.term.0, at - self.term.1);
                it.reply = Some(PendingReply { at: at + LATENCY, sent_at, clock, leases });
            }
        }
    }

    fn receive_reply(&mut self, place: usize, at: f64) {
        let now = self.instant(at);
        let base = self.base;
        let it = &mut self.boxes[place];
        if let Some(reply) = it.reply.take_if(|reply| reply.at <= at) {
            let sent_at = base + Duration::from_secs_f64(reply.sent_at);
            it.clock = Some((reply.clock.0, reply.clock.1, at));
            it.throttles.apply_leases(&reply.leases, sent_at, now);
        }
    }

    fn send_request(&mut self, place: usize, at: f64) {
        let now = self.instant(at);
        if !self.happens(self.scenario.demand) {
            return;
        }
        let limit = RequestRate(self.limit(at));
        let it = &mut self.boxes[place];
        it.throttles.states(&self.service, now);
        if !it.throttles.claim(&self.server, now) {
            return;
        }
        self.served += 1;
        let announced = it.announced.filter(|(announced, _)| *announced == limit.0);
        if announced.is_some_and(|(_, since)| at >= since + NOTICE_TIME) {
            self.counted.push(at);
        }
        it.announced = announced.or(Some((limit.0, at)));
        let notice = LimitNotice::Limited(limit);
        it.throttles.record_notice(&self.server, &self.service, notice, now);
    }

    fn check(&self, at: f64) -> Result<(), String> {
        let from = at - WINDOW;
        let count = self.counted.iter().rev().take_while(|at| **at > from).count();
        let limit = self.limit(at).max(self.limit(from.max(0.0)));
        let permitted = 1.5 * limit * WINDOW + 5.0;
        match count as f64 <= permitted {
            true => Ok(()),
            false => {
                Err(format!("{count} requests in {WINDOW} s at {at:.2} s, {permitted} permitted"))
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn boxes_together_never_pass_the_limit_that_a_server_names(
        scenario in scenario(),
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(&scenario, seed);
        let result = simulation.run();
        prop_assert!(result.is_ok(), "{result:?}");
    }
}

/// Without faults most of the limit is used, however many of the boxes have a lease.
#[parameterized(
    few_boxes = { 9, 1.2, 8.0 },
    many_boxes = { 100, 10.0, 2.0 },
    one_box = { 1, 3.0, 10.0 },
)]
fn most_of_the_limit_is_used(boxes: usize, limit: f64, demand: f64) {
    let scenario = Scenario {
        boxes,
        limits: vec![limit],
        demand,
        partition: 0.0,
        restart: 0.0,
        leader_change: 0.0,
        loss: 0.0,
        delay: 0.0,
        seconds: 60.0,
    };
    let mut simulation = Simulation::new(&scenario, 7);
    simulation.run().unwrap();
    let used = simulation.served as f64 / (limit * scenario.seconds);
    assert!(used > 0.7, "{used}");
}

#[parameterized(
    decimal = { "1.2", Some(1.2) },
    whole = { "3", Some(3.0) },
    none = { "0", Some(0.0) },
    negative = { "-1", None },
    text = { "many", None },
    empty = { "", None },
    infinite = { "inf", None },
    not_a_number = { "NaN", None },
)]
fn limit_is_read(text: &str, read: Option<f64>) {
    assert_eq!(text.parse().ok(), read.map(RequestRate));
}

/// A server announces a limit and then sends another notice. `open`: whether the box may then send without a lease.
#[parameterized(
    still_limited = { LimitNotice::Limited(RequestRate(2.0)), false },
    unreadable = { LimitNotice::Unreadable, false },
    ended = { LimitNotice::None, true },
)]
fn only_an_answer_without_a_limit_ends_it(notice: LimitNotice, open: bool) {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let server = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) };
    let service: ServiceName = "svc".parse().unwrap();
    throttles.record_notice(&server, &service, LimitNotice::Limited(RequestRate(1.0)), now);
    throttles.record_notice(&server, &service, notice, now);
    assert_eq!(throttles.claim(&server, now), open);
}

/// A limit applies to one incarnation of a server, and to an unknown one, which may be the same.
#[parameterized(
    same = { 7, false },
    unknown = { 0, false },
    later = { 8, true },
)]
fn limit_applies_to_one_incarnation(incarnation: u64, open: bool) {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let mut server = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) };
    let service: ServiceName = "svc".parse().unwrap();
    throttles.record_notice(&server, &service, LimitNotice::Limited(RequestRate(1.0)), now);
    server.life = Incarnation(incarnation);
    assert_eq!(throttles.claim(&server, now), open);
}
