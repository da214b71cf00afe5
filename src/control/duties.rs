//! The leader's calls to the platform: it polls the list of backend servers for all boxes, reports the usage of
//! teams and orders engines. Each runs in a task of its own, so that a call without an answer does not delay
//! the others.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::time::{Interval, MissedTickBehavior};

use super::lead::LeaderState;
use super::spend::OrderOutcome;
use super::{notes, rollouts};
use crate::ids::{BackendId, Term, Window};
use crate::node::Node;
use crate::platform::client::{Client, Duty, DutyAnswer};
use crate::relay::listing::UnreadableEntry;
use crate::relay::usage::window_at;
use crate::settings::CloudSettings;
use crate::state::usage::Settle;
use crate::state::{Command, Reply};

/// Interval at which due usage reports are checked.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for the group to accept a command of the leader.
pub(super) const PROPOSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval at which due orders for engines are checked.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a usage report that failed.
const REPORT_PAUSE: Duration = Duration::from_millis(1_000);

/// The part of the time between a window's end and the due time of its report after which the window's counts
/// are settled. This is late enough for the reports of all boxes, and early enough for retries and a change
/// of leader.
const SETTLE_FRACTION: f64 = 0.35;

/// Number of past windows that a new leader reports again, in case the previous leader did not report them.
const RECHECKED_WINDOWS: u64 = 3;

/// Starts the leader's tasks. Each task does nothing while another process is the leader.
pub(crate) fn start(node: &Arc<Node>, settings: &CloudSettings) {
    let client = Client::new(node.pool.clone(), settings.addr);
    node.keep("notes", |node| notes::run(node.clone()));
    node.keep("rollouts", |node| rollouts::run(node.clone()));
    let (own, set) = (client.clone(), settings.clone());
    node.keep("poll_list", move |node| poll_list(node.clone(), own.clone(), set.clone()));
    let (own, set) = (client.clone(), settings.clone());
    node.keep("report_usage", move |node| report_usage(node.clone(), own.clone(), set.clone()));
    let set = settings.clone();
    node.keep("order_engines", move |node| {
        order_engines(node.clone(), client.clone(), set.clone())
    });
}

/// A timer that delays its next ticks after a missed one instead of catching up.
fn interval(period: Duration) -> Interval {
    let mut timer = tokio::time::interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// Polls the list of backend servers, and reads it at once when this process becomes the leader: relays that
/// have just started cannot serve requests without it.
async fn poll_list(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = interval(settings.poll.duration());
    let mut leading = node.board.follow_leading();
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            Ok(()) = leading.changed() => {}
        }
        if let Some(term) = node.leading_term().await {
            read_list(&node, &client, term).await;
        }
    }
}

/// Reports usage windows as they become due.
async fn report_usage(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = interval(REPORT_INTERVAL);
    loop {
        timer.tick().await;
        let Some(term) = node.acting_term(&settings).await else {
            continue;
        };
        if !report_due_windows(&node, &client, &settings, term).await {
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    }
}

/// Orders engines as they become due.
async fn order_engines(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = interval(ORDER_INTERVAL);
    loop {
        timer.tick().await;
        if let Some(term) = node.acting_term(&settings).await {
            place_due_orders(&node, &client, term).await;
        }
    }
}

/// Reads the list once and publishes it to the boxes.
async fn read_list(node: &Node, client: &Client, term: Term) {
    match client.list(PLATFORM_TIMEOUT).await {
        Ok(listing) => node.with_lead(term, |lead| {
            let now = Instant::now();
            let version = lead.list.apply_listing(term, listing, now);
            for entry in lead.new_unreadable_entries() {
                log_unreadable_entry(node, &entry);
            }
            if let Some(version) = version {
                let servers = lead.list.servers();
                let (count, leaving) =
                    (servers.len(), servers.iter().filter(|it| it.leaving).count());
                lead.loads.update_servers(lead.list.keys(), now);
                let leaving_ids = servers.iter().filter(|it| it.leaving).map(|it| &it.id);
                lead.quarantine.record_leaving(leaving_ids, now);
                lead.refresh_serving(true);
                node.listed.notify_waiters();
                tracing::info!(
                    event = "list_read", term = %term, place = version.sequence, servers = count, leaving,
                    releases = lead.list.releases(),
                );
            }
        }),
        Err(error) => {
            tracing::warn!(event = "list_unread", %error);
            // The last list stays in use, but is published again with the incarnations that boxes have reported
            // since.
            node.with_lead(term, |lead| {
                if lead.list.is_stale() {
                    lead.list.rebuild(term, Instant::now());
                }
            });
        }
    }
}

/// Counts an unreadable entry of the list and logs why it cannot be read.
fn log_unreadable_entry(node: &Node, entry: &UnreadableEntry) {
    node.metrics.count_unread_entry(entry.error.label());
    tracing::warn!(
        event = "list_entry_unread", backend_server = entry.id.as_ref().map(BackendId::as_str),
        addr = entry.addr.map(|addr| addr.to_string()), reason = %entry.error,
    );
}

/// Sends the orders that are due and records their outcomes.
async fn place_due_orders(node: &Node, client: &Client, term: Term) {
    let duty = Duty { holder: node.settings.node.box_id.clone(), fence: term };
    let orders = node.with_lead(term, LeaderState::orders);
    let calls = orders.into_iter().map(|order| async {
        let answer = client.order(&duty, &order, PLATFORM_TIMEOUT).await;
        (order, answer)
    });
    for (order, answer) in futures_util::future::join_all(calls).await {
        tracing::info!(
            event = "engines_ordered", service = %order.service, count = order.count,
            data_centre = %order.data_centre, spot = order.spot, fence = %term, ?answer,
        );
        node.with_lead(term, |lead| {
            let outcome = match answer {
                Ok(DutyAnswer::Taken) => OrderOutcome::Accepted,
                Ok(DutyAnswer::Unavailable) => OrderOutcome::Unavailable,
                Ok(DutyAnswer::Fenced) => OrderOutcome::Fenced,
                Err(_) => OrderOutcome::Unknown,
            };
            lead.spender.record_outcome(lead.started_at.elapsed().as_secs_f64(), &order, outcome);
        });
    }
}

/// Settles and reports the windows that are due. Returns `false` if one failed.
async fn report_due_windows(
    node: &Node,
    client: &Client,
    settings: &CloudSettings,
    term: Term,
) -> bool {
    let length = settings.usage_window.duration();
    let delay = settings.usage_due.duration().mul_f64(SETTLE_FRACTION);
    let now = SystemTime::now();
    // The last window to report is the one before the window that was current `delay` ago.
    let current = window_at(now.checked_sub(delay).unwrap_or(now), length);
    let Some(last) = current.0.checked_sub(1) else {
        return true;
    };
    let settled = node.with_lead(term, |lead| lead.settled);
    let first = (settled.0 + 1).max((last + 1).saturating_sub(RECHECKED_WINDOWS));
    for window in (first..=last).map(Window) {
        let counts = node.with_lead(term, |lead| lead.usage_counts(window));
        if !report_window(node, client, term, Settle { window, counts }).await {
            return false;
        }
        node.with_lead(term, |lead| lead.settled = window);
    }
    true
}

/// Settles the counts of a window in the group and reports them to the platform. Returns `false` if the window
/// must be tried again.
async fn report_window(node: &Node, client: &Client, term: Term, settle: Settle) -> bool {
    let window = settle.window;
    let settled = match node.propose_here(Command::Settle(settle), PROPOSE_TIMEOUT).await {
        Some(Reply::Settle(settled)) => settled,
        Some(_) | None => {
            tracing::warn!(event = "usage_not_fixed", window = %window);
            return false;
        }
    };
    let duty = Duty { holder: node.settings.node.box_id.clone(), fence: term };
    let answer = client.report_usage(&duty, &settled, PLATFORM_TIMEOUT).await;
    let sum: u64 = settled.counts.values().sum();
    tracing::info!(event = "usage_reported", window = %window, requests = sum, fence = %term, ?answer);
    matches!(answer, Ok(DutyAnswer::Taken | DutyAnswer::Fenced | DutyAnswer::Unavailable))
}
