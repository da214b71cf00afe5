//! The box that holds a request's stream when its own box goes: the same for every node that knows
//! the same boxes, without a directory (rendezvous hashing; Thaler and Ravishankar, 1998).

use super::table::{BoxState, Boxes, fingerprint};
use crate::ids::{BoxId, RequestKey, TeamName};

/// The boxes that take callers, best first for this request; leaving ones and `own` left out.
pub fn ranking(boxes: &Boxes, own: &BoxId, team: &TeamName, key: &RequestKey) -> Vec<BoxId> {
    let able = boxes.iter().filter(|(id, record)| {
        *id != own && record.entry.is_some() && record.state <= BoxState::Suspect
    });
    let weigh = |id: &BoxId| fingerprint(&format!("{id}\n{team}\n{key}"));
    let mut ranked: Vec<_> = able.map(|(id, _)| (weigh(id), id.clone())).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}
