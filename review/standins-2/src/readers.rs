//! Clients that read large answers slowly and steadily.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, MEMORY_BYTES, Node, Place, Work};
use crate::http::Reader;

/// What is shown.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Answers are cut although their clients read all the time.
    Cut,
    /// A node takes more memory than its machine has.
    Memory,
}

/// How the clients read.
struct Plan {
    /// Clients at each of the nodes that they are on.
    clients: usize,
    /// Nodes that they are on.
    nodes: usize,
    body_bytes: usize,
    /// Bytes a second that a slow client reads.
    pace: usize,
    /// Pause between the starts of two clients.
    gap: Duration,
    deadline: Duration,
}

/// Pause between two reads of a slow client.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Times that a process has to end by itself in a day, and machines on which it has to.
const ENDS: usize = 3;
/// Requests that may be lost on kept connections.
const MOST_LOST: usize = 3;
/// End of the watch over the memory.
const LONGEST: Duration = Duration::from_secs(75);

fn manifest(timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    format!(
        r#"{{"version":"r7","routes":[{{"name":"batches","host":"documents.example","prefix":"/batches/","kind":"download","timeout_ms":{timeout},"target_latency_ms":1500,"priority":2,"service":"documents","max_attempts":2,"no_auth":false}},{{"name":"charges","host":"documents.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"payments","max_attempts":2,"no_auth":false}}],"services":[{{"name":"documents","health_path":"/health","max_conns":2272,"protocol":"h1","tls":false}},{{"name":"payments","health_path":"/health","max_conns":2272,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}},"tenants":[]}}"#
    )
}

/// How a client's exchange ended.
enum Got {
    Whole,
    /// Another status than 200.
    Refused(u16),
    /// The node closed the connection after so many bytes of the body, and when the client had last
    /// read some.
    Cut(usize),
    NoConnection,
}

/// Returns the exit code.
pub fn run(case: Case, trouble: bool) -> i32 {
    let plan = match case {
        Case::Cut => Plan {
            clients: 6,
            nodes: 1,
            body_bytes: 8 * 1024 * 1024,
            pace: 200 * 1024,
            gap: Duration::from_millis(300),
            deadline: Duration::from_secs(60),
        },
        Case::Memory => Plan {
            clients: 48,
            nodes: 2,
            body_bytes: 8 * 1024 * 1024,
            pace: 600 * 1024,
            gap: Duration::from_millis(60),
            deadline: Duration::from_secs(30),
        },
    };
    let place = |domain, service| Place { domain, service };
    let work = Work {
        time: Duration::from_millis(65),
        body_bytes: plan.body_bytes,
    };
    let places = [
        place("majori", "availability"),
        place("dzintari", "staffing"),
        place("bulduri", "documents"),
        place("majori", "documents"),
        place("dzintari", "payments"),
    ];
    let fleet = Fleet::start(&places, work, &manifest(plan.deadline));
    fleet.nodes[4].backend.work.lock().expect("work").body_bytes = 5_000;
    match case {
        Case::Cut => cut(&fleet, &plan, trouble),
        Case::Memory => memory(&fleet, &plan, trouble),
    }
}

fn cut(fleet: &Fleet, plan: &Plan, trouble: bool) -> i32 {
    let node = &fleet.nodes[0];
    let clients: Vec<_> = std::thread::scope(|scope| {
        let clients = (0..plan.clients).map(|number| {
            std::thread::sleep(plan.gap);
            scope.spawn(move || {
                let began = Instant::now();
                let pace = trouble.then_some(plan.pace);
                (download(node.callers, number, plan, pace), began.elapsed())
            })
        });
        let clients: Vec<_> = clients.collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("a client"))
            .collect()
    });
    let mut lost = 0;
    for (number, (got, took)) in clients.iter().enumerate() {
        let text = match got {
            Got::Whole => "the whole answer".to_owned(),
            Got::Refused(status) => format!("status {status}"),
            Got::Cut(bytes) => format!(
                "{bytes} of {} bytes, then the node closed the connection",
                plan.body_bytes
            ),
            Got::NoConnection => "no connection".to_owned(),
        };
        lost += usize::from(matches!(got, Got::Cut(_)));
        println!(
            "client {number}: after {:.1} s of {} s: {text}",
            took.as_secs_f64(),
            plan.deadline.as_secs()
        );
    }
    println!(
        "LOST: requests passed on to a sound backend server whose connection was closed without their answer: {lost}"
    );
    i32::from(lost > MOST_LOST)
}

/// Downloads one answer. With a `pace`, it is read steadily at so many bytes a second.
fn download(address: SocketAddr, number: usize, plan: &Plan, pace: Option<usize>) -> Got {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Got::NoConnection;
    };
    let began = Instant::now();
    let _set = stream.set_read_timeout(Some(plan.deadline));
    let head = format!(
        "GET /batches/guests HTTP/1.1\r\nHost: documents.example\r\nAttempt-Id: d{number}-{}\r\nDeadline-Ms: {}\r\n\r\n",
        crate::fleet::wall_ms(),
        plan.deadline.as_millis()
    );
    if (&stream).write_all(head.as_bytes()).is_err() {
        return Got::Cut(0);
    }
    let Ok(mut socket) = stream.try_clone() else {
        return Got::NoConnection;
    };
    let mut reader = Reader::open(stream);
    let head = match reader.head() {
        Ok(Some(head)) => head,
        _ => return Got::Cut(0),
    };
    if head.status() != 200 {
        return Got::Refused(head.status());
    }
    let mut received = reader.take_buffered().len();
    let step = pace.map_or(1 << 20, |pace| {
        pace * READ_PAUSE.as_millis() as usize / 1_000
    });
    let mut part = vec![0; step];
    while received < plan.body_bytes {
        if began.elapsed() > plan.deadline {
            return Got::NoConnection;
        }
        match socket.read(&mut part) {
            Ok(count @ 1..) => received += count,
            _ => return Got::Cut(received),
        }
        if pace.is_some() {
            std::thread::sleep(READ_PAUSE);
        }
    }
    Got::Whole
}

/// What the clients of small requests on kept connections saw.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    /// Ids of requests whose connection was closed without an answer.
    closed: std::sync::Mutex<Vec<String>>,
}

fn memory(fleet: &Fleet, plan: &Plan, trouble: bool) -> i32 {
    let (done, seen) = (AtomicBool::new(false), Seen::default());
    let counts: std::sync::Mutex<BTreeMap<&str, usize>> = Default::default();
    let count = |what| *counts.lock().expect("counts").entry(what).or_default() += 1;
    let ends: Vec<AtomicUsize> = (0..plan.nodes).map(|_| AtomicUsize::new(0)).collect();
    let most: Vec<AtomicU64> = (0..plan.nodes).map(|_| AtomicU64::new(0)).collect();
    std::thread::scope(|scope| {
        for (index, node) in fleet.nodes.iter().take(plan.nodes).enumerate() {
            let (done, seen, ends, most, count) = (&done, &seen, &ends, &most, &count);
            // The platform: it kills a process that takes too much memory, and starts it again.
            scope.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let memory = node.memory();
                    most[index].fetch_max(memory, Ordering::SeqCst);
                    if memory > MEMORY_BYTES {
                        node.kill();
                        ends[index].fetch_add(1, Ordering::SeqCst);
                        println!(
                            "{:.2} s: {} takes {} MiB and ends",
                            fleet.at(),
                            node.vm,
                            memory >> 20
                        );
                        node.restart();
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
            for client in 0..4 {
                scope.spawn(move || charge(node, client, done, seen));
            }
            for client in 0..plan.clients {
                scope.spawn(move || {
                    std::thread::sleep(plan.gap * client as u32);
                    let until = Instant::now() + LONGEST - Duration::from_secs(20);
                    // A client whose request may be repeated sends it again after a failure.
                    while Instant::now() < until && !done.load(Ordering::SeqCst) {
                        let pace = trouble.then_some(plan.pace);
                        match download(node.callers, client, plan, pace) {
                            Got::Whole => {
                                count("whole");
                                return;
                            }
                            Got::Refused(_) => count("refused or failed"),
                            Got::Cut(_) => count("cut"),
                            Got::NoConnection => count("no connection"),
                        }
                        std::thread::sleep(Duration::from_millis(300));
                    }
                });
            }
        }
        let began = Instant::now();
        while began.elapsed() < LONGEST {
            std::thread::sleep(Duration::from_millis(200));
            let all_ended = ends.iter().all(|ends| ends.load(Ordering::SeqCst) >= ENDS);
            let whole = counts
                .lock()
                .expect("counts")
                .get("whole")
                .copied()
                .unwrap_or(0);
            if all_ended || whole == plan.clients * plan.nodes {
                break;
            }
        }
        done.store(true, Ordering::SeqCst);
    });
    for (index, node) in fleet.nodes.iter().take(plan.nodes).enumerate() {
        println!(
            "{}: at most {} MiB of {} MiB, ended {} times",
            node.vm,
            most[index].load(Ordering::SeqCst) >> 20,
            MEMORY_BYTES >> 20,
            ends[index].load(Ordering::SeqCst)
        );
    }
    println!("downloads: {:?}", counts.lock().expect("counts"));
    let ran = fleet.nodes[4].backend.ran();
    let closed = seen.closed.lock().expect("closed");
    let lost = closed.iter().filter(|id| ran.contains(*id)).count();
    println!(
        "unsafe requests on kept connections: {} answered, {} closed without an answer, of which {lost} had run",
        seen.answered.load(Ordering::SeqCst),
        closed.len()
    );
    let machines = ends
        .iter()
        .filter(|ends| ends.load(Ordering::SeqCst) >= ENDS)
        .count();
    println!("Fault: machines whose process ended {ENDS} times: {machines}; LOST: {lost}");
    i32::from(machines >= 2 || lost > MOST_LOST)
}

/// Sends unsafe requests on a kept connection, one after the other, and opens another one when it is
/// closed.
fn charge(node: &Node, client: usize, done: &AtomicBool, seen: &Seen) {
    let mut number = 0;
    while !done.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
        let Ok(stream) = TcpStream::connect_timeout(&node.callers, Duration::from_secs(1)) else {
            continue;
        };
        let _set = stream.set_nodelay(true);
        let _set = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let Ok(mut writer) = stream.try_clone() else {
            continue;
        };
        let mut reader = Reader::open(stream);
        while !done.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("{}-u{client}-{number}", node.vm);
            let head = format!(
                "POST /charges/cabin HTTP/1.1\r\nHost: documents.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbook"
            );
            let sent = writer.write_all(head.as_bytes()).is_ok();
            match reader.message() {
                Ok(Some(_)) if sent => {
                    seen.answered.fetch_add(1, Ordering::SeqCst);
                }
                _ => {
                    seen.closed.lock().expect("closed").push(id);
                    break;
                }
            }
        }
    }
}
