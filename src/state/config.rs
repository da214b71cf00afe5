//! The configuration that operators write: services, teams, backend servers, policies and limits.
//!
//! A change carries the operator's change ID and the revision it was made against (optimistic
//! concurrency). Of two changes made against the same revision one is accepted; the other gets a
//! conflict that names the accepted one. A change sent again under the same ID gets its first answer.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{BackendId, ChangeId, DataCentre, PolicyName, Revision, ServiceName, TeamName};
use crate::units::{Millis, Price, Tokens};

/// The maximum number of accepted changes kept: to answer followers with the changes since their
/// revision, to recognize IDs sent again, and for operators to read.
pub const HISTORY_LIMIT: usize = 4_096;

/// The SHA-256 digest of a team's bearer key, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(String);

impl KeyDigest {
    /// Hashes a key as the caller sends it.
    pub fn of(key: &str) -> Self {
        Self(hex_digest(key.as_bytes()))
    }
}

/// Returns the SHA-256 digest of `bytes`, in hexadecimal.
pub(crate) fn hex_digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The urgency of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits for the first token.
    #[default]
    Interactive,
    /// May be answered late, but must not be lost.
    Batch,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        })
    }
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "batch" => Ok(Self::Batch),
            _ => Err(format!("a class is interactive or batch, not {text:?}")),
        }
    }
}

/// A team's credentials, latency targets and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The digest of the bearer key that authenticates the team's requests.
    pub key: KeyDigest,
    /// The class of requests that specify none.
    pub class: Class,
    /// The target for the time to the first token, 95th percentile.
    pub first_token: Millis,
    /// The target for the time between two tokens, 95th percentile.
    pub between: Millis,
    /// The maximum number of requests in flight on all boxes together.
    pub concurrent: u32,
    /// The maximum number of tokens in flight on all boxes together.
    pub budget: Tokens,
    /// The team's share of capacity relative to other teams with queued requests; at least 1.
    pub weight: u32,
}

/// The kind of backend servers that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines; the service has the name of the model.
    Engine,
    /// Plain HTTP servers.
    Plain,
}

impl FromStr for ServiceKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err(format!("a kind is engine or plain, not {text:?}")),
        }
    }
}

/// A service and how its requests are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The kind of its backend servers.
    pub kind: ServiceKind,
    /// Whether its requests may run more than once, so that they can be retried.
    pub repeatable: bool,
    /// The longest time that a backend server may send nothing.
    pub silence: Millis,
    /// The policy program that makes its decisions, if any.
    pub policy: Option<PolicyName>,
}

/// A backend server: its address, capacity and price.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service it serves.
    pub service: ServiceName,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The zone it runs in.
    pub data_centre: DataCentre,
    /// How many requests it can process concurrently without slowing down.
    pub slots: u32,
    /// The price of its box per hour.
    pub price: Price,
    /// Whether the provider may reclaim its box (spot capacity).
    pub reclaimable: bool,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
}

/// Limits for the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The number of entry boxes among which the evenly split half of each team's limits is divided.
    /// Must not be less than the number that run.
    pub entry_boxes: u32,
    /// The maximum of retries and hedges as a share of requests, in percent.
    pub retry_percent: u32,
    /// How long the ledger keeps unrepeatable requests.
    pub ledger_age: Millis,
    /// How long kept work and its result are stored once it is finished.
    pub work_age: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        let day = Millis(24 * 3_600_000);
        Self { entry_boxes: 9, retry_percent: 10, ledger_age: day, work_age: day }
    }
}

/// One edit of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Creates or replaces a team.
    PutTeam(TeamName, Team),
    /// Removes a team.
    RemoveTeam(TeamName),
    /// Creates or replaces a service.
    PutService(ServiceName, Service),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Creates or replaces a backend server.
    PutBackend(BackendId, BackendServer),
    /// Removes a backend server.
    RemoveBackend(BackendId),
    /// Creates or replaces a policy's program.
    PutPolicy(PolicyName, String),
    /// Removes a policy.
    RemovePolicy(PolicyName),
    /// Replaces the limits.
    PutLimits(Limits),
}

/// An operator's change. Its edits are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The ID the operator gave it; sent again, it gets the first answer.
    pub id: ChangeId,
    /// The revision it was made against; `None` applies it to whichever revision is in force.
    pub expect: Option<Revision>,
    /// Its edits, in the order they are applied.
    pub edits: Vec<Edit>,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReply {
    /// The change was accepted and produced this revision.
    Accepted(Revision),
    /// The expected revision is not the one in force.
    Conflict {
        /// The revision in force.
        current: Revision,
        /// The change that produced the revision after the expected one, if it is still in the history.
        winner: Option<ChangeId>,
    },
    /// The change would make the configuration inconsistent; says how.
    Invalid(String),
}

/// An accepted change and the revision it produced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision produced.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision; 0 before the first change.
    pub revision: Revision,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Backend servers by ID.
    pub backends: BTreeMap<BackendId, BackendServer>,
    /// The programs of policies by name.
    pub policies: BTreeMap<PolicyName, String>,
    /// Limits for the whole system.
    pub limits: Limits,
    /// The latest accepted changes, oldest first.
    pub history: VecDeque<Arc<Accepted>>,
}

impl Configuration {
    /// Applies a change atomically: on a conflict or an inconsistency nothing is changed.
    pub fn apply(&mut self, change: &Change) -> ChangeReply {
        if let Some(first) = self.history.iter().find(|accepted| accepted.change.id == change.id) {
            return ChangeReply::Accepted(first.revision);
        }
        if let Some(expect) = change.expect.filter(|expect| *expect != self.revision) {
            let winner = self.change_id_at(expect.next());
            return ChangeReply::Conflict { current: self.revision, winner };
        }
        let mut next = self.without_history();
        for edit in &change.edits {
            next.apply_edit(edit.clone());
        }
        if let Err(fault) = next.check() {
            return ChangeReply::Invalid(fault);
        }
        let history = std::mem::take(&mut self.history);
        *self = Self { revision: self.revision.next(), history, ..next };
        self.push_history(change);
        ChangeReply::Accepted(self.revision)
    }

    /// Returns the changes after `from`, or `None` if some are no longer in the history or `from` is
    /// newer than the revision in force.
    pub fn changes_after(&self, from: Revision) -> Option<Vec<Arc<Accepted>>> {
        let missing = self.revision.0.checked_sub(from.0)?;
        let held = self.history.len() as u64;
        if missing > held {
            return None;
        }
        Some(self.history.iter().skip((held - missing) as usize).cloned().collect())
    }

    /// Returns the ID of the change that produced `revision`, if it is still in the history.
    pub fn change_id_at(&self, revision: Revision) -> Option<ChangeId> {
        let found = self.history.iter().find(|accepted| accepted.revision == revision)?;
        Some(found.change.id.clone())
    }

    /// Returns the team that a key belongs to.
    pub fn team_of(&self, digest: &KeyDigest) -> Option<(&TeamName, &Team)> {
        self.teams.iter().find(|(_, team)| team.key == *digest)
    }

    /// Returns the backend servers of a service.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendServer)> {
        self.backends.iter().filter(move |(_, backend)| backend.service == *service)
    }

    /// Checks that the configuration is consistent.
    ///
    /// # Errors
    /// Describes the first inconsistency found.
    pub fn check(&self) -> Result<(), String> {
        for (id, backend) in &self.backends {
            if !self.services.contains_key(&backend.service) {
                return Err(format!("backend_server {id}: no service {}", backend.service));
            }
            if backend.slots == 0 {
                return Err(format!("backend_server {id}: slots is at least 1"));
            }
        }
        for (name, service) in &self.services {
            let missing = service.policy.as_ref().filter(|it| !self.policies.contains_key(*it));
            if let Some(policy) = missing {
                return Err(format!("service {name}: no policy {policy}"));
            }
        }
        if self.limits.entry_boxes == 0 {
            return Err("limits: entry_boxes is at least 1".to_owned());
        }
        self.check_teams()
    }

    fn check_teams(&self) -> Result<(), String> {
        let mut owners = BTreeMap::new();
        for (name, team) in &self.teams {
            if team.weight == 0 {
                return Err(format!("team {name}: weight is at least 1"));
            }
            if let Some(other) = owners.insert(&team.key, name) {
                return Err(format!("team {name}: has the same key as team {other}"));
            }
        }
        Ok(())
    }

    /// Returns a copy with an empty history, which is long and would be copied on every change.
    fn without_history(&self) -> Self {
        Self {
            revision: self.revision,
            teams: self.teams.clone(),
            services: self.services.clone(),
            backends: self.backends.clone(),
            policies: self.policies.clone(),
            limits: self.limits.clone(),
            history: VecDeque::new(),
        }
    }

    fn apply_edit(&mut self, edit: Edit) {
        match edit {
            Edit::PutTeam(name, team) => drop(self.teams.insert(name, team)),
            Edit::RemoveTeam(name) => drop(self.teams.remove(&name)),
            Edit::PutService(name, service) => drop(self.services.insert(name, service)),
            Edit::RemoveService(name) => drop(self.services.remove(&name)),
            Edit::PutBackend(id, backend) => drop(self.backends.insert(id, backend)),
            Edit::RemoveBackend(id) => drop(self.backends.remove(&id)),
            Edit::PutPolicy(name, program) => drop(self.policies.insert(name, program)),
            Edit::RemovePolicy(name) => drop(self.policies.remove(&name)),
            Edit::PutLimits(limits) => self.limits = limits,
        }
    }

    fn push_history(&mut self, change: &Change) {
        let accepted = Accepted { revision: self.revision, change: change.clone() };
        self.history.push_back(Arc::new(accepted));
        while self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }
}
