//! The connections of one side: how many there may be, which of them rest, and which are to go.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};

use super::server::Limits;
use crate::decide::memory::{
    MemoryBudget, MemoryClaim, MemoryLimitExceeded, MemoryReservation, Purpose,
};
use crate::sync::lock;

/// What a connection takes, as measured at rest: its task, and the buffers with which the library begins.
pub const CONNECTION_BYTES: u64 = 24 << 10;

/// Bytes of a head that fit into these buffers.
const HEAD_BYTES: u64 = 8 << 10;

/// Refused bodies that are read at the same time: others share the box's link.
const DRAINS: usize = 16;

/// Bytes that the system keeps for a caller: what is under way on a link of 10 Mb/s with 50 ms there and
/// back.
const SEND_BYTES: usize = 64 << 10;

/// Where a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Stage {
    /// It rests between requests.
    Resting,
    /// A head has begun to arrive, or is due: the connection is new.
    Head,
    /// A request is being answered.
    Busy,
}

/// One connection.
#[derive(Debug)]
pub struct Link {
    gate: Arc<Gate>,
    stage: AtomicU8,
    /// Requests that are not over: the next one may begin before the last piece of an answer is given up.
    requests: AtomicU32,
    /// Its place in the order of those at rest.
    order: AtomicU64,
    head: Mutex<Head>,
    cut: AtomicBool,
    ended: AtomicBool,
    told: Notify,
    _charge: Option<MemoryReservation>,
}

/// What has arrived of a head.
#[derive(Debug, Default)]
struct Head {
    since: Option<Instant>,
    bytes: u64,
    charge: Option<MemoryReservation>,
}

impl Link {
    /// Closes the connection at once, whatever is under way.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.told.notify_one();
    }

    /// Whether it is to be closed at once.
    pub(super) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Waits until it is to close.
    pub(super) async fn told(&self) {
        self.told.notified().await;
    }

    /// The side that the connection is one of.
    pub(super) fn gate(&self) -> &Gate {
        &self.gate
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        lock(&self.head)
    }

    fn is_at(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::SeqCst) == stage as u8
    }

    /// Bytes have arrived.
    ///
    /// # Errors
    /// When a head takes more than there is room for.
    pub(super) fn arrive(&self, bytes: u64) -> Result<(), MemoryLimitExceeded> {
        if self.is_at(Stage::Busy) {
            return Ok(());
        }
        let mut head = self.head();
        if self.is_at(Stage::Resting) {
            self.stage.store(Stage::Head as u8, Ordering::SeqCst);
            head.since = Some(Instant::now());
            self.gate.book().resting.remove(&self.order.load(Ordering::SeqCst));
        }
        head.bytes += bytes;
        let Some(memory) = self.gate.memory.as_ref().filter(|_| head.bytes > HEAD_BYTES) else {
            return Ok(());
        };
        match &mut head.charge {
            Some(charge) => charge.grow(bytes),
            None => {
                let reserved = memory.reserve(Purpose::Heads, bytes, MemoryClaim::Connection)?;
                head.charge = Some(reserved);
                Ok(())
            }
        }
    }

    /// Since when a head has been arriving.
    pub(super) fn head_since(&self) -> Option<Instant> {
        let is_due = self.is_at(Stage::Head) && self.requests.load(Ordering::SeqCst) == 0;
        is_due.then(|| self.head().since).flatten()
    }

    /// Whether a head is arriving, or due on a new connection.
    pub(super) fn awaits_head(&self) -> bool {
        self.is_at(Stage::Head)
    }

    /// A request has arrived.
    fn begin(&self) {
        self.requests.fetch_add(1, Ordering::SeqCst);
        if self.is_at(Stage::Resting) {
            self.gate.book().resting.remove(&self.order.load(Ordering::SeqCst));
        }
        self.stage.store(Stage::Busy as u8, Ordering::SeqCst);
        *self.head() = Head::default();
    }

    /// An answer has been taken, or given up; the connection rests unless another request has begun.
    fn rest(self: &Arc<Self>) {
        let mut book = self.gate.book();
        let others = self.requests.fetch_sub(1, Ordering::SeqCst) > 1;
        if others || self.ended.load(Ordering::SeqCst) {
            return;
        }
        book.next += 1;
        self.order.store(book.next, Ordering::SeqCst);
        self.stage.store(Stage::Resting as u8, Ordering::SeqCst);
        let order = book.next;
        book.resting.insert(order, self.clone());
    }

    /// The connection is over.
    fn end(&self) {
        let mut book = self.gate.book();
        self.ended.store(true, Ordering::SeqCst);
        book.resting.remove(&self.order.load(Ordering::SeqCst));
        book.count -= 1;
    }
}

/// A connection that is busy until this is dropped: its request may still arrive, or its answer go.
#[derive(Debug)]
pub struct Busy(Arc<Link>);

impl Busy {
    /// A request has arrived on a connection.
    pub(super) fn begin(link: &Arc<Link>) -> Arc<Self> {
        link.begin();
        Arc::new(Self(link.clone()))
    }

    /// The connection.
    pub fn link(&self) -> &Arc<Link> {
        &self.0
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.rest();
    }
}

/// Counts a connection until dropped.
pub(super) struct Place {
    pub(super) link: Arc<Link>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.link.end();
    }
}

#[derive(Debug, Default)]
struct Connections {
    next: u64,
    count: usize,
    resting: BTreeMap<u64, Arc<Link>>,
}

/// All connections of one side.
#[derive(Debug)]
pub struct Gate {
    /// What they are held to.
    pub(super) limits: Limits,
    /// Time for a head, in milliseconds.
    head_time: AtomicU64,
    memory: Option<MemoryBudget>,
    book: Mutex<Connections>,
    closed: AtomicU64,
    /// Places to read refused bodies to their end.
    pub(super) drains: Semaphore,
}

impl Gate {
    /// A side whose connections are not charged.
    pub fn new(limits: Limits) -> Arc<Self> {
        Self::build(limits, None)
    }

    /// A side whose connections are charged to `memory`.
    pub fn charged(limits: Limits, memory: MemoryBudget) -> Arc<Self> {
        Self::build(limits, Some(memory))
    }

    fn build(limits: Limits, memory: Option<MemoryBudget>) -> Arc<Self> {
        Arc::new(Self {
            limits,
            head_time: AtomicU64::new(limits.head_time.as_millis() as u64),
            memory,
            book: Mutex::default(),
            closed: AtomicU64::new(0),
            drains: Semaphore::new(DRAINS),
        })
    }

    fn book(&self) -> MutexGuard<'_, Connections> {
        lock(&self.book)
    }

    /// Time for a head to arrive.
    pub(super) fn head_time(&self) -> Duration {
        Duration::from_millis(self.head_time.load(Ordering::Relaxed))
    }

    /// Gives heads this much time from now on.
    pub fn set_head_time(&self, time: Duration) {
        self.head_time.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Connections, and those of them that rest.
    pub fn counts(&self) -> (usize, usize) {
        let book = self.book();
        (book.count, book.resting.len())
    }

    /// Connections that were closed to make room.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Takes a connection in; `None` where there is no place. Where connections are charged, one at rest
    /// goes for it.
    pub(super) fn enter(self: &Arc<Self>) -> Option<Place> {
        let is_full = self.book().count >= self.limits.callers;
        if is_full && (self.memory.is_none() || self.close_oldest(1) == 0) {
            return None;
        }
        // Where memory is short, one at rest goes for each that comes: they leave requests their room.
        self.relieve(1);
        let charge = self.charge(CONNECTION_BYTES, MemoryClaim::Connection).ok()?;
        let link = Arc::new(Link {
            gate: self.clone(),
            stage: AtomicU8::new(Stage::Head as u8),
            requests: AtomicU32::new(0),
            order: AtomicU64::new(0),
            head: Mutex::new(Head { since: Some(Instant::now()), ..Head::default() }),
            cut: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            told: Notify::new(),
            _charge: charge,
        });
        self.book().count += 1;
        Some(Place { link })
    }

    /// Charges what a connection takes, where connections are charged.
    pub(super) fn charge(
        &self,
        bytes: u64,
        claim: MemoryClaim,
    ) -> Result<Option<MemoryReservation>, MemoryLimitExceeded> {
        let memory = self.memory.as_ref();
        memory.map(|memory| memory.reserve(Purpose::Connections, bytes, claim)).transpose()
    }

    /// Has the system keep little for a caller, where connections are charged: what it keeps is in no
    /// book, and hides whether the caller takes anything.
    pub(super) fn bound_buffer(&self, stream: &TcpStream) {
        if self.memory.is_some()
            && let Err(error) = SockRef::from(stream).set_send_buffer_size(SEND_BYTES)
        {
            tracing::debug!(event = "send_buffer_not_bounded", %error);
        }
    }

    /// Closes so many connections at rest where memory is short, those first that have rested longest.
    pub fn relieve(&self, count: usize) {
        if self.memory.as_ref().is_some_and(MemoryBudget::is_under_pressure) {
            self.close_oldest(count);
        }
    }

    /// Closes so many connections at rest; how many there were.
    fn close_oldest(&self, count: usize) -> usize {
        let mut book = self.book();
        let mut closed = 0;
        while closed < count
            && let Some((_, link)) = book.resting.pop_first()
        {
            link.told.notify_one();
            closed += 1;
        }
        self.closed.fetch_add(closed as u64, Ordering::Relaxed);
        closed
    }
}
