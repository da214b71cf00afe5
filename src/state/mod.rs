//! What the replicated log carries: configuration, the ledger of unrepeatable work, kept work.
//!
//! [`Machine`] is the deterministic state machine: the same entries in the same order give the same
//! state and the same replies on every replica. It reads no clock: each entry carries the leader's
//! time.

pub mod change_file;
pub mod config;
pub mod difference;
pub mod document;
pub mod ledger;
pub mod notes;
pub mod quarantine;
pub mod rollout;
pub mod usage;
pub mod work;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use config::{Change, ChangeReply, Configuration};
use document::{Document, PackedDocument, Version};
use ledger::{Begin, BeginReply, End, EndReply, Ledger};
use notes::{LowTeams, Models, Notes, OutageHistories};
use quarantine::{QuarantineChange, QuarantinedRequests};
use rollout::{OrderReply, Rollout, RolloutOrder, RolloutState, RolloutStep};
use usage::{Settle, UsageWindows};
use work::{Claim, ClaimReply, Finish, Keep, KeepReply, WorkId, WorkStore, WorkView};

use crate::ids::{Release, ServiceName};

/// One entry's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// An operator's change of the configuration.
    Change(Change),
    /// An attempt at unrepeatable work is about to be sent.
    Begin(Begin),
    /// What became of that attempt.
    End(End),
    /// Work that may wait is to be kept.
    Keep(Keep),
    /// A node asks for kept work to run.
    Claim(Claim),
    /// A node has run kept work.
    Finish(Finish),
    /// An operator publishes a document. Former releases wrote this.
    Publish(Arc<Document>),
    /// An operator publishes a document.
    PublishPacked(PackedDocument),
    /// Asks for the published document, in its place among all commands.
    ReadDocument,
    /// Fixes what a usage window's report says.
    Settle(Settle),
    /// Notes which teams' levels may be low from now on.
    NoteLow(LowTeams),
    /// Notes how many relays there are.
    NoteRelays(u32),
    /// Notes what is known of engines from now on.
    NoteEngines(Models),
    /// Notes what is known of dry spells from now on.
    #[serde(rename = "note_spells")]
    NoteOutages(OutageHistories),
    /// Holds requests that end their servers, or lets some through again.
    ChangeQuarantine(QuarantineChange),
    /// Asks for the notes, in its place among all commands.
    ReadNotes,
    /// An operator orders a roll-out.
    OrderRollout(RolloutOrder),
    /// A roll-out goes on, or back.
    StepRollout(RolloutStep),
    /// Notes which releases were running before anybody ordered any.
    NoteReleases(BTreeMap<ServiceName, Release>),
    /// Asks for the releases and roll-outs, in its place among all commands.
    ReadRollouts,
    /// Drop what is older than its age allows.
    Expire,
}

/// The answer to a [`Command`], the same on every replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Answers [`Command::Change`].
    Change(ChangeReply),
    /// Answers [`Command::Begin`].
    Begin(BeginReply),
    /// Answers [`Command::End`].
    End(EndReply),
    /// Answers [`Command::Keep`].
    Keep(KeepReply),
    /// Answers [`Command::Claim`].
    Claim(Box<ClaimReply>),
    /// Answers [`Command::Finish`]: whether the fence was still the owner's.
    Finish(bool),
    /// Answers [`Command::Publish`] and [`Command::PublishPacked`]: the version held after it.
    Publish(Version),
    /// Answers [`Command::ReadDocument`]: the version that is the newest. Its text a replica has itself.
    Document(Version),
    /// Answers [`Command::Settle`]: the counts that stand for the window.
    Settle(Settle),
    /// Answers [`Command::NoteLow`], [`Command::NoteRelays`], [`Command::NoteEngines`], [`Command::NoteOutages`] and
    /// [`Command::ReadNotes`].
    Notes(Notes),
    /// Answers [`Command::ChangeQuarantine`]: all that are held.
    Quarantine(Arc<QuarantinedRequests>),
    /// Answers [`Command::OrderRollout`].
    OrderRollout(Box<OrderReply>),
    /// Answers [`Command::StepRollout`]: the roll-out as it stands, where there is one.
    StepRollout(Option<Box<Rollout>>),
    /// Answers [`Command::NoteReleases`] and [`Command::ReadRollouts`].
    Rollouts(Arc<RolloutState>),
    /// Answers [`Command::Expire`]: how many entries went.
    Expire(usize),
}

/// The state machine. Serializes whole as a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    configuration: Arc<Configuration>,
    ledger: Ledger,
    work: WorkStore,
    #[serde(default)]
    document: Arc<Document>,
    #[serde(default)]
    usage: UsageWindows,
    #[serde(default)]
    notes: Notes,
    #[serde(default)]
    rollouts: Arc<RolloutState>,
    #[serde(default)]
    quarantine: Arc<QuarantinedRequests>,
}

impl Machine {
    /// Applies one command; `at` is the leader's time in milliseconds since the Unix epoch.
    pub fn apply(&mut self, at: u64, command: &Command) -> Reply {
        match command {
            Command::Change(change) => {
                let configuration = Arc::make_mut(&mut self.configuration);
                Reply::Change(configuration.apply(change))
            }
            Command::Begin(begin) => Reply::Begin(self.ledger.begin(at, begin)),
            Command::End(end) => Reply::End(self.ledger.end(at, end)),
            Command::Keep(keep) => Reply::Keep(self.work.keep(at, keep)),
            Command::Claim(claim) => Reply::Claim(Box::new(self.work.claim(at, claim))),
            Command::Finish(finish) => Reply::Finish(self.work.finish(at, finish)),
            Command::Publish(document) => Reply::Publish(self.publish(document)),
            Command::PublishPacked(packed) => Reply::Publish(match packed.unpack() {
                Ok(document) => self.publish(&Arc::new(document)),
                // The log is checked by sums, so it was written so, and is so on every replica.
                Err(_) => self.document.version,
            }),
            Command::ReadDocument => Reply::Document(self.document.version),
            Command::Settle(settle) => Reply::Settle(self.usage.settle(settle)),
            Command::NoteLow(teams) => {
                self.notes.low_teams = teams.clone();
                Reply::Notes(self.notes.clone())
            }
            Command::NoteRelays(relays) => {
                self.notes.relays = *relays;
                Reply::Notes(self.notes.clone())
            }
            Command::NoteEngines(models) => {
                self.notes.engines = models.clone();
                Reply::Notes(self.notes.clone())
            }
            Command::NoteOutages(outages) => {
                self.notes.outages = outages.clone();
                Reply::Notes(self.notes.clone())
            }
            Command::ChangeQuarantine(change) => {
                change.apply(Arc::make_mut(&mut self.quarantine));
                Reply::Quarantine(self.quarantine.clone())
            }
            Command::ReadNotes => Reply::Notes(self.notes.clone()),
            Command::OrderRollout(order) => {
                Reply::OrderRollout(Box::new(Arc::make_mut(&mut self.rollouts).order(at, order)))
            }
            Command::StepRollout(step) => {
                Reply::StepRollout(Arc::make_mut(&mut self.rollouts).step(step).map(Box::new))
            }
            Command::NoteReleases(running) => {
                Arc::make_mut(&mut self.rollouts).note_running(running);
                Reply::Rollouts(self.rollouts.clone())
            }
            Command::ReadRollouts => Reply::Rollouts(self.rollouts.clone()),
            Command::Expire => Reply::Expire(self.expire(at)),
        }
    }

    /// Takes a document of a higher version than the held one; any other changes nothing.
    fn publish(&mut self, document: &Arc<Document>) -> Version {
        if document.version > self.document.version {
            self.document = document.clone();
        }
        self.document.version
    }

    /// The published document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The releases in force, and the roll-outs.
    pub fn rollouts(&self) -> &Arc<RolloutState> {
        &self.rollouts
    }

    /// The requests that are kept from all servers.
    pub fn quarantine(&self) -> &Arc<QuarantinedRequests> {
        &self.quarantine
    }

    fn expire(&mut self, at: u64) -> usize {
        let limits = &self.configuration.limits;
        let ledger = self.ledger.expire(at, limits.ledger_age);
        let work = self.work.expire(at, limits.work_age);
        ledger + work
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What is known of one piece of kept work.
    pub fn work(&self, id: &WorkId) -> Option<WorkView> {
        self.work.view(id)
    }

    /// Whether anything is old enough for [`Command::Expire`] to drop.
    pub fn has_expired(&self, at: u64) -> bool {
        let limits = &self.configuration.limits;
        self.ledger.has_expired(at, limits.ledger_age) || self.work.has_expired(at, limits.work_age)
    }

    /// Whether kept work waits to be claimed at this time.
    pub fn has_claimable_work(&self, at: u64) -> bool {
        self.work.has_claimable_work(at)
    }
}
