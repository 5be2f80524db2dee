//! UDP relays in front of daemons' peer addresses, which can partition failure
//! domains from each other and add network delay between them.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

const MAX_DATAGRAM_BYTES: usize = 65_536;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Settings shared by all relays of a fleet.
#[derive(Debug, Default)]
pub struct RelayControl {
    /// Whether traffic between domains is dropped.
    is_partitioned: AtomicBool,
    /// The one-way delay of datagrams from and to each domain.
    delays: Mutex<HashMap<String, Duration>>,
    stopped: AtomicBool,
    /// The domain of each daemon, by the address from which it sends.
    domains: Mutex<HashMap<SocketAddr, String>>,
}

impl RelayControl {
    /// Starts or ends a network partition between all domains.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Relaxed);
    }

    /// Sets the one-way delay of datagrams between `domain` and the others.
    pub fn set_delay(&self, domain: &str, delay: Duration) {
        let mut delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.insert(domain.to_owned(), delay);
    }

    /// Stops all relays.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// The delivery time of a datagram between `source` and `domain`, none if it is
    /// dropped.
    fn delivery_time(&self, source: SocketAddr, domain: &str) -> Option<Instant> {
        let now = Instant::now();
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(source_domain) = domains
            .get(&source)
            .filter(|source_domain| *source_domain != domain)
        else {
            return Some(now);
        };
        if self.is_partitioned.load(Ordering::Relaxed) {
            return None;
        }
        let delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = |domain| delays.get(domain).copied().unwrap_or_default();
        Some(now + delay(domain) + delay(source_domain))
    }
}

/// Delivers datagrams at their delivery times, in the order in which they came.
#[derive(Debug)]
struct DelayQueue {
    sender: mpsc::Sender<(Instant, Vec<u8>)>,
}

impl DelayQueue {
    /// Starts a thread that ends when the queue is dropped.
    fn start<Deliver>(deliver: Deliver) -> Self
    where
        Deliver: Fn(&[u8]) + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
        std::thread::spawn(move || {
            while let Ok((due_at, bytes)) = receiver.recv() {
                std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
                deliver(&bytes);
            }
        });
        Self { sender }
    }

    fn send(&self, due_at: Instant, bytes: &[u8]) {
        // The thread receives as long as the sender exists.
        let _ = self.sender.send((due_at, bytes.to_vec()));
    }
}

/// Relays datagrams between `advertised` and the daemon at `target`.
///
/// # Errors
/// Returns the system's error if the address can't be used.
pub fn start(
    control: &Arc<RelayControl>,
    advertised: SocketAddr,
    target: SocketAddr,
    domain: &str,
) -> io::Result<()> {
    let advertised_socket = Arc::new(UdpSocket::bind(advertised)?);
    advertised_socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    let mut domains = control
        .domains
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    domains.insert(target, domain.to_owned());
    drop(domains);
    let (control, domain) = (Arc::clone(control), domain.to_owned());
    std::thread::spawn(move || {
        let mut delay_queues: HashMap<SocketAddr, DelayQueue> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !control.is_stopped() {
            let Ok((length, source)) = advertised_socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(due_at) = control.delivery_time(source, &domain) else {
                continue;
            };
            let queue = match delay_queues.entry(source) {
                Entry::Occupied(queue) => queue.into_mut(),
                Entry::Vacant(vacant) => {
                    match open_return_socket(&control, &advertised_socket, source, target, &domain)
                    {
                        Ok(socket) => vacant.insert(DelayQueue::start(move |bytes| {
                            // Datagrams may be lost, as in a network.
                            let _ = socket.send(bytes);
                        })),
                        Err(_) => continue,
                    }
                }
            };
            queue.send(due_at, &buffer[..length]);
        }
    });
    Ok(())
}

/// Opens the socket that represents `source` towards the daemon, and starts the
/// relay of the daemon's datagrams back to `source`.
fn open_return_socket(
    control: &Arc<RelayControl>,
    advertised_socket: &Arc<UdpSocket>,
    source: SocketAddr,
    target: SocketAddr,
    domain: &str,
) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(UdpSocket::bind(("127.0.0.1", 0))?);
    socket.connect(target)?;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    let (control, advertised_socket) = (Arc::clone(control), Arc::clone(advertised_socket));
    let (reader, domain) = (Arc::clone(&socket), domain.to_owned());
    std::thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let queue = DelayQueue::start(move |bytes| {
            let _ = advertised_socket.send_to(bytes, source);
        });
        while !control.is_stopped() {
            let Ok(length) = reader.recv(&mut buffer) else {
                continue;
            };
            if let Some(due_at) = control.delivery_time(source, &domain) {
                queue.send(due_at, &buffer[..length]);
            }
        }
    });
    Ok(socket)
}
