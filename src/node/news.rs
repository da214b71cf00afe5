//! A node's side of membership: it starts the spreading of news, hears it and adds to it.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use ractor::Actor;
use ractor::rpc::CallResult;

use super::{ACTOR_TIME, Node};
use crate::ids::{BackendId, BoxId};
use crate::member::spread::{Gossip, GossipActor, GossipArguments, GossipMessage};
use crate::member::table::{BackendReport, BoxRecord, BoxState, MembershipUpdates};
use crate::obstacle::Obstacle;

impl Node {
    /// Starts the actor that passes news on; the node's addresses are known by then.
    pub(super) async fn start_spread(self: &Arc<Self>) -> Result<()> {
        let own = self.settings.node.box_id.clone();
        let peer = self.peer_addr.get().copied().unwrap_or(self.settings.peer.listen);
        let record = BoxRecord {
            life: self.life,
            version: 1,
            data_centre: self.settings.node.data_centre.clone(),
            peer,
            entry: self.entry_addr.get().copied(),
            state: BoxState::Live,
        };
        let arguments = GossipArguments {
            own,
            record,
            seeds: self.settings.replicas.clone(),
            peers: self.peers.clone(),
            board: self.board.clone(),
        };
        let spawned = Actor::spawn(None, GossipActor, arguments).await;
        let (actor, end) = spawned.wrap_err("start the spreading of news")?;
        let _ = self.spread.set(actor);
        let node = self.clone();
        tokio::spawn(async move {
            let _ = end.await;
            node.fail(eyre!("{}: the spreading of news", Obstacle::ActorEnded));
        });
        Ok(())
    }

    /// Takes gossip; `None` while the node starts.
    pub(crate) async fn hear_gossip(&self, gossip: Gossip) -> Option<MembershipUpdates> {
        let actor = self.spread.get()?;
        let hear = |port| GossipMessage::Receive(gossip, Some(port));
        match actor.call(hear, Some(ACTOR_TIME)).await {
            Ok(CallResult::Success(news)) => Some(news),
            _ => None,
        }
    }

    /// Takes word of a backend server's coming or going, and has it passed on.
    pub(crate) fn hear_backend(&self, id: BackendId, news: BackendReport) {
        if let Some(actor) = self.spread.get() {
            let _ = actor.cast(GossipMessage::Backend(id, news));
        }
    }

    /// Tells the other boxes that this one drains.
    pub(crate) fn say_leaving(&self) {
        if let Some(actor) = self.spread.get() {
            let _ = actor.cast(GossipMessage::Leave);
        }
    }

    /// Where a box is reached by nodes: the settings' word goes before the box's own.
    pub(crate) fn peer_address(&self, box_id: &BoxId) -> Option<SocketAddr> {
        let set = self.settings.replicas.get(box_id).copied();
        set.or_else(|| self.board.boxes.load().get(box_id).map(|record| record.peer))
    }
}
