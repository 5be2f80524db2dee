//! Clients: threads that send requests at a steady pace over kept connections.

use crate::deployment::HOST;
use crate::http::{Connection, Message};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    pub front: String,
    pub tenant: String,
    /// The status, or 0 without an answer.
    pub status: u16,
    pub body: Vec<u8>,
    pub stamp: String,
    pub ended: Instant,
    /// Whether the connection had carried a request before.
    pub is_kept: bool,
    /// Whether the connection took the whole request.
    pub is_sent: bool,
    /// Whether the wait for the answer timed out, rather than the connection ended.
    pub timed_out: bool,
}

pub type SentLog = Arc<Mutex<Vec<Sent>>>;

#[derive(Clone, Debug)]
pub struct Spec {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub tenant: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// A new request id.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Sends one request on `kept`, or on a new connection, and waits for its answer.
pub fn send_one(
    kept: &mut Option<Connection>,
    front: &str,
    address: SocketAddr,
    spec: &Spec,
) -> Sent {
    let id = new_id();
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n",
        spec.method,
        spec.path,
        spec.deadline.as_millis()
    );
    if !spec.key.is_empty() {
        head.push_str(&format!("Authorization: Bearer {}\r\n", spec.key));
    }
    if !spec.body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", spec.body.len()));
    }
    head.push_str("\r\n");
    let mut sent = Sent {
        at: Instant::now(),
        id,
        front: front.to_owned(),
        tenant: spec.tenant.clone(),
        status: 0,
        body: Vec::new(),
        stamp: String::new(),
        ended: Instant::now(),
        is_kept: kept.is_some(),
        is_sent: false,
        timed_out: false,
    };
    if kept.is_none() {
        *kept = Connection::open(address, spec.deadline).ok();
    }
    sent.at = Instant::now();
    let mut answer: Option<Message> = None;
    if let Some(connection) = kept.as_mut()
        && connection.send(&head, &spec.body).is_ok()
    {
        sent.is_sent = true;
        match connection.receive() {
            Ok(message) => answer = Some(message),
            Err(cause) => {
                let kind = cause.kind();
                sent.timed_out = matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
            }
        }
    }
    sent.ended = Instant::now();
    match answer {
        Some(answer) => {
            sent.status = answer.status();
            sent.stamp = answer.header("server-stamp").to_owned();
            if answer.header("connection").eq_ignore_ascii_case("close") {
                *kept = None;
            }
            sent.body = answer.body;
        }
        None => *kept = None,
    }
    sent
}

/// Starts a client that sends `per_s` requests a second until stopped.
pub fn start(
    front: &str,
    address: SocketAddr,
    spec: Spec,
    per_s: f64,
    log: &SentLog,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (front, log, stop) = (front.to_owned(), Arc::clone(log), Arc::clone(stop));
    thread::spawn(move || {
        let mut kept = None;
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let sent = send_one(&mut kept, &front, address, &spec);
            log.lock().expect("log").push(sent);
            next = (next + Duration::from_secs_f64(1.0 / per_s))
                .max(Instant::now() - Duration::from_millis(200));
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    })
}
