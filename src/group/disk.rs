//! Writes that must be on the disk before anything else happens, tried until they are.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ractor::ActorProcessingErr;

use super::storage::{Batch, Storage, StorageError};

/// Pause after a write that failed.
const STORE_PAUSE: Duration = Duration::from_millis(300);

/// How long writes may fail before the process ends: whoever runs it is to see that the disk is of no
/// use. Longer than a disk is full for while somebody makes room.
const GIVE_UP_TIME: Duration = Duration::from_secs(30);

/// Exit code of a replica whose disk refused writes for that long.
const STORAGE_FAILED: i32 = 74;

/// Stores a batch. What was said to be stored must be, so nothing else happens until it is: a replica
/// whose disk is full is as one that stands still, and the others go on without it.
///
/// # Errors
/// When the writing task itself is gone.
pub(super) async fn store(storage: &Arc<Storage>, batch: Batch) -> Result<(), ActorProcessingErr> {
    if batch.is_empty() {
        return Ok(());
    }
    let batch = Arc::new(batch);
    let began = Instant::now();
    while let Err(error) = try_store(storage, &batch).await? {
        let failed_for = began.elapsed();
        tracing::error!(event = "storage_failed", %error, ms = failed_for.as_millis() as u64);
        if failed_for > GIVE_UP_TIME {
            std::process::exit(STORAGE_FAILED);
        }
        tokio::time::sleep(STORE_PAUSE).await;
    }
    Ok(())
}

async fn try_store(
    storage: &Arc<Storage>,
    batch: &Arc<Batch>,
) -> Result<Result<(), StorageError>, ActorProcessingErr> {
    let (storage, batch) = (storage.clone(), batch.clone());
    Ok(tokio::task::spawn_blocking(move || storage.write(&batch)).await?)
}
