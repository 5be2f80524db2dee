//! A front as a process: its settings are rendered from the template of the deploy
//! file, and it is started with the deploy file's command.

use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Message;

pub const ZONES: [(&str, &str); 3] = [
    ("ljubljana-a", "osrednja"),
    ("maribor-a", "stajerska"),
    ("koper-a", "primorska"),
];

/// The processes that run, for the time limit.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn send_signal(name: &str, id: u32) -> io::Result<()> {
    let command = format!("kill -s {name} {id}");
    Command::new("bash").args(["-c", &command]).status()?;
    Ok(())
}

/// Kills all fronts.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = send_signal("KILL", id);
    }
}

pub struct Front {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
    name: String,
    zone: &'static str,
    grace_s: &'static str,
    directory: PathBuf,
    pub process: Child,
}

fn free_port(udp: bool) -> io::Result<SocketAddr> {
    if udp {
        return UdpSocket::bind("127.0.0.1:0")?.local_addr();
    }
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Front {
    pub fn start(
        index: usize,
        store: SocketAddr,
        grace_s: &'static str,
        directory: &std::path::Path,
    ) -> io::Result<Self> {
        let mut front = Self {
            callers: free_port(false)?,
            readiness: free_port(false)?,
            peers: free_port(true)?,
            store,
            name: format!("front-{index}"),
            zone: ZONES[index % ZONES.len()].0,
            grace_s,
            directory: directory.to_owned(),
            process: Command::new("true").spawn()?,
        };
        front.process.wait()?;
        front.spawn(true)?;
        Ok(front)
    }

    /// Starts the process; `bootstrap` only at the first start of the whole system.
    pub fn spawn(&mut self, bootstrap: bool) -> io::Result<()> {
        let settings = self.directory.join(format!("{}.conf", self.name));
        fs::write(&settings, self.render(bootstrap)?)?;
        let log = fs::File::create(self.directory.join(format!("{}.log", self.name)))?;
        self.process = Command::new("target/release/camphorwayd")
            .arg("--front")
            .arg("--settings")
            .arg(&settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(self.process.id());
        Ok(())
    }

    fn render(&self, bootstrap: bool) -> io::Result<String> {
        let mut text = fs::read_to_string("deploy/front.ini")?;
        let zones: String = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = {region}\n"))
            .collect();
        replace_section(&mut text, "{{#zones}}", "{{/zones}}", |_| zones.clone());
        replace_section(&mut text, "{{^bootstrap}}", "{{/bootstrap}}", |inner| {
            if bootstrap {
                String::new()
            } else {
                inner.to_owned()
            }
        });
        let fields = [
            ("node", self.name.clone()),
            ("zone", self.zone.to_owned()),
            ("ip", self.peers.ip().to_string()),
            ("internalPorts.0", self.peers.port().to_string()),
            ("listen.front", self.callers.to_string()),
            ("listen.readinessAddr", self.readiness.to_string()),
            ("platform.address", self.store.to_string()),
            ("bounds.configApplyMs", "3000".to_owned()),
            ("bounds.drainMs", "3000".to_owned()),
            ("bounds.graceS", self.grace_s.to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.budgetSlack", "58".to_owned()),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other(format!("a placeholder is left:\n{text}")));
        }
        Ok(text)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: f\r\n\r\n")?;
            let answer = Message::read(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        send_signal(name, self.process.id())
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        RUNNING
            .lock()
            .unwrap()
            .retain(|id| *id != self.process.id());
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

fn replace_section<Replace>(text: &mut String, open: &str, close: &str, replace: Replace)
where
    Replace: Fn(&str) -> String,
{
    let Some(start) = text.find(open) else { return };
    let Some(end) = text[start..].find(close).map(|end| start + end) else {
        return;
    };
    let inner = replace(&text[start + open.len()..end]);
    text.replace_range(start..end + close.len(), &inner);
}
