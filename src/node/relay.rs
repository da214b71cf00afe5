//! The parts of a node that carry traffic by published routes, and those that let operators publish.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;

use super::Node;
use crate::backend::Pool;
use crate::control::{demand, fetch, heartbeat, origins, proxies, throttle};
use crate::group::join::Joiner;
use crate::platform::operator;
use crate::relay::listen::Listeners;
use crate::relay::{Relay, RelayContext, ends, lives, reach};
use crate::settings::Role;
use crate::state::document::{Document, Version};

/// How long a connection to a backend server may take to stand. Backend servers are a few
/// milliseconds away; a first packet that is dropped is sent again only after a second.
const CONNECT_TIME: Duration = Duration::from_millis(400);

impl Node {
    /// Starts the relay, where the node is one.
    pub(super) async fn start_relay(self: &Arc<Self>) -> Result<()> {
        let Some(settings) = self.settings.relay.clone().filter(|_| self.settings.has(Role::Relay))
        else {
            return Ok(());
        };
        let relay = Arc::new(Relay::new(RelayContext {
            settings,
            topology: self.settings.topology(),
            board: self.board.clone(),
            pool: Pool::new(CONNECT_TIME),
            dialect: self.dialect.clone(),
            secret: self.settings.peer.secret.clone(),
            metrics: self.metrics.clone(),
            closing: self.follow_closing(),
        }));
        let _ = self.relay.set(relay.clone());
        let listeners = Listeners::open(&relay).await?;
        tokio::spawn(follow_routes(self.clone()));
        let box_id = self.settings.node.box_id.clone();
        tokio::spawn(heartbeat::run(relay.clone(), self.access.clone(), box_id.clone(), self.life));
        tokio::spawn(demand::run(relay.clone(), self.access.clone(), box_id.clone(), self.life));
        tokio::spawn(throttle::run(relay.clone(), self.access.clone(), box_id.clone(), self.life));
        tokio::spawn(proxies::run(relay.clone(), self.access.clone(), box_id));
        tokio::spawn(origins::run(relay.clone(), self.access.clone()));
        tokio::spawn(reach::run(relay.clone()));
        tokio::spawn(fetch::run(relay.clone(), self.access.clone()));
        tokio::spawn(lives::run(relay.clone()));
        tokio::spawn(ends::run(relay.clone()));
        listeners.serve(&relay);
        Ok(())
    }

    /// The relay, where the node is one.
    pub(crate) fn relay(&self) -> Option<&Relay> {
        self.relay.get().map(Arc::as_ref)
    }

    /// Puts a published document in force on the relay, where the node is one that has started.
    pub(crate) fn put_routes(&self, document: &Document) {
        let Some(relay) = self.relay() else {
            return;
        };
        let held = relay.table().map_or(Version(0), |table| table.version);
        if document.version <= held {
            return;
        }
        match relay.context.dialect.read_table(&document.text) {
            Ok(table) => relay.apply_table(Arc::new(table)),
            Err(reason) => {
                tracing::error!(event = "document_invalid", version = %document.version, reason);
            }
        }
    }

    /// Lets operators publish routes, where the settings say so.
    pub(super) async fn start_operator(self: &Arc<Self>) -> Result<()> {
        match self.settings.operator.clone() {
            Some(settings) => operator::start(self.clone(), settings.listen).await,
            None => Ok(()),
        }
    }

    /// Has a replica that knows only seeds find its group.
    pub(super) fn start_joining(self: &Arc<Self>) {
        if let Some(joiner) = self.joiner() {
            tokio::spawn(joiner.run());
        }
    }

    /// Has a learner take the vote of this process's replica, where there is one.
    pub(crate) async fn hand_over_vote(&self) {
        if let Some(joiner) = self.joiner() {
            joiner.hand_over().await;
        }
    }

    /// What finds the group of a replica that knows only seeds.
    fn joiner(&self) -> Option<Joiner> {
        let replica = self.access.local()?.clone();
        self.access.directory().is_seeded().then(|| Joiner {
            replica,
            access: self.access.clone(),
            peers: self.peers.clone(),
            settings: self.settings.group.clone(),
            board: self.board.clone(),
        })
    }
}

/// Puts each published document in force on the relay.
async fn follow_routes(node: Arc<Node>) {
    let mut documents = node.board.follow_document();
    loop {
        let document = documents.borrow_and_update().clone();
        node.put_routes(&document);
        if documents.changed().await.is_err() {
            return;
        }
    }
}
