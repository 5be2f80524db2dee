//! Notifies the fronts of the same region of stalled servers and lost answers.
//!
//! Each front calls a server rarely, and a stall is short: without notices,
//! each front would lose a call to detect it. A notice is a datagram that may
//! get lost; a stall whose end is not reported expires.

use crate::messages::stall_notice::StallNotice;
use crate::servers::server_endpoint::ServerEndpoint;
use crate::servers::view::SharedView;
use async_channel::{Receiver, Sender};
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_model::FrontRecord;
use camphorway_policy::{NoticeReach, NoticeRoute, StallChange};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Notices that may wait to be sent; more are dropped, as they would be too
/// late.
const MAX_WAITING: usize = 64;

/// A notice to be sent, and the peer it came from, if any.
#[derive(Clone, Debug)]
pub struct PendingNotice {
    notice: StallNotice,
    from: Option<SocketAddr>,
}

/// Reports stalls to other fronts and applies their notices.
#[derive(Debug)]
pub struct StallNotices {
    sender: Sender<PendingNotice>,
    view: Arc<SharedView>,
}

/// Sends queued notices to other fronts.
#[derive(Debug)]
pub struct NoticeSender {
    notices: Receiver<PendingNotice>,
    route: NoticeRoute,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    links: Arc<PeerLinks>,
}

impl StallNotices {
    /// Creates the notices about `view`'s servers, and the queue of notices to
    /// send.
    pub fn new(view: Arc<SharedView>) -> (Self, Receiver<PendingNotice>) {
        let (sender, notices) = async_channel::bounded(MAX_WAITING);
        (Self { sender, view }, notices)
    }

    /// Reports a change of a server to the other fronts.
    pub fn report(&self, endpoint: &ServerEndpoint, change: StallChange) {
        let notice = StallNotice {
            service: endpoint.record().service.clone(),
            server: endpoint.name().clone(),
            change,
            reach: NoticeReach::Origin,
        };
        self.enqueue(PendingNotice { notice, from: None });
    }

    fn enqueue(&self, pending: PendingNotice) {
        let server = pending.notice.server.clone();
        if self.sender.try_send(pending).is_err() {
            event!(Debug, "stall-notice-dropped", server = server);
        }
    }

    /// Applies a notice of another front and relays it.
    pub fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let notice: StallNotice = match postcard::from_bytes(bytes) {
            Ok(notice) => notice,
            Err(cause) => {
                event!(Info, "stall-notice-malformed", cause = cause);
                return;
            }
        };
        let view = self.view.load();
        let endpoints = view.services.get(&notice.service);
        let endpoint = endpoints.and_then(|endpoints| {
            endpoints
                .endpoints()
                .find(|endpoint| *endpoint.name() == notice.server)
        });
        if let Some(endpoint) = endpoint {
            endpoint.apply_stall_change(notice.change);
        }
        self.enqueue(PendingNotice {
            notice,
            from: Some(from),
        });
    }
}

impl NoticeSender {
    /// Creates a sender of `notices` along `route`.
    pub fn new(
        notices: Receiver<PendingNotice>,
        route: NoticeRoute,
        members: Arc<Mutex<Vec<FrontRecord>>>,
        links: Arc<PeerLinks>,
    ) -> Self {
        Self {
            notices,
            route,
            members,
            links,
        }
    }

    /// Sends notices until the front stops.
    pub async fn run(self) {
        while let Ok(pending) = self.notices.recv().await {
            let reach = pending.notice.reach;
            let targets = self
                .route
                .next_hops(reach, pending.from, &lock(&self.members));
            for (peer, reach) in targets {
                let notice = StallNotice {
                    reach,
                    ..pending.notice.clone()
                };
                if let Err(error) = self.send(peer, &notice).await {
                    event!(Debug, "stall-notice-not-sent", error = error);
                }
            }
        }
    }

    async fn send(&self, peer: SocketAddr, notice: &StallNotice) -> Result<(), String> {
        let bytes = postcard::to_stdvec(notice).map_err(|cause| cause.to_string())?;
        let sent = self.links.send(peer, &bytes).await;
        sent.map_err(|error| error.to_string())
    }
}
