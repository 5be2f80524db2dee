//! Free ports, and waiting for something to hold.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Ports are taken from below the range that the system gives to connections.
const FIRST_PORT: u32 = 10_000;
const BLOCK_PORTS: u32 = 1_000;
const BLOCK_COUNT: u32 = 22;
const START_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Ports that belong to this process alone, among those that take theirs here.
#[derive(Debug)]
struct PortBlock {
    /// Held as long as the process lives, on the block's first port.
    _lock: TcpListener,
    first: u32,
    used: u32,
}

impl PortBlock {
    /// Takes a block that no other process has.
    fn claim() -> Self {
        let start = std::process::id();
        loop {
            for offset in 0..BLOCK_COUNT {
                let index = start.wrapping_add(offset) % BLOCK_COUNT;
                let first = FIRST_PORT + index * BLOCK_PORTS;
                if let Ok(lock) = TcpListener::bind(loopback(first)) {
                    let used = 1;
                    return Self {
                        _lock: lock,
                        first,
                        used,
                    };
                }
            }
            std::thread::sleep(POLL);
        }
    }

    fn next(&mut self) -> Option<SocketAddr> {
        let port = self.first + self.used;
        self.used += 1;
        (self.used <= BLOCK_PORTS).then(|| loopback(port))
    }
}

fn loopback(port: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Waits until `done` holds.
///
/// # Errors
/// Returns an error naming `what` if that takes too long.
pub fn wait_for<Done>(mut done: Done, what: &str) -> io::Result<()>
where
    Done: FnMut() -> bool,
{
    let began = Instant::now();
    while began.elapsed() < START_LIMIT {
        if done() {
            return Ok(());
        }
        std::thread::sleep(POLL);
    }
    Err(io::Error::new(
        io::ErrorKind::TimedOut,
        format!("waited in vain for {what}"),
    ))
}

/// Starts a process while no port is tried out: a new process holds copies of all
/// sockets until its program begins, so a port that was found free would be taken.
pub(super) fn spawn_apart(command: &mut Command) -> io::Result<Child> {
    let _blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// A loopback address whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let Some(address) = blocks.last_mut().and_then(PortBlock::next) else {
            blocks.push(PortBlock::claim());
            continue;
        };
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
