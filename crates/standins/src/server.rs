//! Stand-in for backend servers: many in one process, each with its own port,
//! slots, connection limit, delays and faults.

use crate::http::{StandinExecutor, json_response, serve_connection, text_response};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use camphorway_model::{BackendServer, MergeKind};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// A body that contains this text ends the process that runs it.
pub const CRASH_TEXT: &str = "crash-the-server";
const RESTART_AFTER: Duration = Duration::from_millis(300);
const COLD_CALLS: u32 = 20;
const COLD_FACTOR: u32 = 3;
const DRAIN_TEXT: &str = "draining";

/// How a server behaves; changed while it runs.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is one fault of its own"
)]
#[derive(Clone, Debug, Serialize)]
pub struct ServerSwitches {
    /// Median time of a call.
    pub delay: Duration,
    /// Part of calls that take `straggler_factor` times as long.
    pub stragglers: f64,
    /// How much longer a straggler takes.
    pub straggler_factor: f64,
    /// Every call takes this many times as long.
    pub slow_factor: f64,
    /// Cost of a new connection.
    pub connect_cost: Duration,
    /// Refuses all calls for load.
    pub shed: bool,
    /// Says that it is going away.
    pub draining: bool,
    /// Says nothing of draining in `/status`.
    pub hide_status: bool,
    /// Says that it is going away in `/status` only, and answers calls.
    pub status_only: bool,
    /// Answers nothing at all.
    pub frozen: bool,
    /// Swaps the shard in its replies.
    pub crossed: bool,
    /// Breaks off in the middle of its replies.
    pub truncated: bool,
    /// Closes the connection once a call has run.
    pub cut_after_run: bool,
    /// The snapshots held, ascending.
    pub snapshots: Vec<u64>,
}

impl Default for ServerSwitches {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(2),
            stragglers: 0.0,
            straggler_factor: 10.0,
            slow_factor: 1.0,
            connect_cost: Duration::from_millis(1),
            shed: false,
            draining: false,
            hide_status: false,
            status_only: false,
            frozen: false,
            crossed: false,
            truncated: false,
            cut_after_run: false,
            snapshots: vec![1],
        }
    }
}

/// How a call ended at the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// Ran to its end.
    Ran,
    /// Refused before it ran.
    Refused,
    /// Began to run and was cancelled or late.
    Abandoned,
    /// Began to run and the process ended.
    Crashed,
}

/// One call as a server saw it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// Order among all calls of the process.
    pub order: u64,
    /// Milliseconds since the stand-in started.
    pub at_ms: u64,
    /// The server.
    pub server: String,
    /// The caller's request.
    pub request: String,
    /// The shard.
    pub shard: String,
    /// The snapshot.
    pub snapshot: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// How it ended.
    pub end: CallOutcome,
}

/// What all servers of a process share.
#[derive(Debug, Default)]
pub struct ServerRecords {
    /// Calls in order of arrival.
    pub calls: Vec<CallRecord>,
    /// Calls that found all slots taken.
    pub over_slots: u64,
    /// Connections beyond the limit.
    pub over_connections: u64,
    /// New connections.
    pub connections: u64,
    /// Process ends.
    pub crashes: u64,
    /// Calls that began to run.
    pub runs: u64,
}

/// One backend server.
#[derive(Debug)]
pub struct StandinServer {
    /// Its line in the inventory.
    pub server: BackendServer,
    merge: MergeKind,
    began: Instant,
    state: Mutex<ServerState>,
    records: Arc<Mutex<ServerRecords>>,
    executor: StandinExecutor,
}

#[derive(Debug)]
struct ServerState {
    switches: ServerSwitches,
    boot: u64,
    running: u32,
    connections: u32,
    cold_calls: u32,
    calls: HashMap<String, CancellationToken>,
    process: CancellationToken,
    random: fastrand::Rng,
}

/// A call that holds a slot.
struct SlotGuard<'server> {
    server: &'server StandinServer,
    call: String,
    index: usize,
    process: CancellationToken,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        // A process that is gone has no slots to give back.
        if !self.process.is_cancelled() {
            state.running = state.running.saturating_sub(1);
            state.calls.remove(&self.call);
        }
    }
}

impl StandinServer {
    /// A server with `switches`, not listening yet.
    pub fn new(
        server: &BackendServer,
        merge: MergeKind,
        switches: ServerSwitches,
        records: &Arc<Mutex<ServerRecords>>,
        executor: &StandinExecutor,
        seed: u64,
    ) -> Arc<Self> {
        let state = ServerState {
            switches,
            boot: seed.wrapping_mul(1_000).wrapping_add(1) >> 16,
            running: 0,
            connections: 0,
            cold_calls: 0,
            calls: HashMap::new(),
            process: CancellationToken::new(),
            random: fastrand::Rng::with_seed(seed),
        };
        Arc::new(Self {
            server: server.clone(),
            merge,
            began: Instant::now(),
            state: Mutex::new(state),
            records: Arc::clone(records),
            executor: Arc::clone(executor),
        })
    }

    /// Changes the switches.
    pub fn set<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut ServerSwitches),
    {
        change(&mut self.lock().switches);
    }

    /// Ends the process: the port closes, connections break, a new process
    /// starts cold after a while.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.process.cancel();
        state.boot += 1;
        state.running = 0;
        state.connections = 0;
        state.calls.clear();
        state.cold_calls = COLD_CALLS;
        drop(state);
        self.records().crashes += 1;
    }

    /// Listens, and again after each crash.
    ///
    /// # Errors
    /// Returns the system's error if the port can't be had at the start.
    pub async fn run(self: Arc<Self>) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(self.server.address).await?;
        loop {
            let process = self.lock().process.clone();
            self.accept(&listener, &process).await;
            drop(listener);
            Timer::after(RESTART_AFTER).await;
            self.lock().process = CancellationToken::new();
            listener = loop {
                match TcpListener::bind(self.server.address).await {
                    Ok(listener) => break listener,
                    Err(_) => Timer::after(Duration::from_millis(10)).await,
                };
            };
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, process: &CancellationToken) {
        loop {
            let accepted = async { listener.accept().await.ok() };
            let ended = async {
                process.cancelled().await;
                None
            };
            let Some((stream, _)) = ended.or(accepted).await else {
                if process.is_cancelled() {
                    return;
                }
                continue;
            };
            let server = Arc::clone(self);
            let process = process.clone();
            self.executor
                .spawn(async move {
                    let ended = process.cancelled();
                    server.connection(stream, &process).or(ended).await;
                })
                .detach();
        }
    }

    async fn connection(self: &Arc<Self>, stream: TcpStream, process: &CancellationToken) {
        let cost = {
            let mut state = self.lock();
            self.records().connections += 1;
            if state.connections >= self.server.connections {
                self.records().over_connections += 1;
                return;
            }
            state.connections += 1;
            state.switches.connect_cost
        };
        Timer::after(cost).await;
        serve_connection(stream, |request| {
            self.clone().handle(request, process.clone())
        })
        .await;
        let mut state = self.lock();
        if !process.is_cancelled() {
            state.connections -= 1;
        }
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        process: CancellationToken,
    ) -> Option<Response<Full<Bytes>>> {
        let path = request.uri().path().to_owned();
        if self.lock().switches.frozen {
            return None;
        }
        match path.as_str() {
            "/status" => Some(self.status()),
            "/cancel" => {
                let call = header(request.headers(), "camphorway-call");
                if let Some(token) = self.lock().calls.get(&call) {
                    token.cancel();
                }
                Some(text_response(StatusCode::OK, String::new()))
            }
            "/call" => self.call(request, process).await,
            _ => Some(text_response(StatusCode::NOT_FOUND, String::new())),
        }
    }

    fn status(&self) -> Response<Full<Bytes>> {
        let state = self.lock();
        let draining = state.switches.draining && !state.switches.hide_status;
        let body = json!({ "draining": draining, "snapshots": state.switches.snapshots });
        let mut response = json_response(StatusCode::OK, &body);
        response
            .headers_mut()
            .insert("camphorway-boot", HeaderValue::from(state.boot));
        response
    }

    async fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
        process: CancellationToken,
    ) -> Option<Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let index = self.record(&head.headers);
        if let Some(reason) = self.refusal(&head.headers) {
            return Some(self.refuse(&head.headers, reason));
        }
        let (token, delay) = self.take_slot(&head.headers, index);
        let running = SlotGuard {
            server: &self,
            call: header(&head.headers, "camphorway-call"),
            index,
            process,
        };
        if contains(&body, CRASH_TEXT) {
            Timer::after(Duration::from_millis(1)).await;
            self.crash();
            return None;
        }
        let deadline = number(&head.headers, "camphorway-deadline-ms").unwrap_or(u64::MAX);
        let work = async {
            Timer::after(delay).await;
            None
        };
        let cancelled = async {
            token.cancelled().await;
            Some("cancelled")
        };
        let late = async {
            Timer::after(Duration::from_millis(deadline.min(86_400_000))).await;
            Some("deadline")
        };
        let abandoned = work.or(cancelled).or(late).await;
        if let Some(reason) = abandoned {
            return Some(self.refuse(&head.headers, reason));
        }
        self.end(running.index, CallOutcome::Ran);
        drop(running);
        let switches = self.lock().switches.clone();
        if switches.cut_after_run {
            return Some(cut());
        }
        Some(self.answer(&head.headers, &switches))
    }

    fn refusal(&self, headers: &HeaderMap) -> Option<&'static str> {
        let state = self.lock();
        let snapshot = number(headers, "camphorway-snapshot").unwrap_or_default();
        if state.switches.draining && !state.switches.status_only {
            return Some(DRAIN_TEXT);
        }
        if !state.switches.snapshots.contains(&snapshot) {
            return Some("no-snapshot");
        }
        if state.running >= self.server.slots {
            self.records().over_slots += 1;
            return Some("shed");
        }
        state.switches.shed.then_some("shed")
    }

    fn take_slot(&self, headers: &HeaderMap, index: usize) -> (CancellationToken, Duration) {
        let mut state = self.lock();
        state.running += 1;
        let token = CancellationToken::new();
        state
            .calls
            .insert(header(headers, "camphorway-call"), token.clone());
        let delay = state.next_delay();
        drop(state);
        let mut records = self.records();
        records.runs += 1;
        records.calls[index].end = CallOutcome::Abandoned;
        (token, delay)
    }

    fn refuse(&self, headers: &HeaderMap, reason: &'static str) -> Response<Full<Bytes>> {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        let held = self.lock().switches.snapshots.clone();
        let target = response.headers_mut();
        target.insert("camphorway-reason", HeaderValue::from_static(reason));
        if let (Some(oldest), Some(newest)) = (held.first(), held.last()) {
            target.insert("camphorway-oldest-snapshot", HeaderValue::from(*oldest));
            target.insert("camphorway-newest-snapshot", HeaderValue::from(*newest));
        }
        self.echo(headers, target, false);
        response
    }

    fn answer(&self, headers: &HeaderMap, switches: &ServerSwitches) -> Response<Full<Bytes>> {
        let body = match self.merge {
            MergeKind::Sum => "1".to_owned(),
            MergeKind::Concat => {
                let shard = header(headers, "camphorway-shard");
                let snapshot = header(headers, "camphorway-snapshot");
                format!(
                    "{{\"server\":\"{}\",\"shard\":{shard},\"snapshot\":{snapshot}}}",
                    self.server.name
                )
            }
        };
        let length = body.len() as u64;
        let mut response = text_response(StatusCode::OK, body);
        self.echo(headers, response.headers_mut(), switches.crossed);
        if switches.truncated {
            // hyper closes the connection when the body ends before its stated length.
            response
                .headers_mut()
                .insert("content-length", HeaderValue::from(length + 100));
        }
        response
    }

    fn echo(&self, from: &HeaderMap, to: &mut HeaderMap, crossed: bool) {
        for name in [
            "camphorway-request",
            "camphorway-call",
            "camphorway-shard",
            "camphorway-snapshot",
        ] {
            if let Some(value) = from.get(name) {
                to.insert(name, value.clone());
            }
        }
        if crossed {
            let shard = number(from, "camphorway-shard").unwrap_or_default() + 1;
            to.insert("camphorway-shard", HeaderValue::from(shard));
        }
        to.insert("camphorway-boot", HeaderValue::from(self.lock().boot));
    }

    fn record(&self, headers: &HeaderMap) -> usize {
        let mut records = self.records();
        let record = CallRecord {
            order: records.calls.len() as u64,
            at_ms: self.began.elapsed().as_millis() as u64,
            server: self.server.name.to_string(),
            request: header(headers, "camphorway-request"),
            shard: header(headers, "camphorway-shard"),
            snapshot: header(headers, "camphorway-snapshot"),
            idempotent: header(headers, "camphorway-idempotent") != "no",
            end: CallOutcome::Refused,
        };
        records.calls.push(record);
        records.calls.len() - 1
    }

    fn end(&self, index: usize, end: CallOutcome) {
        self.records().calls[index].end = end;
    }

    fn records(&self) -> MutexGuard<'_, ServerRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    /// The next call's time: the median, give or take a fifth, with stragglers.
    fn next_delay(&mut self) -> Duration {
        let spread = 0.8 + self.random.f64() * 0.4;
        let mut factor = spread * self.switches.slow_factor;
        if self.random.f64() < self.switches.stragglers {
            factor *= self.switches.straggler_factor;
        }
        let mut delay = self.switches.delay.mul_f64(factor);
        if self.cold_calls > 0 {
            self.cold_calls -= 1;
            delay *= COLD_FACTOR;
        }
        delay
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    body.windows(text.len())
        .any(|window| window == text.as_bytes())
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name).parse().ok()
}

/// A reply that ends the connection: it states a body and sends none.
fn cut() -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, String::new());
    response
        .headers_mut()
        .insert("content-length", HeaderValue::from(10_u64));
    response
}
