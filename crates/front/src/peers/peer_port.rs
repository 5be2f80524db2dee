//! Answers other fronts' queries for feeds, and receives their notices.

use crate::feeds::feed_cache::FeedCache;
use crate::messages::credit_message::{CREDIT_TAG, CreditQuery, CreditReply};
use crate::messages::feed_message::{FeedQuery, FeedReply};
use crate::peers::credit_queries::CreditQueries;
use crate::peers::stall_notices::StallNotices;
use crate::servers::crash_guard::CrashGuard;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::frame;
use camphorway_daemon::peer::handshakes::PeerAcceptor;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::task::TaskSpawner;
use camphorway_policy::HandshakeLimits;
use futures_lite::FutureExt;
use quinn::{Connection, RecvStream, SendStream};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The longest time that a query may wait for a change.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Handshakes of peers that may be unknown.
const HANDSHAKES: HandshakeLimits = HandshakeLimits {
    max_unproven: 64,
    max_open: 128,
    min_time: Duration::from_millis(250),
};

/// Serves the queries and notices of peers.
#[derive(Clone, Debug)]
pub struct PeerPort {
    /// The cached feeds.
    pub feed_cache: Arc<FeedCache>,
    /// Receives notices of stalls.
    pub stall_notices: Arc<StallNotices>,
    /// Receives notices of crashes.
    pub guard: Arc<CrashGuard>,
    /// Grants credit of quotas; `None` if there are no quotas here.
    pub credit_queries: Option<CreditQueries>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Runs connections and queries.
    pub spawner: TaskSpawner,
    /// Cancelled to stop the port.
    pub stop: CancellationToken,
}

impl PeerPort {
    /// Accepts connections until stopped.
    pub async fn accept(self) {
        let acceptor = PeerAcceptor::new(&self.links, &self.clock, HANDSHAKES);
        let accepting = async {
            while let Some(handshake) = acceptor.accept().await {
                self.spawner.spawn(async move {
                    if let Err(cause) = handshake.complete().await {
                        event!(Info, "peer-refused", cause = cause);
                    }
                });
            }
        };
        accepting.or(self.stop.cancelled()).await;
    }

    /// Serves peers on all connections, opened or accepted.
    pub async fn serve_connections(self, connections: Receiver<Connection>) {
        while let Ok(connection) = connections.recv().await {
            let port = self.clone();
            self.spawner.spawn(async move {
                let stalls = port.receive_stall_notices(&connection);
                let crashes = port.receive_crash_notices(&connection);
                let queries = port.serve_queries(&connection);
                let stopped = port.stop.cancelled();
                queries.or(stalls).or(crashes).or(stopped).await;
            });
        }
    }

    async fn receive_stall_notices(&self, connection: &Connection) {
        // Fails when the connection is closed.
        while let Ok(bytes) = connection.read_datagram().await {
            self.stall_notices
                .receive(&bytes, connection.remote_address());
        }
    }

    async fn receive_crash_notices(&self, connection: &Connection) {
        // Fails when the connection is closed.
        while let Ok(mut receiver) = connection.accept_uni().await {
            let guard = Arc::clone(&self.guard);
            self.spawner.spawn(async move {
                match frame::read(&mut receiver).await {
                    Ok(batch) => guard.receive(batch),
                    Err(error) => event!(Info, "crash-notice-malformed", error = error),
                }
            });
        }
    }

    async fn serve_queries(&self, connection: &Connection) {
        // Fails when the connection is closed.
        while let Ok((sender, receiver)) = connection.accept_bi().await {
            let port = self.clone();
            self.spawner.spawn(async move {
                if let Err(error) = port.answer(sender, receiver).await {
                    event!(Debug, "peer-not-answered", error = error);
                }
            });
        }
    }

    async fn answer(
        &self,
        mut sender: SendStream,
        mut receiver: RecvStream,
    ) -> Result<(), frame::FrameError> {
        let body = frame::read_bytes(&mut receiver).await?;
        if body.first() == Some(&CREDIT_TAG) {
            let reply = self.reply_credit(frame::decode(&body)?).await;
            frame::write(&mut sender, &reply).await?;
        } else {
            let query: FeedQuery = frame::decode(&body)?;
            let reply = self.reply(&query).await;
            frame::write(&mut sender, &reply).await?;
        }
        // The peer may have closed the stream already.
        let _ = sender.finish();
        Ok(())
    }

    async fn reply_credit(&self, query: CreditQuery) -> CreditReply {
        match &self.credit_queries {
            Some(queries) => queries.answer(query).await,
            None => CreditReply::NotResponsible,
        }
    }

    async fn reply(&self, query: &FeedQuery) -> FeedReply {
        let change = self.feed_cache.next_change(query.feed);
        if let Some(reply) = self.feed_cache.answer(query, self.clock.now()) {
            return reply;
        }
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let changed = async {
            // The channel is closed only when the front stops.
            let _ = change.recv().await;
        };
        self.clock.timeout(wait, changed).await;
        let now = self.clock.now();
        let reply = self.feed_cache.answer(query, now);
        reply.unwrap_or_else(|| self.feed_cache.unchanged(query.feed, now))
    }
}
