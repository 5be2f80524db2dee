//! A front process, started by the `run` line and the template of the deploy file.

use crate::http::get;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const SIGKILL: u64 = 9;
/// Sends a signal to this process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// What differs between deployments.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub values: BTreeMap<&'static str, &'static str>,
    /// Each zone and its region.
    pub zones: Vec<(&'static str, &'static str)>,
}

pub struct Front {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub store: SocketAddr,
    bounds: Bounds,
    directory: PathBuf,
    child: Option<Child>,
    starts: usize,
}

impl Front {
    pub fn new(
        name: &str,
        zone: &str,
        store: SocketAddr,
        bounds: &Bounds,
        directory: &Path,
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_tcp(),
            readiness: free_tcp(),
            peers: free_udp(),
            store,
            bounds: bounds.clone(),
            directory: directory.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process; `bootstrap` as the platform's settings say it.
    pub fn start(&mut self, root: &Path, bootstrap: bool) {
        let template = fs::read_to_string(root.join("deploy/front.ini")).expect("template");
        let settings = self.directory.join(format!("{}.ini", self.name));
        fs::write(&settings, self.render(&template, bootstrap)).expect("settings");
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("run");
        let run = self.render(run.trim_end_matches('"'), bootstrap);
        let mut words = run.split(' ');
        let program = root.join(words.next().expect("program"));
        let log = self
            .directory
            .join(format!("{}-{}.log", self.name, self.starts));
        let path = settings.to_str().expect("path").to_owned();
        let words = words.map(|word| match word {
            "/etc/camphorway/local.conf" => path.clone(),
            other => other.to_owned(),
        });
        let mut command = Command::new(program);
        // SAFETY: the call is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(words)
            .current_dir(root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("CAMPHORWAY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("log"))
            .stderr(File::create(log.with_extension("err")).expect("log"))
            .spawn();
        self.child = child.ok();
        self.starts += 1;
    }

    fn render(&self, text: &str, bootstrap: bool) -> String {
        let mut text = text.to_owned();
        while let (Some(start), Some(end)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
            let entry = text[start + 10..end].trim_start_matches('\n').to_owned();
            let zones = self.bounds.zones.iter();
            let zones =
                zones.map(|(zone, region)| entry.replace("{{@}}", zone).replace("{{.}}", region));
            let zones: String = zones.collect();
            text.replace_range(start..end + 10, &zones);
        }
        if let (Some(start), Some(end)) = (text.find("{{^bootstrap}}"), text.find("{{/bootstrap}}"))
        {
            let entry = text[start + 14..end].to_owned();
            text.replace_range(start..end + 14, if bootstrap { "" } else { &entry });
        }
        let ip = self.peers.ip().to_string();
        let own = [
            ("node", self.name.clone()),
            ("zone", self.zone.clone()),
            ("listen.front", self.callers.to_string()),
            ("listen.readinessAddr", self.readiness.to_string()),
            ("ip", ip),
            ("internalPorts.0", self.peers.port().to_string()),
            ("platform.address", self.store.to_string()),
        ];
        for (name, value) in own {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        for (name, value) in &self.bounds.values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        // A placeholder without a value gives nothing.
        while let Some(start) = text.find("{{") {
            let end = text[start..]
                .find("}}")
                .map_or(text.len(), |end| start + end + 2);
            text.replace_range(start..end, "");
        }
        text
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a signal to a process that this one started and has not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the process to end; kills it after `grace`.
    pub fn wait_end(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        while self.is_running() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/v1/ready").is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the front says that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The front's metrics.
    pub fn metrics(&self) -> String {
        let answer = get(self.readiness, "/metrics");
        answer
            .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|port| port.local_addr())
        .expect("free port")
}

fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .and_then(|port| port.local_addr())
        .expect("free port")
}
