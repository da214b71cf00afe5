//! The request limits that backend servers announce in their answers, as one box applies them.
//!
//! An overloaded server announces how many requests a second it accepts from all boxes together. The limit is in force
//! for as long as its answers repeat it. The leader leases shares of the limit ([`super::limit_leases`]); a box sends
//! by a token bucket that refills at its share of the limit, and sends nothing without a lease.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::allowance::LEASE_DURATION;
use crate::ids::{BackendId, Incarnation, ServerKey, ServiceName};
use crate::units::{Millis, RequestRate};

/// The most servers whose limits are kept.
const MAX_SERVERS: usize = 1_024;

/// The most servers in one report. With the reply that is 5 KB, several times a second; the other servers follow in
/// the next reports.
const MAX_REPORTED_SERVERS: usize = 24;

/// The least rate at which a limited server is sent requests: only its answers show that the limit has ended.
const PROBE_RATE: RequestRate = RequestRate(0.1);

/// Seconds for which a bucket accumulates its rate beyond the first token: requests come in bursts.
const BURST_SECS: f64 = 0.5;

/// How long after a request last considered a server the box still asks for a lease of it.
const DEMAND_TIME: Duration = Duration::from_secs(5);

/// How long a token may stay unused before the box gives its lease up to others.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a box that gave a lease up does not ask for a new one.
const LEASE_BACKOFF: Duration = Duration::from_secs(2);

/// How long the limit of a server that is no longer listed is kept, as the server may come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What the head of a server's answer says about its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// There is no limit.
    #[default]
    None,
    /// The limit can't be parsed. The former limit stays in force.
    Unreadable,
    /// The requests a second that the server accepts from all boxes together.
    Limited(RequestRate),
}

/// A change of a server's limit; `None` stands for no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The former limit.
    pub old: Option<RequestRate>,
    /// The limit in force now.
    pub new: Option<RequestRate>,
}

/// What a box reports about one server that announced a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server, in the incarnation that answered.
    pub server: ServerKey,
    /// The limit in the server's last answer to this box; `None` if that had none.
    pub limit: Option<RequestRate>,
    /// The age of that answer when the report is made.
    pub age: Millis,
    /// The share of the limit that the box has on lease, from 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Whether the box asks for a lease, or to keep the one it has.
    #[serde(default)]
    pub wanted: bool,
}

/// What the leader replies for one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitLease {
    /// The server, in the incarnation that the leader knows.
    pub server: ServerKey,
    /// The latest limit that the server announced to any box; `None` if its latest answer had none.
    pub limit: Option<RequestRate>,
    /// The age of that answer.
    pub age: Millis,
    /// The share of the limit that the box may use, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// Whether two incarnations may be the same one. An unknown incarnation may be any.
pub(crate) fn may_be_same_incarnation(a: Incarnation, b: Incarnation) -> bool {
    a == b || a.is_none() || b.is_none()
}

/// A share of a limit, leased until a time.
#[derive(Debug, Clone, Copy)]
struct Lease {
    share: f64,
    until: Instant,
}

/// The limit of one incarnation of a server, and the box's token bucket for it.
#[derive(Debug, Clone)]
struct Throttle {
    service: ServiceName,
    incarnation: Incarnation,
    /// The limit that the server last announced to any box; `None` once the limit has ended.
    limit: Option<RequestRate>,
    /// When the server announced it.
    announced_at: Instant,
    /// The limit that the server last announced to this box, and when.
    own: (Option<RequestRate>, Instant),
    lease: Option<Lease>,
    tokens: f64,
    /// The time up to which the bucket has been refilled.
    refilled_at: Instant,
    /// The time since which a token has been unused.
    unused_since: Option<Instant>,
    /// When a request last considered this server.
    wanted_at: Option<Instant>,
    /// The time before which no lease is asked for.
    backoff_until: Instant,
    reported_at: Option<Instant>,
}

impl Throttle {
    fn new(
        service: ServiceName,
        incarnation: Incarnation,
        limit: RequestRate,
        now: Instant,
    ) -> Self {
        Self {
            service,
            incarnation,
            limit: Some(limit),
            announced_at: now,
            own: (Some(limit), now),
            lease: None,
            tokens: 0.0,
            refilled_at: now,
            unused_since: None,
            wanted_at: None,
            backoff_until: now,
            reported_at: None,
        }
    }

    /// The requests a second that this box may send.
    fn rate(&self) -> f64 {
        let (Some(limit), Some(lease)) = (self.limit, self.lease) else {
            return 0.0;
        };
        lease.share * limit.0.max(PROBE_RATE.0)
    }

    /// Refills the bucket up to `now`, and ends an expired lease.
    fn refill(&mut self, now: Instant) {
        if let Some(Lease { until, .. }) = self.lease {
            let rate = self.rate();
            let elapsed = now.min(until).saturating_duration_since(self.refilled_at);
            let capacity = 1.0 + rate * BURST_SECS;
            self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
            if now >= until {
                self.end_lease();
            }
        }
        self.refilled_at = now;
        self.unused_since = (self.tokens >= 1.0).then(|| self.unused_since.unwrap_or(now));
    }

    /// Sets the limit that the server announced at `announced_at`. Tokens accumulated under a higher limit are scaled
    /// down with it, because many boxes may have accumulated some.
    fn set_limit(&mut self, limit: Option<RequestRate>, announced_at: Instant, now: Instant) {
        self.refill(now);
        if let (Some(old), Some(limit)) = (self.limit, limit)
            && limit < old
        {
            self.tokens *= limit.0 / old.0;
        }
        (self.limit, self.announced_at) = (limit, announced_at);
    }

    fn end_lease(&mut self) {
        (self.lease, self.tokens, self.unused_since) = (None, 0.0, None);
    }

    fn allows_request(&self) -> bool {
        self.limit.is_none() || self.tokens >= 1.0
    }

    /// Sets the leased share. A new lease begins without tokens.
    fn renew_lease(&mut self, share: f64, until: Instant, now: Instant) {
        self.refill(now);
        match share > 0.0 && until > now {
            true => self.lease = Some(Lease { share, until }),
            false => self.end_lease(),
        }
    }

    /// Whether the box asks for a lease, or to keep the one it has.
    fn wants_lease(&mut self, now: Instant) -> bool {
        if self.lease.is_some() {
            let is_idle = self.unused_since.is_some_and(|since| now >= since + IDLE_TIMEOUT);
            if is_idle {
                self.backoff_until = now + LEASE_BACKOFF;
            }
            return !is_idle;
        }
        let is_wanted = self.wanted_at.is_some_and(|at| now < at + DEMAND_TIME);
        now >= self.backoff_until && is_wanted
    }

    fn report(&mut self, id: &BackendId, now: Instant) -> LimitReport {
        self.refill(now);
        self.reported_at = Some(now);
        let (limit, at) = self.own;
        LimitReport {
            server: ServerKey { id: id.clone(), life: self.incarnation },
            limit,
            age: now.saturating_duration_since(at).into(),
            share: self.lease.map_or(0.0, |lease| lease.share),
            wanted: self.wants_lease(now),
        }
    }
}

/// Whether this box may send a request to a limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThrottleState {
    /// The incarnation that announced the limit.
    pub incarnation: Incarnation,
    /// Whether the box may send a request now.
    pub is_open: bool,
}

impl ThrottleState {
    /// Whether the limit applies to a server of this incarnation.
    pub fn applies_to(&self, incarnation: Incarnation) -> bool {
        may_be_same_incarnation(self.incarnation, incarnation)
    }
}

/// The limits of backend servers that this box knows.
#[derive(Debug, Default)]
pub struct Throttles {
    servers: BTreeMap<BackendId, Throttle>,
}

impl Throttles {
    /// Whether no server is known that announced a limit.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The number of servers with a limit in force.
    pub fn limited_count(&self) -> usize {
        self.servers.values().filter(|throttle| throttle.limit.is_some()).count()
    }

    fn find(&mut self, server: &ServerKey) -> Option<&mut Throttle> {
        let throttle = self.servers.get_mut(&server.id)?;
        may_be_same_incarnation(throttle.incarnation, server.life).then_some(throttle)
    }

    /// The limit of a server.
    pub fn limit(&mut self, server: &ServerKey) -> Option<RequestRate> {
        self.find(server)?.limit
    }

    /// Records the limit in a server's answer. Returns the change if the limit is a new one.
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
        let old = self.limit(server);
        if let Some(throttle) = self.find(server) {
            throttle.set_limit(limit, now, now);
            throttle.incarnation = throttle.incarnation.max(server.life);
            throttle.own = (limit, now);
        } else if let Some(limit) = limit {
            if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server.id) {
                return None;
            }
            let throttle = Throttle::new(service.clone(), server.life, limit, now);
            self.servers.insert(server.id.clone(), throttle);
        }
        (old != limit).then_some(LimitChange { old, new: limit })
    }

    /// The state of each limited server of a service, for a request that is about to be sent. Records that these
    /// servers are wanted, so that the next report asks for leases of them.
    pub fn states(
        &mut self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<BackendId, ThrottleState> {
        let limited = self.servers.iter_mut();
        let limited = limited.filter(|(_, it)| it.service == *service && it.limit.is_some());
        let state = |(id, throttle): (&BackendId, &mut Throttle)| {
            throttle.refill(now);
            throttle.wanted_at = Some(now);
            let (incarnation, is_open) = (throttle.incarnation, throttle.allows_request());
            (id.clone(), ThrottleState { incarnation, is_open })
        };
        limited.map(state).collect()
    }

    /// Takes a token for one request to a server. Returns `false` if the server is limited and no token is left.
    pub fn claim(&mut self, server: &ServerKey, now: Instant) -> bool {
        let Some(throttle) = self.find(server) else {
            return true;
        };
        throttle.refill(now);
        if throttle.limit.is_none() {
            return true;
        }
        if throttle.tokens < 1.0 {
            return false;
        }
        throttle.tokens -= 1.0;
        throttle.unused_since = (throttle.tokens >= 1.0).then_some(now);
        true
    }

    /// The time until this box may send a request to one of a service's limited servers, by its current leases.
    /// `None` without a lease.
    pub fn wait(&mut self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let limited = self.servers.values_mut();
        let limited = limited.filter(|it| it.service == *service && it.limit.is_some());
        let wait = |throttle: &mut Throttle| {
            throttle.refill(now);
            let rate = Some(throttle.rate()).filter(|rate| *rate > 0.0)?;
            Some(Duration::from_secs_f64((1.0 - throttle.tokens).max(0.0) / rate))
        };
        limited.filter_map(wait).min()
    }

    /// The report to the leader, of at most [`MAX_REPORTED_SERVERS`] servers: those whose last report is oldest.
    pub fn report(&mut self, now: Instant) -> Vec<LimitReport> {
        let mut due: Vec<_> = self.servers.iter_mut().collect();
        due.sort_by_key(|(_, throttle)| throttle.reported_at);
        due.truncate(MAX_REPORTED_SERVERS);
        due.into_iter().map(|(id, throttle)| throttle.report(id, now)).collect()
    }

    /// Applies the leader's reply to the report made at `sent_at`. Drops servers whose limit has ended.
    pub fn apply_leases(&mut self, leases: &[LimitLease], sent_at: Instant, now: Instant) {
        for lease in leases {
            let Some(throttle) = self.find(&lease.server) else {
                continue;
            };
            // Counted from the report and not from the reply: the result is never too late, so that what the server
            // announced to this box in the meantime takes precedence.
            let announced_at = sent_at.checked_sub(lease.age.duration()).unwrap_or(sent_at);
            if announced_at > throttle.announced_at {
                throttle.set_limit(lease.limit, announced_at, now);
            }
            throttle.incarnation = throttle.incarnation.max(lease.server.life);
            match throttle.limit.is_none() && lease.limit.is_none() {
                true => drop(self.servers.remove(&lease.server.id)),
                false => throttle.renew_lease(lease.share, sent_at + LEASE_DURATION, now),
            }
        }
    }

    /// Drops the servers that are no longer listed and have announced nothing for [`UNLISTED_RETENTION`].
    pub fn retain(&mut self, mut is_listed: impl FnMut(&BackendId) -> bool, now: Instant) {
        self.servers
            .retain(|id, throttle| now < throttle.own.1 + UNLISTED_RETENTION || is_listed(id));
    }
}
