//! HTTP/1.1 connections to the platform or to a backend server.

use crate::http_stream::{HttpStream, StreamProbe};
use crate::read_limit::ReadLimit;
use crate::sync::lock;
use crate::task::TaskSpawner;
use async_net::TcpStream;
use bytes::Bytes;
use derive_more::{Debug, Display};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response, StatusCode};
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Mutex;

/// Maximum size of an answer's head, and of one read.
const MAX_BUFFER_BYTES: usize = 32 * 1_024;

/// Maximum of bytes until an answer's head is complete, with interim answers and the
/// start of its body.
const MAX_HEAD_BYTES: usize = 128 * 1_024;

/// Sends requests on one connection, which receives no more bytes than answers may have.
#[derive(Debug)]
pub struct RequestSender {
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    limit: ReadLimit,
    probe: StreamProbe,
}

/// Why a request has no answer.
#[derive(Debug, Display)]
pub enum SendError {
    /// No byte of it was sent.
    #[display("not sent: {_0}")]
    Unsent(hyper::Error),
    /// It may have been received.
    #[display("{_0}")]
    Lost(hyper::Error),
}

impl Error for SendError {}

impl RequestSender {
    /// Whether an idle connection can take a request: it is open, and no bytes have
    /// arrived that belong to no answer.
    pub fn can_take_request(&self) -> bool {
        self.sender.is_ready() && self.probe.is_quiet()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the head of its answer, whose body has at most
    /// `max_body_bytes` as sent.
    ///
    /// # Errors
    /// Returns whether the request may have been received.
    pub fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> impl Future<Output = Result<Response<Incoming>, SendError>> + Send + use<> {
        let limit = self.limit.clone();
        limit.set(MAX_HEAD_BYTES);
        let answered = self.sender.try_send_request(request);
        async move {
            let response = answered
                .await
                .map_err(|mut error| match error.take_message() {
                    Some(_) => SendError::Unsent(error.into_error()),
                    None => SendError::Lost(error.into_error()),
                })?;
            limit.set(max_body_bytes);
            Ok(response)
        }
    }

    /// Ends the answer to the last request: until the next one no bytes are due.
    pub fn end_answer(&self) {
        self.limit.set(0);
    }
}

/// Why no connection was made.
#[derive(Debug, Display)]
pub enum ConnectError {
    /// The connection was refused: no process listens on the port.
    #[display("connect to {_0}: refused")]
    Refused(SocketAddr),
    /// Another error.
    #[display("connect to {_0}: {_1}")]
    Other(SocketAddr, String),
}

impl Error for ConnectError {}

/// Whether `error` shows that the peer ended the connection, rather than that it sent
/// bytes that are no answer, or too many.
pub fn is_connection_lost(error: &hyper::Error) -> bool {
    if error.is_parse() {
        return false;
    }
    let cause = error.source().and_then(<dyn Error>::downcast_ref);
    cause.is_none_or(|cause: &io::Error| {
        !matches!(
            cause.kind(),
            ErrorKind::InvalidData | ErrorKind::InvalidInput
        )
    })
}

/// Connects to `address`; the connection's driver runs on `spawner`.
///
/// # Errors
/// Returns whether the connection was refused, or another error.
pub async fn connect(
    address: SocketAddr,
    spawner: &TaskSpawner,
) -> Result<RequestSender, ConnectError> {
    let stream = TcpStream::connect(address).await.map_err(|cause| {
        if cause.kind() == ErrorKind::ConnectionRefused {
            ConnectError::Refused(address)
        } else {
            ConnectError::Other(address, cause.to_string())
        }
    })?;
    // Without TCP_NODELAY, small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let limit = ReadLimit::default();
    limit.set(0);
    let stream = HttpStream::new(stream, &limit);
    let probe = stream.probe();
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(stream)
        .await
        .map_err(|cause| ConnectError::Other(address, cause.to_string()))?;
    spawner.spawn(async move {
        // An error also fails the request that waits for a reply.
        let _ = connection.await;
    });
    Ok(RequestSender {
        sender,
        limit,
        probe,
    })
}

/// A pool of idle connections to one address.
#[derive(derive_more::Debug)]
pub struct IdleConnections {
    address: SocketAddr,
    max_idle: usize,
    #[debug(skip)]
    senders: Mutex<Vec<RequestSender>>,
}

impl IdleConnections {
    /// Creates a pool that keeps at most `max_idle` connections to `address`.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            max_idle,
            senders: Mutex::default(),
        }
    }

    /// Takes an idle connection that is still open, or makes a new one.
    ///
    /// # Errors
    /// Returns why no connection was made.
    pub async fn take(&self, spawner: &TaskSpawner) -> Result<RequestSender, ConnectError> {
        match self.take_idle() {
            Some(sender) => Ok(sender),
            None => connect(self.address, spawner).await,
        }
    }

    /// Returns a connection to the pool; its last reply must have been read to the
    /// end.
    pub fn put(&self, sender: RequestSender) {
        sender.end_answer();
        let mut senders = lock(&self.senders);
        if !sender.is_closed() && senders.len() < self.max_idle {
            senders.push(sender);
        }
    }

    fn take_idle(&self) -> Option<RequestSender> {
        let mut senders = lock(&self.senders);
        while let Some(sender) = senders.pop() {
            if sender.can_take_request() {
                return Some(sender);
            }
        }
        None
    }
}

/// Whether a status can be that of an answer; hyper also accepts others.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
