//! Free ports, and waiting for something to hold.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Ports are taken from below the range that the system gives to connections.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;
const START_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

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

/// A loopback address whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(977);
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
