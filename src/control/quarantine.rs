//! Operator access to quarantined requests and prompt segments, which are no longer sent to any server.

use std::collections::BTreeSet;
use std::time::Duration;

use super::publish::{no_group, unacknowledged, unexpected_reply};
use crate::error::{Failure, Kind};
use crate::ids::Suspect;
use crate::node::Node;
use crate::state::quarantine::{QuarantineChange, QuarantinedSuspects};
use crate::state::{Command, Reply};

/// Timeout for a command to the group.
const GROUP_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Returns everything that is quarantined. The read goes through the log as an empty change, so it never returns stale
/// state.
///
/// # Errors
/// [`Kind::NoGroup`] if the group does not answer.
pub async fn show(node: &Node) -> Result<QuarantinedSuspects, Failure> {
    change(node, QuarantineChange::default(), no_group).await
}

/// Lifts the quarantine of a suspect and returns what remains quarantined.
///
/// # Errors
/// As for [`show`]; [`Kind::NotFound`] if the suspect is not quarantined, [`Kind::Unacknowledged`] if the group
/// does not confirm the change.
pub async fn lift(node: &Node, suspect: Suspect) -> Result<QuarantinedSuspects, Failure> {
    if !show(node).await?.contains_key(&suspect) {
        return Err(Failure::new(Kind::NotFound, format!("{suspect} is not quarantined")));
    }
    let lifted =
        QuarantineChange { lifted: BTreeSet::from([suspect.clone()]), ..Default::default() };
    let book = change(node, lifted, unacknowledged).await?;
    let (request, segment) = suspect.names();
    tracing::info!(event = "quarantine_lifted", request, segment);
    Ok(book)
}

/// Proposes a change to the group. `unanswered` builds the failure to return if the group does not answer.
async fn change(
    node: &Node,
    change: QuarantineChange,
    unanswered: fn(&str) -> Failure,
) -> Result<QuarantinedSuspects, Failure> {
    match node.access.propose(Command::ChangeQuarantine(change), GROUP_TIMEOUT).await {
        Ok(Reply::Quarantine(book)) => Ok(book.as_ref().clone()),
        Ok(_) => Err(unexpected_reply()),
        Err(error) => Err(unanswered(&error.to_string())),
    }
}
