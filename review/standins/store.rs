//! Stand-in for the platform's store: objects by kind and name, lists in pages of
//! 500, watches, and lists that may be stale.

use crate::http::{Message, answer};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE_ITEMS: usize = 500;

type Objects = BTreeMap<(String, String), Vec<u8>>;

#[derive(Default)]
struct State {
    revision: u64,
    objects: Objects,
    /// Revision, kind, event as JSON.
    history: Vec<(u64, String, Vec<u8>)>,
    /// Earlier states, for stale lists.
    snapshots: Vec<(Instant, u64, Objects)>,
    /// How old the pages of a stale list are: the first one, and those after it.
    stale_ages: [Duration; 2],
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            address: listener.local_addr()?,
        });
        let acceptor = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&acceptor);
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_stale_ages(&self, first: Duration, later: Duration) {
        self.state.lock().unwrap().stale_ages = [first, later];
    }

    /// Writes several objects of a kind; each is a name and its content as JSON.
    pub fn put_all(&self, kind: &str, objects: &[(String, Vec<u8>)]) {
        let mut state = self.state.lock().unwrap();
        for (name, spec) in objects {
            state.revision += 1;
            let meta = format!(
                "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"createdRev\":1,\
                 \"finalizers\":[],\"deletionRequested\":false}},\"spec\":",
                state.revision
            );
            let mut object = meta.into_bytes();
            object.extend_from_slice(spec);
            object.extend_from_slice(b",\"status\":null}");
            let key = (kind.to_owned(), name.clone());
            state.objects.insert(key, object.clone());
            record(&mut state, kind, &object, false);
        }
        snapshot(&mut state);
        drop(state);
        self.changed.notify_all();
    }

    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        self.put_all(kind, &[(name.to_owned(), spec.to_vec())]);
    }

    fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        record(&mut state, kind, &object, true);
        snapshot(&mut state);
        drop(state);
        self.changed.notify_all();
        true
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Message::read(&mut reader)? {
            let (status, body) = self.handle(&request);
            let headers = [("Content-Type", "application/json")];
            stream.write_all(&answer(status, &headers, &body))?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.second();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<&str, &str> = pairs.collect();
        let rest = path.strip_prefix("/v1/objects/").unwrap_or_default();
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let method = request.start.split(' ').next().unwrap_or_default();
        if method != "GET" {
            return self.write(method, kind, name, &request.body);
        }
        if let Some(after) = query.get("watch") {
            let wait = query.get("waitMs").and_then(|text| text.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            return (200, self.watch(kind, after.parse().unwrap_or(0), wait));
        }
        let after = query.get("after").copied().unwrap_or_default();
        (200, self.list(kind, after, query.contains_key("staleOk")))
    }

    /// The writes of the fronts, which carry `{"meta":{"name":N},"spec":S}`.
    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(body).into_owned();
        let after_name = text.split("\"name\":\"").nth(1).unwrap_or_default();
        let body_name = after_name.split('"').next().unwrap_or_default();
        let name = if name.is_empty() { body_name } else { name };
        let spec = text.split_once("\"spec\":").map(|(_, spec)| spec);
        let spec = spec
            .and_then(|spec| spec.strip_suffix('}'))
            .unwrap_or("null");
        let key = (kind.to_owned(), name.to_owned());
        let exists = self.state.lock().unwrap().objects.contains_key(&key);
        match (method, exists) {
            ("POST", true) => return (409, body.to_vec()),
            ("PUT" | "DELETE", false) => return (404, b"{}".to_vec()),
            ("DELETE", true) => drop(self.remove(kind, name)),
            _ => self.put(kind, name, spec.as_bytes()),
        }
        (200, body.to_vec())
    }

    fn list(&self, kind: &str, after: &str, may_be_stale: bool) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let (mut revision, mut objects) = (state.revision, &state.objects);
        if may_be_stale {
            let age = state.stale_ages[usize::from(!after.is_empty())];
            let at = Instant::now().checked_sub(age);
            let mut earlier = state.snapshots.iter().rev();
            let earlier = earlier.find(|(taken, ..)| at.is_some_and(|at| *taken <= at));
            if let Some((_, earlier_revision, earlier_objects)) = earlier {
                (revision, objects) = (*earlier_revision, earlier_objects);
            }
        }
        let of_kind = objects.iter().filter(|((other, _), _)| other == kind);
        let later: Vec<&[u8]> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object.as_slice())
            .collect();
        let mut body = b"{\"items\":[".to_vec();
        body.extend(later[..later.len().min(PAGE_ITEMS)].join(&b","[..]));
        let more = later.len() > PAGE_ITEMS;
        body.extend(format!("],\"more\":{more},\"atRev\":{revision}}}").bytes());
        body
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let of_kind = state
                .history
                .iter()
                .filter(|(revision, other, _)| *revision > after && other == kind);
            let events: Vec<&[u8]> = of_kind.map(|(_, _, event)| event.as_slice()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b","[..]));
                body.extend(format!("],\"atRev\":{}}}", state.revision).bytes());
                return body;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn record(state: &mut State, kind: &str, object: &[u8], deleted: bool) {
    let mut event = format!("{{\"deleted\":{deleted},\"object\":").into_bytes();
    event.extend_from_slice(object);
    event.push(b'}');
    let revision = state.revision;
    state.history.push((revision, kind.to_owned(), event));
}

fn snapshot(state: &mut State) {
    let taken = (Instant::now(), state.revision, state.objects.clone());
    state.snapshots.push(taken);
}
