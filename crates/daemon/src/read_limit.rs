//! A limit on the bytes that a connection may receive.
//!
//! A faulty server may send bytes that belong to no answer, without end. Reading them
//! until a timeout would take the processor time of other requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of bytes that a connection may still receive.
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<AtomicUsize>);

impl Default for ReadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl ReadLimit {
    /// Sets the number of bytes that may be received from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes `bytes` off the limit; false if they exceed it.
    pub(crate) fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        let Some(after) = left.checked_sub(bytes) else {
            return false;
        };
        if left != usize::MAX {
            self.0.store(after, Ordering::Relaxed);
        }
        true
    }
}
