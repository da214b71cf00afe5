//! What a leader takes into the log: commands and changes of members.

use super::{Core, Refusal, Role};
use crate::group::message::{Entry, MemberChange, Payload};
use crate::ids::{Index, Term};

impl Core {
    /// Proposes a command, stamped with `at`; gives its index if this replica leads.
    ///
    /// # Errors
    /// When this replica does not lead.
    pub fn propose(&mut self, at: u64, command: String) -> Result<(Index, Term), Refusal> {
        self.propose_payload(at, Payload::Command(command))
    }

    /// Proposes a change of members.
    ///
    /// # Errors
    /// When this replica does not lead, another change is under way, or the change does not fit.
    pub fn change_members(
        &mut self,
        at: u64,
        change: &MemberChange,
    ) -> Result<(Index, Term), Refusal> {
        if self.role != Role::Leader {
            return Err(Refusal::NotLeader(self.leader.clone()));
        }
        let (members, since) = self.log.members();
        if since > self.commit {
            return Err(Refusal::Members("another change of members is under way".to_owned()));
        }
        if self.log.term_at(self.commit) != Some(self.hard.term) {
            return Err(Refusal::Members("the leader has just begun; try again".to_owned()));
        }
        let next = members.after(change).map_err(Refusal::Members)?;
        if let MemberChange::Promote(box_id) = change {
            let level = self.progress.get(box_id).is_some_and(|it| it.matched >= self.commit);
            if !level {
                return Err(Refusal::Members(format!("{box_id} is not level yet")));
            }
        }
        let result = self.propose_payload(at, Payload::Members(next));
        self.sync_progress();
        result
    }

    pub(super) fn propose_payload(
        &mut self,
        at: u64,
        payload: Payload,
    ) -> Result<(Index, Term), Refusal> {
        if self.role != Role::Leader {
            return Err(Refusal::NotLeader(self.leader.clone()));
        }
        let index = self.log.last_index().next();
        let at = at.max(self.log.last_at());
        self.append_entry(Entry { index, term: self.hard.term, at, payload });
        Ok((index, self.hard.term))
    }
}
