//! A limit on the memory of answers that are being received.
//!
//! Each answer is limited in size, but many servers may send bodies without end at the
//! same time.

use bytes::{Bytes, BytesMut};
use camphorway_daemon::http_client::is_connection_lost;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum size of one answer's body.
pub const MAX_ANSWER_BYTES: usize = 8 * 1_048_576;
/// Maximum size of all bodies that are being received.
const MAX_TOTAL_BYTES: usize = 32 * 1_048_576;

/// The bytes of all bodies that are being received.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory {
    used: Arc<AtomicUsize>,
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// The connection ended before the body did.
    Incomplete,
    /// The bytes are no body.
    Malformed,
    /// The body, or all bodies together, are larger than allowed.
    TooLarge,
}

/// A part of the memory, released when dropped.
struct MemoryPart<'memory> {
    memory: &'memory AnswerMemory,
    bytes: usize,
}

impl AnswerMemory {
    /// Receives a body to its end.
    ///
    /// # Errors
    /// Returns why it was not received; the rest is not read.
    pub async fn receive(&self, mut body: Incoming) -> Result<Bytes, AnswerFault> {
        let mut part = MemoryPart {
            memory: self,
            bytes: 0,
        };
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|cause| {
                if is_connection_lost(&cause) {
                    AnswerFault::Incomplete
                } else {
                    AnswerFault::Malformed
                }
            })?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            part.grow(data.len())?;
            received.extend_from_slice(&data);
        }
        Ok(received.freeze())
    }
}

impl MemoryPart<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), AnswerFault> {
        let used = self.memory.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        if used > MAX_TOTAL_BYTES || self.bytes > MAX_ANSWER_BYTES {
            return Err(AnswerFault::TooLarge);
        }
        Ok(())
    }
}

impl Drop for MemoryPart<'_> {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
