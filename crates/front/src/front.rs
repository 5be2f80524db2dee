//! Puts a front together, runs it, and stops it gracefully.

use crate::control::{ControlParts, FrontControl};
use crate::counted_source::CountedSource;
use crate::crash_guard::CrashGuard;
use crate::door::FrontDoor;
use crate::fan_out::{CallBudgets, CallTimes, FanOutParts};
use crate::feed::{FeedFollower, FeedParts, FeedTimes};
use crate::gauges::FrontGauges;
use crate::knowledge::FeedKnowledge;
use crate::membership::{self, OwnFront};
use crate::metrics::FrontMetrics;
use crate::peer_port::PeerPort;
use crate::ports::{FeedSource, SourceFeed, WireDialect};
use crate::readiness_port::ReadinessPort;
use crate::server_call::CallTools;
use crate::server_line::LineSettings;
use crate::settings::FrontSettings;
use crate::stall_news::{HeardNotice, StallNews, StallTeller};
use crate::view::SharedFront;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::block_on;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use camphorway_daemon::clock::DaemonClock;
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
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Hand-overs between threads cost more on a small VM than a second thread gains.
const TRAFFIC_THREADS: usize = 1;
/// After readiness fails, the balancer may send new connections for this long.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Idle connections are closed this long before the process ends, so that what
/// arrives on them until then is still answered.
const CLOSE_TIME: Duration = Duration::from_millis(1_200);
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Longest time to take the own registration back.
const DEREGISTER_TIME: Duration = Duration::from_millis(300);
/// A front that comes or goes is known within this time.
const FRONTS_BOUND: Duration = Duration::from_secs(15);
/// Time for last answers to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// A caller's connection may be idle, or a head incomplete, for this long.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// What the parts of a front share.
struct FrontCore<Wire, Source> {
    settings: FrontSettings,
    wire: Arc<Wire>,
    source: Arc<CountedSource<Source>>,
    clock: DaemonClock,
    budgets: Arc<CallBudgets>,
    metrics: Arc<FrontMetrics>,
    spawner: TaskSpawner,
    view: Arc<SharedFront>,
    is_stopping: Arc<AtomicBool>,
    stop_callers: CancellationToken,
    stop_all: CancellationToken,
    own: FrontRecord,
    pinned: Arc<PinnedKeys>,
    links: Arc<PeerLinks>,
    knowledge: Arc<FeedKnowledge>,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    news: Arc<StallNews>,
    guard: Arc<CrashGuard>,
}

/// Runs a front until a signal ends it; `make_source` builds the adapter of the
/// store, which runs its connections on the spawner it is given.
///
/// # Errors
/// Returns why it did not start; then nothing was served.
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
    let (sink, adopted) = async_channel::unbounded();
    let links = PeerLinks::open(socket, tls, &spawner, &clock, sink).map_err(StartError::Thread)?;
    let view = Arc::default();
    let (news, notices) = StallNews::new(Arc::clone(&view));
    let (guard, held_here) = CrashGuard::new(&clock, &spawner);
    let own = FrontRecord {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.peers,
        key,
    };
    let metrics = Arc::new(FrontMetrics::new());
    let restarted = settings.is_restart.then(|| clock.now());
    let core = FrontCore {
        budgets: Arc::new(CallBudgets::new(settings.budget, restarted)),
        settings,
        wire: Arc::new(wire),
        source: Arc::new(CountedSource::new(source, &metrics)),
        clock,
        metrics,
        spawner,
        is_stopping: Arc::default(),
        stop_callers: stop_all.child_token(),
        stop_all,
        own,
        pinned,
        links: Arc::new(links),
        knowledge: Arc::default(),
        members: Arc::default(),
        news: Arc::new(news),
        guard: Arc::new(guard),
        view,
    };
    core.start_peers(adopted, notices);
    core.start_callers(callers);
    core.start_readiness(readiness);
    let control = core.start_control(held_here)?;
    event!(
        Info,
        "started",
        vm = core.settings.vm,
        domain = core.settings.domain,
        callers = core.settings.callers,
        store = core.settings.store
    );
    block_on(core.wait_for_end());
    join_all(control, threads);
    Ok(())
}

impl<Wire, Source> FrontCore<Wire, Source>
where
    Wire: WireDialect,
    Source: FeedSource,
{
    fn start_callers(&self, listener: TcpListener) {
        let parts = Arc::new(FanOutParts {
            view: Arc::clone(&self.view),
            tools: CallTools {
                wire: Arc::clone(&self.wire),
                clock: self.clock.clone(),
                spawner: self.spawner.clone(),
                news: Arc::clone(&self.news),
            },
            times: Arc::new(CallTimes::default()),
            guard: Arc::clone(&self.guard),
            knowledge: Arc::clone(&self.knowledge),
            budgets: Arc::clone(&self.budgets),
            metrics: Arc::clone(&self.metrics),
            answer_margin: self.settings.answer_margin,
        });
        let door = FrontDoor::new(parts, Arc::clone(&self.is_stopping));
        self.serve(listener, &self.stop_callers, door);
    }

    fn start_readiness(&self, listener: TcpListener) {
        let port = ReadinessPort {
            wire: Arc::clone(&self.wire),
            view: Arc::clone(&self.view),
            metrics: Arc::clone(&self.metrics),
            gauges: FrontGauges {
                view: Arc::clone(&self.view),
                knowledge: Arc::clone(&self.knowledge),
                budgets: Arc::clone(&self.budgets),
                clock: self.clock.clone(),
            },
            is_stopping: Arc::clone(&self.is_stopping),
        };
        self.serve(listener, &self.stop_all, port);
    }

    fn serve<Handler>(&self, listener: TcpListener, stop: &CancellationToken, handler: Handler)
    where
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
            clock: self.clock.clone(),
            stop: stop.clone(),
        };
        self.spawner.spawn(port.serve(Arc::new(handler)));
    }

    fn start_peers(&self, adopted: Receiver<Connection>, notices: Receiver<HeardNotice>) {
        let port = PeerPort {
            knowledge: Arc::clone(&self.knowledge),
            news: Arc::clone(&self.news),
            links: Arc::clone(&self.links),
            clock: self.clock.clone(),
            spawner: self.spawner.clone(),
            stop: self.stop_all.clone(),
        };
        self.spawner.spawn(port.clone().accept());
        self.spawner.spawn(port.attend_all(adopted));
        let members = Arc::clone(&self.members);
        let route = NoticeRoute::new(&self.own, &self.settings.regions);
        let teller = StallTeller::new(notices, route, members, Arc::clone(&self.links));
        self.spawner.spawn(teller.run());
    }

    fn start_control(
        &self,
        held_here: Receiver<ContentHash>,
    ) -> Result<JoinHandle<()>, StartError> {
        let (news, inbox) = async_channel::unbounded();
        let members = Arc::clone(&self.members);
        let parts = Arc::new(FeedParts {
            source: Arc::clone(&self.source),
            links: Arc::clone(&self.links),
            members: Arc::clone(&members),
            knowledge: Arc::clone(&self.knowledge),
            news,
            clock: self.clock.clone(),
            stop: self.stop_all.clone(),
        });
        let settings = &self.settings;
        let follower = |feed, bound| FeedFollower {
            parts: Arc::clone(&parts),
            feed,
            times: FeedTimes::within(bound),
            order: FeedOrder::new(&self.own, &settings.regions),
            // After an outage servers come back one by one, and callers wait.
            can_settle: !(settings.is_restart && feed == SourceFeed::Servers),
        };
        let configuration = follower(SourceFeed::Configuration, settings.in_force);
        let servers = follower(SourceFeed::Servers, settings.leave);
        let fronts = follower(SourceFeed::Fronts, FRONTS_BOUND);
        let held_feed = follower(SourceFeed::Quarantined, FRONTS_BOUND);
        let order = FeedOrder::new(&self.own, &settings.regions);
        let (held, heard) = async_channel::unbounded();
        let own = OwnFront {
            record: self.own.clone(),
            is_restart: settings.is_restart,
        };
        let control = FrontControl::new(ControlParts {
            view: Arc::clone(&self.view),
            lines: LineSettings {
                domain: settings.domain.clone(),
                regions: Arc::new(settings.regions.clone()),
                clock: self.clock.clone(),
            },
            members,
            pinned: Arc::clone(&self.pinned),
            guard: Arc::clone(&self.guard),
            held,
            vm: settings.vm.clone(),
            own_allowance: settings.budget.allowance,
            shared_allowance: settings.shared_allowance,
            clock: self.clock.clone(),
            metrics: Arc::clone(&self.metrics),
            news: inbox,
            stop: self.stop_all.clone(),
        });
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let executor = LocalExecutor::new();
                executor.spawn(configuration.run()).detach();
                executor.spawn(servers.run()).detach();
                let told = membership::tell_held(Arc::clone(&parts), held_here);
                executor.spawn(told).detach();
                let released = membership::release_held(Arc::clone(&parts), order, heard);
                executor.spawn(released).detach();
                executor
                    .spawn(membership::run(parts, own, fronts, held_feed))
                    .detach();
                block_on(executor.run(control.run()));
            })
            .map_err(StartError::Thread)
    }

    /// Serves until a signal, then stops.
    async fn wait_for_end(&self) {
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
        let drained = async {
            self.drain().await;
            "drained"
        };
        let limit = async {
            let grace = self.settings.grace.saturating_sub(GRACE_MARGIN);
            self.clock.sleep(grace).await;
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

    /// Lets the balancer notice, serves connections that are kept, and ends
    /// when they are closed or time is short.
    async fn drain(&self) {
        event!(Info, "draining");
        self.is_stopping.store(true, Ordering::Relaxed);
        let deregistered = membership::deregister(self.source.as_ref(), &self.own);
        // A store that does not answer must not hold up the end.
        self.clock.timeout(DEREGISTER_TIME, deregistered).await;
        let closing = self
            .settings
            .grace
            .saturating_sub(GRACE_MARGIN + CLOSE_TIME);
        self.clock.sleep(closing.max(BALANCER_LAG)).await;
        self.stop_callers.cancel();
        self.clock.sleep(LAST_ANSWERS).await;
        while self.metrics.running.get() > 0 {
            self.clock.sleep(DRAIN_CHECK).await;
        }
        self.clock.sleep(LAST_ANSWERS).await;
    }
}
