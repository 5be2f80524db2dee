//! The entry: answers callers' requests by querying the holders of the groups
//! that serve a snapshot's shards.

pub mod answer;
mod crash_notice;
pub mod fan_out;
pub mod group_query;
pub mod once;
pub mod request;

use crate::clock::DaemonClock;
use crate::control::view::{ServiceView, SharedView, TierView};
use crate::control::{ControlHandle, SharedQuarantine, lock_quarantine};
use crate::entry::answer::CallerAnswer;
use crate::entry::request::CallerRequest;
use crate::event;
use crate::holder::GroupHolder;
use crate::metrics::DaemonMetrics;
use crate::peer::link::PeerLinks;
use crate::settings::LimitSettings;
use crate::store::claims::ClaimWriter;
use crate::sync::lock;
use crate::task::TaskSpawner;
use camphorway_model::{AnswerOutcome, CanaryMode, PerRank, RefusalReason, RequestId, RequestRank};
use camphorway_policy::snapshot_choice::{self, CoverageCache};
use camphorway_policy::{
    AdmissionDecision, ContentVerdict, EntryAdmission, LatencyWindow, RepeatBudgets, SilentPeers,
    UnsentToken,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An answer within this time of its deadline counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(3);

/// The components of the daemon that the entry uses.
#[derive(Debug)]
pub struct EntryContext {
    /// The daemon's current view of the tier.
    pub view: Arc<SharedView>,
    /// The local holder.
    pub holder: Arc<GroupHolder>,
    /// Connections to other holders.
    pub links: Arc<PeerLinks>,
    /// Claims for requests that run at most once.
    pub claims: Arc<ClaimWriter>,
    /// The content quarantine.
    pub quarantine: SharedQuarantine,
    /// Receives crash reports.
    pub control: ControlHandle,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Runs detached tasks.
    pub spawner: TaskSpawner,
    /// Limits on callers' requests.
    pub limits: LimitSettings,
}

/// Answers callers' requests.
#[derive(Debug)]
pub struct RequestEntry {
    context: EntryContext,
    state: Mutex<EntryState>,
    /// Identifies this process's attempts; differs after each start.
    incarnation: u64,
}

/// State kept between requests.
#[derive(Debug)]
pub struct EntryState {
    /// Admission control by the waits that holders report.
    pub admission: EntryAdmission,
    /// Coverage observed for each snapshot.
    pub coverage: CoverageCache,
    /// Time until a shard's answer arrived, by failure domain.
    pub latency: HashMap<camphorway_model::FailureDomain, LatencyWindow>,
    /// Budgets for hedged and retried shards.
    pub budgets: RepeatBudgets,
    /// Holders that recently failed to acknowledge.
    pub silent: SilentPeers,
}

/// A request with the decisions made before anything is sent.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The view used for the whole request.
    pub view: Arc<TierView>,
    /// Index of the snapshot within the service's layout.
    pub snapshot: usize,
    /// The deadline; a later answer is useless.
    pub deadline: Instant,
    /// The quarantine's verdict on the content.
    pub verdict: ContentVerdict,
    /// Counts the request as in flight; none if the policy has no early refusal.
    pub guard: Option<AdmissionGuard>,
}

impl AdmittedRequest {
    /// The requested service.
    ///
    /// # Panics
    /// Panics if the view lacks the service, which admission rules out.
    pub fn service(&self) -> &ServiceView {
        &self.view.services[&self.request.service]
    }
}

impl RequestEntry {
    /// Creates an entry with empty state.
    pub fn new(context: EntryContext) -> Arc<Self> {
        let state = EntryState {
            admission: EntryAdmission::default(),
            coverage: CoverageCache::default(),
            latency: HashMap::new(),
            budgets: RepeatBudgets::default(),
            silent: SilentPeers::default(),
        };
        Arc::new(Self {
            context,
            state: Mutex::new(state),
            incarnation: fastrand::u64(..),
        })
    }

    /// The components of the daemon that the entry uses.
    pub fn context(&self) -> &EntryContext {
        &self.context
    }

    /// Locks the state kept between requests; hold the guard only briefly.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        lock(&self.state)
    }

    /// The number that differs after each start of the daemon.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Answers one request.
    pub async fn answer(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let arrived_at = self.context.clock.now();
        let rank = request.rank;
        let id = request.id;
        let may_have_run = request.is_resend && !request.idempotent;
        let token = UnsentToken::for_new_request();
        let answer = match self.admit(request, arrived_at) {
            Ok(admitted) if admitted.request.idempotent => {
                fan_out::run(self, admitted, token).await
            }
            Ok(admitted) => once::run(self, admitted, token).await,
            Err((reason, retry_after)) => {
                CallerAnswer::not_run(&token.refuse(reason)).with_retry_after(retry_after)
            }
        };
        let answer = if may_have_run {
            answer.for_resend()
        } else {
            answer
        };
        let took = self
            .context
            .clock
            .now()
            .saturating_duration_since(arrived_at);
        self.context
            .metrics
            .record_answer(rank, answer.outcome(), took);
        if let Some(reason) = answer.reason() {
            self.context.metrics.record_refusal(rank, reason);
        }
        log_answer(id, rank, &answer, took);
        answer
    }

    /// Decides whether a request runs and on which snapshot; sends nothing.
    fn admit(
        self: &Arc<Self>,
        request: CallerRequest,
        now: Instant,
    ) -> Result<AdmittedRequest, (RefusalReason, Duration)> {
        let view = self.context.view.load();
        let refuse = |reason| Err((reason, Duration::ZERO));
        if view.generation.0 == 0 {
            return refuse(RefusalReason::Unavailable);
        }
        if !view
            .config
            .inventory
            .services
            .contains_key(&request.service)
        {
            return refuse(RefusalReason::UnknownService);
        }
        let Some(service) = view.services.get(&request.service) else {
            return refuse(RefusalReason::Unavailable);
        };
        let canary = request.canary;
        let verdict =
            lock_quarantine(&self.context.quarantine).verdict(request.content, canary, now);
        if let ContentVerdict::Quarantined(left) = verdict {
            return Err((RefusalReason::Quarantined, left));
        }
        let Some(snapshot) = self.choose_snapshot(service, &view, now) else {
            return refuse(RefusalReason::Unavailable);
        };
        let deadline = now + request.time_limit;
        let request = Arc::new(request);
        let guard = if view.config.rules.policy.early_refusal {
            Some(self.check_load(&request, &view, snapshot, now)?)
        } else {
            None
        };
        Ok(AdmittedRequest {
            request,
            view,
            snapshot,
            deadline,
            verdict,
            guard,
        })
    }

    fn choose_snapshot(
        &self,
        service: &ServiceView,
        view: &TierView,
        now: Instant,
    ) -> Option<usize> {
        let state = self.state();
        let name = &service.entry.service;
        let layouts = &service.layout.snapshots;
        let newest_only = view.config.rules.policy.newest_snapshot;
        let chosen = snapshot_choice::choose_snapshot(
            layouts,
            service.entry.coverage_target,
            newest_only,
            |layout| state.coverage.expected(name, layout.snapshot, now),
        )?;
        layouts
            .iter()
            .position(|layout| layout.snapshot == chosen.snapshot)
    }

    /// The snapshot on which a query should restart: one expected to have a higher
    /// coverage than `coverage`, that of the query's current snapshot.
    fn better_snapshot(&self, admitted: &AdmittedRequest, coverage: f64) -> Option<usize> {
        let service = admitted.service();
        let now = self.context.clock.now();
        let chosen = self.choose_snapshot(service, &admitted.view, now)?;
        let snapshot = service.layout.snapshots[chosen].snapshot;
        let state = self.state();
        let expected = state
            .coverage
            .expected(&service.entry.service, snapshot, now);
        (chosen != admitted.snapshot && expected > coverage).then_some(chosen)
    }

    /// Refuses a request that would miss its deadline or exceeds its kind's share.
    fn check_load(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        view: &Arc<TierView>,
        snapshot: usize,
        now: Instant,
    ) -> Result<AdmissionGuard, (RefusalReason, Duration)> {
        let rules = &view.config.rules.ranks;
        let max_refused = |rank: RequestRank| rules[rank].max_refused;
        let service = &view.services[&request.service];
        let target = if request.idempotent {
            service.entry.coverage_target
        } else {
            1.0
        };
        let admission = request.admission_request(target);
        let nearest = service.nearest[snapshot].iter();
        let nearest = nearest.map(|(group, weight)| (group, *weight));
        let mut state = self.state();
        state
            .admission
            .set_max_refused(PerRank(RequestRank::ALL.map(max_refused)));
        match state.admission.decide(&admission, nearest, now) {
            AdmissionDecision::Admit => Ok(AdmissionGuard {
                entry: Arc::clone(self),
                view: Arc::clone(view),
                request: Arc::clone(request),
                snapshot,
                deadline: now + request.time_limit,
            }),
            AdmissionDecision::Refuse { retry_after } => {
                Err((RefusalReason::Overloaded, retry_after))
            }
        }
    }
}

/// Ends an admitted request's admission, also when the caller disconnects.
#[derive(Debug)]
pub struct AdmissionGuard {
    entry: Arc<RequestEntry>,
    view: Arc<TierView>,
    request: Arc<CallerRequest>,
    snapshot: usize,
    deadline: Instant,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.entry.context.clock.now();
        let late = now + LATE_MARGIN >= self.deadline;
        let service = &self.view.services[&self.request.service];
        let admission = self
            .request
            .admission_request(service.entry.coverage_target);
        let groups = service.nearest[self.snapshot].keys();
        let mut state = self.entry.state();
        state.admission.finish(&admission, late, groups, now);
    }
}

/// The canary mode of a request that no rule matches.
pub const DEFAULT_CANARY: CanaryMode = CanaryMode::Suspects;

/// Logs an answer. Complete ones are frequent and need no attention, so their
/// level is debug.
fn log_answer(id: RequestId, rank: RequestRank, answer: &CallerAnswer, took: Duration) {
    let (outcome, took_us) = (answer.outcome(), took.as_micros());
    if outcome == AnswerOutcome::Complete {
        event!(
            Debug,
            "request-done",
            request = id,
            rank = rank,
            outcome = outcome,
            took_us = took_us
        );
        return;
    }
    let reason = answer.reason();
    let reason = reason.map_or_else(|| "none".to_owned(), |reason| reason.to_string());
    event!(
        Info,
        "request-done",
        request = id,
        rank = rank,
        outcome = outcome,
        reason = reason,
        took_us = took_us
    );
}
