//! Tests of the metrics that a node exports.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::time::Duration;

use filbertwheel_core::{Answer, Failure, Refusal, RefusalKind, UnknownReason, Verdict};
use filbertwheel_node::Metrics;

fn complete_response() -> Verdict {
    Ok(Answer {
        status: 200,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        retries: 0,
    })
}

fn line(text: &str, start: &str) -> String {
    let mut lines = text.lines().filter(|line| line.starts_with(start));
    lines.next().unwrap_or_default().to_owned()
}

#[test]
fn calls_are_counted_by_service_organisation_outcome_and_reason() {
    let metrics = Metrics::open();
    let took = Duration::from_millis(30);
    let refused = || Err(Failure::Refused(Refusal::new(RefusalKind::OverRate)));
    metrics.count("payments", "kalnins", &complete_response(), took);
    metrics.count("payments", "kalnins", &refused(), took);
    metrics.count("payments", "kalnins", &refused(), took);
    metrics.count(
        "payments",
        "kalnins",
        &Err(Failure::Unknown(UnknownReason::Late)),
        took,
    );
    let text = metrics.text();
    let call = |outcome: &str, reason: &str| {
        let labels = format!(
            "service=\"payments\",organisation=\"kalnins\",outcome=\"{outcome}\",reason=\"{reason}\""
        );
        line(&text, &format!("filbertwheel_calls_total{{{labels}}}"))
    };
    assert!(call("whole", "").ends_with(" 1"), "{text}");
    assert!(call("not-run", "over-rate").ends_with(" 2"), "{text}");
    assert!(call("unknown", "late").ends_with(" 1"), "{text}");
    assert_eq!(metrics.failures().len(), 2);
}

#[test]
fn only_complete_responses_have_a_latency() {
    let metrics = Metrics::open();
    let refused = Err(Failure::Refused(Refusal::new(RefusalKind::Overloaded)));
    metrics.count(
        "payments",
        "kalnins",
        &complete_response(),
        Duration::from_millis(30),
    );
    metrics.count("payments", "kalnins", &refused, Duration::from_millis(1));
    let text = metrics.text();
    let labels = "service=\"payments\",organisation=\"kalnins\"";
    let name = "filbertwheel_call_duration_seconds";
    assert_eq!(
        line(&text, &format!("{name}_count")),
        format!("{name}_count{{{labels}}} 1")
    );
    let below = format!("{name}_bucket{{le=\"0.02\",{labels}}}");
    assert_eq!(line(&text, &below), format!("{below} 0"));
    let above = format!("{name}_bucket{{le=\"0.05\",{labels}}}");
    assert_eq!(line(&text, &above), format!("{above} 1"));
}

#[test]
fn missing_names_share_a_label() {
    let metrics = Metrics::open();
    for _ in 0..3 {
        let refused = Err(Failure::Refused(Refusal::new(RefusalKind::NoRoute)));
        metrics.count("", "", &refused, Duration::ZERO);
    }
    let failures = metrics.failures();
    let [(labels, count)] = failures.as_slice() else {
        panic!("{failures:?}");
    };
    assert_eq!(
        (labels.service.as_str(), labels.organisation.as_str()),
        ("unknown", "none")
    );
    assert_eq!(*count, 3);
}

#[test]
fn every_metric_has_a_unit_or_total_and_help() {
    let text = Metrics::open().text();
    assert!(text.ends_with("# EOF\n"));
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let name = line.split(' ').nth(2).unwrap();
        assert!(name.starts_with("filbertwheel_"), "{line}");
        assert!(text.contains(&format!("# HELP {name} ")), "{line}");
        let is_counter = line.ends_with(" counter");
        assert_eq!(
            is_counter,
            text.contains(&format!("{name}_total")),
            "{line}"
        );
    }
}
