//! Puts the ledger around attempts that may run at most once.
//!
//! The attempt is on a majority of disks before its first byte goes out. What became of it is
//! recorded afterwards; until that is a proof that it did not run, nobody makes another.

use std::sync::Arc;
use std::time::Duration;

use crate::error::{Failure, Kind};
use crate::ids::{AttemptId, BackendId, RequestKey, TeamName};
use crate::member::table::BoxState;
use crate::node::Node;
use crate::state::config::hex_digest;
use crate::state::ledger::{Begin, BeginReply, End, LedgerKey, Outcome, Owner, RecordedAnswer};
use crate::state::{Command, Reply};
use crate::telemetry::TraceContext;
use crate::telemetry::hops::OpenHop;

/// How long the ledger may take before an attempt; after that the answer is an honest "not run".
const BEGIN_TIME: Duration = Duration::from_secs(3);

/// How long the outcome is tried to be recorded.
const END_TIME: Duration = Duration::from_secs(30);

/// A request that may run at most once.
#[derive(Debug, Clone)]
pub struct Once {
    /// Whose request.
    pub key: LedgerKey,
    /// The digest of its path and body.
    pub digest: String,
}

/// What the ledger says before an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// Send it.
    Go,
    /// It has been answered; this is the answer.
    Answered(RecordedAnswer),
}

impl Once {
    /// A team's request under a key.
    pub fn new(team: &TeamName, key: &RequestKey, digest: String) -> Self {
        Self { key: LedgerKey { team: team.clone(), key: key.clone() }, digest }
    }

    /// Records an attempt before it is made.
    ///
    /// # Errors
    /// When the attempt must not be made: [`Kind::KeyConflict`], [`Kind::InProgress`],
    /// [`Kind::EarlierUnknown`], [`Kind::LedgerUnavailable`], [`Kind::LedgerFull`].
    pub async fn begin(
        &self,
        node: &Arc<Node>,
        backend: &BackendId,
        attempt: &AttemptId,
        trace: TraceContext,
    ) -> Result<Permission, Failure> {
        let hop = OpenHop::begin("ledger", "group", trace);
        let owner = node.owner();
        let begin = Begin {
            key: self.key.clone(),
            digest: self.digest.clone(),
            backend: backend.clone(),
            attempt: attempt.clone(),
            owner,
        };
        let reply = node.access.propose(Command::Begin(begin), BEGIN_TIME).await;
        let result = match reply {
            Ok(Reply::Begin(reply)) => self.judge(node, reply),
            Ok(_) => Err(Failure::new(Kind::Internal, "the ledger gave another answer")),
            Err(_) => {
                // It may be recorded all the same; this attempt is never made.
                self.end_later(node, attempt, Outcome::NotRun);
                let text = "the ledger could not record the attempt in time";
                Err(Failure::new(Kind::LedgerUnavailable, text))
            }
        };
        let outcome = result.as_ref().err().map_or("go".to_owned(), |it| it.kind.to_string());
        hop.end(&node.board.hops, outcome);
        result
    }

    fn judge(&self, node: &Node, reply: BeginReply) -> Result<Permission, Failure> {
        let failure = match reply {
            BeginReply::Go => return Ok(Permission::Go),
            BeginReply::Answered(answer) => return Ok(Permission::Answered(answer)),
            BeginReply::Running { owner, .. } if is_lost(node, &owner) => Failure::new(
                Kind::EarlierUnknown,
                format!("box {} was lost while it ran this request", owner.box_id),
            ),
            BeginReply::Running { owner, .. } => Failure::new(
                Kind::InProgress,
                format!("box {} runs this request; ask again", owner.box_id),
            ),
            BeginReply::Unknown => Failure::new(
                Kind::EarlierUnknown,
                "an earlier attempt may have run; it is not made again",
            ),
            BeginReply::Conflict => {
                Failure::new(Kind::KeyConflict, "the key came with another request before")
            }
            BeginReply::Full => Failure::new(Kind::LedgerFull, "the ledger is full"),
        };
        Err(failure)
    }

    /// Records what became of an attempt; `false` when it could not be recorded in time.
    pub async fn end(&self, node: &Node, attempt: &AttemptId, outcome: Outcome) -> bool {
        let end = End { key: self.key.clone(), attempt: attempt.clone(), outcome };
        node.access.propose(Command::End(end), END_TIME).await.is_ok()
    }

    /// Records it without being waited for.
    pub fn end_later(&self, node: &Arc<Node>, attempt: &AttemptId, outcome: Outcome) {
        let (once, node, attempt) = (self.clone(), node.clone(), attempt.clone());
        tokio::spawn(async move {
            if !once.end(&node, &attempt, outcome).await {
                tracing::warn!(event = "outcome_not_recorded", attempt = %attempt);
            }
        });
    }
}

/// Whether the process that made an attempt is certainly not at it any more, as far as this node
/// knows.
fn is_lost(node: &Node, owner: &Owner) -> bool {
    if owner.box_id == node.settings.node.box_id {
        return owner.life != node.life;
    }
    let boxes = node.board.boxes.load();
    boxes
        .get(&owner.box_id)
        .is_some_and(|record| record.life > owner.life || record.state == BoxState::Gone)
}

/// The digest of a request: its path and body.
pub fn digest(path: &str, body: &[u8]) -> String {
    let mut bytes = path.as_bytes().to_vec();
    bytes.push(b'\n');
    bytes.extend_from_slice(body);
    hex_digest(&bytes)
}
