//! Which requests a node that is stopping still takes.

use std::time::{Duration, Instant};

use filbertwheel_policy::StopWindow;

const SECOND: Duration = Duration::from_secs(1);

// Guards against requests that are taken late in the grace period and cut off at its end.
#[test]
fn late_requests_are_taken_only_if_they_are_expected_to_end_in_time() {
    let began = Instant::now();
    let window = StopWindow {
        noticed: began + SECOND * 2,
        closes: began + SECOND * 6,
    };
    let far = began + SECOND * 30;
    let takes = |typical: Option<u32>, deadline: Instant, at: u32| {
        let typical = typical.map(|seconds| SECOND * seconds);
        window.takes(typical, deadline, began + SECOND * at)
    };
    assert!(takes(None, far, 1), "callers haven't noticed the stop");
    assert!(takes(Some(1), far, 2));
    assert!(!takes(Some(1), far, 3));
    assert!(!takes(None, far, 3), "nothing is known of its time");
    assert!(
        takes(None, began + SECOND * 5, 3),
        "it ends by its deadline"
    );
}
