//! Collects one request's log lines from the log files of all processes.

use crate::error::OperatorError;
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// A log line that mentions the request.
#[derive(Clone, Debug)]
pub struct TraceLine {
    /// The log file.
    pub file: String,
    /// The time, as logged.
    pub time: String,
    /// The level, as logged.
    pub level: String,
    /// The line's keys and values, in their order.
    pub pairs: Vec<(String, String)>,
}

/// Returns the lines of `files` that mention the request `id`, ordered by time.
///
/// # Errors
/// Returns an error if a file can't be read.
pub fn read(files: &[PathBuf], id: &str) -> Result<Vec<TraceLine>, OperatorError> {
    let mut trace = Vec::new();
    for path in files {
        let bytes = std::fs::read(path).map_err(|cause| OperatorError::Read {
            path: path.clone(),
            cause,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        trace.extend(text.lines().filter_map(|line| parse_line(path, line, id)));
    }
    // The sort is stable: lines of one process with the same time keep their order.
    trace.sort_by(|one, other| one.time.cmp(&other.time));
    Ok(trace)
}

/// Parses a line; returns `None` if it does not mention the request `id`.
fn parse_line(path: &Path, line: &str, id: &str) -> Option<TraceLine> {
    let start = line.find("event=")?;
    let pairs = split_pairs(&line[start..]);
    if !pairs
        .iter()
        .any(|(key, value)| key == "request" && value == id)
    {
        return None;
    }
    let mut head = line[..start].split_whitespace().rev();
    let level = head.next().unwrap_or_default().trim_matches(['[', ']']);
    Some(TraceLine {
        file: path.display().to_string(),
        time: head.next().unwrap_or_default().to_owned(),
        level: level.to_owned(),
        pairs,
    })
}

/// Splits a text such as `key=value key="a value"` into keys and values.
pub fn split_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = if let Some(quoted) = after.strip_prefix('"') {
            parse_quoted(quoted)
        } else {
            let (value, left) = after.split_once(' ').unwrap_or((after, ""));
            (value.to_owned(), left)
        };
        pairs.push((key.trim().to_owned(), value));
        rest = left.trim_start();
    }
    pairs
}

/// Returns the text up to the closing quote, unescaped, and the remaining text.
fn parse_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

/// Formats the lines as text, one log line per line.
pub fn to_text(trace: &[TraceLine]) -> String {
    let lines = trace.iter().map(|line| {
        let pairs = line.pairs.iter().filter(|(key, _)| key != "request");
        let mut pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
        pairs.extend(
            line.meaning()
                .map(|meaning| format!("meaning=\"{meaning}\"")),
        );
        format!(
            "{} {} {}: {}",
            line.time,
            line.level,
            line.file,
            pairs.join(" ")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the lines as a JSON array.
pub fn to_json(trace: &[TraceLine]) -> Value {
    let lines = trace.iter().map(|line| {
        let pairs = line.pairs.iter();
        let pairs: Map<String, Value> = pairs
            .map(|(key, value)| (key.clone(), json!(value)))
            .collect();
        json!({ "file": line.file, "time": line.time, "level": line.level, "pairs": pairs,
            "meaning": line.meaning() })
    });
    Value::Array(lines.collect())
}
