//! Puts a daemon together, runs it, and stops it gracefully.

use crate::admin_port::AdminPort;
use crate::caller_port::CallerPort;
use crate::clock::DaemonClock;
use crate::control::view::SharedView;
use crate::control::watch::StoreWatch;
use crate::control::{self, ControlHandle, ControlInput, ControlParts};
use crate::entry::{EntryParts, RequestEntry};
use crate::event;
use crate::holder::{self, GroupHolder};
use crate::http_port::HttpPort;
use crate::metrics::DaemonMetrics;
use crate::peer::link::PeerLinks;
use crate::peer::serve::PeerServer;
use crate::peer::tls::{TlsError, TlsPair};
use crate::settings::{DaemonSettings, LimitSettings};
use crate::store::claims::ClaimKeeper;
use crate::store::client::{StoreClient, StoreError};
use crate::task::TaskSpawner;
use async_executor::LocalExecutor;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use camphorway_gossip::{MemberRecord, MemberState, MemberTable, MembershipSettings};
use derive_more::Display;
use futures_lite::future::block_on;
use futures_lite::{FutureExt, StreamExt};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Time for last replies to leave after nothing runs any more.
const LAST_REPLIES: Duration = Duration::from_millis(100);

/// Why a daemon did not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// An address can't be used.
    #[display("cannot listen for {purpose} on {address}: {cause}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// Certificates or keys can't be used.
    #[display("{_0}")]
    Tls(TlsError),
    /// The store's token can't be used.
    #[display("{_0}")]
    Store(StoreError),
    /// A thread can't be started.
    #[display("cannot start threads: {_0}")]
    Thread(std::io::Error),
}

impl std::error::Error for StartError {}

/// A daemon that runs.
struct RunningDaemon {
    settings: DaemonSettings,
    clock: DaemonClock,
    metrics: Arc<DaemonMetrics>,
    control: ControlHandle,
    links: Arc<PeerLinks>,
    store: Arc<StoreClient>,
    claims: Arc<ClaimKeeper>,
    stopping: Arc<AtomicBool>,
    stop_callers: CancellationToken,
    stop_all: CancellationToken,
}

/// Runs a daemon until a signal ends it.
///
/// # Errors
/// Returns why it did not start; then nothing was served.
pub fn run(settings: DaemonSettings) -> Result<(), StartError> {
    let clock = DaemonClock::Real;
    let stop_all = CancellationToken::new();
    let tls = TlsPair::read(&settings.tls).map_err(StartError::Tls)?;
    let callers = listen("callers", settings.caller_address)?;
    let admin = listen("operators", settings.admin_address)?;
    let socket = UdpSocket::bind(settings.peer_address).map_err(|cause| StartError::Listen {
        purpose: "peers",
        address: settings.peer_address,
        cause,
    })?;
    let (spawner, threads) =
        TaskSpawner::start(settings.traffic_threads, &stop_all).map_err(StartError::Thread)?;
    let metrics = Arc::new(DaemonMetrics::new());
    let store =
        StoreClient::new(&settings.store, &clock, &spawner, &metrics).map_err(StartError::Store)?;
    let store = Arc::new(store);
    let (sink, adopted) = async_channel::unbounded();
    let links = PeerLinks::open(socket, tls, &spawner, &clock, sink).map_err(StartError::Thread)?;
    let links = Arc::new(links);
    let view = SharedView::new(&settings.vm, &settings.domain);
    let (control, inbox) = ControlHandle::new();
    let quarantine = control::SharedQuarantine::default();
    let group_holder = GroupHolder::new(
        Arc::clone(&view),
        clock.clone(),
        spawner.clone(),
        Arc::clone(&metrics),
        control.clone(),
    );
    let group_holder = Arc::new(group_holder);
    let claims = Arc::new(ClaimKeeper::new(
        Arc::clone(&store),
        clock.clone(),
        spawner.clone(),
    ));
    let entry = RequestEntry::new(EntryParts {
        view: Arc::clone(&view),
        holder: Arc::clone(&group_holder),
        links: Arc::clone(&links),
        claims: Arc::clone(&claims),
        quarantine: Arc::clone(&quarantine),
        control: control.clone(),
        clock: clock.clone(),
        metrics: Arc::clone(&metrics),
        spawner: spawner.clone(),
        limits: settings.limits.clone(),
    });
    let stopping = Arc::new(AtomicBool::new(false));
    let stop_callers = stop_all.child_token();
    let port = |listener, stop: &CancellationToken, limits: &LimitSettings| HttpPort {
        listener,
        spawner: spawner.clone(),
        limits: limits.clone(),
        clock: clock.clone(),
        stop: stop.clone(),
    };
    let caller_port = Arc::new(CallerPort::new(Arc::clone(&entry), Arc::clone(&view)));
    spawner.spawn(port(callers, &stop_callers, &settings.limits).serve(caller_port));
    let admin_port = Arc::new(AdminPort {
        entry,
        view: Arc::clone(&view),
        control: control.clone(),
        stopping: Arc::clone(&stopping),
    });
    spawner.spawn(port(admin, &stop_all, &settings.limits).serve(admin_port));
    spawner.spawn(holder::watch::run(
        Arc::clone(&group_holder),
        stop_all.clone(),
    ));
    let peers = PeerServer {
        holder: group_holder,
        links: Arc::clone(&links),
        control: control.clone(),
        clock: clock.clone(),
        metrics: Arc::clone(&metrics),
        spawner: spawner.clone(),
        stop: stop_all.clone(),
    };
    spawner.spawn(peers.clone().accept());
    spawner.spawn(peers.attend_all(adopted));
    let mut members = MemberTable::new(
        own_record(&settings, clock.unix_ms()),
        MembershipSettings::default(),
        fastrand::u64(..),
    );
    members.add_candidates(settings.seeds.iter().copied());
    let parts = ControlParts {
        members,
        view: Arc::clone(&view),
        links: Arc::clone(&links),
        quarantine,
        clock: clock.clone(),
        metrics: Arc::clone(&metrics),
        inbox,
        handle: control.clone(),
        stop: stop_all.clone(),
    };
    let watch = StoreWatch {
        store: Arc::clone(&store),
        view,
        control: control.clone(),
        clock: clock.clone(),
        stop: stop_all.clone(),
    };
    let control_thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control(parts, &watch))
        .map_err(StartError::Thread)?;
    event!(
        Info,
        "started",
        vm = settings.vm,
        domain = settings.domain,
        callers = settings.caller_address,
        peers = settings.peer_address,
        admin = settings.admin_address
    );
    let daemon = RunningDaemon {
        settings,
        clock,
        metrics,
        control,
        links,
        store,
        claims,
        stopping,
        stop_callers,
        stop_all,
    };
    block_on(daemon.wait_for_end());
    // A thread that panicked has logged why; the others are to end all the same.
    let _ = control_thread.join();
    for thread in threads {
        let _ = thread.join();
    }
    Ok(())
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    block_on(TcpListener::bind(address)).map_err(|cause| StartError::Listen {
        purpose,
        address,
        cause,
    })
}

fn own_record(settings: &DaemonSettings, unix_ms: u64) -> MemberRecord {
    MemberRecord {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.peer_address,
        // A process that starts again on the same VM overrides what is known of the one before.
        incarnation: unix_ms,
        state: MemberState::Alive,
    }
}

/// The control thread: the loop, and what reads the platform.
fn run_control(parts: ControlParts, watch: &StoreWatch) {
    let executor = Rc::new(LocalExecutor::new());
    executor.spawn(watch.clone().run_configuration()).detach();
    executor.spawn(watch.clone().run_vms()).detach();
    executor.spawn(watch.clone().run_cleaning()).detach();
    let work = control::run(parts, Rc::clone(&executor));
    block_on(executor.run(work));
}

impl RunningDaemon {
    /// Serves until a signal, then stops.
    async fn wait_for_end(&self) {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let mut signals = match signals {
            Ok(signals) => signals,
            Err(cause) => {
                event!(Error, "signals-not-handled", cause = cause);
                std::future::pending().await
            }
        };
        while let Some(Ok(signal)) = signals.next().await {
            match signal {
                Signal::Hup => self.reload_keys(),
                _ => break,
            }
        }
        let drained = async {
            self.drain().await;
            "drained"
        };
        let second = async {
            while let Some(Ok(signal)) = signals.next().await {
                if signal != Signal::Hup {
                    break;
                }
            }
            "second signal"
        };
        let limit = async {
            self.clock.sleep(self.settings.limits.drain).await;
            "time limit"
        };
        let why = drained.or(second).or(limit).await;
        event!(
            Info,
            "stopped",
            why = why,
            cut_requests = self.metrics.requests_running.get(),
            cut_groups = self.metrics.groups_running.get(),
            cut_claims = self.claims.waiting()
        );
        self.links.endpoint().close(0_u32.into(), b"stopped");
        self.stop_all.cancel();
    }

    /// Lets the balancer and the members notice, then everything end.
    async fn drain(&self) {
        event!(Info, "draining");
        self.stopping.store(true, Ordering::Relaxed);
        self.control.send(ControlInput::Leave).await;
        self.clock.sleep(self.settings.limits.balancer_lag).await;
        self.stop_callers.cancel();
        while self.is_busy() {
            self.clock.sleep(DRAIN_CHECK).await;
        }
        self.clock.sleep(LAST_REPLIES).await;
    }

    fn is_busy(&self) -> bool {
        let requests = self.metrics.requests_running.get();
        let groups = self.metrics.groups_running.get();
        requests > 0 || groups > 0 || self.claims.waiting() > 0
    }

    /// Reads keys and token again; what is bad leaves the old in use.
    fn reload_keys(&self) {
        match TlsPair::read(&self.settings.tls) {
            Ok(tls) => {
                self.links.set_tls(tls);
                event!(Info, "keys-reloaded");
            }
            Err(error) => event!(Error, "keys-not-reloaded", error = error),
        }
        if let Err(error) = self.store.reload_token() {
            event!(Error, "token-not-reloaded", error = error);
        }
    }
}
