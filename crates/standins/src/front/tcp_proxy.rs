//! A proxy on loopback that delays, cuts, silences and resets connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const BUFFER: usize = 16_384;
/// How often a connection that passes nothing looks whether it may go on.
const CHECK: Duration = Duration::from_millis(20);

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes arrive later, each way.
    Delay(Duration),
    /// Bytes towards the target are held; those from it pass.
    HoldToTarget,
    /// Bytes from the target are held; those towards it pass.
    HoldFromTarget,
    /// Open connections go silent for good; new ones work.
    FreezeOpen,
    /// New connections are reset.
    ResetNew,
}

#[derive(Debug, Default)]
struct LinkState {
    fault: LinkFault,
    /// Connections opened before this count are silent.
    silent_before: u64,
    opened: u64,
    /// Connections opened before this count are reset.
    reset_before: u64,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct TcpProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Mutex<LinkState>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkDirection {
    ToTarget,
    FromTarget,
}

impl TcpProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn start(target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
        });
        let serving = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.accept(&stream, target);
            }
        });
        Ok(proxy)
    }

    /// Sets what happens to connections.
    pub fn set_fault(&self, fault: LinkFault) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == LinkFault::FreezeOpen {
            state.silent_before = state.opened;
        }
        state.fault = fault;
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.reset_before = state.opened;
    }

    fn accept(self: &Arc<Self>, caller: &TcpStream, target: SocketAddr) {
        let number = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.fault == LinkFault::ResetNew {
                reset(caller);
                return;
            }
            state.opened += 1;
            state.opened
        };
        let Ok(server) = TcpStream::connect(target) else {
            reset(caller);
            return;
        };
        for stream in [caller, &server] {
            // Only the speed of the test depends on it.
            let _ = stream.set_nodelay(true);
        }
        // A reset at one end must not reach the other as an ordinary end.
        let is_broken = Arc::new(AtomicBool::new(false));
        let pairs = [
            (
                caller.try_clone(),
                server.try_clone(),
                LinkDirection::ToTarget,
            ),
            (
                server.try_clone(),
                caller.try_clone(),
                LinkDirection::FromTarget,
            ),
        ];
        for (from, to, way) in pairs {
            if let (Ok(from), Ok(to)) = (from, to) {
                let proxy = Arc::clone(self);
                let is_broken = Arc::clone(&is_broken);
                thread::spawn(move || {
                    if proxy.pump(&from, &to, way, number, &is_broken) {
                        // The other end may have closed already.
                        let _ = to.shutdown(Shutdown::Write);
                        return;
                    }
                    is_broken.store(true, Ordering::Relaxed);
                    reset(&from);
                    reset(&to);
                });
            }
        }
    }

    /// Passes bytes one way; true if they ended in order, false if the connection
    /// broke or is to be reset.
    fn pump(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        way: LinkDirection,
        number: u64,
        is_broken: &AtomicBool,
    ) -> bool {
        let mut buffer = vec![0; BUFFER];
        // The time-out lets a reset take effect on an idle connection.
        let _ = from.set_read_timeout(Some(CHECK));
        loop {
            if is_broken.load(Ordering::Relaxed) || self.is_reset(number) {
                return false;
            }
            let count = match from.read(&mut buffer) {
                Ok(0) => return !is_broken.load(Ordering::Relaxed),
                Ok(count) => count,
                Err(error) if is_timeout(&error) => continue,
                Err(_) => return false,
            };
            if !self.wait(way, number) || to.write_all(&buffer[..count]).is_err() {
                return false;
            }
        }
    }

    fn is_reset(&self, number: u64) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        number <= state.reset_before
    }

    /// Waits until bytes may pass; false if the connection is to be reset.
    fn wait(&self, way: LinkDirection, number: u64) -> bool {
        let mut is_delayed = false;
        loop {
            let (fault, is_silent) = {
                let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                (state.fault, number <= state.silent_before)
            };
            if self.is_reset(number) {
                return false;
            }
            let is_held = match fault {
                LinkFault::HoldToTarget => way == LinkDirection::ToTarget,
                LinkFault::HoldFromTarget => way == LinkDirection::FromTarget,
                LinkFault::None
                | LinkFault::Delay(_)
                | LinkFault::FreezeOpen
                | LinkFault::ResetNew => false,
            };
            match fault {
                LinkFault::Delay(delay) if !is_delayed => {
                    is_delayed = true;
                    thread::sleep(delay);
                }
                _ if is_held || is_silent => thread::sleep(CHECK),
                _ => return true,
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Has a connection reset when the last handle to it is dropped.
fn reset(stream: &TcpStream) {
    // With no time to linger, closing resets.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
