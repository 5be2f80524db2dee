//! Stand-in for a backend server ("leaf"): slots, a short queue, signed answers, and
//! the faults that the users' pages name.

use crate::http::{Message, answer};
use crate::record::Record;
use crate::store::Store;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub struct LeafSettings {
    pub slots: usize,
    /// Requests that may wait for a slot; more are turned away.
    pub queue: usize,
    pub work: Duration,
    pub crash_point: CrashPoint,
}

/// A request whose target contains this text crashes each leaf that begins to run it.
pub const CRASHING: &str = "crash";

/// The additional bytes: a rejection as `fleetbench wire` prints it, of no request.
const LATE_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// How long a leaf that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// At which point a request crashes the leaf that runs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPoint {
    /// It crashes none.
    Never,
    /// Before the first byte of the answer.
    BeforeAnswer,
    /// After the head and the first half of the body.
    InAnswer,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub ran: bool,
}

pub struct Leaf {
    pub name: String,
    pub address: SocketAddr,
    settings: LeafSettings,
    service: String,
    zone: String,
    store: Arc<Store>,
    /// The number of this incarnation.
    incarnation: AtomicU64,
    /// Requests that run, and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    stamps: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
    is_down: AtomicBool,
    /// Of so many answers in a thousand, additional bytes follow late.
    late_bytes: AtomicU64,
    draws: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Leaf {
    /// Starts a leaf and registers it.
    pub fn start(
        name: &str,
        (service, zone): (&str, &str),
        settings: LeafSettings,
        (store, record): (&Arc<Store>, &Arc<Record>),
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            settings,
            service: service.to_owned(),
            zone: zone.to_owned(),
            store: Arc::clone(store),
            incarnation: AtomicU64::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            stamps: AtomicU64::new(1),
            crashes: Mutex::default(),
            is_down: AtomicBool::new(false),
            late_bytes: AtomicU64::new(0),
            draws: AtomicU64::new(name.bytes().map(u64::from).sum()),
            connections: Mutex::default(),
            record: Arc::clone(record),
        });
        leaf.register("ready");
        let acceptor = Arc::clone(&leaf);
        thread::spawn(move || acceptor.accept(listener));
        Ok(leaf)
    }

    fn accept(self: &Arc<Self>, mut listener: TcpListener) {
        loop {
            while let Ok((stream, _)) = listener.accept() {
                if self.is_down.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    self.connections.lock().unwrap().push(copy);
                }
                let leaf = Arc::clone(self);
                thread::spawn(move || drop(leaf.serve(stream)));
            }
            // Closes the port.
            drop(listener);
            for connection in self.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
            *self.load.lock().unwrap() = (0, 0);
            self.incarnation.fetch_add(1, Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
            self.record.line(&format!("leaf {} is back", self.name));
            self.register("ready");
        }
    }

    /// Ends this incarnation: its port and connections close.
    pub fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("leaf {} crashes", self.name));
        self.crashes.lock().unwrap().push(Instant::now());
        // Wakes the thread that accepts.
        drop(TcpStream::connect(self.address));
    }

    /// The times at which it has crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    /// Writes the entry in the store.
    pub fn register(&self, state: &str) {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"seq\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.settings.slots,
            1_760_000_000_000 + incarnation
        );
        self.store.put("servers", &self.name, spec.as_bytes());
    }

    /// Sends additional bytes after so many answers in a thousand.
    pub fn set_late_bytes(&self, per_thousand: u64) {
        self.late_bytes.store(per_thousand, Ordering::SeqCst);
    }

    /// Whether additional bytes follow the answer; a sequence that is the same in each run.
    fn draws_late_bytes(&self) -> bool {
        let mut x = self
            .draws
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (x ^ (x >> 31)) % 1_000 < self.late_bytes.load(Ordering::SeqCst)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut has_late_bytes = false;
        while let Some(request) = Message::read(&mut reader)? {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if request
                .header("target-instance")
                .is_some_and(|name| name != self.name)
            {
                self.arrived(&id, false);
                let headers = [("Request-Id", id.as_str()), ("Instance-Id", &self.name)];
                stream.write_all(&answer(421, &headers, b""))?;
                continue;
            }
            if std::mem::take(&mut has_late_bytes) {
                let line = format!("leaf {} sends additional bytes as {id} arrives", self.name);
                self.record.line(&line);
                stream.write_all(LATE_BYTES)?;
            }
            let is_crashing = self.settings.crash_point != CrashPoint::Never
                && request.second().contains(CRASHING);
            if !self.respond(&id, is_crashing, &mut stream)? {
                return Ok(());
            }
            has_late_bytes = self.draws_late_bytes();
        }
        Ok(())
    }

    /// Runs the request, or turns it away if the leaf is full. False if the leaf has
    /// crashed.
    fn respond(&self, id: &str, is_crashing: bool, stream: &mut TcpStream) -> io::Result<bool> {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.settings.slots && load.1 >= self.settings.queue {
            drop(load);
            self.arrived(id, false);
            let headers = [("Request-Id", id), ("Not-Executed", "1")];
            stream.write_all(&answer(503, &headers, b""))?;
            return Ok(true);
        }
        load.1 += 1;
        while load.0 >= self.settings.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        drop(load);
        self.arrived(id, true);
        if !is_crashing {
            thread::sleep(self.settings.work);
        }
        if self.is_down.load(Ordering::SeqCst)
            || self.incarnation.load(Ordering::SeqCst) != incarnation
        {
            return Ok(false);
        }
        let mut load = self.load.lock().unwrap();
        load.0 = load.0.saturating_sub(1);
        drop(load);
        self.freed.notify_one();
        let stamp = format!(
            "{}.{}",
            self.name,
            self.stamps.fetch_add(1, Ordering::Relaxed)
        );
        let headers = [("Request-Id", id), ("Server-Stamp", stamp.as_str())];
        let bytes = answer(200, &headers, &[b'r'; 4_096]);
        if is_crashing {
            if self.settings.crash_point == CrashPoint::InAnswer {
                stream.write_all(&bytes[..bytes.len() - 2_048])?;
                thread::sleep(Duration::from_millis(5));
            }
            self.crash();
            return Ok(false);
        }
        stream.write_all(&bytes)?;
        Ok(true)
    }

    fn arrived(&self, id: &str, ran: bool) {
        let verb = if ran { "runs" } else { "turns away" };
        self.record.line(&format!("leaf {} {verb} {id}", self.name));
        let arrival = Arrival {
            id: id.to_owned(),
            at: Instant::now(),
            ran,
        };
        self.arrivals.lock().unwrap().push(arrival);
    }
}
