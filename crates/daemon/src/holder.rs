//! The holder: calls the backend servers of its groups for requests from any
//! daemon of the tier, including its own.
//!
//! A daemon acts as holder for any group that it receives requests for. Entries
//! select the holder by the holder table; while members' views differ, two daemons
//! may hold a group, and the backend servers' own limits then protect them.

pub mod endpoint;
pub mod pool;
pub mod protocol;
pub mod shard_call;
pub mod watch;

use crate::body_memory::BodyMemory;
use crate::clock::DaemonClock;
use crate::control::view::SharedView;
use crate::control::{ControlHandle, ControlInput};
use crate::holder::endpoint::ServerEndpoint;
use crate::holder::shard_call::ShardCall;
use crate::metrics::DaemonMetrics;
use crate::peer::message::{GroupRequest, ShardReply, ShardResult, UnsentCause};
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
    endpoints: Mutex<HashMap<ServerName, Arc<ServerEndpoint>>>,
    budgets: Mutex<RepeatBudgets>,
    /// Limits the memory of replies.
    memory: BodyMemory,
}

/// The state that the shard calls of one group request share.
#[derive(Clone, Debug)]
pub struct ShardTask {
    /// The group request.
    pub request: Arc<GroupRequest>,
    /// The deadline; a later answer is useless.
    pub deadline: Instant,
    /// Cancelled when no one waits for the answer.
    pub cancel: CancellationToken,
}

impl GroupHolder {
    /// Creates a holder without endpoints, which are created on demand.
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
            endpoints: Mutex::default(),
            budgets: Mutex::default(),
            memory: BodyMemory::default(),
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
        for query in task.request.shards.clone() {
            let holder = Arc::clone(self);
            let task = task.clone();
            let replies = replies.clone();
            self.spawner.spawn(async move {
                let servers = holder.replicas(&task.request.group, &query.instance);
                let (request, snapshot) = (task.request.request, task.request.snapshot);
                let call = ShardCall::new(holder, task, query.shard, servers);
                let result = call.run().await;
                let reply = ShardReply {
                    request,
                    shard: query.shard,
                    snapshot,
                    result,
                };
                // Fails only if no one waits any more.
                let _ = replies.send(reply).await;
            });
        }
    }

    /// The endpoints of an instance's replicas within a group.
    fn replicas(&self, group: &GroupId, instance: &InstanceName) -> Vec<Arc<ServerEndpoint>> {
        let view = self.view.load();
        let Some(group) = view.groups.groups.get(group) else {
            return Vec::new();
        };
        let servers = group.servers.get(instance).map_or(&[][..], Vec::as_slice);
        servers.iter().map(|server| self.endpoint(server)).collect()
    }

    /// The endpoint of a backend server, created on demand.
    pub fn endpoint(&self, server: &BackendServer) -> Arc<ServerEndpoint> {
        let view = self.view.load();
        let mut endpoints = lock(&self.endpoints);
        if let Some(endpoint) = endpoints.get(&server.name)
            && endpoint.server() == server
        {
            endpoint.refresh(&view);
            return Arc::clone(endpoint);
        }
        let endpoint = Arc::new(ServerEndpoint::new(
            server,
            &view,
            &self.clock,
            &self.spawner,
        ));
        endpoints.insert(server.name.clone(), Arc::clone(&endpoint));
        endpoint
    }

    /// Removes the endpoints of servers that the inventory no longer has.
    pub fn remove_stale_endpoints(&self) {
        let view = self.view.load();
        let servers = &view.config.inventory.servers;
        lock(&self.endpoints).retain(|name, _| servers.contains_key(name));
    }

    /// All endpoints.
    pub fn endpoints(&self) -> Vec<Arc<ServerEndpoint>> {
        lock(&self.endpoints).values().map(Arc::clone).collect()
    }

    /// The longest wait for a slot, by rank, and the longest service time of a group's
    /// instances. An instance counts with its best replica.
    pub fn waits(&self, group: &GroupId) -> WaitReport {
        let mut report = WaitReport {
            waits: PerRank::default(),
            service_time: Duration::ZERO,
        };
        let view = self.view.load();
        let Some(group) = view.groups.groups.get(group) else {
            return report;
        };
        let endpoints = lock(&self.endpoints);
        for replicas in group.servers.values() {
            let open = || {
                let existing = replicas
                    .iter()
                    .filter_map(|server| endpoints.get(&server.name));
                existing.filter(|endpoint| endpoint.state() == ServerState::Open)
            };
            for rank in RequestRank::ALL {
                let shortest = open().map(|endpoint| endpoint.expected_wait(rank)).min();
                report.waits[rank] = shortest.unwrap_or_default().max(report.waits[rank]);
            }
            let fastest = open().map(|endpoint| endpoint.service_time()).min();
            report.service_time = fastest.unwrap_or_default().max(report.service_time);
        }
        report
    }

    /// Locks the budgets for hedged and retried calls.
    pub fn budgets(&self) -> MutexGuard<'_, RepeatBudgets> {
        lock(&self.budgets)
    }

    /// The daemon's clock.
    pub fn clock(&self) -> &DaemonClock {
        &self.clock
    }

    /// The memory of replies.
    pub fn memory(&self) -> &BodyMemory {
        &self.memory
    }

    /// The daemon's metrics.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.metrics
    }

    /// The spawner of detached tasks.
    pub fn spawner(&self) -> &TaskSpawner {
        &self.spawner
    }

    /// Reports a crash to the quarantine.
    pub fn report_crash(&self, report: CrashReport) {
        self.control.try_send(ControlInput::Crash(report, None));
    }

    /// Reports to the other daemons that a server is draining.
    pub fn report_draining(&self, endpoint: &ServerEndpoint) {
        if let Some(report) = endpoint.drain_report() {
            self.control.try_send(ControlInput::Draining(report));
        }
    }

    /// The result of a shard without a usable replica.
    pub fn unavailable() -> ShardResult {
        ShardResult::Unsent(UnsentCause::Unavailable)
    }
}
