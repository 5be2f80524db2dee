//! A client of the platform's object API.
//!
//! Each daemon has a budget of calls per second. Claims may use all of it,
//! configuration leaves a fraction for claims, and status a fraction for both.

use crate::clock::DaemonClock;
use crate::event;
use crate::http_client::IdleConnections;
use crate::http_port::read_body;
use crate::json_entry::{RawEntry, read_document};
use crate::metrics::DaemonMetrics;
use crate::settings::StoreSettings;
pub use crate::store::object::{
    ListedObject, ListedVm, StoreError, StorePurpose, StoredObject, VmKind, VmList, VmState,
    WatchReply, WriteResult,
};
use crate::store::object::{VmDocument, WatchDocument};
use crate::sync::lock;
use crate::task::TaskSpawner;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The platform answers a watch after 25 s at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_OBJECT_BYTES: usize = 2 * 1_048_576;
const MAX_IDLE_CONNECTIONS: usize = 8;
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(20);
const VERSION_HEADER: &str = "version";
const EXPECTED_HEADER: &str = "if-version";

/// Calls the platform's store.
#[derive(Debug)]
pub struct StoreClient {
    settings: StoreSettings,
    token: Mutex<Option<String>>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    metrics: Arc<DaemonMetrics>,
    idle: IdleConnections,
    budget: Mutex<CallBudget>,
}

#[derive(Debug)]
struct CallBudget {
    tokens: f64,
    at: Instant,
}

struct StoreReply {
    status: StatusCode,
    version: Option<u64>,
    body: Bytes,
}

impl StoreClient {
    /// Creates a client of the store at the settings' address.
    ///
    /// # Errors
    /// Returns an error if the token file can't be read or doesn't hold one token.
    pub fn new(
        settings: &StoreSettings,
        clock: &DaemonClock,
        spawner: &TaskSpawner,
        metrics: &Arc<DaemonMetrics>,
    ) -> Result<Self, StoreError> {
        let client = Self {
            budget: Mutex::new(CallBudget {
                tokens: settings.calls_per_second,
                at: clock.now(),
            }),
            settings: settings.clone(),
            token: Mutex::default(),
            clock: clock.clone(),
            spawner: spawner.clone(),
            metrics: Arc::clone(metrics),
            idle: IdleConnections::new(settings.address, MAX_IDLE_CONNECTIONS),
        };
        client.reload_token()?;
        Ok(client)
    }

    /// Reads the token file again; on failure the old token stays in use.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or doesn't hold one token.
    pub fn reload_token(&self) -> Result<(), StoreError> {
        let Some(path) = &self.settings.token_file else {
            return Ok(());
        };
        let failed = |cause: String| StoreError {
            step: "read-token",
            key: path.display().to_string(),
            cause,
        };
        let text = std::fs::read_to_string(path).map_err(|cause| failed(cause.to_string()))?;
        let token = text.trim();
        if token.is_empty() || token.contains(char::is_whitespace) {
            return Err(failed("the file must contain exactly one token".to_owned()));
        }
        *lock(&self.token) = Some(token.to_owned());
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn get(
        &self,
        key: &str,
        purpose: StorePurpose,
    ) -> Result<Option<StoredObject>, StoreError> {
        let request = self.request(Method::GET, &format!("/objects/{key}"), None, Bytes::new());
        let reply = self
            .call("get", key, purpose, CALL_TIMEOUT, request)
            .await?;
        match (reply.status, reply.version) {
            (StatusCode::OK, Some(version)) => {
                // Readers check the text themselves, so that one object with bytes that
                // are no text keeps none of the others from being read.
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                Ok(Some(StoredObject { version, text }))
            }
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(failed("get", key, format!("status {status}"))),
        }
    }

    /// Writes an object if its current version is `expected`; none creates a new
    /// object.
    ///
    /// # Errors
    /// Returns an error if the store did not answer; the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        text: &str,
        expected: Option<u64>,
        purpose: StorePurpose,
    ) -> Result<WriteResult, StoreError> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        let request = self.request(
            Method::PUT,
            &format!("/objects/{key}"),
            Some(expected.unwrap_or(0)),
            body,
        );
        let reply = self
            .call("put", key, purpose, CALL_TIMEOUT, request)
            .await?;
        match (reply.status, reply.version) {
            (StatusCode::OK, Some(version)) => Ok(WriteResult::Written(version)),
            (StatusCode::PRECONDITION_FAILED, _) => Ok(WriteResult::Conflict),
            (status, _) => Err(failed("put", key, format!("status {status}"))),
        }
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn delete(&self, key: &str, purpose: StorePurpose) -> Result<(), StoreError> {
        let request = self.request(
            Method::DELETE,
            &format!("/objects/{key}"),
            None,
            Bytes::new(),
        );
        let reply = self
            .call("delete", key, purpose, CALL_TIMEOUT, request)
            .await?;
        match reply.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            status => Err(failed("delete", key, format!("status {status}"))),
        }
    }

    /// Lists the objects whose key begins with `prefix`.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn list(
        &self,
        prefix: &str,
        purpose: StorePurpose,
    ) -> Result<Vec<ListedObject>, StoreError> {
        let path = format!("/objects?prefix={prefix}");
        let objects: Vec<_> = self.read_json("list", &path, purpose, CALL_TIMEOUT).await?;
        Ok(readable(&objects, &path))
    }

    /// Waits for a change after `revision` to an object under `prefix`.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<WatchReply, StoreError> {
        let path = format!("/watch?prefix={prefix}&after={revision}");
        let purpose = StorePurpose::Configuration;
        let reply: WatchDocument = self
            .read_json("watch", &path, purpose, WATCH_TIMEOUT)
            .await?;
        Ok(WatchReply {
            revision: reply.revision,
            changes: readable(&reply.changes, &path),
        })
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// Returns an error if the platform did not answer.
    pub async fn vms(&self) -> Result<VmList, StoreError> {
        let path = "/vms";
        let list: VmDocument = self
            .read_json("vms", path, StorePurpose::Status, CALL_TIMEOUT)
            .await?;
        Ok(VmList {
            revision: list.revision,
            vms: readable(&list.vms, path),
        })
    }

    async fn read_json<Value>(
        &self,
        step: &'static str,
        path: &str,
        purpose: StorePurpose,
        timeout: Duration,
    ) -> Result<Value, StoreError>
    where
        Value: DeserializeOwned,
    {
        let request = self.request(Method::GET, path, None, Bytes::new());
        let reply = self.call(step, path, purpose, timeout, request).await?;
        if reply.status != StatusCode::OK {
            return Err(failed(step, path, format!("status {}", reply.status)));
        }
        read_document(&reply.body).map_err(|cause| failed(step, path, cause.to_string()))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, "platform");
        if let Some(token) = lock(&self.token).as_ref() {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(expected) = expected {
            builder = builder.header(EXPECTED_HEADER, expected);
        }
        builder
            .body(Full::new(body))
            .expect("paths and tokens hold no control characters")
    }

    async fn call(
        &self,
        step: &'static str,
        key: &str,
        purpose: StorePurpose,
        timeout: Duration,
        request: Request<Full<Bytes>>,
    ) -> Result<StoreReply, StoreError> {
        self.wait_for_budget(purpose).await;
        let exchange = self.exchange(request);
        let result = self
            .clock
            .timeout(timeout, exchange)
            .await
            .unwrap_or_else(|| Err("timeout".to_owned()));
        let label = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.record_store_call(&purpose.to_string(), label);
        result.map_err(|cause| failed(step, key, cause))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<StoreReply, String> {
        let connected = self.idle.take(&self.spawner).await;
        let mut sender = connected.map_err(|cause| cause.to_string())?;
        let response = sender
            .send(request, MAX_OBJECT_BYTES)
            .await
            .map_err(|cause| cause.to_string())?;
        let status = response.status();
        let version = response
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let body = read_body(response.into_body(), MAX_OBJECT_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|cause| cause.to_string())?;
        self.idle.put(sender);
        Ok(StoreReply {
            status,
            version,
            body,
        })
    }

    /// Waits until the budget allows a call of this purpose.
    async fn wait_for_budget(&self, purpose: StorePurpose) {
        loop {
            {
                let mut budget = lock(&self.budget);
                let now = self.clock.now();
                let capacity = self.settings.calls_per_second.max(1.0);
                let elapsed = now.saturating_duration_since(budget.at).as_secs_f64();
                budget.tokens = (budget.tokens + elapsed * capacity).min(capacity);
                budget.at = now;
                if budget.tokens >= 1.0 + purpose.reserve() * capacity {
                    budget.tokens -= 1.0;
                    return;
                }
                // With one call a second, the reserve would otherwise block status calls.
                if budget.tokens >= capacity {
                    budget.tokens = 0.0;
                    return;
                }
            }
            self.clock.sleep(BUDGET_POLL_INTERVAL).await;
        }
    }
}

/// The entries that can be read; the others are logged.
fn readable<Entry>(entries: &[RawEntry<Entry>], path: &str) -> Vec<Entry>
where
    Entry: DeserializeOwned,
{
    let read = |entry: &RawEntry<Entry>| match entry.read() {
        Ok(entry) => Some(entry),
        Err(cause) => {
            event!(Warn, "object-unreadable", path = path, cause = cause);
            None
        }
    };
    entries.iter().filter_map(read).collect()
}

fn failed(step: &'static str, key: &str, cause: String) -> StoreError {
    StoreError {
        step,
        key: key.to_owned(),
        cause,
    }
}
