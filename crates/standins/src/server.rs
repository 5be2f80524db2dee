//! Stand-in for backend servers: many in one process, each with its own port,
//! slots, connection limit, delays and faults.

use crate::http::{
    StandinExecutor, UnfinishedBody, json_response, serve_connection, text_response,
};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use camphorway_model::{BackendServer, MergeKind};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// A body that contains this text crashes the server that runs it.
pub const CRASH_TEXT: &str = "crash-the-server";
/// Like [`CRASH_TEXT`], in the middle of its reply.
pub const CRASH_IN_REPLY_TEXT: &str = "crash-in-the-reply";
/// The time after the port in which such a server's connections close.
const CLOSE_DELAY: Duration = Duration::from_millis(3);
/// Time between a crash and the restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Calls after a restart that find a cold cache.
const COLD_CALL_COUNT: u32 = 20;
const COLD_SLOWDOWN: u32 = 3;
const DRAINING_REASON: &str = "draining";

/// A server's behaviour, which can change while it runs.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is an independent fault"
)]
#[derive(Clone, Debug, Serialize)]
pub struct ServerSwitches {
    /// Median duration of a call.
    pub delay: Duration,
    /// Fraction of calls that take `straggler_factor` times as long.
    pub stragglers: f64,
    /// Factor on the duration of stragglers.
    pub straggler_factor: f64,
    /// Factor on the duration of all calls.
    pub slow_factor: f64,
    /// Time to set up a new connection.
    pub connect_cost: Duration,
    /// Refuses all calls as if overloaded.
    pub shed: bool,
    /// Reports draining in `/status` and refuses calls.
    pub draining: bool,
    /// While draining, does not report it in `/status`.
    pub hide_status: bool,
    /// While draining, still runs calls.
    pub status_only: bool,
    /// Answers no request.
    pub frozen: bool,
    /// Names another shard in its replies.
    pub crossed: bool,
    /// Ends replies before their stated length.
    pub truncated: bool,
    /// Closes the connection once a call has run.
    pub cut_after_run: bool,
    /// The status of refusals.
    #[serde(skip)]
    pub refusal_status: StatusCode,
    /// The held snapshots, ascending.
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
            refusal_status: StatusCode::SERVICE_UNAVAILABLE,
            snapshots: vec![1],
        }
    }
}

/// The outcome of a call at the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// Ran to its end.
    Ran,
    /// Refused before it ran.
    Refused,
    /// Began to run and did not reach its end: still running, cancelled, past its
    /// deadline or interrupted by a crash.
    Abandoned,
    /// Never recorded: a crash leaves its running calls [`Self::Abandoned`].
    Crashed,
}

/// A call that a server received.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallRecord {
    /// Position among all calls of the process.
    pub order: u64,
    /// Arrival time, in milliseconds since the stand-in started.
    pub at_ms: u64,
    /// The server's name.
    pub server: String,
    /// The id of the caller's request.
    pub request: String,
    /// The shard's number.
    pub shard: String,
    /// The snapshot's number.
    pub snapshot: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// The outcome.
    pub end: CallOutcome,
}

/// Records shared by all servers of a process.
#[derive(Debug, Default)]
pub struct ServerRecords {
    /// Calls in order of arrival.
    pub calls: Vec<CallRecord>,
    /// Calls refused because all slots were taken.
    pub over_slots: u64,
    /// Connections closed because of the limit.
    pub over_connections: u64,
    /// All accepted connections.
    pub connections: u64,
    /// Crashes of servers.
    pub crashes: u64,
    /// Calls that began to run.
    pub runs: u64,
}

/// A backend server.
#[derive(Debug)]
pub struct StandinServer {
    /// The server as the inventory declares it.
    pub server: BackendServer,
    merge: MergeKind,
    started_at: Instant,
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
    process_end: CancellationToken,
    random: fastrand::Rng,
}

/// The slot of a running call, freed on drop.
struct SlotGuard<'server> {
    server: &'server StandinServer,
    call: String,
    index: usize,
    process_end: CancellationToken,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        // A crash has reset the slots already.
        if !self.process_end.is_cancelled() {
            state.running = state.running.saturating_sub(1);
            state.calls.remove(&self.call);
        }
    }
}

impl StandinServer {
    /// Creates a server that is not listening yet.
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
            process_end: CancellationToken::new(),
            random: fastrand::Rng::with_seed(seed),
        };
        Arc::new(Self {
            server: server.clone(),
            merge,
            started_at: Instant::now(),
            state: Mutex::new(state),
            records: Arc::clone(records),
            executor: Arc::clone(executor),
        })
    }

    /// Changes the switches.
    pub fn update_switches<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut ServerSwitches),
    {
        change(&mut self.lock().switches);
    }

    /// Simulates a crash: closes the port and all connections, and restarts a little
    /// later with a cold cache.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.process_end.cancel();
        state.boot += 1;
        state.running = 0;
        state.connections = 0;
        state.calls.clear();
        state.cold_calls = COLD_CALL_COUNT;
        drop(state);
        self.records().crashes += 1;
    }

    /// Listens, and listens again after each crash.
    ///
    /// # Errors
    /// Returns the system's error if the port can't be bound at the start.
    pub async fn run(self: Arc<Self>) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(self.server.address).await?;
        loop {
            let process_end = self.lock().process_end.clone();
            self.accept(&listener, &process_end).await;
            drop(listener);
            Timer::after(RESTART_DELAY).await;
            self.lock().process_end = CancellationToken::new();
            listener = loop {
                match TcpListener::bind(self.server.address).await {
                    Ok(listener) => break listener,
                    Err(_) => Timer::after(Duration::from_millis(10)).await,
                };
            };
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, process_end: &CancellationToken) {
        loop {
            let accepted = async { listener.accept().await.ok() };
            let ended = async {
                process_end.cancelled().await;
                None
            };
            let Some((stream, _)) = ended.or(accepted).await else {
                if process_end.is_cancelled() {
                    return;
                }
                continue;
            };
            let server = Arc::clone(self);
            let process_end = process_end.clone();
            self.executor
                .spawn(async move {
                    let ended = async {
                        process_end.cancelled().await;
                        Timer::after(CLOSE_DELAY).await;
                    };
                    server.serve_stream(stream, &process_end).or(ended).await;
                })
                .detach();
        }
    }

    async fn serve_stream(self: &Arc<Self>, stream: TcpStream, process_end: &CancellationToken) {
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
            self.clone().handle_request(request, process_end.clone())
        })
        .await;
        let mut state = self.lock();
        if !process_end.is_cancelled() {
            state.connections -= 1;
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        process_end: CancellationToken,
    ) -> Option<Response<Full<Bytes>>> {
        let path = request.uri().path().to_owned();
        if self.lock().switches.frozen {
            return None;
        }
        match path.as_str() {
            "/status" => Some(self.status_response()),
            "/cancel" => {
                let call = header(request.headers(), "camphorway-call");
                if let Some(token) = self.lock().calls.get(&call) {
                    token.cancel();
                }
                Some(text_response(StatusCode::OK, String::new()))
            }
            "/call" => self.handle_call(request, process_end).await,
            _ => Some(text_response(StatusCode::NOT_FOUND, String::new())),
        }
    }

    fn status_response(&self) -> Response<Full<Bytes>> {
        let state = self.lock();
        let draining = state.switches.draining && !state.switches.hide_status;
        let body = json!({ "draining": draining, "snapshots": state.switches.snapshots });
        let mut response = json_response(StatusCode::OK, &body);
        response
            .headers_mut()
            .insert("camphorway-boot", HeaderValue::from(state.boot));
        response
    }

    async fn handle_call(
        self: Arc<Self>,
        request: Request<Incoming>,
        process_end: CancellationToken,
    ) -> Option<Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let index = self.record_call(&head.headers);
        if let Some(reason) = self.refusal_reason(&head.headers) {
            return Some(self.refusal_response(&head.headers, reason));
        }
        let (token, delay) = self.occupy_slot(&head.headers, index);
        let guard = SlotGuard {
            server: &self,
            call: header(&head.headers, "camphorway-call"),
            index,
            process_end,
        };
        if contains_text(&body, CRASH_TEXT) {
            Timer::after(Duration::from_millis(1)).await;
            self.crash();
            return None;
        }
        if contains_text(&body, CRASH_IN_REPLY_TEXT) {
            self.crash();
            let mut response = self.success_response(&head.headers, &ServerSwitches::default());
            let length = HeaderValue::from(1_000_u64);
            response.headers_mut().insert(CONTENT_LENGTH, length);
            response.extensions_mut().insert(UnfinishedBody);
            return Some(response);
        }
        let deadline = header_number(&head.headers, "camphorway-deadline-ms").unwrap_or(u64::MAX);
        let work = async {
            Timer::after(delay).await;
            None
        };
        let cancelled = async {
            token.cancelled().await;
            Some("cancelled")
        };
        let deadline_passed = async {
            Timer::after(Duration::from_millis(deadline.min(86_400_000))).await;
            Some("deadline")
        };
        let abandoned = work.or(cancelled).or(deadline_passed).await;
        if let Some(reason) = abandoned {
            return Some(self.refusal_response(&head.headers, reason));
        }
        self.record_outcome(guard.index, CallOutcome::Ran);
        drop(guard);
        let switches = self.lock().switches.clone();
        if switches.cut_after_run {
            return Some(incomplete_response());
        }
        Some(self.success_response(&head.headers, &switches))
    }

    fn refusal_reason(&self, headers: &HeaderMap) -> Option<&'static str> {
        let state = self.lock();
        let snapshot = header_number(headers, "camphorway-snapshot").unwrap_or_default();
        if state.switches.draining && !state.switches.status_only {
            return Some(DRAINING_REASON);
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

    fn occupy_slot(&self, headers: &HeaderMap, index: usize) -> (CancellationToken, Duration) {
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

    fn refusal_response(&self, headers: &HeaderMap, reason: &'static str) -> Response<Full<Bytes>> {
        let switches = self.lock().switches.clone();
        let mut response = text_response(switches.refusal_status, String::new());
        let held_snapshots = switches.snapshots;
        let target = response.headers_mut();
        target.insert("camphorway-reason", HeaderValue::from_static(reason));
        if let (Some(oldest), Some(newest)) = (held_snapshots.first(), held_snapshots.last()) {
            target.insert("camphorway-oldest-snapshot", HeaderValue::from(*oldest));
            target.insert("camphorway-newest-snapshot", HeaderValue::from(*newest));
        }
        self.copy_call_headers(headers, target, false);
        response
    }

    fn success_response(
        &self,
        headers: &HeaderMap,
        switches: &ServerSwitches,
    ) -> Response<Full<Bytes>> {
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
        self.copy_call_headers(headers, response.headers_mut(), switches.crossed);
        if switches.truncated {
            // hyper closes the connection if the body is shorter than stated.
            response
                .headers_mut()
                .insert("content-length", HeaderValue::from(length + 100));
        }
        response
    }

    fn copy_call_headers(&self, from: &HeaderMap, to: &mut HeaderMap, crossed: bool) {
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
            let shard = header_number(from, "camphorway-shard").unwrap_or_default() + 1;
            to.insert("camphorway-shard", HeaderValue::from(shard));
        }
        to.insert("camphorway-boot", HeaderValue::from(self.lock().boot));
    }

    fn record_call(&self, headers: &HeaderMap) -> usize {
        let mut records = self.records();
        let record = CallRecord {
            order: records.calls.len() as u64,
            at_ms: self.started_at.elapsed().as_millis() as u64,
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

    fn record_outcome(&self, index: usize, outcome: CallOutcome) {
        self.records().calls[index].end = outcome;
    }

    fn records(&self) -> MutexGuard<'_, ServerRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    /// Draws the next call's duration: within a fifth of the median, times the
    /// switches' factors.
    fn next_delay(&mut self) -> Duration {
        let jitter = 0.8 + self.random.f64() * 0.4;
        let mut factor = jitter * self.switches.slow_factor;
        if self.random.f64() < self.switches.stragglers {
            factor *= self.switches.straggler_factor;
        }
        let mut delay = self.switches.delay.mul_f64(factor);
        if self.cold_calls > 0 {
            self.cold_calls -= 1;
            delay *= COLD_SLOWDOWN;
        }
        delay
    }
}

fn contains_text(body: &[u8], text: &str) -> bool {
    body.windows(text.len())
        .any(|window| window == text.as_bytes())
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name).parse().ok()
}

/// Creates a reply without its stated body, which ends the connection.
fn incomplete_response() -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, String::new());
    response
        .headers_mut()
        .insert("content-length", HeaderValue::from(10_u64));
    response
}
