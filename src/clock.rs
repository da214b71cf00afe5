//! The clock for leases and the age of data, which also advances while the machine is suspended.
//!
//! A machine may be suspended for seconds. The monotonic clock does not count that time, so after resuming, a
//! box would consider an expired lease or configuration as fresh as before the suspension. This clock adds the
//! suspended time, and so keeps pace with the clocks of the other boxes.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

use crate::sync::lock;

/// Readings are discarded if the two readings of the monotonic clock are this far apart: the process was not
/// scheduled between them, so the boot clock may have been read at any moment in that span.
const MAX_READING_SPREAD: Duration = Duration::from_millis(1);

/// Shorter differences are not counted as a suspension, because the two clocks are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

static DETECTOR: Mutex<SuspendDetector> = Mutex::new(SuspendDetector::new());

/// Returns the current time. It never goes back, and includes the time for which the machine was suspended.
///
/// Logs a warning when it detects a suspension.
pub fn now() -> Instant {
    let (previous_ms, suspended_ms) = {
        let mut detector = lock(&DETECTOR);
        (detector.suspended_ms(), detector.observe(read_clocks()))
    };
    if suspended_ms > previous_ms {
        tracing::warn!(event = "machine_was_suspended", ms = suspended_ms - previous_ms);
    }
    Instant::now() + Duration::from_millis(suspended_ms)
}

/// Returns the time elapsed since `at`, an instant of [`now`]; zero if it lies in the future.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Advances the clock as if the machine had been suspended for this long. For tests.
#[doc(hidden)]
pub fn advance(by: Duration) {
    lock(&DETECTOR).suspended += by;
}

/// Readings of both clocks, taken in the order of the fields.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// The monotonic clock, which stands still during a suspension.
    pub monotonic_before: Duration,
    /// The boot clock, which includes the time of suspensions.
    pub boot: Duration,
    /// The monotonic clock again.
    pub monotonic_after: Duration,
}

fn read_clocks() -> ClockReading {
    let read = |clock| {
        let time = clock_gettime(clock);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    };
    ClockReading {
        monotonic_before: read(ClockId::Monotonic),
        boot: read(ClockId::Boottime),
        monotonic_after: read(ClockId::Monotonic),
    }
}

/// Detects suspensions of the machine by the growing offset between the boot clock and the monotonic clock.
#[derive(Debug, Default)]
pub struct SuspendDetector {
    /// The offset of the boot clock at the first reading, or at the last one that counted as a suspension.
    reference_offset: Option<Duration>,
    /// The sum of all detected suspensions.
    suspended: Duration,
}

impl SuspendDetector {
    /// Creates a detector without a reading; the first one sets the reference offset.
    pub const fn new() -> Self {
        Self { reference_offset: None, suspended: Duration::ZERO }
    }

    /// Evaluates a reading and returns the milliseconds of all suspensions detected since the first one.
    pub fn observe(&mut self, reading: ClockReading) -> u64 {
        let ClockReading { monotonic_before, boot, monotonic_after } = reading;
        if monotonic_after.saturating_sub(monotonic_before) < MAX_READING_SPREAD {
            let offset = boot.saturating_sub(monotonic_before);
            let reference = *self.reference_offset.get_or_insert(offset);
            let growth = offset.saturating_sub(reference);
            if growth >= MIN_SUSPENSION {
                self.suspended += growth;
                self.reference_offset = Some(offset);
            }
        }
        self.suspended_ms()
    }

    /// Returns the milliseconds of all detected suspensions.
    fn suspended_ms(&self) -> u64 {
        self.suspended.as_millis() as u64
    }
}
