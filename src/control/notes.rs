//! Stores in the replicated group what the next leader needs: the teams whose token buckets may be below their reserve
//! (low teams), the number of relays, the quarantined requests, and what was learned about engines and about outages of
//! spot capacity.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::duties::PROPOSE_TIMEOUT;
use super::lead::{LeaderState, load_route_table, tolerance};
use crate::decide::hazard::OutageHistory;
use crate::decide::note_pace::{NoteKind, NotePace};
use crate::decide::token_bucket::{ReserveNote, Tolerance};
use crate::ids::{ServiceName, TeamName};
use crate::node::Node;
use crate::relay::table::RouteTable;
use crate::state::notes::{LowTeams, Notes, OutageHistories};
use crate::state::{Command, Reply};

/// Maximum time between two checks for notes to store.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a check: while a note has to wait, each report of a box asks for another check.
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Minimum time between two notes of engine models or outage histories, which are read only after a change of leader.
const LEARNED_NOTE_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the notes at the beginning of a term and stores changes, whenever this process leads.
pub(super) async fn run(node: Arc<Node>) {
    let mut pace = NotePace::default();
    loop {
        tokio::time::sleep(CHECK_PAUSE).await;
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.lacking.notified()).await;
        let Some(term) = node.leading_term().await else {
            continue;
        };
        load_route_table(&node, term);
        let now = Instant::now();
        let command = node.with_lead(term, |lead| lead.next_note(tolerance(&node), &pace, now));
        let Some(command) = command else {
            continue;
        };
        let kind = match command {
            Command::ReadNotes => None,
            Command::NoteLow(_) => Some(NoteKind::LowTeams),
            _ => Some(NoteKind::Other),
        };
        match node.propose_here(command, PROPOSE_TIMEOUT).await {
            Some(Reply::Quarantine(noted)) => {
                tracing::info!(event = "quarantine_noted", requests = noted.len(), term = %term);
                node.with_lead(term, |lead| lead.quarantine.apply_replicated(noted));
            }
            Some(Reply::Notes(notes)) => {
                tracing::info!(
                    event = "noted", low_teams = notes.low_teams.len(), engines = ?notes.engines, term = %term,
                );
                // After the reply, the blackboard has everything that was committed before this term.
                let quarantine = node.board.quarantine();
                node.with_lead(term, |lead| {
                    lead.restore_notes(notes);
                    lead.quarantine.apply_replicated(quarantine);
                });
            }
            Some(_) | None => tracing::warn!(event = "not_noted", term = %term),
        }
        if let Some(kind) = kind {
            pace.record(kind, Instant::now());
        }
    }
}

impl LeaderState {
    /// The next command to propose: the read of the notes at the beginning of a term, then the most urgent change that
    /// `pace` allows.
    fn next_note(
        &mut self,
        tolerance: Tolerance,
        pace: &NotePace,
        now: Instant,
    ) -> Option<Command> {
        if self.low_teams.is_none() {
            return Some(Command::ReadNotes);
        }
        if pace.allows(NoteKind::LowTeams, now)
            && let Some(low) = self.next_low_teams(tolerance)
        {
            return Some(Command::NoteLow(low));
        }
        if pace.allows(NoteKind::Other, now) { self.next_other_note() } else { None }
    }

    /// The next command of those that no request waits for.
    fn next_other_note(&mut self) -> Option<Command> {
        if let Some(change) = self.quarantine.pending_change() {
            return Some(Command::ChangeQuarantine(change));
        }
        if let Some(relays) = self.presence.next_stored(Instant::now()) {
            return Some(Command::NoteRelays(relays));
        }
        if self.models_stored_at.is_some_and(|at| at.elapsed() < LEARNED_NOTE_INTERVAL) {
            return None;
        }
        if let Some(outages) = self.next_outages() {
            self.models_stored_at = Some(Instant::now());
            return Some(Command::NoteOutages(outages));
        }
        let stored = |name: &ServiceName| self.stored_models.get(name).copied().unwrap_or_default();
        if !self.models.iter().any(|(name, model)| model.differs(&stored(name))) {
            return None;
        }
        self.models_stored_at = Some(Instant::now());
        Some(Command::NoteEngines(self.models.clone()))
    }

    /// Takes over what former leaders stored, where this leader has learned nothing newer itself.
    fn restore_notes(&mut self, notes: Notes) {
        self.low_teams = Some(notes.low_teams);
        self.presence.record_stored(notes.relays);
        for (service, model) in &notes.engines {
            self.models.entry(service.clone()).or_insert(*model);
        }
        self.stored_models = notes.engines;
        if self.stored_outages.is_none() {
            self.spender.restore_outages(&notes.outages);
        }
        self.stored_outages = Some(notes.outages);
    }

    /// The outage histories, if they differ from the stored ones.
    fn next_outages(&self) -> Option<OutageHistories> {
        let stored = self.stored_outages.as_ref()?;
        let outages = self.spender.learned_outages();
        let differs = |(service, learned): (&ServiceName, &OutageHistory)| {
            learned.differs(&stored.get(service).cloned().unwrap_or_default())
        };
        outages.iter().any(differs).then_some(outages)
    }

    /// Checks the token buckets of the teams that are not noted as low, and collects those that have to be.
    fn check_buckets(&mut self, now: f64, table: &RouteTable, tolerance: Tolerance) {
        let unheard = self.presence.unheard_relays();
        let Some(low) = &self.low_teams else {
            return;
        };
        for (name, bucket) in self.buckets.iter_mut().filter(|(name, _)| !low.contains(*name)) {
            let limit = table.teams.get(name).and_then(|team| team.limit());
            if let Some(limit) = limit {
                bucket.tick(now, limit.with_tolerance(tolerance), ReserveNote::Intact, unheard);
                if bucket.needs_low_note() {
                    self.teams_to_note.insert(name.clone());
                }
            }
        }
    }

    /// The teams to note as low, if they differ from those that are noted. A recovered team leaves `low_teams` at once,
    /// and so must keep its reserve again before the group has stored that, which may take any time.
    fn next_low_teams(&mut self, tolerance: Tolerance) -> Option<LowTeams> {
        let now = self.started_at.elapsed().as_secs_f64();
        let table = self.table.clone()?;
        self.check_buckets(now, &table, tolerance);
        let low = self.low_teams.as_mut()?;
        let recovered = |name: &TeamName| {
            let limit = table.teams.get(name).and_then(|team| team.limit());
            let limit = limit.map(|limit| limit.with_tolerance(tolerance));
            let bucket = self.buckets.get(name);
            limit.zip(bucket).is_none_or(|(limit, bucket)| bucket.has_recovered(now, limit))
        };
        let stored_count = low.len();
        low.retain(|name| !recovered(name));
        let added = std::mem::take(&mut self.teams_to_note);
        let next: LowTeams = low.union(&added).cloned().collect();
        (next.len() != stored_count || !added.is_subset(low)).then_some(next)
    }
}
