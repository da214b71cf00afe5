//! Decides which voters of the replicated group are replaced, and by which learners.
//!
//! A voter that does not answer counts against the losses that the group tolerates, although a machine that took
//! its place may hold the whole log already. So a learner that is level is promoted as soon as a voter is doubted,
//! and the voter is removed afterwards, one change at a time. A voter that answers again in between keeps its vote,
//! and no change leaves the group with fewer votes than it is to have. A replica that was removed while it restarted
//! joins again as a learner.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::BoxId;
use crate::units::Millis;

/// Time without an answer after which a voter is doubted: ten heartbeats.
pub const DOUBT_TIMEOUT: Millis = Millis(1_000);

/// Time since its last answer within which a learner may be promoted.
const PROMOTION_TIMEOUT: Millis = Millis(500);

/// Time without an answer after which a learner is removed. It joins again when it returns.
const LEARNER_TIMEOUT: Millis = Millis(15_000);

/// The leader's view of one member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Time since its last answer.
    pub silent: Millis,
    /// Whether it holds all that is committed.
    pub level: bool,
    /// Whether it has announced that it stops.
    pub stopping: bool,
}

impl MemberState {
    fn is_doubted(&self) -> bool {
        self.stopping || self.silent > DOUBT_TIMEOUT
    }

    fn is_promotable(&self) -> bool {
        self.level && !self.stopping && self.silent <= PROMOTION_TIMEOUT
    }
}

/// The leader's view of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// The voters, the leader among them.
    pub voters: BTreeMap<BoxId, MemberState>,
    /// The learners.
    pub learners: BTreeMap<BoxId, MemberState>,
    /// Number of voters that the group is to have.
    pub size: usize,
}

/// Why a member is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalCause {
    /// It has not answered for this long.
    Silent(Millis),
    /// It has announced that it stops.
    Stopping,
}

impl fmt::Display for RemovalCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent(_) => formatter.write_str("silent"),
            Self::Stopping => formatter.write_str("stopping"),
        }
    }
}

/// One change of the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A learner becomes a voter.
    Promote {
        /// The learner.
        learner: BoxId,
        /// The voter whose place it takes, unless a vote was missing.
        doubted: Option<BoxId>,
    },
    /// A member is removed.
    Remove {
        /// The member.
        member: BoxId,
        /// The reason.
        cause: RemovalCause,
    },
}

impl GroupView {
    /// The next change towards a full set of voters that answer, if one is due.
    pub fn next_step(&self) -> Option<Step> {
        let doubted = self.most_doubted();
        if let Some((member, state)) = doubted.filter(|_| self.voters.len() > self.size) {
            return Some(remove(member, state));
        }
        if self.voters.len() < self.size || doubted.is_some() {
            let learners = self.learners.iter().filter(|(_, state)| state.is_promotable());
            if let Some((learner, _)) = learners.min_by_key(|(_, state)| state.silent) {
                let doubted = doubted.map(|(member, _)| member.clone());
                return Some(Step::Promote { learner: learner.clone(), doubted });
            }
        }
        let mut learners = self.learners.iter();
        let gone = learners.find(|(_, state)| state.silent > LEARNER_TIMEOUT);
        gone.map(|(member, state)| remove(member, state))
    }

    /// How many more voters may be lost at once while the others remain a majority.
    pub fn tolerated_losses(&self) -> usize {
        let answering = self.voters.values().filter(|state| !state.is_doubted()).count();
        answering.saturating_sub(self.voters.len() / 2 + 1)
    }

    fn most_doubted(&self) -> Option<(&BoxId, &MemberState)> {
        let doubted = self.voters.iter().filter(|(_, state)| state.is_doubted());
        doubted.max_by_key(|(_, state)| (state.silent > DOUBT_TIMEOUT, state.silent))
    }
}

fn remove(member: &BoxId, state: &MemberState) -> Step {
    let cause = match state.silent > DOUBT_TIMEOUT {
        true => RemovalCause::Silent(state.silent),
        false => RemovalCause::Stopping,
    };
    Step::Remove { member: member.clone(), cause }
}
