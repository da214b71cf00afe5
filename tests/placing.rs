//! Tests and simulations of server selection with many boxes and engines: what boxes know of loads,
//! and how many requests find no free slot.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use emberturn::decide::choose::{
    BackendCandidate, LoadEstimate, affinity, affinity_group, choose, estimate_other_requests,
    sample_indices,
};
use emberturn::decide::distance::Distance;
use emberturn::decide::engine::EngineModel;
use emberturn::decide::loads::{LoadPool, LoadSample};
use emberturn::ids::{BackendId, Incarnation};
use emberturn::units::Millis;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 12;

const MODEL: EngineModel = EngineModel {
    rate: 50_000.0,
    base: 0.02,
    prompt: 3_000.0,
    wait: 0.0,
    late: 0.0,
    pace: 0.0,
    events: 0.0,
    weight: 100.0,
};

fn id(number: usize) -> BackendId {
    format!("i-{number}").parse().unwrap()
}

/// Where boxes learn the engines' loads.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LoadSource {
    /// From the answers to their own requests.
    Own,
    /// Also from the leader, which pools what all boxes learn.
    Pooled,
}

/// Simulated boxes that send requests to engines with [`SLOTS`] slots. Requests take about a second
/// each.
struct Fleet {
    rng: SmallRng,
    base: Instant,
    /// When each request at each engine ends.
    engines: Vec<Vec<f64>>,
    /// What each box knows: the number of requests at each engine, and the time of that number.
    known: Vec<HashMap<usize, (f64, f64)>>,
    /// The engines whose loads were in the leader's last answer to each box.
    recent: Vec<Vec<usize>>,
    reports: Vec<LoadPool>,
    pool: LoadPool,
    places: HashMap<BackendId, usize>,
}

impl Fleet {
    fn new(boxes: usize, engines: usize) -> Self {
        let base = Instant::now();
        let ids: Vec<_> = (0..engines).map(id).collect();
        let mut pool = LoadPool::default();
        pool.update_servers(ids.iter(), base);
        Self {
            rng: SmallRng::seed_from_u64(5),
            base,
            engines: vec![Vec::new(); engines],
            known: vec![HashMap::new(); boxes],
            recent: vec![Vec::new(); boxes],
            reports: (0..boxes).map(|_| LoadPool::default()).collect(),
            pool,
            places: (0..engines).map(|engine| (id(engine), engine)).collect(),
        }
    }

    fn instant(&self, now: f64) -> Instant {
        self.base + Duration::from_secs_f64(now)
    }

    /// A box's heartbeat to the leader, and the answer.
    fn heartbeat(&mut self, place: usize, now: f64) {
        let at = self.instant(now);
        let reports = self.reports[place].drain(at);
        self.pool.record_samples(reports, at);
        self.recent[place].clear();
        let all: Vec<_> = (0..self.engines.len()).map(id).collect();
        let all: Vec<_> = all.iter().collect();
        for load in self.pool.sample(&all, at, self.rng.random()) {
            self.recent[place].push(self.places[&load.server]);
            let engine = self.places[&load.server];
            self.known[place].insert(engine, (load.decayed_requests(Some(1.0)), now));
        }
    }

    fn choose(&mut self, place: usize, now: f64) -> usize {
        let rng = &mut self.rng;
        let recent = &self.recent[place];
        let all: Vec<_> = (0..self.engines.len()).collect();
        let list = if recent.is_empty() { &all } else { recent };
        let drawn = sample_indices(list.len(), || rng.random());
        let drawn: Vec<_> = drawn.into_iter().map(|it| list[it]).collect();
        let word = |engine: &usize| {
            let (requests, at) = self.known[place].get(engine)?;
            Some(LoadEstimate { requests: *requests, age: now - at })
        };
        let words: Vec<_> = drawn.iter().map(word).collect();
        let candidates: Vec<_> = estimate_other_requests(&words, Some(1.0))
            .into_iter()
            .map(|requests| BackendCandidate {
                requests,
                slots: SLOTS,
                residence_time: 1.0,
                queued_prompt_tokens: 0,
                uncached_prompt_tokens: 3_000,
                distance: Distance::default(),
                memory_full: false,
                ejected: false,
            })
            .collect();
        drawn[choose(&MODEL, &candidates, || rng.random()).unwrap()]
    }

    /// Sends a request from a box. Returns whether it found no free slot.
    fn send(&mut self, place: usize, now: f64) -> bool {
        let engine = self.choose(place, now);
        let ends = &mut self.engines[engine];
        ends.retain(|end| *end > now);
        let waits = ends.len() >= SLOTS as usize;
        let stay = -f64::ln(1.0 - self.rng.random::<f64>());
        ends.push(now + stay);
        let requests = ends.len() as u32;
        self.known[place].insert(engine, (f64::from(requests), now));
        let at = self.instant(now);
        self.reports[place].record(id(engine), requests, at);
        waits
    }

    /// The fraction of requests that find no free slot when the load is `load` times the number of
    /// slots.
    fn simulate(&mut self, load: f64, source: LoadSource) -> f64 {
        let rate = load * self.engines.len() as f64 * f64::from(SLOTS);
        let (mut now, mut next_heartbeat, mut sent, mut waited) = (0.0, 0.0, 0.0, 0.0);
        while now < 12.0 {
            now += -f64::ln(1.0 - self.rng.random::<f64>()) / rate;
            while source == LoadSource::Pooled && next_heartbeat < now {
                let place =
                    (next_heartbeat * 2.5 * self.known.len() as f64) as usize % self.known.len();
                self.heartbeat(place, next_heartbeat);
                next_heartbeat += 0.4 / self.known.len() as f64;
            }
            let place = self.rng.random_range(0..self.known.len());
            let waits = self.send(place, now);
            if now > 4.0 {
                sent += 1.0;
                waited += if waits { 1.0 } else { 0.0 };
            }
        }
        waited / sent
    }
}

/// 0.023 of the requests find no free slot with pooled loads, 0.060 with the loads that each box
/// learns by itself.
#[test]
fn hundreds_of_boxes_find_the_free_places() {
    let [own, pooled] = [LoadSource::Own, LoadSource::Pooled]
        .map(|source| Fleet::new(300, 200).simulate(0.6, source));
    assert!(pooled < 0.03, "{pooled} find no free slot with pooled loads");
    assert!(pooled < own / 2.0, "{pooled} find no free slot with pooled loads, {own} without");
}

#[test]
fn few_are_compared_however_many_there_are() {
    let mut rng = SmallRng::seed_from_u64(1);
    for count in [1, 5, 32, 33, 204, 5_200] {
        let mut places = sample_indices(count, || rng.random());
        places.extend(affinity_group(count, count / 2));
        assert!(places.len() <= 40 && places.iter().all(|place| *place < count), "{places:?}");
    }
    assert!(sample_indices(0, || 0.5).is_empty() && affinity_group(0, 0).is_empty());
}

#[test]
fn each_server_is_compared_about_as_often_as_any_other() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut counts = vec![0_u32; 100];
    for _ in 0..10_000 {
        sample_indices(100, || rng.random()).iter().for_each(|place| counts[*place] += 1);
    }
    let mean = counts.iter().sum::<u32>() / 100;
    assert!(counts.iter().all(|count| (mean / 2..2 * mean).contains(count)), "{counts:?}");
}

#[test]
fn shared_parts_are_spread_over_the_servers() {
    let hashes: Vec<u64> = (0..200).map(|server| affinity(server, 7)).collect();
    let mut counts = HashMap::new();
    for part in 0..20_000_u64 {
        let home = hashes.iter().max_by_key(|server| affinity(part, **server)).unwrap();
        *counts.entry(home).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 200);
    assert!(counts.values().all(|count| (50..200).contains(count)), "{counts:?}");
}

proptest! {
    /// A new sample counts fully, an old one not at all.
    #[test]
    fn old_word_fades_to_what_new_ones_say(
        requests in 0.0..100.0_f64, others in prop::collection::vec(0.0..20.0_f64, 1..8),
    ) {
        let new = |requests| Some(LoadEstimate { requests, age: 0.0 });
        let mut words: Vec<_> = others.iter().map(|it| new(*it)).collect();
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        words.push(Some(LoadEstimate { requests, age: 60.0 }));
        words.push(None);
        let now = estimate_other_requests(&words, Some(1.0));
        prop_assert!((now[others.len()] - mean).abs() < 1e-6);
        prop_assert_eq!(now[others.len() + 1], 0.0);
        words.push(new(requests));
        let now = estimate_other_requests(&words, Some(1.0));
        prop_assert!((now[others.len() + 2] - requests).abs() < 1e-6);
    }

    /// The leader passes on the newest sample of each listed server.
    #[test]
    fn pool_passes_the_newest_loads_on(
        words in prop::collection::vec((0_usize..80, 0_u32..40, 0_u64..3_000), 1..200),
        random in 0.0..1.0_f64,
    ) {
        let now = Instant::now() + Duration::from_secs(10);
        let mut pool = LoadPool::default();
        let mut newest = HashMap::new();
        for (server, requests, age) in words {
            let life = Incarnation(0);
            let sample = LoadSample { server: id(server), incarnation: life, requests, age: Millis(age) };
            pool.record_samples(vec![sample], now);
            let held = newest.entry(id(server)).or_insert((age, requests));
            if age < held.0 {
                *held = (age, requests);
            }
        }
        let there: Vec<_> = (20..90).map(id).collect();
        pool.update_servers(there.iter(), now);
        let listed: Vec<_> = there.iter().collect();
        let drawn = pool.sample(&listed, now, random);
        prop_assert!(!drawn.is_empty() && drawn.len() < there.len());
        for load in &drawn {
            prop_assert!(there.contains(&load.server));
            let newest = newest.get(&load.server).copied().unwrap_or((0, 0));
            prop_assert_eq!(newest, (load.age.0, load.requests));
        }
        prop_assert_eq!(pool.drain(now).len(), there.len());
        prop_assert!(pool.sample(&listed, now, random).is_empty());
    }
}
