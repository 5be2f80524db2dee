//! Bodies of many peers share one memory.

use bytes::Bytes;
use camphorway_daemon::body_memory::BodyMemory;
use camphorway_daemon::http_port::BodyError;
use futures_lite::future::{block_on, poll_once};
use hyper::body::{Body, Frame};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

const CHUNK_BYTES: usize = 16 * 1_024;
const MAX_TOTAL_BYTES: usize = 512 * 1_024;
const MAX_BODY_BYTES: usize = 8 * MAX_TOTAL_BYTES;

/// A body of some chunks; one without an end then waits for more.
struct ChunkedBody {
    chunks: usize,
    ends: bool,
}

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.chunks == 0 {
            return if self.ends {
                Poll::Ready(None)
            } else {
                Poll::Pending
            };
        }
        self.chunks -= 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; CHUNK_BYTES])))))
    }
}

fn sound(chunks: usize) -> ChunkedBody {
    ChunkedBody { chunks, ends: true }
}

fn endless(chunks: usize) -> ChunkedBody {
    ChunkedBody {
        chunks,
        ends: false,
    }
}

/// Bodies without end filled the memory that all bodies share, so that sound ones of other
/// servers failed.
#[test]
fn bodies_without_end_take_nothing_from_sound_ones() {
    let memory = BodyMemory::new(MAX_TOTAL_BYTES);
    let faulty: Vec<_> = (0..4)
        .map(|_| memory.receive(endless(8), MAX_BODY_BYTES))
        .collect();
    let mut faulty: Vec<_> = faulty.into_iter().map(Box::pin).collect();
    block_on(async {
        for body in &mut faulty {
            assert!(poll_once(body).await.is_none(), "it waits for more");
        }
        for _ in 0..20 {
            let received = memory.receive(sound(5), MAX_BODY_BYTES).await;
            assert_eq!(received.expect("a body").len(), 5 * CHUNK_BYTES);
        }
        let oldest = poll_once(&mut faulty[0]).await;
        assert_eq!(oldest, Some(Err(BodyError::NoMemory)));
    });
}

/// Bodies that had been received no longer counted, though they were still in use.
#[test]
fn a_received_body_counts_until_it_is_dropped() {
    let memory = BodyMemory::new(MAX_TOTAL_BYTES);
    block_on(async {
        let kept = memory.receive(sound(20), MAX_BODY_BYTES).await;
        let refused = memory.receive(sound(20), MAX_BODY_BYTES).await;
        assert_eq!(refused, Err(BodyError::NoMemory));
        let small = memory.receive(sound(1), MAX_BODY_BYTES).await;
        assert!(small.is_ok(), "a small body needs no share");
        let part = kept.expect("a body").slice(..10);
        let refused = memory.receive(sound(20), MAX_BODY_BYTES).await;
        assert_eq!(refused, Err(BodyError::NoMemory), "a part keeps all of it");
        drop(part);
        let received = memory.receive(sound(20), MAX_BODY_BYTES).await;
        assert_eq!(received.expect("a body").len(), 20 * CHUNK_BYTES);
    });
}

/// What is allocated counts, also beyond the bytes received so far.
#[test]
fn allocated_bytes_count() {
    let memory = BodyMemory::new(MAX_TOTAL_BYTES);
    let mut waiting = pin!(memory.receive(endless(17), MAX_BODY_BYTES));
    block_on(async {
        assert!(poll_once(waiting.as_mut()).await.is_none());
        // 17 chunks are held in room for 32, and the first one is not counted.
        let free = MAX_TOTAL_BYTES - 31 * CHUNK_BYTES;
        let chunks = free / CHUNK_BYTES + 1;
        let fitting = memory.receive(sound(chunks), MAX_BODY_BYTES).await;
        fitting.expect("it fits");
        let larger = memory.receive(sound(chunks + 1), MAX_BODY_BYTES).await;
        assert!(larger.is_ok(), "the larger one yields");
        let yielded = poll_once(waiting.as_mut()).await;
        assert_eq!(yielded, Some(Err(BodyError::NoMemory)));
    });
}

#[test]
fn a_body_that_is_too_large_is_refused() {
    let memory = BodyMemory::new(MAX_TOTAL_BYTES);
    let received = block_on(memory.receive(sound(2), CHUNK_BYTES));
    assert_eq!(received, Err(BodyError::TooLarge));
}
