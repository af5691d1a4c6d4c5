//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all stand-ins of a run write to.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    #[must_use]
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).expect("a short run")
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("the record is usable");
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }
}
