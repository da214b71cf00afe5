//! The gossip actor: disseminates membership updates and probes boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::table::{BackendReport, BoxRecord, BoxState, MembershipTable, MembershipUpdates};
use crate::blackboard::Blackboard;
use crate::blackboard::fleet::Leaving;
use crate::ids::{BackendId, BoxId, Incarnation};
use crate::peer::{Peers, method};

/// Number of boxes that updates are sent to in one round.
const FANOUT: usize = 3;

/// Number of boxes that probe an unresponsive one indirectly before it is suspected.
const WITNESSES: usize = 2;

/// Interval between gossip rounds; a round without pending updates sends nothing.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Response timeout of gossip calls and direct probes.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The gossip message that nodes exchange.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// The sending box.
    pub from: BoxId,
    /// Updates from the sender.
    pub news: MembershipUpdates,
    /// The digest of the sender's membership table, if it asks for the receiver's records when they differ.
    pub digest: Option<u64>,
}

/// Messages to the gossip actor.
pub enum GossipMessage {
    /// Gossip from another box. The reply holds the whole membership table if the digests differ, and is
    /// empty otherwise.
    Receive(Gossip, Option<RpcReplyPort<MembershipUpdates>>),
    /// A report about a backend server, from the platform, the server itself or an operator.
    Backend(BackendId, BackendReport),
    /// This box begins to drain.
    Leave,
    /// The result of a probe: whether the box responded, directly or to a witness.
    Probed(BoxId, bool),
    /// Timer: send pending updates.
    Round,
    /// Timer: probe a box.
    Probe,
}

/// Startup arguments of the gossip actor.
pub struct GossipArguments {
    /// The ID of this box.
    pub own: BoxId,
    /// The membership record of this box.
    pub record: BoxRecord,
    /// Addresses of replicas from the settings, contacted as long as no other box is known.
    pub seeds: BTreeMap<BoxId, SocketAddr>,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Where the known boxes and the state of backend servers are published.
    pub board: Arc<Blackboard>,
}

/// The gossip actor.
pub struct GossipActor;

/// The state of the gossip actor.
pub struct GossipState {
    own: BoxId,
    table: MembershipTable,
    seeds: BTreeMap<BoxId, SocketAddr>,
    peers: Peers,
    board: Arc<Blackboard>,
    /// The origin of the membership table's times.
    epoch: Instant,
}

impl Actor for GossipActor {
    type Msg = GossipMessage;
    type State = GossipState;
    type Arguments = GossipArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<GossipMessage>,
        arguments: GossipArguments,
    ) -> Result<GossipState, ActorProcessingErr> {
        myself.send_interval(ROUND_INTERVAL, || GossipMessage::Round);
        myself.send_interval(PROBE_INTERVAL, || GossipMessage::Probe);
        let GossipArguments { own, record, seeds, peers, board } = arguments;
        let table = MembershipTable::new(own.clone(), record);
        let state = GossipState { own, table, seeds, peers, board, epoch: Instant::now() };
        state.publish();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<GossipMessage>,
        message: GossipMessage,
        state: &mut GossipState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            GossipMessage::Receive(gossip, port) => {
                let differs = gossip.digest.is_some_and(|digest| digest != state.table.digest());
                state.receive(&gossip.news);
                let reply = if differs {
                    state.table.snapshot(state.now())
                } else {
                    MembershipUpdates::default()
                };
                if let Some(port) = port {
                    let _ = port.send(reply);
                }
            }
            GossipMessage::Backend(id, report) => {
                let news = MembershipUpdates {
                    backends: vec![(id, report)],
                    ..MembershipUpdates::default()
                };
                state.receive(&news);
            }
            GossipMessage::Leave => {
                state.table.mark_leaving();
                state.publish();
                state.send_pending();
            }
            GossipMessage::Probed(box_id, answered) => state.handle_probe_result(&box_id, answered),
            GossipMessage::Round => state.send_pending(),
            GossipMessage::Probe => state.probe(&myself),
        }
        Ok(())
    }
}

impl GossipState {
    fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Merges updates, applies those that changed the table, and gossips them at once.
    fn receive(&mut self, news: &MembershipUpdates) {
        let changed = self.table.merge(self.now(), news);
        for (id, report) in &changed.backends {
            self.apply_backend_report(id, *report);
        }
        if !changed.boxes.is_empty() {
            self.publish();
        }
        if !changed.is_empty() {
            self.send_pending();
        }
    }

    /// Applies a report to a backend server that this box uses, and logs it if it changed something.
    fn apply_backend_report(&self, id: &BackendId, report: BackendReport) {
        let Some(state) = self.board.fleet.find(id) else {
            return;
        };
        let changed = match report.left {
            Some(left) => {
                let gone = Instant::now() + Duration::from_millis(left);
                state.leave(Leaving { life: report.life, gone })
            }
            None => state.arrive(report.life),
        };
        if changed {
            let left = report.left.map_or("stays".to_owned(), |left| format!("{left}ms"));
            tracing::info!(event = "backend_news", backend_server = %id, life = %report.life, left);
        }
    }

    /// Applies the stored reports about backend servers again. A backend server may come into use here after
    /// its report arrived, and would otherwise lack it.
    fn reapply_backend_reports(&self) {
        for (id, report) in self.table.snapshot(self.now()).backends {
            self.apply_backend_report(&id, report);
        }
    }

    /// Publishes the known boxes to the rest of the node.
    fn publish(&self) {
        self.board.boxes.store(Arc::new(self.table.boxes().clone()));
    }

    /// Returns the address of a box. An address from the settings takes precedence over the box's own record.
    fn address(&self, box_id: &BoxId, record: &BoxRecord) -> SocketAddr {
        self.seeds.get(box_id).copied().unwrap_or(record.peer)
    }

    /// Picks up to `count` random boxes other than `except`, or seeds if no such box is known.
    fn choose(&self, count: usize, except: Option<&BoxId>) -> Vec<SocketAddr> {
        let others = self.table.others();
        let known = others.iter().filter(|(id, _)| Some(id) != except);
        let mut addrs: Vec<_> = known.map(|(id, record)| self.address(id, record)).collect();
        if addrs.is_empty() {
            let seeds = self.seeds.iter().filter(|(id, _)| **id != self.own && Some(*id) != except);
            addrs = seeds.map(|(_, addr)| *addr).collect();
        }
        addrs.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    /// Sends the pending updates to a few random boxes.
    fn send_pending(&mut self) {
        if !self.table.has_pending() {
            return;
        }
        let targets = self.choose(FANOUT, None);
        if targets.is_empty() {
            return;
        }
        let news = self.table.take_pending(self.now());
        let gossip = Gossip { from: self.own.clone(), news, digest: None };
        for addr in targets {
            let (peers, gossip) = (self.peers.clone(), gossip.clone());
            tokio::spawn(async move {
                let sent = peers
                    .call::<_, MembershipUpdates>(addr, method::GOSSIP, &gossip, RESPONSE_TIMEOUT)
                    .await;
                if let Err(error) = sent {
                    tracing::debug!(event = "gossip_failed", %error);
                }
            });
        }
    }

    /// Expires old records, then probes a random box and compares membership tables with it.
    ///
    /// As long as no other box is known, asks a seed for its table instead.
    fn probe(&mut self, myself: &ActorRef<GossipMessage>) {
        self.table.expire(self.now());
        self.publish();
        self.reapply_backend_reports();
        let gossip = Gossip {
            from: self.own.clone(),
            news: MembershipUpdates::default(),
            digest: Some(self.table.digest()),
        };
        let others = self.table.others();
        let Some((box_id, record)) = others.choose(&mut rand::rng()) else {
            self.ask_seed(myself, gossip);
            return;
        };
        let addr = self.address(box_id, record);
        let witnesses = self.choose(WITNESSES, Some(box_id));
        let probe = Probe { peers: self.peers.clone(), myself: myself.clone(), addr, witnesses };
        tokio::spawn(probe.run(box_id.clone(), gossip));
    }

    /// Requests the membership table of a random seed.
    fn ask_seed(&self, myself: &ActorRef<GossipMessage>, gossip: Gossip) {
        for addr in self.choose(1, None) {
            let (peers, myself, gossip) = (self.peers.clone(), myself.clone(), gossip.clone());
            tokio::spawn(async move {
                let answer = peers
                    .call::<_, MembershipUpdates>(addr, method::GOSSIP, &gossip, RESPONSE_TIMEOUT)
                    .await;
                if let Ok(news) = answer {
                    let reply = Gossip { from: gossip.from, news, digest: None };
                    let _ = myself.cast(GossipMessage::Receive(reply, None));
                }
            });
        }
    }

    /// Handles the result of a probe: a live box that did not respond becomes suspect, a leaving one gone.
    fn handle_probe_result(&mut self, box_id: &BoxId, answered: bool) {
        if answered {
            return;
        }
        let now = self.now();
        let state = self.table.boxes().get(box_id).map(|record| record.state);
        match state {
            Some(BoxState::Leaving) => self.table.mark_gone(now, box_id),
            Some(BoxState::Live) => self.table.mark_suspect(now, box_id),
            Some(BoxState::Suspect | BoxState::Gone) | None => return,
        }
        tracing::info!(event = "box_silent", box_id = %box_id);
        self.publish();
        self.send_pending();
    }
}

/// A probe of one box in progress.
struct Probe {
    peers: Peers,
    myself: ActorRef<GossipMessage>,
    addr: SocketAddr,
    witnesses: Vec<SocketAddr>,
}

impl Probe {
    /// Probes the box directly, then through witnesses, and reports the result to the actor.
    async fn run(self, box_id: BoxId, gossip: Gossip) {
        let direct = self
            .peers
            .call::<_, MembershipUpdates>(self.addr, method::GOSSIP, &gossip, RESPONSE_TIMEOUT)
            .await;
        let answered = match direct {
            Ok(news) => {
                let reply = Gossip { from: gossip.from, news, digest: None };
                let _ = self.myself.cast(GossipMessage::Receive(reply, None));
                true
            }
            Err(_) => self.ask_witnesses().await,
        };
        let _ = self.myself.cast(GossipMessage::Probed(box_id, answered));
    }

    /// Asks the witnesses one after the other until the box responds to one of them.
    async fn ask_witnesses(&self) -> bool {
        for witness in &self.witnesses {
            let limit = RESPONSE_TIMEOUT * 2;
            let seen = self.peers.call::<_, bool>(*witness, method::PROBE, &self.addr, limit).await;
            if seen == Ok(true) {
                return true;
            }
        }
        false
    }
}

/// Probes a box on behalf of another one and returns whether it responded.
pub(crate) async fn witness(peers: &Peers, own: &BoxId, addr: SocketAddr) -> bool {
    let gossip = Gossip { from: own.clone(), news: MembershipUpdates::default(), digest: None };
    peers
        .call::<_, MembershipUpdates>(addr, method::GOSSIP, &gossip, RESPONSE_TIMEOUT)
        .await
        .is_ok()
}

/// Creates a report that a backend server leaves within `left`, or is present if `left` is `None`.
pub(crate) fn backend_report(life: Incarnation, left: Option<Duration>) -> BackendReport {
    BackendReport { life, left: left.map(|left| left.as_millis() as u64) }
}
