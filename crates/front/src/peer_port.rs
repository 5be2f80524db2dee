//! Answers other fronts' questions about feeds, and takes their notices.

use crate::knowledge::{FeedAsk, FeedKnowledge, FeedReply};
use crate::stall_news::StallNews;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::frame;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::task::TaskSpawner;
use futures_lite::FutureExt;
use quinn::{Connection, RecvStream, SendStream};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Longest time that a question waits for a change.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Serves peers.
#[derive(Clone, Debug)]
pub struct PeerPort {
    /// What is told.
    pub knowledge: Arc<FeedKnowledge>,
    /// Takes notices.
    pub news: Arc<StallNews>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Runs the answers.
    pub spawner: TaskSpawner,
    /// Ends it.
    pub stop: CancellationToken,
}

impl PeerPort {
    /// Accepts connections until stopped.
    pub async fn accept(self) {
        let accepting = async {
            while let Some(incoming) = self.links.endpoint().accept().await {
                let links = Arc::clone(&self.links);
                self.spawner.spawn(async move {
                    match incoming.await {
                        Ok(connection) => links.add_accepted(connection).await,
                        Err(cause) => event!(Info, "peer-refused", cause = cause),
                    }
                });
            }
        };
        accepting.or(self.stop.cancelled()).await;
    }

    /// Reads what peers ask on connections, made or accepted.
    pub async fn attend_all(self, adopted: Receiver<Connection>) {
        while let Ok(connection) = adopted.recv().await {
            let port = self.clone();
            self.spawner.spawn(async move {
                let notices = port.take_notices(&connection);
                let asks = port.attend(&connection);
                asks.or(notices).or(port.stop.cancelled()).await;
            });
        }
    }

    async fn take_notices(&self, connection: &Connection) {
        // Datagrams end with the connection.
        while let Ok(bytes) = connection.read_datagram().await {
            self.news.take(&bytes, connection.remote_address());
        }
    }

    async fn attend(&self, connection: &Connection) {
        // The stream of streams ends with the connection.
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
        let ask: FeedAsk = frame::read(&mut receiver).await?;
        let reply = self.reply(&ask).await;
        frame::write(&mut sender, &reply).await?;
        // The peer may have closed the stream already.
        let _ = sender.finish();
        Ok(())
    }

    async fn reply(&self, ask: &FeedAsk) -> FeedReply {
        let change = self.knowledge.next_change(ask.feed);
        if let Some(reply) = self.knowledge.answer(ask, self.clock.now()) {
            return reply;
        }
        let wait = Duration::from_millis(ask.wait_ms).min(LONGEST_WAIT);
        let changed = async {
            // It closes only with the daemon.
            let _ = change.recv().await;
        };
        self.clock.timeout(wait, changed).await;
        let now = self.clock.now();
        let reply = self.knowledge.answer(ask, now);
        reply.unwrap_or_else(|| self.knowledge.unchanged(ask.feed, now))
    }
}
