//! Opens connections to backend servers before callers need them.
//!
//! A server that is this front's first choice of its service gets a few connections
//! in its lifetime this way, until it is called. Later ones are opened by calls.

use crate::servers::server_endpoint::ServerEndpoint;
use crate::servers::server_limit::SharingFronts;
use crate::servers::service_endpoints::ServiceEndpoints;
use crate::servers::view::{FrontView, SharedView};
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::http_client::connect;
use camphorway_daemon::task::TaskSpawner;
use camphorway_policy::warm_up::{self, WarmCandidate};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The time between two looks at the servers.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Fronts that start together begin at times spread over this.
const START_SPREAD: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two connections, which leaves the processor to requests.
const CONNECT_PAUSE: Duration = Duration::from_millis(3);

/// Opens connections in advance.
#[derive(Debug)]
pub struct ConnectionWarmer {
    /// The current servers.
    pub view: Arc<SharedView>,
    /// The fronts that share the servers' limits.
    pub fronts: SharingFronts,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Runs the connections.
    pub spawner: TaskSpawner,
    /// Cancelled when the front stops.
    pub stop: CancellationToken,
}

impl ConnectionWarmer {
    /// Opens connections until stopped.
    pub async fn run(self) {
        self.clock
            .sleep(START_SPREAD.mul_f64(fastrand::f64()))
            .await;
        while !self.stop.is_cancelled() {
            let view = self.view.load();
            if view.is_ready() {
                self.warm(&view).await;
            }
            drop(view);
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    async fn warm(&self, view: &FrontView) {
        for service in view.services.keys() {
            if self.stop.is_cancelled() {
                return;
            }
            // Servers may have become unwanted since the connection before.
            let current = self.view.load();
            let endpoints = current.services.get(service);
            let endpoint = endpoints.and_then(|endpoints| self.first_choice(endpoints));
            let Some(endpoint) = endpoint else {
                continue;
            };
            if endpoint.begin_warm_up() {
                self.connect(endpoint).await;
                self.clock.sleep(CONNECT_PAUSE).await;
            }
        }
    }

    /// This front's first choice, if the server's limit has room for the fronts that
    /// may have made the same one.
    fn first_choice<'endpoints>(
        &self,
        endpoints: &'endpoints ServiceEndpoints,
    ) -> Option<&'endpoints Arc<ServerEndpoint>> {
        let callable: Vec<_> = endpoints.callable().collect();
        let candidates: Vec<_> = callable
            .iter()
            .map(|endpoint| WarmCandidate {
                server: endpoint.name(),
                distance: endpoint.distance(),
            })
            .collect();
        let index = warm_up::first_choice(&self.fronts.own, &candidates)?;
        let endpoint = callable[index];
        let limit = endpoint.server_max_connections()?;
        let sharing = self.fronts.count_sharing(endpoint.record());
        warm_up::is_within_limit(limit, sharing).then_some(endpoint)
    }

    async fn connect(&self, endpoint: &ServerEndpoint) {
        let connecting = connect(endpoint.record().address, &self.spawner);
        if let Some(Ok(sender)) = self.clock.timeout(CONNECT_TIMEOUT, connecting).await {
            endpoint.put_idle(sender, None);
        }
    }
}
