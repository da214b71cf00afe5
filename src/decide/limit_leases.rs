//! Which boxes may send requests to a backend server that announced a limit, and how many: the leader's side of
//! [`super::throttle`].
//!
//! The leader leases shares of each limit. The shares of one server add up to at most one, whichever messages are lost
//! and whoever leads. A lease counts until it has ended at its box, or until the box reports that it holds less.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::allowance::LEASE_DURATION;
use super::throttle::{LimitLease, LimitReport, may_be_same_incarnation};
use crate::ids::{BackendId, BoxId, Incarnation, ServerKey};
use crate::units::RequestRate;

/// The requests a second of a limit for each box that shares it beside the first one. The bucket of each box holds at
/// least one request, so the number of boxes bounds how many requests arrive at the same moment.
const MIN_RATE_PER_BOX: f64 = 2.0;

/// The most servers whose limits are kept.
const MAX_SERVERS: usize = 4_096;

/// How long a limit is kept that no box reports.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// How long after its last report a box counts among those that share the limited servers.
const BOX_TIMEOUT: Duration = Duration::from_secs(5);

/// The share of one server's limit that one box may have on lease.
#[derive(Debug, Clone, Copy)]
struct ShareLease {
    share: f64,
    until: Instant,
}

/// The limit of one server.
#[derive(Debug)]
struct ServerLimit {
    incarnation: Incarnation,
    /// The limit that the server last announced; `None` if its last answer had none.
    limit: Option<RequestRate>,
    /// When the server announced it.
    announced_at: Instant,
    /// When a box last reported the server.
    reported_at: Instant,
    leases: BTreeMap<BoxId, ShareLease>,
}

impl ServerLimit {
    /// How many of `boxes` may share the limit.
    fn max_holders(&self, boxes: usize) -> usize {
        let limit = self.limit.map_or(0.0, |limit| limit.0);
        (1 + (limit / MIN_RATE_PER_BOX) as usize).min(boxes.max(1))
    }

    /// The share of the limit that is not leased to other boxes.
    fn free_share(&self, box_id: &BoxId) -> f64 {
        let others = self.leases.iter().filter(|(holder, _)| *holder != box_id);
        (1.0 - others.map(|(_, lease)| lease.share).sum::<f64>()).max(0.0)
    }

    /// Applies what a report made at `sent_at` says about the limit. If that time is unknown, the report can't be
    /// ordered and only one of a later incarnation is applied.
    fn update(&mut self, report: &LimitReport, sent_at: Option<Instant>, now: Instant) {
        let announced_at = sent_at.and_then(|sent| sent.checked_sub(report.age.duration()));
        let is_later = self.incarnation < report.server.life && !self.incarnation.is_none();
        match announced_at {
            Some(announced_at) if is_later || announced_at >= self.announced_at => {
                (self.limit, self.announced_at) = (report.limit, announced_at);
            }
            None if is_later => self.limit = report.limit,
            Some(_) | None => {}
        }
        self.incarnation = self.incarnation.max(report.server.life);
        self.reported_at = now;
    }
}

/// The last reports of a box.
#[derive(Debug, Clone, Copy)]
struct LastReports {
    incarnation: Incarnation,
    seq: u64,
    received_at: Instant,
}

/// Where and when the reports in one message were made.
#[derive(Debug, Clone, Copy)]
pub struct ReportOrigin<'a> {
    /// The box.
    pub box_id: &'a BoxId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The message's sequence number within that incarnation.
    pub seq: u64,
    /// When the reports were made, by the leader's clock. The arrival time would not do, because messages can be
    /// delayed by seconds. `None` if the box doesn't know the leader's clock yet.
    pub sent_at: Option<Instant>,
}

/// The leader's leases of all limits.
#[derive(Debug, Default)]
pub struct LimitLeases {
    servers: BTreeMap<BackendId, ServerLimit>,
    boxes: BTreeMap<BoxId, LastReports>,
}

impl LimitLeases {
    /// Applies a box's reports and leases it shares. Returns nothing for reports that are not newer than the last ones
    /// of the same incarnation. While a former leader's leases may still be in force (`is_taking_over`), only leases
    /// that boxes report to hold are renewed.
    pub fn handle_reports(
        &mut self,
        origin: ReportOrigin<'_>,
        reports: &[LimitReport],
        is_taking_over: bool,
        now: Instant,
    ) -> Vec<LimitLease> {
        let ReportOrigin { box_id, incarnation, seq, sent_at } = origin;
        let last = self.boxes.get(box_id);
        if last.is_some_and(|last| last.incarnation == incarnation && last.seq >= seq) {
            return Vec::new();
        }
        self.remove_expired(now);
        self.boxes.insert(box_id.clone(), LastReports { incarnation, seq, received_at: now });
        reports.iter().for_each(|report| self.record(report, sent_at, now));
        let boxes = self.boxes.values().filter(|it| now < it.received_at + BOX_TIMEOUT).count();
        let max_leases = self.max_leases_per_box(boxes);
        // Leases that the box already holds are renewed before new ones are granted.
        let mut ordered: Vec<_> = reports.iter().collect();
        ordered.sort_by(|a, b| b.share.total_cmp(&a.share));
        let (mut leases, mut granted) = (Vec::new(), 0);
        for report in ordered {
            let max_holders = self.max_holders(report, boxes).filter(|_| granted < max_leases);
            let lease = self.lease(box_id, report, is_taking_over, max_holders, now);
            granted += usize::from(lease.as_ref().is_some_and(|lease| lease.share > 0.0));
            leases.extend(lease);
        }
        leases
    }

    /// How many of `boxes` may share the limit that a report is about.
    fn max_holders(&self, report: &LimitReport, boxes: usize) -> Option<usize> {
        self.servers.get(&report.server.id).map(|server| server.max_holders(boxes))
    }

    /// Leases a box a share of one server's limit. `max_holders`: how many boxes may have a lease; `None` if this box
    /// has enough leases.
    fn lease(
        &mut self,
        box_id: &BoxId,
        report: &LimitReport,
        is_taking_over: bool,
        max_holders: Option<usize>,
        now: Instant,
    ) -> Option<LimitLease> {
        let server = self.servers.get_mut(&report.server.id)?;
        let share = grantable_share(server, box_id, report, is_taking_over, max_holders);
        // Until the box receives the reply, it may go on with the share that it reported.
        let charged = share.max(held_share(server, box_id, report));
        match charged > 0.0 {
            true => {
                let lease = ShareLease { share: charged, until: now + LEASE_DURATION };
                server.leases.insert(box_id.clone(), lease);
            }
            false => drop(server.leases.remove(box_id)),
        }
        let key = ServerKey { id: report.server.id.clone(), life: server.incarnation };
        let age = now.saturating_duration_since(server.announced_at).into();
        Some(LimitLease { server: key, limit: server.limit, age, share })
    }

    fn record(&mut self, report: &LimitReport, sent_at: Option<Instant>, now: Instant) {
        if let Some(server) = self.servers.get_mut(&report.server.id) {
            let is_earlier = report.server.life < server.incarnation;
            if may_be_same_incarnation(server.incarnation, report.server.life) || !is_earlier {
                server.update(report, sent_at, now);
            }
            return;
        }
        if self.servers.len() >= MAX_SERVERS {
            return;
        }
        // A limit of unknown age counts as old, so that any report of known age replaces it.
        let announced_at = sent_at.and_then(|sent| sent.checked_sub(report.age.duration()));
        let announced_at = announced_at.or_else(|| now.checked_sub(RETENTION_TIME)).unwrap_or(now);
        let ServerKey { id, life: incarnation } = report.server.clone();
        let (limit, leases) = (report.limit, BTreeMap::new());
        let server = ServerLimit { incarnation, limit, announced_at, reported_at: now, leases };
        self.servers.insert(id, server);
    }

    /// The most servers of which one box may have leases, so that all boxes that ask get some.
    fn max_leases_per_box(&self, boxes: usize) -> usize {
        let limited = self.servers.values().filter(|server| server.limit.is_some());
        limited.map(|server| server.max_holders(boxes)).sum::<usize>().div_ceil(boxes.max(1))
    }

    /// Drops leases that have ended, and boxes and servers without a report for [`RETENTION_TIME`].
    fn remove_expired(&mut self, now: Instant) {
        self.boxes.retain(|_, it| now < it.received_at + RETENTION_TIME);
        for server in self.servers.values_mut() {
            server.leases.retain(|_, lease| now < lease.until);
        }
        self.servers.retain(|_, server| now < server.reported_at + RETENTION_TIME);
    }
}

/// The share that a box reports to hold, at most what is not leased to others.
fn held_share(server: &ServerLimit, box_id: &BoxId, report: &LimitReport) -> f64 {
    let share = if report.share.is_finite() { report.share } else { 0.0 };
    share.clamp(0.0, server.free_share(box_id))
}

/// The share to lease to a box.
fn grantable_share(
    server: &ServerLimit,
    box_id: &BoxId,
    report: &LimitReport,
    is_taking_over: bool,
    max_holders: Option<usize>,
) -> f64 {
    if server.limit.is_none() || !may_be_same_incarnation(server.incarnation, report.server.life) {
        return 0.0;
    }
    let held = held_share(server, box_id, report);
    if is_taking_over {
        return held;
    }
    let others = server.leases.keys().filter(|holder| *holder != box_id).count();
    match max_holders {
        Some(max_holders) if report.wanted && others < max_holders => {
            (1.0 / max_holders as f64).min(server.free_share(box_id))
        }
        Some(_) | None => 0.0,
    }
}
