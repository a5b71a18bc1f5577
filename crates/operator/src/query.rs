//! Queries of a node's tables, with filters, order and limit.

use std::cmp::Ordering;

use filbertwheel_core::{Text, message};

/// A table that can be queried.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum View {
    /// Organisations with their rate limits.
    Organisations,
    /// API keys, by hash.
    Keys,
    /// Routes.
    Routes,
    /// Services with the number of their backend servers in each state.
    Services,
    /// Backend servers.
    Members,
    /// Refused requests by kind, at the queried node.
    Refusals,
    /// Shares of the rate limits, at the queried node.
    Shares,
    /// Configuration version of each node.
    Versions,
    /// State of the queried node.
    Status,
}

/// A query of one view.
#[message]
#[derive(Eq)]
pub struct Query {
    /// The view.
    pub view: View,
    /// Conditions that each returned row meets.
    pub filters: Vec<Filter>,
    /// Sort order of the rows, if any.
    pub sort: Option<Sort>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// An equality condition on one column.
#[message]
#[derive(Eq)]
pub struct Filter {
    /// Name of the column.
    pub column: Text,
    /// Required value.
    pub value: Text,
}

/// A sort order by one column.
#[message]
#[derive(Eq)]
pub struct Sort {
    /// Name of the column.
    pub column: Text,
    /// Whether the largest value comes first.
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

    /// Returns the keyword of the view.
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

    /// Returns the names of the columns.
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
    /// Creates a query of all rows of a view.
    pub fn all(view: View) -> Self {
        Self {
            view,
            filters: Vec::new(),
            sort: None,
            limit: None,
        }
    }

    /// Filters, sorts and truncates the rows.
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

/// Compares two numbers by value, and other cells bytewise. Numbers come first.
fn compare_cells(left: Option<&Text>, right: Option<&Text>) -> Ordering {
    let number = |cell: Option<&Text>| cell?.as_str()?.parse::<f64>().ok();
    let by_value = match (number(left), number(right)) {
        (Some(left), Some(right)) => left.total_cmp(&right),
        (Some(_), None) => Ordering::Less,
        (None, Some(_)) => Ordering::Greater,
        (None, None) => Ordering::Equal,
    };
    by_value.then_with(|| left.cmp(&right))
}
