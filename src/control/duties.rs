//! The leader's duties towards the platform: it reads the list of backend servers for all boxes, reports the
//! teams' use and orders engines. Each has its own task: a call that the platform leaves unanswered
//! holds no other up.

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

/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(200);

/// How long the platform may take.
const CLOUD_TIME: Duration = Duration::from_millis(1_500);

/// How long the group may take to fix a window's counts.
pub(super) const PROPOSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between two looks at whether engines are to be ordered.
const ORDER_TIME: Duration = Duration::from_millis(500);

/// Pause after a report that the platform did not take.
const REPORT_PAUSE: Duration = Duration::from_millis(1_000);

/// How long after its end a window's counts are fixed, as a part of the time until its report is due:
/// late enough for every box's word, early enough for tries and for a change of leader.
const SETTLE_PART: f64 = 0.35;

/// Windows before its election for which a new leader makes sure that a report went out.
const LOOK_BACK: u64 = 3;

/// Does what is due while this process leads, until the task is dropped.
pub(crate) async fn run(node: Arc<Node>, settings: CloudSettings) {
    let client = Client::new(node.pool.clone(), settings.addr);
    tokio::spawn(notes::keep(node.clone()));
    tokio::spawn(rollouts::run(node.clone()));
    tokio::spawn(follow_list(node.clone(), client.clone(), settings.clone()));
    tokio::spawn(report_usage(node.clone(), client.clone(), settings.clone()));
    order_engines(node, client, settings).await;
}

fn every(time: Duration) -> Interval {
    let mut timer = tokio::time::interval(time);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// Reads the list regularly, and at once when this process begins to lead: relays that have just
/// started can serve nobody without it.
async fn follow_list(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = every(settings.poll.duration());
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

async fn report_usage(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = every(LOOK);
    loop {
        timer.tick().await;
        let Some(term) = node.acting_term(&settings).await else {
            continue;
        };
        if !report(&node, &client, &settings, term).await {
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    }
}

async fn order_engines(node: Arc<Node>, client: Client, settings: CloudSettings) {
    let mut timer = every(ORDER_TIME);
    loop {
        timer.tick().await;
        if let Some(term) = node.acting_term(&settings).await {
            order(&node, &client, term).await;
        }
    }
}

async fn read_list(node: &Node, client: &Client, term: Term) {
    match client.list(CLOUD_TIME).await {
        Ok(listing) => node.with_lead(term, |lead| {
            let now = Instant::now();
            let version = lead.list.apply_listing(term, listing, now);
            for unread in lead.new_unreadable_entries() {
                say_unread(node, &unread);
            }
            if let Some(version) = version {
                let servers = lead.list.servers();
                let (count, leaving) =
                    (servers.len(), servers.iter().filter(|it| it.leaving).count());
                lead.loads.update_servers(lead.list.keys(), now);
                let going = servers.iter().filter(|it| it.leaving).map(|it| &it.id);
                lead.quarantine.record_leaving(going, now);
                node.listed.notify_waiters();
                tracing::info!(
                    event = "list_read", term = %term, place = version.sequence, servers = count, leaving,
                    releases = lead.list.releases(),
                );
            }
        }),
        Err(error) => {
            tracing::warn!(event = "list_unread", %error);
            // What was read stands; what boxes said of lives since goes out all the same.
            node.with_lead(term, |lead| {
                if lead.list.is_stale() {
                    lead.list.rebuild(term, Instant::now());
                }
            });
        }
    }
}

/// Counts an entry that names no server, and says what is wrong with it.
fn say_unread(node: &Node, unread: &UnreadableEntry) {
    node.metrics.count_unread_entry(unread.error.label());
    tracing::warn!(
        event = "list_entry_unread", backend_server = unread.id.as_ref().map(BackendId::as_str),
        addr = unread.addr.map(|addr| addr.to_string()), reason = %unread.error,
    );
}

/// Orders the engines that are due.
async fn order(node: &Node, client: &Client, term: Term) {
    let duty = Duty { holder: node.settings.node.box_id.clone(), fence: term };
    let orders = node.with_lead(term, LeaderState::orders);
    let asked = orders.into_iter().map(|order| async {
        let answer = client.order(&duty, &order, CLOUD_TIME).await;
        (order, answer)
    });
    for (order, answer) in futures_util::future::join_all(asked).await {
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

/// Fixes and reports the windows that are due; `false` if one could not be.
async fn report(node: &Node, client: &Client, settings: &CloudSettings, term: Term) -> bool {
    let length = settings.usage_window.duration();
    let delay = settings.usage_due.duration().mul_f64(SETTLE_PART);
    let now = SystemTime::now();
    // The window before the one that `delay` ago was under way has ended for long enough.
    let current = window_at(now.checked_sub(delay).unwrap_or(now), length);
    let Some(last) = current.0.checked_sub(1) else {
        return true;
    };
    let settled = node.with_lead(term, |lead| lead.settled);
    let first = (settled.0 + 1).max((last + 1).saturating_sub(LOOK_BACK));
    for window in (first..=last).map(Window) {
        let counts = node.with_lead(term, |lead| lead.usage_counts(window));
        if !report_one(node, client, term, Settle { window, counts }).await {
            return false;
        }
        node.with_lead(term, |lead| lead.settled = window);
    }
    true
}

async fn report_one(node: &Node, client: &Client, term: Term, settle: Settle) -> bool {
    let window = settle.window;
    let fixed = match node.propose_here(Command::Settle(settle), PROPOSE_TIMEOUT).await {
        Some(Reply::Settle(fixed)) => fixed,
        Some(_) | None => {
            tracing::warn!(event = "usage_not_fixed", window = %window);
            return false;
        }
    };
    let duty = Duty { holder: node.settings.node.box_id.clone(), fence: term };
    let answer = client.report_usage(&duty, &fixed, CLOUD_TIME).await;
    let sum: u64 = fixed.counts.values().sum();
    tracing::info!(event = "usage_reported", window = %window, requests = sum, fence = %term, ?answer);
    matches!(answer, Ok(DutyAnswer::Taken | DutyAnswer::Fenced | DutyAnswer::Unavailable))
}
