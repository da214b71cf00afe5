//! A node's replica: opens its storage and starts its actor; asks it whether it leads.

use std::path::PathBuf;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use ractor::{Actor, ActorRef};
use tokio::task::JoinHandle;

use super::{ACTOR_TIME, Node};
use crate::blackboard::Blackboard;
use crate::clock;
use crate::decide::share::Lessor;
use crate::group::core::{Core, Identity, Stored};
use crate::group::directory::Directory;
use crate::group::disk::{DiskWatch, Interruptions, RETRY_PAUSE};
use crate::group::driver::{Driver, DriverArguments, GroupMessage, core_clock, decode_machine};
use crate::group::links::Links;
use crate::group::replica::Replica;
use crate::group::storage::{Storage, StorageError};
use crate::ids::{BoxId, Incarnation, Term};
use crate::obstacle::{Obstacle, Remedy};
use crate::peer::Peers;
use crate::settings::Settings;
use crate::state::{Command, Machine, Reply};
use crate::sync::lock;

/// The group that carries configuration, ledger and kept work today.
const GROUP: u32 = 0;

/// How long a node waits for its storage before it goes on without: it listens, and its replica stands
/// still until the disk lets the storage be opened.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Time between two looks at whether the disk stands still while the storage is opened.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// What a replica is started with.
pub(super) struct ReplicaContext {
    pub(super) settings: Settings,
    pub(super) board: Arc<Blackboard>,
    pub(super) peers: Peers,
    pub(super) directory: Arc<Directory>,
}

/// A replica that is being opened, and what ends it.
pub(super) struct OpeningReplica {
    pub(super) replica: Replica,
    /// Ends with the replica: only an operator can mend its storage, or its actor has ended.
    end: JoinHandle<eyre::Report>,
}

impl OpeningReplica {
    /// Begins to open the storage.
    pub(super) fn begin(context: ReplicaContext) -> Self {
        let replica = Replica::default();
        let end = tokio::spawn(run(context, replica.clone()));
        Self { replica, end }
    }

    /// Waits until the replica runs, but not for long.
    ///
    /// # Errors
    /// When only an operator can mend the storage.
    pub(super) async fn wait(&mut self) -> Result<()> {
        tokio::select! {
            () = self.replica.opened() => Ok(()),
            () = tokio::time::sleep(OPEN_TIME) => Ok(()),
            end = &mut self.end => Err(end.unwrap_or_else(Into::into)),
        }
    }

    /// Has the node fail when the replica ends.
    pub(super) fn watch(self, node: &Arc<Node>) {
        let node = node.clone();
        tokio::spawn(async move { node.fail(self.end.await.unwrap_or_else(Into::into)) });
    }
}

/// Runs the replica for as long as there is one. Returns why there is none any more.
async fn run(context: ReplicaContext, replica: Replica) -> eyre::Report {
    let opened = match open_storage(&context.settings, replica.disk()).await {
        Ok(opened) => opened,
        Err(error) => return error.into(),
    };
    match spawn_actor(context, opened, replica.disk().clone()).await {
        Ok((actor, end)) => {
            replica.open(actor);
            let _ = end.await;
            eyre!("{}: the replica", Obstacle::ActorEnded)
        }
        Err(error) => error,
    }
}

type Opened = (Storage, Stored, Incarnation);

/// Opens the storage as soon as the disk lets it be opened.
async fn open_storage(settings: &Settings, disk: &DiskWatch) -> Result<Opened, StorageError> {
    let own = settings.node.box_id.clone();
    let folder = settings.node.data_folder.clone().unwrap_or_default();
    let mut interruptions = Interruptions::default();
    disk.begin();
    loop {
        let error = match watched(disk, open_once(folder.clone(), own.clone())).await {
            Ok(opened) => {
                disk.end();
                return Ok(opened);
            }
            Err(error) => interruptions.judge(error),
        };
        if error.obstacle().remedy() == Remedy::End {
            return Err(error);
        }
        disk.refuse(&error);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn open_once(folder: PathBuf, own: BoxId) -> Result<Opened, StorageError> {
    let path = Storage::path(&folder, GROUP);
    let opening = tokio::task::spawn_blocking(move || Storage::open(&folder, GROUP, &own));
    opening.await.unwrap_or(Err(StorageError::Interrupted { path }))
}

/// Waits for something of the disk, and has it told of that it takes long.
async fn watched<T>(disk: &DiskWatch, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    loop {
        match tokio::time::timeout(WATCH_INTERVAL, work.as_mut()).await {
            Ok(result) => return result,
            Err(_) => drop(disk.check_stalled()),
        }
    }
}

async fn spawn_actor(
    context: ReplicaContext,
    (storage, stored, life): Opened,
    disk: Arc<DiskWatch>,
) -> Result<(ActorRef<GroupMessage>, JoinHandle<()>)> {
    let ReplicaContext { settings, board, peers, directory } = context;
    let machine = match &stored.snapshot {
        Some(snapshot) => decode_machine(snapshot)?,
        None => Machine::default(),
    };
    let identity = Identity { group: GROUP, box_id: settings.node.box_id.clone(), life };
    let epoch = clock::now();
    let now = core_clock(epoch, epoch);
    let core = Core::new(identity.clone(), stored, now, rand::random());
    tracing::info!(event = "replica_opened", life = %life, last = %core.log().last_index());
    let links = Links::new(peers, directory.clone());
    let arguments =
        DriverArguments { identity, storage, core, machine, links, directory, board, epoch, disk };
    let spawned = Actor::spawn(Some("group".to_owned()), Driver, arguments).await;
    spawned.wrap_err("start the replica")
}

impl Node {
    /// The term this process's replica leads in, if it certainly leads.
    pub(crate) async fn leading_term(&self) -> Option<Term> {
        let replica = self.access.local()?;
        replica.ask(GroupMessage::LeadingTerm, ACTOR_TIME).await.ok()?
    }

    /// Proposes a command at this process's own replica, which leads. A way over the network would first
    /// try the leader that was known before: one that is cut off does not answer, which held the notes
    /// of a new leader up for 2.5 s.
    pub(crate) async fn propose_here(&self, command: Command, limit: Duration) -> Option<Reply> {
        let replica = self.access.local()?;
        let propose = |port| GroupMessage::Propose(Box::new(command), port);
        replica.ask(propose, limit).await.ok()?.ok()
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
