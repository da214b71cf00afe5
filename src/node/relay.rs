//! The parts of a node that carry traffic by published routes, and those that let operators publish.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use super::Node;
use crate::backend::Pool;
use crate::control::{demand, fetch, heartbeat, origins, proxies, throttle};
use crate::group::access::Access;
use crate::group::join::Joiner;
use crate::ids::{BoxId, Incarnation};
use crate::platform::operator;
use crate::relay::listen::Listeners;
use crate::relay::{Relay, RelayContext, ends, lives, reach};
use crate::settings::Role;
use crate::state::document::{Document, Version};
use crate::tasks;

/// How long a connection to a backend server may take to stand. Backend servers are a few
/// milliseconds away; a first packet that is dropped is sent again only after a second.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Begins a task of a relay.
type RelayTask = fn(Arc<Relay>, Access, BoxId, Incarnation) -> BoxFuture<'static, ()>;

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
        self.keep_relay_tasks(&relay);
        listeners.serve(&relay);
        Ok(())
    }

    fn keep_relay_tasks(self: &Arc<Self>, relay: &Arc<Relay>) {
        self.keep("follow_routes", |node| follow_routes(node.clone()));
        let (id, life) = (self.settings.node.box_id.clone(), self.life);
        let keep = |name, start: RelayTask| {
            let (relay, access, id) = (relay.clone(), self.access.clone(), id.clone());
            tasks::keep(name, move || start(relay.clone(), access.clone(), id.clone(), life));
        };
        keep("heartbeat", |relay, access, id, life| {
            heartbeat::run(relay, access, id, life).boxed()
        });
        keep("demand", |relay, access, id, life| demand::run(relay, access, id, life).boxed());
        keep("throttle", |relay, access, id, life| throttle::run(relay, access, id, life).boxed());
        keep("proxies", |relay, access, id, _| proxies::run(relay, access, id).boxed());
        keep("origins", |relay, access, _, _| origins::run(relay, access).boxed());
        keep("reach", |relay, _, _, _| reach::run(relay).boxed());
        keep("fetch", |relay, access, _, _| fetch::run(relay, access).boxed());
        keep("lives", |relay, _, _, _| lives::run(relay).boxed());
        keep("ends", |relay, _, _, _| ends::run(relay).boxed());
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
        if self.joiner().is_some() {
            self.keep("joiner", |node| {
                let joiner = node.joiner();
                async move {
                    if let Some(joiner) = joiner {
                        joiner.run().await;
                    }
                }
            });
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
