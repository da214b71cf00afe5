//! Publishes configuration documents for operators and reads the newest one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::error::{Failure, Kind};
use crate::node::Node;
use crate::state::document::{Document, PackedDocument, Version};
use crate::state::{Command, Reply};

/// Timeout for the group to accept a document.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout for a read from the group.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// When callers should retry if the group does not answer.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Publishes a validated document and returns the version that the group holds afterwards. A document whose
/// version is not greater than the held one changes nothing.
///
/// # Errors
/// [`Kind::NoGroup`] if the group is not complete yet, [`Kind::Unacknowledged`] if it does not answer.
pub async fn publish(node: &Node, document: Document) -> Result<Version, Failure> {
    let version = document.version;
    if !is_complete(node) {
        let text = "this replica knows of no complete group";
        return Err(no_group(&waiting(node).unwrap_or_else(|| text.to_owned())));
    }
    let packed = tokio::task::spawn_blocking(move || PackedDocument::pack(&document)).await;
    let packed = packed.map_err(|error| Failure::new(Kind::Internal, error.to_string()))?;
    match node.access.propose(Command::PublishPacked(packed), PUBLISH_TIMEOUT).await {
        Ok(Reply::Publish(held)) if held >= version => {
            tracing::info!(event = "document_published", version = %version, held = %held);
            Ok(held)
        }
        Ok(_) => Err(unexpected_reply()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

/// Returns the newest document. The read of its version goes through the log like any command, so the version is
/// never stale, even if this process has missed changes. The text comes from this process's own replica as soon
/// as that has the version.
///
/// # Errors
/// [`Kind::NoGroup`] if the group does not answer or this replica does not have the newest document in time.
pub async fn read(node: &Node) -> Result<Arc<Document>, Failure> {
    if let Some(text) = waiting(node) {
        return Err(no_group(&text));
    }
    let deadline = Instant::now() + READ_TIMEOUT;
    let newest = match node.access.propose(Command::ReadDocument, READ_TIMEOUT).await {
        Ok(Reply::Document(newest)) => newest,
        Ok(_) => return Err(unexpected_reply()),
        Err(error) => return Err(no_group(&error.to_string())),
    };
    let mut documents = node.board.follow_document();
    let held = documents.wait_for(|document| document.version >= newest);
    match tokio::time::timeout_at(deadline, held).await {
        Ok(Ok(document)) => Ok(document.clone()),
        Ok(Err(_)) | Err(_) => Err(no_group("this replica does not have the newest document yet")),
    }
}

/// Whether the group has, or once had, its configured number of voters. With fewer voters,
/// losing as many boxes as the group is meant to tolerate could lose acknowledged changes.
pub(super) fn is_complete(node: &Node) -> bool {
    let voters = node.board.voters();
    voters >= node.settings.group.voters() || node.board.document().version.0 > 0
}

/// What operators are told while this process's replica waits for its disk, so that what it holds cannot become newer.
fn waiting(node: &Node) -> Option<String> {
    let waited = node.access.local()?.disk().waits()?;
    Some(format!("this replica has waited for its disk for {} ms", waited.as_millis()))
}

/// The failure of a call that changed nothing because the group is unavailable.
pub(super) fn no_group(text: &str) -> Failure {
    Failure::new(Kind::NoGroup, text).after(Some(RETRY_AFTER))
}

/// The failure of a command that the group answered with the reply to another kind of command.
pub(super) fn unexpected_reply() -> Failure {
    Failure::new(Kind::Internal, "the group answered with the reply to another command")
}

/// The failure of a change that may or may not have been made. Repeating the same change at any replica tells
/// which.
pub(super) fn unacknowledged(text: &str) -> Failure {
    Failure::new(Kind::Unacknowledged, text).after(Some(RETRY_AFTER))
}
