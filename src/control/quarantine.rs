//! What operators ask of the requests that no server gets any more.

use std::collections::BTreeSet;
use std::time::Duration;

use super::publish::{no_group, other_answer, unacknowledged};
use crate::error::{Failure, Kind};
use crate::ids::Fingerprint;
use crate::node::Node;
use crate::state::quarantine::{QuarantineBook, QuarantineChange};
use crate::state::{Command, Reply};

/// How long the group may take.
const GROUP_TIME: Duration = Duration::from_millis(2_500);

/// All that are held. The read takes its place among all commands, so it is never an older state.
///
/// # Errors
/// [`Kind::NoGroup`] when the group does not answer.
pub async fn show(node: &Node) -> Result<QuarantineBook, Failure> {
    change(node, QuarantineChange::default(), no_group).await
}

/// Lets a request through again; all that are held then.
///
/// # Errors
/// As for [`show`]; [`Kind::NotFound`] where it is not held, [`Kind::Unacknowledged`] when the group does not
/// say whether it took the change.
pub async fn lift(node: &Node, request: Fingerprint) -> Result<QuarantineBook, Failure> {
    if !show(node).await?.contains_key(&request) {
        return Err(Failure::new(Kind::NotFound, format!("{request} is not held")));
    }
    let lifted = QuarantineChange { lifted: BTreeSet::from([request]), ..Default::default() };
    let book = change(node, lifted, unacknowledged).await?;
    tracing::info!(event = "quarantine_lifted", %request);
    Ok(book)
}

/// Has the group make a change; `unanswered` is what is said when it does not answer.
async fn change(
    node: &Node,
    change: QuarantineChange,
    unanswered: fn(&str) -> Failure,
) -> Result<QuarantineBook, Failure> {
    match node.access.propose(Command::ChangeQuarantine(change), GROUP_TIME).await {
        Ok(Reply::Quarantine(book)) => Ok(book.as_ref().clone()),
        Ok(_) => Err(other_answer()),
        Err(error) => Err(unanswered(&error.to_string())),
    }
}
