//! The time by which leases and ages are judged.
//!
//! A machine may be suspended for seconds. The steady clock does not count that time, so a box that wakes would
//! take a lease or a configuration that has run out to be as new as before. The clock here goes on meanwhile, as the
//! others' do.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

use crate::sync::lock;

/// Two readings of the steady clock that far apart say nothing of a third one between them: this process was
/// not running.
const READING_TIME: Duration = Duration::from_millis(1);

/// What is shorter is no suspension: the two clocks are not read at the same moment.
const LEAST_TIME: Duration = Duration::from_millis(10);

static WATCH: Mutex<SuspendWatch> = Mutex::new(SuspendWatch::new());

/// Now. It never goes back, and goes on while the machine is suspended.
pub fn now() -> Instant {
    let (before, suspended) = {
        let mut watch = lock(&WATCH);
        (watch.suspended(), watch.look(read()))
    };
    if suspended > before {
        tracing::warn!(event = "machine_was_suspended", ms = suspended - before);
    }
    Instant::now() + Duration::from_millis(suspended)
}

/// How long ago something was by [`now`].
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Has the clock go on as if the machine had been suspended for so long: for tests.
#[doc(hidden)]
pub fn advance(by: Duration) {
    lock(&WATCH).past += by;
}

/// The steady clock, the one that goes on, and the steady clock again.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The steady clock before.
    pub before: Duration,
    /// The clock that counts the time of suspensions.
    pub counted: Duration,
    /// The steady clock behind.
    pub behind: Duration,
}

fn read() -> Reading {
    let read = |clock| {
        let time = clock_gettime(clock);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    };
    Reading {
        before: read(ClockId::Monotonic),
        counted: read(ClockId::Boottime),
        behind: read(ClockId::Monotonic),
    }
}

/// Follows how far two clocks have come apart.
#[derive(Debug, Default)]
pub struct SuspendWatch {
    /// How far they were apart at the last look.
    apart: Option<Duration>,
    /// The time of all suspensions.
    past: Duration,
}

impl SuspendWatch {
    /// Nothing seen yet.
    pub const fn new() -> Self {
        Self { apart: None, past: Duration::ZERO }
    }

    /// Takes a reading; milliseconds for which the machine was suspended since the first one.
    pub fn look(&mut self, reading: Reading) -> u64 {
        let Reading { before, counted, behind } = reading;
        if behind.saturating_sub(before) < READING_TIME {
            let apart = counted.saturating_sub(before);
            let former = *self.apart.get_or_insert(apart);
            let grown = apart.saturating_sub(former);
            if grown >= LEAST_TIME {
                self.past += grown;
                self.apart = Some(apart);
            }
        }
        self.suspended()
    }

    /// Milliseconds for which the machine was suspended, as far as was seen.
    fn suspended(&self) -> u64 {
        self.past.as_millis() as u64
    }
}
