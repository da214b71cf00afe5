//! The route table that operators publish, validated as a whole.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::decide::token_bucket::RateLimit;
use crate::ids::{DataCentre, ServiceName, TeamName, Version};
use crate::units::Tokens;

/// How often a request may run, which decides what may be done after it has been sent once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Safe,
    /// The request must run at most once.
    Once,
    /// An event stream that must run at most once.
    Stream,
    /// An event stream that another server can resume after the last event.
    ResumableStream,
}

impl Repeat {
    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether the request may be sent again although it may already have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    /// The service that receives the share.
    pub service: ServiceName,
    /// The weight relative to the route's other splits.
    pub weight: u32,
}

/// A route: a host and path prefix, and how requests that match it are handled.
#[derive(Debug, Clone)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host it matches, in lower case.
    pub host: String,
    /// The path prefix it matches. It begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// The longest time a request is held before it fails.
    pub timeout: Duration,
    /// The latency target for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// The longest pause between two events of a stream that meets the target, if there is one.
    pub gap: Option<Duration>,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// How many servers a request may be sent to at most.
    pub attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// The services that its traffic goes to.
    pub splits: Vec<TrafficSplit>,
}

/// The properties of the engines of a model service.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// How many requests an engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's KV cache, in tokens.
    pub memory: Tokens,
    /// Whether a running request can move to another engine together with its KV cache.
    pub moves: bool,
    /// Tokens in each event of a stream.
    pub event: Tokens,
    /// How many tokens of KV cache an engine copies to another one per second.
    pub copy_rate: f64,
    /// Size of a token's KV cache, in bytes.
    pub token_bytes: f64,
}

/// How many engines a service may have, and their prices.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// The minimum number of engines in each data centre.
    pub least: u32,
    /// The maximum number of engines in each data centre.
    pub most: u32,
    /// Time from the order of an engine until it serves requests.
    pub boot_time: Duration,
    /// The price of a spot engine as a fraction of the on-demand price; `None` if there are no spot
    /// engines.
    pub spot_price: Option<f64>,
    /// The price of an on-demand engine in each data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// A service that requests are forwarded to.
#[derive(Debug, Clone)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The path at which its servers answer health checks.
    pub health: String,
    /// The maximum number of connections to one server, over all callers.
    pub connections: u32,
    /// The properties of its engines, if the service is a model.
    pub engine: Option<EngineSpec>,
    /// How many engines it may have, if the platform takes orders for it.
    pub scaling: Option<Scaling>,
}

/// The unit of a team's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens. A request that does not state its tokens counts as this many.
    Tokens(u64),
}

/// A team and its rate limit.
#[derive(Debug, Clone)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The team's priority, compared before the route's; 0 is the highest.
    pub priority: u8,
    /// The unit of the rate limit.
    pub unit: Unit,
    /// Units per second over all boxes; `None` if the team has no rate limit.
    pub rate: Option<f64>,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
}

impl Team {
    /// The team's rate limit; `None` if it has none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.rate.map(|rate| RateLimit { rate, burst: self.burst })
    }

    /// How many units one request takes of the team's limit.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens(plain) => tokens.unwrap_or(plain) as f64,
        }
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head: usize,
    /// The largest request body, in bytes.
    pub body: usize,
    /// The longest time for a request head to arrive.
    pub head_time: Duration,
    /// The longest time a connection may be idle.
    pub idle_time: Duration,
}

/// The contents of a [`RouteTable`] before validation.
#[derive(Debug, Clone)]
pub struct TableParts {
    /// The version chosen by the operator.
    pub version: Version,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams, each with its API keys. If there are none, requests need no key.
    pub teams: Vec<(Team, Vec<String>)>,
}

/// Why a route table is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteTableError {
    /// A route refers to a service that is not in the table.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The missing service.
        service: ServiceName,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicatePrefix {
        /// The name of one route.
        first: String,
        /// The name of the other route.
        second: String,
    },
    /// All weights of the route are 0.
    #[error("the weights of route {0} sum to 0")]
    ZeroWeight(String),
    /// The timeout of the route is 0.
    #[error("the timeout of route {0} is 0")]
    ZeroTimeout(String),
    /// The path prefix of the route does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    InvalidPrefix(String),
    /// Two teams have the same API key.
    #[error("teams {first} and {second} share a key")]
    SharedKey {
        /// The name of one team.
        first: TeamName,
        /// The name of the other team.
        second: TeamName,
    },
    /// Two services or teams have the same name.
    #[error("{0} is defined twice")]
    DuplicateName(String),
}

/// A validated route table.
#[derive(Debug)]
pub struct RouteTable {
    /// The version chosen by the operator.
    pub version: Version,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    hosts: HashMap<String, HostRoutes>,
    keys: HashMap<String, TeamName>,
}

/// The routes of one host, by path prefix.
#[derive(Debug, Default)]
struct HostRoutes {
    routes: HashMap<String, Arc<Route>>,
    /// The largest number of slashes in a prefix. Only that many leading segments of a path are
    /// looked up.
    depth: usize,
}

impl HostRoutes {
    fn add(&mut self, route: Route) -> Result<(), RouteTableError> {
        let (prefix, name) = (route.prefix.clone(), route.name.clone());
        self.depth = self.depth.max(prefix.matches('/').count());
        match self.routes.insert(prefix, Arc::new(route)) {
            Some(other) => {
                Err(RouteTableError::DuplicatePrefix { first: other.name.clone(), second: name })
            }
            None => Ok(()),
        }
    }

    /// The route with the longest prefix of `path`. It looks up each prefix of the path instead of
    /// scanning the routes: a host may have thousands.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.match_indices('/').take(self.depth);
        let found = slashes.filter_map(|(place, _)| self.routes.get(&path[..=place]));
        found.last()
    }
}

impl RouteTable {
    /// Validates the parts and builds the table.
    ///
    /// # Errors
    ///
    /// The first [`RouteTableError`] found.
    pub fn new(parts: TableParts) -> Result<Self, RouteTableError> {
        let mut services = BTreeMap::new();
        for service in parts.services {
            let name = service.name.clone();
            if services.insert(name.clone(), service).is_some() {
                return Err(RouteTableError::DuplicateName(format!("service {name}")));
            }
        }
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for route in parts.routes {
            validate_route(&route, &services)?;
            hosts.entry(route.host.clone()).or_default().add(route)?;
        }
        let (teams, keys) = index_teams(parts.teams)?;
        Ok(Self { version: parts.version, limits: parts.limits, services, teams, hosts, keys })
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(|host| host.routes.len()).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|host| host.routes.values())
    }

    /// The route of a request: of the host's routes, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.find(path)
    }

    /// The team that an API key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        self.teams.get(self.keys.get(key)?)
    }

    /// Whether requests need an API key.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

fn validate_route(
    route: &Route,
    services: &BTreeMap<ServiceName, Service>,
) -> Result<(), RouteTableError> {
    for split in &route.splits {
        if !services.contains_key(&split.service) {
            let (route, service) = (route.name.clone(), split.service.clone());
            return Err(RouteTableError::UnknownService { route, service });
        }
    }
    if route.splits.iter().all(|split| split.weight == 0) {
        return Err(RouteTableError::ZeroWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(RouteTableError::ZeroTimeout(route.name.clone()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteTableError::InvalidPrefix(route.name.clone()));
    }
    Ok(())
}

type Teams = (BTreeMap<TeamName, Team>, HashMap<String, TeamName>);

fn index_teams(all: Vec<(Team, Vec<String>)>) -> Result<Teams, RouteTableError> {
    let mut teams = BTreeMap::new();
    let mut owners: HashMap<String, TeamName> = HashMap::new();
    for (team, keys) in all {
        let name = team.name.clone();
        for key in keys {
            let owner = owners.insert(key, name.clone());
            if let Some(first) = owner.filter(|owner| *owner != name) {
                return Err(RouteTableError::SharedKey { first, second: name });
            }
        }
        if teams.insert(name.clone(), team).is_some() {
            return Err(RouteTableError::DuplicateName(format!("team {name}")));
        }
    }
    Ok((teams, owners))
}
