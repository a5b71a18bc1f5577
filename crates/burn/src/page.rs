//! The report as an HTML page with SVG charts.

use crate::text::{goal, span, subject};
use crate::{Burn, Line, Point, Report};

/// Width of a chart.
const WIDTH: f64 = 720.0;
/// Height of a chart.
const HEIGHT: f64 = 160.0;
/// Room for the labels left of a chart.
const MARGIN: f64 = 44.0;
/// Smallest burn rate at the top of a chart.
const LOWEST_TOP: f64 = 2.0;
/// Style of the page.
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

/// The report as a page that needs nothing else.
pub fn page(report: &Report) -> String {
    let sections: String = report.lines.iter().map(section).collect();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\
         <h1>Service-level burn</h1><p>Scrapes cover {}. Budgets cover {}. A burn rate of 1 \
         spends a budget exactly in its period.</p>\n{sections}</body></html>\n",
        span(report.covered_s),
        span(report.budget_s)
    )
}

fn section(line: &Line) -> String {
    let alerts = line.burns.iter().any(|burn| burn.alert);
    let (class, state) = if alerts {
        ("alert", "Alert")
    } else {
        ("ok", "Within limits")
    };
    format!(
        "<section><header class=\"row\"><h2>{}</h2><span class=\"{class}\">{state}</span></header>\
         <p>{}, {}. {:.0} of {:.0} calls were not good.</p>{}{}{}</section>\n",
        escape(&line.name.to_string()),
        escape(&subject(line)),
        escape(&goal(line)),
        line.bad,
        line.total,
        budget(line.left),
        chart(line),
        table(&line.burns)
    )
}

fn budget(left: f64) -> String {
    let width = left.clamp(0.0, 1.0) * 100.0;
    let class = if left < 0.25 { " class=\"low\"" } else { "" };
    format!(
        "<div class=\"bar\"><div{class} style=\"width:{width:.1}%\"></div></div>\
         <p>{:.1}% of the error budget is left.</p>",
        left * 100.0
    )
}

fn chart(line: &Line) -> String {
    let (Some(first), Some(end)) = (line.burns.first(), line.chart.last()) else {
        return String::new();
    };
    let highest = line.chart.iter().map(|point| point.burn);
    let top = highest.fold(LOWEST_TOP.max(first.limit * 1.1), f64::max);
    let place = |point: &Point| {
        let x = MARGIN + (WIDTH - MARGIN) * point.at_s / end.at_s.max(1.0);
        (x, height(point.burn, top))
    };
    let points: Vec<String> = line
        .chart
        .iter()
        .map(place)
        .map(|(x, y)| format!("{x:.1},{y:.1}"))
        .collect();
    format!(
        "<svg viewBox=\"0 -8 {WIDTH} {}\" role=\"img\" aria-label=\"Burn rate over time\" \
         font-size=\"12\" fill=\"var(--soft)\">{}{}{}<polyline points=\"{}\" fill=\"none\" \
         stroke=\"var(--line)\" stroke-width=\"2\"/>\
         <text x=\"{MARGIN}\" y=\"{}\">0</text>\
         <text x=\"{WIDTH}\" y=\"{}\" text-anchor=\"end\">{} · burn rate over {}</text></svg>",
        HEIGHT + 28.0,
        rule(0.0, top, "var(--rule)", ""),
        rule(1.0, top, "var(--rule)", " stroke-dasharray=\"2 4\""),
        rule(first.limit, top, "var(--bad)", " stroke-dasharray=\"6 4\""),
        points.join(" "),
        HEIGHT + 15.0,
        HEIGHT + 15.0,
        span(end.at_s as u64),
        span(first.short_s)
    )
}

/// A level line with its burn rate.
fn rule(burn: f64, top: f64, colour: &str, dashes: &str) -> String {
    let y = height(burn, top);
    format!(
        "<line x1=\"{MARGIN}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\" stroke=\"{colour}\"{dashes}/>\
         <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{burn}</text>",
        MARGIN - 6.0,
        y + 4.0
    )
}

fn height(burn: f64, top: f64) -> f64 {
    HEIGHT * (1.0 - burn / top)
}

fn table(burns: &[Burn]) -> String {
    let rows: String = burns.iter().map(row).collect();
    format!(
        "<table><tr><th>Windows</th><th>Long</th><th>Short</th><th>Limit</th><th>State</th></tr>\
         {rows}</table>"
    )
}

fn row(burn: &Burn) -> String {
    let (class, state) = match (burn.alert, burn.partial) {
        (true, _) => ("alert", "alert"),
        (false, true) => ("ok", "ok so far"),
        (false, false) => ("ok", "ok"),
    };
    format!(
        "<tr><td>{} ({} and {})</td><td>{:.2}</td><td>{:.2}</td><td>{}</td>\
         <td class=\"{class}\">{state}</td></tr>",
        escape(&burn.name.to_string()),
        span(burn.long_s),
        span(burn.short_s),
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
