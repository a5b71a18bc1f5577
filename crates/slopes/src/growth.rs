//! Growth of state, message sizes and processor time.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use filbertwheel_core::{Heartbeat, Member, Rate};
use filbertwheel_policy::{Roster, ShareLedger};
use serde::Serialize;

use crate::fleet::{beat, configuration, member, organisation};

/// Sizes of fleets.
const MEMBERS: [usize; 3] = [100, 1_000, 10_000];
/// Numbers of organisations.
const ORGANISATIONS: [usize; 3] = [8, 100, 1_000];
/// Numbers of children of one parent.
const CHILDREN: [usize; 3] = [4, 8, 16];
/// Rounds of a timing.
const ROUNDS: u32 = 200;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

#[derive(Serialize)]
struct RosterLine {
    members: usize,
    state_bytes: u64,
    clone_us: f64,
    digest_bytes: usize,
}

#[derive(Serialize)]
struct ConfigLine {
    organisations: usize,
    document_bytes: usize,
    clone_us: f64,
}

#[derive(Serialize)]
struct BeatLine {
    organisations: usize,
    beat_bytes: usize,
    encode_us: f64,
    decode_us: f64,
}

#[derive(Serialize)]
struct LedgerLine {
    children: usize,
    organisations: usize,
    settle_us: f64,
}

/// The roster by number of members.
pub fn measure_roster() {
    for members in MEMBERS {
        let before = resident_bytes();
        let mut roster = Roster::default();
        for number in 0..members {
            roster.merge(member(number));
        }
        let state_bytes = resident_bytes().saturating_sub(before);
        let all: Vec<Member> = roster.members().cloned().collect();
        print(&RosterLine {
            members,
            state_bytes,
            clone_us: time(|| drop(black_box(roster.clone()))),
            digest_bytes: encoded(&all).len(),
        });
    }
}

/// The configuration by number of organisations.
pub fn measure_config() {
    for organisations in ORGANISATIONS {
        let config = configuration(organisations);
        print(&ConfigLine {
            organisations,
            document_bytes: encoded(&config).len(),
            clone_us: time(|| drop(black_box(config.clone()))),
        });
    }
}

/// Beats by number of organisations.
pub fn measure_beats() {
    for organisations in ORGANISATIONS {
        let beat = beat(1, organisations);
        let bytes = encoded(&beat);
        print(&BeatLine {
            organisations,
            beat_bytes: bytes.len(),
            encode_us: time(|| drop(black_box(encoded(&beat)))),
            decode_us: time(|| drop(black_box(serde_json::from_slice::<Heartbeat>(&bytes)))),
        });
    }
}

/// A parent's work for one beat, by number of children and organisations.
pub fn measure_ledger() {
    for children in CHILDREN {
        for organisations in [8, 100] {
            let settle_us = time_settle(children, organisations);
            print(&LedgerLine {
                children,
                organisations,
                settle_us,
            });
        }
    }
}

fn time_settle(children: usize, organisations: usize) -> f64 {
    let limit = Rate {
        rate: 1_000.0,
        burst: 2_000.0,
    };
    let limits: BTreeMap<_, _> = (0..organisations)
        .map(|index| (organisation(index), limit))
        .collect();
    let now = Instant::now();
    let mut ledger = ShareLedger::open("root".into());
    let beats: Vec<Heartbeat> = (0..children)
        .map(|number| idle(beat(number, organisations)))
        .collect();
    for beat in &beats {
        let noted = ledger.record_heartbeat(beat, now);
        assert!(noted.is_ok(), "a first beat is in order");
        drop(black_box(ledger.allocate(beat, &limits, now, now)));
    }
    let rounds = (ROUNDS as usize / children).max(2);
    let start = Instant::now();
    for round in 0..rounds {
        for beat in &beats {
            let number = beat.number + round as u64 + 1;
            let next = Heartbeat {
                number,
                ..beat.clone()
            };
            let _taken = black_box(ledger.record_heartbeat(&next, now).is_ok());
            drop(black_box(ledger.allocate(&next, &limits, now, now)));
        }
    }
    micros(start.elapsed()) / (rounds * children) as f64
}

/// The same beat of a node that holds nothing.
fn idle(mut beat: Heartbeat) -> Heartbeat {
    beat.demands.iter_mut().for_each(|demand| demand.held = 0);
    beat
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
