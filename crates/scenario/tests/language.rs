//! Tests of the scenario language: accepted statements and the positions of syntax errors.

use std::path::Path;
use std::time::Duration;

use filbertwheel_scenario::parse;
use filbertwheel_scenario::script::{
    Action, Bound, CallPlan, Limit, LinkState, Outcome, Part, SendPlan, Statement,
};

fn parse_statement(text: &str) -> Statement {
    let steps = parse(text).expect("the line should parse");
    steps
        .into_iter()
        .next()
        .expect("there should be one step")
        .statement
}

fn error_position(text: &str) -> (usize, usize) {
    let error = parse(text).expect_err("the text should be rejected");
    (error.line, error.column)
}

#[test]
fn comments_and_empty_lines_are_skipped() {
    let steps =
        parse("# A comment.\n\n  # Another.\nstart platform\n").expect("the text should parse");
    assert_eq!(steps.len(), 1);
    assert_eq!(
        (steps[0].line, &steps[0].statement),
        (4, &Statement::StartPlatform)
    );
}

#[test]
fn signals_and_restarts_take_a_part() {
    let killed = Statement::Signal(Action::Kill, Part::Backend, 3);
    assert_eq!(parse_statement("kill backend 3"), killed);
    assert_eq!(
        parse_statement("freeze node 12"),
        Statement::Signal(Action::Freeze, Part::Node, 12)
    );
    assert_eq!(
        parse_statement("restart vm 1"),
        Statement::Restart(Part::Vm, 1)
    );
}

#[test]
fn send_takes_calls_and_bounds() {
    let line = "send 20 calls rate 5 to /a/b at vm 1 2 as $k body glass request id-1 retrying 3 \
                expect whole at least 90 percent and not-run for over-rate at most 2 and cut 0";
    let bound = |outcome, reason: Option<&str>, limit| Bound {
        outcome,
        reason: reason.map(str::to_owned),
        limit,
    };
    let expected = Statement::Send(SendPlan {
        count: 20,
        rate: Some(5),
        call: CallPlan {
            path: "/a/b".to_owned(),
            vms: vec![1, 2],
            key: Some("k".to_owned()),
            body: Some("glass".to_owned()),
            request: Some("id-1".into()),
            retries: 3,
        },
        bounds: vec![
            bound(Outcome::Whole, None, Limit::AtLeastPercent(90)),
            bound(Outcome::NotRun, Some("over-rate"), Limit::AtMost(2)),
            bound(Outcome::Cut, None, Limit::Exactly(0)),
        ],
    });
    assert_eq!(parse_statement(line), expected);
}

#[test]
fn commands_are_kept_verbatim() {
    let expected = Statement::ExpectShow {
        vm: 2,
        text: "ward".to_owned(),
        present: false,
        within: Duration::from_secs(13),
        command: "show organisations".to_owned(),
    };
    assert_eq!(
        parse_statement("expect vm 2 hides ward within 13: show organisations"),
        expected
    );
    assert_eq!(
        parse_statement("link 1 3 slow 20"),
        Statement::SetLink(1, 3, LinkState::Slow(20))
    );
}

#[test]
fn errors_report_line_and_column() {
    assert_eq!(error_position("start platform\nwait fro vm 1"), (2, 6));
    assert_eq!(error_position("fault platform slow x"), (1, 21));
    assert_eq!(error_position("\n\nwait 99999999999"), (3, 6));
    assert_eq!(error_position("link 1 2 whole today"), (1, 16));
}

#[test]
fn limits_admit_counts() {
    assert!(Limit::AtLeastPercent(99).admits(99, 100));
    assert!(!Limit::AtLeastPercent(99).admits(98, 100));
    assert!(Limit::AtMost(3).admits(3, 9) && !Limit::AtMost(3).admits(4, 9));
    assert!(Limit::AtLeast(3).admits(3, 9) && !Limit::AtLeast(3).admits(2, 9));
    assert!(Limit::Exactly(3).admits(3, 9) && !Limit::Exactly(3).admits(4, 9));
}

#[test]
fn every_scenario_parses() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in
        std::fs::read_dir(directory).expect("the directory of scenarios should be readable")
    {
        let path = entry
            .expect("the directory entry should be readable")
            .path();
        let text = std::fs::read_to_string(&path).expect("the scenario should be readable");
        if let Err(error) = parse(&text) {
            panic!("{}: {error}", path.display());
        }
        count += 1;
    }
    assert!(count >= 20, "expected at least 20 scenarios, found {count}");
}
