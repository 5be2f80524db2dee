//! The entry: answers callers' requests by asking the holders of the groups
//! that have a snapshot's shards.

pub mod answer;
pub mod ask;
mod crash_news;
pub mod fan_out;
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

/// An answer this close to its deadline counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(3);

/// What the entry needs of the daemon.
#[derive(Debug)]
pub struct EntryParts {
    /// What the daemon believes.
    pub view: Arc<SharedView>,
    /// The local holder.
    pub holder: Arc<GroupHolder>,
    /// Connections to other holders.
    pub links: Arc<PeerLinks>,
    /// Claims of requests that run at most once.
    pub claims: Arc<ClaimWriter>,
    /// The quarantine.
    pub quarantine: SharedQuarantine,
    /// Takes news of crashes.
    pub control: ControlHandle,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Runs detached work.
    pub spawner: TaskSpawner,
    /// Limits towards callers.
    pub limits: LimitSettings,
}

/// Answers callers.
#[derive(Debug)]
pub struct RequestEntry {
    parts: EntryParts,
    memory: Mutex<EntryMemory>,
    /// Names this process's attempts; different after each start.
    incarnation: u64,
}

/// What earlier requests have shown.
#[derive(Debug)]
pub struct EntryMemory {
    /// Waits reported by holders.
    pub admission: EntryAdmission,
    /// Coverage found for each snapshot.
    pub coverage: CoverageCache,
    /// Time for a shard's answer to arrive, by failure domain.
    pub latency: HashMap<camphorway_model::FailureDomain, LatencyWindow>,
    /// For shards that are asked again.
    pub budgets: RepeatBudgets,
    /// Holders that did not acknowledge lately.
    pub silent: SilentPeers,
}

/// A request with all that was decided before anything is sent.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The view for the whole request.
    pub view: Arc<TierView>,
    /// Index of the snapshot within the service's layout.
    pub snapshot: usize,
    /// When the answer is worthless.
    pub deadline: Instant,
    /// How the content may run.
    pub verdict: ContentVerdict,
    /// The place among the requests in flight.
    pub guard: Option<AdmissionGuard>,
}

impl AdmittedRequest {
    /// The service asked.
    ///
    /// # Panics
    /// Panics if the view lacks the service, which admission has ruled out.
    pub fn service(&self) -> &ServiceView {
        &self.view.services[&self.request.service]
    }
}

impl RequestEntry {
    /// An entry without memory.
    pub fn new(parts: EntryParts) -> Arc<Self> {
        let memory = EntryMemory {
            admission: EntryAdmission::default(),
            coverage: CoverageCache::default(),
            latency: HashMap::new(),
            budgets: RepeatBudgets::default(),
            silent: SilentPeers::default(),
        };
        Arc::new(Self {
            parts,
            memory: Mutex::new(memory),
            incarnation: fastrand::u64(..),
        })
    }

    /// What the entry was built from.
    pub fn parts(&self) -> &EntryParts {
        &self.parts
    }

    /// What earlier requests have shown; hold it for short steps only.
    pub fn memory(&self) -> MutexGuard<'_, EntryMemory> {
        lock(&self.memory)
    }

    /// A number that differs after each start of the daemon.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Answers one request.
    pub async fn answer(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let began = self.parts.clock.now();
        let rank = request.rank;
        let id = request.id;
        let may_have_run = request.is_resend && !request.idempotent;
        let token = UnsentToken::for_new_request();
        let answer = match self.admit(request, began) {
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
        let took = self.parts.clock.now().saturating_duration_since(began);
        self.parts.metrics.answered(rank, answer.outcome(), took);
        if let Some(reason) = answer.reason() {
            self.parts.metrics.refused(rank, reason);
        }
        log_done(id, rank, &answer, took);
        answer
    }

    /// Decides whether and on which snapshot a request runs; nothing is sent.
    fn admit(
        self: &Arc<Self>,
        request: CallerRequest,
        now: Instant,
    ) -> Result<AdmittedRequest, (RefusalReason, Duration)> {
        let view = self.parts.view.load();
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
        let verdict = lock_quarantine(&self.parts.quarantine).verdict(request.content, canary, now);
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
        let memory = self.memory();
        let name = &service.entry.service;
        let layouts = &service.layout.snapshots;
        let newest_only = view.config.rules.policy.newest_snapshot;
        let chosen = snapshot_choice::choose_snapshot(
            layouts,
            service.entry.coverage_target,
            newest_only,
            |layout| memory.coverage.expected(name, layout.snapshot, now),
        )?;
        layouts
            .iter()
            .position(|layout| layout.snapshot == chosen.snapshot)
    }

    /// Another snapshot that a query should start again on, if it is expected to
    /// cover more than the part `held` of the one it was on.
    fn better_snapshot(&self, admitted: &AdmittedRequest, held: f64) -> Option<usize> {
        let service = admitted.service();
        let now = self.parts.clock.now();
        let chosen = self.choose_snapshot(service, &admitted.view, now)?;
        let snapshot = service.layout.snapshots[chosen].snapshot;
        let memory = self.memory();
        let expected = memory
            .coverage
            .expected(&service.entry.service, snapshot, now);
        (chosen != admitted.snapshot && expected > held).then_some(chosen)
    }

    /// Refuses what would come too late or is over its kind's share.
    fn check_load(
        self: &Arc<Self>,
        request: &Arc<CallerRequest>,
        view: &Arc<TierView>,
        snapshot: usize,
        now: Instant,
    ) -> Result<AdmissionGuard, (RefusalReason, Duration)> {
        let rules = &view.config.rules.ranks;
        let bound = |rank: RequestRank| rules[rank].max_refused;
        let service = &view.services[&request.service];
        let target = if request.idempotent {
            service.entry.coverage_target
        } else {
            1.0
        };
        let ask = request.admission_ask(target);
        let nearest = service.nearest[snapshot].iter();
        let nearest = nearest.map(|(group, weight)| (group, *weight));
        let mut memory = self.memory();
        memory
            .admission
            .set_max_refused(PerRank(RequestRank::ALL.map(bound)));
        match memory.admission.decide(&ask, nearest, now) {
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

/// Gives back an admitted request's place, also if the caller hangs up.
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
        let now = self.entry.parts.clock.now();
        let late = now + LATE_MARGIN >= self.deadline;
        let service = &self.view.services[&self.request.service];
        let ask = self.request.admission_ask(service.entry.coverage_target);
        let groups = service.nearest[self.snapshot].keys();
        let mut memory = self.entry.memory();
        memory.admission.finish(&ask, late, groups, now);
    }
}

/// The canary mode of a request that no rule covers.
pub const DEFAULT_CANARY: CanaryMode = CanaryMode::Suspects;

/// The line of an answered request. Whole answers are many and need no look, so
/// they are told at the debug level only.
fn log_done(id: RequestId, rank: RequestRank, answer: &CallerAnswer, took: Duration) {
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
