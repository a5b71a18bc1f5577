//! The platform's limit on the memory of a process, and what other clients of a node see of it.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Backend, Fleet, Node};
use crate::http::Reader;

/// Times that a process has to end by itself in a day, and machines on which it has to.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// Requests that may be lost on kept connections.
const MOST_LOST: usize = 3;
/// Clients of small requests at each node.
const OTHERS: usize = 4;
/// End of the watch.
const LONGEST: Duration = Duration::from_secs(80);

/// What the clients of small requests on kept connections saw.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    /// Ids of requests whose connection was closed without an answer.
    closed: std::sync::Mutex<Vec<String>>,
}

/// Puts a load on the first two nodes, while clients of their own send unsafe requests to the backend
/// server `others` on kept connections. A process that takes more than `memory_bytes` is killed and
/// started again, as the platform does. `load` is run on a thread for each of its clients at each node,
/// until it ends or its last argument is true. Returns the exit code.
pub fn watch(
    fleet: &Fleet,
    memory_bytes: u64,
    others: &Backend,
    clients: usize,
    load: impl Fn(&Node, usize, &AtomicBool) + Sync,
) -> i32 {
    let nodes = &fleet.nodes[..MACHINES];
    let (done, seen, load) = (AtomicBool::new(false), Seen::default(), &load);
    let ends: Vec<AtomicUsize> = nodes.iter().map(|_| AtomicUsize::new(0)).collect();
    let most: Vec<AtomicU64> = nodes.iter().map(|_| AtomicU64::new(0)).collect();
    std::thread::scope(|scope| {
        let mut loads = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            let (done, seen, ends, most) = (&done, &seen, &ends[index], &most[index]);
            scope.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let memory = node.memory();
                    most.fetch_max(memory, Ordering::SeqCst);
                    if memory > memory_bytes {
                        node.kill();
                        ends.fetch_add(1, Ordering::SeqCst);
                        println!(
                            "{:.2} s: {} takes {} MiB and ends",
                            fleet.at(),
                            node.vm,
                            memory >> 20
                        );
                        node.restart();
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
            for client in 0..OTHERS {
                scope.spawn(move || charge(node, client, done, seen));
            }
            for client in 0..clients {
                loads.push(scope.spawn(move || load(node, client, done)));
            }
        }
        let began = Instant::now();
        while began.elapsed() < LONGEST {
            std::thread::sleep(Duration::from_millis(200));
            let all_ended = ends.iter().all(|ends| ends.load(Ordering::SeqCst) >= ENDS);
            if all_ended || loads.iter().all(|load| load.is_finished()) {
                break;
            }
        }
        done.store(true, Ordering::SeqCst);
    });
    for ((node, most), ends) in nodes.iter().zip(&most).zip(&ends) {
        println!(
            "{}: at most {} MiB of {} MiB, ended {} times",
            node.vm,
            most.load(Ordering::SeqCst) >> 20,
            memory_bytes >> 20,
            ends.load(Ordering::SeqCst)
        );
    }
    let (ran, closed) = (others.ran(), seen.closed.lock().expect("closed"));
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
    i32::from(machines >= MACHINES || lost > MOST_LOST)
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
                "POST /charges/cabin HTTP/1.1\r\nHost: charges.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbook"
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
