//! Refuses requests under which backend servers have ended. The decision which requests these are
//! is made in [`crate::decide::quarantine`].

use std::time::Instant;

use super::Relay;
use super::call::Call;
use crate::decide::ends::CrashReport;
use crate::decide::quarantine::{QuarantineDelta, QuarantineReport, QuarantineUpdate};
use crate::error::{Failure, Kind};

/// Checks that a call's request is not quarantined.
///
/// # Errors
///
/// [`Kind::Quarantined`] if it is. The request has not run; the failure says after what time it may
/// be sent again.
pub(super) fn check(relay: &Relay, call: &Call) -> Result<(), Failure> {
    // With an empty quarantine the body is not hashed. The lock is not held during hashing, since
    // other calls wait for it.
    if relay.quarantine().is_empty() {
        return Ok(());
    }
    let request = call.fingerprint();
    let remaining = relay.quarantine().remaining(&request, Instant::now());
    match remaining {
        None => Ok(()),
        Some(remaining) => {
            let text = "backend servers ended under this request: it is not run again for now";
            Err(Failure::new(Kind::Quarantined, text).after(Some(remaining)))
        }
    }
}

/// Records that a server answered a call, with success or an error: the request did not end the
/// server.
pub(super) fn record_success(relay: &Relay, call: &Call) {
    let request = call.fingerprint();
    if relay.quarantine().record_success(request, Instant::now()) {
        tracing::info!(event = "request_cleared", id = call.head.id, %request);
        relay.heartbeat_requested.notify_one();
    }
}

/// Records that a server ended, and reports it to the leader at once if it is news.
pub(super) fn record_end(relay: &Relay, report: CrashReport) {
    let (changes, is_news) = relay.quarantine().record_crash(report, Instant::now());
    log_changes(&changes);
    if is_news {
        relay.heartbeat_requested.notify_one();
    }
}

/// Applies the leader's answer to a report of ended servers.
pub(crate) fn apply_answer(
    relay: &Relay,
    report: &QuarantineReport,
    update: Option<QuarantineUpdate>,
    lacks: bool,
) {
    let (changes, is_urgent) =
        relay.quarantine().apply_reply(report, update, lacks, Instant::now());
    log_changes(&changes);
    if is_urgent {
        relay.heartbeat_requested.notify_one();
    }
}

/// Writes a log line for each request that was added to or removed from the quarantine.
fn log_changes(changes: &QuarantineDelta) {
    for request in &changes.added {
        tracing::warn!(event = "request_quarantined", %request);
    }
    for request in &changes.lifted {
        tracing::info!(event = "request_let_through", %request);
    }
}
