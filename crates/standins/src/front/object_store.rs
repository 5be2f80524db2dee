//! Stand-in for the platform's object store: objects by kind and name, lists in
//! pages, watches from a revision, a history that can be forgotten, and faults.

use crate::front::http_message::{HttpMessage, response_bytes};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const PAGE: usize = 7;
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses with 503.
    Busy,
    /// It takes calls and answers nothing, not even those that wait already.
    Silent,
    /// It closes connections.
    Reset,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
    history: Vec<(u64, String, Value)>,
    /// Changes up to this revision are forgotten.
    floor: u64,
    fault: StoreFault,
    calls: u64,
}

/// What the store does with a call.
#[derive(Debug)]
enum StoreAnswer {
    Told(u16, Value),
    /// The connection closes without an answer.
    Closed,
}

/// The store.
#[derive(Debug, Default)]
pub struct ObjectStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl ObjectStore {
    /// Starts a store on a free port of loopback.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self::default());
        store.lock().revision = 100;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    // The caller closed; there is nobody to tell.
                    let _ = store.serve(stream);
                });
            }
        });
        Ok((store, address))
    }

    /// Sets how the store fails.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.changed.notify_all();
    }

    /// Calls answered or refused so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Creates or replaces an object, as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        let meta = json!({ "name": name, "revision": state.revision, "createdRev": 1,
            "finalizers": [], "deletionRequested": false });
        let object = json!({ "meta": meta, "spec": spec, "status": null });
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        self.note(
            &mut state,
            kind,
            json!({ "deleted": false, "object": object }),
        );
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            self.note(
                &mut state,
                kind,
                json!({ "deleted": true, "object": object }),
            );
        }
    }

    /// Forgets all history, and cuts the watches that wait.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.floor = state.revision + 1;
        state.revision += 1;
        state.history.clear();
        self.changed.notify_all();
    }

    fn note(&self, state: &mut StoreState, kind: &str, event: Value) {
        let revision = state.revision;
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpMessage::read(&mut reader)? {
            self.lock().calls += 1;
            let StoreAnswer::Told(status, body) = self.answer(&request)? else {
                return Ok(());
            };
            let bytes = response_bytes(status, &[], body.to_string().as_bytes());
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    fn answer(&self, request: &HttpMessage) -> io::Result<StoreAnswer> {
        if let Some(refusal) = self.wait_out_fault()? {
            return Ok(refusal);
        }
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<&str, &str> = pairs.collect();
        let kind = path.strip_prefix("/v1/objects/").unwrap_or_default();
        if let Some(revision) = query.get("watch").and_then(|text| text.parse().ok()) {
            let wait = query.get("waitMs").and_then(|text| text.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0)).min(LONGEST_WAIT);
            return self.watch(kind, revision, wait);
        }
        if !request.start_line.starts_with("GET") {
            let (status, body) = self.write(request, kind);
            return Ok(StoreAnswer::Told(status, body));
        }
        let after = query.get("after").unwrap_or(&"");
        Ok(StoreAnswer::Told(200, self.list(kind, after)))
    }

    /// POST creates, PUT replaces, DELETE removes.
    fn write(&self, request: &HttpMessage, path: &str) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let own_name = body["meta"]["name"].as_str().unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, own_name));
        let method = request.start_line.split(' ').next();
        match (method, self.has(kind, name)) {
            (Some("POST"), true) => return (409, body),
            (Some("PUT" | "DELETE"), false) => return (404, Value::Null),
            (Some("DELETE"), true) => self.remove(kind, name),
            _ => self.put(kind, name, &body["spec"]),
        }
        (200, body)
    }

    /// Whether there is such an object.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.contains_key(&key)
    }

    /// How many objects of a kind there are.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.lock();
        let of_kind = state.objects.keys().filter(|(other, _)| other == kind);
        of_kind.count()
    }

    /// None if the store works; else what it does with a call.
    fn wait_out_fault(&self) -> io::Result<Option<StoreAnswer>> {
        let mut state = self.lock();
        loop {
            match state.fault {
                StoreFault::None => return Ok(None),
                StoreFault::Busy => return Ok(Some(StoreAnswer::Told(503, Value::Null))),
                StoreFault::Reset => return Ok(Some(StoreAnswer::Closed)),
                StoreFault::Silent => {
                    let waited = self.changed.wait(state);
                    state = waited.unwrap_or_else(PoisonError::into_inner);
                    if state.fault != StoreFault::Silent {
                        // A call that was held is lost, like its answer.
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> Value {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
        let later: Vec<&Value> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object)
            .collect();
        let items: Vec<&&Value> = later.iter().take(PAGE).collect();
        json!({ "items": items, "more": later.len() > PAGE, "atRev": state.revision })
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> io::Result<StoreAnswer> {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            match state.fault {
                StoreFault::None => {}
                StoreFault::Busy | StoreFault::Reset => return Ok(StoreAnswer::Closed),
                StoreFault::Silent => {
                    drop(state);
                    let answer = self.wait_out_fault()?;
                    return Ok(answer.unwrap_or(StoreAnswer::Closed));
                }
            }
            if after < state.floor {
                return Ok(StoreAnswer::Told(410, Value::Null));
            }
            let news = state
                .history
                .iter()
                .filter(|(revision, _, _)| *revision > after);
            let events: Vec<&Value> = news
                .filter(|(_, other, _)| other == kind)
                .map(|(_, _, event)| event)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Ok(StoreAnswer::Told(
                    200,
                    json!({ "events": events, "atRev": state.revision }),
                ));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
