//! Which boxes may send to a backend server that limits itself, and how much: the leader's side of
//! [`super::throttle`].
//!
//! The leader leases shares of each limit; those of one server add up to one at most, whatever is lost and whoever
//! leads. A lease counts until it has ended at its box, or until the box reports that it holds less.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::allowance::LEASE_DURATION;
use super::throttle::{LimitLease, LimitReport, may_be_same};
use crate::ids::{BackendId, BoxId, Incarnation, ServerKey};
use crate::units::RequestRate;

/// Requests a second of a limit for each box that shares it beside the first one. A box's bucket holds a request at
/// least, so the boxes bound what comes at once.
const RATE_PER_BOX: f64 = 2.0;

/// Servers whose limits are kept at most.
const SERVER_LIMIT: usize = 4_096;

/// How long a limit is kept of which no box reports.
const SILENT_TIME: Duration = Duration::from_secs(60);

/// How long after its last report a box counts among those that share the limited servers.
const ABSENT_TIME: Duration = Duration::from_secs(5);

/// What one box may have on lease of one server.
#[derive(Debug, Clone, Copy)]
struct Holder {
    share: f64,
    until: Instant,
}

/// The limit of one server.
#[derive(Debug)]
struct ServerLimit {
    life: Incarnation,
    /// What the server named last; `None` where it named no limit.
    limit: Option<RequestRate>,
    /// When it did.
    named: Instant,
    heard: Instant,
    holders: BTreeMap<BoxId, Holder>,
}

impl ServerLimit {
    /// How many of `boxes` may share the limit.
    fn places(&self, boxes: usize) -> usize {
        let limit = self.limit.map_or(0.0, |limit| limit.0);
        (1 + (limit / RATE_PER_BOX) as usize).min(boxes.max(1))
    }

    /// The part of the limit that other boxes do not hold.
    fn free(&self, box_id: &BoxId) -> f64 {
        let others = self.holders.iter().filter(|(holder, _)| *holder != box_id);
        (1.0 - others.map(|(_, held)| held.share).sum::<f64>()).max(0.0)
    }

    /// Takes what a report made at `sent` says of the limit; where that moment is not known, nothing but of a
    /// later incarnation.
    fn record(&mut self, report: &LimitReport, sent: Option<Instant>, now: Instant) {
        let named = sent.and_then(|sent| sent.checked_sub(report.age.duration()));
        let is_later = self.life < report.server.life && !self.life.is_none();
        match named {
            Some(named) if is_later || named >= self.named => {
                (self.limit, self.named) = (report.limit, named);
            }
            None if is_later => self.limit = report.limit,
            Some(_) | None => {}
        }
        self.life = self.life.max(report.server.life);
        self.heard = now;
    }
}

/// The last reports of a box.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    life: Incarnation,
    turn: u64,
    heard: Instant,
}

/// Which reports of a box these are.
#[derive(Debug, Clone, Copy)]
pub struct ReportOrigin<'a> {
    /// The box.
    pub box_id: &'a BoxId,
    /// The life of its process.
    pub life: Incarnation,
    /// Their number in that life.
    pub turn: u64,
    /// When they were made, by the leader's clock: not by their arrival, as links hold messages up for seconds.
    /// `None` where the box does not know that clock yet.
    pub sent: Option<Instant>,
}

/// The shares of all limits.
#[derive(Debug, Default)]
pub struct LimitLeases {
    servers: BTreeMap<BackendId, ServerLimit>,
    boxes: BTreeMap<BoxId, Reporter>,
}

impl LimitLeases {
    /// Takes a box's reports and leases it shares; nothing for reports that later ones of the same life have
    /// overtaken. While a former leader's leases may still be in force (`is_taking_over`), only what boxes report to
    /// hold is renewed.
    pub fn handle_reports(
        &mut self,
        origin: ReportOrigin<'_>,
        reports: &[LimitReport],
        is_taking_over: bool,
        now: Instant,
    ) -> Vec<LimitLease> {
        let ReportOrigin { box_id, life, turn, sent } = origin;
        let last = self.boxes.get(box_id);
        if last.is_some_and(|last| last.life == life && last.turn >= turn) {
            return Vec::new();
        }
        self.forget(now);
        self.boxes.insert(box_id.clone(), Reporter { life, turn, heard: now });
        reports.iter().for_each(|report| self.record(report, sent, now));
        let boxes = self.boxes.values().filter(|it| now < it.heard + ABSENT_TIME).count();
        let most = self.most_held(boxes);
        // What the box has goes before what it asks for.
        let mut ordered: Vec<_> = reports.iter().collect();
        ordered.sort_by(|a, b| b.share.total_cmp(&a.share));
        let (mut leases, mut held) = (Vec::new(), 0);
        for report in ordered {
            let places = self.places(report, boxes).filter(|_| held < most);
            let lease = self.lease(box_id, report, is_taking_over, places, now);
            held += usize::from(lease.as_ref().is_some_and(|lease| lease.share > 0.0));
            leases.extend(lease);
        }
        leases
    }

    /// How many of `boxes` may share the limit that a report is of.
    fn places(&self, report: &LimitReport, boxes: usize) -> Option<usize> {
        self.servers.get(&report.server.id).map(|server| server.places(boxes))
    }

    /// Leases a box a share of one server's limit; `places`: how many boxes may have one, none where this box has
    /// enough.
    fn lease(
        &mut self,
        box_id: &BoxId,
        report: &LimitReport,
        is_taking_over: bool,
        places: Option<usize>,
        now: Instant,
    ) -> Option<LimitLease> {
        let server = self.servers.get_mut(&report.server.id)?;
        let share = share(server, box_id, report, is_taking_over, places);
        // Until the box reports again it may go on with what it had.
        let charged = share.max(claimed(server, box_id, report));
        match charged > 0.0 {
            true => {
                let holder = Holder { share: charged, until: now + LEASE_DURATION };
                server.holders.insert(box_id.clone(), holder);
            }
            false => drop(server.holders.remove(box_id)),
        }
        let key = ServerKey { id: report.server.id.clone(), life: server.life };
        let age = now.saturating_duration_since(server.named).into();
        Some(LimitLease { server: key, limit: server.limit, age, share })
    }

    fn record(&mut self, report: &LimitReport, sent: Option<Instant>, now: Instant) {
        if let Some(server) = self.servers.get_mut(&report.server.id) {
            let is_earlier = report.server.life < server.life;
            if may_be_same(server.life, report.server.life) || !is_earlier {
                server.record(report, sent, now);
            }
            return;
        }
        if self.servers.len() >= SERVER_LIMIT {
            return;
        }
        // One that is not dated gives way to any that is.
        let named = sent.and_then(|sent| sent.checked_sub(report.age.duration()));
        let named = named.or_else(|| now.checked_sub(SILENT_TIME)).unwrap_or(now);
        let ServerKey { id, life } = report.server.clone();
        let (limit, holders) = (report.limit, BTreeMap::new());
        self.servers.insert(id, ServerLimit { life, limit, named, heard: now, holders });
    }

    /// Servers of which one box may hold shares, so that all boxes that ask have some.
    fn most_held(&self, boxes: usize) -> usize {
        let limited = self.servers.values().filter(|server| server.limit.is_some());
        limited.map(|server| server.places(boxes)).sum::<usize>().div_ceil(boxes.max(1))
    }

    /// Forgets leases that have ended, and boxes and servers of which nothing was heard for long.
    fn forget(&mut self, now: Instant) {
        self.boxes.retain(|_, it| now < it.heard + SILENT_TIME);
        for server in self.servers.values_mut() {
            server.holders.retain(|_, held| now < held.until);
        }
        self.servers.retain(|_, server| now < server.heard + SILENT_TIME);
    }
}

/// The share that a box reports to hold, as far as it is free.
fn claimed(server: &ServerLimit, box_id: &BoxId, report: &LimitReport) -> f64 {
    let share = if report.share.is_finite() { report.share } else { 0.0 };
    share.clamp(0.0, server.free(box_id))
}

/// The share that a box gets.
fn share(
    server: &ServerLimit,
    box_id: &BoxId,
    report: &LimitReport,
    is_taking_over: bool,
    places: Option<usize>,
) -> f64 {
    if server.limit.is_none() || !may_be_same(server.life, report.server.life) {
        return 0.0;
    }
    let claimed = claimed(server, box_id, report);
    if is_taking_over {
        return claimed;
    }
    let others = server.holders.keys().filter(|holder| *holder != box_id).count();
    match places {
        Some(places) if report.wanted && others < places => {
            (1.0 / places as f64).min(server.free(box_id))
        }
        Some(_) | None => 0.0,
    }
}
