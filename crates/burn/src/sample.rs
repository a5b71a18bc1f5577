//! Scrapes of nodes, and the increase of their counters over time.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use derive_more::{Display, Error};
use filbertwheel_core::value;

/// Prefix of the header line before each scrape in a record.
const SCRAPE_PREFIX: &str = "# scrape ";

/// Time since the Unix epoch.
pub type UnixTime = Duration;

/// Labels of a counter; the empty key holds its name.
type Labels = BTreeMap<String, String>;

/// The metrics of one node at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct Scrape {
    /// Operator address of the node.
    pub node: String,
    /// Time of the scrape.
    pub at: UnixTime,
    /// Metrics as the node returned them.
    pub text: String,
}

/// Counters of all nodes over time.
#[derive(Debug, Clone, Default)]
pub struct History {
    series: BTreeMap<(String, Labels), Vec<(UnixTime, f64)>>,
    start: Option<UnixTime>,
    end: UnixTime,
}

/// Why a record cannot be parsed.
#[value]
#[derive(Display, Error)]
pub enum SampleError {
    /// The header line of a scrape is malformed or missing.
    #[display("line {line}: expected \"# scrape NODE SECONDS\"")]
    ScrapeHeader {
        /// Line number, counted from 1.
        line: usize,
    },
    /// A metric line is malformed.
    #[display("line {line}: expected a metric and its value")]
    Metric {
        /// Line number, counted from 1.
        line: usize,
    },
    /// The record has no scrapes.
    #[display("the record has no scrapes")]
    Empty,
}

impl Scrape {
    /// Formats the scrape for a record.
    pub fn record(&self) -> String {
        let mut text = format!(
            "{SCRAPE_PREFIX}{} {:.3}\n",
            self.node,
            self.at.as_secs_f64()
        );
        text.push_str(&self.text);
        if !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }
}

impl History {
    /// Parses a record of scrapes.
    pub fn read(record: &str) -> Result<Self, SampleError> {
        let mut history = Self::default();
        let mut current: Option<(String, UnixTime)> = None;
        let mut scrape_times: BTreeMap<String, (UnixTime, UnixTime)> = BTreeMap::new();
        for (index, line) in record.lines().enumerate() {
            let line_number = index + 1;
            if let Some(header) = line.strip_prefix(SCRAPE_PREFIX) {
                let header = parse_scrape_header(header)
                    .ok_or(SampleError::ScrapeHeader { line: line_number })?;
                history.extend_range(header.1);
                let times = scrape_times
                    .entry(header.0.clone())
                    .or_insert((header.1, header.1));
                *times = (times.1, header.1);
                current = Some(header);
            } else if !line.is_empty() && !line.starts_with('#') {
                let (node, at) = current
                    .clone()
                    .ok_or(SampleError::ScrapeHeader { line: line_number })?;
                let metric = parse_metric(line);
                let (labels, value) = metric.ok_or(SampleError::Metric { line: line_number })?;
                let previous = scrape_times.get(&node).map_or(at, |times| times.0);
                let series = history.series.entry((node, labels)).or_default();
                // A counter that is missing from the previous scrape was 0 then.
                if series.is_empty() && previous < at {
                    series.push((previous, 0.0));
                }
                series.push((at, value));
            }
        }
        if history.start.is_none() {
            return Err(SampleError::Empty);
        }
        for series in history.series.values_mut() {
            series.sort_by_key(|(at, _)| *at);
        }
        Ok(history)
    }

    /// Returns the time of the first scrape.
    pub fn start(&self) -> UnixTime {
        self.start.unwrap_or_default()
    }

    /// Returns the time of the last scrape.
    pub fn end(&self) -> UnixTime {
        self.end
    }

    /// Returns the total increase of the counters with these labels in a window that ends at `end`.
    pub fn increase(&self, wanted: &[(&str, &str)], end: UnixTime, window: Duration) -> f64 {
        let begin = end.saturating_sub(window);
        let series = self.series.iter();
        series
            .filter(|((_, labels), _)| matches(labels, wanted))
            .map(|(_, points)| increase(points, begin, end))
            .fold(0.0, |sum, increase| sum + increase)
    }

    /// Returns the distinct values of a label among the counters with the `wanted` labels.
    pub fn values(&self, label: &str, wanted: &[(&str, &str)]) -> Vec<String> {
        let labels = self.series.keys().map(|(_, labels)| labels);
        let mut values: Vec<String> = labels
            .filter(|labels| matches(labels, wanted))
            .filter_map(|labels| labels.get(label).cloned())
            .collect();
        values.sort();
        values.dedup();
        values
    }

    fn extend_range(&mut self, at: UnixTime) {
        self.start = Some(self.start.map_or(at, |start| start.min(at)));
        self.end = self.end.max(at);
    }
}

/// Returns the increase of one counter. A decrease is a reset: the node restarted and counts
/// from 0 again.
fn increase(points: &[(UnixTime, f64)], begin: UnixTime, end: UnixTime) -> f64 {
    let first = points.partition_point(|(at, _)| *at <= begin);
    let last = points.partition_point(|(at, _)| *at <= end);
    let Some(window) = points.get(first.saturating_sub(1)..last) else {
        return 0.0;
    };
    window
        .windows(2)
        .map(|pair| match (pair[0].1, pair[1].1) {
            (before, after) if after >= before => after - before,
            (_, after) => after,
        })
        .sum()
}

fn matches(labels: &Labels, wanted: &[(&str, &str)]) -> bool {
    wanted
        .iter()
        .all(|(key, value)| labels.get(*key).is_some_and(|own| own == value))
}

fn parse_scrape_header(header: &str) -> Option<(String, UnixTime)> {
    let (node, seconds) = header.trim().rsplit_once(' ')?;
    let at = Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?;
    Some((node.to_owned(), at))
}

/// Parses a line such as `name{key="value"} 5` into labels and value.
fn parse_metric(line: &str) -> Option<(Labels, f64)> {
    let mut labels = Labels::new();
    let (name, rest) = match line.split_once('{') {
        Some((name, rest)) => (name, parse_labels(rest, &mut labels)?),
        None => line.split_once(' ')?,
    };
    labels.insert(String::new(), name.to_owned());
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some((labels, value))
}

/// Parses labels up to the closing brace, and returns the rest of the line.
fn parse_labels<'a>(mut rest: &'a str, labels: &mut Labels) -> Option<&'a str> {
    loop {
        rest = rest.trim_start_matches(',');
        if let Some(rest) = rest.strip_prefix('}') {
            return Some(rest);
        }
        let (key, quoted) = rest.split_once("=\"")?;
        let (value, length) = parse_value(quoted)?;
        labels.insert(key.to_owned(), value);
        rest = quoted.get(length..)?;
    }
}

/// Parses a label value up to its closing quote. Returns the value without escapes, and its length
/// in the input including the quote.
fn parse_value(quoted: &str) -> Option<(String, usize)> {
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, at + 1)),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.write_char(escaped).ok()?,
            },
            c => value.push(c),
        }
    }
    None
}
