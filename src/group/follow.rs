//! How a node without a disk keeps up with the configuration: it asks a replica for what it lacks
//! and how fresh that is, and waits there for news.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::blackboard::Blackboard;
use crate::group::directory::Directory;
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

/// Places from which a node begins to go through the replicas; more than there are replicas.
const PLACES: usize = 64;

/// An age from which another replica is asked instead.
const OLD: Duration = Duration::from_millis(1_500);

/// Follows the configuration until the task is dropped.
pub async fn run(board: Arc<Blackboard>, peers: Peers, directory: Arc<Directory>) {
    let mut place: usize = rand::random_range(0..PLACES);
    loop {
        let all = directory.all();
        let Some((_, addr)) = all.get(place % all.len().max(1)).cloned() else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match ask(&board, &peers, &directory, addr).await {
            Ok(true) => {}
            Ok(false) => {
                place += 1;
                tokio::time::sleep(PAUSE).await;
            }
            Err(error) => {
                tracing::debug!(event = "configuration_poll_failed", %addr, %error);
                place += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Asks one replica once; `false` when its answer is old.
async fn ask(
    board: &Blackboard,
    peers: &Peers,
    directory: &Directory,
    addr: SocketAddr,
) -> Result<bool, PeerError> {
    let asked = Instant::now();
    let document = board.document().version;
    let unsure = board.age().is_none_or(|age| age > OLD);
    let poll = Poll { from: board.revision(), document, wait: WAIT, unsure };
    let reply: PollReply = peers.call(addr, method::POLL, &poll, CALL_TIME).await?;
    board.note_work(reply.work);
    directory.learn(reply.members.iter());
    let current = board.in_force().configuration.clone();
    let whole = take(current, reply.news);
    let Some(configuration) = whole else {
        return Ok(false);
    };
    board.put_in_force(configuration);
    if let Some(document) = reply.document {
        board.put_document(document);
    }
    let Some(age) = reply.age.map(Duration::from_millis) else {
        return Ok(false);
    };
    board.note_answer(asked, age);
    Ok(age < OLD)
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
