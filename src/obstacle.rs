//! What keeps a node from starting or from going on, and what it does about it.
//!
//! A new process meets what the former one met, so a node ends by itself only where an operator has to
//! change something first, or where its own state can no longer be trusted. It waits for the rest.

use std::fmt;
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// Time between two log lines about what is still waited for.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What keeps a node from starting or from going on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// The settings file lacks its end.
    SettingsIncomplete,
    /// The settings file has faults, and is not being written any more.
    SettingsInvalid,
    /// An address cannot be listened on yet: another process has it, the machine does not have it, or
    /// descriptors have run out.
    AddressTaken,
    /// The process may not listen on an address.
    AddressForbidden,
    /// The disk is full, fails or stands still, or a former process still holds the file.
    DiskRefuses,
    /// What is stored cannot be read.
    StorageCorrupt,
    /// What is stored belongs to another box.
    StorageForeign,
    /// An actor that the node depends on has ended: what it held in memory cannot be trusted, what is stored can.
    ActorEnded,
}

/// What a node does about an obstacle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remedy {
    /// Try again until it has passed, and say so.
    Wait,
    /// End the process.
    End,
}

impl Obstacle {
    /// What a node does about it.
    pub const fn remedy(self) -> Remedy {
        match self {
            Self::SettingsIncomplete => Remedy::Wait,
            Self::SettingsInvalid => Remedy::End,
            Self::AddressTaken => Remedy::Wait,
            Self::AddressForbidden => Remedy::End,
            Self::DiskRefuses => Remedy::Wait,
            Self::StorageCorrupt => Remedy::End,
            Self::StorageForeign => Remedy::End,
            Self::ActorEnded => Remedy::End,
        }
    }

    /// Which one it is that an address cannot be listened on.
    pub fn of_listening(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::PermissionDenied | ErrorKind::InvalidInput | ErrorKind::Unsupported => {
                Self::AddressForbidden
            }
            _ => Self::AddressTaken,
        }
    }
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SettingsIncomplete => "settings_incomplete",
            Self::SettingsInvalid => "settings_invalid",
            Self::AddressTaken => "address_taken",
            Self::AddressForbidden => "address_forbidden",
            Self::DiskRefuses => "disk_refuses",
            Self::StorageCorrupt => "storage_corrupt",
            Self::StorageForeign => "storage_foreign",
            Self::ActorEnded => "actor_ended",
        })
    }
}

/// A wait that is told of when it begins, and from time to time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    since: Instant,
    logged: Option<Instant>,
}

impl Wait {
    /// A wait that begins at `now`.
    pub const fn begin(now: Instant) -> Self {
        Self { since: now, logged: None }
    }

    /// How long it has lasted.
    pub fn lasted(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether a line about it is due; the next one is due later.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged = Some(now);
        }
        is_due
    }
}
