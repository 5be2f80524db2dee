//! A leaf: registers itself in the store, runs requests and writes down each run.

use crate::http::{Message, response};
use crate::json::Json;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One request that a leaf ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub leaf: String,
    pub service: String,
    pub request: String,
    pub path: String,
    pub tenant: String,
}

/// All runs of all leafs.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a leaf answers to a request that it ran: status, further headers and body.
pub type Work = Arc<dyn Fn(&Message) -> (u16, Vec<(&'static str, String)>, Vec<u8>) + Send + Sync>;

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    is_registered: AtomicBool,
    runs: Runs,
    work: Work,
}

impl Leaf {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Arc<Store>,
        runs: &Runs,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("leaf port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("time")
            .as_millis();
        let leaf = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("leaf port"),
            born: born as u64,
            seq: AtomicU64::new(0),
            is_registered: AtomicBool::new(true),
            runs: Arc::clone(runs),
            work,
        });
        let acceptor = Arc::clone(&leaf);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = Arc::clone(&acceptor);
                thread::spawn(move || leaf.serve(stream));
            }
        });
        let (beating, store) = (Arc::clone(&leaf), Arc::clone(store));
        beating.write(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_registered.load(Ordering::Relaxed) {
                    beating.write(&store);
                }
            }
        });
        leaf
    }

    fn write(&self, store: &Store) {
        store.put("servers", &self.id, &self.entry());
    }

    /// The leaf's entry in the store, with the next `seq`.
    pub fn entry(&self) -> Json {
        Json::map(&[
            ("service", Json::text(&self.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::from(64)),
            ("state", Json::text("ready")),
            ("warmupLeftMs", Json::from(0)),
            ("seq", Json::from(self.seq.fetch_add(1, Ordering::Relaxed))),
            ("born", Json::from(self.born)),
        ])
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = Message::read(&mut reader, false) {
            let answer = self.answer(&request);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("request-id").to_owned();
        let target = request.header("target-instance");
        if request.word(1) == "/health" {
            return response(200, &[("Instance-Id", self.id.clone())], &[]);
        }
        if id.is_empty() {
            return response(400, &[("Not-Executed", "1".to_owned())], &[]);
        }
        if !target.is_empty() && target != self.id {
            let headers = [("Not-Executed", "1".to_owned()), ("Request-Id", id)];
            return response(421, &headers, &[]);
        }
        let run = Run {
            at: Instant::now(),
            leaf: self.id.clone(),
            service: self.service.clone(),
            request: id.clone(),
            path: request.word(1).to_owned(),
            tenant: request.header("tenant").to_owned(),
        };
        self.runs.lock().expect("runs").push(run);
        let (status, further, body) = (self.work)(request);
        let mut headers = vec![
            ("Request-Id", id.clone()),
            ("Server-Stamp", format!("{}.{id}", self.id)),
            ("Keep-Alive", "timeout=30".to_owned()),
        ];
        headers.extend(further);
        response(status, &headers, &body)
    }
}
