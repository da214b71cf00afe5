//! How a node proposes commands, wherever the leader is.
//!
//! Every command may be proposed again: a change carries its id, an attempt its own, kept work its
//! key. So a call that got no answer is simply made again, at another replica, until its time is up.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::directory::Directory;
use super::driver::Unanswered;
use super::message::MemberChange;
use super::replica::Replica;
use crate::control::demand::{DemandReply, DemandRequest};
use crate::control::heartbeat::{BoxHeartbeat, HeartbeatReply};
use crate::control::proxies::{ProxyReply, ProxyRequest};
use crate::control::share::ShareRequest;
use crate::control::throttle::{ThrottleReply, ThrottleRequest};
use crate::decide::intervals::{MAX_REPLY_WAIT, crash_reply_wait};
use crate::decide::origins::{OriginAnswer, OriginRequest};
use crate::decide::share::Share;
use crate::ids::{BoxId, TeamName};
use crate::peer::packed::Packed;
use crate::peer::{Peers, method};
use crate::relay::list::{PackedParts, PartId};
use crate::state::work::{WorkId, WorkView};
use crate::state::{Command, Reply};
use crate::sync::lock;

/// How long one replica is waited for.
const CALL_TIME: Duration = Duration::from_millis(1_500);

/// Pause before asking again when no replica leads.
const PAUSE: Duration = Duration::from_millis(40);

/// No replica answered in time. The command may or may not be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the replicated group did not answer in time")]
pub struct NoGroup;

/// A node's way to the group.
#[derive(Clone)]
pub struct Access {
    own: BoxId,
    local: Option<Replica>,
    peers: Peers,
    directory: Arc<Directory>,
    leader: Arc<Mutex<Option<BoxId>>>,
    /// The leader that answered last.
    answered: Arc<Mutex<Option<BoxId>>>,
}

impl Access {
    /// A way to the group: through this process where it runs a replica, and over the network.
    pub fn new(
        own: BoxId,
        local: Option<Replica>,
        peers: Peers,
        directory: Arc<Directory>,
    ) -> Self {
        let (leader, answered) = (Arc::default(), Arc::default());
        Self { own, local, peers, directory, leader, answered }
    }

    /// This process's replica.
    pub fn local(&self) -> Option<&Replica> {
        self.local.as_ref()
    }

    /// Where the replicas are.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// # Errors
    /// When `limit` is over; the command may still be applied.
    pub async fn propose(&self, command: Command, limit: Duration) -> Result<Reply, NoGroup> {
        self.until_answered(method::PROPOSE, &command, limit, |_| CALL_TIME).await
    }

    /// Changes the group's members.
    ///
    /// # Errors
    /// When `limit` is over, or the change does not fit until then.
    pub async fn change_members(
        &self,
        change: &MemberChange,
        limit: Duration,
    ) -> Result<(), NoGroup> {
        self.until_answered(method::CHANGE_MEMBERS, change, limit, |_| CALL_TIME).await
    }

    /// Gives the leader word of this box and takes what it has to say.
    ///
    /// # Errors
    /// When `limit` is over.
    pub(crate) async fn beat(
        &self,
        beat: &BoxHeartbeat,
        limit: Duration,
    ) -> Result<HeartbeatReply, NoGroup> {
        let reply_wait = |unanswered| match beat.quarantine.crashes.is_empty() {
            true => MAX_REPLY_WAIT,
            false => crash_reply_wait(unanswered),
        };
        let answer = self.until_answered(method::BEAT, &Packed(beat), limit, reply_wait).await;
        let Packed(mut reply): Packed<HeartbeatReply> = answer?;
        if let (Some(data_centre), Some(leader)) = (reply.data_centre.take(), self.leader()) {
            self.directory.note_site(&leader, data_centre);
        }
        Ok(reply)
    }

    /// Asks the leader for what some teams may use.
    ///
    /// # Errors
    /// When `limit` is over.
    pub(crate) async fn demand(
        &self,
        demand: &DemandRequest,
        limit: Duration,
    ) -> Result<DemandReply, NoGroup> {
        self.until_answered(method::DEMAND, demand, limit, |_| MAX_REPLY_WAIT).await
    }

    /// Reports limits that backend servers named, and takes leases of them.
    ///
    /// # Errors
    /// When `limit` is over.
    pub(crate) async fn throttle(
        &self,
        request: &ThrottleRequest,
        limit: Duration,
    ) -> Result<ThrottleReply, NoGroup> {
        self.until_answered(method::THROTTLE, request, limit, |_| MAX_REPLY_WAIT).await
    }

    /// Reports this box to the leader and has it assign proxies. Asks only the leader that is known: one of a former
    /// release does not know the method, which must not have the box look for another leader.
    ///
    /// # Errors
    /// When no leader is known, or it does not answer within `limit`.
    pub(crate) async fn assign_proxies(
        &self,
        report: &ProxyRequest,
        limit: Duration,
    ) -> Result<ProxyReply, NoGroup> {
        let (_, addr) = self
            .leader()
            .and_then(|id| Some((id.clone(), self.directory.find(&id)?)))
            .ok_or(NoGroup)?;
        let call = self.peers.call::<_, Result<ProxyReply, Unanswered>>(
            addr,
            method::PROXIES,
            report,
            limit,
        );
        call.await.ok().and_then(Result::ok).ok_or(NoGroup)
    }

    /// Asks the leader which release began a stream; only one that is known.
    ///
    /// # Errors
    /// When no leader is known, or it does not answer within `limit`.
    pub(crate) async fn stream_origin(
        &self,
        request: &OriginRequest,
        limit: Duration,
    ) -> Result<OriginAnswer, NoGroup> {
        let addr = self.leader().and_then(|id| self.directory.find(&id)).ok_or(NoGroup)?;
        let request = Packed(request);
        let call = self.peers.call::<_, Result<Packed<OriginAnswer>, Unanswered>>(
            addr,
            method::STREAM_ORIGIN,
            &request,
            limit,
        );
        match call.await {
            Ok(Ok(Packed(answer))) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(NoGroup),
        }
    }

    /// Asks the leader for parts of the list of backend servers.
    ///
    /// # Errors
    /// When `limit` is over.
    pub(crate) async fn list_parts(
        &self,
        wanted: &[PartId],
        limit: Duration,
    ) -> Result<PackedParts, NoGroup> {
        let wanted = Packed(wanted);
        self.until_answered(method::LIST_PARTS, &wanted, limit, |_| CALL_TIME).await
    }

    /// Reads kept work at the leader.
    ///
    /// # Errors
    /// When `limit` is over.
    pub async fn read_work(
        &self,
        id: &WorkId,
        limit: Duration,
    ) -> Result<Option<WorkView>, NoGroup> {
        self.until_answered(method::READ_WORK, id, limit, |_| CALL_TIME).await
    }

    /// Asks the leader for shares of the teams' limits.
    ///
    /// # Errors
    /// When `limit` is over.
    pub(crate) async fn lease_shares(
        &self,
        request: &ShareRequest,
        limit: Duration,
    ) -> Result<BTreeMap<TeamName, Share>, NoGroup> {
        self.until_answered(method::SHARE, request, limit, |_| CALL_TIME).await
    }

    /// Asks until `limit`; each replica is waited for no longer than `call_time`, by the number of calls without an
    /// answer before.
    async fn until_answered<T, R>(
        &self,
        method: &'static str,
        body: &T,
        limit: Duration,
        call_time: impl Fn(u32) -> Duration,
    ) -> Result<R, NoGroup>
    where
        T: Serialize + Sync,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + limit;
        let (mut turn, mut unanswered) = (0, 0);
        while Instant::now() < deadline {
            let (box_id, addr) = self.target(turn).ok_or(NoGroup)?;
            let left =
                deadline.saturating_duration_since(Instant::now()).min(call_time(unanswered));
            let call = self.peers.call::<T, Result<R, Unanswered>>(addr, method, body, left);
            match call.await {
                Ok(Ok(reply)) => {
                    self.note_answered(&box_id);
                    self.remember(Some(box_id));
                    return Ok(reply);
                }
                Ok(Err(Unanswered::NotLeader(Some(leader)))) if leader != box_id => {
                    self.remember(Some(leader));
                }
                refused => {
                    self.remember(None);
                    turn += 1;
                    unanswered += u32::from(refused.is_err());
                    tokio::time::sleep_until(deadline.min(Instant::now() + PAUSE)).await;
                }
            }
        }
        Err(NoGroup)
    }

    /// The leader, where known.
    pub(crate) fn leader(&self) -> Option<BoxId> {
        lock(&self.leader).clone()
    }

    /// The leader where known, else the replicas in turn, beginning with this box's own.
    fn target(&self, turn: usize) -> Option<(BoxId, SocketAddr)> {
        let known = self.leader().and_then(|id| Some((id.clone(), self.directory.find(&id)?)));
        if known.is_some() {
            return known;
        }
        let all = self.directory.all();
        let own = all.iter().position(|(box_id, _)| *box_id == self.own).unwrap_or(0);
        let place = (own + turn) % all.len().max(1);
        all.into_iter().nth(place)
    }

    /// A line for another leader than the one before.
    fn note_answered(&self, box_id: &BoxId) {
        let mut answered = lock(&self.answered);
        if answered.as_ref() != Some(box_id) {
            tracing::info!(event = "leader_followed", replica = %box_id);
            *answered = Some(box_id.clone());
        }
    }

    /// Has the next call go to this replica first.
    pub(crate) fn remember(&self, leader: Option<BoxId>) {
        *lock(&self.leader) = leader;
    }
}
