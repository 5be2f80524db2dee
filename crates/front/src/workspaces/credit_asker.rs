//! Asks other fronts about workspaces' quotas.
//!
//! A front that doesn't answer in time is asked again only after a pause. Just after the
//! start, one that refuses the connection is not: all fronts may have started at once and
//! are about to know each other.

use crate::messages::credit_message::{CreditQuery, CreditReply, CreditSubject};
use crate::metrics::FrontMetrics;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::link::{PeerError, PeerLinks, PeerStep};
use camphorway_daemon::sync::lock;
use camphorway_model::WorkspaceName;
use camphorway_policy::{CreditDecision, SilentPeers};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A grantor that takes longer counts as not reached.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Fronts that start at once know each other after this time.
const STARTING_TIME: Duration = Duration::from_secs(10);

/// Asks other fronts, first those that answer.
#[derive(Debug)]
pub struct CreditAsker {
    links: Arc<PeerLinks>,
    clock: DaemonClock,
    metrics: Arc<FrontMetrics>,
    silent: Mutex<SilentPeers>,
    starting_until: Instant,
}

impl CreditAsker {
    /// The asker of a front that starts.
    pub fn new(links: &Arc<PeerLinks>, clock: &DaemonClock, metrics: &Arc<FrontMetrics>) -> Self {
        Self {
            links: Arc::clone(links),
            clock: clock.clone(),
            metrics: Arc::clone(metrics),
            silent: Mutex::default(),
            starting_until: clock.now() + STARTING_TIME,
        }
    }

    /// Whether this front has just started, and others may have too.
    pub fn is_starting(&self) -> bool {
        self.clock.now() < self.starting_until
    }

    /// The decision of the first grantor that decides on one request; `None` if none does.
    pub async fn ask_in_turn(
        &self,
        workspace: &WorkspaceName,
        grantors: &[SocketAddr],
    ) -> Option<CreditDecision> {
        for grantor in grantors {
            if self.should_defer(*grantor) {
                continue;
            }
            let subject = CreditSubject::Request;
            let reply = self.exchange(workspace, *grantor, subject).await;
            self.metrics.count_credit_ask(end_name(reply));
            match reply {
                Some(CreditReply::Granted) => return Some(CreditDecision::Granted),
                Some(CreditReply::Refused { retry_after_ms }) => {
                    let retry_after = Duration::from_millis(retry_after_ms);
                    return Some(CreditDecision::Refused(retry_after));
                }
                Some(
                    CreditReply::NotResponsible
                    | CreditReply::Owner
                    | CreditReply::NotOwner
                    | CreditReply::Unaware,
                )
                | None => {}
            }
        }
        None
    }

    /// What `predecessor` says of who owns the quota; `None` if it is not reached.
    pub async fn ask_ownership(
        &self,
        workspace: &WorkspaceName,
        predecessor: SocketAddr,
    ) -> Option<CreditReply> {
        if self.should_defer(predecessor) {
            return None;
        }
        self.exchange(workspace, predecessor, CreditSubject::Ownership)
            .await
    }

    fn should_defer(&self, peer: SocketAddr) -> bool {
        lock(&self.silent).should_defer(peer, self.clock.now())
    }

    async fn exchange(
        &self,
        workspace: &WorkspaceName,
        peer: SocketAddr,
        subject: CreditSubject,
    ) -> Option<CreditReply> {
        let query = CreditQuery::new(workspace, subject);
        let answered = self.links.exchange(peer, &query, ASK_TIMEOUT).await;
        match answered {
            Ok(reply) => {
                lock(&self.silent).mark_responsive(peer);
                Some(reply)
            }
            Err(error) => {
                self.record_silence(workspace, peer, &error);
                None
            }
        }
    }

    fn record_silence(&self, workspace: &WorkspaceName, peer: SocketAddr, error: &PeerError) {
        if error.step == PeerStep::Connect && self.is_starting() {
            event!(Info, "quota-grantor-joining", error = error);
            return;
        }
        let now = self.clock.now();
        let mut silent = lock(&self.silent);
        if silent.is_gone(peer, now) {
            // The connection may lead to a process that was killed.
            self.links.disconnect(peer);
        }
        silent.mark_silent(peer, now);
        event!(
            Info,
            "quota-grantor-silent",
            workspace = workspace,
            error = error
        );
    }
}

/// The name of a reply to a request for credit, in metrics.
fn end_name(reply: Option<CreditReply>) -> &'static str {
    match reply {
        Some(CreditReply::Granted) => "granted",
        Some(CreditReply::Refused { .. }) => "refused",
        Some(
            CreditReply::NotResponsible
            | CreditReply::Owner
            | CreditReply::NotOwner
            | CreditReply::Unaware,
        ) => "not-responsible",
        None => "not-reached",
    }
}
