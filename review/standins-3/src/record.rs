//! The record of one run: what was sent, answered and run.

use std::io;
use std::sync::Mutex;
use std::time::Instant;

/// Lines of the record, each with the time since the start of the run.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn open() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let at = self.began.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Writes the lines to a file in the order of their times.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>7} ms  {line}\n"))
            .collect();
        std::fs::write(path, text)
    }
}
