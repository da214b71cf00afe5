//! A process's handle on its own replica.
//!
//! While the disk does not let the storage be opened, or does not take a write, the replica stands still.
//! Nothing is queued for it then: what nobody takes out would fill the memory, and whoever asks learns at
//! once that another replica is to be asked.

use std::sync::Arc;
use std::time::Duration;

use ractor::rpc::CallResult;
use ractor::{ActorRef, RpcReplyPort};
use tokio::sync::SetOnce;

use super::disk::DiskWatch;
use super::driver::GroupMessage;

/// Why the replica does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// It waits for its disk.
    #[error("the replica waits for its disk")]
    Disk,
    /// It did not answer in time.
    #[error("the replica did not answer in time")]
    Timeout,
    /// It dropped the question.
    #[error("the replica dropped the question")]
    Dropped,
    /// Its actor has ended.
    #[error("the replica is gone")]
    Gone,
}

/// This process's replica.
#[derive(Clone, Default)]
pub struct Replica {
    actor: Arc<SetOnce<ActorRef<GroupMessage>>>,
    disk: Arc<DiskWatch>,
}

impl Replica {
    /// Whether its disk does what it is asked.
    pub fn disk(&self) -> &Arc<DiskWatch> {
        &self.disk
    }

    /// The storage is open and the actor runs.
    pub fn open(&self, actor: ActorRef<GroupMessage>) {
        let _ = self.actor.set(actor);
    }

    /// Waits until the storage is open and the actor runs.
    pub async fn opened(&self) {
        self.actor.wait().await;
    }

    /// Asks the replica and waits for its answer for no longer than `limit`.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn ask<R: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<R>) -> GroupMessage,
        limit: Duration,
    ) -> Result<R, NoAnswer> {
        match self.running()?.call(message, Some(limit)).await {
            Ok(CallResult::Success(reply)) => Ok(reply),
            Ok(CallResult::Timeout) => Err(NoAnswer::Timeout),
            Ok(CallResult::SenderError) => Err(NoAnswer::Dropped),
            Err(_) => Err(NoAnswer::Gone),
        }
    }

    /// Gives the replica a message that has no answer.
    ///
    /// # Errors
    /// When the replica cannot take it.
    pub fn tell(&self, message: GroupMessage) -> Result<(), NoAnswer> {
        self.running()?.cast(message).map_err(|_| NoAnswer::Gone)
    }

    fn running(&self) -> Result<&ActorRef<GroupMessage>, NoAnswer> {
        match self.disk.waits() {
            Some(_) => Err(NoAnswer::Disk),
            None => self.actor.get().ok_or(NoAnswer::Disk),
        }
    }
}
