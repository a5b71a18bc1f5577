//! The platform's metadata store, as far as its protocol is used.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, Reply, write_reply};
use crate::json::{Json, base64, quote};

type Key = (String, String, String);

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(u64, Key, Option<String>)>,
}

struct State {
    contents: Contents,
    era: u64,
    /// Rises whenever open watches have to look again.
    open: Vec<TcpStream>,
}

pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    away: AtomicBool,
}

pub struct Copy(Contents);

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
            state: Mutex::new(State {
                contents: Contents::default(),
                era: 1,
                open: Vec::new(),
            }),
            changed: Condvar::new(),
            away: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.away.load(Ordering::SeqCst) {
                    continue;
                }
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.connection(stream));
            }
        });
        store
    }

    fn connection(&self, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        if let Ok(kept) = stream.try_clone() {
            self.lock().open.push(kept);
        }
        let mut reader = Reader::open(stream);
        while let Ok(Some(request)) = reader.message() {
            let Some((status, mut headers, body)) = self.call(&request) else {
                return;
            };
            if self.away.load(Ordering::SeqCst) {
                return;
            }
            headers.push(("Store-Era".to_owned(), self.lock().era.to_string()));
            if write_reply(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the store's state")
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(
            &mut self.lock(),
            vec![(key, Some(base64(value.as_bytes())))],
        );
    }

    pub fn has(&self, table: &str, key: &str) -> bool {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.lock().contents.rows.contains_key(&key)
    }

    pub fn copy(&self) -> Copy {
        Copy(self.lock().contents.clone())
    }

    /// Is away for a moment and comes back from an earlier copy, in the next era.
    pub fn restore(&self, copy: &Copy, away: Duration) {
        self.away.store(true, Ordering::SeqCst);
        {
            let mut state = self.lock();
            for stream in state.open.drain(..) {
                let _closed = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        self.changed.notify_all();
        std::thread::sleep(away);
        {
            let mut state = self.lock();
            state.contents = copy.0.clone();
            state.era += 1;
        }
        self.away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn apply(&self, state: &mut State, changes: Vec<(Key, Option<String>)>) {
        let contents = &mut state.contents;
        contents.revision += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    contents
                        .rows
                        .insert(key.clone(), (contents.revision, value.clone()));
                }
                None => {
                    contents.rows.remove(&key);
                }
            }
            contents.history.push((contents.revision, key, value));
        }
        self.changed.notify_all();
    }

    fn call(&self, request: &Message) -> Reply {
        let path = request.path().to_owned();
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path.strip_prefix("/filbertwheel/").unwrap_or_default() {
            "rows-tx" => self.transaction(&String::from_utf8_lossy(&request.body)),
            "rows-get" => {
                let state = self.lock();
                let most: usize = get("max_items").parse().unwrap_or(500);
                let (table, part, end) = (get("table_name"), get("part"), get("target"));
                let rows = state
                    .contents
                    .rows
                    .range((table.clone(), part.clone(), get("from"))..);
                let rows = rows.take_while(|(key, _)| key.0 == table && key.1 == part);
                let rows = rows.take_while(|(key, _)| end.is_empty() || key.2 < end);
                let rows: Vec<String> = rows
                    .map(|(key, (version, value))| row(key, *version, Some(value)))
                    .collect();
                let more = rows.len() > most;
                self.rows(200, &state, &rows[..rows.len().min(most)], more)
            }
            "rows-feed" => {
                let after = get("after").parse().unwrap_or(0);
                let wait = get("wait_ms").parse().unwrap_or(0);
                self.feed(&get("table_name"), after, Duration::from_millis(wait))
            }
            _ => Some((404, Vec::new(), Vec::new())),
        }
    }

    fn transaction(&self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else {
            return Some((400, Vec::new(), Vec::new()));
        };
        let key = |one: &Json| (one.text("table_name"), one.text("part"), one.text("key"));
        let mut state = self.lock();
        let current = |state: &State, key: &Key| {
            state
                .contents
                .rows
                .get(key)
                .map_or(0, |(version, _)| *version)
        };
        let mut expected = body.list("expected_rev").iter();
        if expected.any(|one| current(&state, &key(one)) != one.number("row_version")) {
            let keys = body.list("expected_rev").iter().map(key);
            let rows: Vec<String> = keys
                .filter_map(|key| {
                    let (version, value) = state.contents.rows.get(&key)?;
                    Some(row(&key, *version, Some(value)))
                })
                .collect();
            return self.rows(412, &state, &rows, false);
        }
        let puts = body
            .list("put_op")
            .iter()
            .map(|one| (key(one), Some(one.text("value"))));
        let removes = body.list("remove").iter().map(|one| (key(one), None));
        let changes = puts.chain(removes).collect();
        self.apply(&mut state, changes);
        self.rows(200, &state, &[], false)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if self.away.load(Ordering::SeqCst) || state.era != era {
                return None;
            }
            if after > state.contents.revision {
                return Some((410, Vec::new(), Vec::new()));
            }
            let changes = state.contents.history.iter();
            let changes = changes.filter(|(revision, key, _)| *revision > after && key.0 == table);
            let rows: Vec<String> = changes
                .map(|(revision, key, value)| row(key, *revision, value.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.rows(200, &state, &rows, false);
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("the store's state")
                .0;
        }
    }

    fn rows(&self, status: u16, state: &State, rows: &[String], more: bool) -> Reply {
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.contents.revision,
            self.started.elapsed().as_millis()
        );
        let kind = ("Content-Type".to_owned(), "application/json".to_owned());
        Some((status, vec![kind], body.into_bytes()))
    }
}

fn row(key: &Key, version: u64, value: Option<&String>) -> String {
    let start = format!(
        "{{\"table_name\":{},\"part\":{},\"key\":{},\"row_version\":{version}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    );
    match value {
        Some(value) => format!("{start},\"value\":{}}}", quote(value)),
        None => format!("{start},\"tombstoned\":true}}"),
    }
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, more)) = rest.split_first() {
        let code = more
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) if *first == b'%' => {
                bytes.push(code);
                rest = &more[2..];
            }
            _ => {
                bytes.push(*first);
                rest = more;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
