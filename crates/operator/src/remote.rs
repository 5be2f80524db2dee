//! Access to the platform's store and the daemons' admin addresses.

use crate::error::OperatorError;
use bytes::Bytes;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::http_client::{connect, is_final_status};
use camphorway_daemon::http_port::read_body;
use camphorway_daemon::metrics::DaemonMetrics;
use camphorway_daemon::settings::StoreSettings;
use camphorway_daemon::store::client::StoreClient;
use camphorway_daemon::task::TaskSpawner;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_STATE_BYTES: usize = 64 * 1_048_576;
const CALLS_PER_SECOND: f64 = 200.0;

/// Opens connections to the store and to daemons.
#[derive(Clone, Debug)]
pub struct RemoteAccess {
    spawner: TaskSpawner,
    clock: DaemonClock,
}

impl RemoteAccess {
    /// Starts the thread that drives the connections; it ends with the process.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start() -> Result<Self, OperatorError> {
        let (spawner, _) = TaskSpawner::start(1, &CancellationToken::new())
            .map_err(|cause| OperatorError::Start(cause.to_string()))?;
        Ok(Self {
            spawner,
            clock: DaemonClock::Real,
        })
    }

    /// Returns the clock.
    pub fn clock(&self) -> &DaemonClock {
        &self.clock
    }

    /// Returns the spawner of the connections' tasks.
    pub fn spawner(&self) -> &TaskSpawner {
        &self.spawner
    }

    /// Creates a client of the store.
    ///
    /// # Errors
    /// Returns an error if the token file can't be read.
    pub fn store(
        &self,
        address: SocketAddr,
        token_file: Option<PathBuf>,
    ) -> Result<StoreClient, OperatorError> {
        let settings = StoreSettings {
            address,
            token_file,
            calls_per_second: CALLS_PER_SECOND,
        };
        let metrics = Arc::new(DaemonMetrics::new());
        StoreClient::new(&settings, &self.clock, &self.spawner, &metrics)
            .map_err(OperatorError::Store)
    }

    /// Reads a JSON document from a daemon.
    ///
    /// # Errors
    /// Returns an error if the daemon does not answer in time, without a final status, or
    /// not in JSON.
    pub async fn read_json(&self, daemon: SocketAddr, path: &str) -> Result<Value, OperatorError> {
        let failed = |cause: String| OperatorError::Daemon(daemon, cause);
        let exchange = async {
            let mut sender = connect(daemon, &self.spawner)
                .await
                .map_err(|cause| failed(cause.to_string()))?;
            let request = Request::builder()
                .uri(path)
                .header(HOST, "daemon")
                .body(Full::new(Bytes::new()))
                .map_err(|cause| failed(cause.to_string()))?;
            let response = sender
                .send(request, MAX_STATE_BYTES)
                .await
                .map_err(|cause| failed(cause.to_string()))?;
            let status = response.status();
            if !is_final_status(status) {
                return Err(failed(format!("status {status} is no answer")));
            }
            let body = read_body(response.into_body(), MAX_STATE_BYTES, DAEMON_TIMEOUT)
                .await
                .map_err(|cause| failed(cause.to_string()))?;
            serde_json::from_slice(&body).map_err(|cause| failed(cause.to_string()))
        };
        let answer = self.clock.timeout(DAEMON_TIMEOUT, exchange).await;
        answer.unwrap_or_else(|| Err(failed("timeout".to_owned())))
    }
}
