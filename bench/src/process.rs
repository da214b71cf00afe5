//! A process's use of the machine, read from `/proc` (Linux, proc(5)).

use std::time::Duration;

/// Clock ticks a second in `/proc`: 100 on every Linux this runs on.
const TICKS: u64 = 100;

/// The processor time a process has used so far; zero when it is gone.
pub(crate) fn cpu_time(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The second field is a name in brackets, which may hold spaces.
    let fields: Vec<_> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |place: usize| -> u64 {
        fields.get(place).and_then(|field| field.parse().ok()).unwrap_or(0)
    };
    Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / TICKS)
}

/// The resident memory of a process, in KiB; zero when it is gone.
pub(crate) fn resident_kib(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
