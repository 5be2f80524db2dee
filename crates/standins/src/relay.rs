//! Relays in front of daemons' peer addresses, by which failure domains can be
//! cut off from each other.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const MOST_DATAGRAM: usize = 65_536;
const STOP_CHECK: Duration = Duration::from_millis(200);

/// What all relays of a fleet share.
#[derive(Debug, Default)]
pub struct RelaySwitch {
    /// Whether traffic between domains is dropped.
    is_cut: AtomicBool,
    stopped: AtomicBool,
    /// The domain of each daemon, by the address it sends from.
    domains: Mutex<HashMap<SocketAddr, String>>,
}

impl RelaySwitch {
    /// Cuts the domains off from each other, or heals the cut.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Ends all relays.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn is_dropped(&self, source: SocketAddr, domain: &str) -> bool {
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let crosses = domains.get(&source).is_some_and(|other| other != domain);
        crosses && self.is_cut.load(Ordering::Relaxed)
    }
}

/// Relays what arrives at `advertised` to the daemon at `target`, and back.
///
/// # Errors
/// Returns the system's error if the address can't be used.
pub fn start(
    switch: &Arc<RelaySwitch>,
    advertised: SocketAddr,
    target: SocketAddr,
    domain: &str,
) -> io::Result<()> {
    let front = Arc::new(UdpSocket::bind(advertised)?);
    front.set_read_timeout(Some(STOP_CHECK))?;
    let mut domains = switch
        .domains
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    domains.insert(target, domain.to_owned());
    drop(domains);
    let (switch, domain) = (Arc::clone(switch), domain.to_owned());
    std::thread::spawn(move || {
        let mut back: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; MOST_DATAGRAM];
        while !switch.is_stopped() {
            let Ok((length, source)) = front.recv_from(&mut buffer) else {
                continue;
            };
            if switch.is_dropped(source, &domain) {
                continue;
            }
            let socket = match back.get(&source) {
                Some(socket) => Arc::clone(socket),
                None => match open_back(&switch, &front, source, target, &domain) {
                    Ok(socket) => Arc::clone(back.entry(source).or_insert(socket)),
                    Err(_) => continue,
                },
            };
            // A lost datagram is what a network does.
            let _ = socket.send(&buffer[..length]);
        }
    });
    Ok(())
}

/// The socket that stands for `source` towards the daemon.
fn open_back(
    switch: &Arc<RelaySwitch>,
    front: &Arc<UdpSocket>,
    source: SocketAddr,
    target: SocketAddr,
    domain: &str,
) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(UdpSocket::bind(("127.0.0.1", 0))?);
    socket.connect(target)?;
    socket.set_read_timeout(Some(STOP_CHECK))?;
    let (switch, front) = (Arc::clone(switch), Arc::clone(front));
    let (reader, domain) = (Arc::clone(&socket), domain.to_owned());
    std::thread::spawn(move || {
        let mut buffer = vec![0; MOST_DATAGRAM];
        while !switch.is_stopped() {
            let Ok(length) = reader.recv(&mut buffer) else {
                continue;
            };
            if !switch.is_dropped(source, &domain) {
                let _ = front.send_to(&buffer[..length], source);
            }
        }
    });
    Ok(socket)
}
