//! Refuses requests that end the servers they run on. Which those are is decided in
//! [`crate::decide::quarantine`].

use std::time::Instant;

use super::Relay;
use super::call::Call;
use crate::decide::ends::CrashReport;
use crate::decide::quarantine::{QuarantineDelta, QuarantineReport, QuarantineUpdate};
use crate::error::{Failure, Kind};

/// Whether a call's request is kept from all servers.
///
/// # Errors
/// [`Kind::Quarantined`] if it is. It has not run, and it will not: the caller hears that at once, and when it may
/// run again.
pub(super) fn check(relay: &Relay, call: &Call) -> Result<(), Failure> {
    // No hash of a body while nothing is held, and none while other calls wait for the lock.
    if relay.quarantine().is_empty() {
        return Ok(());
    }
    let request = call.fingerprint();
    let left = relay.quarantine().remaining(&request, Instant::now());
    match left {
        None => Ok(()),
        Some(left) => {
            let text = "backend servers ended under this request: it is not run again for now";
            Err(Failure::new(Kind::Quarantined, text).after(Some(left)))
        }
    }
}

/// Notes that a server has answered a call, well or not.
pub(super) fn record_success(relay: &Relay, call: &Call) {
    let request = call.fingerprint();
    if relay.quarantine().record_success(request, Instant::now()) {
        tracing::info!(event = "request_cleared", id = call.head.id, %request);
        relay.heartbeat_requested.notify_one();
    }
}

/// Takes that a server ended, and has the leader hear of it at once.
pub(super) fn record_end(relay: &Relay, told: CrashReport) {
    let (changes, is_news) = relay.quarantine().record_crash(told, Instant::now());
    say(&changes);
    if is_news {
        relay.heartbeat_requested.notify_one();
    }
}

/// Takes the leader's answer to a word.
pub(crate) fn take_answer(
    relay: &Relay,
    told: &QuarantineReport,
    word: Option<QuarantineUpdate>,
    lacks: bool,
) {
    let (changes, is_urgent) = relay.quarantine().apply_reply(told, word, lacks, Instant::now());
    say(&changes);
    if is_urgent {
        relay.heartbeat_requested.notify_one();
    }
}

/// One line for each request that is kept from servers from now on, or no longer.
fn say(changes: &QuarantineDelta) {
    for request in &changes.added {
        tracing::warn!(event = "request_quarantined", %request);
    }
    for request in &changes.lifted {
        tracing::info!(event = "request_let_through", %request);
    }
}
