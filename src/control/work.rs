//! Runs kept work: claims it under a lease with a fence, runs it behind everything interactive, and
//! records its answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::blackboard::Phase;
use crate::entry::keep::run_kept;
use crate::error::{Failure, Kind, RunState};
use crate::http::answer::failure_value;
use crate::ids::Fence;
use crate::node::Node;
use crate::state::ledger::{Owner, RecordedAnswer};
use crate::state::work::{Claim, ClaimReply, Finish, Granted, WorkId};
use crate::state::{Command, Reply};

/// Pieces a node runs at the same time.
const RUN_LIMIT: usize = 4;

/// Time between two looks for work, give or take a half.
const LOOK_TIME: Duration = Duration::from_millis(1_000);

/// Nodes that claim in one round, on average, where there are more.
const CLAIMERS: f64 = 8.0;

/// How long the group may take.
const GROUP_TIME: Duration = Duration::from_secs(3);

/// How long a finished piece is tried to be recorded.
const FINISH_TIME: Duration = Duration::from_secs(30);

/// Pause before a piece is tried again.
const PAUSE: Duration = Duration::from_millis(500);

/// Pieces under way.
#[derive(Default)]
struct Running {
    pieces: BTreeMap<WorkId, (Fence, JoinHandle<()>)>,
}

/// Looks for work until the node drains. Pieces that are not finished then are taken over when
/// their lease ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut running = Running::default();
    let (ended, mut endings) = mpsc::unbounded_channel::<WorkId>();
    loop {
        let pause = LOOK_TIME.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Some(id) = endings.recv() => { running.pieces.remove(&id); }
        }
        if node.board.phase() == Phase::Draining {
            return;
        }
        look(&node, &mut running, &ended).await;
    }
}

async fn look(node: &Arc<Node>, running: &mut Running, ended: &mpsc::UnboundedSender<WorkId>) {
    while node.board.phase() == Phase::Serving {
        let wants = running.pieces.len() < RUN_LIMIT && may_have_work(node);
        if running.pieces.is_empty() && !wants {
            return;
        }
        let held = running.pieces.iter().map(|(id, (fence, _))| (id.clone(), *fence)).collect();
        let claim = Claim { owner: node.owner(), held, wants };
        let reply = node.access.propose(Command::Claim(claim), GROUP_TIME).await;
        let Ok(Reply::Claim(reply)) = reply else {
            return;
        };
        let ClaimReply { granted, lost } = *reply;
        for id in lost {
            if let Some((_, task)) = running.pieces.remove(&id) {
                task.abort();
            }
        }
        let Some(granted) = granted else {
            return;
        };
        let (id, fence) = (granted.id.clone(), granted.fence);
        let task = tokio::spawn(run_piece(node.clone(), granted, ended.clone()));
        running.pieces.insert(id, (fence, task));
    }
}

/// Whether to claim: work waits, and it is this node's turn. Of many nodes only some try each time,
/// since a claim is an entry in the log.
fn may_have_work(node: &Node) -> bool {
    let boxes = node.board.boxes.load().len().max(1);
    let chance = (CLAIMERS / boxes as f64).min(1.0);
    node.board.work_waiting() && rand::rng().random_bool(chance)
}

async fn run_piece(node: Arc<Node>, granted: Granted, ended: mpsc::UnboundedSender<WorkId>) {
    let answer = loop {
        match run_kept(&node, &granted.request).await {
            Ok(answer) => break answer,
            Err(failure) if may_try_again(&failure, granted.request.repeatable) => {
                tracing::debug!(event = "kept_work_waits", id = %granted.id, kind = %failure.kind);
                tokio::time::sleep(PAUSE).await;
            }
            Err(failure) => break failed(&failure),
        }
    };
    let finish = Finish { id: granted.id.clone(), fence: granted.fence, answer };
    let recorded = node.access.propose(Command::Finish(finish), FINISH_TIME).await;
    let fenced_off = recorded == Ok(Reply::Finish(false));
    tracing::info!(event = "kept_work_finished", id = %granted.id, fence = %granted.fence, fenced_off);
    let _ = ended.send(granted.id);
}

/// Whether the work may be run again: always when it certainly did not run, and otherwise when it is
/// repeatable, unless the request itself is at fault.
fn may_try_again(failure: &Failure, repeatable: bool) -> bool {
    let row = failure.kind.answer();
    match row.run {
        RunState::NotRun => row.again,
        RunState::Unknown if failure.kind == Kind::InProgress => true,
        RunState::Unknown => repeatable && row.again,
        RunState::Done => false,
    }
}

fn failed(failure: &Failure) -> RecordedAnswer {
    RecordedAnswer {
        status: failure.kind.answer().status.as_u16(),
        content: "application/json".to_owned(),
        body: Some(failure_value(failure).to_string()),
    }
}

impl Node {
    /// This process, as an owner of attempts and work.
    pub(crate) fn owner(&self) -> Owner {
        Owner { box_id: self.settings.node.box_id.clone(), life: self.life }
    }
}
