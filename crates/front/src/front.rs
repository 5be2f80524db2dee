//! Starts a front, runs it, and shuts it down gracefully.

use crate::caller_port::CallerPort;
use crate::callers::readiness_port::ReadinessPort;
use crate::callers::request_handler::RequestHandler;
use crate::calls::fan_out::{CallBudgets, CallTimes, FanOutContext};
use crate::calls::server_call::ServerClient;
use crate::calls::stop_state::StopState;
use crate::control::{ControlContext, FrontControl};
use crate::feeds::counted_source::CountedSource;
use crate::feeds::feed::{FeedContext, FeedFollower, FeedTimes, SettlingPoint};
use crate::feeds::feed_cache::FeedCache;
use crate::feeds::membership::{self, StartList};
use crate::feeds::newer_configuration;
use crate::feeds::registration::OwnRegistration;
use crate::gauges::FrontGauges;
use crate::messages::crash_notice::CrashNotice;
use crate::metrics::FrontMetrics;
use crate::peers::crash_notices::CrashNoticeSender;
use crate::peers::credit_queries::{CreditQueries, WaitingQuery};
use crate::peers::peer_port::PeerPort;
use crate::peers::stall_notices::{NoticeSender, PendingNotice, StallNotices};
use crate::ports::{FeedSource, SourceFeed, WireDialect};
use crate::servers::connection_warmer::ConnectionWarmer;
use crate::servers::crash_guard::CrashGuard;
use crate::servers::leaving_servers::LeavingServers;
use crate::servers::server_endpoint::EndpointSettings;
use crate::servers::server_limit::SharingFronts;
use crate::servers::view::SharedView;
use crate::settings::FrontSettings;
use crate::workspaces::key_check::KeyCheck;
use crate::workspaces::quota_desk::{DeskContext, QuotaDesk};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::block_on;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use camphorway_daemon::body_memory::BodyMemory;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::connection_counts::ConnectionCounts;
use camphorway_daemon::connection_memory::{ConnectionMemory, PortLimits};
use camphorway_daemon::daemon::{StartError, bind_peers, join_all, listen};
use camphorway_daemon::event;
use camphorway_daemon::http_port::{HttpHandler, HttpPort};
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::peer::pinned::{PinnedKeys, new_identity};
use camphorway_daemon::settings::LimitSettings;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::FrontRecord;
use camphorway_policy::{ContentHash, FeedOrder, NoticeRoute};
use futures_lite::{FutureExt, StreamExt};
use quinn::Connection;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// On a small VM, switching threads costs more than a second thread gains.
const TRAFFIC_THREADS: usize = 1;
/// The balancer may open connections for this long after readiness fails.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// The process exits this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Idle connections are closed this long before the process exits, so that
/// requests that arrive on them until then are still answered.
const CLOSE_PERIOD: Duration = Duration::from_millis(1_200);
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for removing this front's registration.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Changes of fronts arrive within this time.
const FRONTS_BOUND: Duration = Duration::from_secs(15);
/// Servers that miss three heartbeats lapse; the store may take a while to notice.
const LAPSE_HEARTBEATS: u32 = 4;
/// Quarantined content arrives through the store within this time; fronts that reach
/// each other learn it at once.
const QUARANTINE_BOUND: Duration = Duration::from_secs(10);
/// Time for the last answers to be written out.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Requests that still run this long before the process exits are answered with what
/// they have.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Timeout of a caller's idle connection, or of an incomplete request head.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// State shared by a front's ports and tasks.
struct FrontCore<Wire, Source> {
    settings: FrontSettings,
    wire: Arc<Wire>,
    source: Arc<CountedSource<Source>>,
    clock: DaemonClock,
    budgets: Arc<CallBudgets>,
    metrics: Arc<FrontMetrics>,
    spawner: TaskSpawner,
    view: Arc<SharedView>,
    stop: Arc<StopState>,
    stop_callers: CancellationToken,
    stop_all: CancellationToken,
    registration: Arc<OwnRegistration>,
    pinned: Arc<PinnedKeys>,
    links: Arc<PeerLinks>,
    feed_cache: Arc<FeedCache>,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    grantors: Arc<Mutex<Vec<FrontRecord>>>,
    stall_notices: Arc<StallNotices>,
    guard: Arc<CrashGuard>,
}

/// Runs a front until a signal stops it. `make_source` builds the client of the
/// store, which runs its connections on the spawner.
///
/// # Errors
/// Returns why the front did not start; then nothing was served.
pub fn run<Wire, Source, MakeSource>(
    settings: FrontSettings,
    wire: Wire,
    make_source: MakeSource,
) -> Result<(), StartError>
where
    Wire: WireDialect,
    Source: FeedSource,
    MakeSource: FnOnce(&FrontSettings, &DaemonClock, &TaskSpawner) -> Source,
{
    let callers = listen("callers", settings.callers)?;
    let readiness = listen("readiness", settings.readiness)?;
    let stop_all = CancellationToken::new();
    let (spawner, threads) =
        TaskSpawner::start(TRAFFIC_THREADS, &stop_all).map_err(StartError::Thread)?;
    let clock = DaemonClock::Real;
    let source = make_source(&settings, &clock, &spawner);
    let pinned = Arc::new(PinnedKeys::default());
    let (key, tls) = new_identity(&pinned).map_err(StartError::Tls)?;
    let socket = bind_peers(settings.peers)?;
    let (connection_sender, connections) = async_channel::unbounded();
    let links = PeerLinks::open(socket, tls, &spawner, &clock, connection_sender)
        .map_err(StartError::Thread)?;
    let view = Arc::default();
    let (stall_notices, notices) = StallNotices::new(Arc::clone(&view));
    let members = Arc::default();
    let (guard, guard_output) = CrashGuard::new(&settings.vm, &members, &clock, &spawner);
    let own = FrontRecord {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.peers,
        key,
    };
    let metrics = Arc::new(FrontMetrics::new());
    let registration = OwnRegistration::new(own, settings.is_restart);
    let restarted = settings.is_restart.then(|| clock.now());
    let core = FrontCore {
        budgets: Arc::new(CallBudgets::new(settings.budget, restarted)),
        settings,
        wire: Arc::new(wire),
        source: Arc::new(CountedSource::new(source, &metrics)),
        clock,
        metrics,
        spawner,
        stop: Arc::default(),
        stop_callers: stop_all.child_token(),
        stop_all,
        registration: Arc::new(registration),
        pinned,
        links: Arc::new(links),
        feed_cache: Arc::default(),
        members,
        grantors: Arc::default(),
        stall_notices: Arc::new(stall_notices),
        guard: Arc::new(guard),
        view,
    };
    let (credit_queries, waiting_queries) = CreditQueries::new();
    let quotas = core.start_quotas(waiting_queries);
    core.start_peers(connections, quotas.is_some().then_some(credit_queries));
    core.start_notices(notices, guard_output.notices);
    core.start_callers(callers, quotas.clone());
    core.start_readiness(readiness, quotas);
    let control = core.start_control(guard_output.quarantined)?;
    event!(
        Info,
        "started",
        vm = core.settings.vm,
        domain = core.settings.domain,
        callers = core.settings.callers,
        store = core.settings.store,
        grace_ms = core.settings.grace.as_millis()
    );
    block_on(core.run_until_signal());
    join_all(control, threads);
    Ok(())
}

impl<Wire, Source> FrontCore<Wire, Source>
where
    Wire: WireDialect,
    Source: FeedSource,
{
    fn start_callers(&self, listener: TcpListener, quotas: Option<Arc<QuotaDesk>>) {
        let context = Arc::new(FanOutContext {
            view: Arc::clone(&self.view),
            client: ServerClient {
                wire: Arc::clone(&self.wire),
                clock: self.clock.clone(),
                spawner: self.spawner.clone(),
                stall_notices: Arc::clone(&self.stall_notices),
                answer_memory: BodyMemory::new(self.settings.vm_limits.answer_bytes()),
            },
            times: Arc::new(CallTimes::default()),
            guard: Arc::clone(&self.guard),
            feed_cache: Arc::clone(&self.feed_cache),
            budgets: Arc::clone(&self.budgets),
            metrics: Arc::clone(&self.metrics),
            answer_margin: self.settings.answer_margin,
            stop: Arc::clone(&self.stop),
        });
        let keys = KeyCheck::new(&self.feed_cache, self.settings.quota.as_ref());
        let handler = RequestHandler::new(context, keys, quotas);
        let limits = self.settings.vm_limits.callers();
        let memory = self.connection_memory("callers", limits);
        let port = CallerPort {
            handler,
            view: Arc::clone(&self.view),
        };
        self.serve(listener, memory, &self.stop_callers, port);
    }

    fn start_readiness(&self, listener: TcpListener, quotas: Option<Arc<QuotaDesk>>) {
        let port = ReadinessPort {
            wire: Arc::clone(&self.wire),
            view: Arc::clone(&self.view),
            metrics: Arc::clone(&self.metrics),
            gauges: FrontGauges {
                view: Arc::clone(&self.view),
                feed_cache: Arc::clone(&self.feed_cache),
                budgets: Arc::clone(&self.budgets),
                guard: Arc::clone(&self.guard),
                quotas,
                clock: self.clock.clone(),
            },
            stop: Arc::clone(&self.stop),
        };
        let limits = self.settings.vm_limits.readiness();
        let memory = self.connection_memory("readiness", limits);
        self.serve(listener, memory, &self.stop_all, port);
    }

    fn connection_memory(&self, port: &'static str, limits: PortLimits) -> ConnectionMemory {
        let counts = ConnectionCounts::new(&self.metrics.connection_losses, port);
        ConnectionMemory::new(limits, &self.clock, counts)
    }

    fn serve<Handler>(
        &self,
        listener: TcpListener,
        memory: ConnectionMemory,
        stop: &CancellationToken,
        handler: Handler,
    ) where
        Handler: HttpHandler,
    {
        let limits = LimitSettings {
            read_timeout: READ_TIMEOUT,
            ..LimitSettings::default()
        };
        let port = HttpPort {
            listener,
            spawner: self.spawner.clone(),
            limits,
            memory,
            clock: self.clock.clone(),
            stop: stop.clone(),
        };
        self.spawner.spawn(port.serve(Arc::new(handler)));
    }

    /// Starts the tasks of quotas, where the settings have bounds for them.
    fn start_quotas(&self, queries: Receiver<WaitingQuery>) -> Option<Arc<QuotaDesk>> {
        let bounds = self.settings.quota.as_ref()?;
        let desk_context = DeskContext {
            own: self.settings.vm.clone(),
            members: Arc::clone(&self.grantors),
            links: Arc::clone(&self.links),
            view: Arc::clone(&self.view),
            clock: self.clock.clone(),
            spawner: self.spawner.clone(),
            metrics: Arc::clone(&self.metrics),
            stop: self.stop_all.clone(),
        };
        let desk = Arc::new(QuotaDesk::new(desk_context, bounds));
        desk.start_granting(queries);
        Some(desk)
    }

    fn start_peers(
        &self,
        connections: Receiver<Connection>,
        credit_queries: Option<CreditQueries>,
    ) {
        let port = PeerPort {
            feed_cache: Arc::clone(&self.feed_cache),
            stall_notices: Arc::clone(&self.stall_notices),
            guard: Arc::clone(&self.guard),
            credit_queries,
            links: Arc::clone(&self.links),
            clock: self.clock.clone(),
            spawner: self.spawner.clone(),
            stop: self.stop_all.clone(),
        };
        self.spawner.spawn(port.clone().accept());
        self.spawner.spawn(port.serve_connections(connections));
    }

    fn start_notices(&self, stalls: Receiver<PendingNotice>, crashes: Receiver<CrashNotice>) {
        let members = Arc::clone(&self.members);
        let links = Arc::clone(&self.links);
        let route = NoticeRoute::new(self.registration.record(), &self.settings.regions);
        let crash_sender = CrashNoticeSender {
            notices: crashes,
            route: route.clone(),
            members: Arc::clone(&members),
            links: Arc::clone(&links),
            clock: self.clock.clone(),
            spawner: self.spawner.clone(),
        };
        self.spawner.spawn(crash_sender.run());
        let stall_sender = NoticeSender::new(stalls, route, members, links);
        self.spawner.spawn(stall_sender.run());
    }

    fn start_control(
        &self,
        quarantined: Receiver<ContentHash>,
    ) -> Result<JoinHandle<()>, StartError> {
        let (update_sender, updates) = async_channel::unbounded();
        let members = Arc::clone(&self.members);
        let context = Arc::new(FeedContext {
            source: Arc::clone(&self.source),
            links: Arc::clone(&self.links),
            members: Arc::clone(&members),
            feed_cache: Arc::clone(&self.feed_cache),
            updates: update_sender,
            clock: self.clock.clone(),
            stop: self.stop_all.clone(),
        });
        let settings = &self.settings;
        let follower = |feed, bound| FeedFollower {
            context: Arc::clone(&context),
            feed,
            times: FeedTimes::within(bound),
            order: FeedOrder::new(self.registration.record(), &settings.regions),
            settling: settling_point(settings, feed),
        };
        let configuration = follower(SourceFeed::Configuration, settings.configuration_bound());
        let servers = follower(SourceFeed::Servers, settings.leave_bound);
        let fronts = follower(SourceFeed::Fronts, FRONTS_BOUND);
        let evacuations = settings
            .evacuate_bound
            .map(|bound| follower(SourceFeed::Evacuations, bound));
        let quarantine_feed = follower(SourceFeed::Quarantined, QUARANTINE_BOUND);
        let order = FeedOrder::new(self.registration.record(), &settings.regions);
        let endpoints = self.endpoint_settings();
        self.start_warmer(&endpoints);
        let (release_sender, to_release) = async_channel::unbounded();
        let (lost_sender, lost_quarantines) = async_channel::unbounded();
        let registration = Arc::clone(&self.registration);
        let control = FrontControl::new(ControlContext {
            view: Arc::clone(&self.view),
            endpoints,
            members,
            grantors: Arc::clone(&self.grantors),
            pinned: Arc::clone(&self.pinned),
            guard: Arc::clone(&self.guard),
            quarantined: release_sender,
            lost_quarantines: lost_sender,
            cold: settings.cold,
            evacuate_bound: settings.evacuate_bound,
            vm: settings.vm.clone(),
            lapse_time: settings.heartbeat * LAPSE_HEARTBEATS,
            own_allowance: settings.budget.allowance,
            shared_allowance: settings.shared_allowance,
            clock: self.clock.clone(),
            metrics: Arc::clone(&self.metrics),
            updates,
            stop: self.stop_all.clone(),
        });
        let guard = Arc::clone(&self.guard);
        let is_restart = settings.is_restart;
        let start_list = match settings.quota {
            Some(_) => StartList::Early,
            None => StartList::Followed,
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let executor = LocalExecutor::new();
                executor.spawn(configuration.run()).detach();
                executor.spawn(servers.run()).detach();
                if let Some(evacuations) = evacuations {
                    executor.spawn(evacuations.run()).detach();
                }
                if is_restart {
                    let newer = newer_configuration::run(Arc::clone(&context), order.clone());
                    executor.spawn(newer).detach();
                }
                let restore = membership::restore_quarantined(
                    Arc::clone(&context),
                    order.clone(),
                    Arc::clone(&guard),
                    lost_quarantines,
                );
                executor.spawn(restore).detach();
                let publish =
                    membership::publish_quarantined(Arc::clone(&context), guard, quarantined);
                executor.spawn(publish).detach();
                let release =
                    membership::release_quarantined(Arc::clone(&context), order, to_release);
                executor.spawn(release).detach();
                executor
                    .spawn(membership::run(
                        context,
                        registration,
                        start_list,
                        fronts,
                        quarantine_feed,
                    ))
                    .detach();
                block_on(executor.run(control.run()));
            })
            .map_err(StartError::Thread)
    }

    fn start_warmer(&self, endpoints: &EndpointSettings) {
        let warmer = ConnectionWarmer {
            view: Arc::clone(&self.view),
            fronts: endpoints.fronts.clone(),
            clock: self.clock.clone(),
            spawner: self.spawner.clone(),
            stop: self.stop_callers.clone(),
        };
        self.spawner.spawn(warmer.run());
    }

    fn endpoint_settings(&self) -> EndpointSettings {
        let settings = &self.settings;
        EndpointSettings {
            domain: settings.domain.clone(),
            fronts: SharingFronts {
                own: settings.vm.clone(),
                members: Arc::clone(&self.members),
                regions: Arc::new(settings.regions.clone()),
                lost_since: Arc::default(),
            },
            leaving: LeavingServers::default(),
            leave_bound: settings.leave_bound,
            clock: self.clock.clone(),
        }
    }

    /// Serves until a signal arrives, then drains and stops all tasks.
    async fn run_until_signal(&self) {
        let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
            Ok(signals) => signals,
            Err(cause) => {
                event!(Error, "signals-not-handled", cause = cause);
                std::future::pending().await
            }
        };
        while let Some(Ok(signal)) = signals.next().await {
            match signal {
                Signal::Hup => event!(
                    Info,
                    "settings-changed",
                    outcome = "kept until the next start"
                ),
                _ => break,
            }
        }
        let exit_at = self.clock.now() + self.settings.grace.saturating_sub(GRACE_MARGIN);
        let answer_by = exit_at.checked_sub(ANSWER_MARGIN).unwrap_or(exit_at);
        self.stop.begin(answer_by);
        let drained = async {
            self.drain().await;
            "drained"
        };
        let limit = async {
            self.clock.sleep_until(answer_by).await;
            self.stop.answer_now();
            self.clock.sleep_until(exit_at).await;
            "time limit"
        };
        let why = drained.or(limit).await;
        event!(
            Info,
            "stopped",
            why = why,
            cut_requests = self.metrics.running.get()
        );
        self.stop_all.cancel();
    }

    /// Fails readiness, serves kept connections until the balancer has noticed
    /// and the grace period nears its end, and then waits for running requests.
    async fn drain(&self) {
        event!(Info, "draining");
        let deregistered = self
            .registration
            .deregister(self.source.as_ref(), self.clock.now());
        // A store that does not answer must not delay the shutdown.
        self.clock.timeout(DEREGISTER_TIMEOUT, deregistered).await;
        let closing = self
            .settings
            .grace
            .saturating_sub(GRACE_MARGIN + CLOSE_PERIOD);
        self.clock.sleep(closing.max(BALANCER_LAG)).await;
        self.stop_callers.cancel();
        self.clock.sleep(FLUSH_DELAY).await;
        while self.metrics.running.get() > 0 {
            self.clock.sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.clock.sleep(FLUSH_DELAY).await;
    }
}

/// When the follower of a feed waits for other fronts after the start.
fn settling_point(settings: &FrontSettings, feed: SourceFeed) -> SettlingPoint {
    match (settings.is_restart, feed) {
        // Until the store has confirmed the keys, none is accepted.
        (_, SourceFeed::Configuration) if settings.refuses_unconfirmed_keys() => {
            SettlingPoint::Never
        }
        (false, _) => SettlingPoint::FirstList,
        // After an outage servers register one by one while callers wait.
        (true, SourceFeed::Servers) => SettlingPoint::Never,
        (
            true,
            SourceFeed::Configuration
            | SourceFeed::Fronts
            | SourceFeed::Quarantined
            | SourceFeed::Evacuations,
        ) => SettlingPoint::Confirmation,
    }
}
