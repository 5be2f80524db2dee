//! Processes that a fleet starts, and ends by their ids.

use super::ports::{free_address, spawn_without_probing};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ids of the processes that were started here and may still run.
static RUNNING_PIDS: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// Kills all processes that were started here and may still run; for signal handlers.
pub fn kill_started_processes() {
    for pid in running_pids().drain(..) {
        // The process may have ended already.
        let _ = kill_process(pid, Signal::KILL);
    }
}

fn running_pids() -> MutexGuard<'static, Vec<Pid>> {
    RUNNING_PIDS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Starts a program whose output goes to a file in `directory`.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn spawn(program: &Path, arguments: &[&str], directory: &Path) -> io::Result<Self> {
        let log = directory.join(format!("process-{}.log", free_address().port()));
        let file = File::create(&log)?;
        let child = spawn_without_probing(
            Command::new(program)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(file.try_clone()?)
                .stderr(file),
        )?;
        Ok(Self::new(child, log))
    }

    /// Starts a program whose standard output is a pipe that is never read.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn spawn_with_unread_output(
        program: &Path,
        arguments: &[&str],
        directory: &Path,
    ) -> io::Result<Self> {
        let log = directory.join(format!("process-{}.log", free_address().port()));
        let child = spawn_without_probing(
            Command::new(program)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .stderr(File::create(&log)?),
        )?;
        Ok(Self::new(child, log))
    }

    /// Wraps a child process that was just started.
    pub(super) fn new(child: Child, log: PathBuf) -> Self {
        running_pids().push(Pid::from_child(&child));
        Self { child, log }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let own = Pid::from_child(&self.child);
        running_pids().retain(|pid| *pid != own);
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends, at most `timeout`, and returns its exit code;
    /// none on a timeout or if a signal ended it.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            if started_at.elapsed() >= timeout {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The file to which the process writes its output.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Reads what the process wrote to its log file.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped.
        self.kill();
    }
}

/// Starts a stand-in. Stand-ins end when their standard input closes, so none is
/// left running if this process is killed.
pub(super) fn spawn_standin(
    binaries: &Path,
    directory: &Path,
    name: &str,
    arguments: &[&str],
) -> io::Result<FleetProcess> {
    let log = directory.join(format!("{name}-{}.log", free_address().port()));
    let file = File::create(&log)?;
    let child = spawn_without_probing(
        Command::new(binaries.join("examples").join(name))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(file),
    )?;
    Ok(FleetProcess::new(child, log))
}
