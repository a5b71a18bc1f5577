//! Backend servers deregister and are acknowledged, the nodes are all killed and start again, and the
//! departures must hold on.

use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Node, Place, Work};
use crate::http::once;
use crate::store::Copy;

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
const REPAIR: Duration = Duration::from_secs(5);
/// Time within which all nodes start. The pages name 0.3 s, in any order.
const START_SPREAD: Duration = Duration::from_millis(200);
/// Time from the store's refusals to the kill.
const REFUSED_BEFORE: Duration = Duration::from_millis(500);
/// Requests that are sent afterwards, and unsafe ones during which the backend servers exit.
const REQUESTS: usize = 240;
const CHARGES: usize = 60;

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"checks","host":"rounds.example","prefix":"/checks/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"availability","max_attempts":2,"no_auth":false},{"name":"charges","host":"rounds.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"availability","max_attempts":2,"no_auth":false}],"services":[{"name":"availability","health_path":"/health","max_conns":1186,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[]}"#;

fn start(zones: &[&'static str], nodes: usize) -> Fleet {
    let zones = zones.iter().cycle().take(nodes);
    let places: Vec<Place> = zones
        .map(|domain| Place {
            domain,
            service: "availability",
        })
        .collect();
    let work = Work {
        time: Duration::from_millis(20),
        body_bytes: 1_500,
    };
    Fleet::start(&places, work, MANIFEST)
}

/// The store is restored from a copy of before the departures. Returns the exit code.
pub fn restored(trouble: bool) -> i32 {
    let fleet = start(&["majori"], 12);
    // A few nodes of a zone watch the store. The backend servers that leave are beside others.
    let watches = |node: &&Node| node.metric("filbertwheel_watching_store") > 0.0;
    let others = fleet.nodes.iter().rev().filter(|node| !watches(node));
    let leaving: Vec<&Node> = others.take(3).collect();
    let all: Vec<&Node> = fleet.nodes.iter().collect();
    let answered = send(&all, "before", REQUESTS / 2);
    println!(
        "{:.2} s: {} requests sent before, {answered} answered with 200",
        fleet.at(),
        REQUESTS / 2
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
    kill_all(&fleet, &[]);
    fleet.wait_ready();
    std::thread::sleep(CONTACT + SETTLING);
    judge(&fleet, &all, &leaving, &acknowledged)
}

/// The store turns some nodes away. Returns the exit code.
pub fn refused(trouble: bool) -> i32 {
    let fleet = start(&["majori", "dzintari", "bulduri"], 6);
    let numbers = [3, 4];
    let leaving: Vec<&Node> = numbers.iter().map(|number| &fleet.nodes[*number]).collect();
    let Some(acknowledged) = deregister(&fleet, &leaving) else {
        return 2;
    };
    std::thread::sleep(AROUND);
    if trouble {
        fleet.store.refuse(numbers);
        println!(
            "{:.2} s: the store turns away the nodes beside them with 503",
            fleet.at()
        );
    }
    std::thread::sleep(REFUSED_BEFORE);
    kill_all(&fleet, &leaving);
    std::thread::sleep(CONTACT + SETTLING);
    // The requests are taken from their clients by the nodes that have acknowledged.
    judge(&fleet, &leaving, &leaving, &acknowledged)
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

/// Kills all nodes. They start again within 0.2 s, the ones in `last` after the others.
fn kill_all(fleet: &Fleet, last: &[&Node]) {
    fleet.nodes.iter().for_each(Node::kill);
    std::thread::scope(|scope| {
        for node in &fleet.nodes {
            let is_last = last.iter().any(|one| one.vm == node.vm);
            scope.spawn(move || {
                if is_last {
                    std::thread::sleep(START_SPREAD);
                }
                node.restart();
            });
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
