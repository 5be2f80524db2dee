//! Tells the fronts of the same region which servers have stalled.
//!
//! Each front calls a server seldom, and a stall is short: without the others'
//! news, each would lose a call to find out. A notice is a datagram that may
//! get lost; a stall that nobody takes back ends by itself.

use crate::server_endpoint::ServerEndpoint;
use crate::view::SharedView;
use async_channel::{Receiver, Sender};
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_model::{FrontRecord, ServerName, ServiceName};
use camphorway_policy::{NoticeReach, NoticeRoute, StallChange};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Notices that wait to be sent; more are dropped, as news this old is worthless.
const MAX_WAITING: usize = 64;

/// A change of a server's stall.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StallNotice {
    /// The server's service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// What was seen.
    pub change: StallChange,
    /// How far the notice has come.
    pub reach: NoticeReach,
}

/// A notice to be passed on, and from whom it came.
#[derive(Clone, Debug)]
pub struct PendingNotice {
    notice: StallNotice,
    from: Option<SocketAddr>,
}

/// Sends and takes notices.
#[derive(Debug)]
pub struct StallNotices {
    sender: Sender<PendingNotice>,
    view: Arc<SharedView>,
}

/// What the sending of notices needs.
#[derive(Debug)]
pub struct NoticeSender {
    notices: Receiver<PendingNotice>,
    route: NoticeRoute,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    links: Arc<PeerLinks>,
}

impl StallNotices {
    /// News about the servers of `view`, and where the notices come out.
    pub fn new(view: Arc<SharedView>) -> (Self, Receiver<PendingNotice>) {
        let (sender, notices) = async_channel::bounded(MAX_WAITING);
        (Self { sender, view }, notices)
    }

    /// Tells the others of a server.
    pub fn report(&self, endpoint: &ServerEndpoint, change: StallChange) {
        let notice = StallNotice {
            service: endpoint.record().service.clone(),
            server: endpoint.name().clone(),
            change,
            reach: NoticeReach::Origin,
        };
        self.pass_on(PendingNotice { notice, from: None });
    }

    fn pass_on(&self, heard: PendingNotice) {
        let server = heard.notice.server.clone();
        if self.sender.try_send(heard).is_err() {
            event!(Debug, "stall-notice-dropped", server = server);
        }
    }

    /// Takes a notice of another front.
    pub fn take(&self, bytes: &[u8], from: SocketAddr) {
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
        self.pass_on(PendingNotice {
            notice,
            from: Some(from),
        });
    }
}

impl NoticeSender {
    /// What sends `notices` along `route`.
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

    /// Sends notices until the daemon ends.
    pub async fn run(self) {
        while let Ok(heard) = self.notices.recv().await {
            let reach = heard.notice.reach;
            let targets = self
                .route
                .next_hops(reach, heard.from, &lock(&self.members));
            for (peer, reach) in targets {
                let notice = StallNotice {
                    reach,
                    ..heard.notice.clone()
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
