//! Stand-in for a backend server that signs its answers, and its faults.

use crate::front::http_message::{HttpMessage, response_bytes};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// A request whose target holds this ends each server that runs it.
pub const POISON: &str = "poison";

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerFault {
    /// It answers.
    #[default]
    None,
    /// It says that it did not run them.
    Reject,
    /// It runs them and fails.
    Fail,
    /// It takes them and says nothing.
    Hang,
    /// It runs them and resets the connection.
    LoseAnswer,
    /// Its answers break off.
    Truncate,
    /// It sends another request's answer.
    MismatchedAnswer,
    /// It sends a second answer after the first.
    ExtraAnswer,
    /// Its answers have no length and end with the connection.
    Unframed,
    /// Its answers have no length, and the connection is reset in the middle.
    UnframedReset,
    /// Its answers have no signature.
    Unsigned,
    /// Its process ends as soon as it runs one.
    Crash,
}

/// One request that arrived.
#[derive(Clone, Debug)]
pub struct ServerArrival {
    /// Its id.
    pub request: String,
    /// Method, path and query.
    pub target: String,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Whether the server ran it.
    pub ran: bool,
    /// Milliseconds that the sender still waits.
    pub time_left_ms: Option<u64>,
}

/// A backend server.
#[derive(Debug)]
pub struct SignedServer {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    state: Mutex<ServerState>,
    signatures: AtomicU64,
    is_terminated: AtomicBool,
}

#[derive(Debug)]
struct ServerState {
    fault: ServerFault,
    work: Duration,
    records: Vec<[u8; 16]>,
    arrivals: Vec<ServerArrival>,
    /// Held weakly, so that a connection closes where it is served.
    open: Vec<Weak<TcpStream>>,
}

impl SignedServer {
    /// Starts a server on a free port of loopback.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn start(name: &str, records: Vec<[u8; 16]>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: Mutex::new(ServerState {
                fault: ServerFault::None,
                work: Duration::from_millis(2),
                records,
                arrivals: Vec::new(),
                open: Vec::new(),
            }),
            signatures: AtomicU64::new(1),
            is_terminated: AtomicBool::new(false),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_terminated.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&serving);
                thread::spawn(move || {
                    // The caller closed; there is nobody to tell.
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// Whether it has ended.
    pub fn is_terminated(&self) -> bool {
        self.is_terminated.load(Ordering::Relaxed)
    }

    /// Sets how it treats requests.
    pub fn set_fault(&self, fault: ServerFault) {
        self.lock().fault = fault;
    }

    /// Sets how long it works on a request.
    pub fn set_service_time(&self, work: Duration) {
        self.lock().work = work;
    }

    /// All requests that arrived.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        self.lock().arrivals.clone()
    }

    /// Ends it: the port closes, and so do all connections.
    pub fn terminate(&self) {
        self.is_terminated.store(true, Ordering::Relaxed);
        for stream in self
            .lock()
            .open
            .drain(..)
            .filter_map(|stream| stream.upgrade())
        {
            // It may have closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The first wakes the accepting thread, which then drops the listener.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.lock().open.push(Arc::downgrade(&stream));
        let mut stream = stream.as_ref();
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpMessage::read(&mut reader)? {
            let meant = request.header("target-instance");
            if !meant.is_empty() && meant != self.name {
                self.note(&request, false);
                stream.write_all(&response_bytes(421, &[("instance-id", &self.name)], b""))?;
                continue;
            }
            if !self.answer(&request, stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn note(&self, request: &HttpMessage, ran: bool) {
        let words: Vec<&str> = request.start_line.split(' ').take(2).collect();
        self.lock().arrivals.push(ServerArrival {
            request: request.header("request-id").to_owned(),
            target: words.join(" "),
            arrived_at: Instant::now(),
            ran,
            time_left_ms: request.header("deadline-ms").parse().ok(),
        });
    }

    /// Whether the connection goes on.
    fn answer(&self, request: &HttpMessage, mut stream: &TcpStream) -> io::Result<bool> {
        let (fault, work, body) = {
            let state = self.lock();
            (state.fault, state.work, state.records.concat())
        };
        if fault == ServerFault::Reject {
            self.note(request, false);
            stream.write_all(&response_bytes(503, &[("not-executed", "1")], b""))?;
            return Ok(true);
        }
        self.note(request, true);
        if fault == ServerFault::Crash || request.second_word().contains(POISON) {
            self.terminate();
            return Ok(false);
        }
        thread::sleep(work);
        let id = request.header("request-id").to_owned();
        let signature = format!(
            "{}.{}",
            self.name,
            self.signatures.fetch_add(1, Ordering::Relaxed)
        );
        let signed = [("request-id", id.as_str()), ("server-stamp", &signature)];
        let whole = response_bytes(200, &signed, &body);
        let unframed =
            format!("HTTP/1.1 200 X\r\nrequest-id: {id}\r\nserver-stamp: {signature}\r\n\r\n");
        match fault {
            ServerFault::Hang => thread::sleep(Duration::from_secs(60)),
            ServerFault::Fail => stream.write_all(&response_bytes(500, &signed, b"fault"))?,
            ServerFault::LoseAnswer => {
                reset(stream);
                return Ok(false);
            }
            ServerFault::Truncate => {
                stream.write_all(&whole[..whole.len() - 8])?;
                return Ok(false);
            }
            ServerFault::MismatchedAnswer => {
                let other = [("request-id", "another"), ("server-stamp", &signature)];
                stream.write_all(&response_bytes(200, &other, &body))?;
            }
            ServerFault::ExtraAnswer => {
                stream.write_all(&whole)?;
                thread::sleep(Duration::from_millis(20));
                stream.write_all(&whole)?;
            }
            ServerFault::Unframed | ServerFault::UnframedReset => {
                stream.write_all(unframed.as_bytes())?;
                stream.write_all(&body[..body.len() / 2])?;
                if fault == ServerFault::UnframedReset {
                    thread::sleep(Duration::from_millis(5));
                    reset(stream);
                    return Ok(false);
                }
                stream.write_all(&body[body.len() / 2..])?;
                let _ = stream.shutdown(Shutdown::Both);
                return Ok(false);
            }
            ServerFault::Unsigned => {
                let unsigned = [("request-id", id.as_str())];
                stream.write_all(&response_bytes(200, &unsigned, &body))?;
            }
            ServerFault::None | ServerFault::Reject | ServerFault::Crash => {
                stream.write_all(&whole)?;
            }
        }
        Ok(true)
    }
}

/// Has the connection reset when it closes, which its server does next.
fn reset(stream: &TcpStream) {
    // With no time to linger, closing resets; the error, if any, changes nothing.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
