//! A whole deployment on loopback: the object store and backend servers on
//! threads, and fronts as processes.

use crate::fleet::{FleetProcess, free_address, wait_for};
use crate::front::http_message::HttpMessage;
use crate::front::object_store::ObjectStore;
use crate::front::signed_server::SignedServer;
use crate::front::tcp_proxy::TcpProxy;
use camphorway_model::VmName;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The host name of all routes.
pub const HOST: &str = "portal.example";
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_BUDGET: &str = "ratio = 0.2\nallowance = 5\n";
const DEFAULT_MAX_BODY_BYTES: usize = 4_096;
const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

type SpawnProgram = fn(&Path, &[&str], &Path) -> io::Result<FleetProcess>;

/// A deployment under test.
#[derive(Debug)]
pub struct FrontTestbed {
    /// The object store.
    pub store: Arc<ObjectStore>,
    /// The backend servers of each service.
    pub servers: Vec<Vec<Arc<SignedServer>>>,
    /// The front processes.
    pub fronts: Vec<TestbedFront>,
    /// The proxies in front of the servers, if any.
    pub server_proxies: Vec<Arc<TcpProxy>>,
    /// The proxy in front of the store, if any.
    pub store_proxy: Option<Arc<TcpProxy>>,
    /// The fronts' log level from their next start on.
    pub log_level: &'static str,
    /// The fronts' `[budget]` settings, which limit extra calls, from their next start
    /// on.
    pub budget: &'static str,
    /// Requests a second that a cold server bears, from the next configuration on; 0 if
    /// there is no limit.
    pub cold_limit: f64,
    /// The fronts' further settings, from their next start on.
    pub further_settings: &'static str,
    /// The workspaces of configurations written from now on; `Null` for none.
    pub workspaces: Value,
    /// The largest body that the next configuration allows.
    pub max_body_bytes: usize,
    /// The largest head that the next configuration allows.
    pub max_header_bytes: usize,
    /// The registered address of each server.
    registered_addresses: BTreeMap<String, SocketAddr>,
    store_address: SocketAddr,
    directory: PathBuf,
    binary: PathBuf,
    version: u64,
    /// The newest configuration that was written.
    configuration: Value,
    /// The newest registration of each server that was written.
    registrations: Mutex<BTreeMap<String, Value>>,
    /// The number in the next registration, which rises with each.
    next_sequence: AtomicU64,
}

/// A front process and its addresses.
#[derive(Debug)]
pub struct TestbedFront {
    /// The process.
    pub process: FleetProcess,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for readiness and metrics.
    pub readiness_address: SocketAddr,
    /// The address for other fronts.
    pub peer_address: SocketAddr,
    /// The front's failure domain.
    pub domain: String,
    /// The address at which the front reaches the store.
    pub store_address: SocketAddr,
    /// The front's own proxy in front of the store, if any.
    pub store_proxy: Option<Arc<TcpProxy>>,
}

impl FrontTestbed {
    /// Starts a store, `services` services of three servers each, one in each
    /// failure domain, and `fronts` fronts that run `binary`. The first
    /// configuration has the routes of [`Self::routes`].
    ///
    /// # Errors
    /// Returns the system's error, or one if a front does not become ready.
    pub fn start(binary: &Path, services: usize, fronts: usize) -> io::Result<Self> {
        Self::start_with(binary, services, fronts, false)
    }

    /// Like [`Self::start`], with a proxy in front of the store and of each server.
    ///
    /// # Errors
    /// Returns the system's error, or one if a front does not become ready.
    pub fn start_proxied(binary: &Path, services: usize, fronts: usize) -> io::Result<Self> {
        Self::start_with(binary, services, fronts, true)
    }

    fn start_with(
        binary: &Path,
        services: usize,
        fronts: usize,
        is_proxied: bool,
    ) -> io::Result<Self> {
        let (store, store_address) = ObjectStore::start()?;
        let directory = std::env::temp_dir().join(format!("routed-{}", free_address().port()));
        fs::create_dir_all(&directory)?;
        let mut testbed = Self {
            store,
            servers: Vec::new(),
            fronts: Vec::new(),
            server_proxies: Vec::new(),
            store_proxy: None,
            log_level: "info",
            budget: DEFAULT_BUDGET,
            cold_limit: 0.0,
            further_settings: "",
            workspaces: Value::Null,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            registered_addresses: BTreeMap::new(),
            store_address,
            directory,
            binary: binary.to_owned(),
            version: 0,
            configuration: Value::Null,
            registrations: Mutex::default(),
            next_sequence: AtomicU64::new(1),
        };
        if is_proxied {
            let proxy = TcpProxy::start(store_address)?;
            testbed.store_address = proxy.address;
            testbed.store_proxy = Some(proxy);
        }
        for service in 0..services {
            let mut servers = Vec::new();
            for (index, domain) in DOMAINS.iter().enumerate() {
                let name = format!("i-{service}-{index}");
                let server = SignedServer::start(&name, records(service))?;
                testbed.registered_addresses.insert(name, server.address);
                if is_proxied {
                    let proxy = TcpProxy::start(server.address)?;
                    testbed
                        .registered_addresses
                        .insert(server.name.clone(), proxy.address);
                    testbed.server_proxies.push(proxy);
                }
                testbed.register(&server, &service_name(service), domain, "ready");
                servers.push(server);
            }
            testbed.servers.push(servers);
        }
        testbed.configure(&testbed.routes());
        for index in 0..fronts {
            testbed.add_front(DOMAINS[index % DOMAINS.len()])?;
        }
        testbed.wait_ready()?;
        Ok(testbed)
    }

    /// Starts one more front without waiting for it.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn add_front(&mut self, domain: &str) -> io::Result<()> {
        self.add(domain, FleetProcess::spawn)
    }

    /// Starts one more front whose output is never read.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn add_front_with_unread_output(&mut self, domain: &str) -> io::Result<()> {
        self.add(domain, FleetProcess::spawn_with_unread_output)
    }

    /// Starts one more front, which reaches the store through a proxy of its own.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn add_front_with_store_proxy(&mut self, domain: &str) -> io::Result<()> {
        let proxy = TcpProxy::start(self.store_address)?;
        let addresses = [free_address(), free_address(), free_address()];
        let mut front = self.spawn(domain, addresses, proxy.address, FleetProcess::spawn)?;
        front.store_proxy = Some(proxy);
        self.fronts.push(front);
        Ok(())
    }

    fn add(&mut self, domain: &str, spawn: SpawnProgram) -> io::Result<()> {
        let addresses = [free_address(), free_address(), free_address()];
        let front = self.spawn(domain, addresses, self.store_address, spawn)?;
        self.fronts.push(front);
        Ok(())
    }

    /// Kills a front, if it still runs, and starts it again at its addresses.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn restart_front(&mut self, front: usize) -> io::Result<()> {
        self.fronts[front].process.kill();
        let TestbedFront {
            caller_address,
            readiness_address,
            peer_address,
            store_address,
            ..
        } = self.fronts[front];
        let domain = self.fronts[front].domain.clone();
        let store_proxy = self.fronts[front].store_proxy.take();
        let addresses = [caller_address, readiness_address, peer_address];
        let restarted = self.spawn(&domain, addresses, store_address, FleetProcess::spawn)?;
        self.fronts[front] = TestbedFront {
            store_proxy,
            ..restarted
        };
        Ok(())
    }

    fn spawn(
        &self,
        domain: &str,
        [caller_address, readiness_address, peer_address]: [SocketAddr; 3],
        store_address: SocketAddr,
        spawn: SpawnProgram,
    ) -> io::Result<TestbedFront> {
        let settings = self
            .directory
            .join(format!("front-{}.ini", caller_address.port()));
        let mut text = format!(
            "[front]\nvm = vm-{}\nfailure-domain = {domain}\ncallers = {caller_address}\n\
             readiness = {readiness_address}\npeers = {}\nlog-level = {}\n[store]\naddress = {}\n\
             [bounds]\nin-force-ms = 3000\nleave-ms = 3000\n[stop]\ngrace-ms = 4000\n[budget]\n{}{}[regions]\n",
            caller_address.port(),
            peer_address,
            self.log_level,
            store_address,
            self.budget,
            self.further_settings
        );
        for domain in DOMAINS {
            // Writing to memory can't fail.
            let _ = writeln!(text, "{domain} = region-{domain}");
        }
        fs::write(&settings, text)?;
        let arguments = ["--front", "--settings", &settings.display().to_string()];
        let process = spawn(&self.binary, &arguments, &self.directory)?;
        Ok(TestbedFront {
            process,
            domain: domain.to_owned(),
            caller_address,
            readiness_address,
            peer_address,
            store_address,
            store_proxy: None,
        })
    }

    /// Waits until all fronts are ready.
    ///
    /// # Errors
    /// Returns an error on a timeout.
    pub fn wait_ready(&self) -> io::Result<()> {
        for front in &self.fronts {
            wait_for(|| front.is_ready(), "a front to be ready")?;
        }
        Ok(())
    }

    /// A route to each service (`/s0/`), one that merges all (`/all/`), and one to
    /// the first service for requests that run at most once (`/once/`).
    pub fn routes(&self) -> Vec<Value> {
        let count = self.servers.len();
        let names: Vec<String> = (0..count).map(service_name).collect();
        let mut routes: Vec<Value> = names
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let mut route = route(&format!("/s{index}/"), "idempotent");
                route["service"] = json!(name);
                route
            })
            .collect();
        let mut once = route("/once/", "non_idempotent");
        once["service"] = json!(names[0]);
        let mut all = route("/all/", "idempotent");
        all["gather"] = json!(names);
        all["topK"] = json!(4);
        all["minShare"] = json!(0.6);
        routes.extend([once, all]);
        routes
    }

    /// Writes the next configuration and returns its version.
    pub fn configure(&mut self, routes: &[Value]) -> u64 {
        self.version += 3;
        let services: Vec<Value> = (0..self.servers.len())
            .map(|service| {
                json!({ "name": service_name(service), "healthPath": "/health",
                    "maxConns": 26, "protocol": "h1", "tls": false,
                    "warmupS": 3.0, "warmupPerS": self.cold_limit })
            })
            .collect();
        let limits = json!({ "maxHeaderBytes": self.max_header_bytes, "maxBodyBytes": self.max_body_bytes,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 });
        let mut spec = json!({ "version": self.version, "routes": routes,
            "services": services, "limits": limits });
        if !self.workspaces.is_null() {
            spec["tenants"] = self.workspaces.clone();
        }
        self.store.put("config", "main", &spec);
        self.configuration = spec;
        self.version
    }

    /// Writes the newest configuration again, as the operator does once a store that
    /// was away has lost it.
    pub fn configure_again(&self) {
        self.store.put("config", "main", &self.configuration);
    }

    /// Writes the newest configuration and registrations again, as their writers do once
    /// a store that was away has lost them.
    pub fn write_again(&self) {
        self.configure_again();
        for (name, spec) in self.lock_registrations().iter_mut() {
            spec["seq"] = json!(self.next_sequence.fetch_add(1, Ordering::Relaxed));
            self.store.put("servers", name, spec);
        }
    }

    fn lock_registrations(&self) -> MutexGuard<'_, BTreeMap<String, Value>> {
        let locked = self.registrations.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a server's registration.
    pub fn register(&self, server: &SignedServer, service: &str, domain: &str, state: &str) {
        self.register_cold(server, service, domain, state, Duration::ZERO);
    }

    /// Writes a server's registration, which says that it stays cold for a time.
    pub fn register_cold(
        &self,
        server: &SignedServer,
        service: &str,
        domain: &str,
        state: &str,
        cold_for: Duration,
    ) {
        let address = self
            .registered_addresses
            .get(&server.name)
            .unwrap_or(&server.address);
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let spec = json!({ "service": service, "address": address, "zone": domain,
            "version": "v1", "slots": 2, "state": state, "warmupLeftMs": cold_for.as_millis() as u64,
            "seq": sequence,
            "born": server.incarnation() });
        self.store.put("servers", &server.name, &spec);
        self.lock_registrations().insert(server.name.clone(), spec);
    }

    /// Sends a request to a front and returns the answer.
    ///
    /// # Errors
    /// Returns the system's error, or one if the answer is incomplete.
    pub fn send_request(
        &self,
        front: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> io::Result<HttpMessage> {
        self.fronts[front].send_request(method, path, id, 1_000)
    }

    /// Number of times that servers ran the request.
    pub fn run_count(&self, id: &str) -> usize {
        self.run_counts().get(id).copied().unwrap_or_default()
    }

    /// How many times servers ran each request; those that ran none are left out.
    pub fn run_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for server in self.servers.iter().flatten() {
            for arrival in server.arrivals().iter().filter(|arrival| arrival.ran) {
                *counts.entry(arrival.request.clone()).or_default() += 1;
            }
        }
        counts
    }
}

impl Drop for FrontTestbed {
    fn drop(&mut self) {
        // On an error the directory stays among the temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl TestbedFront {
    /// The name of the front's VM.
    pub fn vm(&self) -> VmName {
        VmName::new(&format!("vm-{}", self.caller_address.port()))
    }

    /// Whether the front reports that it is ready.
    pub fn is_ready(&self) -> bool {
        exchange(
            self.readiness_address,
            b"GET /v1/ready HTTP/1.1\r\nHost: f\r\n\r\n",
        )
        .is_ok_and(|answer| answer.status() == 200)
    }

    /// Reads the front's metrics.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn metrics(&self) -> io::Result<String> {
        let answer = exchange(
            self.readiness_address,
            b"GET /metrics HTTP/1.1\r\nHost: f\r\n\r\n",
        )?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends a request over a new connection and returns the answer.
    ///
    /// # Errors
    /// Returns the system's error, or one if the answer is incomplete.
    pub fn send_request(
        &self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<HttpMessage> {
        exchange(
            self.caller_address,
            request_text(method, path, id, deadline_ms).as_bytes(),
        )
    }

    /// Sends a request with further header lines, each with its end, over a new
    /// connection and returns the answer.
    ///
    /// # Errors
    /// Returns the system's error, or one if the answer is incomplete.
    pub fn send_with_headers(&self, path: &str, id: &str, lines: &str) -> io::Result<HttpMessage> {
        let text = request_text("GET", path, id, 1_000);
        let text = text.replacen("\r\n", &format!("\r\n{lines}"), 1);
        exchange(self.caller_address, text.as_bytes())
    }
}

/// Formats a request without a body.
pub fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends bytes over a new connection and reads one answer.
///
/// # Errors
/// Returns the system's error, or one if the answer is incomplete.
pub fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<HttpMessage> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(request)?;
    let answer = HttpMessage::read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A caller's connection, reused until the other side ends it.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    read_timeout: Duration,
    reader: Option<BufReader<TcpStream>>,
}

impl PersistentConnection {
    /// Connects to `address` with the first request; reads time out after
    /// `read_timeout`.
    pub fn new(address: SocketAddr, read_timeout: Duration) -> Self {
        Self {
            address,
            read_timeout,
            reader: None,
        }
    }

    /// Sends a request and reads its answer. After an error or an answer with
    /// `connection: close` the next request opens a new connection.
    ///
    /// # Errors
    /// Returns the system's error, or one if the answer is incomplete.
    pub fn send_request(&mut self, request: &str) -> io::Result<HttpMessage> {
        let mut reader = if let Some(reader) = self.reader.take() {
            reader
        } else {
            let stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(self.read_timeout))?;
            BufReader::new(stream)
        };
        reader.get_mut().write_all(request.as_bytes())?;
        let answer = HttpMessage::read(&mut reader)?;
        let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer.header("connection") != "close" {
            self.reader = Some(reader);
        }
        Ok(answer)
    }
}

/// The name of the service with this index.
pub fn service_name(service: usize) -> String {
    format!("service{service}")
}

/// The records that the servers of a service answer with.
pub fn records(service: usize) -> Vec<[u8; 16]> {
    (0..5_u8)
        .map(|number| [number * 40 + service as u8; 16])
        .collect()
}

fn route(prefix: &str, kind: &str) -> Value {
    json!({ "name": format!("route{}", prefix.replace('/', "-")), "host": HOST,
        "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "goalMs": 200,
        "priority": 0, "attempts": 2 })
}
