//! The table of routes: what operators publish, checked as a whole.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::decide::token_bucket::RateLimit;
use crate::ids::{DataCentre, ServiceName, TeamName, Version};
use crate::units::Tokens;

/// What may be done with a request after it has been sent once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Safe,
    /// It may run at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another server may take up behind the last event.
    ResumableStream,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether the request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service that gets it.
    pub service: ServiceName,
    /// Its share, relative to the other splits of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it is for, in lower case.
    pub host: String,
    /// The path it begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest a request is held.
    pub timeout: Duration,
    /// Within this time the answer, or the first event, is on time.
    pub objective: Duration,
    /// The longest pause between events that is on time.
    pub gap: Option<Duration>,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Servers that one request may be sent to at most.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
    /// Where its traffic goes.
    pub splits: Vec<Split>,
}

/// What is known of a service of model engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory: Tokens,
    /// Whether a running request can be moved to another engine with its memory.
    pub moves: bool,
    /// Tokens in one event of a stream.
    pub event: Tokens,
    /// Tokens whose memory is copied to another engine in a second.
    pub copy_rate: f64,
    /// Bytes of a token's memory.
    pub token_bytes: f64,
}

/// How many engines a service may have and what they cost.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// Engines in each data centre at least.
    pub least: u32,
    /// Engines in each data centre at most.
    pub most: u32,
    /// From order to service.
    pub boot_time: Duration,
    /// What a reclaimable engine costs, as a share of one on demand; `None`: there are none.
    pub spot_price: Option<f64>,
    /// What an engine on demand costs, by data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Where its servers say whether they are well.
    pub health: String,
    /// Connections that one server takes from all callers together.
    pub connections: u32,
    /// What is known of its engines, where it is a model.
    pub engine: Option<EngineSpec>,
    /// How many engines there may be, where the platform takes orders for it.
    pub scaling: Option<Scaling>,
}

/// What a team's limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens; a request that names none counts as so many.
    Tokens(u64),
}

/// One team.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its rank, which goes before the route's; 0 goes first.
    pub priority: u8,
    /// What its limit counts.
    pub unit: Unit,
    /// Units a second over all boxes; `None`: no limit.
    pub rate: Option<f64>,
    /// Units on top at once.
    pub burst: f64,
}

impl Team {
    /// The team's limit; `None` where it has none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.rate.map(|rate| RateLimit { rate, burst: self.burst })
    }

    /// What one request counts against the team's limit.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens(plain) => tokens.unwrap_or(plain) as f64,
        }
    }
}

/// What callers are held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// How long a connection may rest.
    pub idle_time: Duration,
}

/// What a table is made of, before it is checked.
#[derive(Debug, Clone)]
pub struct TableParts {
    /// The operator's version.
    pub version: Version,
    /// What callers are held to.
    pub limits: CallerLimits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams, each with its keys. Without any, no key is asked for.
    pub teams: Vec<(Team, Vec<String>)>,
}

/// Why a table is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableFault {
    /// A route names a service that is not there.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// The weights of a route sum to nothing.
    #[error("the weights of route {0} sum to 0")]
    NoWeight(String),
    /// A route's time-out is nothing.
    #[error("the time-out of route {0} is 0")]
    NoTimeout(String),
    /// A route's prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    BadPrefix(String),
    /// Two teams have the same key.
    #[error("teams {first} and {second} share a key")]
    SharedKey {
        /// One team.
        first: TeamName,
        /// The other.
        second: TeamName,
    },
    /// A name is used twice.
    #[error("{0} is named twice")]
    Twice(String),
}

/// A checked table.
#[derive(Debug)]
pub struct RouteTable {
    /// The operator's version.
    pub version: Version,
    /// What callers are held to.
    pub limits: CallerLimits,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams.
    pub teams: BTreeMap<TeamName, Team>,
    hosts: HashMap<String, HostRoutes>,
    keys: HashMap<String, TeamName>,
}

/// The routes of one host, by prefix.
#[derive(Debug, Default)]
struct HostRoutes {
    routes: HashMap<String, Arc<Route>>,
    /// Slashes in the prefix that has most: no more of a path need be looked at.
    depth: usize,
}

impl HostRoutes {
    fn add(&mut self, route: Route) -> Result<(), TableFault> {
        let (prefix, name) = (route.prefix.clone(), route.name.clone());
        self.depth = self.depth.max(prefix.matches('/').count());
        match self.routes.insert(prefix, Arc::new(route)) {
            Some(other) => Err(TableFault::SamePlace { first: other.name.clone(), second: name }),
            None => Ok(()),
        }
    }

    /// The route with the longest prefix of a path. It looks at the path's parts, not at the routes: a host
    /// may have thousands.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.match_indices('/').take(self.depth);
        let found = slashes.filter_map(|(place, _)| self.routes.get(&path[..=place]));
        found.last()
    }
}

impl RouteTable {
    /// Checks the parts and makes a table of them.
    ///
    /// # Errors
    /// The first fault found.
    pub fn new(parts: TableParts) -> Result<Self, TableFault> {
        let mut services = BTreeMap::new();
        for service in parts.services {
            let name = service.name.clone();
            if services.insert(name.clone(), service).is_some() {
                return Err(TableFault::Twice(format!("service {name}")));
            }
        }
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for route in parts.routes {
            check_route(&route, &services)?;
            hosts.entry(route.host.clone()).or_default().add(route)?;
        }
        let (teams, keys) = index_teams(parts.teams)?;
        Ok(Self { version: parts.version, limits: parts.limits, services, teams, hosts, keys })
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.hosts.values().map(|host| host.routes.len()).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The route of a request: of its host's routes, the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.find(path)
    }

    /// The team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        self.teams.get(self.keys.get(key)?)
    }

    /// Whether keys are asked for at all.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

fn check_route(route: &Route, services: &BTreeMap<ServiceName, Service>) -> Result<(), TableFault> {
    for split in &route.splits {
        if !services.contains_key(&split.service) {
            let (route, service) = (route.name.clone(), split.service.clone());
            return Err(TableFault::UnknownService { route, service });
        }
    }
    if route.splits.iter().all(|split| split.weight == 0) {
        return Err(TableFault::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(TableFault::NoTimeout(route.name.clone()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(TableFault::BadPrefix(route.name.clone()));
    }
    Ok(())
}

type Teams = (BTreeMap<TeamName, Team>, HashMap<String, TeamName>);

fn index_teams(all: Vec<(Team, Vec<String>)>) -> Result<Teams, TableFault> {
    let mut teams = BTreeMap::new();
    let mut owners: HashMap<String, TeamName> = HashMap::new();
    for (team, keys) in all {
        let name = team.name.clone();
        for key in keys {
            let owner = owners.insert(key, name.clone());
            if let Some(first) = owner.filter(|owner| *owner != name) {
                return Err(TableFault::SharedKey { first, second: name });
            }
        }
        if teams.insert(name.clone(), team).is_some() {
            return Err(TableFault::Twice(format!("team {name}")));
        }
    }
    Ok((teams, owners))
}
