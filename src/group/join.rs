//! How a replica that knows only seeds comes to belong to the group, and how the leader replaces
//! members that are gone.
//!
//! At the very first start the seeds name the first members: once all of them have answered who they
//! are, each writes the same first entry. Every other replica, and every one that lost its disk, asks
//! to be let in as a learner. The leader makes a level learner a voter while votes are missing, and
//! lets a voter go that has been silent for long, but only when a level learner can take its place.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::time::MissedTickBehavior;

use super::access::Access;
use super::driver::GroupMessage;
use super::message::{MemberChange, Members};
use crate::ids::BoxId;
use crate::peer::method::GroupStatus;
use crate::peer::{Peers, method};
use crate::settings::GroupSettings;

/// Time between two looks while the replica is no voter, or leads.
const LOOK: Duration = Duration::from_millis(250);

/// How long one replica may take to say who it is.
const ASK_TIME: Duration = Duration::from_millis(400);

/// How long a change of members may take.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);

/// How long this process's own actor may take.
const ACTOR_TIME: Duration = Duration::from_millis(2_000);

/// How long a voter is silent before a level learner takes its place, in milliseconds. Longer than a
/// restart takes.
const SILENT_TIME: u64 = 6_000;

/// What the joining needs.
pub struct Joiner {
    /// This process's replica.
    pub replica: ActorRef<GroupMessage>,
    /// The way to the group.
    pub access: Access,
    /// Connections to other replicas.
    pub peers: Peers,
    /// The settings of the group.
    pub settings: GroupSettings,
}

impl Joiner {
    /// Keeps the replica a member, and at the leader the members complete, until dropped.
    pub async fn run(self) {
        let mut timer = tokio::time::interval(LOOK);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let Some(own) = self.status().await else {
                continue;
            };
            if own.role == "leader" {
                self.mend(&own).await;
            } else if !is_voter(&own.members, &own) || own.leader.is_none() {
                self.join(&own).await;
            }
        }
    }

    async fn status(&self) -> Option<GroupStatus> {
        match self.replica.call(GroupMessage::Status, Some(ACTOR_TIME)).await {
            Ok(CallResult::Success(status)) => Some(status),
            _ => None,
        }
    }

    /// Forms the group, or asks to be let into the one there is.
    async fn join(&self, own: &GroupStatus) {
        let others = self.ask_others(own).await;
        let formed = others.iter().filter(|it| it.formed && it.leader.is_some());
        let Some(newest) = formed.max_by_key(|it| (it.term, it.commit)) else {
            if !own.formed && self.settings.first_start {
                self.form(own, &others).await;
            }
            return;
        };
        if is_voter(&newest.members, own) {
            // The leader brings the log.
            return;
        }
        match newest.members.incarnation(&own.box_id) {
            Some(life) if life == own.life => {}
            Some(life) => {
                tracing::info!(event = "former_life_removed", box_id = %own.box_id, life = %life);
                self.change(MemberChange::Remove(own.box_id.clone())).await;
            }
            None => {
                tracing::info!(event = "joining", box_id = %own.box_id, life = %own.life);
                self.change(MemberChange::AddLearner(own.box_id.clone(), own.life)).await;
            }
        }
    }

    async fn ask_others(&self, own: &GroupStatus) -> Vec<GroupStatus> {
        let all = self.access.directory().all();
        let others = all.into_iter().filter(|(box_id, _)| *box_id != own.box_id);
        let asked = others.map(|(_, addr)| self.ask(addr));
        futures_util::future::join_all(asked).await.into_iter().flatten().collect()
    }

    async fn ask(&self, addr: SocketAddr) -> Option<GroupStatus> {
        let answer = self.peers.call(addr, method::GROUP_STATUS, &(), ASK_TIME).await;
        match answer {
            Ok(status) => Some(status),
            Err(error) => {
                tracing::debug!(event = "replica_silent", %addr, %error);
                None
            }
        }
    }

    /// Writes the first entry of a new group, if this box is a seed and all seeds have answered.
    async fn form(&self, own: &GroupStatus, others: &[GroupStatus]) {
        let seeds: BTreeSet<BoxId> =
            self.access.directory().seeds().into_iter().map(|(box_id, _)| box_id).collect();
        if !seeds.contains(&own.box_id) {
            return;
        }
        // A seed that has written its entry already says which lives it meant.
        let formed = others.iter().find(|it| it.formed).map(|it| it.members.clone());
        let members = formed.unwrap_or_else(|| first_members(own, others, &seeds));
        if members.voters.len() < seeds.len() {
            return;
        }
        let form = |port| GroupMessage::Form(members.clone(), port);
        match self.replica.call(form, Some(ACTOR_TIME)).await {
            Ok(CallResult::Success(Ok(()))) => {
                tracing::info!(event = "group_formed", voters = members.voters.len());
            }
            Ok(CallResult::Success(Err(reason))) => {
                tracing::warn!(event = "group_not_formed", reason);
            }
            _ => tracing::warn!(event = "group_not_formed", reason = "the replica did not answer"),
        }
    }

    /// At the leader: one step towards a full set of voters that answer.
    async fn mend(&self, own: &GroupStatus) {
        let level = own.members.learners.keys().find(|id| is_level(own, id)).cloned();
        let Some(learner) = level else {
            return;
        };
        if own.members.voters.len() < self.settings.voters() {
            tracing::info!(event = "replica_promoted", box_id = %learner);
            self.change(MemberChange::Promote(learner)).await;
            return;
        }
        let voters = own.members.voters.keys().filter(|id| **id != own.box_id);
        let silent = |id: &BoxId| own.silent.get(id).copied().unwrap_or(0);
        let gone = voters.max_by_key(|id| silent(id)).filter(|id| silent(id) > SILENT_TIME);
        if let Some(gone) = gone.cloned() {
            tracing::warn!(event = "silent_replica_removed", box_id = %gone, in_favour = %learner);
            self.change(MemberChange::Remove(gone)).await;
        }
    }

    async fn change(&self, change: MemberChange) {
        if self.access.change_members(&change, CHANGE_TIME).await.is_err() {
            tracing::warn!(event = "members_unchanged", ?change);
        }
    }
}

fn is_voter(members: &Members, own: &GroupStatus) -> bool {
    members.voters.get(&own.box_id) == Some(&own.life)
}

fn first_members(own: &GroupStatus, others: &[GroupStatus], seeds: &BTreeSet<BoxId>) -> Members {
    let all = others.iter().chain(std::iter::once(own));
    let named = all.filter(|it| seeds.contains(&it.box_id));
    let voters = named.map(|it| (it.box_id.clone(), it.life)).collect();
    Members { voters, ..Members::default() }
}

/// Whether a learner holds all that is committed and answers.
fn is_level(own: &GroupStatus, learner: &BoxId) -> bool {
    let matched = own.matched.get(learner).is_some_and(|index| *index >= own.commit);
    let answers = own.silent.get(learner).is_some_and(|silent| *silent < SILENT_TIME / 4);
    matched && answers
}
