//! The platform's metadata store: rows in tables, with conditional transactions and a feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Message, serve};
use crate::json::{Json, quote};

/// Time that each call takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Rows per response at the most.
const MAX_ROWS: usize = 500;

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (u64, String)>,
    history: Vec<(u64, RowKey, Option<String>)>,
}

pub struct Store {
    /// Address at which the store answers. At any other it closes each connection.
    address: Mutex<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            address: Mutex::new(address),
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        store.listen(address);
        store
    }

    /// Moves the store, with all that it holds, to another address.
    pub fn move_to(self: &Arc<Self>, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.listen(address);
        // Open calls at the earlier address end.
        self.changed.notify_all();
    }

    fn listen(self: &Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::clone(self);
        serve(listener, f64::INFINITY, move |request| {
            let response = store.answer(&request, address);
            store.is_at(address).then_some(response)
        });
    }

    fn is_at(&self, address: SocketAddr) -> bool {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) == address
    }

    /// Writes the manifest as the operator.
    pub fn write_manifest(&self, manifest: &str) {
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        let mut state = self.lock();
        state.apply(vec![(key, Some(base64(manifest.as_bytes())))]);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, address: SocketAddr) -> Message {
        if !self.is_at(address) {
            return Message::new("HTTP/1.1 503 Service Unavailable", "");
        }
        std::thread::sleep(ANSWER_TIME);
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = Query::parse(query);
        match (method, path) {
            ("POST", "/filbertwheel/rows-tx") => self.commit(&request.body),
            ("GET", "/filbertwheel/rows-get") => self.range(&query),
            ("GET", "/filbertwheel/rows-feed") => self.feed(&query, address),
            _ => Message::new("HTTP/1.1 404 Not Found", ""),
        }
    }

    fn commit(&self, body: &[u8]) -> Message {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return Message::new("HTTP/1.1 400 Bad Request", "");
        };
        let key = |row: &Json| (row.text("table_name"), row.text("part"), row.text("key"));
        let mut state = self.lock();
        let changed = call.list("put_op").iter().chain(call.list("remove"));
        if changed
            .map(key)
            .any(|key| key.0 == "op" || key.0 == "servers")
        {
            return Message::new("HTTP/1.1 403 Forbidden", "");
        }
        let expected = call.list("expected_rev");
        let holds = |row: &Json| {
            let known = state.rows.get(&key(row)).map_or(0, |(version, _)| *version);
            known == row.number("row_version")
        };
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|row| {
                let key = key(row);
                let (version, value) = state.rows.get(&key)?;
                Some(row_json(&key, *version, Some(value)))
            });
            let current: Vec<String> = current.collect();
            return self.rows("412 Precondition Failed", &state, &current, false);
        }
        let puts = call
            .list("put_op")
            .iter()
            .map(|row| (key(row), Some(row.text("value"))));
        let removes = call.list("remove").iter().map(|row| (key(row), None));
        let changes = puts.chain(removes).collect();
        state.apply(changes);
        self.changed.notify_all();
        self.rows("200 OK", &state, &[], false)
    }

    fn range(&self, query: &Query) -> Message {
        let (table, part) = (query.get("table_name"), query.get("part"));
        let (from, end) = (query.get("from"), query.get("target"));
        let most = query
            .get("max_items")
            .parse()
            .unwrap_or(MAX_ROWS)
            .min(MAX_ROWS);
        let state = self.lock();
        let found = state.rows.range((table.clone(), part.clone(), from)..);
        let found = found.take_while(|(key, _)| key.0 == table && key.1 == part);
        let mut found = found.take_while(|(key, _)| end.is_empty() || key.2 < end);
        let rows = found.by_ref().take(most);
        let rows: Vec<String> = rows
            .map(|(key, (version, value))| row_json(key, *version, Some(value)))
            .collect();
        let more = found.next().is_some();
        self.rows("200 OK", &state, &rows, more)
    }

    fn feed(&self, query: &Query, address: SocketAddr) -> Message {
        let table = query.get("table_name");
        let after: u64 = query.get("after").parse().unwrap_or(0);
        let wait = query.get("wait_ms").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| row_json(key, *version, value.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() || !self.is_at(address) {
                return self.rows("200 OK", &state, &rows, false);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn rows(&self, status: &str, state: &State, rows: &[String], more: bool) -> Message {
        let body = format!(
            r#"{{"rows":[{}],"has_more":{more},"row_version":{},"now_ms":{}}}"#,
            rows.join(","),
            state.version,
            self.start.elapsed().as_millis()
        );
        Message::new(format!("HTTP/1.1 {status}"), body).with("Content-Type", "application/json")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, changes: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    self.rows.insert(key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&key);
                }
            }
            self.history.push((self.version, key, value));
        }
    }
}

fn row_json(key: &RowKey, version: u64, value: Option<&String>) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let value = match value {
        Some(value) => format!(r#""value":{}"#, quote(value)),
        None => r#""tombstoned":true"#.to_owned(),
    };
    format!(
        r#"{{"table_name":{table},"part":{part},"key":{name},{value},"row_version":{version}}}"#
    )
}

struct Query(BTreeMap<String, String>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|two| u8::from_str_radix(two, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = group
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = number >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
