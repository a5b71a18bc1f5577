//! Line plots as SVG.

use std::fmt::Write;

/// Width of a plot in pixels.
const WIDTH: f64 = 720.0;
/// Height of a plot in pixels.
const HEIGHT: f64 = 220.0;
/// Margin for labels in pixels.
const MARGIN: f64 = 50.0;
/// Colours of the lines.
const COLOURS: [&str; 8] = [
    "#c33", "#36c", "#393", "#c80", "#839", "#099", "#666", "#a52",
];

/// A line of a plot.
#[derive(Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as pairs of x and y.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` into one plot and returns it as SVG.
pub fn plot(title: &str, lines: &[Line]) -> String {
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1e-3, f64::max);
    let x = |value: f64| MARGIN + value / right * (WIDTH - 2.0 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - value / top * (HEIGHT - 2.0 * MARGIN);
    let mut svg = format!(
        "<h3>{title}</h3><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" font-size=\"11\">\
         <path d=\"M{0} {1}H{2}M{0} {1}V{3}\" stroke=\"black\" fill=\"none\"/>\
         <text x=\"4\" y=\"{3}\">{top:.2}</text><text x=\"4\" y=\"{1}\">0</text>\
         <text x=\"{2}\" y=\"{4}\">{right:.0} s</text>",
        MARGIN,
        HEIGHT - MARGIN,
        WIDTH - MARGIN,
        MARGIN,
        HEIGHT - MARGIN + 14.0,
    );
    for (index, line) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let mut path = String::new();
        for (px, py) in &line.points {
            let _infallible = write!(path, "{:.1},{:.1} ", x(*px), y(*py));
        }
        let legend = MARGIN + 80.0 * index as f64;
        let _infallible = write!(
            svg,
            "<polyline points=\"{path}\" fill=\"none\" stroke=\"{colour}\"/>\
             <text x=\"{legend}\" y=\"{:.0}\" fill=\"{colour}\">{}</text>",
            HEIGHT - 8.0,
            line.name,
        );
    }
    svg + "</svg>"
}
