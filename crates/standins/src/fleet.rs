//! A small fleet of processes on loopback: platform, backend servers and daemons.
//! Each is killed by its id when the fleet is dropped.

mod ports;
mod process;

pub use ports::{free_address, wait_for};
pub use process::{FleetProcess, kill_started_processes};

use crate::http::{self, HttpReply};
use crate::load::{LoadStream, new_request_id, query_request};
use crate::relay::{self, RelayControl};
use crate::shape::FleetShape;
use crate::{certificates, shape};
use camphorway_model::{CheckedConfiguration, HeadObject, PartReference};
use hyper::Method;
use process::spawn_standin;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(0);

/// The settings of a fleet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is one property of the fleet"
)]
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The inventory and rules.
    pub shape: FleetShape,
    /// Daemons in each failure domain.
    pub daemons: usize,
    /// Whether each backend server has a separate process.
    pub separate_servers: bool,
    /// Snapshots that the servers hold and the layouts list.
    pub snapshots: Vec<u64>,
    /// Median duration of a call.
    pub delay: Duration,
    /// Lines of the daemons' `[limits]` settings.
    pub limits: String,
    /// The daemons' log level.
    pub log_level: &'static str,
    /// Traffic threads of each daemon.
    pub traffic_threads: usize,
    /// Whether [`Fleet::start`] writes the configuration into the store.
    pub configure: bool,
    /// Whether the backend servers are started.
    pub run_servers: bool,
    /// Whether daemons reach each other through relays, which can partition domains.
    pub use_relays: bool,
}

impl FleetSpec {
    /// A fleet with one daemon in each domain of `shape`.
    pub fn new(shape: FleetShape) -> Self {
        Self {
            shape,
            daemons: 1,
            separate_servers: false,
            snapshots: vec![1],
            delay: Duration::from_millis(2),
            limits: "balancer-lag-ms = 500\n".to_owned(),
            log_level: "info",
            traffic_threads: 1,
            configure: true,
            run_servers: true,
            use_relays: false,
        }
    }
}

/// A daemon of the fleet.
#[derive(Debug)]
pub struct FleetDaemon {
    /// The VM's name.
    pub vm: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address at which other daemons reach it.
    pub advertised_address: SocketAddr,
    /// The address at which it listens for other daemons.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub admin_address: SocketAddr,
    /// The path of the settings file.
    pub settings: PathBuf,
    /// The process; none if not running.
    pub process: Option<FleetProcess>,
}

/// A process of backend servers.
#[derive(Debug)]
pub struct FleetServers {
    /// The servers' names.
    pub names: Vec<String>,
    /// The address of the control port.
    pub control_address: SocketAddr,
    /// The process.
    pub process: FleetProcess,
}

impl FleetServers {
    /// Waits until the control port answers. The error contains the process's output.
    fn wait_ready(&mut self) -> io::Result<()> {
        let control = self.control_address;
        let ready = wait_for(|| http::get(control, "/counts").is_ok(), "backend servers");
        ready.map_err(|error| {
            let exit_code = self.process.wait(Duration::ZERO);
            let output = self.process.log();
            io::Error::other(format!(
                "{error}: control port {control}, exit code {exit_code:?}, output {output:?}"
            ))
        })
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The fleet's settings.
    pub spec: FleetSpec,
    /// The daemons.
    pub daemons: Vec<FleetDaemon>,
    /// The processes of the backend servers.
    pub servers: Vec<FleetServers>,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// The platform's process.
    pub platform_process: FleetProcess,
    /// The initial inventory.
    pub inventory: String,
    /// The control of the relays, if any.
    pub relays: Arc<RelayControl>,
    /// The directory of settings, certificates and logs.
    pub directory: PathBuf,
    binary_directory: PathBuf,
    generation: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.relays.stop();
        for daemon in &mut self.daemons {
            daemon.process = None;
        }
        // Kept for its logs if the test fails.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready.
    ///
    /// # Errors
    /// Returns an error if a process does not start or become ready.
    pub fn start(spec: FleetSpec) -> io::Result<Self> {
        let binary_directory = find_binary_directory()?;
        let directory = create_directory()?;
        certificates::write(&directory)?;
        let platform_address = free_address();
        let platform_process = spawn_standin(
            &binary_directory,
            &directory,
            "platform",
            &["--listen", &platform_address.to_string()],
        )?;
        wait_for(
            || http::get(platform_address, "/counts").is_ok(),
            "platform",
        )?;
        let ports: Vec<u16> = (0..spec.shape.server_count())
            .map(|_| free_address().port())
            .collect();
        let inventory = spec.shape.inventory(&ports);
        fs::write(directory.join("inventory.ini"), &inventory)?;
        let mut fleet = Self {
            daemons: Vec::new(),
            servers: Vec::new(),
            platform_address,
            platform_process,
            inventory: inventory.clone(),
            relays: Arc::default(),
            directory,
            binary_directory,
            generation: 0,
            spec,
        };
        if fleet.spec.run_servers {
            fleet.start_servers()?;
        }
        fleet.add_daemons()?;
        fleet.write_vm_list(&[])?;
        if fleet.spec.configure {
            fleet.write_layouts(&fleet.spec.snapshots.clone())?;
            fleet.apply(&inventory)?;
        }
        for index in 0..fleet.daemons.len() {
            fleet.start_daemon(index)?;
        }
        if fleet.spec.configure {
            fleet.wait_ready()?;
        }
        Ok(fleet)
    }

    fn start_servers(&mut self) -> io::Result<()> {
        let inventory = self.inventory.clone();
        let configuration = CheckedConfiguration::parse(&[("inventory", &inventory)])
            .map_err(|faults| io::Error::other(format!("{faults:?}")))?;
        let servers = configuration.inventory.servers.values();
        let groups: Vec<Vec<String>> = if self.spec.separate_servers {
            servers
                .map(|server| vec![server.name.to_string()])
                .collect()
        } else {
            let of_domain = |domain: &String| {
                let in_domain = servers
                    .clone()
                    .filter(|server| server.domain.as_str() == domain);
                in_domain.map(|server| server.name.to_string()).collect()
            };
            self.spec.shape.domains.iter().map(of_domain).collect()
        };
        for names in groups.into_iter().filter(|names| !names.is_empty()) {
            let servers = self.spawn_servers(names)?;
            self.servers.push(servers);
        }
        for servers in &mut self.servers {
            servers.wait_ready()?;
        }
        Ok(())
    }

    fn spawn_servers(&self, names: Vec<String>) -> io::Result<FleetServers> {
        let control_address = free_address();
        let snapshots: Vec<String> = self
            .spec
            .snapshots
            .iter()
            .map(ToString::to_string)
            .collect();
        let inventory = self.directory.join("inventory.ini");
        let arguments = [
            "--control",
            &control_address.to_string(),
            "--inventory",
            &inventory.display().to_string(),
            "--only",
            &names.join(","),
            "--snapshots",
            &snapshots.join("+"),
            "--delay-us",
            &self.spec.delay.as_micros().to_string(),
        ];
        let process = spawn_standin(
            &self.binary_directory,
            &self.directory,
            "servers",
            &arguments,
        )?;
        Ok(FleetServers {
            names,
            control_address,
            process,
        })
    }

    /// Restarts a process of backend servers.
    ///
    /// # Errors
    /// Returns an error if the process does not start or become ready.
    pub fn restart_servers(&mut self, index: usize) -> io::Result<()> {
        let names = self.servers[index].names.clone();
        self.servers[index].process.kill();
        self.servers[index] = self.spawn_servers(names)?;
        self.servers[index].wait_ready()
    }

    fn add_daemons(&mut self) -> io::Result<()> {
        let domains = self.spec.shape.domains.clone();
        let mut peers = Vec::new();
        for domain in &domains {
            for number in 1..=self.spec.daemons {
                let vm = format!("{domain}-entry-{number}");
                let peer_address = free_address();
                let advertised_address = if self.spec.use_relays {
                    let advertised_address = free_address();
                    relay::start(&self.relays, advertised_address, peer_address, domain)?;
                    advertised_address
                } else {
                    peer_address
                };
                let daemon = FleetDaemon {
                    settings: self.directory.join(format!("{vm}.ini")),
                    vm,
                    domain: domain.clone(),
                    caller_address: free_address(),
                    advertised_address,
                    peer_address,
                    admin_address: free_address(),
                    process: None,
                };
                peers.push(daemon.advertised_address.to_string());
                self.daemons.push(daemon);
            }
        }
        for daemon in &self.daemons {
            fs::write(
                &daemon.settings,
                self.settings_text(daemon, &peers.join(", ")),
            )?;
        }
        Ok(())
    }

    fn settings_text(&self, daemon: &FleetDaemon, seeds: &str) -> String {
        let directory = self.directory.display();
        format!(
            "[daemon]\nvm = {}\nfailure-domain = {}\ncaller-address = {}\npeer-address = {}\nadvertised-address = {}\nadmin-address = {}\n\
             traffic-threads = {}\nlog-level = {}\nseeds = {seeds}\n\n[store]\naddress = {}\n\n\
             [tls]\nca-file = {directory}/ca.pem\ncertificate-file = {directory}/daemon.pem\nkey-file = {directory}/daemon.key\n\n\
             [limits]\n{}",
            daemon.vm,
            daemon.domain,
            daemon.caller_address,
            daemon.peer_address,
            daemon.advertised_address,
            daemon.admin_address,
            self.spec.traffic_threads,
            self.spec.log_level,
            self.platform_address,
            self.spec.limits
        )
    }

    /// Starts a daemon that is not running.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let daemon = &mut self.daemons[index];
        let log = self.directory.join(format!("{}.log", daemon.vm));
        let file = File::options().create(true).append(true).open(&log)?;
        let child = ports::spawn_without_probing(
            Command::new(self.binary_directory.join("camphorwayd"))
                .arg("--settings")
                .arg(&daemon.settings)
                .stdin(Stdio::null())
                .stdout(file.try_clone()?)
                .stderr(file),
        )?;
        daemon.process = Some(FleetProcess::new(child, log));
        Ok(())
    }

    /// Waits until every running daemon is ready, sees the others as alive and has
    /// the last configuration.
    ///
    /// # Errors
    /// Returns an error on a timeout.
    pub fn wait_ready(&self) -> io::Result<()> {
        let running: Vec<&FleetDaemon> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
            .collect();
        for daemon in &running {
            let daemon_count = running.len();
            wait_for(
                || is_ready(daemon, daemon_count, self.generation),
                &daemon.vm,
            )?;
        }
        Ok(())
    }

    /// Writes a configuration into the store and returns its generation.
    ///
    /// # Errors
    /// Returns an error if the store refuses.
    pub fn apply(&mut self, text: &str) -> io::Result<u64> {
        let part = PartReference::for_text("inventory", text);
        self.put_object(&part.object_key(), text, 0)?;
        let current = http::get(self.platform_address, "/objects/config/head")?;
        let version = current.header("version").parse().unwrap_or(0);
        self.generation += 1;
        let head = HeadObject {
            generation: self.generation.into(),
            mark: "fleet".to_owned(),
            parts: vec![part],
        };
        let text = serde_json::to_string(&head)?;
        self.put_object("config/head", &text, version)?;
        Ok(self.generation)
    }

    /// Writes the layouts of all services with these snapshots.
    ///
    /// # Errors
    /// Returns an error if the store refuses.
    pub fn write_layouts(&self, snapshots: &[u64]) -> io::Result<()> {
        for service in &self.spec.shape.services {
            let layout = shape::FleetShape::layout(service, snapshots);
            self.write_layout(&service.name, &layout)?;
        }
        Ok(())
    }

    /// Writes the layout of one service.
    ///
    /// # Errors
    /// Returns an error if the store refuses.
    pub fn write_layout(&self, service: &str, layout: &Value) -> io::Result<()> {
        let key = format!("config/layouts/{service}");
        let current = http::get(self.platform_address, &format!("/objects/{key}"))?;
        let version = current.header("version").parse().unwrap_or(0);
        self.put_object(&key, &layout.to_string(), version)
    }

    /// Writes an object if its version is `expected`, 0 for a new one.
    ///
    /// # Errors
    /// Returns an error if the store refuses.
    pub fn put_object(&self, key: &str, text: &str, expected: u64) -> io::Result<()> {
        let expected = expected.to_string();
        let message = http::request(
            Method::PUT,
            &format!("/objects/{key}"),
            &[("if-version", &expected)],
            text,
        );
        let reply = http::call(self.platform_address, message, Duration::from_secs(5))?;
        // A part's key contains the hash of its text, so an existing part is equal.
        let is_part = key.starts_with("config/parts/");
        if reply.status.is_success() || (is_part && reply.status.as_u16() == 412) {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "write of {key} failed: {}",
            reply.status
        )))
    }

    /// Writes the VM list; `leaving` names backend servers that are leaving.
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub fn write_vm_list(&self, leaving: &[&str]) -> io::Result<()> {
        let mut vms: Vec<Value> = self
            .daemons
            .iter()
            .map(|daemon| json!({ "name": daemon.vm, "kind": "entry", "address": daemon.advertised_address, "state": "live" }))
            .collect();
        for name in leaving {
            vms.push(json!({ "name": name, "kind": "backend", "address": "127.0.0.1:1", "state": "leaving" }));
        }
        let message = http::request(Method::PUT, "/vms", &[], &json!(vms).to_string());
        http::call(self.platform_address, message, Duration::from_secs(5)).map(|_| ())
    }

    /// Changes switches of the platform.
    ///
    /// # Errors
    /// Returns an error if a switch is unknown.
    pub fn switch_platform(&self, switches: &str) -> io::Result<()> {
        expect_success(
            &http::post(self.platform_address, &format!("/switch?{switches}"), "")?,
            switches,
        )
    }

    /// Changes switches of a backend server, `*` for all.
    ///
    /// # Errors
    /// Returns an error if the server or a switch is unknown.
    pub fn switch_server(&self, server: &str, switches: &str) -> io::Result<()> {
        let mut is_known = false;
        for servers in &self.servers {
            if server != "*" && !servers.names.iter().any(|name| name == server) {
                continue;
            }
            is_known = true;
            let path = format!("/switch?server={server}&{switches}");
            expect_success(&http::post(servers.control_address, &path, "")?, switches)?;
        }
        if is_known {
            Ok(())
        } else {
            Err(io::Error::other(format!("unknown backend server {server}")))
        }
    }

    /// The sum of a counter over all backend servers.
    ///
    /// # Errors
    /// Returns an error if a stand-in does not answer.
    pub fn server_counter(&self, name: &str) -> io::Result<u64> {
        let mut sum = 0;
        for servers in &self.servers {
            let counts = http::get(servers.control_address, "/counts")?.json();
            sum += counts[name].as_u64().unwrap_or_default();
        }
        Ok(sum)
    }

    /// The records of all calls that backend servers received.
    ///
    /// # Errors
    /// Returns an error if a stand-in does not answer.
    pub fn records(&self) -> io::Result<Vec<Value>> {
        let mut records = Vec::new();
        for servers in &self.servers {
            if let Value::Array(list) = http::get(servers.control_address, "/records")?.json() {
                records.extend(list);
            }
        }
        Ok(records)
    }

    /// A daemon's state dump.
    ///
    /// # Errors
    /// Returns an error if the daemon does not answer.
    pub fn state(&self, index: usize) -> io::Result<Value> {
        Ok(http::get(self.daemons[index].admin_address, "/state")?.json())
    }

    /// Sends a request to a daemon, with a new id if `id` is none.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub fn query(
        &self,
        index: usize,
        stream: &LoadStream,
        id: Option<&str>,
        body: &str,
    ) -> io::Result<HttpReply> {
        let new_id = new_request_id(&mut fastrand::Rng::new());
        let message = query_request(stream, id.unwrap_or(&new_id), body);
        http::call(
            self.daemons[index].caller_address,
            message,
            stream.deadline + Duration::from_secs(3),
        )
    }

    /// The daemons' addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect()
    }

    /// The directory of the built programs.
    pub fn binary_directory(&self) -> &Path {
        &self.binary_directory
    }
}

fn is_ready(daemon: &FleetDaemon, daemon_count: usize, generation: u64) -> bool {
    let ready =
        http::get(daemon.admin_address, "/readyz").is_ok_and(|reply| reply.status.is_success());
    if !ready {
        return false;
    }
    let Ok(state) = http::get(daemon.admin_address, "/state") else {
        return false;
    };
    let state = state.json();
    let members = state["members"].as_array().map_or(0, |members| {
        let alive = members.iter().filter(|member| member["state"] == "alive");
        alive.count()
    });
    let has_services = state["services"]
        .as_array()
        .is_some_and(|services| !services.is_empty());
    members == daemon_count && has_services && state["generation"].as_u64() >= Some(generation)
}

fn expect_success(reply: &HttpReply, switches: &str) -> io::Result<()> {
    if reply.status.is_success() {
        return Ok(());
    }
    let body = String::from_utf8_lossy(&reply.body);
    Err(io::Error::other(format!(
        "switching {switches} failed: {} {body}",
        reply.status
    )))
}

fn create_directory() -> io::Result<PathBuf> {
    let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("camphorway-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Finds the directory of the built programs, two above a test or an example.
fn find_binary_directory() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable.parent().and_then(Path::parent);
    directory
        .map(Path::to_owned)
        .ok_or_else(|| io::Error::other("the executable's path has no parent directory"))
}
