//! What operators do with the published document: publish a new one, read the newest.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::error::{Failure, Kind};
use crate::node::Node;
use crate::state::document::{Document, PackedDocument, Version};
use crate::state::{Command, Reply};

/// How long the group may take to accept a document.
const PUBLISH_TIME: Duration = Duration::from_millis(2_500);

/// How long the group may take for a read.
const READ_TIME: Duration = Duration::from_millis(900);

/// When to come back if the group does not answer.
const GROUP_WAIT: Duration = Duration::from_millis(300);

/// Publishes a document that has been found valid; the version held afterwards. A version that is
/// not above the one held changes nothing.
///
/// # Errors
/// [`Kind::NoGroup`] when the group is not complete yet, [`Kind::Unacknowledged`] when it does not answer.
pub async fn publish(node: &Node, document: Document) -> Result<Version, Failure> {
    let version = document.version;
    if !is_complete(node) {
        return Err(no_group("the group of replicas is not complete yet"));
    }
    let packed = tokio::task::spawn_blocking(move || PackedDocument::pack(&document)).await;
    let packed = packed.map_err(|error| Failure::new(Kind::Internal, error.to_string()))?;
    match node.access.propose(Command::PublishPacked(packed), PUBLISH_TIME).await {
        Ok(Reply::Publish(held)) if held >= version => {
            tracing::info!(event = "document_published", version = %version, held = %held);
            Ok(held)
        }
        Ok(_) => Err(other_answer()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

/// The newest document. The read takes its place among all commands, so it is never an older one,
/// whatever this process has missed; the text is this process's own, once it has it.
///
/// # Errors
/// [`Kind::NoGroup`] when the group does not answer.
pub async fn read(node: &Node) -> Result<Arc<Document>, Failure> {
    let until = Instant::now() + READ_TIME;
    let newest = match node.access.propose(Command::ReadDocument, READ_TIME).await {
        Ok(Reply::Document(newest)) => newest,
        Ok(_) => return Err(other_answer()),
        Err(error) => return Err(no_group(&error.to_string())),
    };
    let mut documents = node.board.follow_document();
    let held = documents.wait_for(|document| document.version >= newest);
    match tokio::time::timeout_at(until, held).await {
        Ok(Ok(document)) => Ok(document.clone()),
        Ok(Err(_)) | Err(_) => Err(no_group("this replica does not have the newest document yet")),
    }
}

/// Whether the group has, or once had, all the voters it is to have: before that, the loss of the
/// boxes that may be lost could lose what was acknowledged.
pub(super) fn is_complete(node: &Node) -> bool {
    let voters = node.board.voters();
    voters >= node.settings.group.voters() || node.board.document().version.0 > 0
}

pub(super) fn no_group(text: &str) -> Failure {
    Failure::new(Kind::NoGroup, text).after(Some(GROUP_WAIT))
}

/// That the group's answer is none to what was asked.
pub(super) fn other_answer() -> Failure {
    Failure::new(Kind::Internal, "the group gave another command's answer")
}

/// That a change may or may not have been taken: the same change again, at any replica, tells.
pub(super) fn unacknowledged(text: &str) -> Failure {
    Failure::new(Kind::Unacknowledged, text).after(Some(GROUP_WAIT))
}
