//! What a leader has the group remember for the next one: teams whose levels may be low, and what was
//! learned of engines and of dry spells.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::duties::PROPOSE_TIMEOUT;
use super::lead::{LeaderState, load_route_table, tolerance};
use crate::decide::hazard::OutageHistory;
use crate::decide::token_bucket::{ReserveNote, Tolerance};
use crate::ids::{ServiceName, TeamName};
use crate::node::Node;
use crate::relay::table::RouteTable;
use crate::state::notes::{LowTeams, Notes, OutageHistories};
use crate::state::{Command, Reply};

/// Time between two looks at the levels.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// Time between two notes: each is a synced entry of the group's log, beside the ones that operators
/// wait for. Levels are noted that long before they are low.
const NOTE_PAUSE: Duration = Duration::from_millis(250);

/// Time between two notes of what was learned of engines and dry spells: only a change of leader makes use
/// of them.
const ENGINES_TIME: Duration = Duration::from_secs(5);

/// Keeps the group's notes while this process leads.
pub(super) async fn keep(node: Arc<Node>) {
    loop {
        let _ = tokio::time::timeout(LOOK_TIME, node.lacking.notified()).await;
        let Some(term) = node.leading_term().await else {
            continue;
        };
        load_route_table(&node, term);
        let note = node.with_lead(term, |lead| lead.next_note(tolerance(&node)));
        let Some(command) = note else {
            continue;
        };
        let pause = if matches!(command, Command::ReadNotes) { Duration::ZERO } else { NOTE_PAUSE };
        match node.propose_here(command, PROPOSE_TIMEOUT).await {
            Some(Reply::Quarantine(noted)) => {
                tracing::info!(event = "quarantine_noted", requests = noted.len(), term = %term);
                node.with_lead(term, |lead| lead.quarantine.apply_replicated(noted));
            }
            Some(Reply::Notes(notes)) => {
                tracing::info!(
                    event = "noted", low_teams = notes.low_teams.len(), engines = ?notes.engines, term = %term,
                );
                // Behind the answer the blackboard has all that was decided before this term.
                let quarantine = node.board.quarantine();
                node.with_lead(term, |lead| {
                    lead.take_notes(notes);
                    lead.quarantine.apply_replicated(quarantine);
                });
            }
            Some(_) | None => tracing::warn!(event = "not_noted", term = %term),
        }
        tokio::time::sleep(pause).await;
    }
}

impl LeaderState {
    /// What the group is to note, or to be asked for at the beginning of a term.
    fn next_note(&mut self, tolerance: Tolerance) -> Option<Command> {
        if self.low_teams.is_none() {
            return Some(Command::ReadNotes);
        }
        if let Some(change) = self.quarantine.pending_change() {
            return Some(Command::ChangeQuarantine(change));
        }
        if let Some(relays) = self.presence.next_stored(Instant::now()) {
            return Some(Command::NoteRelays(relays));
        }
        if let Some(low) = self.next_low(tolerance) {
            return Some(Command::NoteLow(low));
        }
        if self.models_stored_at.is_some_and(|at| at.elapsed() < ENGINES_TIME) {
            return None;
        }
        if let Some(spells) = self.next_spells() {
            self.models_stored_at = Some(Instant::now());
            return Some(Command::NoteOutages(spells));
        }
        let kept = |name: &ServiceName| self.stored_models.get(name).copied().unwrap_or_default();
        let mut engines = self.models.iter();
        if !engines.any(|(name, model)| model.differs(&kept(name))) {
            return None;
        }
        self.models_stored_at = Some(Instant::now());
        Some(Command::NoteEngines(self.models.clone()))
    }

    fn take_notes(&mut self, notes: Notes) {
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

    /// What is known of dry spells, where it says something else than what the group has kept.
    fn next_spells(&self) -> Option<OutageHistories> {
        let kept = self.stored_outages.as_ref()?;
        let spells = self.spender.learned_outages();
        let differs = |(service, learned): (&ServiceName, &OutageHistory)| {
            learned.differs(&kept.get(service).cloned().unwrap_or_default())
        };
        spells.iter().any(differs).then_some(spells)
    }

    /// Looks at the levels of the teams that are not noted as low.
    fn look_at_levels(&mut self, now: f64, table: &RouteTable, tolerance: Tolerance) {
        let unheard = self.presence.unheard_relays();
        let Some(low) = &self.low_teams else {
            return;
        };
        for (name, level) in self.buckets.iter_mut().filter(|(name, _)| !low.contains(*name)) {
            let limit = table.teams.get(name).and_then(|team| team.limit());
            if let Some(limit) = limit {
                level.tick(now, limit.with_tolerance(tolerance), ReserveNote::Intact, unheard);
                if level.needs_low_note() {
                    self.teams_to_note.insert(name.clone());
                }
            }
        }
    }

    /// Which teams' levels are to be noted as low, if not those that are. Teams that have recovered
    /// are held to their reserve at once: the group may take any time to forget them.
    fn next_low(&mut self, tolerance: Tolerance) -> Option<LowTeams> {
        let now = self.started_at.elapsed().as_secs_f64();
        let table = self.table.clone()?;
        self.look_at_levels(now, &table, tolerance);
        let low = self.low_teams.as_mut()?;
        let recovered = |name: &TeamName| {
            let limit = table.teams.get(name).and_then(|team| team.limit());
            let limit = limit.map(|limit| limit.with_tolerance(tolerance));
            let level = self.buckets.get(name);
            limit.zip(level).is_none_or(|(limit, level)| level.has_recovered(now, limit))
        };
        let before = low.len();
        low.retain(|name| !recovered(name));
        let lacking = std::mem::take(&mut self.teams_to_note);
        let next: LowTeams = low.union(&lacking).cloned().collect();
        (next.len() != before || !lacking.is_subset(low)).then_some(next)
    }
}
