//! Placing over several regions: how far data centres are, and where requests go by it.

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

/// Data centres of a region, and regions.
const CENTRES: usize = 2;
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

/// Bytes of a prompt of [`MODEL`]'s size, and tokens that may come out.
const REQUEST: (usize, u64) = (16_000, 400);

const IDLE: BackendCandidate = BackendCandidate {
    requests: 0.0,
    slots: SLOTS,
    residence_time: 1.0,
    queued_prompt_tokens: 0,
    uncached_prompt_tokens: 4_000,
    distance: Distance { time: 0.0, weight: 0.0 },
    memory_full: false,
    ejected: false,
};

/// What operators may set where bytes between regions are dear.
const WEIGHTS: ByteWeights = ByteWeights { regional: 0.0, remote: 1.0 };

/// Which servers a request compares.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Two of all.
    Any,
    /// Two of each reach.
    Each,
    /// Two of the nearest reach, and of farther ones as far as the product looks.
    Nearest,
}

/// What callers of a region got.
#[derive(Debug, Default, Clone, Copy)]
struct Got {
    requests: f64,
    /// Milliseconds that each waited, on the way and at the server.
    wait: f64,
    /// The part that went to another data centre of the region, that left the region, and that found no
    /// place.
    regional: f64,
    remote: f64,
    queued: f64,
}

impl Got {
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

/// The mean over all callers.
fn mean(got: &[Got], figure: impl Fn(&Got) -> f64) -> f64 {
    let requests: f64 = got.iter().map(|it| it.requests).sum();
    got.iter().map(|it| it.requests * figure(it)).sum::<f64>() / requests
}

/// Boxes and engines of [`SLOTS`] places, each request held for about a second, in all data centres alike.
struct Fleet {
    rng: SmallRng,
    way: Way,
    now: f64,
    /// Requests that an engine runs at the same time.
    slots: u32,
    model: EngineModel,
    /// Seconds for which an engine reads a prompt, one after the other.
    read: f64,
    /// When each engine has read all prompts.
    reading: Vec<f64>,
    /// When the requests at each engine end.
    engines: Vec<Vec<f64>>,
    /// The engines that are gone.
    gone: Vec<bool>,
    /// What each box knows: requests of each engine, and when that was true.
    known: Vec<HashMap<usize, (f64, f64)>>,
    beaten: f64,
    turn: usize,
}

fn centre(number: usize) -> usize {
    number % (CENTRES * REGIONS)
}

fn region(number: usize) -> usize {
    centre(number) / CENTRES
}

fn reach(place: usize, engine: usize) -> Reach {
    match (centre(place) == centre(engine), region(place) == region(engine)) {
        (true, _) => Reach::Local,
        (false, true) => Reach::Regional,
        (false, false) => Reach::Remote,
    }
}

fn distance(reach: Reach) -> Distance {
    let time = [0.0, 1.8, 16.0][reach as usize];
    let weight = kilobytes(REQUEST.0, REQUEST.1) * WEIGHTS.of(reach);
    Distance { time, weight }
}

impl Fleet {
    fn new(way: Way, boxes: usize, engines: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(7),
            way,
            now: 0.0,
            slots: SLOTS,
            model: MODEL,
            read: 0.0,
            reading: vec![0.0; engines],
            engines: vec![Vec::new(); engines],
            gone: vec![false; engines],
            known: vec![HashMap::new(); boxes],
            beaten: 0.0,
            turn: 0,
        }
    }

    /// Engines of many places, whose reading of prompts is what they have too little of.
    fn reading(way: Way, boxes: usize, engines: usize) -> Self {
        let model = EngineModel { rate: 4_000.0 / 0.06, ..MODEL };
        Self { slots: 32, read: 0.06, model, ..Self::new(way, boxes, engines) }
    }

    /// Takes the engines of a region away.
    fn lose(&mut self, lost: usize) {
        self.gone = (0..self.engines.len()).map(|engine| region(engine) == lost).collect();
    }

    /// The leader's answer to a box: the loads of 48 engines, as they were 0.2 s ago.
    fn beat(&mut self, place: usize, now: f64) {
        let count = self.engines.len();
        let first = self.rng.random_range(0..count);
        for at in 0..count.min(48) {
            let engine = (first + at * count / count.min(48)) % count;
            if self.gone[engine] {
                continue;
            }
            let there = self.engines[engine].iter().filter(|end| **end > now).count();
            self.known[place].insert(engine, (there as f64, now - 0.2));
        }
    }

    /// Two engines of those that a box reaches so, or of all.
    fn two(&mut self, place: usize, wanted: Option<Reach>) -> Vec<usize> {
        let fits = |engine: &usize| wanted.is_none_or(|it| reach(place, *engine) == it);
        let there = |engine: &usize| !self.gone[*engine];
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
        let requests = match self.way {
            Way::Any => estimate_other_requests(&words, Some(1.0)),
            Way::Each | Way::Nearest => {
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

    /// Requests of all engines that a box knows.
    fn usual(&self, place: usize) -> f64 {
        let told = self.known[place].values().map(|(requests, _)| requests);
        told.sum::<f64>() / self.known[place].len().max(1) as f64
    }

    fn compared(&mut self, place: usize) -> Vec<usize> {
        match self.way {
            Way::Any => self.two(place, None),
            Way::Each => Reach::ALL.into_iter().flat_map(|it| self.two(place, Some(it))).collect(),
            Way::Nearest => {
                let mut compared = Vec::new();
                for it in Reach::ALL {
                    compared.extend(self.two(place, Some(it)));
                    let usual = Some(self.usual(place));
                    if !should_search_farther(&self.candidates(place, &compared), usual) {
                        break;
                    }
                }
                compared
            }
        }
    }

    /// A request of a box.
    fn send(&mut self, place: usize, got: &mut Got) {
        let compared = self.compared(place);
        let candidates = self.candidates(place, &compared);
        let usual = self.usual(place);
        let random = || self.rng.random();
        let chosen = match self.way {
            Way::Any => choose(&self.model, &candidates, random),
            Way::Each | Way::Nearest => {
                choose_over_regions(&self.model, &candidates, usual, random)
            }
        };
        let chosen = chosen.unwrap();
        let engine = compared[chosen];
        let ends = &mut self.engines[engine];
        ends.retain(|end| *end > self.now);
        let there = ends.len();
        let begin = self.reading[engine].max(self.now);
        self.reading[engine] = begin + self.read;
        ends.push(begin + self.read - f64::ln(1.0 - self.rng.random::<f64>()));
        self.known[place].insert(engine, (there as f64 + 1.0, self.now));
        let truth = BackendCandidate { requests: there as f64, ..candidates[chosen] };
        let wait = expected_wait(&self.model, &truth) + (begin - self.now) * 1_000.0;
        got.add(reach(place, engine), wait, there >= self.slots as usize);
    }

    /// Plays 10 s in which the boxes of each region bring `loads` of the places that a region has; what
    /// their callers got in the last 6.
    fn play(&mut self, loads: [f64; REGIONS]) -> [Got; REGIONS] {
        let places = self.engines.len() as f64 * f64::from(self.slots) / REGIONS as f64;
        let rate = loads.iter().sum::<f64>() * places;
        let (begin, boxes) = (self.now, self.known.len());
        let mut got = [Got::default(); REGIONS];
        let mut passed = Got::default();
        while self.now < begin + 10.0 {
            self.now += -f64::ln(1.0 - self.rng.random::<f64>()) / rate;
            while self.beaten < self.now {
                self.beat(self.turn % boxes, self.beaten);
                self.turn += 1;
                self.beaten += 0.4 / boxes as f64;
            }
            let from = self.drawn_region(loads);
            let place = loop {
                let place = self.rng.random_range(0..boxes);
                if region(place) == from {
                    break place;
                }
            };
            let counts = self.now > begin + 4.0;
            self.send(place, if counts { &mut got[from] } else { &mut passed });
        }
        got
    }

    fn drawn_region(&mut self, loads: [f64; REGIONS]) -> usize {
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

/// With two of all, 0.27 of the requests go to another data centre and 0.46 leave the region, and wait for
/// 66 and 70 ms with 60 and 240 engines.
#[test]
fn requests_stay_near_while_there_are_places() {
    for engines in [60, 240] {
        let [any, nearest] =
            [Way::Any, Way::Nearest].map(|way| Fleet::new(way, 60, engines).play([0.6; REGIONS]));
        let remote = mean(&nearest, |it| it.remote);
        assert!(remote < 0.06, "{remote} leave the region, {engines} engines");
        let regional = mean(&nearest, |it| it.regional);
        assert!(regional < 0.2, "{regional} leave the data centre, {engines} engines");
        let [former, now] = [any, nearest].map(|got| mean(&got, |it| it.wait));
        assert!(now < 0.95 * former, "{now} ms, {former} with two of all, {engines} engines");
    }
}

/// A burst of 1.3 of what the region holds: those who stay only would all find the places taken.
#[test]
fn burst_in_a_region_spills_over_and_returns() {
    for engines in [60, 240] {
        let mut fleet = Fleet::new(Way::Nearest, 60, engines);
        let before = fleet.play([0.5; REGIONS]);
        let burst = fleet.play([1.3, 0.5, 0.5]);
        let after = fleet.play([0.5; REGIONS]);
        assert!(burst[0].remote > 0.2, "{} leave the region", burst[0].remote);
        assert!(burst[0].queued < 0.35, "{} find no place", burst[0].queued);
        for got in [before, after] {
            let remote = mean(&got, |it| it.remote);
            assert!(remote < 0.06, "{remote} leave the region before or after");
        }
        let any = Fleet::new(Way::Any, 60, engines).play([1.3, 0.5, 0.5]);
        let [former, now] = [any, burst].map(|got| mean(&got, |it| it.wait));
        assert!(now < 1.1 * former, "{now} ms, {former} with two of all");
    }
}

/// Engines with places left may have more to read than they can: a region's prompts ask for 1.15 of what
/// its engines read. Where only places counted, all callers waited 457 ms on average, and 139 with two of all.
#[test]
fn burst_spills_over_where_reading_is_short_and_places_are_not() {
    for engines in [60, 240] {
        let [any, nearest] = [Way::Any, Way::Nearest]
            .map(|way| Fleet::reading(way, 60, engines).play([0.6, 0.25, 0.25]));
        let [former, now] = [any, nearest].map(|got| mean(&got, |it| it.wait));
        assert!(now < 1.15 * former, "{now} ms, {former} with two of all, {engines} engines");
        let remote = mean(&nearest[1..], |it| it.remote);
        assert!(remote < 0.02, "{remote} of the other regions' requests leave them");
    }
}

#[test]
fn callers_of_a_region_without_servers_are_served_by_the_others() {
    for engines in [60, 240] {
        let [any, nearest] = [Way::Any, Way::Nearest].map(|way| {
            let mut fleet = Fleet::new(way, 60, engines);
            fleet.lose(0);
            fleet.play([0.5; REGIONS])
        });
        assert!((nearest[0].remote - 1.0).abs() < 1e-9);
        let [former, now] = [any, nearest].map(|got| mean(&got, |it| it.wait));
        assert!(now < former, "{now} ms, {former} with two of all");
        let remote = mean(&nearest[1..], |it| it.remote);
        assert!(remote < 0.1, "{remote} of the other regions' requests leave them");
    }
}

/// Two of each reach wait about as long, and cross as if it cost nothing.
#[test]
fn farther_servers_are_left_alone_while_a_nearer_one_has_a_place() {
    let [each, nearest] = [Way::Each, Way::Nearest].map(|way| {
        let got = Fleet::new(way, 60, 240).play([0.6; REGIONS]);
        (mean(&got, |it| it.regional + it.remote), mean(&got, |it| it.wait))
    });
    assert!(nearest.0 < each.0 / 2.0, "{nearest:?}, {each:?} with two of each reach");
    assert!(nearest.1 < 1.1 * each.1, "{nearest:?}, {each:?} with two of each reach");
}

proptest! {
    /// Whatever bytes weigh, a request does not wait for a place while another server has one that is
    /// nearer than the wait.
    #[test]
    fn weights_hold_no_request_back(
        queued in 0.0..50.0_f64, free in 0.0..11.0_f64, weight in 0.0..1e6_f64, random in 0.0..1.0_f64,
    ) {
        let near = BackendCandidate { requests: f64::from(SLOTS) + queued, ..IDLE };
        let far = BackendCandidate { requests: free, distance: Distance { time: 16.0, weight }, ..IDLE };
        let gain = expected_wait(&MODEL, &near) - expected_wait(&MODEL, &far);
        prop_assume!(gain > 8.0);
        prop_assert_eq!(choose(&MODEL, &[near, far], || random), Some(1));
    }

    /// One that is much fuller than others is passed over, however far these are and whatever bytes weigh.
    #[test]
    fn crowded_server_is_passed_over(crowd in 6.0..11.0_f64, weight in 0.0..1e6_f64) {
        let near = BackendCandidate { requests: crowd, ..IDLE };
        let far = BackendCandidate { requests: 3.0, distance: Distance { time: 16.0, weight }, ..IDLE };
        prop_assert_eq!(choose_over_regions(&MODEL, &[near, far], 3.0, || 0.5), Some(1));
    }

    /// Among servers with a place, one is left only for a gain over the way and its bytes.
    #[test]
    fn bytes_count_among_servers_with_a_place(here in 0.0..11.0_f64, there in 0.0..11.0_f64) {
        let near = BackendCandidate { requests: here, ..IDLE };
        let far = BackendCandidate { requests: there, distance: distance(Reach::Remote), ..IDLE };
        let gain = expected_wait(&MODEL, &near) - expected_wait(&MODEL, &far);
        let weight = far.distance.weight;
        prop_assume!((gain - weight).abs() > 1e-6);
        let chosen = choose(&MODEL, &[near, far], || 0.5);
        prop_assert_eq!(chosen, Some(usize::from(gain > weight)));
    }

    /// Of words of one region only, nothing changes.
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
        // Two of three meet a busy box or server.
        let took = if place.is_multiple_of(3) { 16 } else { 40 + place };
        distances.record_connect(&far, Duration::from_millis(took), now);
    }
    assert_eq!(distances.time(&far, Reach::Remote, now), 16.0);
    assert_eq!(distances.learned_rtts(now).len(), 1);
}

#[test]
fn distance_that_is_stale_is_forgotten() {
    let (mut distances, begin) = (Distances::default(), Instant::now());
    let far = data_centre("b1");
    let unlearned = distances.time(&far, Reach::Remote, begin);
    for _ in 0..8 {
        distances.record_connect(&far, Duration::from_millis(70), begin);
    }
    assert_eq!(distances.time(&far, Reach::Remote, begin), 70.0);
    let later = begin + Duration::from_secs(600);
    assert_eq!(distances.time(&far, Reach::Remote, later), unlearned);
    // What was seen before does not count with what is seen after.
    for _ in 0..4 {
        distances.record_connect(&far, Duration::from_millis(90), later);
    }
    assert_eq!(distances.time(&far, Reach::Remote, later), 90.0);
}

#[test]
fn one_connect_tells_no_distance() {
    let (mut distances, now) = (Distances::default(), Instant::now());
    let (far, near) = (data_centre("b1"), data_centre("a2"));
    distances.record_connect(&far, Duration::from_millis(900), now);
    assert!(distances.time(&far, Reach::Remote, now) < 100.0);
    assert!(distances.time(&near, Reach::Regional, now) < distances.time(&far, Reach::Remote, now));
    assert_eq!(distances.time(&near, Reach::Local, now), 0.0);
}

#[test]
fn copy_crosses_regions_only_where_it_saves() {
    let copying = KvCopy { rate: 1_500_000.0, token_bytes: 160_000.0 };
    let free = ByteWeights::default();
    // 20,000 tokens are read in 133 ms and copied in 13.
    assert!(fetch_saves(&MODEL, 20_000, &copying, 16.0, &free));
    assert!(!fetch_saves(&MODEL, 20_000, &copying, 200.0, &free));
    assert!(!fetch_saves(&MODEL, 1_000, &copying, 16.0, &free));
    assert!(!fetch_saves(&MODEL, 20_000, &copying, 16.0, &WEIGHTS));
    let none = KvCopy { rate: 0.0, ..copying };
    assert!(!fetch_saves(&MODEL, 20_000, &none, 16.0, &free));
}

#[test]
fn spill_is_told_when_it_begins_and_when_it_ends() {
    let (mut book, begin) = (SpillTracker::default(), Instant::now());
    let service = "svc".parse().unwrap();
    let mut told = Vec::new();
    for step in 0..3_000_u64 {
        let now = begin + Duration::from_millis(20 * step);
        let is_burst = (500..1_500).contains(&step);
        let reach = match is_burst && step.is_multiple_of(2) {
            true => Reach::Remote,
            false => Reach::Local,
        };
        told.extend(book.record(&service, reach, now).map(|news| news.begun));
    }
    assert_eq!(told, [true, false]);
}
