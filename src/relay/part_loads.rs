//! The encoding of server loads from the leader to a box. Servers are identified by their index in
//! the parts of the list that both sides hold, which takes a third of the bytes that ids take.
//! Pure.
//!
//! A part is identified by the hash of its content, so an index refers to the same server on both
//! sides whatever else has changed. A box that does not hold a part does not know its servers
//! either, and ignores their loads.

use serde::{Deserialize, Serialize};

use super::list::ContentHash;
use crate::decide::loads::LoadSample;
use crate::ids::{BackendId, ServerKey};
use crate::units::Millis;

/// The load of one server in a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexedLoad {
    /// The server's index in the part.
    #[serde(rename = "place")]
    pub index: u32,
    /// Number of requests at the server, running and waiting.
    pub requests: u32,
    /// Age of the measurement.
    pub age: Millis,
}

/// The loads of some servers of one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLoads {
    /// The hash of the part's content.
    pub part: ContentHash,
    /// The loads.
    pub loads: Vec<IndexedLoad>,
}

/// Replaces server ids by their indices in `parts`. `loads` must be in the order of `parts`, but
/// may start at any server and wrap around.
pub fn to_part_loads(
    loads: &[LoadSample],
    parts: &[(ContentHash, Vec<&BackendId>)],
) -> Vec<PartLoads> {
    let all: Vec<_> = parts
        .iter()
        .flat_map(|(part, servers)| servers.iter().zip(0..).map(|(id, index)| (*part, index, *id)))
        .collect();
    let mut entries = all.iter().cycle().take(2 * all.len());
    let mut encoded: Vec<PartLoads> = Vec::new();
    for load in loads {
        let Some(&(part, index, _)) = entries.find(|(.., id)| **id == load.server) else {
            break;
        };
        let load = IndexedLoad { index, requests: load.requests, age: load.age };
        match encoded.last_mut().filter(|last| last.part == part) {
            Some(last) => last.loads.push(load),
            None => encoded.push(PartLoads { part, loads: vec![load] }),
        }
    }
    encoded
}

/// Replaces indices by server ids and incarnations. `find` returns the server at an index of a
/// part; loads of unknown servers are dropped.
pub fn to_load_samples(
    loads: &[PartLoads],
    find: impl Fn(ContentHash, usize) -> Option<ServerKey>,
) -> Vec<LoadSample> {
    let of_part = |it: &PartLoads| {
        let samples = it.loads.iter().filter_map(|load| {
            let ServerKey { id, life } = find(it.part, load.index as usize)?;
            Some(LoadSample {
                server: id,
                incarnation: life,
                requests: load.requests,
                age: load.age,
            })
        });
        samples.collect::<Vec<_>>()
    };
    loads.iter().flat_map(of_part).collect()
}
