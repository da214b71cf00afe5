//! Chooses the box through which this box reaches backend servers that it does not reach itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::BoxId;

/// A box that forwards requests of other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proxy {
    /// The box.
    pub box_id: BoxId,
    /// Where it takes requests of other boxes.
    pub addr: SocketAddr,
}

#[derive(Debug)]
struct KnownProxy {
    proxy: Proxy,
    in_flight: Arc<AtomicU32>,
    /// Until when it gets no requests, as it could not take the last one.
    resting_until: Option<Instant>,
}

/// A request that is at a proxy; counted until dropped.
#[derive(Debug)]
pub struct ProxyLease {
    /// The proxy.
    pub proxy: Proxy,
    in_flight: Arc<AtomicU32>,
}

impl Drop for ProxyLease {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The proxies that the leader assigned to this box.
#[derive(Debug, Default)]
pub struct ProxyPool {
    proxies: Vec<KnownProxy>,
}

impl ProxyPool {
    /// Replaces the proxies. Those that stay keep their state. None are taken if the leader names none: it may be new
    /// and not have heard of any yet.
    pub fn assign(&mut self, proxies: Vec<Proxy>) {
        if proxies.is_empty() {
            return;
        }
        let mut former = std::mem::take(&mut self.proxies);
        for proxy in proxies {
            let known = former.iter().position(|it| it.proxy == proxy);
            let new = |proxy| KnownProxy { proxy, in_flight: Arc::default(), resting_until: None };
            let known = known.map_or_else(|| new(proxy), |index| former.swap_remove(index));
            self.proxies.push(known);
        }
    }

    /// Claims the proxy with the fewest requests of this box, other than those in `tried`. `random` decides between
    /// equal ones.
    pub fn claim(
        &self,
        tried: &[BoxId],
        now: Instant,
        random: impl Fn() -> f64,
    ) -> Option<ProxyLease> {
        let open = self.proxies.iter().filter(|it| {
            !tried.contains(&it.proxy.box_id) && it.resting_until.is_none_or(|until| until <= now)
        });
        let ranked = open.map(|it| (it.in_flight.load(Ordering::Relaxed), random(), it));
        let (_, _, chosen) = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        chosen.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(ProxyLease { proxy: chosen.proxy.clone(), in_flight: chosen.in_flight.clone() })
    }

    /// Lets a proxy rest, as it could not take a request.
    pub fn rest(&mut self, box_id: &BoxId, time: Duration, now: Instant) {
        if let Some(known) = self.proxies.iter_mut().find(|it| it.proxy.box_id == *box_id) {
            known.resting_until = Some(now + time);
        }
    }

    /// The number of assigned proxies.
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Whether no proxy is assigned.
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }
}
