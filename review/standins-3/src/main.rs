//! `review3 CASE RECORD`: runs one case of the review and writes its record.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0`
//! it does the same without the disruption.

mod backend;
mod client;
mod departure;
mod fleet;
mod http;
mod json;
mod late;
mod proxy;
mod record;
mod stop;
mod store;
mod uploads;

use std::process::exit;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review3 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::open());
    record.add(format!("case {case}, disruption: {trouble}"));
    fleet::watch_signals();
    let watched = Arc::clone(&record);
    let file = path.clone();
    std::thread::spawn(move || {
        let began = Instant::now();
        while began.elapsed() < LONGEST_RUN && !fleet::is_stopped() {
            std::thread::sleep(Duration::from_millis(50));
        }
        fleet::end_all();
        watched.add("the case took too long or was stopped, exit 2");
        let _written = watched.write(&file);
        exit(2);
    });
    // A panic unwinds through the fleet, which ends its processes.
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "stop" => stop::run(&record, trouble),
        "uploads" => uploads::run(&record, trouble),
        "departure" => departure::run(&record, trouble),
        "late" => late::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    let result = result.unwrap_or_else(|_| Err(std::io::Error::other("the test panicked")));
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.add(format!("the case couldn't run: {error}"));
            2
        }
    };
    record.add(format!("exit {code}"));
    if let Err(error) = record.write(path) {
        eprintln!("review3: {path}: {error}");
        exit(2);
    }
    exit(code);
}
