//! The control thread: owns what the daemon believes about the tier, and
//! publishes it as an immutable view that traffic threads read.
//!
//! Traffic never waits for control. Whatever other threads learn arrives over
//! one bounded channel.

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

const INBOX: usize = 8_192;
const ANNOUNCE_FANOUT: usize = 3;
/// Reports of crashes and draining servers go to this many members at once, not
/// waiting for a round.
const REPORT_FANOUT: usize = 16;
/// The item that lists backend servers that are leaving.
pub const LEAVING_KEY: &str = "vms/leaving";
/// The prefix of layout objects.
pub const LAYOUT_PREFIX: &str = "config/layouts/";
/// A peer is asked again for a difference only after this time.
const PULL_PAUSE: Duration = Duration::from_millis(200);

/// The quarantine, shared with traffic threads; held for short steps only.
pub type SharedQuarantine = Arc<Mutex<QuarantineTable>>;

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlInput {
    /// A gossip message arrived.
    Gossip(GossipMessage),
    /// A peer asks for what it lacks.
    PullRequested(PullRequest, Sender<PullReply>),
    /// A peer's answer to our pull.
    PullReplied(PullReply),
    /// Objects read from the store.
    Items(Vec<SharedItem>),
    /// The VM list as read from the platform.
    Vms(VmList),
    /// A backend server crashed. The sender, if any, is dropped once the other
    /// daemons have heard, or can't be told.
    Crash(CrashReport, Option<Sender<Infallible>>),
    /// A backend server said that it is draining.
    Draining(DrainReport),
    /// An operator asks for the state.
    Dump(Sender<Value>),
    /// The daemon is stopping.
    Leave,
}

/// Reaches the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: Sender<ControlInput>,
}

impl ControlHandle {
    /// A handle and the inbox that it fills.
    pub fn new() -> (Self, Receiver<ControlInput>) {
        let (sender, inbox) = async_channel::bounded(INBOX);
        (Self { sender }, inbox)
    }

    /// Tells the control thread something, unless its inbox is full.
    pub fn offer(&self, input: ControlInput) {
        if self.sender.try_send(input).is_err() {
            event!(Warn, "control-inbox-full");
        }
    }

    /// Tells the control thread something, waiting for room.
    pub async fn send(&self, input: ControlInput) {
        // The channel closes only when the daemon ends.
        let _ = self.sender.send(input).await;
    }
}

/// What the control thread is built from.
#[derive(Debug)]
pub struct ControlParts {
    /// Membership.
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
    /// Where the inputs come from.
    pub inbox: Receiver<ControlInput>,
    /// Sends inputs to itself.
    pub handle: ControlHandle,
    /// Ends the loop.
    pub stop: CancellationToken,
}

/// The state of the control thread.
struct ControlLoop<'executor> {
    parts: ControlParts,
    executor: Rc<LocalExecutor<'executor>>,
    items: SharedItems,
    tracker: ConfigTracker,
    drains: DrainTable,
    entry_count: usize,
    pulls: HashMap<SocketAddr, Instant>,
}

/// Runs the control loop until stopped; call it on a thread of its own.
pub async fn run(parts: ControlParts, executor: Rc<LocalExecutor<'_>>) {
    let mut state = ControlLoop {
        parts,
        executor,
        items: SharedItems::default(),
        tracker: ConfigTracker::default(),
        drains: DrainTable::default(),
        entry_count: 0,
        pulls: HashMap::new(),
    };
    state.publish();
    loop {
        let now = state.parts.clock.now();
        let due = state.parts.members.next_tick(now);
        let input = async { state.parts.inbox.recv().await.ok().map(Some) };
        let tick = async {
            state.parts.clock.sleep_until(due).await;
            Some(None)
        };
        let stopped = async {
            state.parts.stop.cancelled().await;
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
        let now = self.parts.clock.now();
        if self.drains.remove_expired(now) {
            self.publish();
        }
        self.refresh_digest();
        let actions = self.parts.members.tick(now);
        self.act(actions);
        self.gauge();
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.parts.clock.now();
        match input {
            ControlInput::Gossip(message) => {
                self.refresh_digest();
                let actions = self.parts.members.receive(message, now);
                self.act(actions);
            }
            ControlInput::PullRequested(request, reply) => {
                self.learn(&request.reports);
                let answer = PullReply {
                    items: self.items.newer_than(&request.versions),
                    reports: self.reports(now),
                };
                // The peer has gone if this fails.
                let _ = reply.try_send(answer);
            }
            ControlInput::PullReplied(reply) => {
                self.learn(&reply.reports);
                self.take_items(reply.items);
            }
            ControlInput::Items(items) => self.take_items(items),
            ControlInput::Vms(list) => self.take_vms(&list),
            ControlInput::Crash(report, told) => self.take_crash(report, told),
            ControlInput::Draining(report) => self.learn_drains(&[report]),
            ControlInput::Dump(reply) => {
                let _ = reply.try_send(self.dump());
            }
            ControlInput::Leave => {
                let actions = self.parts.members.leave(now);
                self.act(actions);
            }
        }
    }

    fn act(&mut self, actions: Vec<MemberAction>) {
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
        self.parts
            .metrics
            .record_control_message("sent", bytes.len());
        let links = Arc::clone(&self.parts.links);
        self.executor
            .spawn(async move {
                if let Err(error) = links.send(address, &bytes).await {
                    event!(Debug, "gossip-not-sent", error = error);
                }
            })
            .detach();
    }

    /// Asks a peer for what its digest shows to be news.
    fn pull(&mut self, address: SocketAddr) {
        let now = self.parts.clock.now();
        let asked = self.pulls.get(&address);
        if asked.is_some_and(|at| now.saturating_duration_since(*at) < PULL_PAUSE) {
            return;
        }
        self.pulls.insert(address, now);
        let request = PullRequest {
            versions: self.items.versions(),
            reports: self.reports(now),
        };
        self.exchange(address, request, None);
    }

    /// Exchanges reports with a peer, and drops `told` when that is over.
    fn exchange(
        &self,
        address: SocketAddr,
        request: PullRequest,
        told: Option<Sender<Infallible>>,
    ) {
        let links = Arc::clone(&self.parts.links);
        let handle = self.parts.handle.clone();
        self.executor
            .spawn(async move {
                match links.pull(address, request).await {
                    Ok(reply) => handle.send(ControlInput::PullReplied(reply)).await,
                    Err(error) => event!(Debug, "pull-failed", error = error),
                }
                drop(told);
            })
            .detach();
    }

    /// All that is known of servers and contents, to be told to others.
    fn reports(&self, now: Instant) -> PeerReports {
        PeerReports {
            crashes: self.quarantine(|table| table.reports(now)),
            cleared: self.quarantine(|table| table.clear_reports(now)),
            drains: self.drains.reports(now),
        }
    }

    fn learn(&mut self, reports: &PeerReports) {
        self.learn_cleared(&reports.cleared);
        self.learn_crashes(&reports.crashes);
        self.learn_drains(&reports.drains);
    }

    fn learn_cleared(&self, reports: &[ClearReport]) {
        let now = self.parts.clock.now();
        for report in reports {
            self.quarantine(|table| table.record_clear(report, now));
        }
    }

    /// Learns of a crash from a call. Whoever waits for others to be told has
    /// them told again, since news on its way from elsewhere may be slower.
    fn take_crash(&mut self, report: CrashReport, told: Option<Sender<Infallible>>) {
        let Some(told) = told else {
            self.learn_crashes(&[report]);
            return;
        };
        self.note_crash(&report);
        let news = PeerReports {
            crashes: vec![report],
            ..PeerReports::default()
        };
        self.spread(&news, Some(&told));
    }

    /// Whether the crash is news.
    fn note_crash(&self, report: &CrashReport) -> bool {
        let now = self.parts.clock.now();
        let is_news = self.quarantine(|table| table.record_crash(report, now));
        if is_news {
            event!(
                Warn,
                "server-crash",
                server = report.server,
                content = report.content.0,
                alone = report.alone
            );
        }
        is_news
    }

    fn learn_crashes(&mut self, reports: &[CrashReport]) {
        let is_news = |report: &&CrashReport| self.note_crash(report);
        let news: Vec<CrashReport> = reports.iter().filter(is_news).cloned().collect();
        if !news.is_empty() {
            let news = PeerReports {
                crashes: news,
                ..PeerReports::default()
            };
            self.spread(&news, None);
        }
    }

    fn learn_drains(&mut self, reports: &[DrainReport]) {
        let now = self.parts.clock.now();
        let mut news = Vec::new();
        for report in reports {
            if self.drains.record(report, now) {
                event!(
                    Info,
                    "server-draining",
                    server = report.server,
                    boot = report.boot,
                    age_ms = report.age_ms
                );
                news.push(report.clone());
            }
        }
        if !news.is_empty() {
            self.publish();
            let news = PeerReports {
                drains: news,
                ..PeerReports::default()
            };
            self.spread(&news, None);
        }
    }

    /// Tells other members at once, not waiting for a round; `told` is dropped
    /// when all have answered or failed to.
    fn spread(&mut self, news: &PeerReports, told: Option<&Sender<Infallible>>) {
        self.refresh_digest();
        let own = self.parts.members.own().vm.clone();
        let others = self
            .parts
            .members
            .records()
            .filter(|peer| peer.vm != own && peer.is_serving());
        let mut peers: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(REPORT_FANOUT) {
            let request = PullRequest {
                versions: self.items.versions(),
                reports: news.clone(),
            };
            self.exchange(peer, request, told.cloned());
        }
    }

    /// Takes over items that are newer, and the configuration they make up.
    fn take_items(&mut self, items: Vec<SharedItem>) {
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
        self.forget_old_parts();
        self.publish();
        let now = self.parts.clock.now();
        let actions = self.parts.members.announce(ANNOUNCE_FANOUT, now);
        self.act(actions);
    }

    /// Forgets parts that neither the head in force nor the newest one names.
    /// A peer that is behind offers its old ones again and again.
    fn forget_old_parts(&mut self) {
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

    /// Takes the VM list: daemons to try, and backend servers that are leaving.
    fn take_vms(&mut self, list: &VmList) {
        let entries: Vec<_> = list
            .vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Entry)
            .collect();
        // A list that suddenly lacks most of the fleet is taken to be at fault.
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
        self.parts.members.add_candidates(addresses);
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
            self.take_items(vec![item]);
        }
    }

    fn publish(&mut self) {
        self.refresh_digest();
        let before = self.parts.view.load();
        let mut view = TierView::build(&before, &self.parts.members, &self.items, &self.tracker);
        view.draining = Arc::new(self.drains.boots());
        self.parts.view.store(Arc::new(view));
        self.gauge();
    }

    fn refresh_digest(&mut self) {
        self.parts.members.digest.items = self.items.digest();
        self.parts.members.digest.item_version_sum = self.items.version_sum();
        let quarantine = self.quarantine(|table| table.digest());
        self.parts.members.digest.reports = quarantine.wrapping_add(self.drains.digest());
    }

    fn quarantine<Output, Step>(&self, step: Step) -> Output
    where
        Step: FnOnce(&mut QuarantineTable) -> Output,
    {
        step(&mut lock_quarantine(&self.parts.quarantine))
    }

    fn gauge(&self) {
        let metrics = &self.parts.metrics;
        metrics.generation.set(self.tracker.generation().0 as i64);
        let counts = self.parts.members.counts();
        for (state, count) in ["alive", "suspect", "leaving", "dead"].iter().zip(counts) {
            metrics
                .members
                .with_label_values(&[state])
                .set(count as i64);
        }
        let (suspects, held) = self.quarantine(|table| table.counts());
        metrics
            .quarantine
            .with_label_values(&["suspect"])
            .set(suspects as i64);
        metrics
            .quarantine
            .with_label_values(&["held"])
            .set(held as i64);
    }
}

/// Locks the quarantine; hold it for short steps only.
pub fn lock_quarantine(
    quarantine: &SharedQuarantine,
) -> std::sync::MutexGuard<'_, QuarantineTable> {
    lock(quarantine)
}
