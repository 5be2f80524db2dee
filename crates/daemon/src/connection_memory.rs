//! The memory that a port's connections hold: heads, bodies, and answers that were not
//! yet sent. Connections that the [`ConnectionLedger`] closes end at once.

use crate::clock::DaemonClock;
use crate::connection_counts::{ConnectionCounts, ConnectionLoss};
use crate::event;
use crate::http_port::BodyError;
use crate::http2_heads::HeadBytes;
use crate::stream_heads::StreamHeads;
use crate::sync::lock;
use bytes::Bytes;
use camphorway_policy::{
    ClosingConnections, ConnectionId, ConnectionLedger, ConnectionLimits, ConnectionRefused,
    MemoryGrant,
};
use derive_more::Debug;
use event_listener::{Event, EventListener};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body;
use std::collections::HashMap;
use std::error::Error;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// An idle connection's task, and the read buffer that it keeps.
const IDLE_BYTES: usize = 8 * 1_024;
/// Bytes that the idle connection's memory has room for.
const UNCOUNTED_READ_BYTES: usize = 4 * 1_024;
/// Buffers hold no more than this of what was read, or two copies of the largest head: a
/// head, and chunk extensions or trailers.
const MAX_BUFFERED_BYTES: usize = 32 * 1_024;
/// A buffer that grows holds what was read twice.
const BUFFER_COPIES: usize = 2;
/// A header field's entry in a map and in the copy that is forwarded.
const FIELD_BYTES: usize = 256;
/// The part of a body that is allocated at once.
const SEGMENT_BYTES: usize = 16 * 1_024;
/// Header fields that the idle connection's memory has room for.
const UNCOUNTED_FIELDS: usize = 32;
/// Answers that the idle connection's memory has room for.
const UNCOUNTED_ANSWER_BYTES: usize = 4 * 1_024;

/// What the connections of a port may hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PortLimits {
    /// Memory, in bytes.
    pub max_bytes: usize,
    /// Number of connections.
    pub max_connections: usize,
}

/// The memory that the connections of one port share.
#[derive(Clone, Debug)]
pub struct ConnectionMemory {
    clock: DaemonClock,
    counts: ConnectionCounts,
    state: Arc<Mutex<MemoryState>>,
    /// Notified when memory was released.
    #[debug(skip)]
    released: Arc<Event>,
}

#[derive(Debug)]
struct MemoryState {
    ledger: ConnectionLedger,
    /// Cancelled when a connection has to close.
    #[debug("{}", closing.len())]
    closing: HashMap<ConnectionId, CancellationToken>,
}

/// What one connection holds, released when dropped.
#[derive(Debug)]
pub struct ConnectionShare {
    memory: ConnectionMemory,
    id: ConnectionId,
    closing: CancellationToken,
    /// Bytes read since the last answer.
    read: AtomicUsize,
    /// The size of the largest head.
    max_head: AtomicUsize,
    /// Lines of heads among them.
    lines: AtomicUsize,
    /// Memory counted for them.
    buffered: AtomicUsize,
    /// Number of requests that were begun and not answered.
    begun: AtomicUsize,
    /// Memory of requests on streams that have arrived and not begun.
    heads: Mutex<StreamHeads>,
    /// Bytes of answers that were counted and not yet sent.
    unsent: AtomicUsize,
}

/// Memory counted for a connection until dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    share: Arc<ConnectionShare>,
    bytes: usize,
}

/// A request that runs until dropped.
#[derive(Debug)]
pub struct RunningRequest(Arc<ConnectionShare>);

/// A request whose body is being received does not run until this is dropped.
struct PausedRequest<'share>(&'share ConnectionShare);

/// A received body and the memory counted for it.
struct KeptBody {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

/// The parts of a body that is being received.
#[derive(Debug, Default)]
struct BodySegments {
    segments: Vec<(Vec<u8>, HeldBytes)>,
    bytes: usize,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ConnectionMemory {
    /// A memory for the connections of a port, within `limits`.
    pub fn new(limits: PortLimits, clock: &DaemonClock, counts: ConnectionCounts) -> Self {
        let limits = ConnectionLimits {
            max_bytes: limits.max_bytes,
            max_connections: limits.max_connections,
            idle_bytes: IDLE_BYTES,
        };
        let state = MemoryState {
            ledger: ConnectionLedger::new(limits),
            closing: HashMap::new(),
        };
        Self {
            clock: clock.clone(),
            counts,
            state: Arc::new(Mutex::new(state)),
            released: Arc::default(),
        }
    }

    /// The share of a new connection; none if requests run on all others.
    pub fn open(&self) -> Option<Arc<ConnectionShare>> {
        let closing = CancellationToken::new();
        let mut state = lock(&self.state);
        let cause = if state.ledger.is_full() {
            ConnectionLoss::Place
        } else {
            ConnectionLoss::Memory
        };
        let Ok((id, others)) = state.ledger.open(self.clock.now()) else {
            self.counts.add(ConnectionLoss::Refused, 1);
            return None;
        };
        self.counts.add(cause, others.len());
        state.close(others);
        state.closing.insert(id, closing.clone());
        Some(Arc::new(ConnectionShare {
            memory: self.clone(),
            id,
            closing,
            read: AtomicUsize::new(0),
            max_head: AtomicUsize::new(MAX_BUFFERED_BYTES / BUFFER_COPIES),
            lines: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
            heads: Mutex::default(),
            buffered: AtomicUsize::new(0),
            unsent: AtomicUsize::new(0),
        }))
    }
}

impl MemoryState {
    fn close(&mut self, connections: ClosingConnections) {
        if connections.is_empty() {
            return;
        }
        event!(Info, "connections-closed", count = connections.len());
        for id in connections {
            if let Some(token) = self.closing.remove(&id) {
                token.cancel();
            }
        }
    }
}

impl ConnectionShare {
    /// Sets the size of the largest head.
    pub(crate) fn set_max_head(&self, bytes: usize) {
        self.max_head.store(bytes, Ordering::Relaxed);
    }

    /// The size of the largest head.
    pub(crate) fn max_head(&self) -> usize {
        self.max_head.load(Ordering::Relaxed)
    }

    /// Records that the connection has ended, or ends it.
    pub(crate) fn close(&self) {
        self.closing.cancel();
    }

    /// Waits until the connection has to close.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// The clock of the port.
    pub(crate) fn clock(&self) -> &DaemonClock {
        &self.memory.clock
    }

    /// Grants `bytes` more, if need be after others have closed; none if it was granted.
    fn try_grow(&self, bytes: usize) -> Result<Option<EventListener>, ConnectionRefused> {
        if self.closing.is_cancelled() {
            return Err(ConnectionRefused);
        }
        let released = self.memory.released.listen();
        let counts = &self.memory.counts;
        let mut state = lock(&self.memory.state);
        let grant = state.ledger.grow(self.id, bytes);
        match grant.inspect_err(|_| counts.add(ConnectionLoss::NoMemory, 1))? {
            MemoryGrant::Granted => Ok(None),
            MemoryGrant::AfterClosing(others) => {
                counts.add(ConnectionLoss::Memory, others.len());
                state.close(others);
                Ok(Some(released))
            }
        }
    }

    async fn grow(&self, bytes: usize) -> Result<(), ConnectionRefused> {
        while let Some(released) = self.try_grow(bytes)? {
            released.await;
        }
        Ok(())
    }

    fn shrink(&self, bytes: usize) {
        if bytes > 0 {
            lock(&self.memory.state).ledger.shrink(self.id, bytes);
            self.memory.released.notify(usize::MAX);
        }
    }

    /// Counts bytes that were read, before they are buffered; none if they were granted
    /// memory.
    #[expect(clippy::naive_bytecount, reason = "a read is a few kilobytes")]
    pub(crate) fn add_read(
        &self,
        bytes: &[u8],
    ) -> Result<Option<EventListener>, ConnectionRefused> {
        self.read.fetch_add(bytes.len(), Ordering::Relaxed);
        if self.begun.load(Ordering::Relaxed) == 0 {
            let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
            self.lines.fetch_add(lines, Ordering::Relaxed);
        }
        self.count_buffered()
    }

    /// Counts the memory for what was read so far, as [`Self::add_read`] does.
    pub(crate) fn count_buffered(&self) -> Result<Option<EventListener>, ConnectionRefused> {
        let read = self.read.load(Ordering::Relaxed);
        let lines = self.lines.load(Ordering::Relaxed);
        let max_buffered = MAX_BUFFERED_BYTES.max(self.max_head() * BUFFER_COPIES);
        let buffered = buffer_bytes(read).min(max_buffered);
        let waiting = self.buffer(buffered + field_bytes(lines))?;
        if waiting.is_some() {
            return Ok(waiting);
        }
        self.reserve_heads()
    }

    /// Adds the memory of requests whose heads were read, for [`Self::count_buffered`].
    pub(crate) fn add_heads(&self, heads: &HeadBytes) {
        lock(&self.heads).add(heads);
    }

    fn reserve_heads(&self) -> Result<Option<EventListener>, ConnectionRefused> {
        let mut heads = lock(&self.heads);
        if heads.unreserved() == 0 {
            return Ok(None);
        }
        let waiting = self.try_grow(heads.unreserved())?;
        if waiting.is_none() {
            heads.set_reserved();
        }
        Ok(waiting)
    }

    /// The memory of a request with so many header fields, which has arrived on a stream.
    pub(crate) fn begin_stream(self: &Arc<Self>, fields: usize) -> HeldBytes {
        let begun = lock(&self.heads).begin(fields);
        self.shrink(begun.unneeded);
        let bytes = begun.needed;
        HeldBytes {
            share: Arc::clone(self),
            bytes,
        }
    }

    fn buffer(&self, needed: usize) -> Result<Option<EventListener>, ConnectionRefused> {
        let buffered = self.buffered.load(Ordering::Relaxed);
        if needed <= buffered {
            return Ok(None);
        }
        let waiting = self.try_grow(needed - buffered)?;
        if waiting.is_none() {
            self.buffered.store(needed, Ordering::Relaxed);
        }
        Ok(waiting)
    }

    /// Records bytes that were written.
    pub(crate) fn add_written(&self, bytes: usize) {
        if self.unsent.load(Ordering::Relaxed) == 0 {
            return;
        }
        let taken = |unsent: usize| Some(unsent.saturating_sub(bytes));
        let before = self
            .unsent
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken);
        self.shrink(bytes.min(before.unwrap_or_default()));
    }

    /// Records that a request with these headers begins.
    ///
    /// # Errors
    /// Returns an error if there is no memory for it.
    pub(crate) fn begin_request(
        self: &Arc<Self>,
        headers: &HeaderMap,
    ) -> Result<RunningRequest, ConnectionRefused> {
        // Counted already, unless it was read before an earlier request was answered.
        if self.buffer(field_bytes(headers.len()))?.is_some() {
            return Err(ConnectionRefused);
        }
        Ok(self.begin_counted())
    }

    /// Records that a request begins whose memory is counted.
    pub(crate) fn begin_counted(self: &Arc<Self>) -> RunningRequest {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.resume_request();
        RunningRequest(Arc::clone(self))
    }

    fn resume_request(&self) {
        let now = self.memory.clock.now();
        lock(&self.memory.state).ledger.begin_request(self.id, now);
    }

    fn end_request(&self) {
        let now = self.memory.clock.now();
        lock(&self.memory.state).ledger.end_request(self.id, now);
    }

    /// Counts an answer of `bytes` bytes until it is sent.
    pub(crate) fn hold_answer(&self, bytes: usize) {
        if bytes <= UNCOUNTED_ANSWER_BYTES {
            return;
        }
        self.unsent.fetch_add(bytes, Ordering::Relaxed);
        self.grow_for_answer(bytes);
    }

    fn grow_for_answer(&self, bytes: usize) {
        let mut state = lock(&self.memory.state);
        let others = state.ledger.hold_answer(self.id, bytes);
        self.memory.counts.add(ConnectionLoss::Memory, others.len());
        state.close(others);
    }

    /// Counts an answer of `bytes` bytes, which are already held, until the result is
    /// dropped.
    pub(crate) fn hold_sending(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        self.grow_for_answer(bytes);
        HeldBytes {
            share: Arc::clone(self),
            bytes,
        }
    }

    async fn hold(self: &Arc<Self>, bytes: usize) -> Result<HeldBytes, ConnectionRefused> {
        self.grow(bytes).await?;
        Ok(HeldBytes {
            share: Arc::clone(self),
            bytes,
        })
    }

    /// Receives a body of at most `max_bytes` bytes, counted until it is dropped.
    ///
    /// # Errors
    /// Returns why it was not received; the rest is not read.
    pub async fn receive<Source>(
        self: &Arc<Self>,
        body: Source,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError>
    where
        Source: Body<Data = Bytes>,
        Source::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let _paused = PausedRequest::new(self);
        let mut body = pin!(body);
        let mut segments = BodySegments::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|cause| BodyError::of(cause.into().as_ref()))?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if segments.bytes + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            let received = segments.add(self, &data).await;
            received.map_err(|ConnectionRefused| BodyError::NoMemory)?;
        }
        let joined = segments.join(self).await;
        joined.map_err(|ConnectionRefused| BodyError::NoMemory)
    }
}

impl BodySegments {
    async fn add(
        &mut self,
        share: &Arc<ConnectionShare>,
        mut data: &[u8],
    ) -> Result<(), ConnectionRefused> {
        self.bytes += data.len();
        while !data.is_empty() {
            let last = self.segments.last_mut();
            let last = last.filter(|(segment, _)| segment.len() < segment.capacity());
            let Some((segment, _)) = last else {
                let capacity = segment_bytes(data.len());
                let held = share.hold(capacity).await?;
                self.segments.push((Vec::with_capacity(capacity), held));
                continue;
            };
            let room = segment.capacity() - segment.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            segment.extend_from_slice(fitting);
            data = rest;
        }
        Ok(())
    }

    async fn join(mut self, share: &Arc<ConnectionShare>) -> Result<Bytes, ConnectionRefused> {
        if self.segments.len() < 2 {
            let kept = self.segments.pop();
            let kept = kept.map(|(bytes, held)| Bytes::from_owner(KeptBody { bytes, _held: held }));
            return Ok(kept.unwrap_or_default());
        }
        let held = share.hold(self.bytes).await?;
        let mut bytes = Vec::with_capacity(self.bytes);
        for (segment, _) in self.segments {
            bytes.extend_from_slice(&segment);
        }
        Ok(Bytes::from_owner(KeptBody { bytes, _held: held }))
    }
}

/// Small bodies come whole; others get segments of one size, which leave no gaps in the
/// memory when they are released.
fn segment_bytes(received: usize) -> usize {
    if received < SEGMENT_BYTES / 4 {
        received.next_multiple_of(SEGMENT_BYTES / 4)
    } else {
        SEGMENT_BYTES
    }
}

/// The memory of the buffers after so many bytes were read.
fn buffer_bytes(read: usize) -> usize {
    if read <= UNCOUNTED_READ_BYTES {
        return 0;
    }
    let steps = read.div_ceil(UNCOUNTED_READ_BYTES);
    steps * UNCOUNTED_READ_BYTES * BUFFER_COPIES
}

/// The memory of so many header fields.
fn field_bytes(fields: usize) -> usize {
    if fields <= UNCOUNTED_FIELDS {
        0
    } else {
        fields * FIELD_BYTES
    }
}

impl<'share> PausedRequest<'share> {
    fn new(share: &'share ConnectionShare) -> Self {
        share.end_request();
        Self(share)
    }
}

impl Drop for PausedRequest<'_> {
    fn drop(&mut self) {
        self.0.resume_request();
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.share.shrink(self.bytes);
    }
}

impl RunningRequest {
    /// Records that the request has its answer, of `bytes` bytes.
    pub(crate) fn answer(self, bytes: usize) {
        let share = &self.0;
        share.read.store(0, Ordering::Relaxed);
        share.lines.store(0, Ordering::Relaxed);
        let buffered = share.buffered.swap(0, Ordering::Relaxed);
        share.shrink(buffered);
        share.hold_answer(bytes);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.begun.fetch_sub(1, Ordering::Relaxed);
        self.0.end_request();
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.ledger.close(self.id);
        state.closing.remove(&self.id);
        drop(state);
        self.memory.released.notify(usize::MAX);
    }
}
