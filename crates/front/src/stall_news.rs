//! Tells the fronts of the same failure domain which servers have stalled.
//!
//! Each front calls a server seldom, and a stall is short: without the others'
//! news, each would lose a call to find out. A notice is a datagram that may
//! get lost; a stall that nobody takes back ends by itself.

use crate::server_line::ServerLine;
use crate::view::SharedFront;
use async_channel::{Receiver, Sender};
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_model::{FrontRecord, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// At most this many fronts are told.
const MOST_TOLD: usize = 12;
/// Notices that wait to be sent; more are dropped, as news this old is worthless.
const MOST_WAITING: usize = 64;

/// A change of a server's stall.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StallNotice {
    /// The server's service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// Whether it stalls now.
    pub is_stalled: bool,
}

/// Sends and takes notices.
#[derive(Debug)]
pub struct StallNews {
    sender: Sender<StallNotice>,
    view: Arc<SharedFront>,
}

/// What the sending of notices needs.
#[derive(Debug)]
pub struct StallTeller {
    notices: Receiver<StallNotice>,
    own: FrontRecord,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    links: Arc<PeerLinks>,
}

impl StallNews {
    /// News about the servers of `view`, and where the notices come out.
    pub fn new(view: Arc<SharedFront>) -> (Self, Receiver<StallNotice>) {
        let (sender, notices) = async_channel::bounded(MOST_WAITING);
        (Self { sender, view }, notices)
    }

    /// Tells the others of a server.
    pub fn tell(&self, line: &ServerLine, is_stalled: bool) {
        let notice = StallNotice {
            service: line.record().service.clone(),
            server: line.name().clone(),
            is_stalled,
        };
        if self.sender.try_send(notice).is_err() {
            event!(Debug, "stall-notice-dropped", server = line.name());
        }
    }

    /// Takes a notice of another front.
    pub fn take(&self, bytes: &[u8]) {
        let notice: StallNotice = match postcard::from_bytes(bytes) {
            Ok(notice) => notice,
            Err(cause) => {
                event!(Info, "stall-notice-malformed", cause = cause);
                return;
            }
        };
        let view = self.view.load();
        let lines = view.services.get(&notice.service);
        let line = lines.and_then(|lines| lines.lines().find(|line| *line.name() == notice.server));
        if let Some(line) = line {
            line.heard_of_stall(notice.is_stalled);
        }
    }
}

impl StallTeller {
    /// What sends `notices` for the front `own`.
    pub fn new(
        notices: Receiver<StallNotice>,
        own: &FrontRecord,
        members: Arc<Mutex<Vec<FrontRecord>>>,
        links: Arc<PeerLinks>,
    ) -> Self {
        Self {
            notices,
            own: own.clone(),
            members,
            links,
        }
    }

    /// Sends notices until the daemon ends.
    pub async fn run(self) {
        while let Ok(notice) = self.notices.recv().await {
            let bytes = match postcard::to_stdvec(&notice) {
                Ok(bytes) => bytes,
                Err(cause) => {
                    event!(Warn, "stall-notice-not-encoded", cause = cause);
                    continue;
                }
            };
            for peer in self.told() {
                if let Err(error) = self.links.send(peer, &bytes).await {
                    event!(Debug, "stall-notice-not-sent", error = error);
                }
            }
        }
    }

    fn told(&self) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        let is_near =
            |front: &&FrontRecord| front.domain == self.own.domain && front.vm != self.own.vm;
        let mut peers: Vec<SocketAddr> = members
            .iter()
            .filter(is_near)
            .map(|front| front.address)
            .collect();
        fastrand::shuffle(&mut peers);
        peers.truncate(MOST_TOLD);
        peers
    }
}
