//! The control thread: owns the state that the daemon keeps about the tier and
//! publishes it as an immutable view that traffic threads read.
//!
//! Traffic never waits for the control thread. Other threads send it their
//! input over one bounded channel.

pub mod dump;
pub mod view;
pub mod watch;

use crate::clock::DaemonClock;
use crate::control::view::{SharedView, TierView};
use crate::event;
use crate::metrics::DaemonMetrics;
use crate::peer::link::PeerLinks;
use crate::peer::message::{PeerReports, PullReply, PullRequest};
use crate::store::client::{VmKind, VmList, VmState};
use crate::sync::lock;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use camphorway_gossip::tracker::HEAD_KEY;
use camphorway_gossip::{
    ConfigTracker, GossipMessage, MemberAction, MemberTable, SharedItem, SharedItems, TrackerEvent,
};
use camphorway_model::{HeadObject, PartReference};
use camphorway_policy::{ClearReport, CrashReport, DrainReport, DrainTable, QuarantineTable};
use futures_lite::FutureExt;
use serde_json::Value;
use std::collections::{BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const INBOX_CAPACITY: usize = 8_192;
const ANNOUNCE_FANOUT: usize = 3;
/// Number of members to which new reports of crashes and draining servers are sent
/// at once, without waiting for a round.
const REPORT_FANOUT: usize = 16;
/// Key of the item that lists the backend servers that are leaving.
pub const LEAVING_KEY: &str = "vms/leaving";
/// Key prefix of layout objects.
pub const LAYOUT_PREFIX: &str = "config/layouts/";
/// Minimum time between two pulls from a peer whose digest differs.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(200);

/// The quarantine, shared with traffic threads; hold its guard only briefly.
pub type SharedQuarantine = Arc<Mutex<QuarantineTable>>;

/// An input to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A gossip message arrived.
    Gossip(GossipMessage),
    /// A peer requests the items and reports that it lacks.
    PullRequested(PullRequest, Sender<PullReply>),
    /// A peer's reply to this daemon's pull.
    PullReplied(PullReply),
    /// Objects were read from the store.
    Items(Vec<SharedItem>),
    /// The VM list was read from the platform.
    Vms(VmList),
    /// A backend server crashed. The sender, if any, is dropped when every exchange
    /// that carries the report to another daemon has succeeded or failed.
    Crash(CrashReport, Option<Sender<Infallible>>),
    /// A backend server reported that it is draining.
    Draining(DrainReport),
    /// An operator requests the state.
    Dump(Sender<Value>),
    /// The daemon is stopping.
    Leave,
}

/// Sends inputs to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: Sender<ControlInput>,
}

impl ControlHandle {
    /// Creates a handle and the inbox that it sends to.
    pub fn new() -> (Self, Receiver<ControlInput>) {
        let (sender, inbox) = async_channel::bounded(INBOX_CAPACITY);
        (Self { sender }, inbox)
    }

    /// Sends an input, or drops it with a warning if the inbox is full.
    pub fn try_send(&self, input: ControlInput) {
        if self.sender.try_send(input).is_err() {
            event!(Warn, "control-inbox-full");
        }
    }

    /// Sends an input, waiting while the inbox is full.
    pub async fn send(&self, input: ControlInput) {
        // The channel closes only when the daemon ends.
        let _ = self.sender.send(input).await;
    }
}

/// The dependencies of the control thread.
#[derive(Debug)]
pub struct ControlContext {
    /// The member table.
    pub members: MemberTable,
    /// The view to publish to.
    pub view: Arc<SharedView>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The quarantine.
    pub quarantine: SharedQuarantine,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// The inbox of inputs.
    pub inbox: Receiver<ControlInput>,
    /// Sends inputs to `inbox`.
    pub handle: ControlHandle,
    /// Cancelled to stop the loop.
    pub stop: CancellationToken,
}

/// The state of the control thread.
struct ControlLoop<'executor> {
    context: ControlContext,
    executor: Rc<LocalExecutor<'executor>>,
    items: SharedItems,
    tracker: ConfigTracker,
    drains: DrainTable,
    entry_count: usize,
    last_pulls: HashMap<SocketAddr, Instant>,
}

/// Runs the control loop until stopped; needs a dedicated thread.
pub async fn run(context: ControlContext, executor: Rc<LocalExecutor<'_>>) {
    let mut state = ControlLoop {
        context,
        executor,
        items: SharedItems::default(),
        tracker: ConfigTracker::default(),
        drains: DrainTable::default(),
        entry_count: 0,
        last_pulls: HashMap::new(),
    };
    state.publish();
    loop {
        let now = state.context.clock.now();
        let due = state.context.members.next_tick(now);
        let input = async { state.context.inbox.recv().await.ok().map(Some) };
        let tick = async {
            state.context.clock.sleep_until(due).await;
            Some(None)
        };
        let stopped = async {
            state.context.stop.cancelled().await;
            None
        };
        match stopped.or(tick).or(input).await {
            None => return,
            Some(None) => state.tick(),
            Some(Some(input)) => state.handle(input),
        }
    }
}

impl ControlLoop<'_> {
    fn tick(&mut self) {
        let now = self.context.clock.now();
        if self.drains.remove_expired(now) {
            self.publish();
        }
        self.refresh_digest();
        let actions = self.context.members.tick(now);
        self.execute(actions);
        self.update_gauges();
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.context.clock.now();
        match input {
            ControlInput::Gossip(message) => {
                self.refresh_digest();
                let actions = self.context.members.receive(message, now);
                self.execute(actions);
            }
            ControlInput::PullRequested(request, reply) => {
                self.apply_reports(&request.reports);
                let answer = PullReply {
                    items: self.items.newer_than(&request.versions),
                    reports: self.reports(now),
                };
                // This fails only if the peer's stream has closed.
                let _ = reply.try_send(answer);
            }
            ControlInput::PullReplied(reply) => {
                self.apply_reports(&reply.reports);
                self.apply_items(reply.items);
            }
            ControlInput::Items(items) => self.apply_items(items),
            ControlInput::Vms(list) => self.apply_vm_list(&list),
            ControlInput::Crash(report, completion) => self.handle_crash(report, completion),
            ControlInput::Draining(report) => self.apply_drains(&[report]),
            ControlInput::Dump(reply) => {
                let _ = reply.try_send(self.dump());
            }
            ControlInput::Leave => {
                let actions = self.context.members.leave(now);
                self.execute(actions);
            }
        }
    }

    fn execute(&mut self, actions: Vec<MemberAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MemberAction::Send {
                    address, message, ..
                } => self.send(address, &message),
                MemberAction::MembersChanged => changed = true,
                MemberAction::Pull { address, .. } => self.pull(address),
            }
        }
        if changed {
            self.publish();
        }
    }

    fn send(&self, address: SocketAddr, message: &GossipMessage) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        self.context
            .metrics
            .record_control_message("sent", bytes.len());
        let links = Arc::clone(&self.context.links);
        self.executor
            .spawn(async move {
                if let Err(error) = links.send(address, &bytes).await {
                    event!(Debug, "gossip-not-sent", error = error);
                }
            })
            .detach();
    }

    /// Exchanges items and reports with a peer whose digest differs.
    fn pull(&mut self, address: SocketAddr) {
        let now = self.context.clock.now();
        let last = self.last_pulls.get(&address);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < MIN_PULL_INTERVAL) {
            return;
        }
        self.last_pulls.insert(address, now);
        let request = PullRequest {
            versions: self.items.versions(),
            reports: self.reports(now),
        };
        self.exchange(address, request, None);
    }

    /// Exchanges reports with a peer, and drops `completion` when the exchange
    /// succeeds or fails.
    fn exchange(
        &self,
        address: SocketAddr,
        request: PullRequest,
        completion: Option<Sender<Infallible>>,
    ) {
        let links = Arc::clone(&self.context.links);
        let handle = self.context.handle.clone();
        self.executor
            .spawn(async move {
                match links.pull(address, request).await {
                    Ok(reply) => handle.send(ControlInput::PullReplied(reply)).await,
                    Err(error) => event!(Debug, "pull-failed", error = error),
                }
                drop(completion);
            })
            .detach();
    }

    /// All current reports on servers and contents.
    fn reports(&self, now: Instant) -> PeerReports {
        PeerReports {
            crashes: self.quarantine(|table| table.reports(now)),
            cleared: self.quarantine(|table| table.clear_reports(now)),
            drains: self.drains.reports(now),
        }
    }

    fn apply_reports(&mut self, reports: &PeerReports) {
        self.apply_cleared(&reports.cleared);
        self.apply_crashes(&reports.crashes);
        self.apply_drains(&reports.drains);
    }

    fn apply_cleared(&self, reports: &[ClearReport]) {
        let now = self.context.clock.now();
        for report in reports {
            self.quarantine(|table| table.record_clear(report, now));
        }
    }

    /// Handles a crash detected by a call. With a `completion`, the report is sent even
    /// if the crash was recorded before: a report on its way from another daemon may
    /// arrive later than this one.
    fn handle_crash(&mut self, report: CrashReport, completion: Option<Sender<Infallible>>) {
        let Some(completion) = completion else {
            self.apply_crashes(&[report]);
            return;
        };
        self.record_crash(&report);
        let reports = PeerReports {
            crashes: vec![report],
            ..PeerReports::default()
        };
        self.broadcast(&reports, Some(&completion));
    }

    /// Records a crash in the quarantine; true if it was not recorded before.
    fn record_crash(&self, report: &CrashReport) -> bool {
        let now = self.context.clock.now();
        let is_new = self.quarantine(|table| table.record_crash(report, now));
        if is_new {
            event!(
                Warn,
                "server-crash",
                server = report.server,
                content = report.content.0,
                alone = report.alone
            );
        }
        is_new
    }

    fn apply_crashes(&mut self, reports: &[CrashReport]) {
        let is_new = |report: &&CrashReport| self.record_crash(report);
        let crashes: Vec<CrashReport> = reports.iter().filter(is_new).cloned().collect();
        if !crashes.is_empty() {
            let new_reports = PeerReports {
                crashes,
                ..PeerReports::default()
            };
            self.broadcast(&new_reports, None);
        }
    }

    fn apply_drains(&mut self, reports: &[DrainReport]) {
        let now = self.context.clock.now();
        let mut drains = Vec::new();
        for report in reports {
            if self.drains.record(report, now) {
                event!(
                    Info,
                    "server-draining",
                    server = report.server,
                    boot = report.boot,
                    age_ms = report.age_ms
                );
                drains.push(report.clone());
            }
        }
        if !drains.is_empty() {
            self.publish();
            let new_reports = PeerReports {
                drains,
                ..PeerReports::default()
            };
            self.broadcast(&new_reports, None);
        }
    }

    /// Sends reports to other members at once, without waiting for a gossip round;
    /// `completion` is dropped when every exchange has succeeded or failed.
    fn broadcast(&mut self, reports: &PeerReports, completion: Option<&Sender<Infallible>>) {
        self.refresh_digest();
        let own = self.context.members.own().vm.clone();
        let others = self
            .context
            .members
            .records()
            .filter(|peer| peer.vm != own && peer.is_serving());
        let mut peers: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(REPORT_FANOUT) {
            let request = PullRequest {
                versions: self.items.versions(),
                reports: reports.clone(),
            };
            self.exchange(peer, request, completion.cloned());
        }
    }

    /// Stores the items that are newer, and adopts their configuration once it is
    /// complete and valid.
    fn apply_items(&mut self, items: Vec<SharedItem>) {
        let mut changed = false;
        for item in items {
            changed |= self.items.offer(item);
        }
        if !changed {
            return;
        }
        match self.tracker.offer_items(&self.items) {
            TrackerEvent::Adopted(_) => {
                let generation = self.tracker.generation();
                event!(Info, "configuration-in-force", generation = generation);
            }
            TrackerEvent::Refused(faults) => {
                for fault in faults {
                    event!(Error, "configuration-refused", fault = fault);
                }
            }
            TrackerEvent::Incomplete(parts) => {
                event!(Info, "configuration-incomplete", missing = parts.len());
            }
            TrackerEvent::Unchanged => {}
        }
        self.remove_old_parts();
        self.publish();
        let now = self.context.clock.now();
        let actions = self.context.members.announce(ANNOUNCE_FANOUT, now);
        self.execute(actions);
    }

    /// Removes parts that neither the head in force nor the newest head refers to.
    /// A peer with an old configuration keeps sending its parts.
    fn remove_old_parts(&mut self) {
        let newest: Option<HeadObject> = self
            .items
            .text(HEAD_KEY)
            .and_then(|text| serde_json::from_str(text).ok());
        let heads = newest.iter().chain(std::iter::once(self.tracker.head()));
        let keys: BTreeSet<String> = heads
            .flat_map(|head| head.parts.iter().map(PartReference::object_key))
            .collect();
        let is_part = |key: &str| key.starts_with("config/parts/");
        self.items.retain(|key| !is_part(key) || keys.contains(key));
    }

    /// Applies the VM list: addresses of daemons to contact, and backend servers
    /// that are leaving.
    fn apply_vm_list(&mut self, list: &VmList) {
        let entries: Vec<_> = list
            .vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Entry)
            .collect();
        // A list with less than half of the previous entry VMs is assumed to be faulty.
        if entries.len() * 2 < self.entry_count {
            event!(
                Warn,
                "vm-list-not-believed",
                listed = entries.len(),
                before = self.entry_count
            );
            return;
        }
        self.entry_count = entries.len();
        let addresses = entries.iter().map(|vm| vm.address);
        self.context.members.add_candidates(addresses);
        let leaving = |vm: &&crate::store::client::ListedVm| {
            vm.kind == VmKind::Backend && vm.state == VmState::Leaving
        };
        let names: Vec<&str> = list
            .vms
            .iter()
            .filter(leaving)
            .map(|vm| vm.name.as_str())
            .collect();
        let text = serde_json::to_string(&names).unwrap_or_default();
        if self.items.text(LEAVING_KEY) != Some(&text) {
            let item = SharedItem {
                key: LEAVING_KEY.to_owned(),
                version: list.revision,
                text: Arc::from(text.as_str()),
            };
            self.apply_items(vec![item]);
        }
    }

    fn publish(&mut self) {
        self.refresh_digest();
        let before = self.context.view.load();
        let mut view = TierView::build(&before, &self.context.members, &self.items, &self.tracker);
        view.draining = Arc::new(self.drains.boots());
        self.context.view.store(Arc::new(view));
        self.update_gauges();
    }

    fn refresh_digest(&mut self) {
        self.context.members.digest.items = self.items.digest();
        self.context.members.digest.item_version_sum = self.items.version_sum();
        let quarantine = self.quarantine(|table| table.digest());
        self.context.members.digest.reports = quarantine.wrapping_add(self.drains.digest());
    }

    fn quarantine<Output, Step>(&self, step: Step) -> Output
    where
        Step: FnOnce(&mut QuarantineTable) -> Output,
    {
        step(&mut lock_quarantine(&self.context.quarantine))
    }

    fn update_gauges(&self) {
        let metrics = &self.context.metrics;
        metrics.generation.set(self.tracker.generation().0 as i64);
        let counts = self.context.members.counts();
        for (state, count) in ["alive", "suspect", "leaving", "dead"].iter().zip(counts) {
            metrics
                .members
                .with_label_values(&[state])
                .set(count as i64);
        }
        let now = self.context.clock.now();
        let (suspects, quarantined) = self.quarantine(|table| table.counts(now));
        metrics
            .quarantine
            .with_label_values(&["suspect"])
            .set(suspects as i64);
        metrics
            .quarantine
            .with_label_values(&["held"])
            .set(quarantined as i64);
    }
}

/// Locks the quarantine; hold the guard only briefly.
pub fn lock_quarantine(
    quarantine: &SharedQuarantine,
) -> std::sync::MutexGuard<'_, QuarantineTable> {
    lock(quarantine)
}
