//! TCP connections as hyper reads and writes them.
//!
//! hyper tries to read whenever it polls a connection. A stream that has been read
//! to its end therefore waits until the reactor reports that it is readable again, and
//! makes no system call until then.

use crate::connection_memory::ConnectionShare;
use crate::http2_heads::HeadScanner;
use crate::read_limit::ReadLimit;
use async_io::Async;
use async_net::TcpStream;
use camphorway_policy::ConnectionRefused;
use event_listener::EventListener;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{self, ErrorKind, IoSlice, Read as _, Write as _};
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
    /// The memory of a client's connection.
    share: Option<Arc<ConnectionShare>>,
    /// Finds the requests that a client sends over HTTP/2.
    heads: Option<HeadScanner>,
    withheld: Option<WithheldRead>,
    /// Whether the last read took all bytes that had arrived.
    is_drained: bool,
}

/// Bytes that were read and wait until there is memory for their request.
#[derive(Debug)]
struct WithheldRead {
    bytes: Vec<u8>,
    released: EventListener,
}

impl HttpStream {
    /// Limits what is read from `stream`.
    pub fn new(stream: TcpStream, limit: &ReadLimit) -> Self {
        Self {
            socket: stream.into(),
            limit: limit.clone(),
            share: None,
            heads: None,
            withheld: None,
            is_drained: false,
        }
    }

    /// Counts what is read from a client's `stream`, and what is written to it.
    pub fn of_client(stream: TcpStream, share: &Arc<ConnectionShare>) -> Self {
        Self {
            share: Some(Arc::clone(share)),
            ..Self::new(stream, &ReadLimit::default())
        }
    }

    /// The same for a client that uses HTTP/2.
    pub fn of_streams(stream: TcpStream, share: &Arc<ConnectionShare>) -> Self {
        Self {
            heads: Some(HeadScanner::new()),
            ..Self::of_client(stream, share)
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
        if self.withheld.is_some() {
            ready!(self.poll_withheld(context, &mut buffer))?;
            return Poll::Ready(Ok(()));
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
        self.is_drained = (1..room).contains(&bytes);
        if let Some(released) = self.count_read(&chunk[..bytes]).map_err(no_memory)? {
            let bytes = chunk[..bytes].to_vec();
            self.withheld = Some(WithheldRead { bytes, released });
            return self.poll_withheld(context, &mut buffer);
        }
        buffer.put_slice(&chunk[..bytes]);
        Poll::Ready(Ok(()))
    }
}

fn no_memory(cause: ConnectionRefused) -> io::Error {
    io::Error::new(ErrorKind::OutOfMemory, cause)
}

impl HttpStream {
    /// Counts bytes that were read; none if they were granted memory.
    fn count_read(&mut self, bytes: &[u8]) -> Result<Option<EventListener>, ConnectionRefused> {
        let Some(share) = &self.share else {
            return Ok(None);
        };
        if let Some(heads) = &mut self.heads {
            share.add_heads(&heads.scan(bytes));
        }
        share.add_read(bytes)
    }

    /// Delivers the withheld bytes once there is memory for them.
    fn poll_withheld(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        while let Some(withheld) = &mut self.withheld {
            ready!(Pin::new(&mut withheld.released).poll(context));
            let waiting = self.share.as_ref().map(|share| share.count_buffered());
            if let Some(released) = waiting.transpose().map_err(no_memory)?.flatten() {
                withheld.released = released;
                continue;
            }
            let fitting = withheld.bytes.len().min(buffer.remaining());
            buffer.put_slice(&withheld.bytes[..fitting]);
            withheld.bytes.drain(..fitting);
            if withheld.bytes.is_empty() {
                self.withheld = None;
            }
            break;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_written<Writing>(
        &self,
        context: &mut Context<'_>,
        writing: Writing,
    ) -> Poll<io::Result<usize>>
    where
        Writing: Fn(&BlockingStream) -> io::Result<usize>,
    {
        loop {
            match writing(self.socket.get_ref()) {
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_writable(context))?;
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                result => {
                    if let (Some(share), Ok(bytes)) = (&self.share, &result) {
                        share.add_written(*bytes);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl Write for HttpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |mut socket| socket.write(buffer))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(context, |mut socket| socket.write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        // hyper then copies no answer into a buffer that an idle connection would keep.
        self.share.is_some()
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
