//! The cases of the review that are no days of the bench. Each starts the project's nodes as processes,
//! and plays the store, the backend servers and the clients itself.

mod departure;
mod fleet;
mod http;
mod json;
mod memory;
mod pipeline;
mod readers;
mod stop;
mod store;

/// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = std::env::args().nth(1).unwrap_or_default();
    let ran = std::panic::catch_unwind(|| match case.as_str() {
        "departure" => departure::run(trouble),
        "pipeline" => pipeline::run(trouble),
        "slow-readers" => readers::run(readers::Case::Cut, trouble),
        "memory" => readers::run(readers::Case::Memory, trouble),
        "stop" => stop::run(trouble),
        _ => 2,
    });
    std::process::exit(ran.unwrap_or(2));
}
