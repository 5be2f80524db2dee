//! A limit on the bytes that a connection may receive.
//!
//! A faulty server may send bytes that belong to no answer, without end. Reading them
//! until a timeout would take the processor time of other requests.

use async_net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

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
    fn take(&self, bytes: usize) -> bool {
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

/// A connection that fails once it has received more than its limit.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
}

impl LimitedStream {
    /// Limits what is read from `stream`.
    pub fn new(stream: TcpStream, limit: &ReadLimit) -> Self {
        Self {
            stream,
            limit: limit.clone(),
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = read
            && !self.limit.take(bytes)
        {
            let cause = "more bytes than an answer may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
