//! The handle that a process has on its replica.

use std::time::Duration;

use emberturn::group::driver::GroupMessage;
use emberturn::group::replica::{NoAnswer, Replica};
use emberturn::group::storage::StorageError;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(20);

/// Stands in for the replica's actor, and tells of each message that it gets.
struct Counter;

impl Actor for Counter {
    type Msg = GroupMessage;
    type State = mpsc::UnboundedSender<()>;
    type Arguments = mpsc::UnboundedSender<()>;

    async fn pre_start(
        &self,
        _: ActorRef<GroupMessage>,
        sender: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(sender)
    }

    async fn handle(
        &self,
        _: ActorRef<GroupMessage>,
        message: GroupMessage,
        sender: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if let GroupMessage::LeadingTerm(port) = message {
            port.send(None)?;
        }
        Ok(sender.send(())?)
    }
}

/// Guards against memory that fills with what nobody takes out.
#[tokio::test]
async fn nothing_is_queued_for_a_replica_that_waits_for_its_disk() {
    let replica = Replica::default();
    assert_eq!(replica.tell(GroupMessage::Step(Vec::new())), Err(NoAnswer::Disk));
    let (sender, mut messages) = mpsc::unbounded_channel();
    let (actor, _) = Actor::spawn(None, Counter, sender).await.unwrap();
    replica.open(actor);
    replica.disk().begin();
    assert!(replica.disk().refuse(&StorageError::Interrupted { path: "group-0.redb".into() }));
    for _ in 0..100 {
        assert_eq!(replica.tell(GroupMessage::Step(Vec::new())), Err(NoAnswer::Disk));
        let asked = replica.ask(GroupMessage::LeadingTerm, PATIENCE).await;
        assert_eq!(asked, Err(NoAnswer::Disk));
    }
    replica.disk().end();
    assert_eq!(replica.ask(GroupMessage::LeadingTerm, PATIENCE).await, Ok(None));
    assert_eq!(messages.recv().await, Some(()));
    assert!(messages.is_empty(), "messages of before were queued");
}
