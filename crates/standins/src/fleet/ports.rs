//! Allocation of free ports, and waiting for a condition.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// All blocks lie below the system's range of ephemeral ports.
const FIRST_PORT: u32 = 10_000;
const BLOCK_PORTS: u32 = 1_000;
const BLOCK_COUNT: u32 = 22;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// A block of ports reserved for this process among all that use this module.
#[derive(Debug)]
struct PortBlock {
    /// A listener on the block's first port, which reserves the block until the
    /// process ends.
    _lock: TcpListener,
    first: u32,
    next_offset: u32,
}

impl PortBlock {
    /// Reserves a block that no other process holds.
    fn claim() -> Self {
        let start = std::process::id();
        loop {
            for offset in 0..BLOCK_COUNT {
                let index = start.wrapping_add(offset) % BLOCK_COUNT;
                let first = FIRST_PORT + index * BLOCK_PORTS;
                if let Ok(lock) = TcpListener::bind(loopback(first)) {
                    let next_offset = 1;
                    return Self {
                        _lock: lock,
                        first,
                        next_offset,
                    };
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn next(&mut self) -> Option<SocketAddr> {
        let port = self.first + self.next_offset;
        self.next_offset += 1;
        (self.next_offset <= BLOCK_PORTS).then(|| loopback(port))
    }
}

fn loopback(port: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Waits until `condition` holds.
///
/// # Errors
/// Returns an error with `description` if that takes longer than 30 seconds.
pub fn wait_for<Condition>(mut condition: Condition, description: &str) -> io::Result<()>
where
    Condition: FnMut() -> bool,
{
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(io::Error::new(
        io::ErrorKind::TimedOut,
        format!("timed out waiting for {description}"),
    ))
}

/// Starts a process while no port is probed. A new process holds copies of all
/// sockets until it executes its program, so a port whose probe was open at the
/// fork would still be in use after it was found free.
pub(super) fn spawn_without_probing(command: &mut Command) -> io::Result<Child> {
    let _blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Returns a loopback address whose port is free for TCP and UDP.
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
