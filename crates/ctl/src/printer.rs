//! Output of replies as text or JSON.

use std::io::{self, Write, stdout};

use filbertwheel_core::Text;
use filbertwheel_operator::Reply;
use serde_json::{Map, Value, json};

/// Terminal style of the column names: bold.
const BOLD: &str = "\x1b[1m";
/// Terminal style of changes in force: green.
const GREEN: &str = "\x1b[32m";
/// Terminal style of pending changes: yellow.
const YELLOW: &str = "\x1b[33m";
/// Resets the terminal style.
const RESET: &str = "\x1b[0m";
/// Clears the screen and moves the cursor to its top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Output format of replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Style {
    /// Text without colours.
    Plain,
    /// Text with colours, for a terminal.
    Coloured,
    /// One JSON document per reply.
    Json,
}

/// Writes replies to standard output.
#[derive(Debug)]
pub(crate) struct Printer {
    style: Style,
}

impl Printer {
    /// Creates a printer.
    pub fn open(style: Style) -> Self {
        Self { style }
    }

    /// Clears the screen if the output is a terminal.
    pub fn clear_screen(&self) -> io::Result<()> {
        match self.style {
            Style::Coloured => write!(stdout(), "{CLEAR_SCREEN}"),
            _ => Ok(()),
        }
    }

    /// Prints a new API key.
    pub fn print_key(&self, key: &str) -> io::Result<()> {
        match self.style {
            Style::Json => writeln!(stdout(), "{}", json!({ "key": key })),
            Style::Plain => writeln!(stdout(), "key {key}"),
            Style::Coloured => writeln!(stdout(), "key {key}\nIt is shown only once."),
        }
    }

    /// Prints a reply.
    pub fn print_reply(&self, reply: &Reply) -> io::Result<()> {
        let mut out = stdout().lock();
        if self.style == Style::Json {
            return writeln!(out, "{}", reply_json(reply));
        }
        match reply {
            Reply::Accepted { version } => {
                let line = self.paint(GREEN, &format!("accepted as version {version}"));
                writeln!(out, "{line}")
            }
            Reply::Pending { version, .. } => {
                let line = self.paint(YELLOW, &format!("kept as version {version}"));
                writeln!(out, "{line}")
            }
            Reply::Rows { columns, rows } => self.print_rows(&mut out, columns, rows),
        }
    }

    fn print_rows(
        &self,
        out: &mut impl Write,
        columns: &[Text],
        rows: &[Vec<Text>],
    ) -> io::Result<()> {
        let widths: Vec<usize> = (0..columns.len())
            .map(|index| column_width(index, columns, rows))
            .collect();
        writeln!(out, "{}", self.paint(BOLD, &align_row(columns, &widths)))?;
        for row in rows {
            writeln!(out, "{}", align_row(row, &widths))?;
        }
        Ok(())
    }

    fn paint(&self, colour: &str, text: &str) -> String {
        match self.style {
            Style::Coloured => format!("{colour}{text}{RESET}"),
            _ => text.to_owned(),
        }
    }
}

fn column_width(index: usize, columns: &[Text], rows: &[Vec<Text>]) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(index));
    cells
        .chain(columns.get(index))
        .map(|cell| printable(cell).chars().count())
        .max()
        .unwrap_or(0)
}

fn align_row(row: &[Text], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{:<width$}", printable(cell)))
        .collect();
    cells.join("  ").trim_end().to_owned()
}

/// Replaces control characters, which a terminal could interpret as commands.
fn printable(cell: &Text) -> String {
    let visible = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    cell.to_string().chars().map(visible).collect()
}

fn reply_json(reply: &Reply) -> Value {
    match reply {
        Reply::Accepted { version } => json!({ "outcome": "accepted", "version": version }),
        Reply::Pending { version, waiting } => {
            json!({ "outcome": "pending", "version": version, "waiting": waiting })
        }
        Reply::Rows { columns, rows } => {
            let rows: Vec<Value> = rows.iter().map(|row| row_json(columns, row)).collect();
            json!({ "outcome": "rows", "rows": rows })
        }
    }
}

fn row_json(columns: &[Text], row: &[Text]) -> Value {
    let cells = columns.iter().zip(row);
    let cells: Map<String, Value> = cells
        .map(|(column, cell)| (column.to_string(), json!(cell)))
        .collect();
    Value::Object(cells)
}
