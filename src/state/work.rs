//! Kept work: requests whose callers may wait. Durable before the caller is told so, run by one
//! owner at a time under a lease with a fence, fetched from any node.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ledger::{Owner, RecordedAnswer, is_older_than};
use crate::ids::{Fence, NameError, RequestKey, TeamName};
use crate::units::Millis;

/// Pieces of work held at most.
pub const MAX_ITEMS: usize = 20_000;

/// Bytes of bodies and answers held at most.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;

/// How long an owner may run a piece of work before another may take it over.
pub const LEASE_TIME: Millis = Millis(10_000);

/// A piece of kept work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkId(String);

impl WorkId {
    /// The id of a team's request: the same key gives the same id.
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

/// The request as it is to be run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRequest {
    /// Whose it is.
    pub team: TeamName,
    /// The caller's key for it.
    pub key: RequestKey,
    /// The path it came on.
    pub path: String,
    /// Its body.
    pub body: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Asks for work to be kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keep {
    /// The request.
    pub request: KeptRequest,
}

/// The answer to [`Keep`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeepReply {
    /// Kept, or kept before; fetch it under this id.
    Kept(WorkId),
    /// The key came with another body.
    Conflict,
    /// No room.
    Full,
}

/// Asks for work to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who asks. Renews the owner's leases on `held` as well.
    pub owner: Owner,
    /// Work the owner still runs, with its fences.
    pub held: Vec<(WorkId, Fence)>,
    /// Whether a new piece is wanted.
    pub wants: bool,
}

/// The answer to [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The piece to run, if one was free.
    pub granted: Option<Granted>,
    /// Of the held ones, those another owner has taken over: stop them.
    pub lost: Vec<WorkId>,
}

/// A piece of work handed to an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Which.
    pub id: WorkId,
    /// The number that finishing must carry.
    pub fence: Fence,
    /// The request.
    pub request: KeptRequest,
}

/// The end of a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Which.
    pub id: WorkId,
    /// The owner's number.
    pub fence: Fence,
    /// The answer.
    pub answer: RecordedAnswer,
}

/// What a caller may see of its work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkView {
    /// Whose it is.
    pub team: TeamName,
    /// The answer, once there is one.
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

/// All kept work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkStore {
    items: BTreeMap<WorkId, Item>,
    bytes: usize,
}

impl WorkStore {
    /// Keeps a request; the same key and body again is kept once.
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

    /// Renews the owner's leases and hands out the oldest free piece.
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

    /// Records the answer if the fence is the latest; `false` otherwise.
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

    /// What is known of a piece of work.
    pub fn view(&self, id: &WorkId) -> Option<WorkView> {
        let item = self.items.get(id)?;
        let answer = match &item.stage {
            Stage::Finished(answer) => Some(answer.clone()),
            Stage::Waiting | Stage::Owned { .. } => None,
        };
        Some(WorkView { team: item.request.team.clone(), answer })
    }

    /// Drops finished work older than `age`. Unfinished work stays.
    pub fn expire(&mut self, at: u64, age: Millis) -> usize {
        let before = self.items.len();
        self.items.retain(|_, item| !Self::is_expired(item, at, age));
        self.bytes = self.items.values().map(Item::bytes).sum();
        before - self.items.len()
    }

    /// Whether [`WorkStore::expire`] would drop anything.
    pub fn has_expired(&self, at: u64, age: Millis) -> bool {
        self.items.values().any(|item| Self::is_expired(item, at, age))
    }

    /// Whether a piece is free to be claimed.
    pub fn has_claimable_work(&self, at: u64) -> bool {
        self.items.values().any(|item| item.is_claimable(at))
    }

    fn is_expired(item: &Item, at: u64, age: Millis) -> bool {
        matches!(item.stage, Stage::Finished(_)) && is_older_than(at, item.changed_at, age)
    }
}

/// Writes a map whose keys are not text as a list of pairs.
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
