//! The replicated state: configuration, the ledger of unrepeatable requests, kept work, the published
//! document, reported usage, roll-outs, quarantined requests and the leader's notes.
//!
//! [`Machine`] is the deterministic state machine: the same log entries in the same order give the same
//! state and the same replies on every replica. It reads no clock; each entry carries the leader's time.

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
use quarantine::{QuarantineChange, QuarantinedSuspects};
use rollout::{OrderReply, Rollout, RolloutOrder, RolloutState, RolloutStep, ServingReleases};
use usage::{Settle, UsageWindows};
use work::{Claim, ClaimReply, Finish, Keep, KeepReply, WorkId, WorkStore, WorkView};

use crate::ids::{Release, ServiceName};

/// A command in a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the configuration for an operator.
    Change(Change),
    /// Records an attempt at an unrepeatable request before it is sent.
    Begin(Begin),
    /// Records the outcome of such an attempt.
    End(End),
    /// Stores a request to be run asynchronously.
    Keep(Keep),
    /// Renews a node's leases on kept work and requests a new item.
    Claim(Claim),
    /// Records the answer to kept work that a node has run.
    Finish(Finish),
    /// Publishes a document for an operator. Written by earlier releases only, and still read from
    /// their logs.
    Publish(Arc<Document>),
    /// Publishes a compressed document for an operator.
    PublishPacked(PackedDocument),
    /// Reads the version of the published document, linearizably.
    ReadDocument,
    /// Fixes the counts reported for a usage window.
    Settle(Settle),
    /// Replaces the noted teams whose level may be below their reserve.
    NoteLow(LowTeams),
    /// Replaces the noted number of relays.
    NoteRelays(u32),
    /// Replaces the noted engine models.
    NoteEngines(Models),
    /// Replaces the noted spot outages.
    #[serde(rename = "note_spells")]
    NoteOutages(OutageHistories),
    /// Quarantines requests and prompt segments that crash their servers, or releases some.
    ChangeQuarantine(QuarantineChange),
    /// Reads the notes, linearizably.
    ReadNotes,
    /// Orders a roll-out for an operator.
    OrderRollout(RolloutOrder),
    /// Advances a roll-out or rolls it back.
    StepRollout(RolloutStep),
    /// Records the releases that were running before any order.
    NoteReleases(BTreeMap<ServiceName, Release>),
    /// Records the releases that serve without an order.
    NoteServing(BTreeMap<ServiceName, ServingReleases>),
    /// Reads the releases and roll-outs, linearizably.
    ReadRollouts,
    /// Removes ledger entries and finished work that have exceeded their maximum age.
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
    /// Answers [`Command::Finish`]: whether the fencing token was still the latest.
    Finish(bool),
    /// Answers [`Command::Publish`] and [`Command::PublishPacked`]: the version stored after it.
    Publish(Version),
    /// Answers [`Command::ReadDocument`]: the newest version. Each replica has the text itself.
    Document(Version),
    /// Answers [`Command::Settle`]: the fixed counts of the window.
    Settle(Settle),
    /// Answers [`Command::NoteLow`], [`Command::NoteRelays`], [`Command::NoteEngines`],
    /// [`Command::NoteOutages`] and [`Command::ReadNotes`].
    Notes(Notes),
    /// Answers [`Command::ChangeQuarantine`]: everything that is quarantined.
    Quarantine(Arc<QuarantinedSuspects>),
    /// Answers [`Command::OrderRollout`].
    OrderRollout(Box<OrderReply>),
    /// Answers [`Command::StepRollout`]: the resulting roll-out, if the service has one.
    StepRollout(Option<Box<Rollout>>),
    /// Answers [`Command::NoteReleases`], [`Command::NoteServing`] and [`Command::ReadRollouts`].
    Rollouts(Arc<RolloutState>),
    /// Answers [`Command::Expire`]: how many entries were removed.
    Expire(usize),
}

/// The state machine. Its serialized form is the snapshot.
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
    quarantine: Arc<QuarantinedSuspects>,
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
                // Checksums protect the log, so the entry was written damaged and is so on every
                // replica: ignoring it keeps replicas equal.
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
            Command::NoteServing(services) => {
                Arc::make_mut(&mut self.rollouts).note_serving(services);
                Reply::Rollouts(self.rollouts.clone())
            }
            Command::ReadRollouts => Reply::Rollouts(self.rollouts.clone()),
            Command::Expire => Reply::Expire(self.expire(at)),
        }
    }

    /// Stores a document if its version is higher than the stored one, and returns the stored version.
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

    /// The quarantined requests and prompt segments, which are sent to no backend server.
    pub fn quarantine(&self) -> &Arc<QuarantinedSuspects> {
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

    /// The ledger of unrepeatable requests.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the caller's view of a kept work item.
    pub fn work(&self, id: &WorkId) -> Option<WorkView> {
        self.work.view(id)
    }

    /// Whether [`Command::Expire`] would remove anything.
    pub fn has_expired(&self, at: u64) -> bool {
        let limits = &self.configuration.limits;
        self.ledger.has_expired(at, limits.ledger_age) || self.work.has_expired(at, limits.work_age)
    }

    /// Whether kept work can be claimed at time `at`.
    pub fn has_claimable_work(&self, at: u64) -> bool {
        self.work.has_claimable_work(at)
    }
}
