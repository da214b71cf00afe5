//! Runs stored requests whose callers do not wait for the response: claims them under a lease with a fencing token,
//! runs them at a lower priority than interactive requests, and stores their responses.

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

/// Maximum number of stored requests that a node runs at the same time.
const MAX_RUNNING: usize = 4;

/// Mean time between two attempts to claim work; the actual time varies by up to half of it in either direction.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Mean number of nodes that try to claim work in one interval, where there are more nodes.
const MEAN_CLAIMERS: f64 = 8.0;

/// Timeout for a claim in the replicated group.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for storing a response in the replicated group.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two attempts to run the same request.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The claimed requests that run on this node, with their fencing tokens.
#[derive(Default)]
struct RunningWork {
    tasks: BTreeMap<WorkId, (Fence, JoinHandle<()>)>,
}

/// Work that is no longer watched over would outlast its lease, and run a second time elsewhere.
impl Drop for RunningWork {
    fn drop(&mut self) {
        self.tasks.values().for_each(|(_, task)| task.abort());
    }
}

/// Claims and runs work until the node drains. What is unfinished then is claimed by other nodes once its lease ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut running = RunningWork::default();
    let (ended, mut endings) = mpsc::unbounded_channel::<WorkId>();
    loop {
        let pause = POLL_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Some(id) = endings.recv() => { running.tasks.remove(&id); }
        }
        if node.board.phase() == Phase::Draining {
            // What runs may still end.
            running.tasks.clear();
            return;
        }
        claim_work(&node, &mut running, &ended).await;
    }
}

/// Claims work and starts it until nothing is left to claim or the node is at its limit. Each claim also renews the
/// leases of the running work, and aborts what another node has claimed.
async fn claim_work(
    node: &Arc<Node>,
    running: &mut RunningWork,
    ended: &mpsc::UnboundedSender<WorkId>,
) {
    while node.board.phase() == Phase::Serving {
        let wants = running.tasks.len() < MAX_RUNNING && should_claim(node);
        if running.tasks.is_empty() && !wants {
            return;
        }
        let held = running.tasks.iter().map(|(id, (fence, _))| (id.clone(), *fence)).collect();
        let claim = Claim { owner: node.owner(), held, wants };
        let reply = node.access.propose(Command::Claim(claim), CLAIM_TIMEOUT).await;
        let Ok(Reply::Claim(reply)) = reply else {
            return;
        };
        let ClaimReply { granted, lost } = *reply;
        for id in lost {
            if let Some((_, task)) = running.tasks.remove(&id) {
                task.abort();
            }
        }
        let Some(granted) = granted else {
            return;
        };
        let (id, fence) = (granted.id.clone(), granted.fence);
        let task = tokio::spawn(run_claimed(node.clone(), granted, ended.clone()));
        running.tasks.insert(id, (fence, task));
    }
}

/// Whether this node should claim work now. Each claim is an entry of the replicated log, so of many nodes only a
/// random few try in one interval.
fn should_claim(node: &Node) -> bool {
    let boxes = node.board.boxes.load().len().max(1);
    let probability = (MEAN_CLAIMERS / boxes as f64).min(1.0);
    node.board.work_waiting() && rand::rng().random_bool(probability)
}

/// Runs a claimed request, with retries, and stores its response.
async fn run_claimed(node: Arc<Node>, granted: Granted, ended: mpsc::UnboundedSender<WorkId>) {
    let answer = loop {
        match run_kept(&node, &granted.request).await {
            Ok(answer) => break answer,
            Err(failure) if may_retry(&failure, granted.request.repeatable) => {
                tracing::debug!(event = "kept_work_waits", id = %granted.id, kind = %failure.kind);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(failure) => break failure_answer(&failure),
        }
    };
    let finish = Finish { id: granted.id.clone(), fence: granted.fence, answer };
    let recorded = node.access.propose(Command::Finish(finish), FINISH_TIMEOUT).await;
    let fenced_off = recorded == Ok(Reply::Finish(false));
    tracing::info!(event = "kept_work_finished", id = %granted.id, fence = %granted.fence, fenced_off);
    let _ = ended.send(granted.id);
}

/// Whether the request may run again: only after a retryable failure, and only if it certainly did not run or is
/// repeatable. Waits for an earlier run of the same request that is still in progress.
fn may_retry(failure: &Failure, repeatable: bool) -> bool {
    let answer = failure.kind.answer();
    match answer.run {
        RunState::NotRun => answer.again,
        RunState::Unknown if failure.kind == Kind::InProgress => true,
        RunState::Unknown => repeatable && answer.again,
        RunState::Done => false,
    }
}

/// The response to store for a request that failed for good.
fn failure_answer(failure: &Failure) -> RecordedAnswer {
    RecordedAnswer {
        status: failure.kind.answer().status.as_u16(),
        content: "application/json".to_owned(),
        body: Some(failure_value(failure).to_string()),
    }
}

impl Node {
    /// This process as the owner of attempts and claimed work.
    pub(crate) fn owner(&self) -> Owner {
        Owner { box_id: self.settings.node.box_id.clone(), life: self.life }
    }
}
