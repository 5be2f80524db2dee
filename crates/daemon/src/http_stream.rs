//! TCP connections as hyper reads and writes them.
//!
//! hyper tries to read whenever it polls a connection. A stream that has been read
//! to its end therefore waits until the reactor reports that it is readable again, and
//! makes no system call until then.

use crate::read_limit::ReadLimit;
use async_io::Async;
use async_net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{self, ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpStream as BlockingStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// Maximum number of bytes of one read.
const MAX_READ_BYTES: usize = 8 * 1_024;

/// A TCP connection that fails once it has received more than its limit.
#[derive(Debug)]
pub struct HttpStream {
    socket: Arc<Async<BlockingStream>>,
    limit: ReadLimit,
    /// Whether the last read took all bytes that had arrived.
    is_drained: bool,
}

impl HttpStream {
    /// Limits what is read from `stream`.
    pub fn new(stream: TcpStream, limit: &ReadLimit) -> Self {
        Self {
            socket: stream.into(),
            limit: limit.clone(),
            is_drained: false,
        }
    }

    /// A probe of this connection.
    pub fn probe(&self) -> StreamProbe {
        StreamProbe {
            socket: Arc::clone(&self.socket),
        }
    }
}

/// Looks at a connection without reading from it.
#[derive(Clone, Debug)]
pub struct StreamProbe {
    socket: Arc<Async<BlockingStream>>,
}

impl StreamProbe {
    /// Whether the peer has neither closed the connection nor sent bytes that nobody
    /// has read.
    pub fn is_quiet(&self) -> bool {
        let peeked = self.socket.get_ref().peek(&mut [0]);
        peeked.is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock)
    }
}

impl Read for HttpStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_drained {
            ready!(self.socket.poll_readable(context))?;
            self.is_drained = false;
        }
        let mut chunk = [0; MAX_READ_BYTES];
        let room = buffer.remaining().min(chunk.len());
        let bytes = loop {
            match self.socket.get_ref().read(&mut chunk[..room]) {
                Ok(bytes) => break bytes,
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                    self.is_drained = true;
                    ready!(self.socket.poll_readable(context))?;
                    self.is_drained = false;
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        };
        if !self.limit.take(bytes) {
            let cause = "more bytes than an answer may have";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, cause)));
        }
        buffer.put_slice(&chunk[..bytes]);
        self.is_drained = (1..room).contains(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl Write for HttpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.socket.get_ref().write(buffer) {
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_writable(context))?;
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match self.socket.get_ref().shutdown(Shutdown::Write) {
            Err(cause) if cause.kind() == ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}
