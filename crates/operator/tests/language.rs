//! The command language: compares the result of each line of a case file with the expected output.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use filbertwheel_core::Text;
use filbertwheel_operator::{Filter, Query, Sort, View, parse};
use proptest::prelude::{ProptestConfig, any};
use proptest::{prop_assert, proptest};

/// Environment variable that makes the tests rewrite the expected output.
const BLESS_VARIABLE: &str = "FILBERTWHEEL_BLESS";

#[test]
fn commands_parse_as_expected() {
    check_cases("commands");
}

#[test]
fn parse_errors_name_column_and_expectation() {
    check_cases("errors");
}

fn check_cases(name: &str) {
    let cases = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let input = fs::read_to_string(cases.join(name).with_extension("txt")).unwrap();
    let mut output = String::new();
    for line in input.lines() {
        let result = match parse(line) {
            Ok(statement) => format!("{statement:?}"),
            Err(error) => error.to_string(),
        };
        writeln!(output, "> {line}\n{result}\n").unwrap();
    }
    let expected = cases.join(name).with_extension("out");
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        fs::write(&expected, &output).unwrap();
    }
    assert_eq!(output, fs::read_to_string(&expected).unwrap());
}

#[test]
fn rows_are_filtered_ordered_and_limited() {
    let rows = [["vm9", "10"], ["vm1", "9"], ["vm2", "10"], ["vm3", "100"]];
    let rows = rows.map(|row| row.map(Text::from).to_vec()).to_vec();
    let sort = |descending| {
        Some(Sort {
            column: "version".into(),
            descending,
        })
    };
    let query = Query {
        sort: sort(true),
        limit: Some(2),
        ..Query::all(View::Versions)
    };
    assert_eq!(first_cells(&query, &rows), ["vm3", "vm2"]);
    let query = Query {
        sort: sort(false),
        ..Query::all(View::Versions)
    };
    assert_eq!(first_cells(&query, &rows), ["vm1", "vm9", "vm2", "vm3"]);
    let filter = Filter {
        column: "version".into(),
        value: "10".into(),
    };
    let query = Query {
        filters: vec![filter],
        ..Query::all(View::Versions)
    };
    assert_eq!(first_cells(&query, &rows), ["vm9", "vm2"]);
}

fn first_cells(query: &Query, rows: &[Vec<Text>]) -> Vec<String> {
    let selected = query.apply(rows.to_vec());
    selected.iter().map(|row| row[0].to_string()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_parse_error_lies_within_its_line(line in any::<String>()) {
        if let Err(error) = parse(&line) {
            prop_assert!((1..=line.chars().count() + 1).contains(&error.column));
        }
    }

    #[test]
    fn every_name_can_be_quoted(name in "[^\u{0}]{1,20}") {
        let quoted = name.replace('\\', "\\\\").replace('"', "\\\"");
        let line = format!("remove organisation \"{quoted}\"");
        prop_assert!(parse(&line).is_ok(), "{line}");
    }
}
