//! Incremental reports of a box to the leader: the usage counts and the engine models.
//!
//! A box reports only what has changed since its last acknowledged report. The leader keeps what it received; if it has
//! missed a report, each answer asks for a full one until it gets it. The counts of a window replace those received
//! earlier, so a lost or repeated report neither loses nor duplicates counts.

use crate::ids::Window;
use crate::state::notes::Models;
use crate::state::usage::Counts;

/// The most windows kept for a box. A usage report is due long before that, and while none can be made, keeping more
/// is of no use.
const MAX_WINDOWS: usize = 24;

/// The changes that a box reports.
#[derive(Debug, Clone)]
pub struct ReportDelta {
    /// Whether this is a full report.
    pub is_full: bool,
    /// The report's sequence number.
    pub seq: u64,
    /// The last acknowledged report, which the changes refer to.
    pub base_seq: u64,
    /// The counts of the windows that have changed.
    pub usage: Counts,
    /// The models of engines that the box has learned, if they have changed.
    pub engines: Option<Models>,
}

/// The box's side: what the leader has acknowledged.
#[derive(Debug, Default)]
pub struct DeltaSender {
    /// `None` if the next report must be a full one.
    acked: Option<DeltaReceiver>,
    /// The last acknowledged report.
    acked_seq: u64,
}

impl DeltaSender {
    /// The changes to send in report `seq`.
    pub fn delta(&self, seq: u64, mut usage: Counts, engines: Models) -> ReportDelta {
        let base_seq = self.acked_seq;
        let Some(acked) = &self.acked else {
            return ReportDelta { is_full: true, seq, base_seq, usage, engines: Some(engines) };
        };
        usage.retain(|window, counts| acked.usage.get(window) != Some(counts));
        let engines = models_changed(&acked.engines, &engines).then_some(engines);
        ReportDelta { is_full: false, seq, base_seq, usage, engines }
    }

    /// Handles the answer to a report: the leader has applied it, unless it `needs_full` one. Windows up to `settled`
    /// are no longer reported.
    pub fn handle_answer(&mut self, delta: ReportDelta, needs_full: bool, settled: Window) {
        match needs_full {
            true => self.acked = None,
            false => {
                self.acked_seq = delta.seq;
                self.acked.get_or_insert_default().apply(delta, settled);
            }
        }
    }
}

/// The leader's side: what one incarnation of a box has reported.
#[derive(Debug, Default)]
pub struct DeltaReceiver {
    /// The counts of the windows that are not settled.
    pub usage: Counts,
    /// The models of engines that the box has learned.
    pub engines: Models,
    /// The last report received; 0 before the first.
    last_seq: u64,
    /// Whether no report is missing since a full one.
    is_complete: bool,
}

impl DeltaReceiver {
    /// Applies a report and drops windows up to `settled`. Returns whether a full report is needed: before the first
    /// one, and when a report refers to one that was not received here. A report that is not newer than the last one
    /// is ignored.
    pub fn apply(&mut self, delta: ReportDelta, settled: Window) -> bool {
        if delta.seq <= self.last_seq {
            return !self.is_complete;
        }
        if delta.is_full {
            self.usage.clear();
        }
        self.is_complete = delta.is_full || (self.is_complete && delta.base_seq <= self.last_seq);
        self.last_seq = delta.seq;
        self.usage.extend(delta.usage);
        self.usage.retain(|window, _| *window > settled);
        while self.usage.len() > MAX_WINDOWS {
            self.usage.pop_first();
        }
        if let Some(engines) = delta.engines {
            self.engines = engines;
        }
        !self.is_complete
    }
}

/// Whether models differ enough from the known ones to be reported.
pub fn models_changed(known: &Models, models: &Models) -> bool {
    let is_same = known.len() == models.len()
        && known
            .iter()
            .zip(models)
            .all(|((a, known), (b, model))| a == b && !known.is_outdated_by(model));
    !is_same
}
