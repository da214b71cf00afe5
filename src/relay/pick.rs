//! The backend server for one send of a call: which are compared, and what is known of each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Relay;
use super::attempts::PrefillWork;
use super::call::{Call, PromptSegment};
use super::known::Known;
use super::placed::{Placed, PlacedServer};
use super::restraint::Restraints;
use super::table::{EngineSpec, Route};
use crate::decide::choose::{
    Candidate, affinity, choose, choose_over_regions, compares_all, drawn, looks_further,
    neighbours, others_by_region,
};
use crate::decide::distance::{Copying, Distance, fetch_saves, kilobytes};
use crate::decide::engine::EngineModel;
use crate::decide::filling::{Filling, have_room};
use crate::decide::releases::ReleaseChoice;
use crate::decide::topology::Reach;
use crate::ids::{BackendId, ServiceName};

/// Shared tokens from which on a part of a prompt is copied from the engine that keeps it: copying it
/// takes a tenth of the time of reading it, and costs less.
const MIN_COPIED_TOKENS: u64 = 100;

/// The part of what is copied that counts as cached. The rest stands for the cost of copying: an
/// engine that keeps it is still the better choice.
const COPIED_CACHE_SHARE: f64 = 0.6;

/// How long an engine is taken to keep a part of a prompt that this box had read there.
const CACHE_LIFETIME: Duration = Duration::from_secs(30);

/// How often some of a group are drawn until one of them takes the call: where a data centre's
/// reclaimable servers are leaving, most of a group do not.
const MAX_DRAWS: u32 = 3;

/// What a send goes by.
pub(super) struct Picker<'a> {
    pub(super) relay: &'a Relay,
    pub(super) call: &'a Call,
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    /// What is known of its engines, where it is a model, and what was learned of them.
    pub(super) engine: Option<EngineSpec>,
    pub(super) model: EngineModel,
    /// Which release the send goes to.
    pub(super) release_choice: &'a ReleaseChoice,
    /// The servers that had the call before.
    pub(super) tried_servers: &'a [BackendId],
    /// What servers asked of this box.
    pub(super) restraints: &'a Restraints,
}

/// The server for a send.
pub(super) struct Picked {
    pub(super) known: Arc<Known>,
    pub(super) reach: Reach,
    /// What it has to read.
    pub(super) prefill_work: PrefillWork,
    /// The server from which it is to copy a part of the prompt.
    pub(super) prefix_source: Option<SocketAddr>,
}

/// In each region, the server at which all its boxes expect the call's shared part: a part that is asked
/// for in three regions is read three times, and never crosses.
type PrefixHomes = Vec<Option<PlacedServer>>;

/// Servers, and what is known of each.
struct Comparison {
    servers: Vec<PlacedServer>,
    candidates: Vec<Candidate>,
    /// From which server each would copy the call's shared part.
    prefix_sources: Vec<Option<PlacedServer>>,
}

impl Picker<'_> {
    /// The server expected to begin the call first.
    pub(super) fn pick(&self) -> Option<Picked> {
        let placed = self.relay.servers.placed(self.service);
        let homes = self.homes(&placed);
        let loaded = self.relay.servers.loaded(self.service);
        let (compared, mean_requests) = match compares_all(placed.all.len()) {
            true => (self.compare(self.available(&placed), &homes), mean_requests(&placed)),
            false => {
                let mean_requests = mean_requests(&loaded);
                (self.compare_sample(&placed, &loaded, mean_requests, &homes), mean_requests)
            }
        };
        self.choose(compared, mean_requests)
    }

    /// A service of sample servers has one home for a part, whichever region asks: with some four servers in a
    /// region each that comes or goes moves a quarter of all parts there, and its regions read them anew.
    fn homes(&self, placed: &Placed) -> PrefixHomes {
        let part = self.call.shared_prefix();
        match compares_all(placed.all.len()) {
            true => vec![part.and_then(|it| self.home(&placed.all, it)); placed.regions.len()],
            false => placed.regions.iter().map(|servers| self.home(servers, part?)).collect(),
        }
    }

    fn home(&self, servers: &[PlacedServer], part: PromptSegment) -> Option<PlacedServer> {
        let at = servers.partition_point(|it| it.known.hash < affinity(part.id, 0));
        let near = neighbours(servers.len(), at).into_iter().map(|place| &servers[place]);
        // A server that limits itself takes a sample of the calls that share a part.
        let open =
            near.filter(|it| self.is_eligible(&it.known) && !self.restraints.is_limited(&it.known));
        open.max_by_key(|it| affinity(part.id, it.known.hash)).cloned()
    }

    /// A sample of many servers: some of each group, whose loads the leader told where it told any, until one
    /// of them has room; and the homes of the call's shared part in the regions looked at.
    fn compare_sample(
        &self,
        placed: &Placed,
        loaded: &Placed,
        mean_requests: Option<f64>,
        homes: &PrefixHomes,
    ) -> Comparison {
        let mut sample: Vec<PlacedServer> = Vec::new();
        for (place, group) in placed.groups.iter().enumerate() {
            let loaded_group = loaded.groups.get(place).filter(|group| !group.is_empty());
            let is_remote = group.first().is_some_and(|it| it.reach == Reach::Remote);
            let homes_there = homes.iter().flatten();
            let homes_there = homes_there.filter(|it| (it.reach == Reach::Remote) == is_remote);
            let sampled = self.draw(loaded_group.unwrap_or(group));
            for it in sampled.iter().chain(homes_there) {
                if sample.iter().all(|held| held.known.hash != it.known.hash) {
                    sample.push(it.clone());
                }
            }
            let compared = self.compare(sample.clone(), homes);
            if !looks_further(&compared.candidates, mean_requests) {
                return compared;
            }
        }
        self.compare(if sample.is_empty() { self.available(placed) } else { sample }, homes)
    }

    /// Some of a group that take the call, drawn at random.
    fn draw(&self, group: &[PlacedServer]) -> Vec<PlacedServer> {
        for _ in 0..MAX_DRAWS {
            let drawn = drawn(group.len(), rand::random::<f64>);
            let mut takers: Vec<_> = drawn.into_iter().map(|place| group[place].clone()).collect();
            takers.retain(|it| self.is_eligible(&it.known));
            if !takers.is_empty() {
                return takers;
            }
        }
        Vec::new()
    }

    fn available(&self, placed: &Placed) -> Vec<PlacedServer> {
        placed.all.iter().filter(|it| self.is_eligible(&it.known)).cloned().collect()
    }

    /// Whether a server takes this call.
    fn is_eligible(&self, known: &Known) -> bool {
        known.is_open()
            && self.release_choice.takes(&known.server.release)
            && !self.tried_servers.contains(&known.server.id)
            && self.restraints.allows(known)
    }

    /// The server of those compared that is expected to begin the call first.
    fn choose(&self, compared: Comparison, mean_requests: Option<f64>) -> Option<Picked> {
        let (candidates, random) = (&compared.candidates, rand::random::<f64>);
        let place = match mean_requests.filter(|_| self.relay.context.topology.is_split()) {
            Some(mean_requests) => {
                choose_over_regions(&self.model, candidates, mean_requests, random)
            }
            None => choose(&self.model, candidates, random),
        }?;
        let (chosen, candidate) = (&compared.servers[place], &compared.candidates[place]);
        let shared = self.call.shared_prefix().map_or(0, |part| part.tokens);
        let prefill_work = PrefillWork {
            tokens: candidate.uncached,
            unshared_tokens: self.call.prompt_tokens().saturating_sub(shared),
            is_queue_empty: chosen.known.unread() == 0 && !candidate.ejected,
        };
        let prefix_source = compared.prefix_sources[place].as_ref();
        let fetch = prefix_source.filter(|_| !self.has_read_prefix(&chosen.known));
        Some(Picked {
            known: chosen.known.clone(),
            reach: chosen.reach,
            prefill_work,
            prefix_source: fetch.map(|source| source.known.server.addr),
        })
    }

    /// What is known of servers.
    fn compare(&self, servers: Vec<PlacedServer>, homes: &PrefixHomes) -> Comparison {
        let distances = self.distances(&servers);
        let placed = || servers.iter().zip(distances.iter().map(|distance| distance.time));
        let seen: Vec<_> = placed().filter(|(it, _)| self.has_read_prefix(&it.known)).collect();
        let prefix_source = |(it, time)| self.prefix_source(it, time, &seen, homes).cloned();
        let prefix_sources: Vec<_> = placed().map(prefix_source).collect();
        let has_read_prefix = |it: &PlacedServer| seen.iter().any(|(at, _)| is_same_server(at, it));
        let stays = servers.iter().filter_map(|it| it.known.state.service_time());
        let stays: Vec<_> = stays.collect();
        let stay = (!stays.is_empty()).then(|| stays.iter().sum::<f64>() / stays.len() as f64);
        let words: Vec<_> = servers.iter().map(|it| it.known.load_estimate()).collect();
        let regions: Vec<_> = servers.iter().map(|it| it.region).collect();
        let others = others_by_region(&words, &regions, stay);
        let now = Instant::now();
        let room = self.have_room(&servers, &others);
        let any_room = room.contains(&true);
        let candidate = |place: usize| {
            let it = &servers[place];
            let known = &it.known;
            let cached = self.cached_tokens(
                has_read_prefix(it) || is_home(it, homes),
                prefix_sources[place].is_some(),
            );
            Candidate {
                requests: others[place] + f64::from(known.state.in_flight()),
                slots: known.server.slots,
                stay: stay.unwrap_or_default(),
                unread: known.unread(),
                uncached: self.call.prompt_tokens().saturating_sub(cached),
                distance: distances[place],
                full: any_room && !room[place],
                ejected: known.state.is_ejected() || known.state.is_avoided(&self.route.name, now),
            }
        };
        let candidates = (0..servers.len()).map(candidate).collect();
        Comparison { servers, candidates, prefix_sources }
    }

    /// Which servers have memory left for the call, where their memory is known.
    fn have_room(&self, open: &[PlacedServer], others: &[f64]) -> Vec<bool> {
        let Some(spec) = &self.engine else {
            return vec![true; open.len()];
        };
        let filling = open.iter().zip(others).map(|(it, others)| Filling {
            own: it.known.state.in_flight(),
            tokens: it.known.tokens(),
            others: *others,
        });
        have_room(spec.memory, &filling.collect::<Vec<_>>(), self.call.max_tokens())
    }

    fn distances(&self, open: &[PlacedServer]) -> Vec<Distance> {
        let output = self.call.head.generation.map_or(0, |size| size.max_output_tokens);
        let kilobytes = kilobytes(self.call.body.len(), output);
        let weights = &self.relay.context.settings.weights;
        let learned = self.relay.distances();
        let now = Instant::now();
        let distance = |it: &PlacedServer| Distance {
            time: learned.time(&it.known.server.data_centre, it.reach, now),
            weight: kilobytes * weights.of(it.reach),
        };
        open.iter().map(distance).collect()
    }

    /// Prompt tokens of the call that a server need not read, which keeps the shared part or copies it.
    fn cached_tokens(&self, keeps: bool, copies: bool) -> u64 {
        let Some(part) = self.call.shared_prefix() else {
            return 0;
        };
        match (keeps, copies) {
            (true, _) => part.tokens,
            (false, true) => (part.tokens as f64 * COPIED_CACHE_SHARE) as u64,
            (false, false) => 0,
        }
    }

    /// Whether this box has lately had the call's shared part read there.
    fn has_read_prefix(&self, known: &Known) -> bool {
        let part = self.call.shared_prefix();
        part.is_some_and(|part| known.state.cached_blocks(&[part.id], CACHE_LIFETIME) > 0)
    }

    /// The server from which another one would copy the call's shared part: one of its region, or where
    /// none keeps it, one of another region if that saves more than it costs. Where this box has had it
    /// read, at the servers `seen`, is known; where all boxes expect it is a guess. Each stands with the
    /// milliseconds from this box there and back: between two regions it is that of the farther one.
    fn prefix_source<'a>(
        &self,
        it: &PlacedServer,
        time: f64,
        seen: &[(&'a PlacedServer, f64)],
        homes: &'a PrefixHomes,
    ) -> Option<&'a PlacedServer> {
        let part = self.call.shared_prefix().filter(|part| part.tokens >= MIN_COPIED_TOKENS)?;
        let home =
            homes.get(it.region).and_then(Option::as_ref).filter(|home| !is_same_server(home, it));
        let mut others = seen.iter().filter(|(other, _)| !is_same_server(other, it));
        let near = others.clone().find(|(other, _)| other.region == it.region);
        let near = near.map(|(other, _)| *other).or(home);
        near.or_else(|| {
            let far = others.find(|(_, far)| self.is_copy_worthwhile(part, time.max(*far)));
            let far = far.map(|(other, _)| *other);
            far.or_else(|| {
                primary_home(it, part, homes).filter(|_| self.is_copy_worthwhile(part, time))
            })
        })
    }

    /// Whether copying a shared part over a distance between regions saves more than it costs.
    fn is_copy_worthwhile(&self, part: PromptSegment, time: f64) -> bool {
        let Some(spec) = &self.engine else {
            return false;
        };
        let copying = Copying { rate: spec.copy_rate, token_bytes: spec.token_bytes };
        let weights = &self.relay.context.settings.weights;
        fetch_saves(&self.model, part.tokens, &copying, time, weights)
    }
}

/// Requests that servers have, near and far; `None` where none is known.
fn mean_requests(placed: &Placed) -> Option<f64> {
    let open = || placed.all.iter().filter(|it| it.known.is_open());
    let requests = open().map(|it| f64::from(it.known.requests()));
    let count = open().count();
    (count > 0).then(|| requests.sum::<f64>() / count as f64)
}

/// Of the homes of all regions, the one that has a part first: the others copy it from there, so that it is read
/// once and not once a region, where that takes less time than reading it.
fn primary_home<'a>(
    it: &PlacedServer,
    part: PromptSegment,
    homes: &'a PrefixHomes,
) -> Option<&'a PlacedServer> {
    let first = homes.iter().flatten().max_by_key(|home| affinity(part.id, home.known.hash));
    first.filter(|home| !is_same_server(home, it))
}

fn is_home(it: &PlacedServer, homes: &PrefixHomes) -> bool {
    homes.get(it.region).and_then(Option::as_ref).is_some_and(|home| is_same_server(home, it))
}

fn is_same_server(a: &PlacedServer, b: &PlacedServer) -> bool {
    a.known.hash == b.known.hash
}
