//! Connections to other daemons, opened on first use and shared by all requests.

use crate::clock::DaemonClock;
use crate::event;
use crate::peer::frame::{self, FrameError};
use crate::peer::message::{HolderFrame, PeerRequest, PullReply, PullRequest};
use crate::peer::tls::{PEER_NAME, TlsPair};
use crate::sync::lock;
use crate::task::TaskSpawner;
use arc_swap::ArcSwap;
use async_lock::Mutex as AsyncMutex;
use derive_more::{Debug, Display};
use event_listener::Event;
use futures_lite::FutureExt;
use quinn::{
    AsyncTimer, AsyncUdpSocket, ClientConfig, Connection, Endpoint, EndpointConfig, RecvStream,
    Runtime, SendStream,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// The step at which an exchange with a peer failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PeerStep {
    /// While connecting; nothing was sent.
    #[display("connect")]
    Connect,
    /// While sending; some bytes may have been sent.
    #[display("send")]
    Send,
    /// While waiting for the reply.
    #[display("receive")]
    Receive,
}

/// A failed exchange with a peer.
#[derive(Debug, Display)]
#[display("{step} peer={peer}: {cause}")]
pub struct PeerError {
    /// The step that failed.
    pub step: PeerStep,
    /// The peer.
    pub peer: SocketAddr,
    /// The cause of the failure.
    pub cause: String,
}

impl std::error::Error for PeerError {}

/// Runs quinn's tasks on the daemon's executor; timers and sockets are those of
/// quinn's smol adapter.
#[derive(Debug)]
struct QuicRuntime {
    spawner: TaskSpawner,
    sockets: quinn::SmolRuntime,
}

impl Runtime for QuicRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        self.sockets.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.spawner.spawn(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        self.sockets.wrap_udp_socket(socket)
    }

    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// The shared connection to one peer.
#[derive(Debug, Default)]
struct PeerLink {
    current: Mutex<Option<Connection>>,
    /// Locked by the task that makes a connection; other tasks wait for it.
    connecting: AsyncMutex<()>,
    /// Notified when `current` is set.
    #[debug(skip)]
    connected: Event,
}

impl PeerLink {
    /// Returns the connection if it is open.
    fn current(&self) -> Option<Connection> {
        let current = lock(&self.current);
        let connection = current.as_ref()?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.clone())
    }

    fn set(&self, connection: Connection) {
        *lock(&self.current) = Some(connection);
        self.connected.notify(usize::MAX);
    }

    /// Waits for an open connection.
    async fn wait(&self) -> Connection {
        loop {
            let connected = self.connected.listen();
            if let Some(connection) = self.current() {
                return connection;
            }
            connected.await;
        }
    }
}

/// Totals of UDP traffic over all connections.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct WireCount {
    /// UDP payload bytes sent.
    pub sent_bytes: u64,
    /// UDP payload bytes received.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent_packets: u64,
    /// Datagrams received.
    pub received_packets: u64,
    /// Connections made or accepted.
    pub connections: u64,
}

/// Receives each connection, made or accepted, to read what the peer sends.
pub type ConnectionSink = async_channel::Sender<Connection>;

/// All connections to peers.
#[derive(Debug)]
pub struct PeerLinks {
    endpoint: Endpoint,
    #[debug(skip)]
    client: ArcSwap<ClientConfig>,
    links: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
    #[debug(skip)]
    open: Mutex<Vec<Connection>>,
    closed_total: Mutex<WireCount>,
    #[debug(skip)]
    sink: ConnectionSink,
    clock: DaemonClock,
}

impl PeerLinks {
    /// Opens the endpoint on `socket`.
    ///
    /// # Errors
    /// Returns the system's error if the socket can't be used.
    pub fn open(
        socket: UdpSocket,
        tls: TlsPair,
        spawner: &TaskSpawner,
        clock: &DaemonClock,
        sink: ConnectionSink,
    ) -> std::io::Result<Self> {
        let runtime = QuicRuntime {
            spawner: spawner.clone(),
            sockets: quinn::SmolRuntime,
        };
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(tls.server),
            socket,
            Arc::new(runtime),
        )?;
        Ok(Self {
            endpoint,
            client: ArcSwap::from_pointee(tls.client),
            links: Mutex::default(),
            open: Mutex::default(),
            closed_total: Mutex::default(),
            sink,
            clock: clock.clone(),
        })
    }

    /// Uses new keys for future connections; open ones stay open.
    pub fn set_tls(&self, tls: TlsPair) {
        self.endpoint.set_server_config(Some(tls.server));
        self.client.store(Arc::new(tls.client));
    }

    /// The endpoint that accepts connections.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Makes an accepted connection the current one to its peer.
    ///
    /// It comes from the peer's current process, whereas an open connection made
    /// here may lead to a process that was killed without closing it.
    pub async fn add_accepted(&self, connection: Connection) {
        let peer = connection.remote_address();
        self.link(peer).set(connection.clone());
        self.register(connection).await;
    }

    /// Counts a connection, made or accepted, and passes it to the sink.
    async fn register(&self, connection: Connection) {
        self.prune_closed();
        lock(&self.open).push(connection.clone());
        let _ = self.sink.send(connection).await;
    }

    /// Returns the traffic totals so far.
    pub fn wire_count(&self) -> WireCount {
        self.prune_closed();
        let mut total = *lock(&self.closed_total);
        for connection in lock(&self.open).iter() {
            add_stats(&mut total, connection);
        }
        total
    }

    /// The round-trip time to `address`, if connected.
    pub fn round_trip(&self, address: SocketAddr) -> Option<Duration> {
        let link = lock(&self.links).get(&address).map(Arc::clone)?;
        link.current().map(|connection| connection.rtt())
    }

    /// Closes the connection to `address`, because the peer does not answer.
    pub fn disconnect(&self, address: SocketAddr) {
        let link = lock(&self.links).remove(&address);
        if let Some(connection) = link.and_then(|link| link.current()) {
            connection.close(0_u32.into(), b"silent");
        }
    }

    /// Opens a stream and sends `request` on it.
    ///
    /// # Errors
    /// Returns the step that failed; after [`PeerStep::Connect`] nothing was sent.
    pub async fn request<Message>(
        &self,
        peer: SocketAddr,
        request: &Message,
    ) -> Result<(SendStream, RecvStream), PeerError>
    where
        Message: Serialize,
    {
        let connection = self.connection(peer).await?;
        let failed = |step, cause: String| PeerError { step, peer, cause };
        let (mut sender, receiver) = connection
            .open_bi()
            .await
            .map_err(|cause| failed(PeerStep::Connect, cause.to_string()))?;
        frame::write(&mut sender, request)
            .await
            .map_err(|cause| failed(PeerStep::Send, cause.to_string()))?;
        Ok((sender, receiver))
    }

    /// Reads a holder's next frame.
    ///
    /// # Errors
    /// Returns an error if the stream ended or the frame is invalid.
    pub async fn next_frame(
        peer: SocketAddr,
        receiver: &mut RecvStream,
    ) -> Result<HolderFrame, PeerError> {
        frame::read(receiver)
            .await
            .map_err(|cause: FrameError| PeerError {
                step: PeerStep::Receive,
                peer,
                cause: cause.to_string(),
            })
    }

    /// Exchanges items and reports with a peer.
    ///
    /// # Errors
    /// Returns the step that failed.
    pub async fn pull(
        &self,
        peer: SocketAddr,
        request: PullRequest,
    ) -> Result<PullReply, PeerError> {
        self.exchange(peer, &PeerRequest::Pull(request), PULL_TIMEOUT)
            .await
    }

    /// Sends one message and reads one reply, within `timeout`.
    ///
    /// # Errors
    /// Returns the step that failed.
    pub async fn exchange<Message, Reply>(
        &self,
        peer: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Reply, PeerError>
    where
        Message: Serialize,
        Reply: DeserializeOwned,
    {
        let failed = |cause: String| PeerError {
            step: PeerStep::Receive,
            peer,
            cause,
        };
        let reply = async {
            let (mut sender, mut receiver) = self.request(peer, message).await?;
            // If the peer has closed the stream already, the read returns the error.
            let _ = sender.finish();
            frame::read(&mut receiver)
                .await
                .map_err(|cause: FrameError| failed(cause.to_string()))
        };
        self.clock
            .timeout(timeout, reply)
            .await
            .unwrap_or_else(|| Err(failed("timeout".to_owned())))
    }

    /// Sends one message on a stream of its own, which has no reply.
    ///
    /// # Errors
    /// Returns the step that failed.
    pub async fn send_frame<Message>(
        &self,
        peer: SocketAddr,
        message: &Message,
    ) -> Result<(), PeerError>
    where
        Message: Serialize,
    {
        let connection = self.connection(peer).await?;
        let failed = |cause: String| PeerError {
            step: PeerStep::Send,
            peer,
            cause,
        };
        let mut stream = connection
            .open_uni()
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        frame::write(&mut stream, message)
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        stream.finish().map_err(|cause| failed(cause.to_string()))
    }

    /// Sends a gossip message, without a guarantee of delivery.
    ///
    /// # Errors
    /// Returns the step that failed.
    pub async fn send(&self, peer: SocketAddr, message: &[u8]) -> Result<(), PeerError> {
        let connection = self.connection(peer).await?;
        let failed = |cause: String| PeerError {
            step: PeerStep::Send,
            peer,
            cause,
        };
        let fits = connection
            .max_datagram_size()
            .is_some_and(|max| message.len() <= max);
        if fits {
            let message = bytes::Bytes::copy_from_slice(message);
            return connection
                .send_datagram(message)
                .map_err(|cause| failed(cause.to_string()));
        }
        let mut stream = connection
            .open_uni()
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        stream
            .write_all(message)
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        stream.finish().map_err(|cause| failed(cause.to_string()))
    }

    /// Connects to `peer`, unless a connection is open.
    ///
    /// # Errors
    /// Returns why there is no connection.
    pub async fn prepare(&self, peer: SocketAddr) -> Result<(), PeerError> {
        self.connection(peer).await.map(|_| ())
    }

    fn link(&self, peer: SocketAddr) -> Arc<PeerLink> {
        Arc::clone(lock(&self.links).entry(peer).or_default())
    }

    /// Returns the open connection to `peer`, or waits for one: made here or
    /// accepted from the peer, whichever is open first.
    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        let link = self.link(peer);
        if let Some(connection) = link.current() {
            return Ok(connection);
        }
        let accepted = async { Ok(link.wait().await) };
        let either = accepted.or(self.connect(peer, &link));
        let connected = self.clock.timeout(CONNECT_TIMEOUT, either).await;
        connected.unwrap_or_else(|| Err(connect_failed(peer, &"timeout")))
    }

    async fn connect(&self, peer: SocketAddr, link: &PeerLink) -> Result<Connection, PeerError> {
        let _connecting = link.connecting.lock().await;
        if let Some(connection) = link.current() {
            return Ok(connection);
        }
        let config = ClientConfig::clone(&self.client.load());
        let connecting = self
            .endpoint
            .connect_with(config, peer, PEER_NAME)
            .map_err(|cause| connect_failed(peer, &cause))?;
        let connection = connecting
            .await
            .map_err(|cause| connect_failed(peer, &cause))?;
        event!(Debug, "peer-connected", peer = peer);
        // Registered before `set`: once others can use the link, this task may be
        // dropped at the next await, and nobody would read the connection.
        self.register(connection.clone()).await;
        link.set(connection.clone());
        Ok(connection)
    }

    /// Drops closed connections after adding their counts to `closed_total`.
    fn prune_closed(&self) {
        let mut closed_total = lock(&self.closed_total);
        lock(&self.open).retain(|connection| {
            if connection.close_reason().is_none() {
                return true;
            }
            add_stats(&mut closed_total, connection);
            false
        });
    }
}

fn connect_failed<Cause>(peer: SocketAddr, cause: &Cause) -> PeerError
where
    Cause: std::fmt::Display,
{
    PeerError {
        step: PeerStep::Connect,
        peer,
        cause: cause.to_string(),
    }
}

fn add_stats(total: &mut WireCount, connection: &Connection) {
    let stats = connection.stats();
    total.sent_bytes += stats.udp_tx.bytes;
    total.received_bytes += stats.udp_rx.bytes;
    total.sent_packets += stats.udp_tx.datagrams;
    total.received_packets += stats.udp_rx.datagrams;
    total.connections += 1;
}
