//! What locks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also where a task has panicked that held it: the others go on.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
