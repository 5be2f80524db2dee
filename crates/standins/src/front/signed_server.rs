//! Stand-in for a backend server that signs its answers and injects faults.

use crate::front::http_message::{HttpMessage, response_bytes};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// A request whose target contains this text crashes each server that runs it.
pub const POISON: &str = "poison";
/// Like [`POISON`], in the middle of the head of its answer.
pub const POISON_IN_HEAD: &str = "crash-in-head";
/// Like [`POISON`], in the middle of the body of its answer.
pub const POISON_IN_BODY: &str = "crash-in-body";
/// Like [`POISON_IN_BODY`], of an answer that has no length.
pub const POISON_IN_UNFRAMED: &str = "crash-in-unframed";

/// Bytes without end are sent for this time at most.
const MAX_ENDLESS: Duration = Duration::from_secs(20);
const ENDLESS_PAUSE: Duration = Duration::from_millis(1);

/// The fault that a server injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerFault {
    /// Requests run and are answered.
    #[default]
    None,
    /// Requests are refused with 503 and `not-executed`.
    Reject,
    /// Requests run and are answered with 500.
    Fail,
    /// Requests run and get no answer.
    Hang,
    /// Requests run, then the connection is reset.
    LoseAnswer,
    /// The connection closes before the end of the body.
    Truncate,
    /// The answer carries another request's id.
    MismatchedAnswer,
    /// The answer is sent twice.
    ExtraAnswer,
    /// A rejection that names no request arrives before the answer.
    StrayRejection,
    /// A misdirection that names no request arrives before the answer.
    StrayMisdirection,
    /// The answer has no length and ends with the connection.
    Unframed,
    /// The answer has no length, and the connection is reset in its middle.
    UnframedReset,
    /// The answer has no signature.
    Unsigned,
    /// The answer's status line has this in place of a status.
    Status(&'static str),
    /// The connection closes in the middle of the answer's head.
    TruncateHead,
    /// Header lines without end follow the status line.
    EndlessHead,
    /// Interim answers without end come in place of one.
    EndlessInterim,
    /// The answer has no length and its body does not end.
    EndlessBody,
    /// Bytes without end follow a complete answer.
    EndlessExtra,
    /// The answer names a time for which the idle connection stays open that no clock
    /// can hold.
    HugeIdleTimeout,
    /// The server terminates at the first request that it runs.
    Crash,
}

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct ServerArrival {
    /// The request's id.
    pub request: String,
    /// The method, path and query.
    pub target: String,
    /// The time of arrival.
    pub arrived_at: Instant,
    /// Whether the server ran it.
    pub ran: bool,
    /// Milliseconds until the sender's deadline.
    pub time_left_ms: Option<u64>,
    /// The workspace that the sender names; empty if none.
    pub workspace: String,
    /// The caller's credentials; empty if none.
    pub credentials: String,
}

/// A backend server.
#[derive(Debug)]
pub struct SignedServer {
    /// The server's name.
    pub name: String,
    /// The server's address.
    pub address: SocketAddr,
    state: Mutex<ServerState>,
    next_signature: AtomicU64,
    incarnation: AtomicU64,
    is_terminated: AtomicBool,
}

#[derive(Debug)]
struct ServerState {
    fault: ServerFault,
    service_time: Duration,
    /// Requests that may run at once; further ones are rejected.
    slots: usize,
    running: usize,
    records: Vec<[u8; 16]>,
    /// Requests a second from all callers that the server's answers name.
    rate_limit: Option<f64>,
    /// Whether all answers say that the server leaves.
    is_leaving: bool,
    /// The value of `Retry-After` in rejections.
    retry_after: Option<&'static str>,
    arrivals: Vec<ServerArrival>,
    /// Weak, so that a connection closes when its thread drops it.
    connections: Vec<Weak<TcpStream>>,
}

impl SignedServer {
    /// Starts a server on a free port of loopback.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn start(name: &str, records: Vec<[u8; 16]>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: Mutex::new(ServerState {
                fault: ServerFault::None,
                service_time: Duration::from_millis(2),
                slots: usize::MAX,
                running: 0,
                records,
                rate_limit: None,
                is_leaving: false,
                retry_after: None,
                arrivals: Vec::new(),
                connections: Vec::new(),
            }),
            next_signature: AtomicU64::new(1),
            incarnation: AtomicU64::new(1),
            is_terminated: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.is_terminated.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&acceptor);
                thread::spawn(move || {
                    // The caller closed the connection.
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// Whether the server has terminated.
    pub fn is_terminated(&self) -> bool {
        self.is_terminated.load(Ordering::Relaxed)
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: ServerFault) {
        self.lock().fault = fault;
    }

    /// Sets how long a request runs.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Sets how many requests may run at once; further ones are rejected.
    pub fn set_slots(&self, slots: usize) {
        self.lock().slots = slots;
    }

    /// Sets the records of all answers from now on.
    pub fn set_records(&self, records: Vec<[u8; 16]>) {
        self.lock().records = records;
    }

    /// Names a limit in all answers from now on, or none.
    pub fn set_rate_limit(&self, rate_limit: Option<f64>) {
        self.lock().rate_limit = rate_limit;
    }

    /// Says in all answers from now on that the server leaves.
    pub fn set_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Becomes a new process under the same name, once it is registered again.
    pub fn begin_incarnation(&self) {
        self.lock().is_leaving = false;
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of the process, which increases.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Sets the value of `Retry-After` in rejections from now on.
    pub fn set_retry_after(&self, retry_after: Option<&'static str>) {
        self.lock().retry_after = retry_after;
    }

    /// All requests received so far.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        self.lock().arrivals.clone()
    }

    /// Terminates the server: closes the port and all connections.
    pub fn terminate(&self) {
        self.is_terminated.store(true, Ordering::Relaxed);
        for stream in self
            .lock()
            .connections
            .drain(..)
            .filter_map(|stream| stream.upgrade())
        {
            // The connection may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The first connection wakes the accepting thread, which drops the listener.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.lock().connections.push(Arc::downgrade(&stream));
        // Accepted before the server terminated, which no longer sees this connection.
        if self.is_terminated() {
            return Ok(());
        }
        let mut stream = stream.as_ref();
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpMessage::read(&mut reader)? {
            let target_instance = request.header("target-instance");
            if !target_instance.is_empty() && target_instance != self.name {
                self.record_arrival(&request, false);
                let headers = [
                    ("instance-id", self.name.as_str()),
                    ("request-id", request.header("request-id")),
                ];
                stream.write_all(&response_bytes(421, &headers, b""))?;
                continue;
            }
            if !self.respond(&request, stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn record_arrival(&self, request: &HttpMessage, ran: bool) {
        let words: Vec<&str> = request.start_line.split(' ').take(2).collect();
        self.lock().arrivals.push(ServerArrival {
            request: request.header("request-id").to_owned(),
            target: words.join(" "),
            arrived_at: Instant::now(),
            ran,
            time_left_ms: request.header("deadline-ms").parse().ok(),
            workspace: request.header("tenant").to_owned(),
            credentials: request.header("authorization").to_owned(),
        });
    }

    /// Takes a slot, if one is free.
    fn begin_run(&self) -> Option<RunningRequest<'_>> {
        let mut state = self.lock();
        if state.running >= state.slots {
            return None;
        }
        state.running += 1;
        Some(RunningRequest(self))
    }

    /// Handles a request; false if the connection ends.
    fn respond(&self, request: &HttpMessage, mut stream: &TcpStream) -> io::Result<bool> {
        let running = self.begin_run();
        let state = self.lock();
        let (fault, service_time, body) = (state.fault, state.service_time, state.records.concat());
        let rate_limit = state.rate_limit.map(|rate| rate.to_string());
        let (is_leaving, retry_after) = (state.is_leaving, state.retry_after);
        drop(state);
        let limit = rate_limit
            .iter()
            .map(|rate| ("server-limit", rate.as_str()));
        let leaving = is_leaving.then_some(("server-leaving", "1"));
        let signals = limit.chain(leaving);
        if fault == ServerFault::Reject || running.is_none() {
            self.record_arrival(request, false);
            let mut headers = vec![
                ("not-executed", "1"),
                ("request-id", request.header("request-id")),
            ];
            headers.extend(signals);
            headers.extend(retry_after.map(|seconds| ("retry-after", seconds)));
            stream.write_all(&response_bytes(503, &headers, b""))?;
            return Ok(true);
        }
        self.record_arrival(request, true);
        let stray: &[u8] = match fault {
            ServerFault::StrayRejection => &response_bytes(503, &[("not-executed", "1")], b""),
            ServerFault::StrayMisdirection => &response_bytes(421, &[], b""),
            _ => b"",
        };
        stream.write_all(stray)?;
        if fault == ServerFault::Crash || request.second_word().contains(POISON) {
            self.terminate();
            return Ok(false);
        }
        thread::sleep(service_time);
        drop(running);
        let id = request.header("request-id").to_owned();
        let signature = format!(
            "{}.{}",
            self.name,
            self.next_signature.fetch_add(1, Ordering::Relaxed)
        );
        let mut headers = vec![("request-id", id.as_str()), ("server-stamp", &signature)];
        headers.extend(signals);
        let answer = SignedAnswer {
            id: &id,
            signature: &signature,
            full: response_bytes(200, &headers, &body),
            unframed_head: format!(
                "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nserver-stamp: {signature}\r\n\r\n"
            ),
            headers,
            body: &body,
        };
        if let Some(start) = answer.crash_start(request.second_word()) {
            stream.write_all(start)?;
            self.terminate();
            return Ok(false);
        }
        answer.write(fault, stream)
    }
}

/// A request that has a slot until dropped.
struct RunningRequest<'server>(&'server SignedServer);

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// An answer, and its parts for faults that change it.
struct SignedAnswer<'text> {
    id: &'text str,
    signature: &'text str,
    headers: Vec<(&'text str, &'text str)>,
    body: &'text [u8],
    full: Vec<u8>,
    unframed_head: String,
}

impl SignedAnswer<'_> {
    /// What a server sends of its answer to `target` before it crashes; `None` if it does
    /// not crash.
    fn crash_start(&self, target: &str) -> Option<&[u8]> {
        if target.contains(POISON_IN_HEAD) {
            return Some(&self.full[..20]);
        }
        if target.contains(POISON_IN_BODY) {
            return Some(&self.full[..self.full.len() - 8]);
        }
        let is_unframed = target.contains(POISON_IN_UNFRAMED);
        is_unframed.then_some(self.unframed_head.as_bytes())
    }

    /// Writes the answer as `fault` has it; false if the connection ends.
    fn write(&self, fault: ServerFault, mut stream: &TcpStream) -> io::Result<bool> {
        match fault {
            ServerFault::Hang => thread::sleep(Duration::from_secs(60)),
            ServerFault::Fail => stream.write_all(&response_bytes(500, &self.headers, b"fault"))?,
            ServerFault::LoseAnswer => {
                reset_on_close(stream);
                return Ok(false);
            }
            ServerFault::Truncate => {
                stream.write_all(&self.full[..self.full.len() - 8])?;
                return Ok(false);
            }
            ServerFault::MismatchedAnswer => {
                let mismatched_headers =
                    [("request-id", "another"), ("server-stamp", self.signature)];
                stream.write_all(&response_bytes(200, &mismatched_headers, self.body))?;
            }
            ServerFault::ExtraAnswer => {
                stream.write_all(&self.full)?;
                thread::sleep(Duration::from_millis(20));
                stream.write_all(&self.full)?;
            }
            ServerFault::Unframed | ServerFault::UnframedReset => {
                let ends_cleanly = fault == ServerFault::Unframed;
                return write_unframed(
                    stream,
                    self.unframed_head.as_bytes(),
                    self.body,
                    ends_cleanly,
                );
            }
            ServerFault::TruncateHead => {
                let head = self.unframed_head.as_bytes();
                stream.write_all(&head[..head.len() - 6])?;
                return Ok(false);
            }
            ServerFault::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 X\r\n")?;
                return write_without_end(stream, b"x-more: 0123456789012345678901234567890\r\n");
            }
            ServerFault::EndlessInterim => {
                return write_without_end(stream, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            ServerFault::EndlessBody => {
                stream.write_all(self.unframed_head.as_bytes())?;
                // Slowly, so that many bodies grow at the same time.
                return write_without_end_paced(stream, &[b'x'; 16_384], ENDLESS_PAUSE);
            }
            ServerFault::EndlessExtra => {
                stream.write_all(&self.full)?;
                return write_without_end(stream, &[b'x'; 4_096]);
            }
            ServerFault::HugeIdleTimeout => {
                let timeout = format!("timeout={}", u64::MAX);
                let mut headers = self.headers.clone();
                headers.push(("keep-alive", &timeout));
                stream.write_all(&response_bytes(200, &headers, self.body))?;
            }
            ServerFault::Status(status) => {
                let line = format!("HTTP/1.1 {status} X");
                let headers = self.full.iter().position(|byte| *byte == b'\r');
                stream.write_all(line.as_bytes())?;
                stream.write_all(&self.full[headers.unwrap_or_default()..])?;
            }
            ServerFault::Unsigned => {
                let unsigned_headers = [("request-id", self.id)];
                stream.write_all(&response_bytes(200, &unsigned_headers, self.body))?;
            }
            ServerFault::None
            | ServerFault::StrayRejection
            | ServerFault::StrayMisdirection
            | ServerFault::Reject
            | ServerFault::Crash => {
                stream.write_all(&self.full)?;
            }
        }
        Ok(true)
    }
}

/// Writes an answer without a length, which ends with its connection or is reset in its
/// middle.
fn write_unframed(
    mut stream: &TcpStream,
    head: &[u8],
    body: &[u8],
    ends_cleanly: bool,
) -> io::Result<bool> {
    let (first, rest) = body.split_at(body.len() / 2);
    stream.write_all(head)?;
    stream.write_all(first)?;
    if ends_cleanly {
        stream.write_all(rest)?;
        let _ = stream.shutdown(Shutdown::Both);
    } else {
        thread::sleep(Duration::from_millis(5));
        reset_on_close(stream);
    }
    Ok(false)
}

/// Repeats `bytes` until the other side closes the connection, at most for
/// [`MAX_ENDLESS`].
fn write_without_end(stream: &TcpStream, bytes: &[u8]) -> io::Result<bool> {
    write_without_end_paced(stream, bytes, Duration::ZERO)
}

fn write_without_end_paced(
    mut stream: &TcpStream,
    bytes: &[u8],
    pause: Duration,
) -> io::Result<bool> {
    let began = Instant::now();
    while began.elapsed() < MAX_ENDLESS {
        stream.write_all(bytes)?;
        thread::sleep(pause);
    }
    Ok(false)
}

/// Makes the connection send a reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // With a linger time of zero, closing sends a reset; errors are harmless.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
