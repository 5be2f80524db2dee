//! Processes that a fleet starts and ends, each by its id.

use super::ports::{free_address, spawn_apart};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(20);

/// Process ids that this process started and that may still run.
static STARTED: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// Kills whatever fleets of this process still run; for signal handlers.
pub fn kill_started_processes() {
    for pid in started().drain(..) {
        // It may have ended already.
        let _ = kill_process(pid, Signal::KILL);
    }
}

fn started() -> MutexGuard<'static, Vec<Pid>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process of the fleet.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Starts a program whose output goes to a file of `directory`.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn spawn(program: &Path, arguments: &[&str], directory: &Path) -> io::Result<Self> {
        let log = directory.join(format!("process-{}.log", free_address().port()));
        let file = File::create(&log)?;
        let child = spawn_apart(
            Command::new(program)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(file.try_clone()?)
                .stderr(file),
        )?;
        Ok(Self::new(child, log))
    }

    /// Starts a program whose standard output is a pipe that nobody reads.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn spawn_with_unread_output(
        program: &Path,
        arguments: &[&str],
        directory: &Path,
    ) -> io::Result<Self> {
        let log = directory.join(format!("process-{}.log", free_address().port()));
        let child = spawn_apart(
            Command::new(program)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .stderr(File::create(&log)?),
        )?;
        Ok(Self::new(child, log))
    }

    /// Takes over a process that was just started.
    pub(super) fn new(child: Child, log: PathBuf) -> Self {
        started().push(Pid::from_child(&child));
        Self { child, log }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let own = Pid::from_child(&self.child);
        started().retain(|pid| *pid != own);
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits at most `limit` for the end; its exit code if it ended.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            if began.elapsed() >= limit {
                return None;
            }
            std::thread::sleep(POLL);
        }
    }

    /// The file that the process writes to.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// What the process wrote to standard output and error.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // A stopped process can't be told to end, but it can be killed.
        self.kill();
    }
}

/// Starts a stand-in. It ends by itself when its standard input closes, so none
/// is left if this process is killed.
pub(super) fn spawn_standin(
    binaries: &Path,
    directory: &Path,
    name: &str,
    arguments: &[&str],
) -> io::Result<FleetProcess> {
    let log = directory.join(format!("{name}-{}.log", free_address().port()));
    let file = File::create(&log)?;
    let child = spawn_apart(
        Command::new(binaries.join("examples").join(name))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(file),
    )?;
    Ok(FleetProcess::new(child, log))
}
