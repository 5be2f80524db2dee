//! One HTTP/1.1 connection to the platform or to a backend server.

use crate::task::TaskSpawner;
use async_net::TcpStream;
use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;

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
