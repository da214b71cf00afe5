//! The boxes a node knows.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, DataCentre, Incarnation};

/// A box's state as other nodes see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// It answers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It drains.
    Leaving,
    /// It is gone.
    Gone,
}

impl fmt::Display for BoxState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// What is known of one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The life of its process.
    pub life: Incarnation,
    /// Grows with every change the box itself makes to its record.
    pub version: u64,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where nodes reach it.
    pub peer: SocketAddr,
    /// Where callers reach it, if it takes any.
    pub entry: Option<SocketAddr>,
    /// Its state.
    pub state: BoxState,
}

/// All boxes known.
pub type Boxes = BTreeMap<BoxId, BoxRecord>;
