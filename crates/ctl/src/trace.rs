//! Prints the log lines of one request from collected logs, and the state that its nodes logged.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::CliError;

/// Maximum number of printed lines about the state of the nodes.
const CONTEXT_LINES: usize = 20;
/// Fields that are not printed as `name=value`.
const OMITTED_FIELDS: [&str; 4] = ["timestamp", "level", "message", "request"];

/// A line of a structured log.
#[derive(Debug, Clone)]
struct LogLine {
    /// RFC 3339 timestamp in UTC; sorting the text sorts by time.
    time: String,
    /// Name of the log file without extension, which identifies the process.
    process: String,
    fields: Map<String, Value>,
}

/// Prints the lines of a request in the order of time. Then prints, for each kind of line without
/// a request, the last one that the same processes wrote before the request's last line.
pub(crate) fn trace(id: &str, files: &[PathBuf], out: &mut impl Write) -> Result<(), CliError> {
    let mut request_lines = Vec::new();
    let mut other_lines = Vec::new();
    for file in files {
        for line in read_lines(file)? {
            match line.text("request") {
                Some(request) if request == id => request_lines.push(line),
                Some(_) => {}
                None => other_lines.push(line),
            }
        }
    }
    request_lines.sort_by(|one, other| one.time.cmp(&other.time));
    let Some(last) = request_lines.last() else {
        return Err(CliError::RequestNotFound(id.to_owned()));
    };
    let end = last.time.clone();
    for line in &request_lines {
        line.print(out)?;
    }
    writeln!(out, "State that its nodes had logged by then:")?;
    let about = |line: &LogLine| request_lines.iter().any(|one| one.process == line.process);
    other_lines.retain(|line| line.time <= end && about(line));
    for line in newest_of_each_kind(other_lines) {
        line.print(out)?;
    }
    Ok(())
}

/// Returns the newest line of each kind, in the order of time. A kind is a process, a message and
/// a service.
fn newest_of_each_kind(lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut kinds: BTreeMap<(String, String, String), LogLine> = BTreeMap::new();
    for line in lines {
        let service = line.text("service").unwrap_or_default().to_owned();
        let kind = (line.process.clone(), line.message().to_owned(), service);
        let known = kinds.entry(kind).or_insert_with(|| line.clone());
        if known.time <= line.time {
            *known = line;
        }
    }
    let mut lines: Vec<LogLine> = kinds.into_values().collect();
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let first = lines.len().saturating_sub(CONTEXT_LINES);
    lines.split_off(first)
}

/// Reads the lines of a file that contain a JSON object, and skips the others. Text before the
/// object, such as a log collector's prefix, is ignored.
fn read_lines(file: &Path) -> Result<Vec<LogLine>, CliError> {
    let text = fs::read_to_string(file).map_err(|source| CliError::File {
        path: file.to_owned(),
        source,
    })?;
    let process = file.file_stem().unwrap_or_default().to_string_lossy();
    let lines = text.lines().filter_map(|line| {
        let json = line.get(line.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time = fields.get("timestamp")?.as_str()?.to_owned();
        Some(LogLine {
            time,
            process: process.clone().into_owned(),
            fields,
        })
    });
    Ok(lines.collect())
}

impl LogLine {
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn message(&self) -> &str {
        self.text("message").unwrap_or_default()
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        write!(out, "{} {} {}", self.time, self.process, self.message())?;
        let fields = self.fields.iter();
        for (name, value) in fields.filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str())) {
            match value {
                Value::String(text) => write!(out, " {name}={text:?}")?,
                other => write!(out, " {name}={other}")?,
            }
        }
        writeln!(out)
    }
}
