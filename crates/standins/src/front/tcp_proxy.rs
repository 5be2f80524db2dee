//! A TCP proxy on loopback that delays, blocks and resets connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const BUFFER_BYTES: usize = 16_384;
/// Interval at which an idle or blocked connection checks the fault.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The fault that a proxy injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProxyFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// Bytes are delayed in each direction.
    Delay(Duration),
    /// Bytes to the target are held back; those from it pass.
    HoldToTarget,
    /// Bytes from the target are held back; those to it pass.
    HoldFromTarget,
    /// Connections open when this is set never pass a byte again, whatever fault
    /// follows; new ones work.
    FreezeOpen,
    /// New connections are reset.
    ResetNew,
}

#[derive(Debug, Default)]
struct ProxyState {
    fault: ProxyFault,
    /// Connections with a number up to this one pass nothing.
    frozen_through: u64,
    opened_count: u64,
    /// Connections with a number up to this one are reset.
    reset_through: u64,
}

/// A TCP proxy in front of one address.
#[derive(Debug)]
pub struct TcpProxy {
    /// The proxy's address.
    pub address: SocketAddr,
    state: Mutex<ProxyState>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProxyDirection {
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
        let acceptor = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                acceptor.accept(&stream, target);
            }
        });
        Ok(proxy)
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: ProxyFault) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == ProxyFault::FreezeOpen {
            state.frozen_through = state.opened_count;
        }
        state.fault = fault;
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.reset_through = state.opened_count;
    }

    fn accept(self: &Arc<Self>, caller: &TcpStream, target: SocketAddr) {
        let number = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.fault == ProxyFault::ResetNew {
                reset_on_close(caller);
                return;
            }
            state.opened_count += 1;
            state.opened_count
        };
        let Ok(server) = TcpStream::connect(target) else {
            reset_on_close(caller);
            return;
        };
        for stream in [caller, &server] {
            // Only the speed of the test depends on it.
            let _ = stream.set_nodelay(true);
        }
        // A reset on one side must not become an orderly close on the other.
        let is_broken = Arc::new(AtomicBool::new(false));
        let pairs = [
            (
                caller.try_clone(),
                server.try_clone(),
                ProxyDirection::ToTarget,
            ),
            (
                server.try_clone(),
                caller.try_clone(),
                ProxyDirection::FromTarget,
            ),
        ];
        for (from, to, direction) in pairs {
            if let (Ok(from), Ok(to)) = (from, to) {
                let proxy = Arc::clone(self);
                let is_broken = Arc::clone(&is_broken);
                thread::spawn(move || {
                    if proxy.forward(&from, &to, direction, number, &is_broken) {
                        // The other end may have closed already.
                        let _ = to.shutdown(Shutdown::Write);
                        return;
                    }
                    is_broken.store(true, Ordering::Relaxed);
                    reset_on_close(&from);
                    reset_on_close(&to);
                });
            }
        }
    }

    /// Copies bytes in one direction; true at an orderly end, false if the
    /// connection broke or is to be reset.
    fn forward(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        direction: ProxyDirection,
        number: u64,
        is_broken: &AtomicBool,
    ) -> bool {
        let mut buffer = vec![0; BUFFER_BYTES];
        // The timeout lets a reset take effect on an idle connection.
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
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
            if !self.wait_to_pass(direction, number) || to.write_all(&buffer[..count]).is_err() {
                return false;
            }
        }
    }

    fn is_reset(&self, number: u64) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        number <= state.reset_through
    }

    /// Waits until the fault lets bytes pass; false if the connection is to be reset.
    fn wait_to_pass(&self, direction: ProxyDirection, number: u64) -> bool {
        let mut is_delayed = false;
        loop {
            let (fault, is_frozen) = {
                let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                (state.fault, number <= state.frozen_through)
            };
            if self.is_reset(number) {
                return false;
            }
            let is_held = match fault {
                ProxyFault::HoldToTarget => direction == ProxyDirection::ToTarget,
                ProxyFault::HoldFromTarget => direction == ProxyDirection::FromTarget,
                ProxyFault::None
                | ProxyFault::Delay(_)
                | ProxyFault::FreezeOpen
                | ProxyFault::ResetNew => false,
            };
            match fault {
                ProxyFault::Delay(delay) if !is_delayed => {
                    is_delayed = true;
                    thread::sleep(delay);
                }
                _ if is_held || is_frozen => thread::sleep(POLL_INTERVAL),
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

/// Makes the connection send a reset when its last handle is dropped.
fn reset_on_close(stream: &TcpStream) {
    // A linger time of zero makes close send a reset.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
