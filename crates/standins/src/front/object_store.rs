//! Stand-in for the platform's object store: objects by kind and name, lists in
//! pages, watches from a revision, a history that can be discarded, a return from an
//! older copy, and faults.

use crate::front::http_message::{HttpMessage, response_bytes};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const PAGE_SIZE: usize = 7;
/// Stands in a value for bytes that are not UTF-8.
pub const NOT_TEXT: char = '\u{f8ff}';
const NOT_TEXT_BYTES: &[u8] = b"\xff\xfe";
const MAX_WAIT: Duration = Duration::from_secs(30);
const ERA_HEADER: &str = "Store-Era";

/// The fault that the store injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// Calls are refused with 503.
    Busy,
    /// No call is answered, not even one that waits already.
    Silent,
    /// Connections are closed without an answer.
    Reset,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
    history: Vec<(u64, String, Value)>,
    /// Watches from an earlier revision get 410.
    min_watch_revision: u64,
    fault: StoreFault,
    calls: u64,
    /// Rises each time the store comes back from an older copy.
    era: u64,
    /// Whether answers name the era.
    names_era: bool,
    /// The state from which lists that may be stale are answered, if not the newest.
    stale: Option<StoreSnapshot>,
}

/// All that the store holds at one moment, from which it can come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
    history: Vec<(u64, String, Value)>,
}

/// The objects at one revision.
#[derive(Clone, Debug)]
struct StoreSnapshot {
    objects: BTreeMap<(String, String), Value>,
    revision: u64,
    pages: StalePages,
}

/// The pages of a list that are stale.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StalePages {
    /// All of them.
    All,
    /// All but the first.
    Later,
}

/// The result of a call.
#[derive(Debug)]
enum CallResult {
    Response(u16, Value),
    /// The connection closes without an answer.
    Closed,
}

/// An object store.
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
        let first = StoreState {
            revision: 100,
            era: 1,
            names_era: true,
            ..StoreState::default()
        };
        *store.lock() = first;
        let acceptor = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&acceptor);
                thread::spawn(move || {
                    // The caller closed the connection.
                    let _ = store.serve(stream);
                });
            }
        });
        Ok((store, address))
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.changed.notify_all();
    }

    /// Answers lists that may be stale from the state of now until the next call of
    /// this function or of [`Self::refresh_stale_lists`].
    pub fn hold_stale_lists(&self, pages: StalePages) {
        let mut state = self.lock();
        state.stale = Some(StoreSnapshot {
            objects: state.objects.clone(),
            revision: state.revision,
            pages,
        });
    }

    /// Answers lists that may be stale from the newest state again.
    pub fn refresh_stale_lists(&self) {
        self.lock().stale = None;
    }

    /// Copies all that the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            objects: state.objects.clone(),
            revision: state.revision,
            history: state.history.clone(),
        }
    }

    /// Comes back from an older copy: what was written since is lost, its revisions are
    /// given out again, and the era rises by one. Calls that wait get no answer.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.objects.clone_from(&copy.objects);
        state.history.clone_from(&copy.history);
        state.revision = copy.revision;
        state.stale = None;
        state.era += 1;
        self.changed.notify_all();
    }

    /// Leaves the era out of all answers from now on.
    pub fn hide_era(&self) {
        self.lock().names_era = false;
    }

    /// The store's revision.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Creates or replaces an object, as an operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.put_named(kind, name, &json!(name), spec);
    }

    /// Creates or replaces an object whose name is sent as a number.
    pub fn put_unnamed(&self, kind: &str, name: &str, spec: &Value) {
        self.put_named(kind, name, &json!(7), spec);
    }

    fn put_named(&self, kind: &str, name: &str, sent_name: &Value, spec: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        let meta = json!({ "name": sent_name, "revision": state.revision, "createdRev": 1,
            "finalizers": [], "deletionRequested": false });
        let object = json!({ "meta": meta, "spec": spec, "status": null });
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        self.record_event(
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
            self.record_event(
                &mut state,
                kind,
                json!({ "deleted": true, "object": object }),
            );
        }
    }

    /// Discards the history, so that older watches, also waiting ones, get 410.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.min_watch_revision = state.revision + 1;
        state.revision += 1;
        state.history.clear();
        self.changed.notify_all();
    }

    fn record_event(&self, state: &mut StoreState, kind: &str, event: Value) {
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
            let era = {
                let mut state = self.lock();
                state.calls += 1;
                state.era
            };
            let CallResult::Response(status, body) = self.answer(&request)? else {
                return Ok(());
            };
            let names_era = {
                let state = self.lock();
                if state.era != era {
                    // The store was away meanwhile.
                    return Ok(());
                }
                state.names_era
            };
            let era = era.to_string();
            let headers = [(ERA_HEADER, era.as_str())];
            let headers = &headers[..usize::from(names_era)];
            stream.write_all(&response_bytes(status, headers, &body_bytes(&body)))?;
        }
        Ok(())
    }

    fn answer(&self, request: &HttpMessage) -> io::Result<CallResult> {
        if let Some(result) = self.wait_for_fault_result()? {
            return Ok(result);
        }
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<&str, &str> = pairs.collect();
        let kind = path.strip_prefix("/v1/objects/").unwrap_or_default();
        if let Some(revision) = query.get("watch").and_then(|text| text.parse().ok()) {
            let wait = query.get("waitMs").and_then(|text| text.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
            return self.watch(kind, revision, wait);
        }
        if !request.start_line.starts_with("GET") {
            let (status, body) = self.write(request, kind);
            return Ok(CallResult::Response(status, body));
        }
        let after = query.get("after").unwrap_or(&"");
        let after = percent_decode_str(after).decode_utf8_lossy();
        let may_be_stale = query.get("staleOk") == Some(&"1");
        let page = self.list(kind, &after, may_be_stale);
        Ok(CallResult::Response(200, page))
    }

    /// Handles a write: POST creates, PUT replaces, DELETE removes.
    fn write(&self, request: &HttpMessage, path: &str) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let body_name = body["meta"]["name"].as_str().unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, body_name));
        let method = request.start_line.split(' ').next();
        match (method, self.contains(kind, name)) {
            (Some("POST"), true) => return (409, body),
            (Some("PUT" | "DELETE"), false) => return (404, Value::Null),
            (Some("DELETE"), true) => self.remove(kind, name),
            _ => self.put(kind, name, &body["spec"]),
        }
        (200, body)
    }

    /// Whether the object exists.
    pub fn contains(&self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.contains_key(&key)
    }

    /// Number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.lock();
        let of_kind = state.objects.keys().filter(|(other, _)| other == kind);
        of_kind.count()
    }

    /// The fault's result for a call, none if the store works; waits under
    /// [`StoreFault::Silent`].
    fn wait_for_fault_result(&self) -> io::Result<Option<CallResult>> {
        let mut state = self.lock();
        loop {
            match state.fault {
                StoreFault::None => return Ok(None),
                StoreFault::Busy => return Ok(Some(CallResult::Response(503, Value::Null))),
                StoreFault::Reset => return Ok(Some(CallResult::Closed)),
                StoreFault::Silent => {
                    let waited = self.changed.wait(state);
                    state = waited.unwrap_or_else(PoisonError::into_inner);
                    if state.fault != StoreFault::Silent {
                        // A call received during the silence has no effect and no
                        // answer.
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
            }
        }
    }

    fn list(&self, kind: &str, after: &str, may_be_stale: bool) -> Value {
        let state = self.lock();
        let (objects, revision) = match &state.stale {
            Some(snapshot)
                if may_be_stale && (snapshot.pages == StalePages::All || !after.is_empty()) =>
            {
                (&snapshot.objects, snapshot.revision)
            }
            Some(_) | None => (&state.objects, state.revision),
        };
        let of_kind = objects.iter().filter(|((other, _), _)| other == kind);
        let later: Vec<&Value> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object)
            .collect();
        let items: Vec<&&Value> = later.iter().take(PAGE_SIZE).collect();
        json!({ "items": items, "more": later.len() > PAGE_SIZE, "atRev": revision })
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> io::Result<CallResult> {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.era != era {
                return Ok(CallResult::Closed);
            }
            match state.fault {
                StoreFault::None => {}
                StoreFault::Busy | StoreFault::Reset => return Ok(CallResult::Closed),
                StoreFault::Silent => {
                    drop(state);
                    let answer = self.wait_for_fault_result()?;
                    return Ok(answer.unwrap_or(CallResult::Closed));
                }
            }
            if after < state.min_watch_revision || after > state.revision {
                return Ok(CallResult::Response(410, Value::Null));
            }
            let later_changes = state
                .history
                .iter()
                .filter(|(revision, _, _)| *revision > after);
            let events: Vec<&Value> = later_changes
                .filter(|(_, other, _)| other == kind)
                .map(|(_, _, event)| event)
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                return Ok(CallResult::Response(
                    200,
                    json!({ "events": events, "atRev": state.revision }),
                ));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Writes a body, with bytes that are not UTF-8 for each [`NOT_TEXT`].
fn body_bytes(body: &Value) -> Vec<u8> {
    let text = body.to_string();
    let parts: Vec<&[u8]> = text.split(NOT_TEXT).map(str::as_bytes).collect();
    parts.join(NOT_TEXT_BYTES)
}
