//! What all stand-ins share: JSON, base64, time, a small HTTP/1.1 server and client, the record.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- time and record

static START: OnceLock<Instant> = OnceLock::new();

/// Seconds since the start of the script.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_s(s: f64) {
    if s > 0.0 {
        thread::sleep(Duration::from_secs_f64(s));
    }
}

pub fn sleep_until(t: f64) {
    sleep_s(t - now());
}

static RECORD: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());

/// Adds a line to `record.txt`.
pub fn record(line: String) {
    RECORD.lock().unwrap().push((now(), line));
}

/// Writes `record.txt` in the folder of the case.
pub fn write_record(path: &str) {
    let mut text = String::new();
    for (t, line) in RECORD.lock().unwrap().iter() {
        let _ = writeln!(text, "{t:9.3} {line}");
    }
    let _ = std::fs::write(path, text);
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&NULL),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            Json::Num(n) => *n,
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { s: text, i: 0 };
        let v = p.value()?;
        p.space();
        (p.i == text.len()).then_some(v)
    }
}

struct Parser<'a> {
    s: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.i < self.s.len() && self.s[self.i].is_ascii_whitespace() {
            self.i += 1;
        }
    }
    fn eat(&mut self, c: u8) -> Option<()> {
        self.space();
        (*self.s.get(self.i)? == c).then(|| self.i += 1)
    }
    fn word(&mut self, w: &str, v: Json) -> Option<Json> {
        self.s[self.i..].starts_with(w.as_bytes()).then(|| {
            self.i += w.len();
            v
        })
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.s.get(self.i)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.i += 1;
                let mut items = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::Arr(items));
                    }
                }
            }
            b'{' => {
                self.i += 1;
                let mut map = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Obj(map));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    map.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Obj(map));
                    }
                }
            }
            _ => {
                let from = self.i;
                while self.i < self.s.len() && b"+-.eE0123456789".contains(&self.s[self.i]) {
                    self.i += 1;
                }
                std::str::from_utf8(&self.s[from..self.i]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.s.get(self.i)? {
                b'"' => {
                    self.i += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let c = *self.s.get(self.i + 1)?;
                    self.i += 2;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.s.get(self.i..self.i + 4)?).ok()?;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend(c.to_string().bytes());
                            self.i += 4;
                        }
                        c => out.push(c),
                    }
                }
                c => {
                    out.push(c);
                    self.i += 1;
                }
            }
        }
    }
}

// ---------------------------------------------------------------- base64

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.line[1].split('?').next().unwrap()
    }
    pub fn query(&self, name: &str) -> &str {
        let query = self.line[1].split_once('?').map_or("", |(_, q)| q);
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        found.map_or("", |(_, v)| v)
    }
    pub fn reply(status: u16, headers: &[(&str, String)], body: &[u8]) -> Self {
        Message {
            line: vec!["HTTP/1.1".into(), status.to_string(), "x".into()],
            headers: headers.iter().map(|(n, v)| (n.to_string(), v.clone())).collect(),
            body: body.to_vec(),
        }
    }
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = self.line.join(" ") + "\r\n";
        for (n, v) in &self.headers {
            let _ = write!(text, "{n}: {v}\r\n");
        }
        let is_request = !self.line[0].starts_with("HTTP/");
        if !is_request || !self.body.is_empty() || self.line[0] == "POST" {
            let _ = write!(text, "Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut out = text.into_bytes();
        out.extend(&self.body);
        out
    }
}

/// Reads a message; `None` at the end of the connection before its first byte.
pub fn read_message(r: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "malformed message");
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut m = Message {
        line: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    if m.line.len() < 2 {
        return Err(bad());
    }
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(bad());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (n, v) = line.split_once(':').ok_or_else(bad)?;
        m.headers.push((n.to_owned(), v.trim().to_owned()));
    }
    if m.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            r.read_line(&mut line)?;
            let n = usize::from_str_radix(line.trim(), 16).map_err(|_| bad())?;
            let mut chunk = vec![0; n + 2];
            r.read_exact(&mut chunk)?;
            if n == 0 {
                break;
            }
            m.body.extend(&chunk[..n]);
        }
    } else if let Some(n) = m.header("content-length") {
        m.body = vec![0; n.parse().map_err(|_| bad())?];
        r.read_exact(&mut m.body)?;
    }
    Ok(Some(m))
}

/// What a handler does with a request.
pub enum Answer {
    Send(Message),
    /// No answer; the connection stays open.
    Withhold,
}

/// Serves `listener` with a thread for each connection, while `is_up` holds.
pub fn serve(
    listener: TcpListener,
    is_up: impl Fn() -> bool + Send + Sync + 'static,
    handle: impl Fn(Message) -> Answer + Send + Sync + 'static,
) {
    let (handle, is_up) = (Arc::new(handle), Arc::new(is_up));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (handle, is_up) = (Arc::clone(&handle), Arc::clone(&is_up));
            if !is_up() {
                return;
            }
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut w) = stream.try_clone() else { return };
                let mut r = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut r) {
                    if !is_up() {
                        return;
                    }
                    let closes = request.header("connection").is_some_and(|v| v == "close");
                    match handle(request) {
                        Answer::Send(m) => {
                            if !is_up() || w.write_all(&m.bytes()).is_err() || closes {
                                return;
                            }
                        }
                        Answer::Withhold => {}
                    }
                }
            });
        }
    });
}

/// A client's connection, which is kept from one request to the next.
pub struct Connection {
    r: BufReader<TcpStream>,
    /// The request that was sent last, for the record: its text and when it was sent.
    sent: Option<(String, f64)>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { r: BufReader::new(stream), sent: None })
    }
    pub fn send(&mut self, request: &Message) -> io::Result<()> {
        // Questions for readiness have no id and are not recorded.
        self.sent = request.header("request-id").map(|id| {
            let key = request.header("shard-key").map_or(String::new(), |k| format!(" key {k}"));
            (format!("request {id} {} {}{key}", request.line[0], request.line[1]), now())
        });
        let result = self.r.get_mut().write_all(&request.bytes());
        if result.is_err() {
            if let Some((text, at)) = self.sent.take() {
                record(format!("{text} could not be sent at {at:.3}"));
            }
        }
        result
    }
    /// The complete answer; `Ok(None)` if the connection ended before its first byte.
    pub fn receive(&mut self, limit_s: f64) -> io::Result<Option<Message>> {
        self.r.get_mut().set_read_timeout(Some(Duration::from_secs_f64(limit_s)))?;
        let answer = read_message(&mut self.r);
        if let Some((text, at)) = self.sent.take() {
            let status = match &answer {
                Ok(Some(m)) => m.status().to_string(),
                Ok(None) => "no answer, the connection was closed".into(),
                Err(e) => format!("no answer, {e}"),
            };
            record(format!("{text} sent at {at:.3}: {status}"));
        }
        answer
    }
}

pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Message {
    let mut m = Message::reply(0, headers, body);
    m.line = vec![method.into(), path.into(), "HTTP/1.1".into()];
    m
}

static LAST_ID: Mutex<u64> = Mutex::new(0);

/// A request id that no other request has.
pub fn new_id() -> String {
    let mut last = LAST_ID.lock().unwrap();
    *last += 1;
    format!("{:08x}{:08x}", std::process::id(), *last)
}
