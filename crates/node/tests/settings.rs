//! Settings files. The `.out` file beside a `.toml` file has the errors that the program prints.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Environment variable that rewrites the expected output before the comparison, if it is set.
const BLESS_VARIABLE: &str = "FILBERTWHEEL_BLESS";

#[test]
fn all_errors_of_keys_and_types_are_reported_with_their_lines() {
    check("types");
}

#[test]
fn all_values_out_of_range_are_reported_with_their_lines() {
    check("values");
}

#[test]
fn syntax_errors_are_reported_with_their_lines() {
    check("syntax");
}

#[test]
fn a_missing_file_is_an_error() {
    let (code, output) = run(Path::new("/nowhere/node.toml"));
    assert_eq!(code, Some(2));
    assert!(output.contains("/nowhere/node.toml: "), "{output}");
}

#[test]
fn valid_settings_pass_the_check() {
    assert_eq!(run(&case("good")), (Some(0), String::new()));
}

fn case(name: &str) -> PathBuf {
    let cases = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings");
    cases.join(name).with_extension("toml")
}

fn check(name: &str) {
    let path = case(name);
    let (code, output) = run(&path);
    assert_eq!(code, Some(2));
    let output = output.replace(path.to_str().unwrap(), "node.toml");
    let expected = path.with_extension("out");
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        fs::write(&expected, &output).unwrap();
    }
    assert_eq!(output, fs::read_to_string(expected).unwrap());
}

/// Returns the exit code and the standard error of a check.
fn run(path: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertwheel-node"));
    let output = command.arg("--check").arg("--settings").arg(path).output();
    let output = output.unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stderr).unwrap(),
    )
}
