//! Tells one request's story from the log files of all processes.

use crate::error::OperatorError;
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// One line that names the request.
#[derive(Clone, Debug)]
pub struct StoryLine {
    /// The file that it stands in.
    pub file: String,
    /// The time, as logged.
    pub time: String,
    /// The level, as logged.
    pub level: String,
    /// The pairs, in the line's order.
    pub pairs: Vec<(String, String)>,
}

/// The lines of `files` that name the request `id`, in the order of time.
///
/// # Errors
/// Returns the file that can't be read.
pub fn read(files: &[PathBuf], id: &str) -> Result<Vec<StoryLine>, OperatorError> {
    let mut story = Vec::new();
    for path in files {
        let bytes = std::fs::read(path).map_err(|cause| OperatorError::Read {
            path: path.clone(),
            cause,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        story.extend(text.lines().filter_map(|line| line_of(path, line, id)));
    }
    // Lines of one process have their order already; the sort keeps it.
    story.sort_by(|one, other| one.time.cmp(&other.time));
    Ok(story)
}

/// The line, if one of its pairs is the request's id.
fn line_of(path: &Path, line: &str, id: &str) -> Option<StoryLine> {
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
    Some(StoryLine {
        file: path.display().to_string(),
        time: head.next().unwrap_or_default().to_owned(),
        level: level.to_owned(),
        pairs,
    })
}

/// Splits `key=value key="a value"` into its pairs.
pub fn split_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = if let Some(quoted) = after.strip_prefix('"') {
            take_quoted(quoted)
        } else {
            let (value, left) = after.split_once(' ').unwrap_or((after, ""));
            (value.to_owned(), left)
        };
        pairs.push((key.trim().to_owned(), value));
        rest = left.trim_start();
    }
    pairs
}

/// The text up to the closing quote, without escapes, and what follows.
fn take_quoted(text: &str) -> (String, &str) {
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

/// The story for people, one line a step.
pub fn to_text(story: &[StoryLine]) -> String {
    let lines = story.iter().map(|line| {
        let pairs = line.pairs.iter().filter(|(key, _)| key != "request");
        let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
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

/// The story as JSON.
pub fn to_json(story: &[StoryLine]) -> Value {
    let lines = story.iter().map(|line| {
        let pairs = line.pairs.iter();
        let pairs: Map<String, Value> = pairs
            .map(|(key, value)| (key.clone(), json!(value)))
            .collect();
        json!({ "file": line.file, "time": line.time, "level": line.level, "pairs": pairs })
    });
    Value::Array(lines.collect())
}
