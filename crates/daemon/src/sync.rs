//! Locks that outlive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`. A panic elsewhere has been logged; what it guards is kept in
/// order by short steps, so it can still be used.
pub fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
