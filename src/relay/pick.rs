//! Selects the backend server for one send: which servers are compared and what is known about
//! each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Relay;
use super::attempts::PrefillWork;
use super::by_reach::{LocatedServer, ServersByReach};
use super::call::{Call, PromptSegment};
use super::known::KnownServer;
use super::restraint::SendRestrictions;
use super::table::{EngineSpec, Route};
use crate::decide::choose::{
    BackendCandidate, affinity, affinity_group, choose, choose_over_regions, compares_all,
    estimate_other_requests_by_region, sample_indices, should_search_farther,
};
use crate::decide::distance::{Distance, KvCopy, fetch_saves, kilobytes};
use crate::decide::engine::EngineModel;
use crate::decide::filling::{EngineUsage, have_room};
use crate::decide::releases::ReleaseChoice;
use crate::decide::topology::Reach;
use crate::ids::{BackendId, ServiceName};

/// Shortest shared prefix, in tokens, that is copied from the engine that caches it. Copying takes
/// a tenth of the time of computing it again, and costs less.
const MIN_COPIED_TOKENS: u64 = 100;

/// Share of a copied prefix that counts as cached. The rest stands for the cost of copying, so that
/// an engine that already has the prefix remains the better choice.
const COPIED_CACHE_SHARE: f64 = 0.6;

/// How long an engine is assumed to cache a prefix after this box had it computed there.
const CACHE_LIFETIME: Duration = Duration::from_secs(30);

/// How often servers are drawn from a group until one of them is eligible. Even where all
/// reclaimable servers of a data centre are shutting down, most servers of a group are not.
const MAX_DRAWS: u32 = 3;

/// The inputs for selecting a server.
pub(super) struct Picker<'a> {
    pub(super) relay: &'a Relay,
    pub(super) call: &'a Call,
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    /// The service's engine parameters, if it is a model, and the performance model learned for
    /// them.
    pub(super) engine: Option<EngineSpec>,
    pub(super) model: EngineModel,
    /// The release that the send goes to.
    pub(super) release_choice: &'a ReleaseChoice,
    /// Servers that already received the call.
    pub(super) tried_servers: &'a [BackendId],
    /// Rate limits and pauses that servers requested of this box.
    pub(super) restraints: &'a SendRestrictions,
}

/// The selected server.
pub(super) struct Picked {
    pub(super) known: Arc<KnownServer>,
    pub(super) reach: Reach,
    /// The prompt tokens that the server has to process.
    pub(super) prefill_work: PrefillWork,
    /// The server from whose KV cache it copies part of the prompt.
    pub(super) prefix_source: Option<SocketAddr>,
}

/// For each region, the server that all its boxes expect to cache the call's shared prefix. A
/// prefix that is requested in three regions is computed three times rather than copied between
/// regions.
type PrefixHomes = Vec<Option<LocatedServer>>;

/// Servers and what is known about each; all vectors have the same order.
struct Comparison {
    servers: Vec<LocatedServer>,
    candidates: Vec<BackendCandidate>,
    /// For each server, the one it would copy the shared prefix from.
    prefix_sources: Vec<Option<LocatedServer>>,
}

impl Picker<'_> {
    /// Selects the server that is expected to start the call first.
    pub(super) fn pick(&self) -> Option<Picked> {
        let placed = self.relay.servers.by_reach(self.service);
        let homes = self.homes(&placed);
        let loaded = self.relay.servers.with_recent_loads(self.service);
        let (compared, mean_requests) = match compares_all(placed.all.len()) {
            true => (self.compare(self.available(&placed), &homes), mean_requests(&placed)),
            false => {
                let mean_requests = mean_requests(&loaded);
                (self.compare_sample(&placed, &loaded, mean_requests, &homes), mean_requests)
            }
        };
        self.choose(compared, mean_requests)
    }

    /// Computes the home of the shared prefix in each region. A service with few servers has a
    /// single home in all regions: with about four servers in a region, each server that starts or
    /// stops would move a quarter of all prefixes, and each region would compute them anew.
    fn homes(&self, placed: &ServersByReach) -> PrefixHomes {
        let prefix = self.call.shared_prefix();
        match compares_all(placed.all.len()) {
            true => vec![prefix.and_then(|it| self.home(&placed.all, it)); placed.by_region.len()],
            false => placed.by_region.iter().map(|servers| self.home(servers, prefix?)).collect(),
        }
    }

    fn home(&self, servers: &[LocatedServer], prefix: PromptSegment) -> Option<LocatedServer> {
        let at = servers.partition_point(|it| it.known.hash < affinity(prefix.id, 0));
        let nearby = affinity_group(servers.len(), at).into_iter().map(|index| &servers[index]);
        // A server with a rate limit serves only a few of the calls with the same prefix.
        let open = nearby
            .filter(|it| self.is_eligible(&it.known) && !self.restraints.is_limited(&it.known));
        open.max_by_key(|it| affinity(prefix.id, it.known.hash)).cloned()
    }

    /// Compares a sample of many servers. Servers are drawn from one group after another, nearest
    /// first, until one of them has room; where the leader has reported loads, only from servers
    /// with a known load. The prefix homes in the regions considered are always included.
    fn compare_sample(
        &self,
        placed: &ServersByReach,
        loaded: &ServersByReach,
        mean_requests: Option<f64>,
        homes: &PrefixHomes,
    ) -> Comparison {
        let mut sample: Vec<LocatedServer> = Vec::new();
        for (index, group) in placed.by_reach.iter().enumerate() {
            let loaded_group = loaded.by_reach.get(index).filter(|group| !group.is_empty());
            let is_remote = group.first().is_some_and(|it| it.reach == Reach::Remote);
            let group_homes = homes.iter().flatten();
            let group_homes = group_homes.filter(|it| (it.reach == Reach::Remote) == is_remote);
            let sampled = self.draw(loaded_group.unwrap_or(group));
            for it in sampled.iter().chain(group_homes) {
                if sample.iter().all(|held| held.known.hash != it.known.hash) {
                    sample.push(it.clone());
                }
            }
            let compared = self.compare(sample.clone(), homes);
            if !should_search_farther(&compared.candidates, mean_requests) {
                return compared;
            }
        }
        self.compare(if sample.is_empty() { self.available(placed) } else { sample }, homes)
    }

    /// Draws eligible servers of a group at random.
    fn draw(&self, group: &[LocatedServer]) -> Vec<LocatedServer> {
        for _ in 0..MAX_DRAWS {
            let drawn = sample_indices(group.len(), rand::random::<f64>);
            let mut takers: Vec<_> = drawn.into_iter().map(|index| group[index].clone()).collect();
            takers.retain(|it| self.is_eligible(&it.known));
            if !takers.is_empty() {
                return takers;
            }
        }
        Vec::new()
    }

    fn available(&self, placed: &ServersByReach) -> Vec<LocatedServer> {
        placed.all.iter().filter(|it| self.is_eligible(&it.known)).cloned().collect()
    }

    /// Whether a server accepts this call.
    fn is_eligible(&self, known: &KnownServer) -> bool {
        known.is_open()
            && self.release_choice.takes(&known.server.release)
            && !self.tried_servers.contains(&known.server.id)
            && self.restraints.allows(known)
    }

    /// Selects from the compared servers the one that is expected to start the call first.
    fn choose(&self, compared: Comparison, mean_requests: Option<f64>) -> Option<Picked> {
        let (candidates, random) = (&compared.candidates, rand::random::<f64>);
        let index =
            match mean_requests.filter(|_| self.relay.context.topology.has_multiple_regions()) {
                Some(mean_requests) => {
                    choose_over_regions(&self.model, candidates, mean_requests, random)
                }
                None => choose(&self.model, candidates, random),
            }?;
        let (chosen, candidate) = (&compared.servers[index], &compared.candidates[index]);
        let shared = self.call.shared_prefix().map_or(0, |prefix| prefix.tokens);
        let prefill_work = PrefillWork {
            tokens: candidate.uncached_prompt_tokens,
            unshared_tokens: self.call.prompt_tokens().saturating_sub(shared),
            is_queue_empty: chosen.known.queued_prompt_tokens() == 0 && !candidate.ejected,
        };
        let prefix_source = compared.prefix_sources[index].as_ref();
        let fetch = prefix_source.filter(|_| !self.has_read_prefix(&chosen.known));
        Some(Picked {
            known: chosen.known.clone(),
            reach: chosen.reach,
            prefill_work,
            prefix_source: fetch.map(|source| source.known.server.addr),
        })
    }

    /// Collects what is known about each server.
    fn compare(&self, servers: Vec<LocatedServer>, homes: &PrefixHomes) -> Comparison {
        let distances = self.distances(&servers);
        let placed = || servers.iter().zip(distances.iter().map(|distance| distance.rtt_ms));
        let seen: Vec<_> = placed().filter(|(it, _)| self.has_read_prefix(&it.known)).collect();
        let prefix_source = |(it, time)| self.prefix_source(it, time, &seen, homes).cloned();
        let prefix_sources: Vec<_> = placed().map(prefix_source).collect();
        let has_read_prefix =
            |it: &LocatedServer| seen.iter().any(|(at, _)| is_same_server(at, it));
        let stays = servers.iter().filter_map(|it| it.known.state.service_time());
        let stays: Vec<_> = stays.collect();
        let stay = (!stays.is_empty()).then(|| stays.iter().sum::<f64>() / stays.len() as f64);
        let estimates: Vec<_> = servers.iter().map(|it| it.known.load_estimate()).collect();
        let regions: Vec<_> = servers.iter().map(|it| it.region_index).collect();
        let others = estimate_other_requests_by_region(&estimates, &regions, stay);
        let now = Instant::now();
        let room = self.have_room(&servers, &others);
        let any_room = room.contains(&true);
        let candidate = |index: usize| {
            let it = &servers[index];
            let known = &it.known;
            let cached = self.cached_tokens(
                has_read_prefix(it) || is_home(it, homes),
                prefix_sources[index].is_some(),
            );
            BackendCandidate {
                requests: others[index] + f64::from(known.state.in_flight()),
                slots: known.server.slots,
                residence_time: stay.unwrap_or_default(),
                queued_prompt_tokens: known.queued_prompt_tokens(),
                uncached_prompt_tokens: self.call.prompt_tokens().saturating_sub(cached),
                distance: distances[index],
                memory_full: any_room && !room[index],
                ejected: known.state.is_ejected() || known.state.is_avoided(&self.route.name, now),
            }
        };
        let candidates = (0..servers.len()).map(candidate).collect();
        Comparison { servers, candidates, prefix_sources }
    }

    /// Which servers have KV cache memory left for the call. All of them, if the engines' memory
    /// size is unknown.
    fn have_room(&self, open: &[LocatedServer], others: &[f64]) -> Vec<bool> {
        let Some(spec) = &self.engine else {
            return vec![true; open.len()];
        };
        let filling = open.iter().zip(others).map(|(it, others)| EngineUsage {
            own_requests: it.known.state.in_flight(),
            own_tokens: it.known.reserved_tokens(),
            other_requests: *others,
        });
        have_room(spec.memory, &filling.collect::<Vec<_>>(), self.call.max_tokens())
    }

    fn distances(&self, open: &[LocatedServer]) -> Vec<Distance> {
        let output = self.call.head.generation.map_or(0, |size| size.max_output_tokens);
        let kilobytes = kilobytes(self.call.body.len(), output);
        let weights = &self.relay.context.settings.weights;
        let learned = self.relay.distances();
        let now = Instant::now();
        let distance = |it: &LocatedServer| Distance {
            rtt_ms: learned.rtt_ms(&it.known.server.data_centre, it.reach, now),
            byte_cost_ms: kilobytes * weights.of(it.reach),
        };
        open.iter().map(distance).collect()
    }

    /// Prompt tokens that a server need not compute because it caches the shared prefix or copies
    /// it.
    fn cached_tokens(&self, keeps: bool, copies: bool) -> u64 {
        let Some(prefix) = self.call.shared_prefix() else {
            return 0;
        };
        match (keeps, copies) {
            (true, _) => prefix.tokens,
            (false, true) => (prefix.tokens as f64 * COPIED_CACHE_SHARE) as u64,
            (false, false) => 0,
        }
    }

    /// Whether this box recently had the call's shared prefix computed at the server.
    fn has_read_prefix(&self, known: &KnownServer) -> bool {
        let prefix = self.call.shared_prefix();
        prefix.is_some_and(|prefix| known.state.cached_blocks(&[prefix.id], CACHE_LIFETIME) > 0)
    }

    /// The server from which `server` would copy the call's shared prefix: a server of its own region,
    /// or one of another region if copying saves more than it costs. It runs the same release, as a server cannot use
    /// what another release computed. The servers in `seen` are
    /// known to have computed the prefix for this box; that a home has it is only assumed. Times
    /// are round trips from this box in milliseconds; for a copy between two regions the longer one
    /// counts.
    fn prefix_source<'a>(
        &self,
        server: &LocatedServer,
        time: f64,
        seen: &[(&'a LocatedServer, f64)],
        homes: &'a PrefixHomes,
    ) -> Option<&'a LocatedServer> {
        let prefix =
            self.call.shared_prefix().filter(|prefix| prefix.tokens >= MIN_COPIED_TOKENS)?;
        let home = homes
            .get(server.region_index)
            .and_then(Option::as_ref)
            .filter(|home| can_copy(home, server));
        let mut others = seen.iter().filter(|(other, _)| can_copy(other, server));
        let near = others.clone().find(|(other, _)| other.region_index == server.region_index);
        let near = near.map(|(other, _)| *other).or(home);
        near.or_else(|| {
            let far = others.find(|(_, far)| self.is_copy_worthwhile(prefix, time.max(*far)));
            let far = far.map(|(other, _)| *other);
            far.or_else(|| {
                primary_home(server, prefix, homes)
                    .filter(|_| self.is_copy_worthwhile(prefix, time))
            })
        })
    }

    /// Whether copying a prefix between regions saves more than it costs. `time` is the round trip
    /// in milliseconds.
    fn is_copy_worthwhile(&self, prefix: PromptSegment, time: f64) -> bool {
        let Some(spec) = &self.engine else {
            return false;
        };
        let copying = KvCopy { rate: spec.copy_rate, token_bytes: spec.token_bytes };
        let weights = &self.relay.context.settings.weights;
        fetch_saves(&self.model, prefix.tokens, &copying, time, weights)
    }
}

/// Mean number of requests per available server in all regions; `None` if there is no such server.
fn mean_requests(placed: &ServersByReach) -> Option<f64> {
    let open = || placed.all.iter().filter(|it| it.known.is_open());
    let requests = open().map(|it| f64::from(it.known.estimated_requests()));
    let count = open().count();
    (count > 0).then(|| requests.sum::<f64>() / count as f64)
}

/// The one home among all regions that computes a prefix first. The other regions copy the prefix
/// from there if that takes less time than computing it, so that it is computed once rather than
/// once per region.
fn primary_home<'a>(
    server: &LocatedServer,
    prefix: PromptSegment,
    homes: &'a PrefixHomes,
) -> Option<&'a LocatedServer> {
    let first = homes.iter().flatten().max_by_key(|home| affinity(prefix.id, home.known.hash));
    first.filter(|home| can_copy(home, server))
}

fn is_home(server: &LocatedServer, homes: &PrefixHomes) -> bool {
    homes
        .get(server.region_index)
        .and_then(Option::as_ref)
        .is_some_and(|home| is_same_server(home, server))
}

/// Whether `server` can use a prefix that `source` computed.
fn can_copy(source: &LocatedServer, server: &LocatedServer) -> bool {
    !is_same_server(source, server) && source.known.server.release == server.known.server.release
}

fn is_same_server(a: &LocatedServer, b: &LocatedServer) -> bool {
    a.known.hash == b.known.hash
}
