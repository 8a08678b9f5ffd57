//! The platform's store, as PROTOCOL.md describes it: rows in tables and parts, with a feed.

use crate::{http, json};
use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Most rows and most bytes of a response to `rows-get`.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Table, part and key.
type Name = (String, String, String);

#[derive(Clone)]
struct Row {
    ver: u64,
    /// In base64; `None` once the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<Name, Row>,
}

/// The way of one daemon to the store, which can be cut: its connections end, and new ones are closed.
#[derive(Clone, Default)]
pub struct Door {
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Version of the newest transaction that came this way.
    last_write: Arc<AtomicU64>,
}

impl Door {
    /// Ends all connections, and closes new ones until [`Self::heal`].
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Version of the newest transaction that came this way.
    pub fn last_write(&self) -> u64 {
        self.last_write.load(Ordering::SeqCst)
    }
}

/// Handle of the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    /// An empty store.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Opens a way to the store on a free port.
    pub fn open(&self) -> (Door, SocketAddr) {
        let door = Door::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let (store, way) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if way.is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let kept = stream.try_clone().expect("a descriptor");
                way.streams.lock().unwrap().push(kept);
                let (store, way) = (store.clone(), way.clone());
                thread::spawn(move || store.serve(stream, &way));
            }
        });
        (door, addr)
    }

    /// Writes a row, or removes it, as the operator, an endpoint or another writer.
    pub fn put(&self, table: &str, part: &str, key: &str, value: Option<&[u8]>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let name = (table.into(), part.into(), key.into());
        let value = value.map(json::base64);
        state.rows.insert(name, Row { ver, value });
        changed.notify_all();
        ver
    }

    fn serve(&self, mut stream: TcpStream, door: &Door) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = http::read_message(&mut stream, &mut buf, false) {
            thread::sleep(Duration::from_millis(4));
            let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), http::percent_decode(value)))
                .collect();
            let text = |name: &str| query.get(name).cloned().unwrap_or_default();
            let (status, body) = match path {
                "/-/rows-get" => {
                    self.get(&text("table"), &text("part"), &text("from"), &text("limit"))
                }
                "/-/rows-feed" => {
                    let after = text("after").parse().unwrap_or(0);
                    let wait = text("wait_ms").parse().unwrap_or(0).min(30_000);
                    self.feed(&text("table"), after, Duration::from_millis(wait))
                }
                "/-/rows-tx" => self.transact(&req.body, door),
                _ => ("404 Not Found", "{}".into()),
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if http::write_all(&mut stream, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn get(&self, table: &str, part: &str, from: &str, limit: &str) -> (&'static str, String) {
        let limit = limit.parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.state.0.lock().unwrap();
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        for (name, row) in state.rows.range(first..) {
            if name.0 != table || name.1 != part {
                break;
            }
            if row.value.is_none() {
                continue;
            }
            let text = row_text(name, row);
            if rows.len() >= limit || (bytes + text.len() > PAGE_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            bytes += text.len();
            rows.push(text);
        }
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{},\"now_s\":{:.3}}}",
            rows.join(","),
            state.ver,
            self.now_s()
        );
        ("200 OK", body)
    }

    /// The changed rows of a table, of all its parts: the call takes no part.
    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let until = Instant::now() + wait;
        loop {
            let mut rows: Vec<(&Name, &Row)> = state
                .rows
                .iter()
                .filter(|(name, row)| name.0 == table && row.ver > after)
                .collect();
            rows.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let texts: Vec<String> =
                    rows.iter().map(|(name, row)| row_text(name, row)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_s\":{:.3}}}",
                    texts.join(","),
                    state.ver,
                    self.now_s()
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8], door: &Door) -> (&'static str, String) {
        let Some(tx) = json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let name = |row: &json::Value| (row.text("table"), row.text("part"), row.text("key"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        for row in tx.list("expected_rev") {
            let known = state
                .rows
                .get(&name(row))
                .filter(|known| known.value.is_some());
            if known.map_or(0, |known| known.ver) != row.number("ver") {
                return ("412 Precondition Failed", "{\"rows\":[]}".into());
            }
        }
        if tx
            .list("writes")
            .iter()
            .any(|row| ["op", "servers"].contains(&&*row.text("table")))
        {
            return ("403 Forbidden", "{}".into());
        }
        state.ver += 1;
        let ver = state.ver;
        for row in tx.list("writes") {
            let value = Some(row.text("value"));
            state.rows.insert(name(row), Row { ver, value });
        }
        for row in tx.list("remove") {
            state.rows.insert(name(row), Row { ver, value: None });
        }
        changed.notify_all();
        door.last_write.store(ver, Ordering::SeqCst);
        (
            "200 OK",
            format!("{{\"ver\":{ver},\"now_s\":{:.3}}}", self.now_s()),
        )
    }
}

fn row_text((table, part, key): &Name, row: &Row) -> String {
    let quoted = json::quote;
    let content = match &row.value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{content},\"ver\":{}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        row.ver
    )
}
