//! Polls the status of each backend server in the groups that this daemon holds.
//!
//! The status can only take a draining server out of use, or bring back one whose
//! process is new. A server's report that it is healthy proves nothing.

use crate::control::view::TierView;
use crate::holder::GroupHolder;
use crate::holder::endpoint::ServerEndpoint;
use crate::holder::protocol::{self, MAX_STATUS_BYTES};
use crate::http_port::read_body;
use camphorway_model::SnapshotId;
use camphorway_policy::snapshot_choice::HeldSnapshots;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// The body of a backend server's `/status`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerStatus {
    /// Whether the server is draining.
    pub draining: bool,
    /// The snapshots that the server holds, ascending.
    pub snapshots: Vec<SnapshotId>,
}

/// Polls the servers of held groups and warms the standbys' connections, until
/// `stop` is cancelled.
pub async fn run(holder: Arc<GroupHolder>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let view = holder.view.load();
        holder.remove_stale_endpoints();
        for endpoint in held_endpoints(&holder, &view) {
            let holder = Arc::clone(&holder);
            holder.clone().spawner().spawn(async move {
                let poll = poll_status(&holder, &endpoint);
                holder.clock().timeout(STATUS_TIMEOUT, poll).await;
            });
        }
        for endpoint in standby_endpoints(&holder, &view) {
            holder
                .spawner()
                .spawn(async move { endpoint.pool().warm().await });
        }
        drop(view);
        holder.clock().sleep(POLL_INTERVAL).await;
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
        .send(protocol::status_request(), MAX_STATUS_BYTES)
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
