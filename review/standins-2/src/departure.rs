//! Backend servers deregister and are acknowledged. Then the store is restored from an older copy, and
//! later all nodes are killed and start again.

use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Node, Place, Work};
use crate::http::once;

/// Nodes of the one zone.
const NODES: usize = 12;
/// Backend servers that leave: a quarter of those of the service.
const LEAVING: usize = 3;
/// `drain_ms` and `contact_ms` of the site file.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(200);
/// Time from the copy to the first deregistration, and from the last one to the restore.
const AROUND: Duration = Duration::from_millis(1_000);
/// Time after the restore in which the nodes may write anew what the copy lacks.
const REPAIR: Duration = Duration::from_secs(5);

/// Unsafe requests that are sent while the backend servers exit.
const CHARGES: usize = 60;

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"checks","host":"rounds.example","prefix":"/checks/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"availability","max_attempts":2,"no_auth":false},{"name":"charges","host":"rounds.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"availability","max_attempts":2,"no_auth":false}],"services":[{"name":"availability","health_path":"/health","max_conns":1186,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[]}"#;

/// Returns the exit code.
pub fn run(trouble: bool) -> i32 {
    let places: Vec<Place> = (0..NODES)
        .map(|_| Place {
            domain: "majori",
            service: "availability",
        })
        .collect();
    let work = Work {
        time: Duration::from_millis(20),
        body_bytes: 1_500,
    };
    let fleet = Fleet::start(&places, work, MANIFEST);
    // A few nodes of a zone watch the store. The backend servers that leave are beside others.
    let watches = |node: &&Node| node.metric("filbertwheel_watching_store") > 0.0;
    let leaving: Vec<&Node> = fleet
        .nodes
        .iter()
        .rev()
        .filter(|node| !watches(node))
        .take(LEAVING)
        .collect();
    if leaving.len() < LEAVING {
        println!("too few nodes do not watch the store");
        return 2;
    }
    let answered = send(&fleet, "before", 120);
    println!(
        "{:.2} s: 120 requests sent before, {answered} answered with 200",
        fleet.at()
    );
    let copy = fleet.store.copy();
    std::thread::sleep(AROUND);
    let mut acknowledged = Vec::new();
    for node in &leaving {
        let status = node.backend.deregister();
        acknowledged.push(Instant::now());
        println!(
            "{:.2} s: {} beside {} deregisters: {status}",
            fleet.at(),
            node.backend.id,
            node.vm
        );
        if status != 200 {
            return 2;
        }
    }
    std::thread::sleep(AROUND);
    if trouble {
        fleet.store.restore(&copy, AWAY);
        println!(
            "{:.2} s: the store is back from a copy of before the deregistrations",
            fleet.at()
        );
    } else {
        std::thread::sleep(AWAY);
    }
    std::thread::sleep(REPAIR);
    for node in &leaving {
        let is_stored = fleet.store.has("filbertwheel-departures", &node.vm);
        println!(
            "{:.2} s: the store holds the departure beside {}: {is_stored}",
            fleet.at(),
            node.vm
        );
    }
    fleet.nodes.iter().for_each(Node::kill);
    std::thread::scope(|scope| {
        for node in &fleet.nodes {
            scope.spawn(|| node.restart());
        }
    });
    println!(
        "{:.2} s: all nodes were killed and have started again",
        fleet.at()
    );
    fleet.wait_ready();
    std::thread::sleep(CONTACT + Duration::from_millis(500));
    let calm = Instant::now();
    let answered = send(&fleet, "after", 240);
    println!(
        "{:.2} s: 240 requests sent after, {answered} answered with 200",
        fleet.at()
    );
    let mut late = 0;
    for (node, acknowledged) in leaving.iter().zip(acknowledged) {
        let runs = node.backend.runs.lock().expect("runs");
        let runs = runs.iter().filter(|(id, at)| {
            id.starts_with("after") && *at >= calm && *at > acknowledged + DRAIN
        });
        for (number, (id, at)) in runs.enumerate() {
            late += 1;
            if number < 3 {
                let after = (*at - acknowledged).as_secs_f64();
                println!(
                    "  {id} reached {} {after:.2} s after the acknowledgement",
                    node.backend.id
                );
            }
        }
    }
    let failed = charge_while_they_exit(&fleet, &leaving);
    println!(
        "{:.2} s: they have exited, {failed} of {CHARGES} unsafe requests failed for that",
        fleet.at()
    );
    println!(
        "DRAIN: requests at backend servers that had left, sent on by machines in touch: {late}"
    );
    i32::from(late > 0)
}

/// Sends unsafe requests side by side, during which the backend servers that leave exit. Returns how many
/// were not answered with 200.
fn charge_while_they_exit(fleet: &Fleet, leaving: &[&Node]) -> usize {
    for node in &fleet.nodes {
        node.backend.work.lock().expect("work").time = Duration::from_millis(600);
    }
    std::thread::scope(|scope| {
        let charges: Vec<_> = (0..CHARGES)
            .map(|number| {
                let node = &fleet.nodes[number % fleet.nodes.len()];
                let headers = format!("Attempt-Id: charge-{number}\r\nDeadline-Ms: 6000\r\n");
                scope.spawn(move || {
                    once(
                        node.callers,
                        "POST",
                        "/charges/cabin",
                        &headers,
                        b"book",
                        Duration::from_secs(7),
                    )
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        leaving.iter().for_each(|node| node.backend.exit());
        let answers = charges
            .into_iter()
            .map(|charge| charge.join().expect("a client"));
        answers
            .filter(|answer| !answer.as_ref().is_ok_and(|answer| answer.status() == 200))
            .count()
    })
}

/// Sends requests to all nodes in turn. Returns how many were answered with 200.
fn send(fleet: &Fleet, name: &str, count: usize) -> usize {
    let mut answered = 0;
    for number in 0..count {
        let node = &fleet.nodes[number % fleet.nodes.len()];
        let headers = format!("Attempt-Id: {name}-{number}\r\nDeadline-Ms: 6000\r\n");
        let sent = once(
            node.callers,
            "GET",
            "/checks/today",
            &headers,
            b"",
            Duration::from_secs(7),
        );
        answered += usize::from(sent.is_ok_and(|answer| answer.status() == 200));
    }
    answered
}
