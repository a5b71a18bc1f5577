//! The report as text.

use std::fmt::Write as _;

use crate::{ObjectiveKind, ObjectiveReport, Report, WindowBurn};

/// Formats the report as text for a terminal.
pub fn text_report(report: &Report) -> String {
    let mut out = format!(
        "Scrapes cover {}, budgets {}.\n",
        format_seconds(report.covered_s),
        format_seconds(report.budget_s)
    );
    for objective in &report.objectives {
        write_objective(&mut out, objective);
    }
    out
}

fn write_objective(out: &mut String, objective: &ObjectiveReport) {
    let written = write!(
        out,
        "\n{}: {}, {}\n  {:.0} of {:.0} calls missed the objective; {:.1}% of the budget is left\n",
        objective.name,
        format_scope(objective),
        format_goal(objective),
        objective.bad,
        objective.total,
        objective.budget_left * 100.0
    );
    debug_assert!(written.is_ok(), "writing to a string succeeds");
    for burn in &objective.burns {
        out.push_str(&format_burn(burn));
    }
}

fn format_burn(burn: &WindowBurn) -> String {
    let state = if burn.alert { "ALERT" } else { "ok" };
    let partial = if burn.partial {
        ", partly covered by scrapes"
    } else {
        ""
    };
    format!(
        "  {state:<5}  {}: {:.2} over {}, {:.2} over {} (limit {}{partial})\n",
        burn.name,
        burn.long,
        format_seconds(burn.long_s),
        burn.short,
        format_seconds(burn.short_s),
        burn.limit
    )
}

/// Formats the service and the organisation of an objective.
pub(crate) fn format_scope(objective: &ObjectiveReport) -> String {
    match &objective.organisation {
        Some(organisation) => format!("{} for {organisation}", objective.service),
        None => format!("{} for all organisations", objective.service),
    }
}

/// Formats the target of an objective.
pub(crate) fn format_goal(objective: &ObjectiveReport) -> String {
    let percent = objective.target * 100.0;
    match (objective.kind, objective.threshold_ms) {
        (ObjectiveKind::Latency, Some(ms)) => format!("{percent}% within {ms} ms"),
        _ => format!("{percent}% complete responses"),
    }
}

/// Formats a number of seconds in the largest unit that divides it.
pub(crate) fn format_seconds(seconds: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(86_400, "d"), (3_600, "h"), (60, "min")];
    let unit = UNITS
        .iter()
        .find(|(unit, _)| seconds >= *unit && seconds.is_multiple_of(*unit));
    match unit {
        Some((unit, name)) => format!("{} {name}", seconds / unit),
        None => format!("{seconds} s"),
    }
}
