//! Stand-in for the platform: an object API with versions, conditional updates
//! and watches, and a VM list that lags. It counts and rate-limits calls.
//!
//! Switches (`POST /switch?name=value`): `down` (on/off; new calls get no answer),
//! `slow-ms` (delay of each call), `lose-answers` (fraction of writes that take
//! effect without an answer), `late-writes-ms` (writes get no answer and take
//! effect after this delay), `vm-lag-ms` (time until a new VM list is visible),
//! `limit` (on/off; rate limits), `copy` (on; keeps a copy of the objects), `restore` (on;
//! comes back from that copy, under the next era).

use crate::http::{StandinExecutor, json_response, query_parameters, serve, text_response};
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const MAX_WATCH_TIME: Duration = Duration::from_secs(25);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
const WRITES_PER_SECOND: f64 = 400.0;
const READS_PER_SECOND: f64 = 2_000.0;
const MAX_OBJECT_BYTES: usize = 1_048_576;
const ERA_HEADER: &str = "store-era";
const DEFAULT_VM_LAG: Duration = Duration::from_secs(2);

/// The switches for faults.
#[derive(Clone, Debug)]
struct PlatformSwitches {
    down: bool,
    slow: Duration,
    lose_answers: f64,
    late_writes: Duration,
    vm_lag: Duration,
    limit: bool,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct VmList {
    revision: u64,
    vms: Vec<Value>,
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// The objects, the revision and the VM lists of one time.
#[derive(Clone, Debug)]
struct PlatformCopy {
    objects: BTreeMap<String, (u64, String)>,
    revision: u64,
    vm_lists: Vec<(Instant, VmList)>,
}

#[derive(Debug)]
struct PlatformState {
    objects: BTreeMap<String, (u64, String)>,
    revision: u64,
    /// Rises each time the store comes back from its copy.
    era: u64,
    /// The objects and the revision of an earlier time.
    copy: Option<PlatformCopy>,
    switches: PlatformSwitches,
    counts: BTreeMap<String, u64>,
    vm_lists: Vec<(Instant, VmList)>,
    writes: TokenBucket,
    reads: TokenBucket,
    random: fastrand::Rng,
}

/// The platform's object store and VM list.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    executor: StandinExecutor,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: Instant::now(),
        }
    }

    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Platform {
    /// Creates a platform without objects or VMs.
    pub fn new(executor: &StandinExecutor, seed: u64) -> Self {
        let switches = PlatformSwitches {
            down: false,
            slow: Duration::ZERO,
            lose_answers: 0.0,
            late_writes: Duration::ZERO,
            vm_lag: DEFAULT_VM_LAG,
            limit: true,
        };
        let state = PlatformState {
            objects: BTreeMap::new(),
            revision: 0,
            era: 1,
            copy: None,
            switches,
            counts: BTreeMap::new(),
            vm_lists: Vec::new(),
            writes: TokenBucket::new(WRITES_PER_SECOND),
            reads: TokenBucket::new(READS_PER_SECOND),
            random: fastrand::Rng::with_seed(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            executor: Arc::clone(executor),
        }
    }

    /// Serves on `listener` forever.
    pub async fn run(self, listener: TcpListener) {
        let executor = Arc::clone(&self.executor);
        let handler = move |request| {
            let platform = self.clone();
            async move { platform.answer(request).await }
        };
        serve(listener, executor, handler).await;
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers with the era; a call during which the store came back is refused.
    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let before = self.lock().era;
        let is_switch = request.uri().path() == "/switch";
        let mut response = self.handle_request(request).await?;
        let era = self.lock().era;
        if before != era && !is_switch {
            response = text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let value = HeaderValue::from(era);
        response.headers_mut().insert(ERA_HEADER, value);
        Some(response)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/switch" => return Some(self.switch(&request)),
            "/counts" => return Some(json_response(StatusCode::OK, &json!(self.lock().counts))),
            _ => {}
        }
        let (down, slow) = {
            let state = self.lock();
            (state.switches.down, state.switches.slow)
        };
        if down {
            return None;
        }
        if !slow.is_zero() {
            Timer::after(slow).await;
        }
        let is_write = request.method() == Method::PUT || request.method() == Method::DELETE;
        if path != "/vms" || !is_write {
            let name = if is_write {
                "write"
            } else {
                path.trim_start_matches('/')
                    .split('/')
                    .next()
                    .unwrap_or_default()
            };
            if !self.admit(name, is_write) {
                return Some(text_response(StatusCode::TOO_MANY_REQUESTS, String::new()));
            }
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/objects") => Some(self.list(&request)),
            (&Method::GET, "/watch") => Some(self.watch(&request).await),
            (&Method::GET, "/vms") => Some(self.read_vms()),
            (&Method::PUT, "/vms") => Some(self.write_vms(request).await),
            (&Method::GET, path) => Some(self.read(path.strip_prefix("/objects/")?)),
            (&Method::PUT, path) => {
                let key = path.strip_prefix("/objects/")?.to_owned();
                self.write(key, request).await
            }
            (&Method::DELETE, path) => Some(self.delete(path.strip_prefix("/objects/")?)),
            _ => Some(text_response(StatusCode::METHOD_NOT_ALLOWED, String::new())),
        }
    }

    fn admit(&self, name: &str, is_write: bool) -> bool {
        let mut state = self.lock();
        *state.counts.entry(name.to_owned()).or_default() += 1;
        if !state.switches.limit {
            return true;
        }
        let admitted = if is_write {
            state.writes.take_token()
        } else {
            state.reads.take_token()
        };
        if !admitted {
            *state.counts.entry("limited".to_owned()).or_default() += 1;
        }
        admitted
    }

    fn switch(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut state = self.lock();
        let millis = |text: &str| Duration::from_millis(text.parse().unwrap_or_default());
        for (name, value) in query_parameters(request) {
            let switches = &mut state.switches;
            match name.as_str() {
                "down" => switches.down = value == "on",
                "slow-ms" => switches.slow = millis(&value),
                "lose-answers" => switches.lose_answers = value.parse().unwrap_or_default(),
                "late-writes-ms" => switches.late_writes = millis(&value),
                "vm-lag-ms" => switches.vm_lag = millis(&value),
                "limit" => switches.limit = value == "on",
                "copy" => {
                    state.copy = Some(PlatformCopy {
                        objects: state.objects.clone(),
                        revision: state.revision,
                        vm_lists: state.vm_lists.clone(),
                    });
                }
                "restore" => state.restore(),
                other => {
                    let problem = format!("unknown switch {other}");
                    return text_response(StatusCode::BAD_REQUEST, problem);
                }
            }
        }
        text_response(StatusCode::OK, String::new())
    }

    fn read(&self, key: &str) -> Response<Full<Bytes>> {
        match self.lock().objects.get(key) {
            Some((version, text)) => versioned_response(*version, text.clone()),
            None => text_response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn list(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let pairs = query_parameters(request);
        let prefix = pairs.get("prefix").map_or("", String::as_str);
        json_response(StatusCode::OK, &json!(self.lock().changes_since(prefix, 0)))
    }

    async fn watch(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let pairs = query_parameters(request);
        let prefix = pairs.get("prefix").map_or("", String::as_str);
        let after: u64 = pairs
            .get("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let started_at = Instant::now();
        let era = self.lock().era;
        loop {
            {
                let state = self.lock();
                if state.era != era || after > state.revision {
                    return text_response(StatusCode::GONE, String::new());
                }
                let changes = state.changes_since(prefix, after);
                let is_expired = started_at.elapsed() >= MAX_WATCH_TIME;
                if !changes.is_empty() || after == 0 || is_expired || state.switches.down {
                    let reply = json!({ "revision": state.revision.max(1), "changes": changes });
                    if state.switches.down {
                        return text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
                    }
                    return json_response(StatusCode::OK, &reply);
                }
            }
            Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }

    async fn write(
        &self,
        key: String,
        request: Request<Incoming>,
    ) -> Option<Response<Full<Bytes>>> {
        let expected: u64 = request
            .headers()
            .get("if-version")?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let text = String::from_utf8(body.to_vec()).ok()?;
        if text.len() > MAX_OBJECT_BYTES {
            return Some(text_response(StatusCode::PAYLOAD_TOO_LARGE, String::new()));
        }
        let write_delay = self.lock().switches.late_writes;
        if !write_delay.is_zero() {
            let platform = self.clone();
            self.executor
                .spawn(async move {
                    Timer::after(write_delay).await;
                    platform.lock().put(&key, &text, expected);
                })
                .detach();
            return None;
        }
        let mut state = self.lock();
        let written = state.put(&key, &text, expected);
        let loss_fraction = state.switches.lose_answers;
        if loss_fraction > 0.0 && state.random.f64() < loss_fraction {
            return None;
        }
        Some(match written {
            Some(version) => versioned_response(version, String::new()),
            None => text_response(StatusCode::PRECONDITION_FAILED, String::new()),
        })
    }

    fn delete(&self, key: &str) -> Response<Full<Bytes>> {
        let mut state = self.lock();
        state.objects.remove(key);
        state.revision += 1;
        text_response(StatusCode::OK, String::new())
    }

    fn read_vms(&self) -> Response<Full<Bytes>> {
        let state = self.lock();
        let vm_lag = state.switches.vm_lag;
        let visible_list = state
            .vm_lists
            .iter()
            .rev()
            .find(|(listed_at, _)| listed_at.elapsed() >= vm_lag);
        let oldest_list = state.vm_lists.first();
        let list = visible_list
            .or(oldest_list)
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        json_response(StatusCode::OK, &json!(list))
    }

    async fn write_vms(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Ok(body) = request.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, String::new());
        };
        let vms: Vec<Value> = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let mut state = self.lock();
        let revision = state
            .vm_lists
            .last()
            .map_or(1, |(_, list)| list.revision + 1);
        state
            .vm_lists
            .push((Instant::now(), VmList { revision, vms }));
        text_response(StatusCode::OK, String::new())
    }
}

impl PlatformState {
    fn restore(&mut self) {
        if let Some(copy) = self.copy.clone() {
            self.objects = copy.objects;
            self.revision = copy.revision;
            self.vm_lists = copy.vm_lists;
            self.era += 1;
        }
    }

    fn changes_since(&self, prefix: &str, after: u64) -> Vec<Value> {
        let matching = self
            .objects
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && *version > after);
        matching
            .map(|(key, (version, _))| json!({ "key": key, "version": version }))
            .collect()
    }

    fn put(&mut self, key: &str, text: &str, expected: u64) -> Option<u64> {
        let current_version = self.objects.get(key).map_or(0, |(version, _)| *version);
        if current_version != expected {
            *self.counts.entry("conflict".to_owned()).or_default() += 1;
            return None;
        }
        self.revision += 1;
        self.objects
            .insert(key.to_owned(), (self.revision, text.to_owned()));
        Some(self.revision)
    }
}

fn versioned_response(version: u64, text: String) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, text);
    response
        .headers_mut()
        .insert("version", HeaderValue::from(version));
    response
}
