//! A node gets SIGTERM while requests that it has taken wait for a slot at another node.

use std::io::Write as _;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Place, Work};
use crate::http::Reader;

/// Unsafe requests, each on a connection of its own.
const REQUESTS: usize = 45;
/// Time budget of each and timeout of the route, as in the site file.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Time from the last request to the SIGTERM.
const BEFORE: Duration = Duration::from_millis(50);
/// `grace_s` of the site file.
const GRACE: Duration = Duration::from_secs(6);

const MANIFEST: &str = r#"{"version":"r7","routes":[{"name":"deposits","host":"payments.example","prefix":"/deposits/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"payments","max_attempts":2,"no_auth":false}],"services":[{"name":"payments","health_path":"/health","max_conns":2272,"protocol":"h1","tls":false}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},"tenants":[]}"#;

/// What became of a request.
struct Outcome {
    id: String,
    sent: Instant,
    /// Status of its answer; `None` if the connection was closed without a whole one.
    status: Option<u16>,
    ended: Instant,
}

/// Returns the exit code.
pub fn run(trouble: bool) -> i32 {
    let place = |domain, service| Place { domain, service };
    let work = Work {
        time: Duration::from_millis(400),
        body_bytes: 5_000,
        slots: 2,
    };
    let places = [
        place("majori", "availability"),
        place("dzintari", "payments"),
        place("bulduri", "documents"),
    ];
    let fleet = Fleet::start(&places, work, MANIFEST);
    let (entry, backend) = (&fleet.nodes[0], &fleet.nodes[1].backend);
    let (outcomes, stopped) = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..REQUESTS)
            .map(|number| scope.spawn(move || deposit(entry.callers, number)))
            .collect();
        std::thread::sleep(BEFORE);
        let stopped = Instant::now();
        if trouble {
            println!("{:.2} s: {} gets SIGTERM", fleet.at(), entry.vm);
            entry.stop(GRACE);
            let took = stopped.elapsed().as_secs_f64();
            println!("{:.2} s: it has ended, {took:.2} s later", fleet.at());
        }
        let outcomes = requests
            .into_iter()
            .map(|request| request.join().expect("a client"));
        (outcomes.collect::<Vec<Outcome>>(), stopped)
    });
    // What is still waiting at the other node may run yet.
    std::thread::sleep(Duration::from_secs(2));
    let runs = backend.runs.lock().expect("runs");
    let run_of = |id: &str| runs.iter().find(|(ran, _)| ran == id).map(|(_, at)| *at);
    let (mut statuses, mut lost, mut excused, mut late) = (Vec::new(), 0, 0, 0);
    for one in &outcomes {
        if let Some(status) = one.status {
            statuses.push(status);
            continue;
        }
        let began = run_of(&one.id);
        let at_work = began.is_some_and(|began| began <= one.ended);
        // The excuses of the rule: the time budget was reached, or the backend server was at work.
        if at_work || one.ended >= one.sent + DEADLINE {
            excused += 1;
            continue;
        }
        lost += 1;
        late += usize::from(began.is_some());
        println!(
            "  {}: closed without an answer {:.2} s after the SIGTERM, {:.2} s before its deadline",
            one.id,
            (one.ended - stopped).as_secs_f64(),
            (one.sent + DEADLINE - one.ended).as_secs_f64()
        );
    }
    let count = |wanted: fn(&u16) -> bool| statuses.iter().filter(|one| wanted(one)).count();
    println!(
        "{REQUESTS} requests: {} answered with 200, {} refused with 503, {} answered with 504, {} answered with something else, {excused} closed with an excuse",
        count(|status| *status == 200),
        count(|status| *status == 503),
        count(|status| *status == 504),
        count(|status| ![200, 503, 504].contains(status))
    );
    println!(
        "LOST: closed without an answer while they waited, before their deadline: {lost}; {late} of them reached the backend server after that"
    );
    i32::from(lost > 0)
}

fn deposit(address: std::net::SocketAddr, number: usize) -> Outcome {
    let id = format!("deposit-{number}");
    let stream = TcpStream::connect(address).expect("the node accepts");
    let _set = stream.set_nodelay(true);
    let _set = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(2)));
    let head = format!(
        "POST /deposits/cabin HTTP/1.1\r\nHost: payments.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: 4\r\n\r\nbook",
        DEADLINE.as_millis()
    );
    let sent = Instant::now();
    let written = (&stream).write_all(head.as_bytes());
    let answer = written.and_then(|()| Reader::open(stream).message());
    Outcome {
        id,
        sent,
        status: answer.ok().flatten().map(|answer| answer.status()),
        ended: Instant::now(),
    }
}
