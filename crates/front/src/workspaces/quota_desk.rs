//! Obtains the credit of callers' requests.
//!
//! Each request that is within its workspace's quota has its credit before a server is
//! called. Only a front that is cut off from the owner and the deputy decides without
//! either, within its own part.
//!
//! Just after the start, when fronts don't know each other yet or an owner has no savings,
//! a few requests of each workspace wait for their credit.

use crate::metrics::{FrontMetrics, OwnedQuota};
use crate::peers::credit_queries::WaitingQuery;
use crate::peers::workspace_slots::WorkspaceSlots;
use crate::servers::view::SharedView;
use crate::settings::QuotaBounds;
use crate::workspaces::credit_asker::CreditAsker;
use crate::workspaces::quota_grantor::QuotaGrantor;
use crate::workspaces::quota_state::{CreditStep, QuotaState};
use crate::workspaces::quota_states::QuotaStates;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::{FrontRecord, VmName, Workspace, WorkspaceName};
use camphorway_policy::{CreditDecision, QuotaParts, QuotaTolerance};
use derive_more::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// The time after which a caller may retry when no front could be asked.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The first pause of a request that waits for its credit; each later one is longer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Requests of one workspace that may wait for their credit at once.
const MAX_WAITING: usize = 4;
/// A front that starts learns within this time who owns quotas, or that nobody does.
const LEARNING_TIME: Duration = Duration::from_secs(5);

/// A request that is over its workspace's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaRefusal {
    /// The time after which the caller may retry.
    pub retry_after: Duration,
    /// Who refused it.
    pub decider: QuotaDecider,
}

/// Who decides on a request's credit.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum QuotaDecider {
    /// This front, as the owner or the deputy.
    #[display("this-front")]
    ThisFront,
    /// The owner or the deputy.
    #[display("other-front")]
    OtherFront,
    /// This front within its own part, since neither was reached.
    #[display("none-reached")]
    NoneReached,
}

/// What the desk needs of the front.
#[derive(Clone, Debug)]
pub struct DeskContext {
    /// The front's VM.
    pub own: VmName,
    /// The registered fronts.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The configuration in force.
    pub view: Arc<SharedView>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Runs requests for credit that nobody waits for.
    pub spawner: TaskSpawner,
    /// The front's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// Cancelled to stop the desk.
    pub stop: CancellationToken,
}

/// Keeps all workspaces within their quotas.
#[derive(Debug)]
pub struct QuotaDesk {
    context: DeskContext,
    window: Duration,
    states: Arc<QuotaStates>,
    asker: Arc<CreditAsker>,
    waiting: WorkspaceSlots,
}

impl QuotaDesk {
    /// A desk that keeps quotas within `bounds`.
    pub fn new(context: DeskContext, bounds: &QuotaBounds) -> Self {
        let tolerance = QuotaTolerance {
            window: bounds.window,
            overage_fraction: bounds.overage_fraction,
            slack: bounds.slack,
        };
        let DeskContext {
            own,
            members,
            links,
            view,
            clock,
            metrics,
            ..
        } = &context;
        let states = QuotaStates::new(own, members, view, clock, tolerance);
        let asker = CreditAsker::new(links, clock, metrics);
        Self {
            states: Arc::new(states),
            asker: Arc::new(asker),
            context,
            window: bounds.window,
            waiting: WorkspaceSlots::new(MAX_WAITING),
        }
    }

    /// Starts granting credit to other fronts, until the front stops.
    pub fn start_granting(&self, queries: Receiver<WaitingQuery>) {
        let context = &self.context;
        let grantor = Arc::new(QuotaGrantor {
            states: Arc::clone(&self.states),
            asker: Arc::clone(&self.asker),
            links: Arc::clone(&context.links),
            clock: context.clock.clone(),
            spawner: context.spawner.clone(),
            aware_from: context.clock.now() + self.window + LEARNING_TIME,
            stop: context.stop.clone(),
        });
        let spawner = &context.spawner;
        spawner.spawn(Arc::clone(&grantor).answer_peers(queries));
        spawner.spawn(grantor.follow_members());
    }

    /// Obtains the credit of one request of `workspace`, which may wait for it until
    /// `wait_until`.
    ///
    /// # Errors
    /// Returns when the caller may retry.
    pub async fn obtain(
        &self,
        workspace: &Workspace,
        wait_until: Instant,
    ) -> Result<(), QuotaRefusal> {
        let Some(parts) = self.states.parts(workspace) else {
            return Ok(());
        };
        let name = &workspace.name;
        match self.decide(name, &parts).await {
            Err(refusal) if self.asker.is_starting() => {
                self.wait(name, &parts, refusal, wait_until).await
            }
            decided => decided,
        }
    }

    /// The quotas that this front owns.
    pub fn owned_quotas(&self) -> Vec<OwnedQuota> {
        self.states.owned()
    }

    /// Asks again for a request that was refused just after the start.
    async fn wait(
        &self,
        workspace: &WorkspaceName,
        parts: &QuotaParts,
        mut refusal: QuotaRefusal,
        wait_until: Instant,
    ) -> Result<(), QuotaRefusal> {
        let Some(_slot) = self.waiting.take(workspace) else {
            return Err(refusal);
        };
        let clock = &self.context.clock;
        let mut pause = FIRST_PAUSE;
        loop {
            let next_at = clock.now() + pause.min(refusal.retry_after);
            if next_at >= wait_until {
                return Err(refusal);
            }
            clock.sleep_until(next_at).await;
            pause *= 2;
            match self.decide(workspace, parts).await {
                Ok(()) => return Ok(()),
                Err(later) => refusal = later,
            }
        }
    }

    async fn decide(
        &self,
        workspace: &WorkspaceName,
        parts: &QuotaParts,
    ) -> Result<(), QuotaRefusal> {
        let begin = |state: &mut QuotaState, now| state.begin(parts, now);
        match self.states.with(workspace, parts, begin) {
            CreditStep::Decided(decision) => outcome(decision, QuotaDecider::ThisFront),
            CreditStep::ConfirmAt(grantors) => {
                self.spawn_confirmation(workspace, parts, grantors);
                Ok(())
            }
            CreditStep::AskAt(grantors) => self.ask(workspace, parts, &grantors).await,
        }
    }

    /// Asks for the credit of a request that runs on this front's own part.
    fn spawn_confirmation(
        &self,
        workspace: &WorkspaceName,
        parts: &QuotaParts,
        grantors: Vec<SocketAddr>,
    ) {
        let (states, asker) = (Arc::clone(&self.states), Arc::clone(&self.asker));
        let (workspace, parts) = (workspace.clone(), *parts);
        self.context.spawner.spawn(async move {
            let decision = asker.ask_in_turn(&workspace, &grantors).await;
            let decision = decision.or_else(|| grant_as_deputy(&states, &workspace, &parts));
            if decision == Some(CreditDecision::Granted) {
                states.with(&workspace, &parts, |state, _| state.confirm());
            }
        });
    }

    async fn ask(
        &self,
        workspace: &WorkspaceName,
        parts: &QuotaParts,
        grantors: &[SocketAddr],
    ) -> Result<(), QuotaRefusal> {
        if let Some(decision) = self.asker.ask_in_turn(workspace, grantors).await {
            let decided = outcome(decision, QuotaDecider::OtherFront);
            return decided.map_err(|refusal| QuotaRefusal {
                retry_after: refusal.retry_after.min(self.window),
                ..refusal
            });
        }
        if let Some(decision) = grant_as_deputy(&self.states, workspace, parts) {
            return outcome(decision, QuotaDecider::ThisFront);
        }
        let free = |state: &mut QuotaState, now| state.frees_after(parts, now);
        let frees_after = self.states.with(workspace, parts, free);
        Err(QuotaRefusal {
            retry_after: frees_after.unwrap_or(UNREACHED_RETRY_AFTER),
            decider: QuotaDecider::NoneReached,
        })
    }
}

fn outcome(decision: CreditDecision, decider: QuotaDecider) -> Result<(), QuotaRefusal> {
    match decision {
        CreditDecision::Granted => Ok(()),
        CreditDecision::Refused(retry_after) => Err(QuotaRefusal {
            retry_after,
            decider,
        }),
    }
}

/// This front's own decision if it is the deputy, as the owner was not reached.
fn grant_as_deputy(
    states: &QuotaStates,
    workspace: &WorkspaceName,
    parts: &QuotaParts,
) -> Option<CreditDecision> {
    states.with(workspace, parts, |state, now| state.grant(parts, now))
}
