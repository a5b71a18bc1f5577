//! Queries: what's shown, and which rows in which order.

use std::cmp::Ordering;

use filbertwheel_core::{Text, message};

/// What can be shown.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum View {
    /// Organisations with their limits.
    Organisations,
    /// Keys by hash.
    Keys,
    /// Routes.
    Routes,
    /// Services with their backend servers.
    Services,
    /// Backend servers.
    Members,
    /// Refusals by kind, at the node that answers.
    Refusals,
    /// Shares of the rates, at the node that answers.
    Shares,
    /// Configuration version of each node.
    Versions,
    /// The node that answers.
    Status,
}

/// A question and how its rows are wanted.
#[message]
#[derive(Eq)]
pub struct Query {
    /// What's shown.
    pub view: View,
    /// Conditions that every row meets.
    pub filters: Vec<Filter>,
    /// Order of the rows.
    pub sort: Option<Sort>,
    /// Number of rows at most.
    pub limit: Option<usize>,
}

/// A condition on one column.
#[message]
#[derive(Eq)]
pub struct Filter {
    /// Name of the column.
    pub column: Text,
    /// Value that it must have.
    pub value: Text,
}

/// An order of rows.
#[message]
#[derive(Eq)]
pub struct Sort {
    /// Name of the column.
    pub column: Text,
    /// Whether the largest comes first.
    pub descending: bool,
}

impl View {
    /// All views.
    pub const ALL: [Self; 9] = [
        Self::Organisations,
        Self::Keys,
        Self::Routes,
        Self::Services,
        Self::Members,
        Self::Refusals,
        Self::Shares,
        Self::Versions,
        Self::Status,
    ];

    /// Its word in the language.
    pub fn name(self) -> &'static str {
        match self {
            Self::Organisations => "organisations",
            Self::Keys => "keys",
            Self::Routes => "routes",
            Self::Services => "services",
            Self::Members => "members",
            Self::Refusals => "refusals",
            Self::Shares => "shares",
            Self::Versions => "versions",
            Self::Status => "status",
        }
    }

    /// Names of its columns.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Organisations => &["organisation", "rate", "burst", "keys"],
            Self::Keys => &["hash", "organisation"],
            Self::Routes => &[
                "route",
                "service",
                "method",
                "prefix",
                "criticality",
                "idempotent",
                "open",
            ],
            Self::Services => &["service", "serving", "joining", "draining", "gone", "slots"],
            Self::Members => &[
                "vm", "region", "domain", "service", "status", "slots", "address",
            ],
            Self::Refusals => &["service", "organisation", "outcome", "reason", "calls"],
            Self::Shares => &["organisation", "portion", "rate"],
            Self::Versions => &["vm", "version"],
            Self::Status => &["vm", "root", "fence", "version", "confirmed", "current"],
        }
    }
}

impl Query {
    /// All rows of a view.
    pub fn all(view: View) -> Self {
        Self {
            view,
            filters: Vec::new(),
            sort: None,
            limit: None,
        }
    }

    /// The rows that are wanted, in their order.
    pub fn apply(&self, mut rows: Vec<Vec<Text>>) -> Vec<Vec<Text>> {
        for filter in &self.filters {
            let index = self.column_index(&filter.column);
            rows.retain(|row| cell(row, index) == Some(&filter.value));
        }
        if let Some(sort) = &self.sort {
            let index = self.column_index(&sort.column);
            rows.sort_by(|left, right| compare_cells(cell(left, index), cell(right, index)));
            if sort.descending {
                rows.reverse();
            }
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows
    }

    fn column_index(&self, column: &Text) -> Option<usize> {
        let columns = self.view.columns();
        columns
            .iter()
            .position(|name| name.as_bytes() == column.as_bytes())
    }
}

fn cell(row: &[Text], index: Option<usize>) -> Option<&Text> {
    row.get(index?)
}

/// Numbers by size, everything else by its bytes.
fn compare_cells(left: Option<&Text>, right: Option<&Text>) -> Ordering {
    let number = |cell: Option<&Text>| cell?.as_str()?.parse::<f64>().ok();
    match (number(left), number(right)) {
        (Some(left), Some(right)) => left.total_cmp(&right),
        _ => left.cmp(&right),
    }
}
