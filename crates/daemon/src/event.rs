//! Log lines: one line of key=value pairs for each event.
//!
//! `simplelog` adds time and level, the macro here builds the pairs, and
//! [`crate::log_sink`] limits the number of lines.

use crate::log_sink::{LineQueue, LineWriter, start_writer};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Timeout for writing the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Logs an event: `event!(Info, "request-done", id = request, outcome = outcome)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!(log::Level::$level) {
            let line = String::from(concat!("event=", $name));
            $(let line = $crate::event::with_pair(line, stringify!($key), &$value);)*
            log::log!(log::Level::$level, "{line}");
        }
    };
}

/// Appends ` key=value` to the line; the value is quoted if it is empty or contains
/// a space, a quote, an equals sign or a line break.
pub fn with_pair<Value>(mut line: String, key: &str, value: &Value) -> String
where
    Value: std::fmt::Display,
{
    let text = value.to_string();
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let plain = !text.is_empty() && !text.contains([' ', '"', '\n', '=']);
    if plain {
        line.push_str(&text);
        return line;
    }
    line.push('"');
    line.extend(text.escape_debug());
    line.push('"');
    line
}

/// Starts logging events of `level` and above to standard output.
///
/// # Errors
/// Returns the system's error if the writer thread can't be started.
pub fn start(level: LevelFilter) -> std::io::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("quinn")
        .add_filter_ignore_str("rustls")
        .add_filter_ignore_str("polling")
        .add_filter_ignore_str("async_io")
        .build();
    let queue = QUEUE.get_or_init(|| LineQueue::new(Instant::now()));
    start_writer(queue)?;
    // A second call, as in a test with several daemons, keeps the first logger.
    let _ = WriteLogger::init(level, config, LineWriter::new(queue));
    Ok(())
}

/// Waits, with a short timeout, until the lines logged so far are written.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}
