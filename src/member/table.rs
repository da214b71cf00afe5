//! What a node knows of boxes and of backend servers that leave, and how news is merged into it.
//!
//! A record replaces another when it is of a later life, or of the same life and a later version, or
//! of the same version and a worse state: so a box's own word of a later version takes a suspicion
//! back, and nothing else does.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, BoxId, DataCentre, Incarnation};

/// How long a suspected box has to take the suspicion back, in milliseconds.
pub const SUSPECT_TIME: u64 = 3_000;

/// How long a gone box is remembered, in milliseconds.
pub const GONE_TIME: u64 = 3_600_000;

/// How often a piece of news is passed on, times the binary logarithm of the number of boxes.
const REPEATS: u32 = 2;

/// A box's state as other nodes see it, from best to worst.
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

impl BoxRecord {
    fn rank(&self) -> (Incarnation, u64, BoxState) {
        (self.life, self.version, self.state)
    }
}

/// All boxes known.
pub type Boxes = BTreeMap<BoxId, BoxRecord>;

/// What is known of a backend server's coming and going.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendNews {
    /// Which life of it.
    pub life: Incarnation,
    /// Milliseconds until its box goes, when it is leaving.
    pub left: Option<u64>,
}

/// Records passed between nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Boxes.
    pub boxes: Vec<(BoxId, BoxRecord)>,
    /// Backend servers.
    pub backends: Vec<(BackendId, BackendNews)>,
}

impl News {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty() && self.backends.is_empty()
    }
}

#[derive(Debug, Clone, Copy)]
struct BackendRecord {
    life: Incarnation,
    /// When its box goes, on the node's clock.
    gone: Option<u64>,
}

impl BackendRecord {
    fn rank(&self) -> (Incarnation, bool) {
        (self.life, self.gone.is_some())
    }
}

/// What a node knows, and what it still has to pass on.
#[derive(Debug)]
pub struct Table {
    own: BoxId,
    boxes: Boxes,
    since: BTreeMap<BoxId, u64>,
    backends: BTreeMap<BackendId, BackendRecord>,
    hot_boxes: BTreeMap<BoxId, u32>,
    hot_backends: BTreeMap<BackendId, u32>,
}

impl Table {
    /// A table that knows its own box.
    pub fn new(own: BoxId, record: BoxRecord) -> Self {
        let mut table = Self {
            own: own.clone(),
            boxes: Boxes::new(),
            since: BTreeMap::new(),
            backends: BTreeMap::new(),
            hot_boxes: BTreeMap::new(),
            hot_backends: BTreeMap::new(),
        };
        table.boxes.insert(own.clone(), record);
        table.heat_box(&own);
        table
    }

    /// All boxes known.
    pub fn boxes(&self) -> &Boxes {
        &self.boxes
    }

    /// The other boxes that are not known to be gone.
    pub fn others(&self) -> Vec<(BoxId, BoxRecord)> {
        let others =
            self.boxes.iter().filter(|(id, it)| **id != self.own && it.state < BoxState::Gone);
        others.map(|(id, record)| (id.clone(), record.clone())).collect()
    }

    /// Merges news heard at `now`; gives what was new of it.
    pub fn merge(&mut self, now: u64, news: &News) -> News {
        let mut fresh = News::default();
        for (box_id, record) in &news.boxes {
            if self.merge_box(now, box_id, record) {
                fresh.boxes.push((box_id.clone(), record.clone()));
            }
        }
        for (id, heard) in &news.backends {
            if self.merge_backend(now, id, *heard) {
                fresh.backends.push((id.clone(), *heard));
            }
        }
        fresh
    }

    fn merge_box(&mut self, now: u64, box_id: &BoxId, record: &BoxRecord) -> bool {
        if *box_id == self.own {
            self.refute(record);
            return false;
        }
        let held = self.boxes.get(box_id);
        if held.is_some_and(|held| held.rank() >= record.rank()) {
            return false;
        }
        self.boxes.insert(box_id.clone(), record.clone());
        self.since.insert(box_id.clone(), now);
        self.heat_box(box_id);
        true
    }

    /// Answers a worse word about the own box with a later version.
    fn refute(&mut self, heard: &BoxRecord) {
        let own = self.own.clone();
        let Some(record) = self.boxes.get_mut(&own) else {
            return;
        };
        if heard.rank() > record.rank() && heard.life == record.life {
            record.version = heard.version + 1;
            self.heat_box(&own);
        }
    }

    fn merge_backend(&mut self, now: u64, id: &BackendId, heard: BackendNews) -> bool {
        let record = BackendRecord { life: heard.life, gone: heard.left.map(|left| now + left) };
        if self.backends.get(id).is_some_and(|held| held.rank() >= record.rank()) {
            return false;
        }
        self.backends.insert(id.clone(), record);
        let repeats = self.repeats();
        self.hot_backends.insert(id.clone(), repeats);
        true
    }

    /// The own box begins to drain.
    pub fn leave(&mut self) {
        let own = self.own.clone();
        if let Some(record) = self.boxes.get_mut(&own) {
            record.version += 1;
            record.state = BoxState::Leaving;
        }
        self.heat_box(&own);
    }

    /// A box did not answer: it is suspected, unless it is known to be leaving, which is worse.
    pub fn suspect(&mut self, now: u64, box_id: &BoxId) {
        let Some(record) = self.boxes.get_mut(box_id).filter(|it| it.state == BoxState::Live)
        else {
            return;
        };
        record.state = BoxState::Suspect;
        self.since.insert(box_id.clone(), now);
        self.heat_box(box_id);
    }

    /// Lets time pass: suspected boxes that kept silent are gone, gone ones are forgotten at last.
    /// A leaving box that no longer answers is gone as well.
    pub fn tick(&mut self, now: u64) {
        let mut gone = Vec::new();
        let mut forgotten = Vec::new();
        for (box_id, record) in &mut self.boxes {
            let age = now.saturating_sub(self.since.get(box_id).copied().unwrap_or(now));
            match record.state {
                BoxState::Suspect if age > SUSPECT_TIME => {
                    record.state = BoxState::Gone;
                    gone.push(box_id.clone());
                }
                BoxState::Gone if age > GONE_TIME => forgotten.push(box_id.clone()),
                _ => {}
            }
        }
        for box_id in gone {
            self.since.insert(box_id.clone(), now);
            self.heat_box(&box_id);
        }
        for box_id in forgotten {
            self.boxes.remove(&box_id);
            self.since.remove(&box_id);
        }
    }

    /// A leaving box no longer answers.
    pub fn note_gone(&mut self, now: u64, box_id: &BoxId) {
        let Some(record) = self.boxes.get_mut(box_id).filter(|it| it.state < BoxState::Gone) else {
            return;
        };
        record.state = BoxState::Gone;
        self.since.insert(box_id.clone(), now);
        self.heat_box(box_id);
    }

    /// Takes the news that still has to be passed on, once more of it.
    pub fn take_hot(&mut self, now: u64) -> News {
        let news = News {
            boxes: self.hot_boxes.keys().filter_map(|id| self.box_news(id)).collect(),
            backends: self
                .hot_backends
                .keys()
                .filter_map(|id| self.backend_news(now, id))
                .collect(),
        };
        cool(&mut self.hot_boxes);
        cool(&mut self.hot_backends);
        news
    }

    /// Whether there is news to pass on.
    pub fn is_hot(&self) -> bool {
        !self.hot_boxes.is_empty() || !self.hot_backends.is_empty()
    }

    /// All that is known.
    pub fn all(&self, now: u64) -> News {
        News {
            boxes: self.boxes.keys().filter_map(|id| self.box_news(id)).collect(),
            backends: self.backends.keys().filter_map(|id| self.backend_news(now, id)).collect(),
        }
    }

    /// A fingerprint of all that is known: equal tables have equal ones.
    pub fn digest(&self) -> u64 {
        let mut hash = 0_u64;
        for (id, record) in &self.boxes {
            hash ^= fingerprint(&format!("{id} {:?}", record.rank()));
        }
        for (id, record) in &self.backends {
            hash ^= fingerprint(&format!("{id} {:?}", record.rank()));
        }
        hash
    }

    fn box_news(&self, id: &BoxId) -> Option<(BoxId, BoxRecord)> {
        self.boxes.get(id).map(|record| (id.clone(), record.clone()))
    }

    fn backend_news(&self, now: u64, id: &BackendId) -> Option<(BackendId, BackendNews)> {
        let record = self.backends.get(id)?;
        let left = record.gone.map(|gone| gone.saturating_sub(now));
        Some((id.clone(), BackendNews { life: record.life, left }))
    }

    fn heat_box(&mut self, box_id: &BoxId) {
        let repeats = self.repeats();
        self.hot_boxes.insert(box_id.clone(), repeats);
    }

    fn repeats(&self) -> u32 {
        let boxes = self.boxes.len().max(2) as u32;
        REPEATS * (u32::BITS - boxes.leading_zeros())
    }
}

fn cool<K: Ord>(hot: &mut BTreeMap<K, u32>) {
    hot.retain(|_, repeats| {
        *repeats = repeats.saturating_sub(1);
        *repeats > 0
    });
}

/// A 64-bit fingerprint of a text, the same on every box: FNV-1a with a final mix.
pub(crate) fn fingerprint(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    let hash = text.bytes().fold(start, step);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53) ^ (hash >> 29)
}
