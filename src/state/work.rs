//! Kept work: requests that are stored and run asynchronously.
//!
//! A request is durable before its caller is told that it was accepted. One owner at a time runs it,
//! under a lease with a fencing token, and the result can be fetched from any node.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ledger::{Owner, RecordedAnswer, is_older_than};
use crate::ids::{Fence, NameError, RequestKey, TeamName};
use crate::units::Millis;

/// The maximum number of work items.
pub const MAX_ITEMS: usize = 20_000;

/// The maximum total size of request bodies, in bytes; answers count towards it, but are never refused.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;

/// How long an owner's lease lasts. Unless it is renewed, another owner may take the item over.
pub const LEASE_TIME: Millis = Millis(10_000);

/// The ID of a work item, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkId(String);

impl WorkId {
    /// Derives the ID of a team's request; the same key gives the same ID.
    pub fn of(team: &TeamName, key: &RequestKey) -> Self {
        let text = format!("{team}\n{key}");
        Self(super::config::hex_digest(text.as_bytes())[..32].to_owned())
    }
}

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        match text.chars().find(|c| !c.is_ascii_hexdigit()) {
            Some(character) => Err(NameError::Character(character)),
            None if text.len() != 32 => Err(NameError::Length(text.len())),
            None => Ok(Self(text.to_owned())),
        }
    }
}

/// A request to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRequest {
    /// The team that sent it.
    pub team: TeamName,
    /// The idempotency key of the caller.
    pub key: RequestKey,
    /// The request path.
    pub path: String,
    /// The request body.
    pub body: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Stores a request to be run asynchronously.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keep {
    /// The request.
    pub request: KeptRequest,
}

/// The answer to [`Keep`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeepReply {
    /// Stored, now or earlier; the result is fetched by this ID.
    Kept(WorkId),
    /// The key was used before for another path or body.
    Conflict,
    /// The store is full.
    Full,
}

/// Renews an owner's leases and requests a new item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner. Its leases on `held` are renewed.
    pub owner: Owner,
    /// Items that the owner still runs, with their fencing tokens.
    pub held: Vec<(WorkId, Fence)>,
    /// Whether the owner can run one more item.
    pub wants: bool,
}

/// The answer to [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The item to run, if one was available.
    pub granted: Option<Granted>,
    /// Items in `held` that the owner no longer owns and must stop running.
    pub lost: Vec<WorkId>,
}

/// A work item leased to an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The ID of the item.
    pub id: WorkId,
    /// The fencing token that [`Finish`] must carry.
    pub fence: Fence,
    /// The request.
    pub request: KeptRequest,
}

/// Reports that a work item is finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The ID of the item.
    pub id: WorkId,
    /// The fencing token of the owner.
    pub fence: Fence,
    /// The answer.
    pub answer: RecordedAnswer,
}

/// The part of a work item that its caller may see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkView {
    /// The team that owns it.
    pub team: TeamName,
    /// The answer, once the item is finished.
    pub answer: Option<RecordedAnswer>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Waiting,
    Owned { owner: Owner, until: u64 },
    Finished(RecordedAnswer),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Item {
    request: KeptRequest,
    stage: Stage,
    fence: Fence,
    #[serde(rename = "at")]
    changed_at: u64,
}

impl Item {
    fn bytes(&self) -> usize {
        let answer = match &self.stage {
            Stage::Finished(answer) => answer.body.as_ref().map_or(0, String::len),
            Stage::Waiting | Stage::Owned { .. } => 0,
        };
        self.request.body.len() + answer
    }

    fn is_claimable(&self, now: u64) -> bool {
        match &self.stage {
            Stage::Waiting => true,
            Stage::Owned { until, .. } => *until < now,
            Stage::Finished(_) => false,
        }
    }
}

/// The store of work items.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkStore {
    items: BTreeMap<WorkId, Item>,
    bytes: usize,
}

impl WorkStore {
    /// Stores a request. The same key with the same path and body is stored once.
    pub fn keep(&mut self, at: u64, keep: &Keep) -> KeepReply {
        let id = WorkId::of(&keep.request.team, &keep.request.key);
        if let Some(held) = self.items.get(&id) {
            let same = held.request.body == keep.request.body;
            let same = same && held.request.path == keep.request.path;
            return if same { KeepReply::Kept(id) } else { KeepReply::Conflict };
        }
        let size = keep.request.body.len();
        if self.items.len() >= MAX_ITEMS || self.bytes + size > MAX_TOTAL_BYTES {
            return KeepReply::Full;
        }
        let request = keep.request.clone();
        let item = Item { request, stage: Stage::Waiting, fence: Fence(0), changed_at: at };
        self.bytes += item.bytes();
        self.items.insert(id.clone(), item);
        KeepReply::Kept(id)
    }

    /// Renews the owner's leases and leases it the oldest available item, if it wants one.
    pub fn claim(&mut self, at: u64, claim: &Claim) -> ClaimReply {
        let until = at + LEASE_TIME.0;
        let mut lost = Vec::new();
        for (id, fence) in &claim.held {
            let item = self.items.get_mut(id).filter(|item| item.fence == *fence);
            match item {
                Some(item) if matches!(item.stage, Stage::Owned { .. }) => {
                    item.stage = Stage::Owned { owner: claim.owner.clone(), until };
                }
                _ => lost.push(id.clone()),
            }
        }
        let granted = if claim.wants { self.grant(at, until, &claim.owner) } else { None };
        ClaimReply { granted, lost }
    }

    fn grant(&mut self, at: u64, until: u64, owner: &Owner) -> Option<Granted> {
        let claimable = self.items.iter_mut().filter(|(_, item)| item.is_claimable(at));
        let (id, item) = claimable.min_by_key(|(_, item)| item.changed_at)?;
        item.fence = item.fence.next();
        item.stage = Stage::Owned { owner: owner.clone(), until };
        let request = item.request.clone();
        Some(Granted { id: id.clone(), fence: item.fence, request })
    }

    /// Records the answer if the fencing token is the latest; returns `false` otherwise.
    pub fn finish(&mut self, at: u64, finish: &Finish) -> bool {
        let Some(item) = self.items.get_mut(&finish.id) else {
            return false;
        };
        let owned = matches!(item.stage, Stage::Owned { .. });
        if !owned || item.fence != finish.fence {
            return false;
        }
        self.bytes -= item.bytes();
        item.stage = Stage::Finished(finish.answer.clone());
        item.changed_at = at;
        self.bytes += item.bytes();
        true
    }

    /// Returns the caller's view of an item.
    pub fn view(&self, id: &WorkId) -> Option<WorkView> {
        let item = self.items.get(id)?;
        let answer = match &item.stage {
            Stage::Finished(answer) => Some(answer.clone()),
            Stage::Waiting | Stage::Owned { .. } => None,
        };
        Some(WorkView { team: item.request.team.clone(), answer })
    }

    /// Removes items finished longer than `age` ago and returns how many. Unfinished items stay.
    pub fn expire(&mut self, at: u64, age: Millis) -> usize {
        let before = self.items.len();
        self.items.retain(|_, item| !Self::is_expired(item, at, age));
        self.bytes = self.items.values().map(Item::bytes).sum();
        before - self.items.len()
    }

    /// Whether [`WorkStore::expire`] would remove anything.
    pub fn has_expired(&self, at: u64, age: Millis) -> bool {
        self.items.values().any(|item| Self::is_expired(item, at, age))
    }

    /// Whether an item can be claimed: it waits, or its lease has expired.
    pub fn has_claimable_work(&self, at: u64) -> bool {
        self.items.values().any(|item| item.is_claimable(at))
    }

    fn is_expired(item: &Item, at: u64, age: Millis) -> bool {
        matches!(item.stage, Stage::Finished(_)) && is_older_than(at, item.changed_at, age)
    }
}

/// Serializes a map as a list of pairs, for keys that are not strings.
pub(crate) mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S, K, V>(map: &BTreeMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
        K: Serialize,
        V: Serialize,
    {
        serializer.collect_seq(map.iter())
    }

    pub(crate) fn deserialize<'de, D, K, V>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        D: Deserializer<'de>,
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
    {
        let list = Vec::<(K, V)>::deserialize(deserializer)?;
        Ok(list.into_iter().collect())
    }
}
