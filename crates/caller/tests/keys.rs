//! Checks that a caller's key isn't passed on by the endpoint.

use filbertwheel_caller::CallerRequest;
use filbertwheel_core::{Refusal, RefusalKind, sha256_hex};
use filbertwheel_http::Request;

const KEY: &str = "k-3f9a/77";

fn keyed(path: &str) -> Request {
    Request::get(path).with("filbertwheel-key", KEY)
}

fn decode(request: Request) -> Result<CallerRequest, Refusal> {
    CallerRequest::decode(request)
}

#[test]
fn headers_that_contain_the_key_are_dropped() {
    let request = keyed("/desk/today")
        .with("authorization", format!("Bearer {KEY}"))
        .with("x-debug", KEY)
        .with("cookie", format!("a=b; key={KEY}; c=d"))
        .with("accept", "text/plain");
    let decoded = decode(request).expect("the request is well formed");
    let names: Vec<_> = decoded
        .headers
        .iter()
        .map(|line| line.name.to_string())
        .collect();
    assert_eq!(names, ["accept"]);
    assert_eq!(decoded.key, Some(sha256_hex(KEY.as_bytes())));
    assert!(!format!("{decoded:?}").contains(KEY));
}

#[test]
fn a_request_that_contains_its_key_elsewhere_is_malformed() {
    let body = Request::post("/desk/today", format!("key={KEY}"));
    let requests = [
        keyed(&format!("/desk/{KEY}")),
        keyed(&format!("/desk/today?key={KEY}")),
        keyed("/desk/today?key=k%2d3f9a%2F77"),
        keyed("/desk/today").with("filbertwheel-request", format!("id-{KEY}")),
        body.with("filbertwheel-key", KEY),
        keyed("/desk/today").with("filbertwheel-key", "another"),
    ];
    for request in requests {
        let shown = format!("{request:?}");
        let refused = decode(request).expect_err(&shown);
        assert_eq!(refused.kind, RefusalKind::Malformed, "{shown}");
    }
}
