//! The holder: calls the backend servers of its groups for requests of any
//! daemon of the tier, itself included.
//!
//! A daemon acts as holder for whatever group it is asked for. Which daemon is
//! asked follows from the holder table; while members' views differ two daemons
//! may hold a group, and the backend servers' own limits then protect them.

pub mod pool;
pub mod port;
pub mod protocol;
pub mod shard_call;
pub mod watch;

use crate::clock::DaemonClock;
use crate::control::view::SharedView;
use crate::control::{ControlHandle, ControlInput};
use crate::holder::port::ServerEndpoint;
use crate::holder::shard_call::ShardCall;
use crate::metrics::DaemonMetrics;
use crate::peer::message::{GroupRequest, NotSentReason, ShardReply, ShardResult};
use crate::sync::lock;
use crate::task::TaskSpawner;
use camphorway_model::{BackendServer, GroupId, InstanceName, PerRank, RequestRank, ServerName};
use camphorway_policy::{CrashReport, RepeatBudgets, ServerState, WaitReport};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Calls backend servers on behalf of the tier.
#[derive(Debug)]
pub struct GroupHolder {
    view: Arc<SharedView>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    metrics: Arc<DaemonMetrics>,
    control: ControlHandle,
    ports: Mutex<HashMap<ServerName, Arc<ServerEndpoint>>>,
    budgets: Mutex<RepeatBudgets>,
}

/// What a shard call shares with its holder.
#[derive(Clone, Debug)]
pub struct ShardTask {
    /// The group request.
    pub request: Arc<GroupRequest>,
    /// When the answer is worthless.
    pub deadline: Instant,
    /// Cancelled when nobody waits for the answer.
    pub cancel: CancellationToken,
}

impl GroupHolder {
    /// A holder without ports; they are opened as calls come.
    pub fn new(
        view: Arc<SharedView>,
        clock: DaemonClock,
        spawner: TaskSpawner,
        metrics: Arc<DaemonMetrics>,
        control: ControlHandle,
    ) -> Self {
        Self {
            view,
            clock,
            spawner,
            metrics,
            control,
            ports: Mutex::default(),
            budgets: Mutex::default(),
        }
    }

    /// Starts the calls of `request`; each shard's reply goes to `replies`.
    ///
    /// The channel closes after the last reply.
    pub fn start(
        self: &Arc<Self>,
        request: GroupRequest,
        replies: &async_channel::Sender<ShardReply>,
        cancel: &CancellationToken,
    ) {
        let view = self.view.load();
        self.budgets()
            .earn(&view.config.rules.policy, request.shards.len());
        let task = ShardTask {
            deadline: self.clock.now() + request.time_left,
            request: Arc::new(request),
            cancel: cancel.clone(),
        };
        for ask in task.request.shards.clone() {
            let holder = Arc::clone(self);
            let task = task.clone();
            let replies = replies.clone();
            self.spawner.spawn(async move {
                let servers = holder.replicas(&task.request.group, &ask.instance);
                let (request, snapshot) = (task.request.request, task.request.snapshot);
                let call = ShardCall::new(holder, task, ask.shard, servers);
                let result = call.run().await;
                let reply = ShardReply {
                    request,
                    shard: ask.shard,
                    snapshot,
                    result,
                };
                // Nobody waits any longer if this fails.
                let _ = replies.send(reply).await;
            });
        }
    }

    /// The ports of an instance's replicas within a group.
    fn replicas(&self, group: &GroupId, instance: &InstanceName) -> Vec<Arc<ServerEndpoint>> {
        let view = self.view.load();
        let Some(group) = view.groups.groups.get(group) else {
            return Vec::new();
        };
        let servers = group.servers.get(instance).map_or(&[][..], Vec::as_slice);
        servers.iter().map(|server| self.port(server)).collect()
    }

    /// The port of a backend server, opened if need be.
    pub fn port(&self, server: &BackendServer) -> Arc<ServerEndpoint> {
        let view = self.view.load();
        let mut ports = lock(&self.ports);
        if let Some(port) = ports.get(&server.name)
            && port.server() == server
        {
            port.refresh(&view);
            return Arc::clone(port);
        }
        let port = Arc::new(ServerEndpoint::new(
            server,
            &view,
            &self.clock,
            &self.spawner,
        ));
        ports.insert(server.name.clone(), Arc::clone(&port));
        port
    }

    /// Closes the ports of servers that the inventory no longer has.
    pub fn sweep_ports(&self) {
        let view = self.view.load();
        let servers = &view.config.inventory.servers;
        lock(&self.ports).retain(|name, _| servers.contains_key(name));
    }

    /// All open ports.
    pub fn endpoints(&self) -> Vec<Arc<ServerEndpoint>> {
        lock(&self.ports).values().map(Arc::clone).collect()
    }

    /// The longest wait for a slot among a group's instances, for each rank.
    pub fn waits(&self, group: &GroupId) -> WaitReport {
        let mut report = WaitReport {
            waits: PerRank::default(),
            service_time: Duration::ZERO,
        };
        let view = self.view.load();
        let Some(group) = view.groups.groups.get(group) else {
            return report;
        };
        let ports = lock(&self.ports);
        for replicas in group.servers.values() {
            let open = || {
                let known = replicas.iter().filter_map(|server| ports.get(&server.name));
                known.filter(|port| port.state() == ServerState::Open)
            };
            for rank in RequestRank::ALL {
                let shortest = open().map(|port| port.expected_wait(rank)).min();
                report.waits[rank] = shortest.unwrap_or_default().max(report.waits[rank]);
            }
            let fastest = open().map(|port| port.service_time()).min();
            report.service_time = fastest.unwrap_or_default().max(report.service_time);
        }
        report
    }

    /// Budgets for calls beyond the first.
    pub fn budgets(&self) -> MutexGuard<'_, RepeatBudgets> {
        lock(&self.budgets)
    }

    /// The daemon's clock.
    pub fn clock(&self) -> &DaemonClock {
        &self.clock
    }

    /// The daemon's metrics.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.metrics
    }

    /// Runs detached work.
    pub fn spawner(&self) -> &TaskSpawner {
        &self.spawner
    }

    /// Tells the quarantine of a crash.
    pub fn report_crash(&self, report: CrashReport) {
        self.control.offer(ControlInput::Crash(report, None));
    }

    /// Tells the other daemons that a server is draining.
    pub fn report_draining(&self, port: &ServerEndpoint) {
        if let Some(report) = port.drain_report() {
            self.control.offer(ControlInput::Draining(report));
        }
    }

    /// A result for a shard that no replica could be asked for.
    pub fn unavailable() -> ShardResult {
        ShardResult::NotSent(NotSentReason::Unavailable)
    }
}
