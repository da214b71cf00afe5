//! Asks engines for their load. What an engine says of its own leaving is passed on.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::backend::engine::{self, EngineFault, Load};
use crate::ids::BackendId;
use crate::member::spread::word;
use crate::node::Node;
use crate::state::config::{BackendServer, Configuration, ServiceKind};

/// Time between two questions to one engine, where there are few.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Questions a second at most, all engines together: what they cost does not grow with the fleet.
const ASK_LIMIT: u32 = 40;

/// How long an engine may take.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Asks every engine in turn until the task is dropped. The questions of one round are spread over
/// its time.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let configuration = node.board.in_force().configuration.clone();
        let engines = engines(&node, &configuration);
        let pause =
            (ASK_TIME / engines.len().max(1) as u32).max(Duration::from_secs(1) / ASK_LIMIT);
        for (id, server) in &engines {
            tokio::spawn(ask(node.clone(), id.clone(), server.clone()));
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
        if engines.is_empty() {
            tokio::time::sleep(ASK_TIME).await;
        }
    }
}

/// The engines this node uses.
fn engines(node: &Node, configuration: &Configuration) -> Vec<(BackendId, BackendServer)> {
    let used = node.board.fleet.all().into_iter().filter_map(|(id, _)| {
        let server = configuration.backends.get(&id)?;
        let service = configuration.services.get(&server.service)?;
        (service.kind == ServiceKind::Engine).then(|| (id, server.clone()))
    });
    used.collect()
}

async fn ask(node: Arc<Node>, id: BackendId, server: BackendServer) {
    let Some(state) = node.board.fleet.find(&id) else {
        return;
    };
    match engine::load(&node.pool, server.addr, ANSWER_TIME).await {
        Ok(load) => {
            state.report(load.running, load.waiting, Duration::from_millis(load.age_ms));
            hear_own_word(&node, id, &load, state.life());
        }
        // Only a server that cannot be reached at all counts: a slow report proves nothing.
        Err(EngineFault::NotRun(_)) => drop(state.fail()),
        Err(error) => {
            tracing::debug!(event = "load_unknown", backend_server = %id, %error);
        }
    }
}

/// An engine's own word that it is leaving holds for the life this node knows.
fn hear_own_word(node: &Node, id: BackendId, load: &Load, life: crate::ids::Incarnation) {
    if let Some(left) = load.leaving_ms {
        let life = load.incarnation.unwrap_or(life);
        node.hear_backend(id, word(life, Some(Duration::from_millis(left))));
    }
}
