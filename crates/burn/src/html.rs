//! The report as an HTML page with SVG charts.

use crate::text::{format_goal, format_scope, format_seconds};
use crate::{ObjectiveReport, Point, Report, WindowBurn};

/// Width of a chart, in SVG units.
const CHART_WIDTH: f64 = 720.0;
/// Height of a chart, in SVG units.
const CHART_HEIGHT: f64 = 160.0;
/// Space for the labels left of a chart, in SVG units.
const LEFT_MARGIN: f64 = 44.0;
/// Minimum burn rate at the top of a chart.
const MIN_CHART_TOP: f64 = 2.0;
/// Style sheet of the page.
const STYLE: &str = "\
:root{color-scheme:light dark;--ink:#1c2430;--soft:#5b6675;--rule:#d5dbe3;--card:#fff;\
--back:#f3f5f8;--line:#2563a8;--bad:#b42318;--good:#23764a}\
@media(prefers-color-scheme:dark){:root{--ink:#e6eaf0;--soft:#9aa5b4;--rule:#38414e;\
--card:#1b212a;--back:#12161c;--line:#74aaea;--bad:#f2857b;--good:#6cc796}}\
body{font:16px/1.5 system-ui,sans-serif;color:var(--ink);background:var(--back);margin:0 auto;\
max-width:800px;padding:24px}h1{font-size:26px;margin:0}h2{font-size:19px;margin:0}\
p{margin:4px 0;color:var(--soft)}section{background:var(--card);border:1px solid var(--rule);\
border-radius:8px;padding:20px;margin:20px 0}header.row{display:flex;justify-content:space-between;\
gap:16px;align-items:baseline}.alert{color:var(--bad);font-weight:600}\
.ok{color:var(--good);font-weight:600}table{border-collapse:collapse;width:100%;margin-top:12px;\
font-variant-numeric:tabular-nums}th,td{text-align:right;padding:5px 8px;\
border-bottom:1px solid var(--rule)}th{font-weight:600;color:var(--soft)}\
th:first-child,td:first-child{text-align:left}svg{width:100%;height:auto;margin-top:12px}\
.bar{background:var(--rule);border-radius:4px;height:10px;margin-top:10px}\
.bar div{background:var(--good);border-radius:4px;height:10px}.bar div.low{background:var(--bad)}";

/// Formats the report as a self-contained HTML page.
pub fn html_report(report: &Report) -> String {
    let sections: String = report.objectives.iter().map(objective_section).collect();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\
         <h1>Service-level burn</h1><p>Scrapes cover {}. Budgets cover {}. A burn rate of 1 \
         spends a budget exactly in its period.</p>\n{sections}</body></html>\n",
        format_seconds(report.covered_s),
        format_seconds(report.budget_s)
    )
}

fn objective_section(objective: &ObjectiveReport) -> String {
    let alerts = objective.burns.iter().any(|burn| burn.alert);
    let (class, state) = if alerts {
        ("alert", "Alert")
    } else {
        ("ok", "Within limits")
    };
    format!(
        "<section><header class=\"row\"><h2>{}</h2><span class=\"{class}\">{state}</span></header>\
         <p>{}, {}. {:.0} of {:.0} calls missed the objective.</p>{}{}{}</section>\n",
        escape(&objective.name.to_string()),
        escape(&format_scope(objective)),
        escape(&format_goal(objective)),
        objective.bad,
        objective.total,
        budget_bar(objective.budget_left),
        burn_chart(objective),
        windows_table(&objective.burns)
    )
}

fn budget_bar(budget_left: f64) -> String {
    let width = budget_left.clamp(0.0, 1.0) * 100.0;
    let class = if budget_left < 0.25 {
        " class=\"low\""
    } else {
        ""
    };
    format!(
        "<div class=\"bar\"><div{class} style=\"width:{width:.1}%\"></div></div>\
         <p>{:.1}% of the error budget is left.</p>",
        budget_left * 100.0
    )
}

fn burn_chart(objective: &ObjectiveReport) -> String {
    let (Some(first), Some(end)) = (objective.burns.first(), objective.chart.last()) else {
        return String::new();
    };
    let highest = objective.chart.iter().map(|point| point.burn);
    let top = highest.fold(MIN_CHART_TOP.max(first.limit * 1.1), f64::max);
    let position = |point: &Point| {
        let x = LEFT_MARGIN + (CHART_WIDTH - LEFT_MARGIN) * point.at_s / end.at_s.max(1.0);
        (x, y_of(point.burn, top))
    };
    let points: Vec<String> = objective
        .chart
        .iter()
        .map(position)
        .map(|(x, y)| format!("{x:.1},{y:.1}"))
        .collect();
    format!(
        "<svg viewBox=\"0 -8 {CHART_WIDTH} {}\" role=\"img\" aria-label=\"Burn rate over time\" \
         font-size=\"12\" fill=\"var(--soft)\">{}{}{}<polyline points=\"{}\" fill=\"none\" \
         stroke=\"var(--line)\" stroke-width=\"2\"/>\
         <text x=\"{LEFT_MARGIN}\" y=\"{}\">0</text>\
         <text x=\"{CHART_WIDTH}\" y=\"{}\" text-anchor=\"end\">{} · burn rate over {}</text></svg>",
        CHART_HEIGHT + 28.0,
        level_line(0.0, top, "var(--rule)", ""),
        level_line(1.0, top, "var(--rule)", " stroke-dasharray=\"2 4\""),
        level_line(first.limit, top, "var(--bad)", " stroke-dasharray=\"6 4\""),
        points.join(" "),
        CHART_HEIGHT + 15.0,
        CHART_HEIGHT + 15.0,
        format_seconds(end.at_s as u64),
        format_seconds(first.short_s)
    )
}

/// Draws a labelled horizontal line at a burn rate.
fn level_line(burn: f64, top: f64, colour: &str, dashes: &str) -> String {
    let y = y_of(burn, top);
    format!(
        "<line x1=\"{LEFT_MARGIN}\" y1=\"{y:.1}\" x2=\"{CHART_WIDTH}\" y2=\"{y:.1}\" stroke=\"{colour}\"{dashes}/>\
         <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{burn}</text>",
        LEFT_MARGIN - 6.0,
        y + 4.0
    )
}

fn y_of(burn: f64, top: f64) -> f64 {
    CHART_HEIGHT * (1.0 - burn / top)
}

fn windows_table(burns: &[WindowBurn]) -> String {
    let rows: String = burns.iter().map(window_row).collect();
    format!(
        "<table><tr><th>Windows</th><th>Long</th><th>Short</th><th>Limit</th><th>State</th></tr>\
         {rows}</table>"
    )
}

fn window_row(burn: &WindowBurn) -> String {
    let (class, state) = match (burn.alert, burn.partial) {
        (true, _) => ("alert", "alert"),
        (false, true) => ("ok", "ok so far"),
        (false, false) => ("ok", "ok"),
    };
    format!(
        "<tr><td>{} ({} and {})</td><td>{:.2}</td><td>{:.2}</td><td>{}</td>\
         <td class=\"{class}\">{state}</td></tr>",
        escape(&burn.name.to_string()),
        format_seconds(burn.long_s),
        format_seconds(burn.short_s),
        burn.long,
        burn.short,
        burn.limit
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
