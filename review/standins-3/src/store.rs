//! A store that follows the users' pages, as far as the nodes use it: rows, their ranges and their changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Wire};
use crate::json::{Json, quoted};

/// Table, part and key of a row.
type RowKey = (String, String, String);

/// Tables that the system may not write to.
const FOREIGN_TABLES: [&str; 2] = ["op", "servers"];
/// Most rows in an answer.
const MAX_ROWS: usize = 500;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

pub struct Store {
    pub address: SocketAddr,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Version and value of each row.
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Changes in order; a row that was removed has no value.
    history: Vec<(u64, RowKey, Option<String>)>,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(Wire::open(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(
            &mut self.state.lock().unwrap(),
            vec![(key, Some(base64(value.as_bytes())))],
        );
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let Some(body) = wire.text(head.length()) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&head, &body);
            let reason = if status == 200 { "OK" } else { "Refused" };
            let answer = format!(
                "HTTP/1.1 {status} {reason}\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decoded(value)))
            .collect();
        match path {
            "/filbertwheel/rows-tx" => self.commit(body),
            "/filbertwheel/rows-get" => self.range(&query),
            "/filbertwheel/rows-feed" => self.feed(&query),
            _ => (404, String::new()),
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, String::new());
        };
        let entries = |name: &str| call.get(name).map_or(&[][..], Json::list);
        let (puts, removes) = (entries("put_op"), entries("remove"));
        let foreign = |key: RowKey| FOREIGN_TABLES.contains(&key.0.as_str());
        if puts.iter().chain(removes).map(row_key).any(foreign) {
            return (403, String::new());
        }
        let mut state = self.state.lock().unwrap();
        let version = |entry: &Json| {
            state
                .rows
                .get(&row_key(entry))
                .map_or(0, |(version, _)| *version)
        };
        let expected = entries("expected_rev");
        let stated = |entry: &Json| entry.get("row_version").and_then(Json::number).unwrap_or(0);
        if expected.iter().any(|entry| version(entry) != stated(entry)) {
            let present = expected.iter().map(row_key);
            let rows = present.filter_map(|key| {
                let (version, value) = state.rows.get(&key)?;
                Some(row(&key, *version, Some(value)))
            });
            return (412, self.rows(&state, rows.collect(), false));
        }
        let value = |entry: &Json| {
            entry
                .get("value")
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let puts = puts
            .iter()
            .map(|entry| (row_key(entry), Some(value(entry))));
        let removes = removes.iter().map(|entry| (row_key(entry), None));
        let changes = puts.chain(removes).collect();
        self.apply(&mut state, changes);
        (200, self.rows(&state, Vec::new(), false))
    }

    fn apply(&self, state: &mut State, changes: Vec<(RowKey, Option<String>)>) {
        state.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => state
                    .rows
                    .insert(key.clone(), (state.version, value.clone())),
                None => state.rows.remove(&key),
            };
            state.history.push((state.version, key, value));
        }
        self.changed.notify_all();
    }

    fn range(&self, query: &BTreeMap<&str, String>) -> (u16, String) {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, target) = (get("table_name"), get("part"), get("target"));
        let most = get("max_items").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let from = (table.clone(), part.clone(), get("from"));
        let rows = state.rows.range(from..);
        let rows = rows.take_while(|((one, other, key), _)| {
            *one == table && *other == part && (target.is_empty() || *key < target)
        });
        let rows: Vec<_> = rows
            .take(most + 1)
            .map(|(key, (version, value))| row(key, *version, Some(value)))
            .collect();
        let more = rows.len() > most;
        (
            200,
            self.rows(&state, rows.into_iter().take(most).collect(), more),
        )
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> (u16, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let table = query.get("table_name").cloned().unwrap_or_default();
        let (after, until) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms")),
        );
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| row(key, *version, value.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.rows(&state, rows, false));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows(&self, state: &State, rows: Vec<String>, more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            self.began.elapsed().as_millis()
        )
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name: &str| {
        entry
            .get(name)
            .and_then(Json::text)
            .unwrap_or_default()
            .to_owned()
    };
    (text("table_name"), text("part"), text("key"))
}

fn row((table, part, key): &RowKey, version: u64, value: Option<&String>) -> String {
    let value_text = value.map_or("null".to_owned(), |value| quoted(value));
    format!(
        "{{\"table_name\":{},\"part\":{},\"key\":{},\"value\":{value_text},\"row_version\":{version},\"tombstoned\":{}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        value.is_none()
    )
}

fn decoded(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let code = std::str::from_utf8(&digits).ok();
        out.extend(code.and_then(|digits| u8::from_str_radix(digits, 16).ok()));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            if place <= three.len() {
                out.push(char::from(
                    DIGITS[(number >> (18 - 6 * place) & 63) as usize],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}
