//! Assembles a daemon, runs it, and shuts it down gracefully.

use crate::admin_port::AdminPort;
use crate::caller_port::CallerPort;
use crate::clock::DaemonClock;
use crate::connection_counts::ConnectionCounts;
use crate::connection_memory::{ConnectionMemory, PortLimits};
use crate::control::view::SharedView;
use crate::control::watch::StoreWatch;
use crate::control::{self, ControlContext, ControlHandle, ControlInput, SharedQuarantine};
use crate::entry::{EntryContext, RequestEntry};
use crate::event;
use crate::holder::{self, GroupHolder};
use crate::http_port::HttpPort;
use crate::metrics::DaemonMetrics;
use crate::peer::link::PeerLinks;
use crate::peer::serve::PeerServer;
use crate::peer::tls::{TlsError, TlsPair};
use crate::settings::DaemonSettings;
use crate::store::claims::ClaimWriter;
use crate::store::client::{StoreClient, StoreError};
use crate::task::TaskSpawner;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::block_on;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use camphorway_gossip::{MemberRecord, MemberState, MemberTable, MembershipSettings};
use derive_more::Display;
use futures_lite::{FutureExt, StreamExt};
use quinn::Connection;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for notifying peers of closed connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the last replies to be sent after the last request has ended.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Why a daemon did not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// An address can't be used.
    #[display("cannot listen for {purpose} on {address}: {cause}")]
    Listen {
        /// The purpose of the address, such as `peers`.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
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

/// The state that a daemon's components share.
struct DaemonCore {
    settings: DaemonSettings,
    clock: DaemonClock,
    metrics: Arc<DaemonMetrics>,
    spawner: TaskSpawner,
    control: ControlHandle,
    view: Arc<SharedView>,
    quarantine: SharedQuarantine,
    links: Arc<PeerLinks>,
    store: Arc<StoreClient>,
    claims: Arc<ClaimWriter>,
    is_stopping: Arc<AtomicBool>,
    stop_callers: CancellationToken,
    stop_all: CancellationToken,
}

/// The sockets of a daemon, all bound before the first request is served.
struct DaemonSockets {
    callers: TcpListener,
    admin: TcpListener,
    peers: UdpSocket,
}

/// Runs a daemon until a signal ends it.
///
/// # Errors
/// Returns why the daemon did not start; nothing was served then.
pub fn run(settings: DaemonSettings) -> Result<(), StartError> {
    let tls = TlsPair::read(&settings.tls).map_err(StartError::Tls)?;
    let sockets = DaemonSockets::bind(&settings)?;
    let stop_all = CancellationToken::new();
    let (spawner, threads) =
        TaskSpawner::start(settings.traffic_threads, &stop_all).map_err(StartError::Thread)?;
    let (sink, connections) = async_channel::unbounded();
    let links = PeerLinks::open(sockets.peers, tls, &spawner, &DaemonClock::Real, sink)
        .map_err(StartError::Thread)?;
    let (control, inbox) = ControlHandle::new();
    let core = DaemonCore::new(settings, spawner, links, control, stop_all)?;
    let holder = core.start_holder();
    let entry = core.start_callers(sockets.callers, &holder);
    core.start_admin(sockets.admin, entry);
    core.start_peers(holder, connections);
    let control_thread = core.start_control(inbox)?;
    event!(
        Info,
        "started",
        vm = core.settings.vm,
        domain = core.settings.domain,
        callers = core.settings.caller_address,
        peers = core.settings.peer_address,
        admin = core.settings.admin_address
    );
    block_on(core.run_until_signal());
    join_all(control_thread, threads);
    Ok(())
}

/// Waits until all threads have ended.
pub fn join_all(control: JoinHandle<()>, traffic: Vec<JoinHandle<()>>) {
    for thread in std::iter::once(control).chain(traffic) {
        // A thread that panicked has logged the panic; still join the others.
        let _ = thread.join();
    }
}

impl DaemonSockets {
    fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
        Ok(Self {
            peers: bind_peers(settings.peer_address)?,
            callers: listen("callers", settings.caller_address)?,
            admin: listen("operators", settings.admin_address)?,
        })
    }
}

impl DaemonCore {
    fn new(
        settings: DaemonSettings,
        spawner: TaskSpawner,
        links: PeerLinks,
        control: ControlHandle,
        stop_all: CancellationToken,
    ) -> Result<Self, StartError> {
        let clock = DaemonClock::Real;
        let metrics = Arc::new(DaemonMetrics::new());
        let store = StoreClient::new(&settings.store, &clock, &spawner, &metrics)
            .map_err(StartError::Store)?;
        let store = Arc::new(store);
        let claims = ClaimWriter::new(Arc::clone(&store), clock.clone(), spawner.clone());
        Ok(Self {
            view: SharedView::new(&settings.vm, &settings.domain),
            settings,
            clock,
            metrics,
            spawner,
            control,
            quarantine: SharedQuarantine::default(),
            links: Arc::new(links),
            store,
            claims: Arc::new(claims),
            is_stopping: Arc::default(),
            stop_callers: stop_all.child_token(),
            stop_all,
        })
    }

    fn start_holder(&self) -> Arc<GroupHolder> {
        let holder = Arc::new(GroupHolder::new(
            Arc::clone(&self.view),
            self.clock.clone(),
            self.spawner.clone(),
            Arc::clone(&self.metrics),
            self.control.clone(),
        ));
        let watch = holder::watch::run(Arc::clone(&holder), self.stop_all.clone());
        self.spawner.spawn(watch);
        holder
    }

    fn start_callers(&self, listener: TcpListener, holder: &Arc<GroupHolder>) -> Arc<RequestEntry> {
        let entry = RequestEntry::new(EntryContext {
            view: Arc::clone(&self.view),
            holder: Arc::clone(holder),
            links: Arc::clone(&self.links),
            claims: Arc::clone(&self.claims),
            quarantine: Arc::clone(&self.quarantine),
            control: self.control.clone(),
            clock: self.clock.clone(),
            metrics: Arc::clone(&self.metrics),
            spawner: self.spawner.clone(),
            limits: self.settings.limits.clone(),
        });
        let port = CallerPort::new(Arc::clone(&entry), Arc::clone(&self.view));
        let memory = self.connection_memory("callers", self.settings.limits.max_caller_bytes);
        let serving = self.http_port(listener, memory, &self.stop_callers);
        self.spawner.spawn(serving.serve(Arc::new(port)));
        entry
    }

    fn start_admin(&self, listener: TcpListener, entry: Arc<RequestEntry>) {
        let port = AdminPort {
            entry,
            view: Arc::clone(&self.view),
            control: self.control.clone(),
            is_stopping: Arc::clone(&self.is_stopping),
        };
        let memory = self.connection_memory("operators", self.settings.limits.max_operator_bytes);
        let serving = self.http_port(listener, memory, &self.stop_all);
        self.spawner.spawn(serving.serve(Arc::new(port)));
    }

    fn connection_memory(&self, port: &'static str, max_bytes: usize) -> ConnectionMemory {
        let limits = PortLimits {
            max_bytes,
            max_connections: self.settings.limits.max_connections,
        };
        let counts = ConnectionCounts::new(&self.metrics.connection_losses, port);
        ConnectionMemory::new(limits, &self.clock, counts)
    }

    fn http_port(
        &self,
        listener: TcpListener,
        memory: ConnectionMemory,
        stop: &CancellationToken,
    ) -> HttpPort {
        HttpPort {
            listener,
            spawner: self.spawner.clone(),
            limits: self.settings.limits.clone(),
            memory,
            clock: self.clock.clone(),
            stop: stop.clone(),
        }
    }

    fn start_peers(&self, holder: Arc<GroupHolder>, connections: Receiver<Connection>) {
        let peers = PeerServer {
            holder,
            links: Arc::clone(&self.links),
            control: self.control.clone(),
            clock: self.clock.clone(),
            metrics: Arc::clone(&self.metrics),
            spawner: self.spawner.clone(),
            stop: self.stop_all.clone(),
        };
        self.spawner.spawn(peers.clone().accept());
        self.spawner.spawn(peers.serve_connections(connections));
    }

    fn start_control(&self, inbox: Receiver<ControlInput>) -> Result<JoinHandle<()>, StartError> {
        let own = own_record(&self.settings, self.clock.unix_ms());
        let mut members = MemberTable::new(own, MembershipSettings::default(), fastrand::u64(..));
        members.add_candidates(self.settings.seeds.iter().copied());
        let context = ControlContext {
            members,
            view: Arc::clone(&self.view),
            links: Arc::clone(&self.links),
            quarantine: Arc::clone(&self.quarantine),
            clock: self.clock.clone(),
            metrics: Arc::clone(&self.metrics),
            inbox,
            handle: self.control.clone(),
            stop: self.stop_all.clone(),
        };
        let claims = Arc::clone(&self.claims);
        self.spawner
            .spawn(async move { claims.history().learn().await });
        let watch = StoreWatch {
            store: Arc::clone(&self.store),
            view: Arc::clone(&self.view),
            control: self.control.clone(),
            clock: self.clock.clone(),
            stop: self.stop_all.clone(),
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run_control(context, &watch))
            .map_err(StartError::Thread)
    }
}

/// Opens the socket for traffic between daemons.
///
/// # Errors
/// Returns the address and the system's error.
pub fn bind_peers(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address).map_err(|cause| StartError::Listen {
        purpose: "peers",
        address,
        cause,
    })
}

/// Listens at `address`; `purpose` names the port in an error.
///
/// # Errors
/// Returns the address and the system's error.
pub fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
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
        address: settings.advertised_address,
        // A restarted process on the same VM overrides the record of the previous one.
        incarnation: unix_ms,
        state: MemberState::Alive,
    }
}

/// Runs the control thread: the control loop and the readers of the platform's
/// store.
fn run_control(context: ControlContext, watch: &StoreWatch) {
    let executor = Rc::new(LocalExecutor::new());
    executor.spawn(watch.clone().run_configuration()).detach();
    executor.spawn(watch.clone().run_vm_list()).detach();
    executor.spawn(watch.clone().run_claim_cleanup()).detach();
    let work = control::run(context, Rc::clone(&executor));
    block_on(executor.run(work));
}

impl DaemonCore {
    /// Waits for a termination signal, then shuts down.
    async fn run_until_signal(&self) {
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
            self.clock.sleep(self.settings.limits.drain_timeout).await;
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
        let endpoint = self.links.endpoint();
        endpoint.close(0_u32.into(), b"stopped");
        // Peers that are notified don't wait for replies that this daemon won't send.
        self.clock
            .timeout(CLOSE_TIMEOUT, endpoint.wait_idle())
            .await;
        self.stop_all.cancel();
    }

    /// Notifies the balancer and the members, then waits for running work to end.
    async fn drain(&self) {
        event!(Info, "draining");
        self.is_stopping.store(true, Ordering::Relaxed);
        self.control.send(ControlInput::Leave).await;
        self.clock.sleep(self.settings.limits.balancer_lag).await;
        self.stop_callers.cancel();
        loop {
            while self.is_busy() {
                self.clock.sleep(DRAIN_CHECK_INTERVAL).await;
            }
            self.clock.sleep(REPLY_FLUSH_TIME).await;
            // A peer that was not yet notified may have sent a group request meanwhile.
            if !self.is_busy() {
                return;
            }
        }
    }

    fn is_busy(&self) -> bool {
        let requests = self.metrics.requests_running.get();
        let groups = self.metrics.groups_running.get();
        requests > 0 || groups > 0 || self.claims.waiting() > 0
    }

    /// Reloads keys and token; after an error the old ones stay in use.
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
