//! Grants credit to other fronts, and keeps this front's place among them.

use crate::messages::credit_message::{CreditQuery, CreditReply, CreditSubject};
use crate::peers::credit_queries::WaitingQuery;
use crate::workspaces::credit_asker::CreditAsker;
use crate::workspaces::quota_state::QuotaState;
use crate::workspaces::quota_states::QuotaStates;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::WorkspaceName;
use camphorway_policy::{CreditDecision, GrantorGroup, OwnershipReply, SuccessionState};
use futures_lite::{FutureExt, StreamExt};
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// The time between two looks at the registered fronts.
const PLACE_INTERVAL: Duration = Duration::from_millis(500);
const MICROS_PER_MS: u128 = 1_000;
/// The same just after the start.
const STARTING_PLACE_INTERVAL: Duration = Duration::from_millis(100);
/// Connections to grantors are made within this time, one after the other.
const CONNECT_SPREAD: Duration = Duration::from_secs(2);

/// Grants credit to other fronts.
#[derive(Debug)]
pub struct QuotaGrantor {
    /// What this front knows of the quotas.
    pub states: Arc<QuotaStates>,
    /// Asks other fronts.
    pub asker: Arc<CreditAsker>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Makes connections.
    pub spawner: TaskSpawner,
    /// The time from which this front knows who owned the quotas before.
    pub aware_from: Instant,
    /// Cancelled to stop granting.
    pub stop: CancellationToken,
}

impl QuotaGrantor {
    /// Answers peers' requests until the front stops.
    pub async fn answer_peers(self: Arc<Self>, queries: Receiver<WaitingQuery>) {
        let answering = async {
            while let Ok(waiting) = queries.recv().await {
                let reply = self.reply(&waiting.query);
                // Fails only if the peer has gone.
                let _ = waiting.reply.try_send(reply);
            }
        };
        answering.or(self.stop.cancelled()).await;
    }

    /// Follows the registered fronts until the front stops, so that a quota that came
    /// and went is noticed also without requests.
    pub async fn follow_members(self: Arc<Self>) {
        let following = async {
            loop {
                self.clock.sleep(self.place_interval()).await;
                if let Some(group) = self.states.place_all() {
                    self.connect_to(&group);
                }
                self.confirm_owned().await;
            }
        };
        following.or(self.stop.cancelled()).await;
    }

    fn place_interval(&self) -> Duration {
        if self.asker.is_starting() {
            STARTING_PLACE_INTERVAL
        } else {
            PLACE_INTERVAL
        }
    }

    fn reply(&self, query: &CreditQuery) -> CreditReply {
        let Some(parts) = self.states.parts_by_name(&query.workspace) else {
            return CreditReply::NotResponsible;
        };
        match query.subject {
            CreditSubject::Ownership => {
                let owned = |state: &mut QuotaState, _| state.owned_since();
                let is_owned = self.states.with(&query.workspace, &parts, owned).is_some();
                self.ownership(is_owned)
            }
            CreditSubject::Request => {
                let grant = |state: &mut QuotaState, now| state.grant(&parts, now);
                decision_reply(self.states.with(&query.workspace, &parts, grant))
            }
        }
    }

    fn ownership(&self, is_owned: bool) -> CreditReply {
        if is_owned {
            CreditReply::Owner
        } else if self.clock.now() < self.aware_from {
            CreditReply::Unaware
        } else {
            CreditReply::NotOwner
        }
    }

    /// Asks the owners before this front whether they still grant, so that their quotas
    /// are granted in full as soon as they don't.
    async fn confirm_owned(&self) {
        let predecessors = self.states.predecessors_to_ask().into_iter();
        let mut confirming: FuturesUnordered<_> = predecessors
            .map(|(workspace, predecessor)| self.confirm(workspace, predecessor))
            .collect();
        while confirming.next().await.is_some() {}
    }

    /// Asks those who may own a quota, one after the other, until one knows.
    async fn confirm(&self, workspace: WorkspaceName, first: SocketAddr) {
        let mut asked = first;
        while let Some(reply) = self.ask_ownership(&workspace, asked).await {
            let recorded = self
                .states
                .update(&workspace, |state, now| {
                    state.record_ownership(asked, reply, now)
                })
                .flatten();
            match recorded {
                Some(SuccessionState::Open(next)) if next != asked => asked = next,
                Some(SuccessionState::Settled) => {
                    event!(Info, "quota-owned", workspace = workspace, before = asked);
                    return;
                }
                Some(SuccessionState::Open(_)) | None => return,
            }
        }
    }

    /// What a front says of who owns a quota; `None` if it doesn't.
    async fn ask_ownership(
        &self,
        workspace: &WorkspaceName,
        front: SocketAddr,
    ) -> Option<OwnershipReply> {
        match self.asker.ask_ownership(workspace, front).await? {
            CreditReply::Owner => Some(OwnershipReply::Owned),
            CreditReply::NotOwner => Some(OwnershipReply::NotOwned),
            CreditReply::Unaware => Some(OwnershipReply::Unaware),
            CreditReply::NotResponsible | CreditReply::Granted | CreditReply::Refused { .. } => {
                None
            }
        }
    }

    /// Connects to those that grant credit before a request needs it.
    fn connect_to(&self, group: &GrantorGroup) {
        for front in group.others() {
            let (links, clock) = (Arc::clone(&self.links), self.clock.clone());
            let (address, stop) = (front.address, self.stop.clone());
            self.spawner.spawn(async move {
                let connecting = async {
                    clock.sleep(CONNECT_SPREAD.mul_f64(fastrand::f64())).await;
                    if let Err(error) = links.prepare(address).await {
                        event!(Info, "quota-grantor-not-connected", error = error);
                    }
                };
                connecting.or(stop.cancelled()).await;
            });
        }
    }
}

fn decision_reply(decision: Option<CreditDecision>) -> CreditReply {
    match decision {
        Some(CreditDecision::Granted) => CreditReply::Granted,
        Some(CreditDecision::Refused(retry_after)) => CreditReply::Refused {
            retry_after_ms: retry_after.as_micros().div_ceil(MICROS_PER_MS) as u64,
        },
        None => CreditReply::NotResponsible,
    }
}
