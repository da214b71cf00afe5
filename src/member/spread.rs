//! The actor that passes news on and probes boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::table::{BackendNews, BoxRecord, BoxState, News, Table};
use crate::blackboard::Blackboard;
use crate::blackboard::fleet::Leaving;
use crate::ids::{BackendId, BoxId, Incarnation};
use crate::peer::{Peers, method};

/// Boxes that news is passed on to at a time.
const FAN_OUT: usize = 3;

/// Boxes asked to look at a silent one before it is suspected.
const WITNESSES: usize = 2;

/// Time between two rounds of passing news on, when there is some.
const ROUND_TIME: Duration = Duration::from_millis(100);

/// Time between two probes.
const PROBE_TIME: Duration = Duration::from_millis(1_000);

/// How long a probed box may take.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// What nodes exchange.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: BoxId,
    /// Its news.
    pub news: News,
    /// The fingerprint of all it knows, when it wants to compare.
    pub digest: Option<u64>,
}

/// What the actor takes.
pub enum SpreadMessage {
    /// News from another box; answered with all that is known when the fingerprints differ.
    Hear(Gossip, Option<RpcReplyPort<News>>),
    /// Word of a backend server, from the platform, the server itself or an operator.
    Backend(BackendId, BackendNews),
    /// The own box begins to drain.
    Leave,
    /// A probe ended: whether the box answered, itself or to a witness.
    Probed(BoxId, bool),
    /// Pass news on.
    Round,
    /// Probe a box.
    Probe,
}

/// What the actor starts with.
pub struct SpreadArguments {
    /// The own box.
    pub own: BoxId,
    /// Its record.
    pub record: BoxRecord,
    /// Where the other replicas are, asked until another box is known.
    pub seeds: BTreeMap<BoxId, SocketAddr>,
    /// Connections.
    pub peers: Peers,
    /// Where what is known goes.
    pub board: Arc<Blackboard>,
}

/// The actor.
pub struct Spread;

/// The actor's state.
pub struct SpreadState {
    own: BoxId,
    table: Table,
    seeds: BTreeMap<BoxId, SocketAddr>,
    peers: Peers,
    board: Arc<Blackboard>,
    epoch: Instant,
}

impl Actor for Spread {
    type Msg = SpreadMessage;
    type State = SpreadState;
    type Arguments = SpreadArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<SpreadMessage>,
        arguments: SpreadArguments,
    ) -> Result<SpreadState, ActorProcessingErr> {
        myself.send_interval(ROUND_TIME, || SpreadMessage::Round);
        myself.send_interval(PROBE_TIME, || SpreadMessage::Probe);
        let SpreadArguments { own, record, seeds, peers, board } = arguments;
        let table = Table::new(own.clone(), record);
        let state = SpreadState { own, table, seeds, peers, board, epoch: Instant::now() };
        state.publish();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<SpreadMessage>,
        message: SpreadMessage,
        state: &mut SpreadState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SpreadMessage::Hear(gossip, port) => {
                let differs = gossip.digest.is_some_and(|digest| digest != state.table.digest());
                state.hear(&gossip.news);
                let reply = if differs { state.table.all(state.now()) } else { News::default() };
                if let Some(port) = port {
                    let _ = port.send(reply);
                }
            }
            SpreadMessage::Backend(id, news) => {
                let news = News { backends: vec![(id, news)], ..News::default() };
                state.hear(&news);
            }
            SpreadMessage::Leave => {
                state.table.leave();
                state.publish();
                state.pass_on();
            }
            SpreadMessage::Probed(box_id, answered) => state.probed(&box_id, answered),
            SpreadMessage::Round => state.pass_on(),
            SpreadMessage::Probe => state.probe(&myself),
        }
        Ok(())
    }
}

impl SpreadState {
    fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Merges news, acts on what was new of it, and passes that on at once.
    fn hear(&mut self, news: &News) {
        let fresh = self.table.merge(self.now(), news);
        for (id, heard) in &fresh.backends {
            self.note_backend(id, *heard);
        }
        if !fresh.boxes.is_empty() {
            self.publish();
        }
        if !fresh.is_empty() {
            self.pass_on();
        }
    }

    fn note_backend(&self, id: &BackendId, heard: BackendNews) {
        let Some(state) = self.board.fleet.find(id) else {
            return;
        };
        let changed = match heard.left {
            Some(left) => {
                let gone = Instant::now() + Duration::from_millis(left);
                state.leave(Leaving { life: heard.life, gone })
            }
            None => state.arrive(heard.life),
        };
        if changed {
            let left = heard.left.map_or("stays".to_owned(), |left| format!("{left}ms"));
            tracing::info!(event = "backend_news", backend_server = %id, life = %heard.life, left);
        }
    }

    /// Says again what is known of backend servers: one that came into use here after the word of it
    /// would be taken for one nothing is known of.
    fn remind(&self) {
        for (id, heard) in self.table.all(self.now()).backends {
            self.note_backend(&id, heard);
        }
    }

    fn publish(&self) {
        self.board.boxes.store(Arc::new(self.table.boxes().clone()));
    }

    /// The address of a box: the settings' word goes before the box's own.
    fn address(&self, box_id: &BoxId, record: &BoxRecord) -> SocketAddr {
        self.seeds.get(box_id).copied().unwrap_or(record.peer)
    }

    /// Some boxes at random; the seeds as long as no other box is known.
    fn choose(&self, count: usize, but: Option<&BoxId>) -> Vec<SocketAddr> {
        let others = self.table.others();
        let known = others.iter().filter(|(id, _)| Some(id) != but);
        let mut addrs: Vec<_> = known.map(|(id, record)| self.address(id, record)).collect();
        if addrs.is_empty() {
            let seeds = self.seeds.iter().filter(|(id, _)| **id != self.own && Some(*id) != but);
            addrs = seeds.map(|(_, addr)| *addr).collect();
        }
        addrs.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    fn pass_on(&mut self) {
        if !self.table.is_hot() {
            return;
        }
        let targets = self.choose(FAN_OUT, None);
        if targets.is_empty() {
            return;
        }
        let news = self.table.take_hot(self.now());
        let gossip = Gossip { from: self.own.clone(), news, digest: None };
        for addr in targets {
            let (peers, gossip) = (self.peers.clone(), gossip.clone());
            tokio::spawn(async move {
                let sent = peers.call::<_, News>(addr, method::GOSSIP, &gossip, ANSWER_TIME).await;
                if let Err(error) = sent {
                    tracing::debug!(event = "gossip_failed", %error);
                }
            });
        }
    }

    /// Probes one box at random and compares all that is known with it.
    fn probe(&mut self, myself: &ActorRef<SpreadMessage>) {
        self.table.tick(self.now());
        self.publish();
        self.remind();
        let gossip = Gossip {
            from: self.own.clone(),
            news: News::default(),
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

    fn ask_seed(&self, myself: &ActorRef<SpreadMessage>, gossip: Gossip) {
        for addr in self.choose(1, None) {
            let (peers, myself, gossip) = (self.peers.clone(), myself.clone(), gossip.clone());
            tokio::spawn(async move {
                let answer =
                    peers.call::<_, News>(addr, method::GOSSIP, &gossip, ANSWER_TIME).await;
                if let Ok(news) = answer {
                    let heard = Gossip { from: gossip.from, news, digest: None };
                    let _ = myself.cast(SpreadMessage::Hear(heard, None));
                }
            });
        }
    }

    fn probed(&mut self, box_id: &BoxId, answered: bool) {
        if answered {
            return;
        }
        let now = self.now();
        let state = self.table.boxes().get(box_id).map(|record| record.state);
        match state {
            Some(BoxState::Leaving) => self.table.note_gone(now, box_id),
            Some(BoxState::Live) => self.table.suspect(now, box_id),
            Some(BoxState::Suspect | BoxState::Gone) | None => return,
        }
        tracing::info!(event = "box_silent", box_id = %box_id);
        self.publish();
        self.pass_on();
    }
}

/// One probe under way.
struct Probe {
    peers: Peers,
    myself: ActorRef<SpreadMessage>,
    addr: SocketAddr,
    witnesses: Vec<SocketAddr>,
}

impl Probe {
    async fn run(self, box_id: BoxId, gossip: Gossip) {
        let direct =
            self.peers.call::<_, News>(self.addr, method::GOSSIP, &gossip, ANSWER_TIME).await;
        let answered = match direct {
            Ok(news) => {
                let heard = Gossip { from: gossip.from, news, digest: None };
                let _ = self.myself.cast(SpreadMessage::Hear(heard, None));
                true
            }
            Err(_) => self.ask_witnesses().await,
        };
        let _ = self.myself.cast(SpreadMessage::Probed(box_id, answered));
    }

    async fn ask_witnesses(&self) -> bool {
        for witness in &self.witnesses {
            let limit = ANSWER_TIME * 2;
            let seen = self.peers.call::<_, bool>(*witness, method::PROBE, &self.addr, limit).await;
            if seen == Ok(true) {
                return true;
            }
        }
        false
    }
}

/// Looks at a box on behalf of another: whether it answers.
pub(crate) async fn witness(peers: &Peers, own: &BoxId, addr: SocketAddr) -> bool {
    let gossip = Gossip { from: own.clone(), news: News::default(), digest: None };
    peers.call::<_, News>(addr, method::GOSSIP, &gossip, ANSWER_TIME).await.is_ok()
}

/// Word that a backend server's life leaves within `left`, or is there.
pub(crate) fn word(life: Incarnation, left: Option<Duration>) -> BackendNews {
    BackendNews { life, left: left.map(|left| left.as_millis() as u64) }
}
