//! What a box keeps in memory for others, and when it takes no more.
//!
//! Answers a load that a box could not keep: large bodies at a time, answers that nobody takes,
//! connections without end. Whatever is kept is reserved here before it is kept, so that the process
//! stays under the limit above which the platform ends it, and with it all that it serves.
//!
//! What gives first, as the box fills: connections at rest, which cost their callers a connect; then
//! requests that have not been read, the least urgent first and of the largest teams first, which cost
//! them a return. Answers are read ahead of callers who take them slowly only while the box has plenty
//! of room; beyond that their engines wait for them, and [`super::slowness`] says when they are let go.
//! An accepted request is never given up for room: its answer may use what the others leave free.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::TeamName;
use crate::sync::lock;
use crate::units::ByteSize;

/// What the program itself needs: 4 to 10 MB at rest with a large fleet's routes and servers, and twice
/// as much again for a new configuration beside the old one.
const OWN_NEED: u64 = 24_000_000;

/// The part of the rest that is given out. What the allocator holds back, and bytes that have arrived
/// and are not read yet, are seen by the platform and not here.
const GIVEN_PART: f64 = 0.75;

/// The part that requests of the most urgent kind may fill. The rest is for answers to those taken.
const REQUEST_PART: f64 = 0.875;

/// By how much that part is smaller for the least urgent kind: between the two, urgent requests find
/// room where the others no longer do.
const URGENCY_PART: f64 = 0.25;

/// The last part before a request's own limit, in which no team gets more than its fair part.
const FAIR_PART: f64 = 0.125;

/// The part above which connections at rest go: well before the least urgent requests are refused, as
/// closing one gives back far less than a request takes.
const PRESSED_PART: f64 = 0.4;

/// The part up to which answers are read before their callers take them: slow callers fill no box, and
/// cost the others neither their requests nor their connections.
const AHEAD_PART: f64 = 0.3;

/// The least urgent that a request can be.
pub const LEAST_URGENT: u8 = 9;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Heads of requests, as they arrive and until their answer.
    Heads,
    /// Bodies of requests.
    Bodies,
    /// Answers that callers have not taken yet.
    Answers,
    /// Requests at backend servers: a task, a connection and the first piece of an answer.
    Requests,
    /// Callers' connections, also those at rest.
    Connections,
}

impl Purpose {
    /// Every purpose.
    pub const ALL: [Self; 5] =
        [Self::Heads, Self::Bodies, Self::Answers, Self::Requests, Self::Connections];

    /// Its name, in metrics.
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

/// For whom memory is reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// A request that has not been accepted: it may be refused.
    Request {
        /// Its team; none on public routes.
        team: Option<TeamName>,
        /// How urgent it is; 0 goes first.
        urgency: u8,
    },
    /// A request that has been accepted: what it needs to be answered.
    Accepted,
    /// What is read of an answer before its caller takes it, so that the engine is free sooner.
    Ahead,
    /// A connection, or what has arrived on one and is not a request yet.
    Connection,
}

/// There is no room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{held} of {size} bytes are kept, and {asked} more are not taken")]
pub struct NoRoom {
    /// What is kept.
    pub held: u64,
    /// What may be kept at most.
    pub size: u64,
    /// What was asked for.
    pub asked: u64,
}

#[derive(Debug, Default)]
struct Book {
    size: u64,
    total: u64,
    peak: u64,
    by_purpose: [u64; Purpose::ALL.len()],
    by_team: HashMap<Option<TeamName>, u64>,
    refused: u64,
}

impl Book {
    fn part(&self, part: f64) -> u64 {
        (self.size as f64 * part) as u64
    }

    /// What may be filled by requests of an urgency.
    fn limit(&self, urgency: u8) -> u64 {
        let rank = f64::from(urgency.min(LEAST_URGENT)) / f64::from(LEAST_URGENT);
        self.part(REQUEST_PART - URGENCY_PART * rank)
    }

    fn admits(&self, bytes: u64, claim: &Claim) -> bool {
        let next = self.total.saturating_add(bytes);
        match claim {
            Claim::Accepted => next <= self.size,
            Claim::Ahead => next <= self.part(AHEAD_PART),
            Claim::Connection => next <= self.limit(0),
            Claim::Request { team, urgency } => {
                let limit = self.limit(*urgency);
                if next > limit || next <= limit - self.part(FAIR_PART) {
                    return next <= limit;
                }
                let held = self.by_team.get(team).copied();
                let teams = self.by_team.len() + usize::from(held.is_none());
                // A part more than there are teams: the next one finds room as well.
                held.unwrap_or(0) + bytes <= self.size / (teams as u64 + 1)
            }
        }
    }

    fn take(&mut self, purpose: Purpose, bytes: u64, claim: &Claim) -> Result<(), NoRoom> {
        if !self.admits(bytes, claim) {
            // An accepted request waits and asks again: that is no refusal.
            self.refused += u64::from(matches!(claim, Claim::Request { .. } | Claim::Connection));
            return Err(NoRoom { held: self.total, size: self.size, asked: bytes });
        }
        self.total += bytes;
        self.peak = self.peak.max(self.total);
        self.by_purpose[purpose as usize] += bytes;
        if let Claim::Request { team, .. } = claim {
            *self.by_team.entry(team.clone()).or_default() += bytes;
        }
        Ok(())
    }

    fn give_back(&mut self, purpose: Purpose, bytes: u64, claim: &Claim) {
        self.total -= bytes;
        self.by_purpose[purpose as usize] -= bytes;
        if let Claim::Request { team, .. } = claim
            && let Some(held) = self.by_team.get_mut(team)
        {
            *held -= bytes;
            if *held == 0 {
                self.by_team.remove(team);
            }
        }
    }
}

/// The memory that a box has for others.
#[derive(Debug, Clone)]
pub struct Memory {
    book: Arc<Mutex<Book>>,
}

impl Memory {
    /// The memory of a process that may use `limit` in all.
    pub fn within(limit: ByteSize) -> Self {
        let rest = limit.0.saturating_sub(OWN_NEED);
        Self::of((rest as f64 * GIVEN_PART) as u64)
    }

    /// So many bytes.
    pub fn of(size: u64) -> Self {
        Self { book: Arc::new(Mutex::new(Book { size, ..Book::default() })) }
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.book)
    }

    /// Reserves memory until the reservation is dropped.
    ///
    /// # Errors
    /// When there is no room for this claim.
    pub fn reserve(&self, purpose: Purpose, bytes: u64, claim: Claim) -> Result<Reserved, NoRoom> {
        self.book().take(purpose, bytes, &claim)?;
        Ok(Reserved { memory: self.clone(), purpose, bytes, claim })
    }

    /// Whether connections at rest are to go: the least urgent requests would soon find no room.
    pub fn is_pressed(&self) -> bool {
        let book = self.book();
        book.total > book.part(PRESSED_PART)
    }

    /// What may be kept at most.
    pub fn size(&self) -> u64 {
        self.book().size
    }

    /// What is kept.
    pub fn held(&self) -> u64 {
        self.book().total
    }

    /// The most that was kept at a time.
    pub fn peak(&self) -> u64 {
        self.book().peak
    }

    /// What is kept for a purpose.
    pub fn held_for(&self, purpose: Purpose) -> u64 {
        self.book().by_purpose[purpose as usize]
    }

    /// How often there was no room.
    pub fn refused(&self) -> u64 {
        self.book().refused
    }
}

/// Memory reserved; given back when dropped.
#[derive(Debug)]
pub struct Reserved {
    memory: Memory,
    purpose: Purpose,
    bytes: u64,
    claim: Claim,
}

impl Reserved {
    /// Its bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves more.
    ///
    /// # Errors
    /// When there is no room; what was reserved stays so.
    pub fn grow(&mut self, bytes: u64) -> Result<(), NoRoom> {
        self.memory.book().take(self.purpose, bytes, &self.claim)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives a part back; all of it where that is less.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.memory.book().give_back(self.purpose, bytes, &self.claim);
        self.bytes -= bytes;
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.memory.book().give_back(self.purpose, self.bytes, &self.claim);
    }
}
