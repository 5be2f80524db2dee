//! Relays in front of daemons' peer addresses, by which failure domains can be
//! cut off from each other, or moved farther apart.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

const MOST_DATAGRAM: usize = 65_536;
const STOP_CHECK: Duration = Duration::from_millis(200);

/// What all relays of a fleet share.
#[derive(Debug, Default)]
pub struct RelayControl {
    /// Whether traffic between domains is dropped.
    is_partitioned: AtomicBool,
    /// How long datagrams from and to a domain take, one way.
    delays: Mutex<HashMap<String, Duration>>,
    stopped: AtomicBool,
    /// The domain of each daemon, by the address it sends from.
    domains: Mutex<HashMap<SocketAddr, String>>,
}

impl RelayControl {
    /// Cuts the domains off from each other, or heals the cut.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Relaxed);
    }

    /// Datagrams between `domain` and the others take this long, one way.
    pub fn set_delay(&self, domain: &str, delay: Duration) {
        let mut delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.insert(domain.to_owned(), delay);
    }

    /// Ends all relays.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// When a datagram between `source` and `domain` arrives; none if it is lost.
    fn arrival(&self, source: SocketAddr, domain: &str) -> Option<Instant> {
        let now = Instant::now();
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(other) = domains.get(&source).filter(|other| *other != domain) else {
            return Some(now);
        };
        if self.is_partitioned.load(Ordering::Relaxed) {
            return None;
        }
        let delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = |domain| delays.get(domain).copied().unwrap_or_default();
        Some(now + delay(domain) + delay(other))
    }
}

/// Sends datagrams when they are due, in the order in which they came.
#[derive(Debug)]
struct DelayQueue {
    sender: mpsc::Sender<(Instant, Vec<u8>)>,
}

impl DelayQueue {
    /// Ends with its last handle.
    fn start<Deliver>(deliver: Deliver) -> Self
    where
        Deliver: Fn(&[u8]) + Send + 'static,
    {
        let (sender, due) = mpsc::channel::<(Instant, Vec<u8>)>();
        std::thread::spawn(move || {
            while let Ok((at, bytes)) = due.recv() {
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                deliver(&bytes);
            }
        });
        Self { sender }
    }

    fn send(&self, at: Instant, bytes: &[u8]) {
        // The line lives as long as its sender.
        let _ = self.sender.send((at, bytes.to_vec()));
    }
}

/// Relays what arrives at `advertised` to the daemon at `target`, and back.
///
/// # Errors
/// Returns the system's error if the address can't be used.
pub fn start(
    switch: &Arc<RelayControl>,
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
        let mut back: HashMap<SocketAddr, DelayQueue> = HashMap::new();
        let mut buffer = vec![0; MOST_DATAGRAM];
        while !switch.is_stopped() {
            let Ok((length, source)) = front.recv_from(&mut buffer) else {
                continue;
            };
            let Some(at) = switch.arrival(source, &domain) else {
                continue;
            };
            let line = match back.entry(source) {
                Entry::Occupied(line) => line.into_mut(),
                Entry::Vacant(place) => match open_back(&switch, &front, source, target, &domain) {
                    Ok(socket) => place.insert(DelayQueue::start(move |bytes| {
                        // A lost datagram is what a network does.
                        let _ = socket.send(bytes);
                    })),
                    Err(_) => continue,
                },
            };
            line.send(at, &buffer[..length]);
        }
    });
    Ok(())
}

/// The socket that stands for `source` towards the daemon.
fn open_back(
    switch: &Arc<RelayControl>,
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
        let line = DelayQueue::start(move |bytes| {
            let _ = front.send_to(bytes, source);
        });
        while !switch.is_stopped() {
            let Ok(length) = reader.recv(&mut buffer) else {
                continue;
            };
            if let Some(at) = switch.arrival(source, &domain) {
                line.send(at, &buffer[..length]);
            }
        }
    });
    Ok(socket)
}
