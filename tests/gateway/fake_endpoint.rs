//! An endpoint that responds to each request with given bytes, well-formed or not.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep},
};

/// How the endpoint handles a request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Runs it and responds.
    Ok,
    /// Runs it and responds after this time.
    Slow(Duration),
    /// Runs it and responds after this time, but to so many first requests only.
    HangsAfter(Duration, usize),
    /// Runs it for as many milliseconds as the last segment of its path says, and responds. Ends the
    /// work if the connection is closed.
    SlowByPath,
    /// Runs it and responds twice.
    Twice,
    /// Runs it and closes the connection.
    Lost,
    /// Runs it and sends a truncated response.
    Truncated,
    /// Runs it and responds, but closes a connection without a response if it was idle for this
    /// time.
    DropsIdle(Duration),
    /// Runs it and advertises in the response that idle connections are closed after this many
    /// seconds.
    KeepsAlive(u64),
    /// Runs it and responds without the signature.
    Unsigned,
    /// Sheds it and states that it did not run.
    Shed,
    /// Responds as another endpoint than the one that the request names.
    OtherEndpoint,
    /// Runs it and responds with a status that states that it did not run.
    False503,
    /// Sheds the first request of a connection. Runs the others, and sends a copy of that response
    /// ahead of the one to each.
    RepeatsRejection,
    /// The same with the id of the first request.
    RepeatsRejectionWithId,
    /// Does not run it, and responds with this status, which states so.
    Rejects(u16),
    /// Runs it, and echoes another id than the request's.
    OtherId,
    /// Runs it, and sends the body this time after the head.
    SlowBody(Duration),
    /// Sends the text in place of each of so many first requests, with their id for `ID`, and runs
    /// the others.
    Sends(&'static str, usize),
    /// Sends the text in place of the first request of each daemon, with its id for `ID`, and runs
    /// the others for this time.
    PausesEach(&'static str, Duration),
    /// Runs it, and sends the first text, and then the second one until the connection closes.
    Endless(&'static str, &'static str),
}

/// Times that the repeated part of an endless response is sent in one write.
const REPEATS_PER_WRITE: usize = 1_000;

/// A rejection of a request that did not run, without the request's id.
const REJECTION: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Handle of a running endpoint.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Listening address.
    pub addr: SocketAddr,
    runs: Arc<AtomicUsize>,
    /// When requests arrived, and the daemons that their headers name.
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    connections: Arc<AtomicUsize>,
    cancelled: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    /// Limit that the responses name.
    limit: Arc<Mutex<Option<String>>>,
    /// Ends the endpoint.
    stop: watch::Sender<bool>,
}

impl FakeEndpoint {
    /// Starts an endpoint that handles all requests in the same way.
    pub async fn start(behavior: Behavior) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), behavior).await
    }

    /// Starts an endpoint at an address.
    pub async fn start_at(addr: SocketAddr, behavior: Behavior) -> Self {
        let listener = TcpListener::bind(addr).await.expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let endpoint = Self {
            addr,
            runs: Arc::default(),
            arrivals: Arc::default(),
            connections: Arc::default(),
            cancelled: Arc::default(),
            is_leaving: Arc::default(),
            limit: Arc::default(),
            stop: watch::Sender::new(false),
        };
        let (served, mut stopped) = (endpoint.clone(), endpoint.stop.subscribe());
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    // An error means that all handles were dropped; the test ends then.
                    _ = stopped.wait_for(|stop| *stop) => return,
                    Ok((stream, _)) = listener.accept() => {
                        connections.spawn(served.clone().serve(stream, behavior.clone()));
                    }
                }
            }
        });
        endpoint
    }

    /// Ends the endpoint: closes its address and all connections.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        while TcpStream::connect(self.addr).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Number of requests that ran.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Number of requests that arrived, without those on closed idle connections.
    pub fn arrivals(&self) -> usize {
        self.arrival_times().len()
    }

    /// When these requests arrived.
    pub fn arrival_times(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("no panic while locked");
        arrivals.iter().map(|(at, _)| *at).collect()
    }

    /// When requests arrived that name this daemon.
    pub fn arrivals_via(&self, daemon: &str) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("no panic while locked");
        let of_daemon = arrivals.iter().filter(|(_, via)| via == daemon);
        of_daemon.map(|(at, _)| *at).collect()
    }

    /// Records an arrival. Returns its number among all and among those of the daemon, from 0.
    fn count_arrival(&self, head: &str) -> (usize, usize) {
        let via = header(head, "x-via: ");
        let mut arrivals = self.arrivals.lock().expect("no panic while locked");
        let number = arrivals.len();
        let of_daemon = arrivals.iter().filter(|(_, other)| *other == via).count();
        arrivals.push((Instant::now(), via));
        (number, of_daemon)
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of requests whose connection was closed while they ran.
    pub fn cancelled(&self) -> usize {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Sets whether responses say that the endpoint leaves. If there are several responses to a
    /// request, only the first one says so.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::SeqCst);
    }

    /// Sets the requests per second that responses name as the limit.
    pub fn set_limit(&self, per_second: Option<&str>) {
        let mut limit = self.limit.lock().expect("no panic while locked");
        *limit = per_second.map(str::to_owned);
    }

    async fn serve(self, mut stream: TcpStream, behavior: Behavior) {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let mut buf = Vec::new();
        let mut last_used = Instant::now();
        let mut is_first = true;
        let mut first_id = None;
        loop {
            let head = loop {
                if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break String::from_utf8_lossy(&buf.drain(..end + 4).collect::<Vec<u8>>())
                        .to_lowercase();
                }
                let mut part = [0; 4096];
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => buf.extend_from_slice(&part[..n]),
                }
            };
            let id = header(&head, "x-id: ");
            if matches!(behavior, Behavior::DropsIdle(after) if last_used.elapsed() >= after) {
                return;
            }
            let (number, number_of_daemon) = self.count_arrival(&head);
            let is_shed = match behavior {
                Behavior::Sends(_, first) => number < first,
                Behavior::PausesEach(..) => number_of_daemon == 0,
                Behavior::Shed | Behavior::OtherEndpoint | Behavior::Rejects(_) => true,
                Behavior::RepeatsRejection | Behavior::RepeatsRejectionWithId => {
                    std::mem::take(&mut is_first)
                }
                _ => false,
            };
            if !is_shed {
                self.runs.fetch_add(1, Ordering::SeqCst);
            }
            let ok = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nhello"
            );
            let text = match &behavior {
                Behavior::Ok | Behavior::DropsIdle(_) => ok,
                Behavior::KeepsAlive(seconds) => ok.replace(
                    "content-length",
                    &format!("keep-alive: timeout={seconds}\r\ncontent-length"),
                ),
                Behavior::Slow(time) => {
                    sleep(*time).await;
                    ok
                }
                Behavior::HangsAfter(time, first) if number < *first => {
                    sleep(*time).await;
                    ok
                }
                Behavior::HangsAfter(..) => std::future::pending().await,
                Behavior::SlowByPath => {
                    let mut rest = [0];
                    tokio::select! {
                        () = sleep(processing_time(&head)) => ok,
                        _ = stream.read(&mut rest) => {
                            self.cancelled.fetch_add(1, Ordering::SeqCst);
                            return;
                        }
                    }
                }
                Behavior::Twice => ok.repeat(2),
                Behavior::Lost => return,
                Behavior::Truncated => {
                    // The connection closes before the rest is sent.
                    let ok = self.with_notice(&ok);
                    let half = &ok.as_bytes()[..ok.len() - 2];
                    let _ = stream.write_all(half).await;
                    return;
                }
                Behavior::Rejects(status) => REJECTION
                    .replace("503", &status.to_string())
                    .replace("x-not", &format!("x-id: {id}\r\nx-not")),
                Behavior::OtherId => ok.replace("x-id: ", "x-id: other"),
                Behavior::SlowBody(time) => {
                    let ok = self.with_notice(&ok);
                    let (head, body) = ok.split_at(ok.len() - 5);
                    let _ = stream.write_all(head.as_bytes()).await;
                    sleep(*time).await;
                    let _ = stream.write_all(body.as_bytes()).await;
                    continue;
                }
                Behavior::Sends(text, _) if is_shed => text.replace("ID", &id),
                Behavior::Sends(..) => ok,
                Behavior::PausesEach(text, _) if is_shed => text.replace("ID", &id),
                Behavior::PausesEach(_, time) => {
                    sleep(*time).await;
                    ok
                }
                Behavior::Unsigned => ok.replace("x-signature: s\r\n", ""),
                Behavior::Shed => REJECTION.replace("x-not", &format!("x-id: {id}\r\nx-not")),
                Behavior::RepeatsRejection if is_shed => REJECTION.into(),
                Behavior::RepeatsRejection => format!("{REJECTION}{ok}"),
                Behavior::RepeatsRejectionWithId => {
                    let first_id = first_id.get_or_insert_with(|| id.clone());
                    let rejection =
                        REJECTION.replace("x-not", &format!("x-id: {first_id}\r\nx-not"));
                    if is_shed {
                        rejection
                    } else {
                        format!("{rejection}{ok}")
                    }
                }
                Behavior::Endless(start, repeated) => {
                    let start = start.replace("ID", &id);
                    let _ = stream.write_all(start.as_bytes()).await;
                    let part = repeated.repeat(REPEATS_PER_WRITE);
                    while stream.write_all(part.as_bytes()).await.is_ok() {}
                    return;
                }
                Behavior::OtherEndpoint => {
                    "HTTP/1.1 421 Other\r\nx-instance: other\r\ncontent-length: 0\r\n\r\n".into()
                }
                Behavior::False503 => format!(
                    "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n"
                ),
            };
            let text = self.with_notice(&text);
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            last_used = Instant::now();
        }
    }

    /// The response with the headers that say that the endpoint leaves and what its limit is, as far
    /// as it does and has one.
    fn with_notice(&self, response: &str) -> String {
        let mut text = response.to_owned();
        if self.is_leaving.load(Ordering::SeqCst) {
            text = text.replacen("\r\n", "\r\nx-leaving: 1\r\n", 1);
        }
        let limit = self.limit.lock().expect("no panic while locked");
        if let Some(limit) = &*limit {
            text = text.replacen("\r\n", &format!("\r\nx-limit: {limit}\r\n"), 1);
        }
        text
    }
}

/// The last segment of the path of a request head, in milliseconds.
fn processing_time(head: &str) -> Duration {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let segment = path.rsplit('/').next().unwrap_or_default();
    Duration::from_millis(segment.parse().unwrap_or_default())
}

/// Value of a header of a request head; `name` ends with a colon and a space.
fn header(head: &str, name: &str) -> String {
    let mut lines = head.lines();
    let value = lines.find_map(|line| line.strip_prefix(name));
    value.unwrap_or_default().to_owned()
}
