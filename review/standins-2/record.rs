//! What a script writes down: to `record.txt` and standard output.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A log of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:9.3} s  {text}", self.now());
        self.line(text);
    }
}
