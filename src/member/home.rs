//! Selects the box that takes over a request's stream when the box that serves it goes away.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) gives the same box on every node that knows the
//! same boxes, without a directory.

use super::table::{BoxState, Boxes, fingerprint};
use crate::ids::{BoxId, RequestKey, TeamName};

/// Ranks the boxes that accept callers by preference for a request, without `own` and without boxes that
/// are leaving or gone.
pub fn rank_boxes(boxes: &Boxes, own: &BoxId, team: &TeamName, key: &RequestKey) -> Vec<BoxId> {
    let eligible = boxes.iter().filter(|(id, record)| {
        *id != own && record.entry.is_some() && record.state <= BoxState::Suspect
    });
    let weight = |id: &BoxId| fingerprint(&format!("{id}\n{team}\n{key}"));
    let mut ranked: Vec<_> = eligible.map(|(id, _)| (weight(id), id.clone())).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}
