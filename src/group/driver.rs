//! The actor that runs one replica: it feeds the core, stores what the core says, sends its
//! messages, applies committed commands and answers those who proposed them.
//!
//! Proposals that arrive while a write is under way are stored together by the next one: each
//! asks for a flush, which stands behind them in the mailbox.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde::{Deserialize, Serialize};
use tokio::time::MissedTickBehavior;

use super::core::{Core, Identity, Output, Refusal, Role};
use super::directory::Directory;
use super::disk::{self, DiskWatch};
use super::links::Links;
use super::log::Tail;
use super::message::{Entry, Envelope, MemberChange, Members, Payload, Snapshot};
use super::storage::{Batch, Storage};
use crate::blackboard::Blackboard;
use crate::clock;
use crate::ids::{BoxId, Index, Term};
use crate::peer::method::GroupStatus;
use crate::state::work::{WorkId, WorkView};
use crate::state::{Command, Machine, Reply};
use crate::units::UnixMillis;

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(30);

/// Log entries after which a snapshot takes their place.
const COMPACT_ENTRIES: usize = 6_144;

/// What stays of the log for replicas that are away for a moment.
const TAIL: Tail = Tail { entries: 2_048, bytes: 2 << 20 };

/// Bytes of payload after which a snapshot takes their place.
const COMPACT_BYTES: usize = 8 << 20;

/// Time between two looks for kept work that waits.
const LOOK_TIME: Duration = Duration::from_millis(500);

/// Time between two looks for what has grown old.
const EXPIRE_TIME: Duration = Duration::from_secs(10);

/// Why a proposal has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Unanswered {
    /// This replica does not lead; the one that does, where known. Nothing was proposed.
    #[error("this replica does not lead")]
    NotLeader(Option<BoxId>),
    /// Another leader's entry took its place. It will never be applied.
    #[error("another leader took over")]
    Replaced,
    /// The change of members does not fit. Nothing was proposed.
    #[error("{0}")]
    Members(String),
}

impl From<Refusal> for Unanswered {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotLeader(leader) => Self::NotLeader(leader),
            Refusal::Members(text) => Self::Members(text),
        }
    }
}

type Port<T> = RpcReplyPort<T>;

/// What the actor takes.
pub enum GroupMessage {
    /// Messages from other replicas.
    Step(Vec<Envelope>),
    /// A command to replicate.
    Propose(Box<Command>, Port<Result<Reply, Unanswered>>),
    /// A change of members to replicate.
    ChangeMembers(MemberChange, Port<Result<(), Unanswered>>),
    /// The first members of a new group.
    Form(Members, Port<Result<(), String>>),
    /// Has the leader told that this replica is about to stop.
    AnnounceStop,
    /// Asks for the replica's status.
    Status(Port<GroupStatus>),
    /// Asks for kept work, at the leader only.
    ReadWork(WorkId, Port<Result<Option<WorkView>, Unanswered>>),
    /// Asks for the term this replica leads in, if it certainly leads.
    LeadingTerm(Port<Option<Term>>),
    /// Lets time pass.
    Tick,
    /// Stores, sends and applies what has gathered.
    Flush,
    /// A snapshot up to this index has been encoded.
    Compacted(Index, String),
}

/// What the actor starts with.
pub struct DriverArguments {
    /// Who the replica is.
    pub identity: Identity,
    /// Its storage.
    pub storage: Storage,
    /// Its core, made from what the storage holds.
    pub core: Core,
    /// The latest snapshot's state machine.
    pub machine: Machine,
    /// The links to the others.
    pub links: Links,
    /// Where the others are; it learns the members.
    pub directory: Arc<Directory>,
    /// Where the configuration goes.
    pub board: Arc<Blackboard>,
    /// The start of the core's clock.
    pub epoch: Instant,
    /// Where it is noted whether the disk does what it is asked.
    pub disk: Arc<DiskWatch>,
}

/// The actor.
pub struct Driver;

/// The actor's state.
pub struct DriverState {
    identity: Identity,
    storage: Arc<Storage>,
    core: Core,
    machine: Machine,
    links: Links,
    directory: Arc<Directory>,
    board: Arc<Blackboard>,
    epoch: Instant,
    disk: Arc<DiskWatch>,
    waiting: BTreeMap<Index, Waiter>,
    flushing: bool,
    compacting: bool,
    expired: Instant,
    looked: Instant,
    noted: Members,
}

struct Waiter {
    term: Term,
    port: WaiterPort,
}

enum WaiterPort {
    Reply(Port<Result<Reply, Unanswered>>),
    Members(Port<Result<(), Unanswered>>),
}

impl WaiterPort {
    fn fail(self, reason: Unanswered) {
        match self {
            Self::Reply(port) => drop(port.send(Err(reason))),
            Self::Members(port) => drop(port.send(Err(reason))),
        }
    }
}

/// Decodes a snapshot's state machine.
///
/// # Errors
/// When the snapshot's data is not a state machine.
pub fn decode_machine(snapshot: &Snapshot) -> Result<Machine> {
    serde_json::from_str(&snapshot.data).wrap_err("decode the snapshot")
}

/// Milliseconds on the core's clock; never 0.
pub fn core_clock(epoch: Instant, at: Instant) -> u64 {
    at.saturating_duration_since(epoch).as_millis() as u64 + 1
}

impl Actor for Driver {
    type Msg = GroupMessage;
    type State = DriverState;
    type Arguments = DriverArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<GroupMessage>,
        arguments: DriverArguments,
    ) -> Result<DriverState, ActorProcessingErr> {
        let DriverArguments {
            identity,
            storage,
            core,
            machine,
            links,
            directory,
            board,
            epoch,
            disk,
        } = arguments;
        tokio::spawn(tick(myself, disk.clone(), board.clone()));
        Ok(DriverState {
            identity,
            storage: Arc::new(storage),
            core,
            machine,
            links,
            directory,
            board,
            epoch,
            disk,
            waiting: BTreeMap::new(),
            flushing: false,
            compacting: false,
            expired: Instant::now(),
            looked: Instant::now(),
            noted: Members::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<GroupMessage>,
        message: GroupMessage,
        state: &mut DriverState,
    ) -> Result<(), ActorProcessingErr> {
        // A leader that was suspended must not count on confirmations from before.
        let now = core_clock(state.epoch, clock::now());
        match message {
            GroupMessage::Step(envelopes) => {
                for envelope in envelopes {
                    state.core.step(now, envelope);
                }
            }
            GroupMessage::Propose(command, port) => state.propose(&command, port),
            GroupMessage::ChangeMembers(change, port) => state.change_members(&change, port),
            GroupMessage::Form(members, port) => {
                let _ = port.send(state.core.form(members));
            }
            GroupMessage::AnnounceStop => state.core.announce_stop(),
            GroupMessage::Status(port) => {
                let _ = port.send(state.status());
                return Ok(());
            }
            GroupMessage::ReadWork(id, port) => {
                state.core.observe(now);
                let _ = port.send(state.read_work(&id));
                return Ok(());
            }
            GroupMessage::LeadingTerm(port) => {
                state.core.observe(now);
                let _ = port.send(state.core.leads_whole().then(|| state.core.term()));
                return Ok(());
            }
            GroupMessage::Tick => {
                state.core.tick(now);
                state.expire();
                state.note_work();
            }
            GroupMessage::Compacted(index, data) => state.compacted(index, data).await?,
            GroupMessage::Flush => {
                state.flushing = false;
                state.flush(&myself).await?;
                return Ok(());
            }
        }
        if !state.flushing {
            state.flushing = true;
            myself.cast(GroupMessage::Flush)?;
        }
        Ok(())
    }
}

/// Has the actor look at the clock, but for the time in which it waits for its disk. A leader that does is not known to
/// lead meanwhile.
async fn tick(actor: ActorRef<GroupMessage>, disk: Arc<DiskWatch>, board: Arc<Blackboard>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if disk.check_stalled() {
            board.note_leading(None);
        }
        if disk.waits().is_none() && actor.cast(GroupMessage::Tick).is_err() {
            return;
        }
    }
}

impl DriverState {
    fn propose(&mut self, command: &Command, port: Port<Result<Reply, Unanswered>>) {
        let text = match serde_json::to_string(command) {
            Ok(text) => text,
            Err(_) => return,
        };
        match self.core.propose(UnixMillis::now().0, text) {
            Ok(place) => self.wait(place, WaiterPort::Reply(port)),
            Err(refusal) => {
                let _ = port.send(Err(refusal.into()));
            }
        }
    }

    fn change_members(&mut self, change: &MemberChange, port: Port<Result<(), Unanswered>>) {
        match self.core.change_members(UnixMillis::now().0, change) {
            Ok(place) => self.wait(place, WaiterPort::Members(port)),
            Err(refusal) => {
                let _ = port.send(Err(refusal.into()));
            }
        }
    }

    /// Remembers who proposed the entry; whoever waited for another one at this place has lost it.
    fn wait(&mut self, (index, term): (Index, Term), port: WaiterPort) {
        if let Some(lost) = self.waiting.insert(index, Waiter { term, port }) {
            lost.port.fail(Unanswered::Replaced);
        }
    }

    fn read_work(&self, id: &WorkId) -> Result<Option<WorkView>, Unanswered> {
        match self.core.may_read() {
            true => Ok(self.machine.work(id)),
            false => Err(Unanswered::NotLeader(self.leader_elsewhere())),
        }
    }

    fn leader_elsewhere(&self) -> Option<BoxId> {
        self.core.leader().filter(|leader| **leader != self.identity.box_id).cloned()
    }

    fn status(&self) -> GroupStatus {
        let role = match self.core.role() {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::PreCandidate | Role::Candidate => "candidate",
        };
        let progress = self.core.progress().iter();
        let stopping = progress.clone().filter(|(_, it)| it.stopping).map(|(id, _)| id);
        let own = self.core.is_stopping().then_some(&self.identity.box_id);
        GroupStatus {
            box_id: self.identity.box_id.clone(),
            life: self.identity.life,
            formed: self.core.is_formed(),
            role: role.to_owned(),
            leader: self.core.leader().cloned(),
            term: self.core.term(),
            last: self.core.log().last_index(),
            commit: self.core.commit(),
            members: self.core.members().clone(),
            matched: progress.clone().map(|(id, it)| (id.clone(), it.matched)).collect(),
            stopping: stopping.chain(own).cloned().collect(),
            silent: progress.map(|(id, it)| (id.clone(), self.core.silent_for(it))).collect(),
        }
    }

    /// Says on the blackboard whether kept work waits.
    fn note_work(&mut self) {
        if self.looked.elapsed() >= LOOK_TIME {
            self.looked = Instant::now();
            self.board.note_work(self.machine.has_claimable_work(UnixMillis::now().0));
        }
    }

    /// At the leader: drops what has grown old.
    fn expire(&mut self) {
        if self.expired.elapsed() < EXPIRE_TIME || *self.core.role() != Role::Leader {
            return;
        }
        self.expired = Instant::now();
        if !self.machine.has_expired(UnixMillis::now().0) {
            return;
        }
        if let Ok(text) = serde_json::to_string(&Command::Expire) {
            let _ = self.core.propose(UnixMillis::now().0, text);
        }
    }

    /// Stores, sends and applies until nothing is left to do.
    async fn flush(&mut self, myself: &ActorRef<GroupMessage>) -> Result<(), ActorProcessingErr> {
        let was_leader = *self.core.role() == Role::Leader;
        loop {
            let output = self.core.output();
            let idle = output.hard.is_none()
                && output.install.is_none()
                && output.append.is_empty()
                && output.early.is_empty()
                && output.late.is_empty()
                && output.apply.is_empty();
            if idle {
                break;
            }
            self.carry_out(output).await?;
        }
        self.record_fresh();
        self.board.note_leading(self.core.leads_whole().then(|| self.core.term()));
        self.note_members();
        if was_leader != (*self.core.role() == Role::Leader) {
            let role = self.status().role;
            tracing::info!(event = "group_role", role, term = %self.core.term());
        }
        self.start_compaction(myself);
        Ok(())
    }

    async fn carry_out(&mut self, output: Output) -> Result<(), ActorProcessingErr> {
        for envelope in output.early {
            self.links.send(envelope);
        }
        let last = output.append.last().map(|entry| entry.index);
        let reset = output.install.is_some();
        let install = output.install.clone();
        let batch =
            Batch { hard: output.hard, snapshot: output.install, reset, append: output.append };
        self.store(batch).await?;
        if let Some(last) = last {
            self.core.stored(last);
        }
        for envelope in output.late {
            self.links.send(envelope);
        }
        if let Some(snapshot) = install {
            self.machine = decode_machine(&snapshot).map_err(|error| error.to_string())?;
            self.publish();
        }
        self.apply(output.apply);
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        let mut replies = Vec::with_capacity(entries.len());
        for entry in entries {
            let reply = match &entry.payload {
                Payload::Command(text) => self.apply_command(entry.at, text),
                Payload::Noop | Payload::Members(_) => None,
            };
            replies.push((entry.index, entry.term, reply));
        }
        // Whoever hears an answer finds the blackboard no older.
        self.publish();
        for (index, term, reply) in replies {
            self.answer(index, term, reply);
        }
    }

    fn apply_command(&mut self, at: u64, text: &str) -> Option<Reply> {
        match serde_json::from_str::<Command>(text) {
            Ok(command) => Some(self.machine.apply(at, &command)),
            Err(error) => {
                // Every replica of this version passes over the same entry.
                tracing::error!(event = "command_unreadable", %error);
                None
            }
        }
    }

    fn answer(&mut self, index: Index, term: Term, reply: Option<Reply>) {
        let Some(waiter) = self.waiting.remove(&index) else {
            return;
        };
        if waiter.term != term {
            waiter.port.fail(Unanswered::Replaced);
            return;
        }
        match (waiter.port, reply) {
            (WaiterPort::Reply(port), Some(reply)) => drop(port.send(Ok(reply))),
            (WaiterPort::Members(port), _) => drop(port.send(Ok(()))),
            (WaiterPort::Reply(port), None) => drop(port),
        }
    }

    fn publish(&self) {
        self.board.put_in_force(self.machine.configuration().clone());
        self.board.put_document(self.machine.document().clone());
        self.board.put_rollouts(self.machine.rollouts().clone());
        self.board.put_quarantine(self.machine.quarantine().clone());
    }

    /// Has the members' addresses known and the links to others closed, when the members change.
    fn note_members(&mut self) {
        let members = self.core.members();
        if *members == self.noted {
            return;
        }
        self.noted = members.clone();
        self.directory.learn(members.voters.keys().chain(members.learners.keys()));
        let noted = &self.noted;
        self.links.keep(|box_id| noted.incarnation(box_id).is_some());
        let voters = self.noted.voters.len();
        let learners = self.noted.learners.len();
        self.board.note_voters(voters);
        tracing::info!(event = "group_members", voters, learners);
    }

    /// Says on the blackboard how fresh the state is, if all that is committed has been applied.
    fn record_fresh(&self) {
        if self.core.applied() < self.core.commit() {
            return;
        }
        if let Some(at) = self.core.fresh() {
            self.board.record_fresh(self.epoch + Duration::from_millis(at.saturating_sub(1)));
        }
    }

    /// Encodes a snapshot beside the actor when the log has grown long.
    fn start_compaction(&mut self, myself: &ActorRef<GroupMessage>) {
        let log = self.core.log();
        let long = log.len() > COMPACT_ENTRIES || log.bytes() > COMPACT_BYTES;
        let index = self.core.applied();
        if self.compacting || !long || index <= self.core.covered() {
            return;
        }
        self.compacting = true;
        let machine = self.machine.clone();
        let myself = myself.clone();
        tokio::task::spawn_blocking(move || {
            let data = serde_json::to_string(&machine).expect("the state machine always encodes");
            let _ = myself.cast(GroupMessage::Compacted(index, data));
        });
    }

    async fn compacted(&mut self, index: Index, data: String) -> Result<(), ActorProcessingErr> {
        self.compacting = false;
        let Some(snapshot) = self.core.compact(index, data, TAIL) else {
            return Ok(());
        };
        tracing::info!(event = "log_compacted", index = %index, bytes = snapshot.data.len());
        self.store(Batch { snapshot: Some(snapshot), ..Batch::default() }).await
    }

    /// Stores a batch. A leader that waits for its disk is not known to lead meanwhile.
    async fn store(&mut self, batch: Batch) -> Result<(), ActorProcessingErr> {
        disk::store(&self.storage, batch, &self.disk, || self.board.note_leading(None)).await?;
        // What was confirmed before a long wait does not count behind it.
        self.core.observe(core_clock(self.epoch, clock::now()));
        Ok(())
    }
}
