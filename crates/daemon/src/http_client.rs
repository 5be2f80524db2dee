//! HTTP/1.1 connections to the platform or to a backend server.

use crate::sync::lock;
use crate::task::TaskSpawner;
use async_net::TcpStream;
use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Sends requests over one connection.
pub type RequestSender = SendRequest<Full<Bytes>>;

/// Why no connection was made.
#[derive(Debug, Display)]
pub enum ConnectError {
    /// The port is closed: no process listens there.
    #[display("connect to {_0}: refused")]
    Refused(SocketAddr),
    /// Anything else.
    #[display("connect to {_0}: {_1}")]
    Other(SocketAddr, String),
}

impl std::error::Error for ConnectError {}

/// Connects to `address`; the connection's driver runs on `spawner`.
///
/// # Errors
/// Returns whether the port was closed, or what else went wrong.
pub async fn connect(
    address: SocketAddr,
    spawner: &TaskSpawner,
) -> Result<RequestSender, ConnectError> {
    let stream = TcpStream::connect(address).await.map_err(|cause| {
        if cause.kind() == std::io::ErrorKind::ConnectionRefused {
            ConnectError::Refused(address)
        } else {
            ConnectError::Other(address, cause.to_string())
        }
    })?;
    // Without it small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(|cause| ConnectError::Other(address, cause.to_string()))?;
    spawner.spawn(async move {
        // Its error also reaches whoever waits for a reply.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Connections to one address that are kept for later calls.
#[derive(derive_more::Debug)]
pub struct IdleConnections {
    address: SocketAddr,
    most: usize,
    #[debug(skip)]
    senders: Mutex<Vec<RequestSender>>,
}

impl IdleConnections {
    /// Keeps at most `most` connections to `address`.
    pub fn new(address: SocketAddr, most: usize) -> Self {
        Self {
            address,
            most,
            senders: Mutex::default(),
        }
    }

    /// A kept connection that is still open, or a new one.
    ///
    /// # Errors
    /// Returns why no connection was made.
    pub async fn take(&self, spawner: &TaskSpawner) -> Result<RequestSender, ConnectError> {
        match self.take_kept() {
            Some(sender) => Ok(sender),
            None => connect(self.address, spawner).await,
        }
    }

    /// Keeps a connection whose last reply was read to its end.
    pub fn put(&self, sender: RequestSender) {
        let mut senders = lock(&self.senders);
        if !sender.is_closed() && senders.len() < self.most {
            senders.push(sender);
        }
    }

    fn take_kept(&self) -> Option<RequestSender> {
        let mut senders = lock(&self.senders);
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}
