//! The configuration operators write: services, teams, backend servers, policies and limits.
//!
//! A change carries the operator's change id and the revision it was made against. Of two changes
//! made against the same revision one wins; the other is told the winner. A resent id gets its
//! first answer again.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{BackendId, ChangeId, DataCentre, PolicyName, Revision, ServiceName, TeamName};
use crate::units::{Millis, Price, Tokens};

/// Accepted changes kept for deltas, resent ids and the history, at most.
pub const HISTORY_LIMIT: usize = 4_096;

/// The SHA-256 digest of a team's bearer key, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(String);

impl KeyDigest {
    /// The digest of a key as the caller sends it.
    pub fn of(key: &str) -> Self {
        Self(hex_digest(key.as_bytes()))
    }
}

/// The SHA-256 digest of some bytes, in hexadecimal.
pub(crate) fn hex_digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// How urgent a team's requests are when they do not say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the first token.
    #[default]
    Interactive,
    /// May be slow, may not be lost.
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

/// A team and what it is owed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Who may speak for the team.
    pub key: KeyDigest,
    /// The class of requests that name none.
    pub class: Class,
    /// Target for the first token, 95th percentile.
    pub first_token: Millis,
    /// Target between tokens, 95th percentile.
    pub between: Millis,
    /// Requests in flight over the whole fleet.
    pub concurrent: u32,
    /// Tokens in flight over the whole fleet.
    pub budget: Tokens,
    /// Share of waiting capacity relative to other teams; at least 1.
    pub weight: u32,
}

/// What a service's backend servers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines; the service's name is the model's.
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

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// What serves it.
    pub kind: ServiceKind,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// How long a backend server may be silent.
    pub silence: Millis,
    /// The policy that decides for it.
    pub policy: Option<PolicyName>,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Requests it runs well at the same time.
    pub slots: u32,
    /// What its box costs an hour.
    pub price: Price,
    /// Whether its box may be taken back.
    pub reclaimable: bool,
    /// Whether it checks the fence of orders.
    pub fenced: bool,
}

/// Limits for the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Entry boxes among which the even half of each team's limits is split: no fewer than run.
    pub entry_boxes: u32,
    /// Retries and hedges as a share of requests, in percent.
    pub retry_percent: u32,
    /// How long the ledger remembers unrepeatable requests.
    pub ledger_age: Millis,
    /// How long kept work and its result stay.
    pub work_age: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        let day = Millis(24 * 3_600_000);
        Self { entry_boxes: 9, retry_percent: 10, ledger_age: day, work_age: day }
    }
}

/// One step of a change.
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

/// An operator's change: all of its edits or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The operator's id for it.
    pub id: ChangeId,
    /// The revision it was made against; absent: whichever is in force.
    pub expect: Option<Revision>,
    /// Its steps, in order.
    pub edits: Vec<Edit>,
}

/// The answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReply {
    /// The change made this revision.
    Accepted(Revision),
    /// Another change came first; the revision it made, and its id.
    Conflict {
        /// The revision in force.
        current: Revision,
        /// The change that made the revision after the expected one, where still known.
        winner: Option<ChangeId>,
    },
    /// The change would leave the configuration inconsistent.
    Invalid(String),
}

/// One accepted change and the revision it made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision made.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its revision; 0 before the first change.
    pub revision: Revision,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Backend servers by id.
    pub backends: BTreeMap<BackendId, BackendServer>,
    /// Policies' programs by name.
    pub policies: BTreeMap<PolicyName, String>,
    /// Limits.
    pub limits: Limits,
    /// The latest accepted changes, oldest first.
    pub history: VecDeque<Arc<Accepted>>,
}

impl Configuration {
    /// Applies a change whole, or not at all.
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

    /// The changes after `from`, or `None` where some are no longer held.
    pub fn changes_after(&self, from: Revision) -> Option<Vec<Arc<Accepted>>> {
        let missing = self.revision.0.checked_sub(from.0)?;
        let held = self.history.len() as u64;
        if missing > held {
            return None;
        }
        Some(self.history.iter().skip((held - missing) as usize).cloned().collect())
    }

    /// The change that made `revision`, where still held.
    pub fn change_id_at(&self, revision: Revision) -> Option<ChangeId> {
        let found = self.history.iter().find(|accepted| accepted.revision == revision)?;
        Some(found.change.id.clone())
    }

    /// The team a key belongs to.
    pub fn team_of(&self, digest: &KeyDigest) -> Option<(&TeamName, &Team)> {
        self.teams.iter().find(|(_, team)| team.key == *digest)
    }

    /// The backend servers of a service.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a BackendServer)> {
        self.backends.iter().filter(move |(_, backend)| backend.service == *service)
    }

    /// The fault that makes the configuration inconsistent, if there is one.
    ///
    /// # Errors
    /// A sentence naming the first fault.
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
