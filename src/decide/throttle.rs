//! The limits that backend servers name in their answers, as one box keeps them.
//!
//! A server in need names the requests a second that it takes from all boxes together, for as long as its answers
//! name it. The leader leases shares of that ([`super::limit_leases`]); a box sends by a token bucket that fills at
//! its share of the limit, and nothing without a lease.
//!
//! Pure: notices, replies and moments in, permissions and reports out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::allowance::LEASE_DURATION;
use crate::ids::{BackendId, Incarnation, ServerKey, ServiceName};
use crate::units::{Millis, RequestRate};

/// Servers whose limits are kept at most.
const SERVER_LIMIT: usize = 1_024;

/// Servers in one report at most: with the reply 5 KB, several times a second. The others follow with the next reports.
const REPORTED: usize = 24;

/// The least rate at which a limited server is sent to: no other way shows that its limit has ended.
const PROBE_RATE: RequestRate = RequestRate(0.1);

/// Seconds for which a bucket collects its rate beyond the first request: requests come in clumps.
const CLUMP_TIME: f64 = 0.5;

/// How long after a request passed a server over a box still asks for a lease of it.
const WANTED_TIME: Duration = Duration::from_secs(5);

/// How long a bucket may hold a request that nobody takes before the lease goes to another box.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// How long a box that gave a lease up leaves it to others.
const REST_TIME: Duration = Duration::from_secs(2);

/// How long the limit of a server is kept that is no longer listed: it may be back.
const GONE_TIME: Duration = Duration::from_secs(60);

/// What the head of a server's answer says of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names none.
    #[default]
    None,
    /// It names one that cannot be read, which says nothing.
    Unreadable,
    /// The requests a second that it takes from all boxes together.
    Limited(RequestRate),
}

/// A server's limit has become another one; `None` stands for no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// What it was.
    pub before: Option<RequestRate>,
    /// What it is.
    pub now: Option<RequestRate>,
}

/// What a box reports of one server that named a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server, in the incarnation that answered.
    pub server: ServerKey,
    /// What it named last; `None` where its last answer named no limit.
    pub limit: Option<RequestRate>,
    /// How long before the report that answer came.
    pub age: Millis,
    /// The share of the limit that the box has on lease, 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Whether it asks for one.
    #[serde(default)]
    pub wanted: bool,
}

/// What the leader answers for one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitLease {
    /// The server, in the incarnation that is known to the leader.
    pub server: ServerKey,
    /// The newest limit that the server named to any box; `None` where it names none any more.
    pub limit: Option<RequestRate>,
    /// How long ago it did.
    pub age: Millis,
    /// The share of it that the box may use, 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// Whether two incarnations may be the same: one that nobody has told may be any.
pub(crate) fn may_be_same(a: Incarnation, b: Incarnation) -> bool {
    a == b || a.is_none() || b.is_none()
}

/// A share of a limit, until a moment.
#[derive(Debug, Clone, Copy)]
struct Lease {
    share: f64,
    until: Instant,
}

/// The limit of one incarnation of a server.
#[derive(Debug, Clone)]
struct Throttle {
    service: ServiceName,
    life: Incarnation,
    /// What the server named last, to any box; `None` where the limit has ended.
    limit: Option<RequestRate>,
    /// When it did.
    named: Instant,
    /// What it named last to this box, and when.
    own: (Option<RequestRate>, Instant),
    lease: Option<Lease>,
    tokens: f64,
    /// Up to when the tokens have come in.
    filled: Instant,
    /// Since when a token lies unused.
    ready: Option<Instant>,
    /// When a request last passed the server over.
    wanted: Option<Instant>,
    /// Until when no lease is asked for.
    rests: Instant,
    /// When it was reported last.
    reported: Option<Instant>,
}

impl Throttle {
    fn new(service: ServiceName, life: Incarnation, limit: RequestRate, now: Instant) -> Self {
        Self {
            service,
            life,
            limit: Some(limit),
            named: now,
            own: (Some(limit), now),
            lease: None,
            tokens: 0.0,
            filled: now,
            ready: None,
            wanted: None,
            rests: now,
            reported: None,
        }
    }

    /// Requests a second that this box may send.
    fn rate(&self) -> f64 {
        let (Some(limit), Some(lease)) = (self.limit, self.lease) else {
            return 0.0;
        };
        lease.share * limit.0.max(PROBE_RATE.0)
    }

    /// Lets tokens come in and the lease end.
    fn pass(&mut self, now: Instant) {
        if let Some(Lease { until, .. }) = self.lease {
            let rate = self.rate();
            let passed = now.min(until).saturating_duration_since(self.filled);
            let most = 1.0 + rate * CLUMP_TIME;
            self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(most);
            if now >= until {
                self.end_lease();
            }
        }
        self.filled = now;
        self.ready = (self.tokens >= 1.0).then(|| self.ready.unwrap_or(now));
    }

    /// Takes what the server named at `named`. What was saved under a higher limit shrinks with it: many boxes
    /// may have shared that.
    fn set_limit(&mut self, limit: Option<RequestRate>, named: Instant, now: Instant) {
        self.pass(now);
        if let (Some(before), Some(limit)) = (self.limit, limit)
            && limit < before
        {
            self.tokens *= limit.0 / before.0;
        }
        (self.limit, self.named) = (limit, named);
    }

    fn end_lease(&mut self) {
        (self.lease, self.tokens, self.ready) = (None, 0.0, None);
    }

    fn is_open(&self) -> bool {
        self.limit.is_none() || self.tokens >= 1.0
    }

    /// Takes a share on lease; a new lease begins without tokens.
    fn renew(&mut self, share: f64, until: Instant, now: Instant) {
        self.pass(now);
        match share > 0.0 && until > now {
            true => self.lease = Some(Lease { share, until }),
            false => self.end_lease(),
        }
    }

    /// Whether the box asks for a lease, or to keep the one it has.
    fn asks(&mut self, now: Instant) -> bool {
        if self.lease.is_some() {
            let is_idle = self.ready.is_some_and(|since| now >= since + IDLE_TIME);
            if is_idle {
                self.rests = now + REST_TIME;
            }
            return !is_idle;
        }
        now >= self.rests && self.wanted.is_some_and(|at| now < at + WANTED_TIME)
    }

    fn report(&mut self, id: &BackendId, now: Instant) -> LimitReport {
        self.pass(now);
        self.reported = Some(now);
        let (limit, at) = self.own;
        LimitReport {
            server: ServerKey { id: id.clone(), life: self.life },
            limit,
            age: now.saturating_duration_since(at).into(),
            share: self.lease.map_or(0.0, |lease| lease.share),
            wanted: self.asks(now),
        }
    }
}

/// Whether a request may go to a server that limits itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThrottleState {
    /// The incarnation that the limit is of.
    pub life: Incarnation,
    /// Whether this box may send it a request now.
    pub open: bool,
}

impl ThrottleState {
    /// Whether it holds for a server in this incarnation.
    pub fn is_of(&self, life: Incarnation) -> bool {
        may_be_same(self.life, life)
    }
}

/// The limits of backend servers that this box was told of.
#[derive(Debug, Default)]
pub struct Throttles {
    servers: BTreeMap<BackendId, Throttle>,
}

impl Throttles {
    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Servers that limit themselves.
    pub fn count(&self) -> usize {
        self.servers.values().filter(|held| held.limit.is_some()).count()
    }

    fn find(&mut self, server: &ServerKey) -> Option<&mut Throttle> {
        let held = self.servers.get_mut(&server.id)?;
        may_be_same(held.life, server.life).then_some(held)
    }

    /// The limit of a server.
    pub fn limit(&mut self, server: &ServerKey) -> Option<RequestRate> {
        self.find(server)?.limit
    }

    /// Records what a server's answer says of its limit; what changes with it.
    pub fn record_notice(
        &mut self,
        server: &ServerKey,
        service: &ServiceName,
        notice: LimitNotice,
        now: Instant,
    ) -> Option<LimitChange> {
        let limit = match notice {
            LimitNotice::Unreadable => return None,
            LimitNotice::None => None,
            LimitNotice::Limited(limit) => Some(limit),
        };
        let before = self.limit(server);
        if let Some(held) = self.find(server) {
            held.set_limit(limit, now, now);
            held.life = held.life.max(server.life);
            held.own = (limit, now);
        } else if let Some(limit) = limit {
            if self.servers.len() >= SERVER_LIMIT && !self.servers.contains_key(&server.id) {
                return None;
            }
            let throttle = Throttle::new(service.clone(), server.life, limit, now);
            self.servers.insert(server.id.clone(), throttle);
        }
        (before != limit).then_some(LimitChange { before, now: limit })
    }

    /// The servers of a service that limit themselves, for a request that is to be sent now.
    pub fn admissions(
        &mut self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<BackendId, ThrottleState> {
        let limited = self.servers.iter_mut();
        let limited = limited.filter(|(_, it)| it.service == *service && it.limit.is_some());
        let admission = |(id, held): (&BackendId, &mut Throttle)| {
            held.pass(now);
            held.wanted = Some(now);
            (id.clone(), ThrottleState { life: held.life, open: held.is_open() })
        };
        limited.map(admission).collect()
    }

    /// Claims the place of one request at a server; whether there is one.
    pub fn claim(&mut self, server: &ServerKey, now: Instant) -> bool {
        let Some(held) = self.find(server) else {
            return true;
        };
        held.pass(now);
        if held.limit.is_none() {
            return true;
        }
        if held.tokens < 1.0 {
            return false;
        }
        held.tokens -= 1.0;
        held.ready = (held.tokens >= 1.0).then_some(now);
        true
    }

    /// The time until this box may send a request to one of a service's limited servers, as far as its leases tell.
    pub fn wait(&mut self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let limited = self.servers.values_mut();
        let limited = limited.filter(|it| it.service == *service && it.limit.is_some());
        let wait = |held: &mut Throttle| {
            held.pass(now);
            let rate = Some(held.rate()).filter(|rate| *rate > 0.0)?;
            Some(Duration::from_secs_f64((1.0 - held.tokens).max(0.0) / rate))
        };
        limited.filter_map(wait).min()
    }

    /// What is to be reported to the leader, [`REPORTED`] servers at most: those first that were reported longest
    /// ago.
    pub fn report(&mut self, now: Instant) -> Vec<LimitReport> {
        let mut due: Vec<_> = self.servers.iter_mut().collect();
        due.sort_by_key(|(_, held)| held.reported);
        due.truncate(REPORTED);
        due.into_iter().map(|(id, held)| held.report(id, now)).collect()
    }

    /// Takes the leader's reply to the report made at `sent`. A server whose limit has ended is forgotten.
    pub fn apply_leases(&mut self, leases: &[LimitLease], sent: Instant, now: Instant) {
        for lease in leases {
            let Some(held) = self.find(&lease.server) else {
                continue;
            };
            // Not later than it was: what this box was told meanwhile counts.
            let named = sent.checked_sub(lease.age.duration()).unwrap_or(sent);
            if named > held.named {
                held.set_limit(lease.limit, named, now);
            }
            held.life = held.life.max(lease.server.life);
            match held.limit.is_none() && lease.limit.is_none() {
                true => drop(self.servers.remove(&lease.server.id)),
                false => held.renew(lease.share, sent + LEASE_DURATION, now),
            }
        }
    }

    /// Forgets the servers that are gone.
    pub fn retain(&mut self, mut is_there: impl FnMut(&BackendId) -> bool, now: Instant) {
        self.servers.retain(|id, held| now < held.own.1 + GONE_TIME || is_there(id));
    }
}
