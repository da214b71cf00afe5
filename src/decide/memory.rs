//! Accounts for the memory that a box holds on behalf of others, and decides when it accepts no more.
//!
//! It protects the process against loads that it could not hold: many large bodies at once, answers that are
//! not read, or unlimited connections. Memory is reserved here before it is used, so that the process stays
//! below the limit above which the platform kills it, together with everything it serves.
//!
//! As the box fills, it first closes idle connections, which costs their callers a reconnect. Then it
//! refuses requests that were not read yet, starting with the least urgent ones and those of the teams that
//! use the most memory, which costs them a retry. Answers are read ahead of slow callers only while there is
//! plenty of memory; beyond that, their engines have to wait, and [`super::slowness`] decides when such
//! callers are disconnected. An accepted request is never aborted for lack of memory: its answer may use
//! what is otherwise kept free.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::TeamName;
use crate::sync::lock;
use crate::units::ByteSize;

/// The memory of the program itself: 4 to 10 MB at rest with the routes and servers of a large fleet, and
/// twice that while a new configuration is loaded next to the old one.
const PROGRAM_BYTES: u64 = 24_000_000;

/// The fraction of the rest that can be reserved. The platform also counts what the allocator retains and
/// received bytes that were not read yet, which are not accounted for here.
const RESERVABLE_FRACTION: f64 = 0.75;

/// The fraction that requests of the highest urgency may fill. The rest is for answers to accepted requests.
const REQUEST_FRACTION: f64 = 0.875;

/// By how much that fraction is smaller for the lowest urgency, so that urgent requests are still accepted
/// when others no longer are.
const URGENCY_FRACTION: f64 = 0.25;

/// The fraction just below a request's own limit in which no team gets more than its fair share.
const FAIR_SHARE_FRACTION: f64 = 0.125;

/// The fraction above which idle connections are closed. It is well below the point at which the least
/// urgent requests are refused, as closing a connection frees far less than a request takes.
const PRESSURE_FRACTION: f64 = 0.4;

/// The fraction up to which answers are read before their callers take them. It keeps slow callers from
/// filling a box at the expense of other callers' requests and connections.
const READ_AHEAD_FRACTION: f64 = 0.3;

/// The lowest urgency of a request.
pub const LOWEST_URGENCY: u8 = 9;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Request heads, from their arrival until the answer.
    Heads,
    /// Request bodies.
    Bodies,
    /// Answers that callers have not taken yet.
    Answers,
    /// Requests at backend servers: a task, a connection and the first piece of an answer.
    Requests,
    /// Callers' connections, including idle ones.
    Connections,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 5] =
        [Self::Heads, Self::Bodies, Self::Answers, Self::Requests, Self::Connections];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Answers => "answers",
            Self::Requests => "requests",
            Self::Connections => "connections",
        }
    }
}

/// On whose behalf memory is reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryClaim {
    /// A request that was not accepted yet and may be refused.
    Request {
        /// The team, or `None` on public routes.
        team: Option<TeamName>,
        /// The urgency; 0 is the most urgent.
        urgency: u8,
    },
    /// An accepted request, for what it needs to be answered.
    Accepted,
    /// The part of an answer that is read before its caller takes it, so that the engine is free sooner.
    ReadAhead,
    /// A connection, or what arrived on one and is not a request yet.
    Connection,
}

/// The error of a reservation that would exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reserved} of {size} bytes are kept, and {requested} more are not taken")]
pub struct MemoryLimitExceeded {
    /// The bytes reserved in total.
    pub reserved: u64,
    /// The maximum of reserved bytes.
    pub size: u64,
    /// The bytes asked for.
    pub requested: u64,
}

#[derive(Debug, Default)]
struct MemoryUsage {
    size: u64,
    total: u64,
    peak: u64,
    by_purpose: [u64; Purpose::ALL.len()],
    by_team: HashMap<Option<TeamName>, u64>,
    refused: u64,
}

impl MemoryUsage {
    fn part(&self, part: f64) -> u64 {
        (self.size as f64 * part) as u64
    }

    /// The limit for requests of an urgency.
    fn limit(&self, urgency: u8) -> u64 {
        let rank = f64::from(urgency.min(LOWEST_URGENCY)) / f64::from(LOWEST_URGENCY);
        self.part(REQUEST_FRACTION - URGENCY_FRACTION * rank)
    }

    fn admits(&self, bytes: u64, claim: &MemoryClaim) -> bool {
        let next = self.total.saturating_add(bytes);
        match claim {
            MemoryClaim::Accepted => next <= self.size,
            MemoryClaim::ReadAhead => next <= self.part(READ_AHEAD_FRACTION),
            MemoryClaim::Connection => next <= self.limit(0),
            MemoryClaim::Request { team, urgency } => {
                let limit = self.limit(*urgency);
                if next > limit || next <= limit - self.part(FAIR_SHARE_FRACTION) {
                    return next <= limit;
                }
                let held = self.by_team.get(team).copied();
                let teams = self.by_team.len() + usize::from(held.is_none());
                // Divide by one more than the number of teams, so that a further team finds room too.
                held.unwrap_or(0) + bytes <= self.size / (teams as u64 + 1)
            }
        }
    }

    fn reserve(
        &mut self,
        purpose: Purpose,
        bytes: u64,
        claim: &MemoryClaim,
    ) -> Result<(), MemoryLimitExceeded> {
        if !self.admits(bytes, claim) {
            // An accepted request waits and tries again, which does not count as a refusal.
            self.refused +=
                u64::from(matches!(claim, MemoryClaim::Request { .. } | MemoryClaim::Connection));
            return Err(MemoryLimitExceeded {
                reserved: self.total,
                size: self.size,
                requested: bytes,
            });
        }
        self.total += bytes;
        self.peak = self.peak.max(self.total);
        self.by_purpose[purpose as usize] += bytes;
        if let MemoryClaim::Request { team, .. } = claim {
            *self.by_team.entry(team.clone()).or_default() += bytes;
        }
        Ok(())
    }

    fn release(&mut self, purpose: Purpose, bytes: u64, claim: &MemoryClaim) {
        self.total -= bytes;
        self.by_purpose[purpose as usize] -= bytes;
        if let MemoryClaim::Request { team, .. } = claim
            && let Some(held) = self.by_team.get_mut(team)
        {
            *held -= bytes;
            if *held == 0 {
                self.by_team.remove(team);
            }
        }
    }
}

/// The memory that a box can hold on behalf of others.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    usage: Arc<Mutex<MemoryUsage>>,
}

impl MemoryBudget {
    /// The budget of a process that may use `limit` in total.
    pub fn for_process_limit(limit: ByteSize) -> Self {
        let rest = limit.0.saturating_sub(PROGRAM_BYTES);
        Self::with_size((rest as f64 * RESERVABLE_FRACTION) as u64)
    }

    /// A budget of `size` bytes.
    pub fn with_size(size: u64) -> Self {
        Self { usage: Arc::new(Mutex::new(MemoryUsage { size, ..MemoryUsage::default() })) }
    }

    fn usage(&self) -> MutexGuard<'_, MemoryUsage> {
        lock(&self.usage)
    }

    /// Reserves memory until the reservation is dropped.
    ///
    /// # Errors
    /// When the limit of this claim would be exceeded.
    pub fn reserve(
        &self,
        purpose: Purpose,
        bytes: u64,
        claim: MemoryClaim,
    ) -> Result<MemoryReservation, MemoryLimitExceeded> {
        self.usage().reserve(purpose, bytes, &claim)?;
        Ok(MemoryReservation { memory: self.clone(), purpose, bytes, claim })
    }

    /// Whether idle connections should be closed: the least urgent requests would soon be refused.
    pub fn is_under_pressure(&self) -> bool {
        let usage = self.usage();
        usage.total > usage.part(PRESSURE_FRACTION)
    }

    /// The maximum of reserved bytes.
    pub fn size(&self) -> u64 {
        self.usage().size
    }

    /// The bytes reserved in total.
    pub fn reserved(&self) -> u64 {
        self.usage().total
    }

    /// The peak of the bytes reserved.
    pub fn peak(&self) -> u64 {
        self.usage().peak
    }

    /// The bytes reserved for a purpose.
    pub fn reserved_for(&self, purpose: Purpose) -> u64 {
        self.usage().by_purpose[purpose as usize]
    }

    /// The number of refused reservations.
    pub fn refused(&self) -> u64 {
        self.usage().refused
    }
}

/// Reserved memory, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: MemoryBudget,
    purpose: Purpose,
    bytes: u64,
    claim: MemoryClaim,
}

impl MemoryReservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves more.
    ///
    /// # Errors
    /// When the limit would be exceeded. The earlier reservation stays.
    pub fn grow(&mut self, bytes: u64) -> Result<(), MemoryLimitExceeded> {
        self.memory.usage().reserve(self.purpose, bytes, &self.claim)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Releases `bytes`, or everything if less is reserved.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.memory.usage().release(self.purpose, bytes, &self.claim);
        self.bytes -= bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.usage().release(self.purpose, self.bytes, &self.claim);
    }
}
