//! Notifies all fronts of crashes that content caused, and of its answers.
//!
//! A request that crashes servers comes again at any front, and each must know it,
//! also while it can't reach the store. So notices are flooded between fronts, on
//! streams that repeat what is lost.

use crate::messages::crash_notice::CrashNotice;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::FrontRecord;
use camphorway_policy::NoticeRoute;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Notices in one message; a query over many shards may crash a server of each.
const MAX_BATCH: usize = 64;
/// Notices of the same moment are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(10);
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends this front's notices, and those of others that are new to it, to its
/// neighbours.
#[derive(Debug)]
pub struct CrashNoticeSender {
    /// The notices to send.
    pub notices: Receiver<CrashNotice>,
    /// Chooses the neighbours.
    pub route: NoticeRoute,
    /// The registered fronts.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Runs the sending to each neighbour.
    pub spawner: TaskSpawner,
}

impl CrashNoticeSender {
    /// Sends notices until the front stops.
    pub async fn run(self) {
        while let Ok(first) = self.notices.recv().await {
            self.clock.sleep(BATCH_DELAY).await;
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH
                && let Ok(next) = self.notices.try_recv()
            {
                batch.push(next);
            }
            let batch = Arc::new(batch);
            let neighbours = self.route.neighbours(&lock(&self.members));
            for peer in neighbours {
                self.send(peer, &batch);
            }
        }
    }

    fn send(&self, peer: SocketAddr, batch: &Arc<Vec<CrashNotice>>) {
        let (links, clock) = (Arc::clone(&self.links), self.clock.clone());
        let batch = Arc::clone(batch);
        self.spawner.spawn(async move {
            let sending = links.send_frame(peer, batch.as_ref());
            match clock.timeout(SEND_TIMEOUT, sending).await {
                Some(Ok(())) => {}
                Some(Err(error)) => event!(Debug, "crash-notice-not-sent", error = error),
                None => event!(Debug, "crash-notice-not-sent", error = "timeout"),
            }
        });
    }
}
