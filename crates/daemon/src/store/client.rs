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
use crate::store::version;
use crate::sync::lock;
use crate::task::TaskSpawner;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The platform answers a watch after 25 s at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_OBJECT_BYTES: usize = 2 * 1_048_576;
const MAX_IDLE_CONNECTIONS: usize = 8;
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(20);
const VERSION_HEADER: &str = "version";
const ERA_HEADER: &str = "store-era";
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
    /// The newest history that an answer was of; 0 before the first.
    era: AtomicU64,
    /// The time at which the last call that was answered was sent.
    answered_at: Mutex<Option<Instant>>,
}

#[derive(Debug)]
struct CallBudget {
    tokens: f64,
    at: Instant,
}

struct StoreReply {
    status: StatusCode,
    /// The history that the answer is of.
    era: u64,
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
            era: AtomicU64::new(0),
            answered_at: Mutex::default(),
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

    /// The newest history of the store that an answer was of; 0 if none named one.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Whether a call of the last `time` was answered, so that [`StoreClient::era`] was the
    /// store's history at some moment since.
    pub fn has_answered_within(&self, time: Duration) -> bool {
        let elapsed = |at| self.clock.now().saturating_duration_since(at);
        lock(&self.answered_at).is_some_and(|at| elapsed(at) <= time)
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
    /// object. A version of a history that the store has lost is a conflict.
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
        if expected.is_some_and(|version| version::era_of(version) < self.era()) {
            return Ok(WriteResult::Conflict);
        }
        let body = Bytes::copy_from_slice(text.as_bytes());
        let request = self.request(
            Method::PUT,
            &format!("/objects/{key}"),
            Some(expected.map_or(0, version::number_of)),
            body,
        );
        let reply = self
            .call("put", key, purpose, CALL_TIMEOUT, request)
            .await?;
        match (reply.status, reply.version) {
            // The number was given out again: what was replaced is not what was read.
            (StatusCode::OK, Some(_))
                if expected.is_some_and(|version| version::era_of(version) < reply.era) =>
            {
                Ok(WriteResult::Conflict)
            }
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
        let (objects, era): (Vec<_>, u64) =
            self.read_json("list", &path, purpose, CALL_TIMEOUT).await?;
        Ok(qualified(readable(&objects, &path), era))
    }

    /// Waits for a change after `revision` to an object under `prefix`; 0 reads all.
    ///
    /// # Errors
    /// Returns an error if the store did not answer, or has lost the revision's history.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<WatchReply, StoreError> {
        let after = version::number_of(revision);
        let path = format!("/watch?prefix={prefix}&after={after}");
        let purpose = StorePurpose::Configuration;
        let (reply, era): (WatchDocument, u64) = self
            .read_json("watch", &path, purpose, WATCH_TIMEOUT)
            .await?;
        if revision != 0 && version::era_of(revision) != era {
            let cause = format!("the revision is not of era {era}");
            return Err(failed("watch", &path, cause));
        }
        Ok(WatchReply {
            revision: version::qualify(era, reply.revision),
            changes: qualified(readable(&reply.changes, &path), era),
        })
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// Returns an error if the platform did not answer.
    pub async fn vms(&self) -> Result<VmList, StoreError> {
        let path = "/vms";
        let (list, era): (VmDocument, u64) = self
            .read_json("vms", path, StorePurpose::Status, CALL_TIMEOUT)
            .await?;
        Ok(VmList {
            revision: version::qualify(era, list.revision),
            vms: readable(&list.vms, path),
        })
    }

    /// Reads a document, and the history that it is of.
    async fn read_json<Value>(
        &self,
        step: &'static str,
        path: &str,
        purpose: StorePurpose,
        timeout: Duration,
    ) -> Result<(Value, u64), StoreError>
    where
        Value: DeserializeOwned,
    {
        let request = self.request(Method::GET, path, None, Bytes::new());
        let reply = self.call(step, path, purpose, timeout, request).await?;
        if reply.status != StatusCode::OK {
            return Err(failed(step, path, format!("status {}", reply.status)));
        }
        let document = read_document(&reply.body);
        let document = document.map_err(|cause| failed(step, path, cause.to_string()))?;
        Ok((document, reply.era))
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
        let sent_at = self.clock.now();
        let connected = self.idle.take(&self.spawner).await;
        let mut sender = connected.map_err(|cause| cause.to_string())?;
        let response = sender
            .send(request, MAX_OBJECT_BYTES)
            .await
            .map_err(|cause| cause.to_string())?;
        let status = response.status();
        let number = |name| -> Option<u64> {
            let value = response.headers().get(name)?;
            value.to_str().ok()?.trim().parse().ok()
        };
        // An answer that names no history is of the newest.
        let era = number(ERA_HEADER).unwrap_or_else(|| self.era());
        let version = number(VERSION_HEADER).map(|version| version::qualify(era, version));
        let before = self.era.fetch_max(era, Ordering::Relaxed);
        if before < era {
            event!(Info, "store-era", era = era, before = before);
        }
        self.record_answer(sent_at);
        let body = read_body(response.into_body(), MAX_OBJECT_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|cause| cause.to_string())?;
        self.idle.put(sender);
        Ok(StoreReply {
            status,
            era,
            version,
            body,
        })
    }

    fn record_answer(&self, sent_at: Instant) {
        let mut answered_at = lock(&self.answered_at);
        *answered_at = answered_at.max(Some(sent_at));
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

/// Objects with the versions of the history `era`.
fn qualified(mut objects: Vec<ListedObject>, era: u64) -> Vec<ListedObject> {
    for object in &mut objects {
        object.version = version::qualify(era, object.version);
    }
    objects
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
