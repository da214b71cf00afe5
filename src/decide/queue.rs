//! Who goes next when capacity frees up: fair among teams by weight, earliest deadline within a
//! team, interactive before batch.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) over teams: each team has a virtual time
//! that grows by cost over weight with every request it gets through.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::ids::TeamName;
use crate::state::config::Class;

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the queue needs to know of a request.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Whose.
    pub team: TeamName,
    /// How urgent.
    pub class: Class,
    /// The team's weight; at least 1.
    pub weight: u32,
    /// What it costs, in tokens.
    pub cost: u64,
    /// When it is too late, in milliseconds on the node's clock.
    pub deadline: u64,
}

#[derive(Debug, Default)]
struct Lane {
    time: u64,
    waiting: BinaryHeap<Reverse<(u64, Ticket, u64, u32)>>,
}

/// A bounded queue.
#[derive(Debug)]
pub struct WaitQueue {
    limit: usize,
    next: u64,
    time: u64,
    lanes: BTreeMap<(Class, TeamName), Lane>,
    length: usize,
}

impl WaitQueue {
    /// A queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, next: 0, time: 0, lanes: BTreeMap::new(), length: 0 }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request; `None` when the queue is full.
    pub fn push(&mut self, waiter: Waiter) -> Option<Ticket> {
        if self.length >= self.limit {
            return None;
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let lane = self.lanes.entry((waiter.class, waiter.team)).or_default();
        if lane.waiting.is_empty() {
            lane.time = lane.time.max(self.time);
        }
        lane.waiting.push(Reverse((waiter.deadline, ticket, waiter.cost, waiter.weight)));
        self.length += 1;
        Some(ticket)
    }

    /// Takes the next request whose deadline is later than `now`, and gives those passed over
    /// because theirs is not.
    pub fn pop(&mut self, now: u64) -> (Option<Ticket>, Vec<Ticket>) {
        let mut late = Vec::new();
        loop {
            let Some(key) = self.next_lane() else {
                return (None, late);
            };
            let Some(lane) = self.lanes.get_mut(&key) else {
                return (None, late);
            };
            let Some(Reverse((deadline, ticket, cost, weight))) = lane.waiting.pop() else {
                return (None, late);
            };
            self.length -= 1;
            if deadline <= now {
                late.push(ticket);
                continue;
            }
            self.time = self.time.max(lane.time);
            lane.time += (cost.max(1) * 64) / u64::from(weight.max(1));
            return (Some(ticket), late);
        }
    }

    /// Takes out a request that no longer waits; `false` when it is not there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for lane in self.lanes.values_mut() {
            let before = lane.waiting.len();
            lane.waiting.retain(|Reverse((_, held, _, _))| *held != ticket);
            if lane.waiting.len() < before {
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// How many would go before a new request of this class, at most.
    pub fn ahead_of(&self, class: Class) -> usize {
        let lanes = self.lanes.iter().filter(|((held, _), _)| *held <= class);
        lanes.map(|(_, lane)| lane.waiting.len()).sum()
    }

    fn next_lane(&self) -> Option<(Class, TeamName)> {
        let filled = self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty());
        let first = filled.min_by_key(|((class, team), lane)| (*class, lane.time, team.clone()));
        first.map(|(key, _)| key.clone())
    }
}
