//! A crowd of clients holds the memory of a front beyond its machine's, with bodies of legal
//! size that stop short of their end. The process ends, and ordinary callers' requests that
//! leafs run end without an answer.

use crate::client::{self, SentLog, Spec};
use crate::cut::bounds;
use crate::deployment::{Deployment, HOST, Route};
use crate::leaf::Work;
use crate::record::Record;
use std::collections::HashSet;
use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The smaller machines of the grown deployments.
const MEMORY_MB: usize = 160;
const DESCRIPTORS: &str = "4100";
const CLIENTS: usize = 3_000;
const MAX_BODY: usize = 262_144;
/// Ordinary callers, each on a kept connection; a leaf works on a request for this long.
const ORDINARY: usize = 12;
const WORK: Duration = Duration::from_millis(160);
/// The rule allows so many.
const ALLOWED: usize = 3;
/// `stabilityWindowMs` of the deployment, and a second more.
const CALM: Duration = Duration::from_secs(7);
/// Pieces that each client sends, and the pause between them.
const PIECES: usize = 8;
const PIECE: usize = 16 * 1_024;
const PAUSE: Duration = Duration::from_millis(200);

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

const OPEN_FILES: i32 = 7;

/// Raises this process's own limit of open files as far as it may.
fn raise_open_files() -> u64 {
    let mut limit = Limit { soft: 0, hard: 0 };
    // SAFETY: the structure has the layout of `struct rlimit` on 64-bit Linux.
    unsafe {
        getrlimit(OPEN_FILES, &mut limit);
        limit.soft = limit.hard.min(20_000);
        limit.hard = limit.hard.max(limit.soft);
        setrlimit(OPEN_FILES, &limit);
    }
    limit.soft
}

/// A process's resident memory, in bytes; 0 if it has ended.
fn resident(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Bytes that the sockets at a local port have received and nobody has read.
fn unread(port: u16) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{port:04X}");
    let rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let rows = rows.filter(|row| row.len() > 4 && row[1].ends_with(&port) && row[3] == "01");
    let bytes = rows.filter_map(|row| {
        let (_, unread) = row[4].split_once(':')?;
        usize::from_str_radix(unread, 16).ok()
    });
    bytes.sum()
}

/// Clients that send all but the last byte of a body, as far as the front takes it.
struct Crowd {
    clients: Vec<(TcpStream, usize)>,
}

impl Crowd {
    fn open(address: SocketAddr) -> Self {
        let mut clients = Vec::new();
        for index in 0..CLIENTS {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
            else {
                continue;
            };
            let head = format!(
                "POST /orders/{index} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c{index:015x}\r\n\
                 Deadline-Ms: 60000\r\nContent-Length: {MAX_BODY}\r\n\r\n"
            );
            let _ = stream.set_nonblocking(true);
            if index % 100 == 0 {
                // The listener's queue takes a part of the crowd at once.
                thread::sleep(Duration::from_millis(10));
            }
            if stream.write_all(head.as_bytes()).is_ok() {
                clients.push((stream, MAX_BODY - 1));
            }
        }
        Self { clients }
    }

    /// Sends one more piece on each connection.
    fn send(&mut self) {
        let piece = vec![b'c'; PIECE];
        self.clients.retain_mut(
            |(stream, left)| match stream.write(&piece[..PIECE.min(*left)]) {
                Ok(bytes) => {
                    *left -= bytes;
                    true
                }
                Err(cause) => cause.kind() == ErrorKind::WouldBlock,
            },
        );
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> i32 {
    let files = raise_open_files();
    record.say(&format!("open files allowed: {files}"));
    if files < CLIENTS as u64 + 500 {
        return 2;
    }
    let mut bounds = bounds();
    bounds.values.insert("limits.memoryMb", "160");
    bounds.values.insert("limits.maxFds", DESCRIPTORS);
    let mut world = Deployment::new(root, record, bounds);
    let work: Work = Arc::new(|_| {
        thread::sleep(WORK);
        (200, Vec::new(), b"taken".to_vec())
    });
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].iter().enumerate() {
        world.add_leaf(&format!("i-desk{index}"), "orders", zone, &work);
    }
    let route = Route {
        name: "order",
        prefix: "/orders/",
        idempotent: false,
        service: "orders",
        attempts: 1,
        timeout_ms: 60_000,
    };
    world.configure(&[route], &[]);
    for (name, zone) in [("front-a-1", "zone-a"), ("front-b-1", "zone-b")] {
        world.add_front(name, zone);
    }
    if !world.start_all() {
        return 2;
    }
    let log = SentLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    let address = world.front("front-a-1").callers;
    let mut clients = Vec::new();
    for _ in 0..ORDINARY {
        let spec = Spec {
            method: "POST",
            path: "/orders/2f".to_owned(),
            key: String::new(),
            tenant: String::new(),
            body: b"one order".to_vec(),
            deadline: Duration::from_secs(4),
        };
        clients.push(client::start("front-a-1", address, spec, 5.0, &log, &stop));
    }
    thread::sleep(CALM);
    let (pid, port) = (world.front("front-a-1").pid(), address.port());
    let mut crowd = Crowd {
        clients: Vec::new(),
    };
    if trouble {
        crowd = Crowd::open(address);
        record.say(&format!(
            "{} clients of the crowd are connected",
            crowd.clients.len()
        ));
    }
    let mut most = 0;
    let mut has_ended = false;
    for _ in 0..PIECES {
        crowd.send();
        let (resident, unread) = (resident(pid), unread(port));
        most = most.max(resident + unread);
        record.say(&format!(
            "front-a-1: {} MB of {MEMORY_MB}: resident {}, received and not read {}",
            (resident + unread) / 1_048_576,
            resident / 1_048_576,
            unread / 1_048_576
        ));
        if resident + unread > MEMORY_MB * 1_048_576 {
            // As the platform does with a process that exceeds its machine's memory.
            world.front("front-a-1").kill();
            record.say("front-a-1 has exceeded its memory: killed");
            has_ended = true;
            break;
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(crowd);
    let runs = world.runs.lock().expect("runs").clone();
    let run: HashSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let mut lost = 0;
    let sent = log.lock().expect("log").clone();
    for one in &sent {
        let is_run = run.contains(one.id.as_str());
        record.line(&format!(
            "request {} on a {} connection: run by a leaf {is_run}, answered {}",
            one.id,
            if one.is_kept { "kept" } else { "new" },
            one.status
        ));
        let has_no_answer = one.is_sent && one.status == 0 && !one.timed_out;
        lost += usize::from(one.is_kept && is_run && has_no_answer);
    }
    record.say(&format!(
        "ended for memory: {has_ended}; of {} requests of ordinary callers {lost}, passed on from \
         kept connections, have no answer; {ALLOWED} are allowed",
        sent.len()
    ));
    i32::from(lost > ALLOWED)
}
