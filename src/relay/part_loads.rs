//! Loads on their way from the leader to a box, by the servers' places in the parts of the list that both
//! have: a third of the bytes that their ids take. Pure.
//!
//! A part is named by the print of its content, so a place means the same server on both sides whatever
//! else has changed. A box that does not have the content lacks the servers as well, and passes the
//! loads over.

use serde::{Deserialize, Serialize};

use super::list::ContentHash;
use crate::decide::loads::LoadSample;
use crate::ids::{BackendId, ServerKey};
use crate::units::Millis;

/// A load of the server at a place of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedLoad {
    /// The place.
    pub place: u32,
    /// Requests there, running and waiting.
    pub requests: u32,
    /// How long ago that was true.
    pub age: Millis,
}

/// Loads of servers of one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLoads {
    /// The print of the part's content.
    pub part: ContentHash,
    /// The loads.
    pub loads: Vec<PlacedLoad>,
}

/// The loads by the places of their servers in `parts`. They come in the order of the parts, from anywhere
/// on, as they are drawn.
pub fn placed(loads: &[LoadSample], parts: &[(ContentHash, Vec<&BackendId>)]) -> Vec<PartLoads> {
    let all: Vec<_> = parts
        .iter()
        .flat_map(|(part, servers)| servers.iter().zip(0..).map(|(id, at)| (*part, at, *id)))
        .collect();
    let mut places = all.iter().cycle().take(2 * all.len());
    let mut placed: Vec<PartLoads> = Vec::new();
    for load in loads {
        let Some(&(part, place, _)) = places.find(|(.., id)| **id == load.server) else {
            break;
        };
        let load = PlacedLoad { place, requests: load.requests, age: load.age };
        match placed.last_mut().filter(|last| last.part == part) {
            Some(last) => last.loads.push(load),
            None => placed.push(PartLoads { part, loads: vec![load] }),
        }
    }
    placed
}

/// The loads by the ids of their servers; `find` gives the server at a place of a part.
pub fn named(
    loads: &[PartLoads],
    find: impl Fn(ContentHash, usize) -> Option<ServerKey>,
) -> Vec<LoadSample> {
    let of_part = |it: &PartLoads| {
        let told = it.loads.iter().filter_map(|load| {
            let ServerKey { id, life } = find(it.part, load.place as usize)?;
            Some(LoadSample { server: id, life, requests: load.requests, age: load.age })
        });
        told.collect::<Vec<_>>()
    };
    loads.iter().flat_map(of_part).collect()
}
