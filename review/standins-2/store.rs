//! The platform's store: objects by kind and name, lists, watches, writes.
//!
//! Each front has a port of its own here, so that the store can tell the fronts apart.

use crate::http::{Message, response};
use crate::json::Json;
use std::collections::{BTreeMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE: usize = 500;

/// Rewrites what one front reads and writes.
pub type Rewrite = Arc<dyn Fn(&str, String) -> String + Send + Sync>;

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Json>,
    revision: u64,
    /// Revision, kind, event.
    history: Vec<(u64, String, Json)>,
    /// Fronts whose connections to the store are cut.
    cut: HashSet<String>,
    open: Vec<(String, TcpStream)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    rewrite: Mutex<Option<Rewrite>>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let state = State {
            revision: 100,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            rewrite: Mutex::new(None),
        })
    }

    /// Rewrites the text that goes to each front, given its name.
    pub fn set_rewrite(&self, rewrite: Rewrite) {
        *self.rewrite.lock().expect("rewrite") = Some(rewrite);
    }

    /// Opens a port for the front `name`.
    pub fn port(self: &Arc<Self>, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store port");
        let address = listener.local_addr().expect("store port");
        let (store, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, name) = (Arc::clone(&store), name.clone());
                thread::spawn(move || store.serve(&name, stream));
            }
        });
        address
    }

    /// Cuts a front off, or lets it reach the store again: its connections go silent, and
    /// new ones are accepted and not answered.
    pub fn set_cut(&self, name: &str, is_cut: bool) {
        let mut state = self.state.lock().expect("store");
        if is_cut {
            state.cut.insert(name.to_owned());
        } else {
            state.cut.remove(name);
            for (_, stream) in state.open.iter().filter(|(other, _)| other == name) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            state.open.retain(|(other, _)| other != name);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Creates or replaces an object; an equal one changes nothing.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        let mut state = self.state.lock().expect("store");
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|object| object.get("spec") == spec)
        {
            return;
        }
        state.revision += 1;
        let meta = Json::map(&[
            ("name", Json::text(name)),
            ("revision", Json::from(state.revision)),
            ("createdRev", Json::from(1)),
            ("finalizers", Json::List(Vec::new())),
            ("deletionRequested", Json::Bool(false)),
        ]);
        let object = Json::map(&[
            ("meta", meta),
            ("spec", spec.clone()),
            ("status", Json::Null),
        ]);
        state.objects.insert(key, object.clone());
        self.record(state, kind, object, false);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("store");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            self.record(state, kind, object, true);
        }
    }

    fn record(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        kind: &str,
        object: Json,
        deleted: bool,
    ) {
        let event = Json::map(&[("object", object), ("deleted", Json::Bool(deleted))]);
        let revision = state.revision;
        state.history.push((revision, kind.to_owned(), event));
        drop(state);
        self.changed.notify_all();
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().expect("store");
        let of_kind = state.objects.keys().filter(|(other, _)| other == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    fn is_cut(&self, name: &str) -> bool {
        self.state.lock().expect("store").cut.contains(name)
    }

    fn serve(&self, front: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let Ok(other) = stream.try_clone() else {
            return;
        };
        self.state
            .lock()
            .expect("store")
            .open
            .push((front.to_owned(), other));
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = Message::read(&mut reader, false) {
            if self.is_cut(front) {
                // Nothing comes back; the cut's end closes the connection.
                loop {
                    thread::sleep(Duration::from_millis(50));
                    if !self.is_cut(front) {
                        return;
                    }
                }
            }
            let (status, body) = self.answer(front, &request);
            if self.is_cut(front) {
                continue;
            }
            let mut text = body.to_string();
            if let Some(rewrite) = self.rewrite.lock().expect("rewrite").clone() {
                text = rewrite(front, text);
            }
            let headers = [("Store-Era", "1".to_owned())];
            if stream
                .write_all(&response(status, &headers, text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, front: &str, request: &Message) -> (u16, Json) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let rest = path.strip_prefix("/v1/objects/").unwrap_or("");
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match request.word(0) {
            "GET" if query.contains_key("watch") => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.watch(front, kind, number("watch").unwrap_or(0), wait)
            }
            "GET" if name.is_empty() => self.list(kind, query.get("after").unwrap_or(&"")),
            "GET" => {
                let state = self.state.lock().expect("store");
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.clone()),
                    None => (404, Json::Null),
                }
            }
            method => self.write(method, kind, name, &request.body),
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, Json) {
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let name = match name {
            "" => body.get("meta").get("name").as_text().to_owned(),
            other => other.to_owned(),
        };
        let key = (kind.to_owned(), name.clone());
        let exists = self.state.lock().expect("store").objects.contains_key(&key);
        match (method, exists) {
            ("POST", true) => (409, body),
            ("PUT" | "DELETE", false) => (404, Json::Null),
            ("DELETE", true) => {
                self.remove(kind, &name);
                (200, body)
            }
            _ => {
                self.put(kind, &name, body.get("spec"));
                (200, body)
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let state = self.state.lock().expect("store");
        let of_kind = state.objects.iter();
        let of_kind = of_kind.filter(|((other, name), _)| other == kind && name.as_str() > after);
        let items: Vec<Json> = of_kind.map(|(_, object)| object.clone()).collect();
        let more = Json::Bool(items.len() > PAGE);
        let items = Json::List(items.into_iter().take(PAGE).collect());
        let revision = Json::from(state.revision);
        (
            200,
            Json::map(&[("items", items), ("more", more), ("atRev", revision)]),
        )
    }

    fn watch(&self, front: &str, kind: &str, after: u64, wait: Duration) -> (u16, Json) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        loop {
            let later = state.history.iter();
            let later = later.filter(|(at, other, _)| *at > after && other == kind);
            let events: Vec<Json> = later.map(|(_, _, event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            let is_cut = state.cut.contains(front);
            if !is_cut && (!events.is_empty() || left.is_zero()) || is_cut && left.is_zero() {
                let revision = Json::from(state.revision);
                return (
                    200,
                    Json::map(&[("events", Json::List(events)), ("atRev", revision)]),
                );
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }
}
