//! A limit on the memory of bodies that are being received, or were received and are
//! still in use.
//!
//! Each body is limited in size, but many peers may send bodies without end at the same
//! time. The largest unfinished ones then fail, so that sound ones are received.

use crate::http_port::BodyError;
use crate::sync::lock;
use bytes::Bytes;
use camphorway_policy::{MemoryLedger, MemoryRefused, MessageId};
use derive_more::Debug;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use std::collections::HashMap;
use std::error::Error;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// Maximum size of all bodies beyond their first bytes.
const MAX_TOTAL_BYTES: usize = 32 * 1_048_576;
/// The first bytes of each body, which are not counted.
const UNCOUNTED_BYTES: usize = 16 * 1_024;

/// The memory that bodies share.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Arc<Mutex<MemoryState>>,
}

#[derive(Debug)]
struct MemoryState {
    ledger: MemoryLedger,
    /// Cancelled when a body has to yield its memory.
    #[debug("{}", yields.len())]
    yields: HashMap<MessageId, CancellationToken>,
}

/// The counted memory of one body, released when dropped.
struct BodyShare {
    memory: BodyMemory,
    id: MessageId,
    yields: CancellationToken,
}

/// A received body and its share of the memory.
struct KeptBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(MAX_TOTAL_BYTES)
    }
}

impl BodyMemory {
    /// A memory for `max_total` bytes beyond the first ones of each body.
    pub fn new(max_total: usize) -> Self {
        let state = MemoryState {
            ledger: MemoryLedger::new(max_total),
            yields: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Receives a body of at most `max_bytes` bytes. It counts until it is dropped.
    ///
    /// # Errors
    /// Returns why it was not received; the rest is not read.
    pub async fn receive<Source>(&self, body: Source, max_bytes: usize) -> Result<Bytes, BodyError>
    where
        Source: Body<Data = Bytes>,
        Source::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut body = pin!(body);
        let mut bytes = Vec::new();
        let mut share = None;
        while let Some(frame) = next_frame(body.as_mut(), share.as_ref()).await {
            let frame = frame?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            self.reserve(&mut bytes, data.len(), &mut share)?;
            bytes.extend_from_slice(&data);
        }
        let Some(share) = share else {
            return Ok(Bytes::from(bytes));
        };
        share.finish();
        Ok(Bytes::from_owner(KeptBody {
            bytes,
            _share: share,
        }))
    }

    /// Makes room for `more` bytes, counted as what is allocated.
    fn reserve(
        &self,
        bytes: &mut Vec<u8>,
        more: usize,
        share: &mut Option<BodyShare>,
    ) -> Result<(), BodyError> {
        let before = bytes.capacity();
        let needed = bytes.len() + more;
        if needed <= before {
            return Ok(());
        }
        let capacity = needed.max(2 * before);
        if capacity > UNCOUNTED_BYTES {
            let uncounted = before.max(UNCOUNTED_BYTES);
            let share = share.get_or_insert_with(|| self.begin());
            share.grow(capacity - uncounted)?;
        }
        bytes.reserve_exact(capacity - bytes.len());
        Ok(())
    }

    fn begin(&self) -> BodyShare {
        let yields = CancellationToken::new();
        let mut state = lock(&self.state);
        let id = state.ledger.begin();
        state.yields.insert(id, yields.clone());
        BodyShare {
            memory: self.clone(),
            id,
            yields,
        }
    }
}

impl BodyShare {
    fn grow(&self, bytes: usize) -> Result<(), BodyError> {
        let mut state = lock(&self.memory.state);
        let yielding = state.ledger.grow(self.id, bytes);
        let yielding = yielding.map_err(|MemoryRefused| BodyError::NoMemory)?;
        for id in yielding {
            if let Some(token) = state.yields.get(&id) {
                token.cancel();
            }
        }
        Ok(())
    }

    fn finish(&self) {
        lock(&self.memory.state).ledger.finish(self.id);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.ledger.release(self.id);
        state.yields.remove(&self.id);
    }
}

/// The next frame of a body, or an error once it has to yield its memory.
async fn next_frame<Source>(
    mut body: Pin<&mut Source>,
    share: Option<&BodyShare>,
) -> Option<Result<Frame<Bytes>, BodyError>>
where
    Source: Body<Data = Bytes>,
    Source::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let received = async {
        let frame = body.frame().await?;
        Some(frame.map_err(|cause| BodyError::of(cause.into().as_ref())))
    };
    let Some(share) = share else {
        return received.await;
    };
    let yielded = async {
        share.yields.cancelled().await;
        Some(Err(BodyError::NoMemory))
    };
    yielded.or(received).await
}
