//! A node's replica: opens its storage and starts its actor; asks it whether it leads.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use ractor::rpc::CallResult;
use ractor::{Actor, ActorRef};

use super::{ACTOR_TIME, Node};
use crate::blackboard::Blackboard;
use crate::clock;
use crate::decide::share::Lessor;
use crate::group::core::{Core, Identity};
use crate::group::directory::Directory;
use crate::group::driver::{Driver, DriverArguments, GroupMessage, core_clock, decode_machine};
use crate::group::links::Links;
use crate::group::storage::Storage;
use crate::ids::Term;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::state::{Command, Machine, Reply};
use crate::sync::lock;

/// The group that carries configuration, ledger and kept work today.
const GROUP: u32 = 0;

/// Opens the storage and starts the replica.
pub(super) async fn start_replica(
    settings: &Settings,
    board: &Arc<Blackboard>,
    peers: &Peers,
    directory: &Arc<Directory>,
) -> Result<ActorRef<GroupMessage>> {
    let own = settings.node.box_id.clone();
    let folder = settings.node.data_folder.clone().unwrap_or_default();
    let (storage, stored, life) = Storage::open(&folder, GROUP, &own)?;
    let machine = match &stored.snapshot {
        Some(snapshot) => decode_machine(snapshot)?,
        None => Machine::default(),
    };
    let identity = Identity { group: GROUP, box_id: own.clone(), life };
    let epoch = clock::now();
    let now = core_clock(epoch, epoch);
    let core = Core::new(identity.clone(), stored, now, rand::random());
    tracing::info!(event = "replica_opened", life = %life, last = %core.log().last_index());
    let links = Links::new(peers.clone(), directory.clone());
    let board = board.clone();
    let directory = directory.clone();
    let arguments =
        DriverArguments { identity, storage, core, machine, links, directory, board, epoch };
    let (actor, _) = Actor::spawn(Some("group".to_owned()), Driver, arguments)
        .await
        .wrap_err("start the replica")?;
    Ok(actor)
}

impl Node {
    /// The term this process's replica leads in, if it certainly leads.
    pub(crate) async fn leading_term(&self) -> Option<Term> {
        let replica = self.access.local()?;
        match replica.call(GroupMessage::LeadingTerm, Some(ACTOR_TIME)).await {
            Ok(CallResult::Success(term)) => term,
            _ => None,
        }
    }

    /// Proposes a command at this process's own replica, which leads. A way over the network would first
    /// try the leader that was known before: one that is cut off does not answer, which held the notes
    /// of a new leader up for 2.5 s.
    pub(crate) async fn propose_here(&self, command: Command, limit: Duration) -> Option<Reply> {
        let replica = self.access.local()?;
        let propose = |port| GroupMessage::Propose(Box::new(command), port);
        match replica.call(propose, Some(limit)).await {
            Ok(CallResult::Success(Ok(reply))) => Some(reply),
            _ => None,
        }
    }

    /// Runs `lease` with the lessor of the term; a new term begins with a new one.
    pub(crate) fn with_lessor(&self, term: Term, lease: impl FnOnce(u64, &mut Lessor)) {
        let now = self.started.elapsed().as_millis() as u64;
        let mut held = lock(&self.lessor);
        if held.as_ref().is_none_or(|(since, _)| *since != term) {
            *held = Some((term, Lessor::new(now)));
        }
        if let Some((_, lessor)) = held.as_mut() {
            lease(now, lessor);
        }
    }
}
