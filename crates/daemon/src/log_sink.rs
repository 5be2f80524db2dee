//! Queues log lines without waiting for the output, and writes them on a dedicated
//! thread.
//!
//! Two limits apply: a rate, and the number of queued lines while the reader of
//! the output is slow. A fraction of both is reserved for warnings and errors.
//! Lines beyond the limits are dropped and counted, and the count is logged.

use crate::sync::lock;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

const MAX_LINES_PER_SECOND: f64 = 1_500.0;
/// Fraction of the rate and of the queue reserved for warnings and errors.
const WARNING_RESERVE: f64 = 0.4;
const MAX_QUEUED_LINES: usize = 4_096;
/// Pause of the writer thread between batches, so that it wakes rarely.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const ORDINARY_LEVELS: [&str; 3] = ["[INFO]", "[DEBUG]", "[TRACE]"];

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The queue of lines to be written.
#[derive(Debug)]
pub struct LineQueue {
    state: Mutex<QueueState>,
    /// Notified when the queue fills and when a batch was written.
    filled: Condvar,
}

#[derive(Debug)]
struct QueueState {
    lines: VecDeque<Vec<u8>>,
    tokens: f64,
    refilled: Instant,
    /// Whether the writer thread is writing lines that it took.
    is_writing: bool,
}

impl LineQueue {
    /// Creates an empty queue.
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(QueueState {
                lines: VecDeque::new(),
                tokens: MAX_LINES_PER_SECOND,
                refilled: now,
                is_writing: false,
            }),
            filled: Condvar::new(),
        })
    }

    /// Queues a line, or drops it if a limit is reached; true if it was queued.
    pub fn push(&self, line: Vec<u8>, is_warning: bool, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let elapsed = now.saturating_duration_since(state.refilled).as_secs_f64();
        state.tokens = (state.tokens + elapsed * MAX_LINES_PER_SECOND).min(MAX_LINES_PER_SECOND);
        state.refilled = now;
        let reserve = if is_warning { 0.0 } else { WARNING_RESERVE };
        let is_within_rate = state.tokens >= 1.0 + reserve * MAX_LINES_PER_SECOND;
        let max_lines = ((1.0 - reserve) * MAX_QUEUED_LINES as f64) as usize;
        if !is_within_rate || state.lines.len() >= max_lines {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        state.tokens -= 1.0;
        state.lines.push_back(line);
        if state.lines.len() == 1 {
            self.filled.notify_all();
        }
        true
    }

    /// Waits for lines and takes all of them.
    pub fn take_all(&self) -> VecDeque<Vec<u8>> {
        let mut state = lock(&self.state);
        state.is_writing = false;
        self.filled.notify_all();
        while state.lines.is_empty() {
            let waited = self.filled.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        std::mem::take(&mut state.lines)
    }

    /// Waits until all lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let state = lock(&self.state);
        let is_busy = |state: &mut QueueState| !state.lines.is_empty() || state.is_writing;
        // The result doesn't matter: the process ends in either case.
        drop(self.filled.wait_timeout_while(state, timeout, is_busy));
    }
}

/// Splits the logger's output into lines and queues them.
#[derive(Debug)]
pub struct LineWriter {
    queue: Arc<LineQueue>,
    partial: Vec<u8>,
}

impl LineWriter {
    /// Creates a writer to `queue`.
    pub fn new(queue: &Arc<LineQueue>) -> Self {
        Self {
            queue: Arc::clone(queue),
            partial: Vec::new(),
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if self.partial.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial);
            let text = String::from_utf8_lossy(&line);
            let is_ordinary = ORDINARY_LEVELS.iter().any(|level| text.contains(level));
            self.queue.push(line, !is_ordinary, Instant::now());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes the queue's lines to standard output until the
/// process ends.
///
/// # Errors
/// Returns the system's error if the thread can't be started.
pub fn start_writer(queue: &Arc<LineQueue>) -> io::Result<()> {
    let queue = Arc::clone(queue);
    let thread = std::thread::Builder::new().name("log".to_owned());
    thread.spawn(move || {
        let mut reported = (dropped(), Instant::now());
        loop {
            let mut lines = queue.take_all();
            if let Some(line) = report(&mut reported) {
                lines.push_back(line.into_bytes());
            }
            let mut output = io::stdout().lock();
            for line in lines {
                // Nobody reads the output any more; there is nowhere else to report it.
                let _ = output.write_all(&line);
            }
            let _ = output.flush();
            drop(output);
            std::thread::sleep(BATCH_INTERVAL);
        }
    })?;
    Ok(())
}

/// A line with the number of lines dropped since the last such line.
fn report((before, at): &mut (u64, Instant)) -> Option<String> {
    let total = dropped();
    if total == *before || at.elapsed() < REPORT_INTERVAL {
        return None;
    }
    let since = total - *before;
    (*before, *at) = (total, Instant::now());
    Some(format!(
        "[WARN] event=log-lines-dropped since={since} total={total}\n"
    ))
}
