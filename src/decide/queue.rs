//! The queue of requests that wait for capacity: interactive requests before batch ones, weighted fair among teams, and
//! by earliest deadline within a team.
//!
//! Fairness among teams is start-time fair queueing (Goyal, Vin and Cheng, 1996): each team has a virtual time that
//! grows by cost over weight with every request that leaves the queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::ids::TeamName;
use crate::state::config::Class;

/// The factor by which virtual time is scaled, so that it stays precise in integers: with it a cost of 1 counts up to
/// a weight of 64.
const VIRTUAL_TIME_SCALE: u64 = 64;

/// Identifies a request in the queue. Later requests have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the queue needs to know about a request.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// The team that sent it.
    pub team: TeamName,
    /// Its priority class.
    pub class: Class,
    /// The team's weight; at least 1.
    pub weight: u32,
    /// Its cost, in tokens.
    pub cost: u64,
    /// Its deadline, in milliseconds on the node's clock.
    pub deadline: u64,
}

/// The waiting requests of one team in one class.
#[derive(Debug, Default)]
struct TeamQueue {
    virtual_time: u64,
    /// Deadline, ticket, cost and weight; the earliest deadline first.
    waiting: BinaryHeap<Reverse<(u64, Ticket, u64, u32)>>,
}

/// A bounded queue.
#[derive(Debug)]
pub struct WaitQueue {
    capacity: usize,
    last_ticket: u64,
    /// The highest virtual time that a team had when a request of it left the queue.
    virtual_time: u64,
    queues: BTreeMap<(Class, TeamName), TeamQueue>,
    length: usize,
}

impl WaitQueue {
    /// An empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, last_ticket: 0, virtual_time: 0, queues: BTreeMap::new(), length: 0 }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request. Returns `None` if the queue is full.
    pub fn push(&mut self, waiter: Waiter) -> Option<Ticket> {
        if self.length >= self.capacity {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let queue = self.queues.entry((waiter.class, waiter.team)).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        }
        queue.waiting.push(Reverse((waiter.deadline, ticket, waiter.cost, waiter.weight)));
        self.length += 1;
        Some(ticket)
    }

    /// Removes the next request whose deadline is after `now`. Also removes and returns the expired requests found
    /// before it.
    pub fn pop(&mut self, now: u64) -> (Option<Ticket>, Vec<Ticket>) {
        let mut expired = Vec::new();
        loop {
            let Some(key) = self.next_queue() else {
                return (None, expired);
            };
            let Some(queue) = self.queues.get_mut(&key) else {
                return (None, expired);
            };
            let Some(Reverse((deadline, ticket, cost, weight))) = queue.waiting.pop() else {
                return (None, expired);
            };
            self.length -= 1;
            if deadline <= now {
                expired.push(ticket);
                continue;
            }
            self.virtual_time = self.virtual_time.max(queue.virtual_time);
            let cost = cost.max(1) * VIRTUAL_TIME_SCALE;
            queue.virtual_time += cost / u64::from(weight.max(1));
            return (Some(ticket), expired);
        }
    }

    /// Removes a request that no longer waits. Returns `false` if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in self.queues.values_mut() {
            let before = queue.waiting.len();
            queue.waiting.retain(|Reverse((_, held, _, _))| *held != ticket);
            if queue.waiting.len() < before {
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// The most requests that may leave the queue before a new request of this class.
    pub fn ahead_of(&self, class: Class) -> usize {
        let queues = self.queues.iter().filter(|((held, _), _)| *held <= class);
        queues.map(|(_, queue)| queue.waiting.len()).sum()
    }

    /// The queue whose turn it is: of the highest class with waiting requests, the one with the least virtual time.
    fn next_queue(&self) -> Option<(Class, TeamName)> {
        let filled = self.queues.iter().filter(|(_, queue)| !queue.waiting.is_empty());
        let key = |(class, team): &(Class, TeamName), queue: &TeamQueue| {
            (*class, queue.virtual_time, team.clone())
        };
        filled.min_by_key(|(id, queue)| key(id, queue)).map(|(id, _)| id.clone())
    }
}
