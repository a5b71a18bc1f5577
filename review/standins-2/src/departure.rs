//! Backend servers deregister and are acknowledged. Then the store is restored from an older copy, and
//! later all nodes are killed and start again.

use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Node, Place, Work};
use crate::http::once;
use crate::store::Copy;

/// Nodes of the one zone, and backend servers that leave.
const NODES: usize = 12;
const LEAVING: usize = 3;
/// `drain_ms` and `contact_ms` of the site file.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time in which the backend servers of a zone are known after their node has started.
const SETTLING: Duration = Duration::from_millis(500);
/// How long the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(200);
/// Time from the copy to the first deregistration, and from the last one to the disturbance.
const AROUND: Duration = Duration::from_millis(1_000);
/// Time after the restore in which the nodes may write anew what the copy lacks.
const REPAIR: Duration = Duration::from_secs(3);
/// Requests that are sent afterwards, and unsafe ones during which the backend servers exit.
const REQUESTS: usize = 120;
const CHARGES: usize = 60;

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"checks","host":"rounds.example","prefix":"/checks/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"availability","max_attempts":2,"no_auth":false},{"name":"charges","host":"rounds.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"availability","max_attempts":2,"no_auth":false}],"services":[{"name":"availability","health_path":"/health","max_conns":1186,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[]}"#;

fn start() -> Fleet {
    let places: Vec<Place> = (0..NODES)
        .map(|_| Place {
            domain: "majori",
            service: "availability",
        })
        .collect();
    let work = Work {
        time: Duration::from_millis(20),
        body_bytes: 1_500,
        slots: 64,
    };
    Fleet::start(&places, work, MANIFEST)
}

/// Returns the exit code.
pub fn run(trouble: bool) -> i32 {
    let fleet = start();
    // A few nodes of a zone watch the store. The backend servers that leave are beside others.
    let watches = |node: &&Node| node.metric("filbertwheel_watching_store") > 0.0;
    let others = fleet.nodes.iter().rev().filter(|node| !watches(node));
    let leaving: Vec<&Node> = others.take(LEAVING).collect();
    let all: Vec<&Node> = fleet.nodes.iter().collect();
    let answered = send(&all, "before", REQUESTS);
    println!(
        "{:.2} s: {} requests sent before, {answered} answered with 200",
        fleet.at(),
        REQUESTS
    );
    let copy: Copy = fleet.store.copy();
    std::thread::sleep(AROUND);
    let Some(acknowledged) = deregister(&fleet, &leaving) else {
        return 2;
    };
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
    kill_all(&fleet);
    fleet.wait_ready();
    std::thread::sleep(CONTACT + SETTLING);
    judge(&fleet, &all, &leaving, &acknowledged)
}

/// Deregisters the backend servers. Returns the times of the acknowledgements.
fn deregister(fleet: &Fleet, leaving: &[&Node]) -> Option<Vec<Instant>> {
    let mut acknowledged = Vec::new();
    for node in leaving {
        let status = node.backend.deregister();
        acknowledged.push(Instant::now());
        println!(
            "{:.2} s: {} beside {} deregisters: {status}",
            fleet.at(),
            node.backend.id,
            node.vm
        );
        if status != 200 {
            return None;
        }
    }
    Some(acknowledged)
}

fn kill_all(fleet: &Fleet) {
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
}

/// Sends requests and reports which reach backend servers that have left. Then these exit.
fn judge(fleet: &Fleet, entries: &[&Node], leaving: &[&Node], acknowledged: &[Instant]) -> i32 {
    let calm = Instant::now();
    let answered = send(entries, "after", REQUESTS);
    println!(
        "{:.2} s: {REQUESTS} requests sent after, {answered} answered with 200",
        fleet.at()
    );
    let mut late = 0;
    for (node, acknowledged) in leaving.iter().zip(acknowledged) {
        let runs = node.backend.runs.lock().expect("runs");
        let is_late = |at: &Instant| *at >= calm && *at > *acknowledged + DRAIN;
        let runs = runs.iter().filter(|(_, at)| is_late(at));
        for (number, (id, at)) in runs.enumerate() {
            late += 1;
            if number < 3 {
                let after = (*at - *acknowledged).as_secs_f64();
                println!(
                    "  {id} reached {} {after:.2} s after the acknowledgement",
                    node.backend.id
                );
            }
        }
    }
    let failed = charge_while_they_exit(fleet, entries, leaving);
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
fn charge_while_they_exit(fleet: &Fleet, entries: &[&Node], leaving: &[&Node]) -> usize {
    for node in &fleet.nodes {
        node.backend.work.lock().expect("work").time = Duration::from_millis(600);
    }
    std::thread::scope(|scope| {
        let charges: Vec<_> = (0..CHARGES)
            .map(|number| {
                let callers = entries[number % entries.len()].callers;
                let headers = format!("Attempt-Id: charge-{number}\r\nDeadline-Ms: 6000\r\n");
                let timeout = Duration::from_secs(7);
                scope.spawn(move || {
                    once(
                        callers,
                        "POST",
                        "/charges/cabin",
                        &headers,
                        b"book",
                        timeout,
                    )
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        leaving.iter().for_each(|node| node.backend.exit());
        let answers = charges
            .into_iter()
            .map(|charge| charge.join().expect("a client"));
        let served = answers.filter(|answer| answer.as_ref().is_ok_and(|one| one.status() == 200));
        CHARGES - served.count()
    })
}

/// Sends requests to the nodes in turn. Returns how many were answered with 200.
fn send(nodes: &[&Node], name: &str, count: usize) -> usize {
    let mut answered = 0;
    for number in 0..count {
        let node = nodes[number % nodes.len()];
        let headers = format!("Attempt-Id: {name}-{number}\r\nDeadline-Ms: 6000\r\n");
        let timeout = Duration::from_secs(7);
        let sent = once(node.callers, "GET", "/checks/today", &headers, b"", timeout);
        answered += usize::from(sent.is_ok_and(|answer| answer.status() == 200));
    }
    answered
}
