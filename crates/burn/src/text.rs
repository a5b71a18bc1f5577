//! The report as text.

use std::fmt::Write as _;

use crate::{Burn, Kind, Line, Report};

/// The report as text for a terminal.
pub fn text(report: &Report) -> String {
    let mut out = format!(
        "Scrapes cover {}, budgets {}.\n",
        span(report.covered_s),
        span(report.budget_s)
    );
    for line in &report.lines {
        write_line(&mut out, line);
    }
    out
}

fn write_line(out: &mut String, line: &Line) {
    let written = write!(
        out,
        "\n{}: {}, {}\n  {:.0} of {:.0} calls were not good; {:.1}% of the budget is left\n",
        line.name,
        subject(line),
        goal(line),
        line.bad,
        line.total,
        line.left * 100.0
    );
    debug_assert!(written.is_ok(), "writing to a string succeeds");
    for burn in &line.burns {
        out.push_str(&burn_line(burn));
    }
}

fn burn_line(burn: &Burn) -> String {
    let state = if burn.alert { "ALERT" } else { "ok" };
    let partial = if burn.partial {
        ", not covered in full"
    } else {
        ""
    };
    format!(
        "  {state:<5}  {}: {:.2} over {}, {:.2} over {} (limit {}{partial})\n",
        burn.name,
        burn.long,
        span(burn.long_s),
        burn.short,
        span(burn.short_s),
        burn.limit
    )
}

/// Whose calls an objective is about.
pub(crate) fn subject(line: &Line) -> String {
    match &line.organisation {
        Some(organisation) => format!("{} for {organisation}", line.service),
        None => format!("{} for all organisations", line.service),
    }
}

/// What an objective demands.
pub(crate) fn goal(line: &Line) -> String {
    let percent = line.target * 100.0;
    match (line.kind, line.threshold_ms) {
        (Kind::Latency, Some(ms)) => format!("{percent}% within {ms} ms"),
        _ => format!("{percent}% whole answers"),
    }
}

/// Seconds in the largest unit that divides them.
pub(crate) fn span(seconds: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(86_400, "d"), (3_600, "h"), (60, "min")];
    let unit = UNITS
        .iter()
        .find(|(unit, _)| seconds >= *unit && seconds.is_multiple_of(*unit));
    match unit {
        Some((unit, name)) => format!("{} {name}", seconds / unit),
        None => format!("{seconds} s"),
    }
}
