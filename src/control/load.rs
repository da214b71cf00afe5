//! Polls engines for their load, and passes on their notices that they are about to stop.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::backend::engine::{self, EngineFault, Load};
use crate::ids::{BackendId, Incarnation};
use crate::member::spread::backend_report;
use crate::node::Node;
use crate::state::config::{BackendServer, Configuration, ServiceKind};

/// Time between two polls of one engine, as long as [`MAX_POLLS_PER_SECOND`] allows it.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of polls a second over all engines, so that the cost does not grow with the number of engines.
const MAX_POLLS_PER_SECOND: u32 = 40;

/// Timeout for a poll.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls every engine in turn until the task is dropped. The polls of one round are spread evenly over its duration,
/// with some jitter.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let configuration = node.board.in_force().configuration.clone();
        let engines = engines_in_use(&node, &configuration);
        let pause = (POLL_INTERVAL / engines.len().max(1) as u32)
            .max(Duration::from_secs(1) / MAX_POLLS_PER_SECOND);
        for (id, server) in &engines {
            tokio::spawn(poll_engine(node.clone(), id.clone(), server.clone()));
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
        if engines.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The engines among the backend servers that this node uses.
fn engines_in_use(node: &Node, configuration: &Configuration) -> Vec<(BackendId, BackendServer)> {
    let used = node.board.fleet.all().into_iter().filter_map(|(id, _)| {
        let server = configuration.backends.get(&id)?;
        let service = configuration.services.get(&server.service)?;
        (service.kind == ServiceKind::Engine).then(|| (id, server.clone()))
    });
    used.collect()
}

/// Polls one engine and records its load or its failure.
async fn poll_engine(node: Arc<Node>, id: BackendId, server: BackendServer) {
    let Some(state) = node.board.fleet.find(&id) else {
        return;
    };
    match engine::load(&node.pool, server.addr, REPLY_TIMEOUT).await {
        Ok(load) => {
            state.report(load.running, load.waiting, Duration::from_millis(load.age_ms));
            apply_leave_notice(&node, id, &load, state.life());
        }
        // Only a server that cannot be reached counts as failed: a slow or invalid reply may come from a healthy one.
        Err(EngineFault::NotRun(_)) => drop(state.fail()),
        Err(error) => {
            tracing::debug!(event = "load_unknown", backend_server = %id, %error);
        }
    }
}

/// Passes on an engine's notice that it is about to stop. A notice without an incarnation applies to the one that this
/// node knows.
fn apply_leave_notice(node: &Node, id: BackendId, load: &Load, current: Incarnation) {
    if let Some(left) = load.leaving_ms {
        let incarnation = load.incarnation.unwrap_or(current);
        node.hear_backend(id, backend_report(incarnation, Some(Duration::from_millis(left))));
    }
}
