//! Asks each backend server of the groups held here for its status.
//!
//! The status can only take a server out (it drains), or bring back one whose
//! process is new. That a server says it is well proves nothing.

use crate::control::view::TierView;
use crate::holder::GroupHolder;
use crate::holder::port::ServerEndpoint;
use crate::holder::protocol;
use crate::http_port::read_body;
use camphorway_model::SnapshotId;
use camphorway_policy::snapshot_choice::HeldSnapshots;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const PERIOD: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
const MOST_STATUS: usize = 16_384;

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
        holder.sweep_ports();
        for port in held_ports(&holder, &view) {
            let holder = Arc::clone(&holder);
            holder.clone().spawner().spawn(async move {
                let ask = ask_status(&holder, &port);
                holder.clock().timeout(STATUS_TIMEOUT, ask).await;
            });
        }
        for port in standby_ports(&holder, &view) {
            holder
                .spawner()
                .spawn(async move { port.pool().warm().await });
        }
        drop(view);
        holder.clock().sleep(PERIOD).await;
    }
}

fn held_ports(holder: &GroupHolder, view: &TierView) -> Vec<Arc<ServerEndpoint>> {
    let held = view.groups_with(|seats| seats.seats.iter().any(|seat| seat.vm == view.own));
    held.flat_map(|group| group.servers.values().flatten())
        .map(|server| holder.port(server))
        .collect()
}

fn standby_ports(holder: &GroupHolder, view: &TierView) -> Vec<Arc<ServerEndpoint>> {
    let warm = view.groups_with(|seats| seats.standbys.iter().any(|seat| seat.vm == view.own));
    warm.flat_map(|group| group.servers.values().flatten())
        .map(|server| holder.port(server))
        .collect()
}

async fn ask_status(holder: &GroupHolder, port: &ServerEndpoint) {
    let Ok(mut connection) = port.pool().checkout().await else {
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
    let Ok(body) = read_body(reply.into_body(), MOST_STATUS, STATUS_TIMEOUT).await else {
        return;
    };
    connection.put_back();
    let Ok(status) = serde_json::from_slice::<ServerStatus>(&body) else {
        return;
    };
    port.set_draining(status.draining, boot);
    if status.draining {
        holder.report_draining(port);
    }
    port.set_held(HeldSnapshots {
        oldest: status.snapshots.first().copied(),
        newest: status.snapshots.last().copied(),
    });
}
