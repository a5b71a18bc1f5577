//! Clients that send further requests before the first one is answered, while the backend server of the
//! first one is slow. The others go to a service whose backend servers are sound.

use std::collections::BTreeSet;
use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use crate::fleet::{Fleet, Node, Place, Work};
use crate::http::Reader;

/// Requests that a client sends one behind the other, and the pause between them.
const REQUESTS: usize = 16;
const PAUSE: Duration = Duration::from_millis(10);
/// Connections, one after the other.
const CONNECTIONS: usize = 8;
/// Time that a request takes, and how many times as long at a slow backend server (`srv_slow`, `x`).
const WORK: Duration = Duration::from_millis(190);
const SLOW: u32 = 5;
/// Size of a download, and of the answer to the first request.
const BODY_BYTES: usize = 320 * 1024;
const ORDER_BYTES: usize = 1_500;

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"orders","host":"albums.example","prefix":"/orders/","kind":"safe","timeout_ms":5000,"target_latency_ms":1500,"priority":2,"service":"prints","max_attempts":2,"no_auth":false},{"name":"albums","host":"albums.example","prefix":"/albums/","kind":"download","timeout_ms":5000,"target_latency_ms":1500,"priority":2,"service":"albums","max_attempts":2,"no_auth":false}],"services":[{"name":"prints","health_path":"/health","max_conns":634,"protocol":"h1","tls":false},{"name":"albums","health_path":"/health","max_conns":590,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[]}"#;

/// Returns the exit code.
pub fn run(trouble: bool) -> i32 {
    let place = |domain, service| Place { domain, service };
    let work = Work {
        time: WORK,
        body_bytes: BODY_BYTES,
        slots: 64,
    };
    let places = [
        place("ionian-a", "sharing"),
        place("ionian-b", "prints"),
        place("ionian-c", "albums"),
    ];
    let fleet = Fleet::start(&places, work, MANIFEST);
    let (entry, slow, sound) = (
        &fleet.nodes[0],
        &fleet.nodes[1].backend,
        &fleet.nodes[2].backend,
    );
    slow.work.lock().expect("work").body_bytes = ORDER_BYTES;
    if trouble {
        slow.work.lock().expect("work").time = WORK * SLOW;
        println!(
            "{:.2} s: {} takes {SLOW} times as long",
            fleet.at(),
            slow.id
        );
    }
    let (mut closed, mut answered, mut lost) = (0, 0, 0);
    for connection in 0..CONNECTIONS {
        let (got, ended) = converse(entry, connection);
        let ran = sound.ran();
        let sent = (0..REQUESTS).map(|number| id(connection, number));
        let unanswered: Vec<String> = sent
            .filter(|id| !got.contains(id) && ran.contains(id))
            .collect();
        answered += got.len();
        closed += usize::from(ended);
        if ended {
            lost += unanswered.len();
            println!(
                "{:.2} s: connection {connection}: {REQUESTS} requests sent, {} answered, then closed by the node; {} of the others had run at the sound backend server",
                fleet.at(),
                got.len(),
                unanswered.len()
            );
        }
    }
    println!(
        "{CONNECTIONS} connections, {answered} of {} requests answered, {closed} connections closed by the node",
        CONNECTIONS * REQUESTS
    );
    println!(
        "LOST: requests passed on to a sound backend server on connections that were closed without their answer: {lost}"
    );
    i32::from(lost > 3)
}

fn id(connection: usize, number: usize) -> String {
    format!("c{connection}-{number}")
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: albums.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\n\r\n"
    )
}

/// Sends the requests on one connection. Returns the ids of those that were answered in full with 200,
/// and whether the node closed the connection before all were answered.
fn converse(node: &Node, connection: usize) -> (BTreeSet<String>, bool) {
    let stream = TcpStream::connect(node.callers).expect("the node accepts");
    let _set = stream.set_nodelay(true);
    let _set = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut writer = stream.try_clone().expect("a clone");
    let mut reader = Reader::open(stream);
    // A small request of before, so that the connection is a kept one.
    let before = request("/orders/mine", &format!("c{connection}-before"));
    let answered = writer
        .write_all(before.as_bytes())
        .and_then(|()| reader.message());
    assert!(answered.is_ok_and(|answer| answer.is_some_and(|one| one.status() == 200)));
    let reading = std::thread::spawn(move || {
        let mut got = BTreeSet::new();
        for _ in 0..REQUESTS {
            match reader.message() {
                Ok(Some(answer))
                    if answer.status() == 200
                        && [BODY_BYTES, ORDER_BYTES].contains(&answer.body.len()) =>
                {
                    got.insert(answer.header("attempt-id").unwrap_or_default().to_owned());
                }
                // A refusal is an answer too, but not one that these requests should get.
                Ok(Some(answer)) => println!("  answer {}", answer.line),
                Ok(None) => return (got, true),
                Err(error) => return (got, error.kind() != std::io::ErrorKind::WouldBlock),
            }
        }
        (got, false)
    });
    for number in 0..REQUESTS {
        let path = if number == 0 {
            "/orders/mine"
        } else {
            "/albums/page"
        };
        let head = request(path, &id(connection, number));
        if writer.write_all(head.as_bytes()).is_err() {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    reading.join().expect("the reader")
}
