//! What may have crashed a backend server: a request, or segments of prompts.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, NameError, ServiceName};

/// A segment of the prompts that a service is sent. Callers name segments, so two services may know different ones by
/// one id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SegmentKey {
    /// The service.
    pub service: ServiceName,
    /// The segment's id in the prompt.
    pub id: u64,
}

impl fmt::Display for SegmentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.service, self.id)
    }
}

impl FromStr for SegmentKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (service, id) = text.split_once('/').ok_or(NameError::Length(text.len()))?;
        Ok(Self { service: service.parse()?, id: parse_segment_id(id)? })
    }
}

fn parse_segment_id(id: &str) -> Result<u64, NameError> {
    if let Some(odd) = id.chars().find(|c| !c.is_ascii_hexdigit()) {
        return Err(NameError::Character(odd));
    }
    u64::from_str_radix(id, 16).map_err(|_| NameError::Length(id.len()))
}

impl TryFrom<String> for SegmentKey {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<SegmentKey> for String {
    fn from(segment: SegmentKey) -> Self {
        segment.to_string()
    }
}

/// Segments that the prompts of one service may have together, written as `service/id+id`: at least two.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SegmentSet {
    service: ServiceName,
    ids: BTreeSet<u64>,
}

impl SegmentSet {
    /// Creates a set. `None` if there are less than two.
    pub fn new(service: ServiceName, ids: BTreeSet<u64>) -> Option<Self> {
        (ids.len() > 1).then_some(Self { service, ids })
    }

    /// The segments.
    pub fn keys(&self) -> impl Iterator<Item = SegmentKey> {
        self.ids.iter().map(|id| SegmentKey { service: self.service.clone(), id: *id })
    }

    /// Whether a segment is one of them.
    pub fn contains(&self, segment: &SegmentKey) -> bool {
        self.service == segment.service && self.ids.contains(&segment.id)
    }

    /// Whether a prompt with these segments has all of the set.
    pub fn is_within(&self, prompt: &[SegmentKey]) -> bool {
        let has = |id: &u64| prompt.iter().any(|it| it.id == *id && it.service == self.service);
        self.ids.iter().all(has)
    }
}

impl fmt::Display for SegmentSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/", self.service)?;
        for (index, id) in self.ids.iter().enumerate() {
            let separator = if index > 0 { "+" } else { "" };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}

impl FromStr for SegmentSet {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (service, ids) = text.split_once('/').ok_or(NameError::Length(text.len()))?;
        let ids = ids.split('+').map(parse_segment_id).collect::<Result<BTreeSet<_>, _>>()?;
        Self::new(service.parse()?, ids).ok_or(NameError::Length(text.len()))
    }
}

impl TryFrom<String> for SegmentSet {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<SegmentSet> for String {
    fn from(set: SegmentSet) -> Self {
        set.to_string()
    }
}

/// What may have crashed a backend server. A request is written as its hash, a segment as `service/id`, a combination of
/// segments as `service/id+id`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Suspect {
    /// A request, whatever id an attempt at it has.
    Request(Fingerprint),
    /// A segment that prompts of different requests have in common.
    Segment(SegmentKey),
    /// Segments that prompts of different requests have together, while nothing shows which of them it is.
    Combination(SegmentSet),
}

impl Suspect {
    /// Its name as a request or as segments, for log lines that have a key for each.
    pub fn names(&self) -> (Option<String>, Option<String>) {
        match self {
            Self::Request(request) => (Some(request.to_string()), None),
            Self::Segment(_) | Self::Combination(_) => (None, Some(self.to_string())),
        }
    }

    /// Whether a segment is the suspect or one of its combination.
    pub fn involves(&self, segment: &SegmentKey) -> bool {
        match self {
            Self::Request(_) => false,
            Self::Segment(own) => own == segment,
            Self::Combination(set) => set.contains(segment),
        }
    }

    /// The suspect itself, or each segment of a combination.
    pub fn parts(&self) -> Vec<Suspect> {
        match self {
            Self::Request(_) | Self::Segment(_) => vec![self.clone()],
            Self::Combination(set) => set.keys().map(Self::Segment).collect(),
        }
    }

    /// The request, if it is one.
    pub fn request(&self) -> Option<&Fingerprint> {
        match self {
            Self::Request(request) => Some(request),
            Self::Segment(_) | Self::Combination(_) => None,
        }
    }

    /// The segment, if it is a single one.
    pub fn segment(&self) -> Option<&SegmentKey> {
        match self {
            Self::Segment(segment) => Some(segment),
            Self::Request(_) | Self::Combination(_) => None,
        }
    }

    /// The combination, if it is one.
    pub fn combination(&self) -> Option<&SegmentSet> {
        match self {
            Self::Combination(set) => Some(set),
            Self::Request(_) | Self::Segment(_) => None,
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Segment(segment) => segment.fmt(f),
            Self::Combination(set) => set.fmt(f),
        }
    }
}

impl FromStr for Suspect {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        match text.split_once('/') {
            Some((_, ids)) if ids.contains('+') => text.parse().map(Self::Combination),
            Some(_) => text.parse().map(Self::Segment),
            None => text.parse().map(Self::Request),
        }
    }
}

impl TryFrom<String> for Suspect {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<Suspect> for String {
    fn from(suspect: Suspect) -> Self {
        suspect.to_string()
    }
}
