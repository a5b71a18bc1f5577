//! A tenant that uploads large bodies, as large as the manifest allows them or less.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::fleet::{Fleet, Place, Work};
use crate::http::once;
use crate::memory::watch;

/// Memory of a machine in bytes, by `memory_mb` of the site file.
const MEMORY_BYTES: u64 = 160 * 1024 * 1024;
/// Clients of the tenant at each node, as usual and while it sends many times as much.
const USUAL: usize = 1;
const HOT: usize = 3;
/// Uploads of each client, the time from one to the next, and their size. Those of all clients of a node
/// fit its machine's link of 200 Mbit/s.
const UPLOADS: usize = 20;
const PERIOD: Duration = Duration::from_secs(3);
const BODY_BYTES: usize = 20 * 1024 * 1024;
const DEADLINE: Duration = Duration::from_secs(5);

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"uploads","host":"rounds.example","prefix":"/shoots/","kind":"upload","timeout_ms":5000,"target_latency_ms":1200,"priority":0,"service":"ingest","max_attempts":2,"no_auth":false},{"name":"charges","host":"charges.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"prints","max_attempts":2,"no_auth":true}],"services":[{"name":"ingest","health_path":"/health","max_conns":2032,"protocol":"h1","tls":false},{"name":"prints","health_path":"/health","max_conns":634,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[{"name":"studio","api_keys":["studiokey"],"priority":1,"rate_per_s":0,"burst":0}]}"#;

/// Returns the exit code.
pub fn run(trouble: bool) -> i32 {
    let place = |domain, service| Place { domain, service };
    let work = Work {
        time: Duration::from_millis(230),
        body_bytes: 6_000,
    };
    let places = [
        place("ionian-a", "albums"),
        place("ionian-b", "sharing"),
        place("ionian-c", "ingest"),
        place("ionian-a", "ingest"),
        place("ionian-b", "prints"),
    ];
    let fleet = Fleet::start(&places, work, MANIFEST);
    let (answered, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let clients = if trouble { HOT } else { USUAL };
    let code = watch(
        &fleet,
        MEMORY_BYTES,
        &fleet.nodes[4].backend,
        clients,
        |node, client, done| {
            for number in 0..UPLOADS {
                if done.load(Ordering::SeqCst) {
                    return;
                }
                let began = std::time::Instant::now();
                let headers = format!(
                    "Attempt-Id: {}-s{client}-{number}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer studiokey\r\n",
                    node.vm,
                    DEADLINE.as_millis()
                );
                let body = vec![b'u'; BODY_BYTES];
                let sent = once(
                    node.callers,
                    "POST",
                    "/shoots/today",
                    &headers,
                    &body,
                    DEADLINE,
                );
                let count = if sent.is_ok_and(|answer| answer.status() == 200) {
                    &answered
                } else {
                    &failed
                };
                count.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(PERIOD.saturating_sub(began.elapsed()));
            }
        },
    );
    println!(
        "uploads: {} answered with 200, {} failed",
        answered.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst)
    );
    code
}
