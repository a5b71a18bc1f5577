//! Burn rates from recorded scrapes.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use filbertwheel_burn::{
    BurnSettings, History, Report, SampleError, build_report, html_report, text_report,
};

/// Environment variable that makes the tests rewrite the expected output.
const BLESS_VARIABLE: &str = "FILBERTWHEEL_BLESS";

fn case(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/cases")
        .join(name)
}

fn assert_expected(name: &str, output: &str) {
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        fs::write(case(name), output).unwrap();
    }
    assert_eq!(output, fs::read_to_string(case(name)).unwrap());
}

/// Scrapes of two nodes over 20 minutes. The first node restarts once, and calls fail near the end.
fn sample_record() -> String {
    let mut record = String::new();
    for minute in 0..=20_u32 {
        let failed = minute.saturating_sub(15) * 20;
        let since_start = if minute < 10 { minute } else { minute - 10 };
        scrape(&mut record, "vm1", minute, since_start * 90, failed);
        scrape(&mut record, "vm2", minute, minute * 90, 0);
    }
    record
}

fn scrape(record: &mut String, node: &str, minute: u32, whole: u32, failed: u32) {
    let calls = "filbertwheel_calls_total{service=\"payments\",organisation=\"kalnins\"";
    let timed = "filbertwheel_call_duration_seconds";
    let labels = "service=\"availability\",organisation=\"a \\\"b\\\"\"";
    writeln!(
        record,
        "# scrape {node} {}\n# TYPE filbertwheel_calls counter",
        60 * minute
    )
    .unwrap();
    writeln!(record, "{calls},outcome=\"whole\",reason=\"\"}} {whole}").unwrap();
    writeln!(
        record,
        "{calls},outcome=\"not-run\",reason=\"over-rate\"}} {}",
        minute * 500
    )
    .unwrap();
    if failed > 0 {
        writeln!(
            record,
            "{calls},outcome=\"not-run\",reason=\"overloaded\"}} {failed}"
        )
        .unwrap();
    }
    writeln!(
        record,
        "{timed}_bucket{{le=\"0.05\",{labels}}} {}",
        whole / 10 * 9
    )
    .unwrap();
    writeln!(record, "{timed}_bucket{{le=\"0.1\",{labels}}} {whole}").unwrap();
    writeln!(record, "{timed}_count{{{labels}}} {whole}\n# EOF").unwrap();
}

fn sample_report() -> Report {
    let settings = BurnSettings::load(&case("objectives.toml")).unwrap();
    build_report(&settings, &History::read(&sample_record()).unwrap())
}

#[test]
fn text_report_matches_the_expected_file() {
    assert_expected("report.txt", &text_report(&sample_report()));
}

#[test]
fn html_report_matches_the_expected_file() {
    assert_expected("report.html", &html_report(&sample_report()));
}

#[test]
fn caller_errors_spend_no_budget() {
    let report = sample_report();
    // Complete responses: 1800 at vm2 and 1710 at vm1, which loses the last minute before its
    // restart. The 20,000 refusals over the rate limit do not count.
    assert_eq!(
        (report.objectives[0].bad, report.objectives[0].total),
        (100.0, 3_610.0)
    );
}

#[test]
fn counter_resets_and_late_counters_are_counted() {
    let line = |at: u32, value: u32| format!("# scrape vm1 {at}\ncalls{{}} {value}\n");
    let history = |record: &str| History::read(record).unwrap();
    let increase = |history: &History, window| {
        history.increase(
            &[("", "calls")],
            Duration::from_secs(30),
            Duration::from_secs(window),
        )
    };
    let again = [line(0, 100), line(10, 110), line(20, 4), line(30, 9)].concat();
    assert_eq!(increase(&history(&again), 30), 19.0);
    assert_eq!(increase(&history(&again), 10), 5.0);
    let late = ["# scrape vm1 0\n".to_owned(), line(10, 7), line(30, 8)].concat();
    assert_eq!(increase(&history(&late), 30), 8.0);
}

#[test]
fn malformed_record_names_its_line() {
    let error = |record| History::read(record).unwrap_err();
    assert_eq!(error("calls 1\n"), SampleError::ScrapeHeader { line: 1 });
    assert_eq!(
        error("# scrape vm1\n"),
        SampleError::ScrapeHeader { line: 1 }
    );
    let open = "# scrape vm1 0\ncalls{service=\"open 1\n";
    assert_eq!(error(open), SampleError::Metric { line: 2 });
    assert_eq!(
        error("# scrape vm1 0\ncalls five\n"),
        SampleError::Metric { line: 2 }
    );
    assert_eq!(error(""), SampleError::Empty);
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertwheel-burn"));
    command.args(arguments).output().unwrap()
}

#[test]
fn objectives_are_validated_first() {
    let path = case("wrong.toml");
    let path = path.to_str().unwrap();
    let output = run(&[
        "--objectives",
        path,
        "--scrape",
        "127.0.0.1:1",
        "--for",
        "1",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_expected("wrong.out", &stderr.replace(path, "objectives.toml"));
}

#[test]
fn exit_codes_distinguish_errors() {
    let objectives = case("objectives.toml");
    let objectives = objectives.to_str().unwrap();
    let code = |arguments: &[&str]| {
        run(&[&["--objectives", objectives], arguments].concat())
            .status
            .code()
    };
    assert_eq!(code(&["--check"]), Some(0));
    assert_eq!(code(&[]), Some(2));
    assert_eq!(code(&["/nowhere/record"]), Some(2));
    assert_eq!(code(&["--scrape", "127.0.0.1:1", "--for", "0.01"]), Some(5));
}
