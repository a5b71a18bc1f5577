//! The record of a script's run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        let start = Instant::now();
        Ok(Self { file, start })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line with the present time, and returns that time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{now:8.3} s  {text}").expect("the record can be written");
        now
    }
}
