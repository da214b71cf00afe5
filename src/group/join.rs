//! How a replica that knows only seeds comes to belong to the group, and how the leader replaces
//! members that are gone.
//!
//! At the very first start the seeds name the first members: once all of them have answered who they
//! are, each writes the same first entry. Every other replica, and every one that lost its disk, asks
//! to be let in as a learner. The leader carries out what [`GroupView`] decides. A replica that stops
//! announces it, and waits a moment for a learner to get its vote.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;

use super::access::Access;
use super::driver::GroupMessage;
use super::message::{MemberChange, Members};
use super::replica::Replica;
use crate::blackboard::Blackboard;
use crate::decide::membership::{GroupView, MemberState, Step};
use crate::ids::{BoxId, Incarnation};
use crate::peer::method::GroupStatus;
use crate::peer::{Peers, method};
use crate::settings::GroupSettings;
use crate::units::Millis;

/// Time between two looks while the replica is no voter, or leads.
const LOOK: Duration = Duration::from_millis(250);

/// How long one replica may take to say who it is.
const ASK_TIME: Duration = Duration::from_millis(400);

/// How long a change of members may take.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);

/// How long this process's own actor may take.
const ACTOR_TIME: Duration = Duration::from_millis(2_000);

/// How long a replica that stops waits for a learner to get its vote.
const HAND_OVER_TIME: Duration = Duration::from_millis(4_000);

/// Time between two looks at whether the vote was handed over.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(100);

/// What the joining needs.
pub struct Joiner {
    /// This process's replica.
    pub replica: Replica,
    /// The way to the group.
    pub access: Access,
    /// Connections to other replicas.
    pub peers: Peers,
    /// The settings of the group.
    pub settings: GroupSettings,
    /// Where it is noted how many losses the group tolerates.
    pub board: Arc<Blackboard>,
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
                // A member that is replaced takes two changes; the second one follows at once.
                if self.mend(&own).await {
                    timer.reset_immediately();
                }
                continue;
            }
            self.board.note_tolerated_losses(None);
            let is_stopping = own.stopping.contains(&own.box_id);
            if !is_stopping && (!is_voter(&own.members, &own) || own.leader.is_none()) {
                self.join(&own).await;
            }
        }
    }

    /// Announces that this replica stops, and waits until a learner has its vote, or no learner can get it.
    pub async fn hand_over(&self) {
        if self.replica.tell(GroupMessage::AnnounceStop).is_err() {
            return;
        }
        let began = Instant::now();
        while began.elapsed() < HAND_OVER_TIME {
            let Some(own) = self.status().await else {
                return;
            };
            let mut known = self.ask_others(&own).await;
            known.push(own.clone());
            let formed = known.iter().filter(|it| it.formed);
            let Some(newest) = formed.max_by_key(|it| (it.term, it.commit)) else {
                return;
            };
            if !is_voter(&newest.members, &own) {
                tracing::info!(event = "vote_handed_over", box_id = %own.box_id);
                return;
            }
            let voters = newest.members.voters.len();
            if newest.members.learners.is_empty() && voters <= self.settings.voters() {
                return;
            }
            tokio::time::sleep(HAND_OVER_INTERVAL).await;
        }
        tracing::warn!(event = "vote_not_handed_over");
    }

    async fn status(&self) -> Option<GroupStatus> {
        self.replica.ask(GroupMessage::Status, ACTOR_TIME).await.ok()
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
        self.access.remember(newest.leader.clone());
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
        match self.replica.ask(form, ACTOR_TIME).await {
            Ok(Ok(())) => {
                tracing::info!(event = "group_formed", voters = members.voters.len());
            }
            Ok(Err(reason)) => {
                tracing::warn!(event = "group_not_formed", reason);
            }
            Err(reason) => tracing::warn!(event = "group_not_formed", %reason),
        }
    }

    /// At the leader: one change towards a full set of voters that answer. Returns whether one was made.
    async fn mend(&self, own: &GroupStatus) -> bool {
        let view = view(own, self.settings.voters());
        self.note_tolerance(&view);
        let Some(step) = view.next_step() else {
            return false;
        };
        self.access.remember(Some(own.box_id.clone()));
        match step {
            Step::Promote { learner, doubted } => {
                let doubted = doubted.as_ref().map(tracing::field::display);
                tracing::info!(event = "replica_promoted", box_id = %learner, doubted);
                self.change(MemberChange::Promote(learner)).await
            }
            Step::Remove { member, cause } => {
                let silent_ms = own.silent.get(&member);
                tracing::warn!(event = "replica_removed", box_id = %member, %cause, silent_ms);
                self.change(MemberChange::Remove(member)).await
            }
        }
    }

    /// Notes how many more voters may be lost, with a line when that changes.
    fn note_tolerance(&self, view: &GroupView) {
        let losses = view.tolerated_losses();
        if !self.board.note_tolerated_losses(Some(losses)) {
            return;
        }
        let (wanted, voters) = (self.settings.failures, view.voters.len());
        if losses < wanted as usize {
            tracing::warn!(event = "group_tolerance_low", losses, wanted, voters);
        } else {
            tracing::info!(event = "group_tolerance", losses, wanted, voters);
        }
    }

    async fn change(&self, change: MemberChange) -> bool {
        let changed = self.access.change_members(&change, CHANGE_TIME).await.is_ok();
        if !changed {
            tracing::warn!(event = "members_unchanged", ?change);
        }
        changed
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

/// The group as its leader sees it.
fn view(own: &GroupStatus, size: usize) -> GroupView {
    let state = |id: &BoxId| {
        let is_own = *id == own.box_id;
        let silent = own.silent.get(id).copied().unwrap_or(0);
        let matched = own.matched.get(id).is_some_and(|index| *index >= own.commit);
        let stopping = own.stopping.contains(id);
        MemberState { silent: Millis(silent), level: is_own || matched, stopping }
    };
    let states = |members: &BTreeMap<BoxId, Incarnation>| {
        members.keys().map(|id| (id.clone(), state(id))).collect()
    };
    let members = &own.members;
    GroupView { voters: states(&members.voters), learners: states(&members.learners), size }
}
