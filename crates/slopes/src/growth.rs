//! Measurements of state size, message size and processor time by size of the fleet.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use filbertwheel_core::{Heartbeat, Member, Rate};
use filbertwheel_policy::{Roster, ShareLedger};
use serde::Serialize;

use crate::fleet::{configuration, heartbeat, member, organisation};

/// Numbers of members.
const ROSTER_SIZES: [usize; 3] = [100, 1_000, 10_000];
/// Numbers of organisations.
const ORGANISATION_COUNTS: [usize; 3] = [8, 100, 1_000];
/// Numbers of children per parent.
const CHILD_COUNTS: [usize; 3] = [4, 8, 16];
/// Iterations per timing.
const ROUNDS: u32 = 200;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

#[derive(Serialize)]
struct RosterMeasurement {
    members: usize,
    state_bytes: u64,
    clone_us: f64,
    digest_bytes: usize,
}

#[derive(Serialize)]
struct ConfigMeasurement {
    organisations: usize,
    document_bytes: usize,
    clone_us: f64,
}

#[derive(Serialize)]
struct HeartbeatMeasurement {
    organisations: usize,
    #[serde(rename = "beat_bytes")]
    heartbeat_bytes: usize,
    encode_us: f64,
    decode_us: f64,
}

#[derive(Serialize)]
struct LedgerMeasurement {
    children: usize,
    organisations: usize,
    settle_us: f64,
}

/// Measures the roster by number of members.
pub fn measure_roster() {
    for members in ROSTER_SIZES {
        let before = resident_bytes();
        let mut roster = Roster::default();
        for number in 0..members {
            roster.merge(member(number));
        }
        let state_bytes = resident_bytes().saturating_sub(before);
        let all: Vec<Member> = roster.members().cloned().collect();
        print(&RosterMeasurement {
            members,
            state_bytes,
            clone_us: time(|| drop(black_box(roster.clone()))),
            digest_bytes: encoded(&all).len(),
        });
    }
}

/// Measures the configuration by number of organisations.
pub fn measure_config() {
    for organisations in ORGANISATION_COUNTS {
        let config = configuration(organisations);
        print(&ConfigMeasurement {
            organisations,
            document_bytes: encoded(&config).len(),
            clone_us: time(|| drop(black_box(config.clone()))),
        });
    }
}

/// Measures heartbeats by number of organisations.
pub fn measure_heartbeats() {
    for organisations in ORGANISATION_COUNTS {
        let heartbeat = heartbeat(1, organisations);
        let bytes = encoded(&heartbeat);
        print(&HeartbeatMeasurement {
            organisations,
            heartbeat_bytes: bytes.len(),
            encode_us: time(|| drop(black_box(encoded(&heartbeat)))),
            decode_us: time(|| drop(black_box(serde_json::from_slice::<Heartbeat>(&bytes)))),
        });
    }
}

/// Measures a parent's processing time per heartbeat, by number of children and organisations.
pub fn measure_ledger() {
    for children in CHILD_COUNTS {
        for organisations in [8, 100] {
            let settle_us = time_allocation(children, organisations);
            print(&LedgerMeasurement {
                children,
                organisations,
                settle_us,
            });
        }
    }
}

fn time_allocation(children: usize, organisations: usize) -> f64 {
    let limit = Rate {
        rate: 1_000.0,
        burst: 2_000.0,
    };
    let limits: BTreeMap<_, _> = (0..organisations)
        .map(|index| (organisation(index), limit))
        .collect();
    let now = Instant::now();
    let mut ledger = ShareLedger::open("root".into());
    let heartbeats: Vec<Heartbeat> = (0..children)
        .map(|number| without_held_tokens(heartbeat(number, organisations)))
        .collect();
    for heartbeat in &heartbeats {
        let recorded = ledger.record_heartbeat(heartbeat, now);
        assert!(
            recorded.is_ok(),
            "the first heartbeat of a child is in order"
        );
        drop(black_box(ledger.allocate(heartbeat, &limits, now, now)));
    }
    let rounds = (ROUNDS as usize / children).max(2);
    let start = Instant::now();
    for round in 0..rounds {
        for heartbeat in &heartbeats {
            let number = heartbeat.number + round as u64 + 1;
            let next = Heartbeat {
                number,
                ..heartbeat.clone()
            };
            let _recorded = black_box(ledger.record_heartbeat(&next, now).is_ok());
            drop(black_box(ledger.allocate(&next, &limits, now, now)));
        }
    }
    micros(start.elapsed()) / (rounds * children) as f64
}

/// Returns the heartbeat with no tokens held.
fn without_held_tokens(mut heartbeat: Heartbeat) -> Heartbeat {
    heartbeat
        .demands
        .iter_mut()
        .for_each(|demand| demand.held = 0);
    heartbeat
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn time(step: impl Fn()) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(|_| step());
    micros(start.elapsed()) / f64::from(ROUNDS)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn print(line: &impl Serialize) {
    println!("{}", serde_json::json!(line));
}
