//! Guards against failures of requests that a caller sends before the former ones were answered:
//! responses out of order, requests that wait although they could run, and requests that are lost,
//! run too early or go on after the caller has left.

use super::{
    daemon::{Daemon, daemon_with},
    fake_endpoint::{Behavior, FakeEndpoint},
};
use std::time::Duration;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the daemon has read what was sent and passed on what may run.
const PASSED_ON: Duration = Duration::from_millis(150);
/// Most requests of a connection that are at endpoints: the first one and those sent ahead.
const MOST_AT_ONCE: usize = 9;

/// A request for `path` with this id.
fn get(id: usize, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: id-{id}\r\n\r\n")
}

/// Requests for these paths, with ids that count from 0.
fn gets(paths: &[&str]) -> String {
    let requests = paths.iter().enumerate().map(|(id, path)| get(id, path));
    requests.collect()
}

async fn slow_daemon() -> (Daemon, Vec<FakeEndpoint>) {
    daemon_with(&vec![Behavior::SlowByPath; 4]).await
}

fn runs(endpoints: &[FakeEndpoint]) -> usize {
    endpoints.iter().map(FakeEndpoint::runs).sum()
}

fn cancelled(endpoints: &[FakeEndpoint]) -> usize {
    endpoints.iter().map(FakeEndpoint::cancelled).sum()
}

/// A caller that sends bytes as they are.
struct Caller {
    stream: TcpStream,
    received: String,
}

impl Caller {
    async fn connect(daemon: &Daemon) -> Self {
        let stream = TcpStream::connect(daemon.callers).await;
        Self {
            stream: stream.expect("the daemon listens"),
            received: String::new(),
        }
    }

    async fn send(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("the daemon reads");
    }

    /// Reads until so many responses have arrived.
    async fn read(&mut self, responses: usize) -> Vec<Response> {
        let reading = async {
            while self.responses().len() < responses {
                assert!(self.read_some().await, "closed: {}", self.received);
            }
        };
        let read = timeout(TIMEOUT, reading).await;
        assert!(read.is_ok(), "{}", self.received);
        self.responses()
    }

    /// Reads until the daemon closes the connection.
    async fn read_to_end(&mut self) -> Vec<Response> {
        let read = timeout(TIMEOUT, async { while self.read_some().await {} }).await;
        assert!(read.is_ok(), "{}", self.received);
        self.responses()
    }

    async fn read_some(&mut self) -> bool {
        let mut buf = [0; 4096];
        let n = self.stream.read(&mut buf).await.unwrap_or(0);
        self.received += &String::from_utf8_lossy(&buf[..n]);
        n > 0
    }

    /// The complete responses that have arrived.
    fn responses(&self) -> Vec<Response> {
        let mut responses = Vec::new();
        let mut rest = &*self.received;
        while let Some((head, behind)) = rest.split_once("\r\n\r\n") {
            let length = value_of(head, "content-length: ").parse();
            let Some(behind) = behind.get(length.unwrap_or(0)..) else {
                break;
            };
            responses.push(Response::parse(head));
            rest = behind;
        }
        responses
    }
}

/// Value of a header; `name` ends with a colon and a space.
fn value_of<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines();
    let value = lines.find_map(|line| line.strip_prefix(name));
    value.unwrap_or_default()
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Response {
    status: u16,
    id: String,
    closes: bool,
}

impl Response {
    fn parse(head: &str) -> Self {
        let status = head.split(' ').nth(1).unwrap_or_default();
        Self {
            status: status.parse().expect("a status"),
            id: value_of(head, "x-id: id-").into(),
            closes: value_of(head, "connection: ") == "close",
        }
    }
}

/// The ids of responses, in their order.
fn ids(responses: &[Response]) -> Vec<&str> {
    responses.iter().map(|response| &*response.id).collect()
}

/// Guards against a request that waits until the one before it has been answered.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_run_side_by_side() {
    let (daemon, _endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let started = Instant::now();
    caller.send(&gets(&["/safe/500"; 3])).await;
    let responses = caller.read(3).await;
    assert_eq!(ids(&responses), ["0", "1", "2"]);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1_000), "{took:?}");
}

/// Guards against responses in the order in which they became ready.
#[tokio::test(flavor = "multi_thread")]
async fn responses_keep_the_order_of_requests() {
    let (daemon, _endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    caller
        .send(&gets(&["/safe/400", "/safe/0", "/safe/200", "/safe/50"]))
        .await;
    assert_eq!(ids(&caller.read(4).await), ["0", "1", "2", "3"]);
}

/// Guards against a failed request that takes those behind it with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_leaves_those_behind_it() {
    let (daemon, _endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let first = get(0, "/safe/2000").replace("\r\n\r\n", "\r\nx-deadline: 200\r\n\r\n");
    caller.send(&(first + &get(1, "/safe/400"))).await;
    let responses = caller.read(2).await;
    assert_eq!(responses[0].status, 504, "{responses:?}");
    assert_eq!((responses[1].status, &*responses[1].id), (200, "1"));
}

/// Guards against a request that runs before its turn although its effect may depend on those before
/// it, or although it is not certain where it ends.
#[test_case("GET /unsafe/0 HTTP/1.1\r\nhost: h\r\nx-id: id-1\r\n\r\n"; "not idempotent")]
#[test_case("POST /safe/0 HTTP/1.1\r\nhost: h\r\nx-id: id-1\r\ncontent-length: 4\r\n\r\nbody"; "a body")]
#[test_case("POST /safe/0 HTTP/1.1\r\nhost: h\r\nx-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"; "a chunked body")]
#[test_case("GET /safe/0 HTTP/1.1\nhost: h\nx-id: id-1\nexpect: 100-continue\n\n"; "an expectation")]
#[tokio::test(flavor = "multi_thread")]
async fn other_requests_wait_for_their_turn(second: &str) {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let requests = get(0, "/safe/400") + second + &get(2, "/safe/0");
    caller.send(&requests).await;
    sleep(PASSED_ON).await;
    assert_eq!(runs(&endpoints), 1);
    let responses = caller.read(3).await;
    assert_eq!(ids(&responses), ["0", "1", "2"], "{}", caller.received);
}

/// Guards against a request that runs beside one that is not idempotent.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_behind_one_that_is_not_idempotent() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(&gets(&["/unsafe/400", "/safe/0"])).await;
    sleep(PASSED_ON).await;
    assert_eq!(runs(&endpoints), 1);
    assert_eq!(ids(&caller.read(2).await), ["0", "1"]);
}

/// Guards against a time limit that begins only when the turn of a request has come.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_counts_for_the_time_limit() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let second = get(1, "/unsafe/0").replace("\r\n\r\n", "\r\nx-deadline: 200\r\n\r\n");
    caller.send(&(get(0, "/safe/400") + &second)).await;
    let responses = caller.read(2).await;
    assert_eq!(responses[1].status, 503, "{}", caller.received);
    assert_eq!(runs(&endpoints), 1);
}

/// Guards against a request that runs behind a response that closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_behind_a_closing_response() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let first = get(0, "/safe/200").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    caller.send(&(first + &get(1, "/safe/0"))).await;
    assert_eq!(ids(&caller.read_to_end().await), ["0"]);
    assert_eq!(runs(&endpoints), 1);
}

/// Guards against a reset that takes the end of the last response away from a caller that has sent much
/// behind it.
#[tokio::test(flavor = "multi_thread")]
async fn a_closing_response_arrives_whole() {
    const LENGTH: usize = 500_000;
    let head = format!("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s\r\ncontent-length: {LENGTH}");
    let response: &str = Box::leak(format!("{head}\r\n\r\n{}", "a".repeat(LENGTH)).into());
    let (daemon, _endpoints) = daemon_with(&[Behavior::Sends(response, 1)]).await;
    let mut caller = Caller::connect(&daemon).await;
    let first = get(0, "/safe/0").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    caller.send(&(first + &gets(&["/safe/0"; 400]))).await;
    let mut received = Vec::new();
    let mut chunk = [0; 16 * 1024];
    while let Ok(read @ 1..) = caller.stream.read(&mut chunk).await {
        received.extend_from_slice(&chunk[..read]);
        sleep(Duration::from_millis(2)).await;
    }
    assert!(received.len() > LENGTH, "{} bytes", received.len());
}

/// Guards against requests that go on at endpoints after their caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_closes_cancels_all_its_requests() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(&gets(&["/safe/5000"; 4])).await;
    sleep(PASSED_ON).await;
    assert_eq!(runs(&endpoints), 4);
    drop(caller);
    sleep(Duration::from_millis(450)).await;
    assert_eq!(cancelled(&endpoints), 4);
}

/// Guards against a stop that closes the connection before all requests that were passed on have been
/// answered, and against a request that begins behind the last response.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_what_was_passed_on() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    caller
        .send(&gets(&["/safe/700", "/safe/300", "/safe/900"]))
        .await;
    sleep(PASSED_ON).await;
    daemon.stop();
    sleep(PASSED_ON).await;
    caller.send(&get(3, "/safe/0")).await;
    let responses = caller.read_to_end().await;
    assert_eq!(ids(&responses), ["0", "1", "2"], "{}", caller.received);
    let closes: Vec<bool> = responses.iter().map(|response| response.closes).collect();
    assert_eq!(closes, [false, false, true]);
    assert_eq!(runs(&endpoints), 3);
}

/// Guards against bytes that are no request and keep those before them from being answered.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_is_refused_in_its_turn() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    let requests = gets(&["/safe/300", "/safe/100"]) + "\u{1}no request\r\n\r\n";
    caller.send(&(requests + &get(3, "/safe/0"))).await;
    let responses = caller.read_to_end().await;
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    assert_eq!(statuses, [200, 200, 400]);
    assert_eq!(runs(&endpoints), 2);
}

/// Guards against a head that is not recognized because it arrives in pieces.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_in_pieces_runs_ahead() {
    let (daemon, endpoints) = slow_daemon().await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(&get(0, "/safe/800")).await;
    for piece in get(1, "/safe/0").as_bytes().chunks(15) {
        sleep(Duration::from_millis(20)).await;
        caller.send(std::str::from_utf8(piece).expect("text")).await;
    }
    sleep(PASSED_ON).await;
    assert_eq!(runs(&endpoints), 2);
    assert_eq!(ids(&caller.read(2).await), ["0", "1"]);
}

/// Guards against a connection that takes all room at endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_runs_a_bounded_number() {
    let (daemon, endpoints) = daemon_with(&vec![Behavior::SlowByPath; 16]).await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(&gets(&["/safe/400"; 64])).await;
    sleep(PASSED_ON).await;
    assert_eq!(runs(&endpoints), MOST_AT_ONCE);
    let responses = caller.read(64).await;
    let expected: Vec<String> = (0..64).map(|id| id.to_string()).collect();
    assert_eq!(ids(&responses), expected);
}
