//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Seconds since the start of the record.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Writes a line with its time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written does not change the run.
        let _ = writeln!(file, "{:8.3} {text}", self.seconds(Instant::now()));
    }
}
