//! Clients that keep their connections open for many requests.

use crate::http::Message;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const HOST: &str = "portal.example";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Status(u16),
    /// The connection ended, or nothing came in time.
    NoAnswer,
    /// No connection, or the request could not be written.
    NotSent,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// The front it was sent to.
    pub address: SocketAddr,
    pub sent_at: Instant,
    pub end: End,
    pub ended_at: Instant,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Attempt>>>,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub clients: usize,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub pause: Duration,
    /// Whether each request goes to the next front, on a connection of its own.
    pub roams: bool,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Clients {
    pub fn start(addresses: &[SocketAddr], load: Load, record: &Arc<Record>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..load.clients).map(|index| {
            let first = index % addresses.len();
            let (before, after) = addresses.split_at(first);
            let addresses = [after, before].concat();
            let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
            thread::spawn(move || run(&addresses, load, &stop, &record))
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    pub fn finish(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        ended.flatten().collect()
    }
}

fn run(addresses: &[SocketAddr], load: Load, stop: &AtomicBool, record: &Record) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    let mut connection = None;
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        let address = addresses[next];
        if load.roams {
            next = (next + 1) % addresses.len();
            connection = None;
        }
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        record.line(&format!("client sends {id} {} {}", load.method, load.path));
        let end = exchange(&mut connection, address, load, &id);
        record.line(&format!("client has {end:?} for {id}"));
        attempts.push(Attempt {
            id,
            address,
            sent_at,
            end,
            ended_at: Instant::now(),
        });
        thread::sleep(if end == End::NotSent {
            Duration::from_millis(200)
        } else {
            load.pause
        });
    }
    attempts
}

fn exchange(
    connection: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    load: Load,
    id: &str,
) -> End {
    let body = if load.method == "POST" {
        "{\"order\":1}"
    } else {
        ""
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        load.method,
        load.path,
        load.deadline_ms,
        body.len()
    );
    let kept = connection.take();
    let opened = kept.map_or_else(|| connect(address, load), Some);
    let Some(mut reader) = opened else {
        return End::NotSent;
    };
    if reader.get_mut().write_all(text.as_bytes()).is_err() {
        return End::NotSent;
    }
    let Ok(Some(answer)) = Message::read(&mut reader) else {
        return End::NoAnswer;
    };
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if !closes {
        *connection = Some(reader);
    }
    End::Status(answer.status())
}

fn connect(address: SocketAddr, load: Load) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let patience = Duration::from_millis(load.deadline_ms + 500);
    stream.set_read_timeout(Some(patience)).ok()?;
    Some(BufReader::new(stream))
}
