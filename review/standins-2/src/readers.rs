//! Clients that read large answers slowly and steadily.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Place, Work};
use crate::http::Reader;
use crate::memory::watch;

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
    /// Clients at each node that they are on.
    clients: usize,
    body_bytes: usize,
    /// Bytes a second that a slow client reads.
    pace: usize,
    /// Pause between the starts of two clients.
    gap: Duration,
    deadline: Duration,
    /// Whether a small request goes before the download on the same connection.
    is_kept: bool,
}

/// Pause between two reads of a slow client.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a client before it sends a request again that has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Requests that may be lost on kept connections.
const MOST_LOST: usize = 3;
/// Memory of a machine in bytes, by `memory_mb` of the site file.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

fn manifest(timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    format!(
        r#"{{"version":"r7","routes":[{{"name":"batches","host":"documents.example","prefix":"/batches/","kind":"download","timeout_ms":{timeout},"target_latency_ms":1500,"priority":2,"service":"documents","max_attempts":2,"no_auth":false}},{{"name":"charges","host":"charges.example","prefix":"/charges/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"payments","max_attempts":2,"no_auth":false}}],"services":[{{"name":"documents","health_path":"/health","max_conns":2272,"protocol":"h1","tls":false}},{{"name":"payments","health_path":"/health","max_conns":2272,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}},"tenants":[]}}"#
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
            body_bytes: 8 * 1024 * 1024,
            pace: 200 * 1024,
            gap: Duration::from_millis(300),
            deadline: Duration::from_secs(60),
            is_kept: true,
        },
        Case::Memory => Plan {
            clients: 48,
            body_bytes: 8 * 1024 * 1024,
            pace: 600 * 1024,
            gap: Duration::from_millis(100),
            deadline: Duration::from_secs(30),
            is_kept: false,
        },
    };
    let place = |domain, service| Place { domain, service };
    let work = Work {
        time: Duration::from_millis(65),
        body_bytes: plan.body_bytes,
        slots: 64,
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
    let mut reader = Reader::open(stream);
    let Ok(mut socket) = reader.clone_stream() else {
        return Got::NoConnection;
    };
    if plan.is_kept {
        let before = format!(
            "POST /charges/cabin HTTP/1.1\r\nHost: charges.example\r\nAttempt-Id: before-{number}\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbook"
        );
        let answered = socket
            .write_all(before.as_bytes())
            .and_then(|()| reader.message());
        if !answered.is_ok_and(|answer| answer.is_some_and(|one| one.status() == 200)) {
            return Got::NoConnection;
        }
    }
    let head = format!(
        "GET /batches/guests HTTP/1.1\r\nHost: documents.example\r\nAttempt-Id: d{number}-{}\r\nDeadline-Ms: {}\r\n\r\n",
        crate::fleet::wall_ms(),
        plan.deadline.as_millis()
    );
    if socket.write_all(head.as_bytes()).is_err() {
        return Got::Cut(0);
    }
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

fn memory(fleet: &Fleet, plan: &Plan, trouble: bool) -> i32 {
    let (whole, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let code = watch(
        fleet,
        MEMORY_BYTES,
        &fleet.nodes[4].backend,
        plan.clients,
        |node, client, done| {
            std::thread::sleep(plan.gap * client as u32);
            // A client whose request may be repeated sends it again after a failure.
            while !done.load(Ordering::SeqCst) {
                let pace = trouble.then_some(plan.pace);
                if let Got::Whole = download(node.callers, client, plan, pace) {
                    whole.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                failed.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(RETRY_PAUSE);
            }
        },
    );
    println!(
        "downloads: {} whole, {} failed",
        whole.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst)
    );
    code
}
