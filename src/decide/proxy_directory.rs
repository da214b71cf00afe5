//! Assigns to each box the boxes that forward its requests when it loses its paths to backend servers.
//!
//! The boxes of a data centre form a ring by the hash of their id, and a box gets its successors. Few assignments
//! change when a box comes or goes, every box forwards for about as many others, and the work for one report does not
//! grow with the number of boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::proxies::Proxy;
use crate::ids::{BoxId, DataCentre, Region};

/// How many proxies a box gets: enough that one of them has room when others are lost as well.
pub const PROXIES_PER_BOX: usize = 4;

/// How many of them are in the box's own data centre, if there are others in the region.
const LOCAL_PROXIES: usize = 2;

/// How long after its last report a box is assigned to others.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Time between two removals of boxes that no longer report.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What a box reports about itself.
#[derive(Debug, Clone)]
pub struct ProxyReport {
    /// The box.
    pub box_id: BoxId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests of other boxes; `None` if it takes none at the moment.
    pub addr: Option<SocketAddr>,
}

#[derive(Debug)]
struct Entry {
    data_centre: DataCentre,
    reported_at: Instant,
    place: u64,
}

/// The boxes that forward requests of others.
#[derive(Debug, Default)]
pub struct ProxyDirectory {
    boxes: BTreeMap<BoxId, Entry>,
    /// By data centre and hash of the box id.
    rings: BTreeMap<DataCentre, BTreeMap<(u64, BoxId), Proxy>>,
    swept_at: Option<Instant>,
}

impl ProxyDirectory {
    /// Records a box's report; `hash` is a hash of its id.
    pub fn record(&mut self, report: &ProxyReport, hash: u64, now: Instant) {
        self.sweep(now);
        self.remove(&report.box_id);
        let Some(addr) = report.addr else {
            return;
        };
        let (box_id, data_centre) = (report.box_id.clone(), report.data_centre.clone());
        let ring = self.rings.entry(data_centre.clone()).or_default();
        ring.insert((hash, box_id.clone()), Proxy { box_id: box_id.clone(), addr });
        self.boxes.insert(box_id, Entry { data_centre, reported_at: now, place: hash });
    }

    /// The proxies for a box: some of its own data centre, then one of each other data centre of its region in turn,
    /// then of other regions.
    pub fn assign(
        &self,
        report: &ProxyReport,
        hash: u64,
        regions: &BTreeMap<DataCentre, Region>,
    ) -> Vec<Proxy> {
        let own_region = regions.get(&report.data_centre);
        let local = self.successors(&report.data_centre, report, hash);
        let mut chosen: Vec<Proxy> = local.iter().take(LOCAL_PROXIES).cloned().collect();
        let others: Vec<_> = self.rings.keys().filter(|it| **it != report.data_centre).collect();
        let (near, far): (Vec<&DataCentre>, Vec<_>) =
            others.into_iter().partition(|it| regions.get(*it) == own_region);
        for group in [near, far] {
            let start = if group.is_empty() { 0 } else { hash as usize % group.len() };
            // Each box begins at a data centre of its own choice, so that all are used alike.
            let in_turn = group[start..].iter().chain(&group[..start]);
            let found: Vec<_> = in_turn.map(|it| self.successors(it, report, hash)).collect();
            for rank in 0..PROXIES_PER_BOX {
                found.iter().filter_map(|it| it.get(rank)).for_each(|it| add(&mut chosen, it));
            }
        }
        local.iter().for_each(|proxy| add(&mut chosen, proxy));
        chosen
    }

    /// The first boxes of a data centre behind the place of the reporting one in the ring, without that one.
    fn successors(&self, data_centre: &DataCentre, report: &ProxyReport, hash: u64) -> Vec<Proxy> {
        let Some(ring) = self.rings.get(data_centre) else {
            return Vec::new();
        };
        let from = (hash, report.box_id.clone());
        let (after, before) = (ring.range(from.clone()..), ring.range(..from));
        let others = after.chain(before).map(|(_, proxy)| proxy);
        let others = others.filter(|proxy| proxy.box_id != report.box_id);
        others.take(PROXIES_PER_BOX).cloned().collect()
    }

    fn remove(&mut self, box_id: &BoxId) {
        let Some(entry) = self.boxes.remove(box_id) else {
            return;
        };
        if let Some(ring) = self.rings.get_mut(&entry.data_centre) {
            ring.remove(&(entry.place, box_id.clone()));
            if ring.is_empty() {
                self.rings.remove(&entry.data_centre);
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| now < at + SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        let silent = self.boxes.iter().filter(|(_, it)| it.reported_at + REPORT_LIFETIME <= now);
        let silent: Vec<_> = silent.map(|(box_id, _)| box_id.clone()).collect();
        silent.iter().for_each(|box_id| self.remove(box_id));
    }

    /// The number of boxes that forward requests.
    pub fn len(&self) -> usize {
        self.boxes.len()
    }

    /// Whether no box forwards requests.
    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty()
    }
}

fn add(chosen: &mut Vec<Proxy>, next: &Proxy) {
    if chosen.len() < PROXIES_PER_BOX && !chosen.contains(next) {
        chosen.push(next.clone());
    }
}
