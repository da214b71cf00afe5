//! Writes that must be on the disk before anything else happens, tried until they are, and what the rest
//! of the process knows of a disk that does not take them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ractor::ActorProcessingErr;

use super::storage::{Batch, Storage, StorageError};
use crate::obstacle::{Obstacle, Remedy, Wait};
use crate::sync::lock;

/// Pause after a write, or an attempt to open the storage, that failed.
pub const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long the disk may take for a write before the replica counts as one that waits for it.
const STALL_TIME: Duration = Duration::from_secs(2);

/// What the disk of this process's replica does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum DiskState {
    /// Nothing is asked of it.
    #[default]
    Idle,
    /// It writes, since then.
    Writing(Instant),
    /// It has written for too long.
    Stalled(Wait),
    /// It refuses.
    Refusing(Wait),
}

/// Watches whether the disk does what it is asked. A replica whose disk does not is as one that stands
/// still: it neither votes nor acknowledges anything, and the others go on without it.
#[derive(Debug, Default)]
pub struct DiskWatch {
    state: Mutex<DiskState>,
}

impl DiskWatch {
    /// How long the replica has waited for its disk, if it waits.
    pub fn waits(&self) -> Option<Duration> {
        match *lock(&self.state) {
            DiskState::Idle => None,
            DiskState::Writing(since) => Some(since.elapsed()).filter(|time| *time > STALL_TIME),
            DiskState::Stalled(wait) | DiskState::Refusing(wait) => {
                Some(wait.lasted(Instant::now()))
            }
        }
    }

    /// Looks whether the disk stands still, and says so from time to time. Returns whether that is new.
    pub fn check_stalled(&self) -> bool {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let (mut wait, is_first) = match *state {
            DiskState::Writing(since) if now.duration_since(since) > STALL_TIME => {
                (Wait::begin(since), true)
            }
            DiskState::Stalled(wait) => (wait, false),
            _ => return false,
        };
        if wait.is_due(now) {
            let ms = wait.lasted(now).as_millis() as u64;
            tracing::error!(event = "storage_stalled", obstacle = %Obstacle::DiskRefuses, ms);
        }
        *state = DiskState::Stalled(wait);
        is_first
    }

    /// The disk is asked for something.
    pub fn begin(&self) {
        let mut state = lock(&self.state);
        if *state == DiskState::Idle {
            *state = DiskState::Writing(Instant::now());
        }
    }

    /// The disk refused. Returns whether it did not refuse before.
    pub fn refuse(&self, error: &StorageError) -> bool {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let (mut wait, is_first) = match *state {
            DiskState::Refusing(wait) => (wait, false),
            DiskState::Stalled(wait) => (wait, true),
            DiskState::Idle | DiskState::Writing(_) => (Wait::begin(now), true),
        };
        if wait.is_due(now) {
            let (obstacle, ms) = (error.obstacle(), wait.lasted(now).as_millis() as u64);
            tracing::error!(event = "storage_failed", %obstacle, %error, ms);
        }
        *state = DiskState::Refusing(wait);
        is_first
    }

    /// The disk did what it was asked.
    pub fn end(&self) {
        let before = std::mem::replace(&mut *lock(&self.state), DiskState::Idle);
        if let DiskState::Stalled(wait) | DiskState::Refusing(wait) = before {
            let ms = wait.lasted(Instant::now()).as_millis() as u64;
            tracing::info!(event = "storage_back", ms);
        }
    }
}

/// Tells a database that breaks off again and again on what it holds from one that a failing disk stopped.
#[derive(Debug, Default)]
pub struct Interruptions {
    is_repeated: bool,
}

impl Interruptions {
    /// What an attempt failed by. The second interruption in a row is no chance.
    pub fn judge(&mut self, error: StorageError) -> StorageError {
        let was_interrupted = std::mem::take(&mut self.is_repeated);
        match error {
            StorageError::Interrupted { path } if was_interrupted => {
                StorageError::Corrupt { path, what: "the database".to_owned() }
            }
            error => {
                self.is_repeated = matches!(error, StorageError::Interrupted { .. });
                error
            }
        }
    }
}

/// Stores a batch. What was said to be stored must be, so nothing else happens until it is. `refused` is
/// called when the disk refuses it for the first time.
///
/// # Errors
/// When the storage can be of no use any more.
pub(super) async fn store(
    storage: &Arc<Storage>,
    batch: Batch,
    disk: &DiskWatch,
    refused: impl Fn(),
) -> Result<(), ActorProcessingErr> {
    if batch.is_empty() {
        return Ok(());
    }
    let batch = Arc::new(batch);
    disk.begin();
    let mut interruptions = Interruptions::default();
    while let Err(error) = try_store(storage, &batch).await? {
        let error = interruptions.judge(error);
        let obstacle = error.obstacle();
        if obstacle.remedy() == Remedy::End {
            tracing::error!(event = "storage_lost", %obstacle, %error);
            return Err(error.into());
        }
        if disk.refuse(&error) {
            refused();
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    disk.end();
    Ok(())
}

async fn try_store(
    storage: &Arc<Storage>,
    batch: &Arc<Batch>,
) -> Result<Result<(), StorageError>, ActorProcessingErr> {
    let (writing, batch) = (storage.clone(), batch.clone());
    match tokio::task::spawn_blocking(move || writing.write(&batch)).await {
        Ok(result) => Ok(result),
        // The database was closed on the way; the next attempt opens it again.
        Err(error) if error.is_panic() => Ok(Err(storage.interrupted())),
        Err(error) => Err(error.into()),
    }
}
