//! Tests of round-trip time estimates, and simulations of server selection in a fleet over several
//! regions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use emberturn::decide::choose::{
    BackendCandidate, LoadEstimate, choose, choose_over_regions, estimate_other_requests,
    estimate_other_requests_by_region, expected_wait, sample_indices, should_search_farther,
};
use emberturn::decide::distance::{
    ByteWeights, Distance, Distances, KvCopy, fetch_saves, kilobytes,
};
use emberturn::decide::engine::EngineModel;
use emberturn::decide::spill::SpillTracker;
use emberturn::decide::topology::Reach;
use emberturn::ids::DataCentre;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 12;

/// The number of data centres in a region, and the number of regions.
const DATA_CENTRES_PER_REGION: usize = 2;
const REGIONS: usize = 3;

const MODEL: EngineModel = EngineModel {
    rate: 150_000.0,
    base: 0.02,
    prompt: 4_000.0,
    wait: 0.0,
    late: 0.0,
    pace: 0.0,
    events: 0.0,
    weight: 100.0,
};

/// The body size in bytes of a request with [`MODEL`]'s prompt length, and its maximum output
/// tokens.
const REQUEST: (usize, u64) = (16_000, 400);

const IDLE: BackendCandidate = BackendCandidate {
    requests: 0.0,
    slots: SLOTS,
    residence_time: 1.0,
    queued_prompt_tokens: 0,
    uncached_prompt_tokens: 4_000,
    distance: Distance { rtt_ms: 0.0, byte_cost_ms: 0.0 },
    memory_full: false,
    ejected: false,
};

/// The weights that operators may set where traffic between regions is expensive.
const WEIGHTS: ByteWeights = ByteWeights { regional: 0.0, remote: 1.0 };

/// Which servers are compared for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    /// Two of all servers.
    Any,
    /// Two of each reach.
    Each,
    /// Two of the nearest reach, and of farther ones only as long as the relay would search
    /// farther.
    Nearest,
}

/// What happened to the requests of a region's callers.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    requests: f64,
    /// The mean wait in milliseconds, on the network and at the server.
    wait: f64,
    /// The fractions of the requests that went to another data centre of the region, that left the
    /// region, and that found no free slot.
    regional: f64,
    remote: f64,
    queued: f64,
}

impl Outcomes {
    fn add(&mut self, reach: Reach, wait: f64, queued: bool) {
        let one = |yes: bool| f64::from(u8::from(yes));
        self.requests += 1.0;
        let step = |mean: &mut f64, new: f64, count: f64| *mean += (new - *mean) / count;
        step(&mut self.wait, wait, self.requests);
        step(&mut self.regional, one(reach == Reach::Regional), self.requests);
        step(&mut self.remote, one(reach == Reach::Remote), self.requests);
        step(&mut self.queued, one(queued), self.requests);
    }
}

/// The mean of `figure` over all requests.
fn mean(outcomes: &[Outcomes], figure: impl Fn(&Outcomes) -> f64) -> f64 {
    let requests: f64 = outcomes.iter().map(|it| it.requests).sum();
    outcomes.iter().map(|it| it.requests * figure(it)).sum::<f64>() / requests
}

/// A simulated fleet of boxes and engines, spread evenly over the data centres. Requests take about
/// a second each.
struct Fleet {
    rng: SmallRng,
    strategy: Strategy,
    now: f64,
    /// How many requests an engine runs concurrently.
    slots: u32,
    model: EngineModel,
    /// Seconds that an engine needs to process a prompt. It processes one prompt at a time.
    prefill_time: f64,
    /// When each engine will have processed all its prompts.
    prefill_until: Vec<f64>,
    /// When each request at each engine ends.
    engines: Vec<Vec<f64>>,
    /// The engines that were removed.
    removed: Vec<bool>,
    /// What each box knows: the number of requests at each engine, and the time of that number.
    known: Vec<HashMap<usize, (f64, f64)>>,
    next_heartbeat: f64,
    next_box: usize,
}

fn data_centre_of(number: usize) -> usize {
    number % (DATA_CENTRES_PER_REGION * REGIONS)
}

fn region(number: usize) -> usize {
    data_centre_of(number) / DATA_CENTRES_PER_REGION
}

fn reach(place: usize, engine: usize) -> Reach {
    match (data_centre_of(place) == data_centre_of(engine), region(place) == region(engine)) {
        (true, _) => Reach::Local,
        (false, true) => Reach::Regional,
        (false, false) => Reach::Remote,
    }
}

fn distance(reach: Reach) -> Distance {
    let time = [0.0, 1.8, 16.0][reach as usize];
    let weight = kilobytes(REQUEST.0, REQUEST.1) * WEIGHTS.of(reach);
    Distance { rtt_ms: time, byte_cost_ms: weight }
}

impl Fleet {
    fn new(strategy: Strategy, boxes: usize, engines: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(7),
            strategy,
            now: 0.0,
            slots: SLOTS,
            model: MODEL,
            prefill_time: 0.0,
            prefill_until: vec![0.0; engines],
            engines: vec![Vec::new(); engines],
            removed: vec![false; engines],
            known: vec![HashMap::new(); boxes],
            next_heartbeat: 0.0,
            next_box: 0,
        }
    }

    /// A fleet whose engines have many slots, so that prompt processing is the bottleneck.
    fn prefill_bound(strategy: Strategy, boxes: usize, engines: usize) -> Self {
        let model = EngineModel { rate: 4_000.0 / 0.06, ..MODEL };
        Self { slots: 32, prefill_time: 0.06, model, ..Self::new(strategy, boxes, engines) }
    }

    /// Removes the engines of a region.
    fn remove_region(&mut self, lost: usize) {
        self.removed = (0..self.engines.len()).map(|engine| region(engine) == lost).collect();
    }

    /// Applies the leader's answer to a box: the loads of 48 engines as they were 0.2 s ago.
    fn heartbeat(&mut self, place: usize, now: f64) {
        let count = self.engines.len();
        let first = self.rng.random_range(0..count);
        for at in 0..count.min(48) {
            let engine = (first + at * count / count.min(48)) % count;
            if self.removed[engine] {
                continue;
            }
            let there = self.engines[engine].iter().filter(|end| **end > now).count();
            self.known[place].insert(engine, (there as f64, now - 0.2));
        }
    }

    /// Samples two engines of the given reach, or of all.
    fn sample_two(&mut self, place: usize, wanted: Option<Reach>) -> Vec<usize> {
        let fits = |engine: &usize| wanted.is_none_or(|it| reach(place, *engine) == it);
        let there = |engine: &usize| !self.removed[*engine];
        let of: Vec<_> = (0..self.engines.len()).filter(there).filter(fits).collect();
        sample_indices(of.len(), || self.rng.random()).into_iter().map(|at| of[at]).collect()
    }

    fn candidates(&self, place: usize, of: &[usize]) -> Vec<BackendCandidate> {
        let word = |engine: &usize| {
            let (requests, at) = self.known[place].get(engine)?;
            Some(LoadEstimate { requests: *requests, age: self.now - at })
        };
        let words: Vec<_> = of.iter().map(word).collect();
        let regions: Vec<_> = of.iter().map(|engine| region(*engine)).collect();
        let requests = match self.strategy {
            Strategy::Any => estimate_other_requests(&words, Some(1.0)),
            Strategy::Each | Strategy::Nearest => {
                estimate_other_requests_by_region(&words, &regions, Some(1.0))
            }
        };
        let candidate = |(engine, requests): (&usize, f64)| BackendCandidate {
            requests,
            slots: self.slots,
            distance: distance(reach(place, *engine)),
            ..IDLE
        };
        of.iter().zip(requests).map(candidate).collect()
    }

    /// The mean number of requests at the engines that a box knows.
    fn mean_load(&self, place: usize) -> f64 {
        let told = self.known[place].values().map(|(requests, _)| requests);
        told.sum::<f64>() / self.known[place].len().max(1) as f64
    }

    fn compared(&mut self, place: usize) -> Vec<usize> {
        match self.strategy {
            Strategy::Any => self.sample_two(place, None),
            Strategy::Each => {
                Reach::ALL.into_iter().flat_map(|it| self.sample_two(place, Some(it))).collect()
            }
            Strategy::Nearest => {
                let mut compared = Vec::new();
                for it in Reach::ALL {
                    compared.extend(self.sample_two(place, Some(it)));
                    let mean_load = Some(self.mean_load(place));
                    if !should_search_farther(&self.candidates(place, &compared), mean_load) {
                        break;
                    }
                }
                compared
            }
        }
    }

    /// Sends a request from a box.
    fn send(&mut self, place: usize, outcomes: &mut Outcomes) {
        let compared = self.compared(place);
        let candidates = self.candidates(place, &compared);
        let mean_load = self.mean_load(place);
        let random = || self.rng.random();
        let chosen = match self.strategy {
            Strategy::Any => choose(&self.model, &candidates, random),
            Strategy::Each | Strategy::Nearest => {
                choose_over_regions(&self.model, &candidates, mean_load, random)
            }
        };
        let chosen = chosen.unwrap();
        let engine = compared[chosen];
        let ends = &mut self.engines[engine];
        ends.retain(|end| *end > self.now);
        let there = ends.len();
        let begin = self.prefill_until[engine].max(self.now);
        self.prefill_until[engine] = begin + self.prefill_time;
        ends.push(begin + self.prefill_time - f64::ln(1.0 - self.rng.random::<f64>()));
        self.known[place].insert(engine, (there as f64 + 1.0, self.now));
        let truth = BackendCandidate { requests: there as f64, ..candidates[chosen] };
        let wait = expected_wait(&self.model, &truth) + (begin - self.now) * 1_000.0;
        outcomes.add(reach(place, engine), wait, there >= self.slots as usize);
    }

    /// Simulates 10 s in which the boxes of each region send `loads` times as many requests as the
    /// region has slots for. Returns the outcomes of the last 6 s.
    fn simulate(&mut self, loads: [f64; REGIONS]) -> [Outcomes; REGIONS] {
        let places = self.engines.len() as f64 * f64::from(self.slots) / REGIONS as f64;
        let rate = loads.iter().sum::<f64>() * places;
        let (begin, boxes) = (self.now, self.known.len());
        let mut outcomes = [Outcomes::default(); REGIONS];
        let mut passed = Outcomes::default();
        while self.now < begin + 10.0 {
            self.now += -f64::ln(1.0 - self.rng.random::<f64>()) / rate;
            while self.next_heartbeat < self.now {
                self.heartbeat(self.next_box % boxes, self.next_heartbeat);
                self.next_box += 1;
                self.next_heartbeat += 0.4 / boxes as f64;
            }
            let from = self.draw_region(loads);
            let place = loop {
                let place = self.rng.random_range(0..boxes);
                if region(place) == from {
                    break place;
                }
            };
            let counts = self.now > begin + 4.0;
            self.send(place, if counts { &mut outcomes[from] } else { &mut passed });
        }
        outcomes
    }

    fn draw_region(&mut self, loads: [f64; REGIONS]) -> usize {
        let mut left = self.rng.random::<f64>() * loads.iter().sum::<f64>();
        for (region, load) in loads.into_iter().enumerate() {
            left -= load;
            if left <= 0.0 {
                return region;
            }
        }
        REGIONS - 1
    }
}

/// With two of all servers, 0.27 of the requests go to another data centre and 0.46 leave the
/// region, and the mean wait is 66 ms with 60 engines and 70 ms with 240.
#[test]
fn requests_stay_near_while_there_are_places() {
    for engines in [60, 240] {
        let [any, nearest] = [Strategy::Any, Strategy::Nearest]
            .map(|strategy| Fleet::new(strategy, 60, engines).simulate([0.6; REGIONS]));
        let remote = mean(&nearest, |it| it.remote);
        assert!(remote < 0.06, "{remote} leave the region, {engines} engines");
        let regional = mean(&nearest, |it| it.regional);
        assert!(regional < 0.2, "{regional} leave the data centre, {engines} engines");
        let [former, now] = [any, nearest].map(|outcomes| mean(&outcomes, |it| it.wait));
        assert!(now < 0.95 * former, "{now} ms, {former} with two of all, {engines} engines");
    }
}

/// One region gets 1.3 times the load it has slots for. Without spilling over, all slots of the
/// region would be taken.
#[test]
fn burst_in_a_region_spills_over_and_returns() {
    for engines in [60, 240] {
        let mut fleet = Fleet::new(Strategy::Nearest, 60, engines);
        let before = fleet.simulate([0.5; REGIONS]);
        let burst = fleet.simulate([1.3, 0.5, 0.5]);
        let after = fleet.simulate([0.5; REGIONS]);
        assert!(burst[0].remote > 0.2, "{} leave the region", burst[0].remote);
        assert!(burst[0].queued < 0.35, "{} find no free slot", burst[0].queued);
        for outcomes in [before, after] {
            let remote = mean(&outcomes, |it| it.remote);
            assert!(remote < 0.06, "{remote} leave the region before or after");
        }
        let any = Fleet::new(Strategy::Any, 60, engines).simulate([1.3, 0.5, 0.5]);
        let [former, now] = [any, burst].map(|outcomes| mean(&outcomes, |it| it.wait));
        assert!(now < 1.1 * former, "{now} ms, {former} with two of all");
    }
}

/// Engines with free slots may still have more prompts than they can process: one region gets 1.15
/// times the prompts that its engines can process. When only slots counted, the mean wait was 457
/// ms, and 139 ms with two of all servers.
#[test]
fn burst_spills_over_where_reading_is_short_and_places_are_not() {
    for engines in [60, 240] {
        let [any, nearest] = [Strategy::Any, Strategy::Nearest].map(|strategy| {
            Fleet::prefill_bound(strategy, 60, engines).simulate([0.6, 0.25, 0.25])
        });
        let [former, now] = [any, nearest].map(|outcomes| mean(&outcomes, |it| it.wait));
        assert!(now < 1.15 * former, "{now} ms, {former} with two of all, {engines} engines");
        let remote = mean(&nearest[1..], |it| it.remote);
        assert!(remote < 0.02, "{remote} of the other regions' requests leave them");
    }
}

#[test]
fn callers_of_a_region_without_servers_are_served_by_the_others() {
    for engines in [60, 240] {
        let [any, nearest] = [Strategy::Any, Strategy::Nearest].map(|strategy| {
            let mut fleet = Fleet::new(strategy, 60, engines);
            fleet.remove_region(0);
            fleet.simulate([0.5; REGIONS])
        });
        assert!((nearest[0].remote - 1.0).abs() < 1e-9);
        let [former, now] = [any, nearest].map(|outcomes| mean(&outcomes, |it| it.wait));
        assert!(now < former, "{now} ms, {former} with two of all");
        let remote = mean(&nearest[1..], |it| it.remote);
        assert!(remote < 0.1, "{remote} of the other regions' requests leave them");
    }
}

/// Comparing two of each reach gives about the same wait, but sends more requests to other data
/// centres.
#[test]
fn farther_servers_are_left_alone_while_a_nearer_one_has_a_place() {
    let [each, nearest] = [Strategy::Each, Strategy::Nearest].map(|strategy| {
        let outcomes = Fleet::new(strategy, 60, 240).simulate([0.6; REGIONS]);
        (mean(&outcomes, |it| it.regional + it.remote), mean(&outcomes, |it| it.wait))
    });
    assert!(nearest.0 < each.0 / 2.0, "{nearest:?}, {each:?} with two of each reach");
    assert!(nearest.1 < 1.1 * each.1, "{nearest:?}, {each:?} with two of each reach");
}

proptest! {
    /// However expensive bytes are, a request does not queue while another server has a free slot
    /// and its round trip is shorter than the wait.
    #[test]
    fn weights_hold_no_request_back(
        queued in 0.0..50.0_f64, free in 0.0..11.0_f64, weight in 0.0..1e6_f64, random in 0.0..1.0_f64,
    ) {
        let near = BackendCandidate { requests: f64::from(SLOTS) + queued, ..IDLE };
        let far = BackendCandidate { requests: free, distance: Distance { rtt_ms: 16.0, byte_cost_ms: weight }, ..IDLE };
        let gain = expected_wait(&MODEL, &near) - expected_wait(&MODEL, &far);
        prop_assume!(gain > 8.0);
        prop_assert_eq!(choose(&MODEL, &[near, far], || random), Some(1));
    }

    /// A server that is much fuller than others is not chosen, however far the others are and
    /// however expensive bytes are.
    #[test]
    fn crowded_server_is_passed_over(crowd in 6.0..11.0_f64, weight in 0.0..1e6_f64) {
        let near = BackendCandidate { requests: crowd, ..IDLE };
        let far = BackendCandidate { requests: 3.0, distance: Distance { rtt_ms: 16.0, byte_cost_ms: weight }, ..IDLE };
        prop_assert_eq!(choose_over_regions(&MODEL, &[near, far], 3.0, || 0.5), Some(1));
    }

    /// A server with a free slot loses against a farther one only if the gain exceeds the round
    /// trip and the cost of the bytes.
    #[test]
    fn bytes_count_among_servers_with_a_place(here in 0.0..11.0_f64, there in 0.0..11.0_f64) {
        let near = BackendCandidate { requests: here, ..IDLE };
        let far = BackendCandidate { requests: there, distance: distance(Reach::Remote), ..IDLE };
        let gain = expected_wait(&MODEL, &near) - expected_wait(&MODEL, &far);
        let weight = far.distance.byte_cost_ms;
        prop_assume!((gain - weight).abs() > 1e-6);
        let chosen = choose(&MODEL, &[near, far], || 0.5);
        prop_assert_eq!(chosen, Some(usize::from(gain > weight)));
    }

    /// With loads of one region only, the estimate by region equals the overall one.
    #[test]
    fn one_region_is_taken_as_a_whole(
        words in prop::collection::vec(prop::option::of((0.0..20.0_f64, 0.0..5.0_f64)), 0..40),
    ) {
        let word = |(requests, age)| LoadEstimate { requests, age };
        let words: Vec<_> = words.into_iter().map(|it| it.map(word)).collect();
        let regions = vec![0; words.len()];
        prop_assert_eq!(
            estimate_other_requests_by_region(&words, &regions, Some(1.0)),
            estimate_other_requests(&words, Some(1.0)),
        );
    }
}

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

#[test]
fn distance_is_what_undisturbed_connects_take() {
    let (mut distances, now) = (Distances::default(), Instant::now());
    let far = data_centre("b1");
    for place in 0..40_u64 {
        // Two of three connects meet a busy box or server.
        let took = if place.is_multiple_of(3) { 16 } else { 40 + place };
        distances.record_connect(&far, Duration::from_millis(took), now);
    }
    assert_eq!(distances.rtt_ms(&far, Reach::Remote, now), 16.0);
    assert_eq!(distances.learned_rtts(now).len(), 1);
}

#[test]
fn distance_that_is_stale_is_forgotten() {
    let (mut distances, begin) = (Distances::default(), Instant::now());
    let far = data_centre("b1");
    let unlearned = distances.rtt_ms(&far, Reach::Remote, begin);
    for _ in 0..8 {
        distances.record_connect(&far, Duration::from_millis(70), begin);
    }
    assert_eq!(distances.rtt_ms(&far, Reach::Remote, begin), 70.0);
    let later = begin + Duration::from_secs(600);
    assert_eq!(distances.rtt_ms(&far, Reach::Remote, later), unlearned);
    // Samples from before the expiry do not count together with later ones.
    for _ in 0..4 {
        distances.record_connect(&far, Duration::from_millis(90), later);
    }
    assert_eq!(distances.rtt_ms(&far, Reach::Remote, later), 90.0);
}

#[test]
fn one_connect_tells_no_distance() {
    let (mut distances, now) = (Distances::default(), Instant::now());
    let (far, near) = (data_centre("b1"), data_centre("a2"));
    distances.record_connect(&far, Duration::from_millis(900), now);
    assert!(distances.rtt_ms(&far, Reach::Remote, now) < 100.0);
    assert!(
        distances.rtt_ms(&near, Reach::Regional, now) < distances.rtt_ms(&far, Reach::Remote, now)
    );
    assert_eq!(distances.rtt_ms(&near, Reach::Local, now), 0.0);
}

#[test]
fn copy_crosses_regions_only_where_it_saves() {
    let copy = KvCopy { rate: 1_500_000.0, token_bytes: 160_000.0 };
    let free = ByteWeights::default();
    // 20,000 tokens take 133 ms to process and 13 ms to copy.
    assert!(fetch_saves(&MODEL, 20_000, &copy, 16.0, &free));
    assert!(!fetch_saves(&MODEL, 20_000, &copy, 200.0, &free));
    assert!(!fetch_saves(&MODEL, 1_000, &copy, 16.0, &free));
    assert!(!fetch_saves(&MODEL, 20_000, &copy, 16.0, &WEIGHTS));
    let none = KvCopy { rate: 0.0, ..copy };
    assert!(!fetch_saves(&MODEL, 20_000, &none, 16.0, &free));
}

#[test]
fn spill_is_told_when_it_begins_and_when_it_ends() {
    let (mut tracker, begin) = (SpillTracker::default(), Instant::now());
    let service = "svc".parse().unwrap();
    let mut told = Vec::new();
    for step in 0..3_000_u64 {
        let now = begin + Duration::from_millis(20 * step);
        let is_burst = (500..1_500).contains(&step);
        let reach = match is_burst && step.is_multiple_of(2) {
            true => Reach::Remote,
            false => Reach::Local,
        };
        told.extend(tracker.record(&service, reach, now).map(|news| news.begun));
    }
    assert_eq!(told, [true, false]);
}
