//! Asks each backend server of the groups held here for its status.
//!
//! The status can only take a server out (it drains), or bring back one whose
//! process is new. That a server says it is well proves nothing.

use crate::control::view::TierView;
use crate::holder::GroupHolder;
use crate::holder::endpoint::ServerEndpoint;
use crate::holder::protocol;
use crate::http_port::read_body;
use camphorway_model::SnapshotId;
use camphorway_policy::choice::HeldSnapshots;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const POLL_PERIOD: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_STATUS_BYTES: usize = 16_384;

/// The body of a backend server's `/status`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerStatus {
    /// Whether the server is going away.
    pub draining: bool,
    /// The snapshots it holds, ascending.
    pub snapshots: Vec<SnapshotId>,
}

/// Watches the servers of the groups held here until stopped.
pub async fn run(holder: Arc<GroupHolder>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let view = holder.view.load();
        holder.remove_stale_endpoints();
        for endpoint in held_endpoints(&holder, &view) {
            let holder = Arc::clone(&holder);
            holder.clone().spawner().spawn(async move {
                let ask = poll_status(&holder, &endpoint);
                holder.clock().timeout(STATUS_TIMEOUT, ask).await;
            });
        }
        for endpoint in standby_endpoints(&holder, &view) {
            holder
                .spawner()
                .spawn(async move { endpoint.pool().warm().await });
        }
        drop(view);
        holder.clock().sleep(POLL_PERIOD).await;
    }
}

fn held_endpoints(holder: &GroupHolder, view: &TierView) -> Vec<Arc<ServerEndpoint>> {
    let held = view.groups_with(|seats| seats.seats.iter().any(|seat| seat.vm == view.own));
    held.flat_map(|group| group.servers.values().flatten())
        .map(|server| holder.endpoint(server))
        .collect()
}

fn standby_endpoints(holder: &GroupHolder, view: &TierView) -> Vec<Arc<ServerEndpoint>> {
    let warm = view.groups_with(|seats| seats.standbys.iter().any(|seat| seat.vm == view.own));
    warm.flat_map(|group| group.servers.values().flatten())
        .map(|server| holder.endpoint(server))
        .collect()
}

async fn poll_status(holder: &GroupHolder, endpoint: &ServerEndpoint) {
    let Ok(mut connection) = endpoint.pool().checkout().await else {
        return;
    };
    let Ok(reply) = connection
        .sender()
        .send_request(protocol::status_request())
        .await
    else {
        return;
    };
    let boot = protocol::boot_number(reply.headers());
    let Ok(body) = read_body(reply.into_body(), MAX_STATUS_BYTES, STATUS_TIMEOUT).await else {
        return;
    };
    connection.put_back();
    let Ok(status) = serde_json::from_slice::<ServerStatus>(&body) else {
        return;
    };
    endpoint.set_draining(status.draining, boot);
    if status.draining {
        holder.report_draining(endpoint);
    }
    endpoint.set_held(HeldSnapshots {
        oldest: status.snapshots.first().copied(),
        newest: status.snapshots.last().copied(),
    });
}
