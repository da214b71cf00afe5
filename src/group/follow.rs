//! How a node without a disk keeps up with the configuration: it asks a replica for what it lacks
//! and how fresh that is, and waits there for news. Where there are several regions, that is a replica of
//! its own one while there is such.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::blackboard::Blackboard;
use crate::clock;
use crate::decide::nearest::ReplicaSelector;
use crate::decide::topology::Reach;
use crate::group::directory::Directory;
use crate::ids::BoxId;
use crate::peer::method::{self, Poll, PollReply, Update};
use crate::peer::{PeerError, Peers};
use crate::state::config::{ChangeReply, Configuration};

/// How long a replica holds an unanswered question, in milliseconds. The freshness a node can claim
/// is never better than this.
const WAIT: u64 = 400;

/// How long an answer may take.
const CALL_TIME: Duration = Duration::from_millis(1_400);

/// Pause after a failure: replicas that were all stopped are back one after the other.
const PAUSE: Duration = Duration::from_millis(50);

/// An age from which another replica is asked instead.
const OLD: Duration = Duration::from_millis(1_500);

/// Follows the configuration until the task is dropped.
pub async fn run(board: Arc<Blackboard>, peers: Peers, directory: Arc<Directory>) {
    let mut nearest = ReplicaSelector::new(rand::random());
    let mut followed = Followed::default();
    loop {
        let replicas: Vec<_> = directory.all().into_iter().map(|(box_id, _)| box_id).collect();
        let chosen = nearest.choose(&replicas, |it| directory.reach(it), Instant::now());
        let Some((box_id, addr)) = chosen.and_then(|it| Some((it.clone(), directory.find(&it)?)))
        else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match ask(&board, &peers, &directory, &box_id, addr).await {
            Ok(true) => {
                nearest.record_success(&box_id);
                followed.note(&box_id, directory.reach(&box_id));
            }
            Ok(false) => {
                nearest.record_failure(&box_id, Instant::now());
                tokio::time::sleep(PAUSE).await;
            }
            Err(error) => {
                tracing::debug!(event = "configuration_poll_failed", %addr, %error);
                nearest.record_failure(&box_id, Instant::now());
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// The replica that told something fresh last.
#[derive(Default)]
struct Followed {
    replica: Option<BoxId>,
    /// Whether one of this box's region did, since the region was lost last.
    near: bool,
}

impl Followed {
    /// A line for another replica, and one where the replicas of this box's region are lost or back.
    fn note(&mut self, box_id: &BoxId, reach: Option<Reach>) {
        if self.replica.as_ref() != Some(box_id) {
            let reach = reach.map_or("unknown".to_owned(), |reach| reach.to_string());
            tracing::info!(event = "replica_followed", replica = %box_id, reach);
            self.replica = Some(box_id.clone());
        }
        let near = match reach {
            Some(Reach::Local | Reach::Regional) => true,
            Some(Reach::Remote) => false,
            None => return,
        };
        match (self.near, near) {
            (true, false) => tracing::warn!(event = "region_lost", replica = %box_id),
            (false, true) => tracing::info!(event = "region_reached", replica = %box_id),
            (true, true) | (false, false) => {}
        }
        self.near = near;
    }
}

/// Asks one replica once; `false` when its answer is old.
async fn ask(
    board: &Blackboard,
    peers: &Peers,
    directory: &Directory,
    box_id: &BoxId,
    addr: SocketAddr,
) -> Result<bool, PeerError> {
    let asked = clock::now();
    let document = board.newest();
    let unsure = board.word_age().is_none_or(|age| age > OLD);
    let poll = Poll { from: board.revision(), document, wait: WAIT, unsure };
    let reply: PollReply = peers.call(addr, method::POLL, &poll, CALL_TIME).await?;
    board.note_work(reply.work);
    directory.learn(reply.members.iter());
    if let Some(data_centre) = reply.data_centre {
        directory.note_site(box_id, data_centre);
    }
    let current = board.in_force().configuration.clone();
    let whole = take(current, reply.news);
    let Some(configuration) = whole else {
        return Ok(false);
    };
    board.put_in_force(configuration);
    let age = reply.age.map(Duration::from_millis);
    board.record_answer(reply.document, Some(box_id.clone()), asked, age);
    Ok(age.is_some_and(|age| age < OLD))
}

/// The configuration after the news; `None` when they do not follow on what is held.
fn take(current: Arc<Configuration>, news: Update) -> Option<Arc<Configuration>> {
    let changes = match news {
        Update::Whole(configuration) => return Some(configuration),
        Update::Changes(changes) => changes,
    };
    let mut next = current;
    for accepted in changes {
        if accepted.revision <= next.revision {
            continue;
        }
        let reply = Arc::make_mut(&mut next).apply(&accepted.change);
        if reply != ChangeReply::Accepted(accepted.revision) {
            return None;
        }
    }
    Some(next)
}
