//! Takes log lines without ever blocking, and writes them on a thread of its own.
//!
//! The volume is bounded twice: by a rate, of which ordinary lines may use only
//! a part, and by the lines that wait while the reader of the output is slow.
//! Lines beyond that are dropped and counted, and the count is logged.

use crate::sync::lock;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines a second.
const MOST_PER_SECOND: f64 = 1_500.0;
/// The part of the rate and of the queue that is kept for warnings and errors.
const KEPT_FOR_WARNINGS: f64 = 0.4;
const MOST_WAITING: usize = 4_096;
/// Lines are collected for this time, so that the thread wakes seldom.
const COLLECT: Duration = Duration::from_millis(40);
const REPORT_EVERY: Duration = Duration::from_secs(1);
const ORDINARY_MARKS: [&str; 3] = ["[INFO]", "[DEBUG]", "[TRACE]"];

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The lines that wait to be written.
#[derive(Debug)]
pub struct LineQueue {
    state: Mutex<QueueState>,
    filled: Condvar,
}

#[derive(Debug)]
struct QueueState {
    lines: VecDeque<Vec<u8>>,
    tokens: f64,
    refilled: Instant,
    /// Whether the thread holds lines that it has not written yet.
    is_writing: bool,
}

impl LineQueue {
    /// An empty queue.
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(QueueState {
                lines: VecDeque::new(),
                tokens: MOST_PER_SECOND,
                refilled: now,
                is_writing: false,
            }),
            filled: Condvar::new(),
        })
    }

    /// Takes a line, unless there are too many; whether it was taken.
    pub fn push(&self, line: Vec<u8>, is_warning: bool, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let elapsed = now.saturating_duration_since(state.refilled).as_secs_f64();
        state.tokens = (state.tokens + elapsed * MOST_PER_SECOND).min(MOST_PER_SECOND);
        state.refilled = now;
        let kept = if is_warning { 0.0 } else { KEPT_FOR_WARNINGS };
        let has_rate = state.tokens >= 1.0 + kept * MOST_PER_SECOND;
        let most = ((1.0 - kept) * MOST_WAITING as f64) as usize;
        if !has_rate || state.lines.len() >= most {
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

    /// Waits until all lines are written, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let state = lock(&self.state);
        let is_busy = |state: &mut QueueState| !state.lines.is_empty() || state.is_writing;
        // Whether the time was over changes nothing: the process ends.
        drop(self.filled.wait_timeout_while(state, limit, is_busy));
    }
}

/// Splits what the logger writes into lines.
#[derive(Debug)]
pub struct LineWriter {
    queue: Arc<LineQueue>,
    partial: Vec<u8>,
}

impl LineWriter {
    /// Writes to `queue`.
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
            let is_ordinary = ORDINARY_MARKS.iter().any(|mark| text.contains(mark));
            self.queue.push(line, !is_ordinary, Instant::now());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the queue's lines to standard output, for as long as the process lives.
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
                // Nobody reads any more; there is no other place to say so.
                let _ = output.write_all(&line);
            }
            let _ = output.flush();
            drop(output);
            std::thread::sleep(COLLECT);
        }
    })?;
    Ok(())
}

/// A line that tells how many were dropped since the last one.
fn report((before, at): &mut (u64, Instant)) -> Option<String> {
    let total = dropped();
    if total == *before || at.elapsed() < REPORT_EVERY {
        return None;
    }
    let since = total - *before;
    (*before, *at) = (total, Instant::now());
    Some(format!(
        "[WARN] event=log-lines-dropped since={since} total={total}\n"
    ))
}
