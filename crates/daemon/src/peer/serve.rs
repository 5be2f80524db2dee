//! Serves group requests, pulls and gossip from other daemons.

use crate::clock::DaemonClock;
use crate::control::{ControlHandle, ControlInput};
use crate::event;
use crate::holder::GroupHolder;
use crate::metrics::DaemonMetrics;
use crate::peer::frame::{self, FrameError};
use crate::peer::handshakes::{PeerAcceptor, PeerHandshake};
use crate::peer::link::PeerLinks;
use crate::peer::message::{GroupRequest, HolderFrame, PeerRequest, PullRequest, ShardReply};
use crate::task::TaskSpawner;
use async_channel::Receiver;
use camphorway_gossip::GossipMessage;
use camphorway_policy::HandshakeLimits;
use futures_lite::FutureExt;
use quinn::{Connection, ConnectionError, RecvStream, SendStream, TransportErrorCode};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const MAX_GOSSIP_BYTES: usize = 1_048_576;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection takes memory for all streams that it may have.
const HANDSHAKES: HandshakeLimits = HandshakeLimits {
    max_unproven: 32,
    max_open: 64,
    min_time: Duration::from_millis(250),
};

/// Serves the connections of peers.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// Calls backend servers.
    pub holder: Arc<GroupHolder>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// Receives gossip and pulls.
    pub control: ControlHandle,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Runs the tasks of connections and streams.
    pub spawner: TaskSpawner,
    /// Cancelled to stop accepting connections.
    pub stop: CancellationToken,
}

impl PeerServer {
    /// Accepts connections until stopped.
    pub async fn accept(self) {
        let acceptor = PeerAcceptor::new(&self.links, &self.clock, HANDSHAKES);
        loop {
            let incoming = acceptor.accept();
            let stopped = async {
                self.stop.cancelled().await;
                None
            };
            let Some(handshake) = stopped.or(incoming).await else {
                return;
            };
            let server = self.clone();
            self.spawner
                .spawn(async move { server.complete_handshake(handshake).await });
        }
    }

    async fn complete_handshake(self, handshake: PeerHandshake) {
        let peer = handshake.peer();
        match handshake.complete().await {
            Ok(()) => {}
            // The peer now uses a connection that this daemon made in the meantime.
            Err(ConnectionError::ConnectionClosed(close))
                if close.error_code == TransportErrorCode::APPLICATION_ERROR =>
            {
                event!(Debug, "peer-gave-up", peer = peer);
            }
            Err(cause) => {
                self.metrics.refused_peers.inc();
                event!(Warn, "peer-refused", peer = peer, cause = cause);
            }
        }
    }

    /// Serves datagrams and streams of each connection from `connections`.
    pub async fn serve_connections(self, connections: Receiver<Connection>) {
        while let Ok(connection) = connections.recv().await {
            let (server, datagrams) = (self.clone(), connection.clone());
            self.spawner
                .spawn(async move { server.read_datagrams(datagrams).await });
            let (server, messages) = (self.clone(), connection.clone());
            self.spawner
                .spawn(async move { server.read_messages(messages).await });
            let server = self.clone();
            self.spawner
                .spawn(async move { server.read_requests(connection).await });
        }
    }

    async fn read_datagrams(&self, connection: Connection) {
        while let Ok(bytes) = connection.read_datagram().await {
            self.receive_gossip(&bytes);
        }
    }

    async fn read_messages(&self, connection: Connection) {
        while let Ok(mut stream) = connection.accept_uni().await {
            if let Ok(bytes) = stream.read_to_end(MAX_GOSSIP_BYTES).await {
                self.receive_gossip(&bytes);
            }
        }
    }

    fn receive_gossip(&self, bytes: &[u8]) {
        self.metrics.record_control_message("received", bytes.len());
        match postcard::from_bytes::<GossipMessage>(bytes) {
            Ok(message) => self.control.try_send(ControlInput::Gossip(message)),
            Err(cause) => event!(Warn, "gossip-malformed", cause = cause),
        }
    }

    async fn read_requests(&self, connection: Connection) {
        while let Ok((sender, receiver)) = connection.accept_bi().await {
            let server = self.clone();
            let peer = connection.remote_address();
            self.spawner.spawn(async move {
                if let Err(cause) = server.answer(sender, receiver).await {
                    event!(Debug, "peer-request-failed", peer = peer, cause = cause);
                }
            });
        }
    }

    async fn answer(
        &self,
        mut sender: SendStream,
        mut receiver: RecvStream,
    ) -> Result<(), FrameError> {
        let request = self
            .clock
            .timeout(REQUEST_TIMEOUT, frame::read(&mut receiver))
            .await;
        let request = request.unwrap_or_else(|| Err(FrameError::Closed("timeout".to_owned())))?;
        match request {
            PeerRequest::Group(request) => self.answer_group(&mut sender, request).await,
            PeerRequest::Pull(request) => self.answer_pull(&mut sender, request).await,
        }
    }

    async fn answer_pull(
        &self,
        sender: &mut SendStream,
        request: PullRequest,
    ) -> Result<(), FrameError> {
        let (reply, answer) = async_channel::bounded(1);
        self.control
            .send(ControlInput::PullRequested(request, reply))
            .await;
        let Ok(answer) = answer.recv().await else {
            return Err(FrameError::Closed("control thread ended".to_owned()));
        };
        frame::write(sender, &answer).await?;
        let _ = sender.finish();
        Ok(())
    }

    async fn answer_group(
        &self,
        sender: &mut SendStream,
        request: GroupRequest,
    ) -> Result<(), FrameError> {
        self.metrics.groups_running.inc();
        let result = self.run_group(sender, request).await;
        self.metrics.groups_running.dec();
        result
    }

    async fn run_group(
        &self,
        sender: &mut SendStream,
        request: GroupRequest,
    ) -> Result<(), FrameError> {
        let report = self.holder.waits(&request.group);
        let ack = HolderFrame::Ack {
            waits: report.waits.0,
            service_time: report.service_time,
        };
        frame::write(sender, &ack).await?;
        let cancel = CancellationToken::new();
        let guard = cancel.clone().drop_guard();
        let idempotent = request.idempotent;
        let (replies, results) = async_channel::bounded(request.shards.len().max(1));
        self.holder.start(request, &replies, &cancel);
        drop(replies);
        let mut stopped = std::pin::pin!(sender.stopped());
        loop {
            let result = async { results.recv().await.ok().map(Some) };
            let disconnected = async {
                let _ = stopped.as_mut().await;
                Some(None)
            };
            match result.or(disconnected).await {
                Some(Some(reply)) => {
                    let mut buffer = Vec::new();
                    encode_ready(reply, &results, &mut buffer)?;
                    frame::write_bytes(sender, &buffer).await?;
                }
                // Cancelling a request that may run at most once would leave its outcome unknown.
                Some(None) if !idempotent => {
                    let _ = guard.disarm();
                    return Ok(());
                }
                Some(None) => return Ok(()),
                None => break,
            }
        }
        frame::write(sender, &HolderFrame::Done).await?;
        let _ = sender.finish();
        Ok(())
    }
}

/// Encodes `first` and all other results that are ready, for a single write.
fn encode_ready(
    first: ShardReply,
    results: &Receiver<ShardReply>,
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    frame::encode(&HolderFrame::Shard(first), buffer)?;
    while let Ok(reply) = results.try_recv() {
        frame::encode(&HolderFrame::Shard(reply), buffer)?;
    }
    Ok(())
}
