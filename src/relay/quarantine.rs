//! Refuses requests, and prompts with segments, under which backend servers have ended. The decision which these are
//! is made in [`crate::decide::quarantine`].

use std::time::{Duration, Instant};

use super::Relay;
use super::call::Call;
use super::table::Route;
use crate::decide::ends::CrashReport;
use crate::decide::quarantine::{QuarantineDelta, QuarantineReport, QuarantineUpdate};
use crate::error::{Failure, Kind};
use crate::ids::{ServiceName, Suspect};

/// Checks that neither a call's request nor a shared segment of its prompt is quarantined at the service.
///
/// # Errors
///
/// [`Kind::Quarantined`] if it is. The request has not run; the failure says after what time it may
/// be sent again.
pub(super) fn check(relay: &Relay, call: &Call, service: &ServiceName) -> Result<(), Failure> {
    let now = Instant::now();
    let has_requests = {
        let quarantine = relay.quarantine();
        if quarantine.is_empty() {
            return Ok(());
        }
        let segments: Vec<_> = call.segment_keys(service).collect();
        if let Some(remaining) = quarantine.prompt_remaining(&segments, now) {
            return Err(refusal("a segment of this prompt", remaining));
        }
        quarantine.has_requests()
    };
    // The body is hashed only if that is needed, and without the lock, since other calls wait for it.
    if !has_requests {
        return Ok(());
    }
    let request = Suspect::Request(call.fingerprint());
    let remaining = relay.quarantine().remaining(&request, now);
    remaining.map_or(Ok(()), |remaining| Err(refusal("this request", remaining)))
}

fn refusal(cause: &str, remaining: Duration) -> Failure {
    let text = format!("backend servers ended under {cause}: it is not run again for now");
    Failure::new(Kind::Quarantined, text).after(Some(remaining))
}

/// Checks a call that may go to any service of its route. As [`check`], if none may get it.
pub(super) fn check_route(relay: &Relay, call: &Call, route: &Route) -> Result<(), Failure> {
    let mut refused = Ok(());
    for split in &route.splits {
        refused = check(relay, call, &split.service);
        if refused.is_ok() {
            break;
        }
    }
    refused
}

/// Whether a call that broke off at a server may crash another one: its prompt has a segment under which several
/// servers crashed.
pub(super) fn is_suspected(relay: &Relay, call: &Call, service: &ServiceName) -> bool {
    if call.shared_segments().is_empty() {
        return false;
    }
    let (quarantine, now) = (relay.quarantine(), Instant::now());
    call.segment_keys(service).any(|segment| quarantine.is_suspected(&segment, now))
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

/// Records that a server went on after it had begun to answer a call: no segment of its prompt
/// crashed the server.
pub(super) fn record_survival(relay: &Relay, call: &Call, service: &ServiceName) {
    if call.shared_segments().is_empty() {
        return;
    }
    let (mut quarantine, now) = (relay.quarantine(), Instant::now());
    for segment in call.segment_keys(service) {
        quarantine.record_survival(&segment, now);
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

/// Writes a log line for each suspect that was added to or removed from the quarantine.
fn log_changes(changes: &QuarantineDelta) {
    for suspect in &changes.added {
        let (request, segment) = suspect.names();
        tracing::warn!(event = "request_quarantined", request, segment);
    }
    for suspect in &changes.lifted {
        let (request, segment) = suspect.names();
        tracing::info!(event = "request_let_through", request, segment);
    }
}
