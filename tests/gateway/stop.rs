//! Guards against a planned stop under load that cuts off requests which were accepted, or that
//! states "not run" for one that ran.

use super::{
    daemon::{Daemon, daemon_with, daemon_with_stop_limit},
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use fireflygauge::http_client::{HttpClient, HttpError};
use http::Request;
use http_body_util::Full;
use std::{net::SocketAddr, time::Duration};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Processing time of the endpoints.
const PROCESSING: Duration = Duration::from_millis(100);
/// Callers that send one request after the other. Each of the endpoints has four slots, so this is
/// more than they can serve.
const CALLERS: usize = 18;
/// Time after which the daemon no longer accepts connections, with a margin.
const STOP_TIME: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Outcomes of requests, counted.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    served: usize,
    refused: usize,
    unknown: usize,
    cut_off: usize,
}

/// Sends requests until the daemon accepts no more connections.
async fn call_until_stopped(callers: SocketAddr, caller: usize) -> Outcomes {
    let http = HttpClient::new();
    let mut outcomes = Outcomes::default();
    for i in 0.. {
        let req = Request::get(format!("http://{callers}/unsafe/1"))
            .header("host", "h")
            .header("x-id", format!("{caller}-{i}"))
            .header("x-deadline", "1400")
            .body(Full::default())
            .expect("a valid request");
        match http.request(req, TIMEOUT).await {
            Ok(response) if response.status() == 200 => outcomes.served += 1,
            Ok(response) if response.status() == 503 => outcomes.refused += 1,
            Ok(_) => outcomes.unknown += 1,
            Err(HttpError::Refused | HttpError::Connect(_)) => break,
            Err(HttpError::Incomplete(_) | HttpError::TooLarge(_) | HttpError::Timeout(_)) => {
                outcomes.cut_off += 1;
            }
        }
    }
    outcomes
}

/// Counts each request of a stop under load, with a second stop signal.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_answers_all_requests() {
    let (daemon, endpoints) = daemon_with(&vec![Behavior::Slow(PROCESSING); 3]).await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_until_stopped(daemon.callers, caller));
    }
    sleep(Duration::from_millis(700)).await;
    daemon.stop();
    sleep(Duration::from_millis(300)).await;
    daemon.stop();
    let mut total = Outcomes::default();
    let ended = timeout(STOP_TIME + TIMEOUT, async {
        while let Some(outcomes) = callers.join_next().await {
            let outcomes = outcomes.expect("no panic");
            total.served += outcomes.served;
            total.refused += outcomes.refused;
            total.unknown += outcomes.unknown;
            total.cut_off += outcomes.cut_off;
        }
    });
    ended.await.expect("the daemon stops accepting connections");
    let runs: usize = endpoints.iter().map(FakeEndpoint::runs).sum();
    assert!(total.served > 0, "{total:?}");
    assert_eq!(total.cut_off, 0, "{total:?}");
    assert!(
        runs <= total.served + total.unknown,
        "{runs} runs, {total:?}"
    );
}

/// Guards against a request that is cut off because it was only half read when the stop began.
#[test_case("GET /unsafe/1 HT", "TP/1.1\r\nhost: h\r\nx-id: 1\r\nconnection: close\r\n\r\n"; "half a request line")]
#[test_case("GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-", "id: 1\r\nconnection: close\r\n\r\n"; "half a head")]
#[test_case("POST /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nconnection: close\r\ncontent-length: 4\r\n\r\nab", "cd"; "half a body")]
#[tokio::test(flavor = "multi_thread")]
async fn a_half_read_request_is_answered(first: &str, rest: &str) {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Ok]).await;
    let mut stream = connect(&daemon).await;
    stream
        .write_all(first.as_bytes())
        .await
        .expect("the daemon reads");
    sleep(Duration::from_millis(100)).await;
    daemon.stop();
    sleep(Duration::from_millis(600)).await;
    stream
        .write_all(rest.as_bytes())
        .await
        .expect("the daemon reads on");
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a connection that was accepted last and is closed before its first request is
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_of_a_late_connection_is_answered() {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Ok]).await;
    daemon.stop();
    let mut stream = connect(&daemon).await;
    // Connects again until the daemon no longer listens.
    while let Ok(later) = TcpStream::connect(daemon.callers).await {
        stream = later;
        sleep(Duration::from_millis(20)).await;
    }
    let request = b"GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-deadline: 1000\r\n\r\n";
    stream.write_all(request).await.expect("the daemon reads");
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a kept connection that is closed while its next request is on the way: each
/// response during the stop tells the caller that it is the last one.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_request_of_a_kept_connection_is_answered() {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Ok]).await;
    let mut stream = connect(&daemon).await;
    let request = b"GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n";
    stream.write_all(request).await.expect("the daemon reads");
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).await.expect("a response");
    let answer = String::from_utf8_lossy(&buf[..n]).into_owned();
    assert!(!answer.contains("connection: close"), "{answer}");
    daemon.stop();
    sleep(Duration::from_millis(500)).await;
    stream.write_all(request).await.expect("the daemon reads");
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against a request on a kept connection that begins so late in a stop that the end of the
/// process cuts it off, and against one that is refused although it will have ended by then.
#[test_case(1_300, "", "503"; "may outlast the process")]
#[test_case(300, "x-deadline: 900\r\n", "200"; "ends before the process in any case")]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_is_answered(processing_ms: u64, deadline: &str, status: &str) {
    let processing = Duration::from_millis(processing_ms);
    let (daemon, endpoints) = daemon_with(&[Behavior::Slow(processing)]).await;
    let mut stream = connect(&daemon).await;
    let request = format!("GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n{deadline}\r\n");
    let request = request.as_bytes();
    stream.write_all(request).await.expect("the daemon reads");
    let n = stream.read(&mut [0; 4096]).await.expect("a response");
    assert!(n > 0);
    daemon.stop();
    // All requests begin for 2 s, and idle connections are open for 3.1 s.
    sleep(Duration::from_millis(2_800)).await;
    stream.write_all(request).await.expect("the daemon reads");
    let sent_at = Instant::now();
    let answer = read_answer(&mut stream).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    if status == "503" {
        assert!(sent_at.elapsed() < Duration::from_millis(300), "at once");
        assert!(answer.contains("retry-after: 0.001"), "{answer}");
        assert_eq!(endpoints[0].runs(), 1);
    }
}

/// Guards against a request that goes on waiting for a slot of an endpoint during a stop, although
/// it may not end before the process does.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_is_refused_once_it_may_outlast_the_process() {
    let (platform, limit) = (FakePlatform::new(), Duration::from_millis(1_500));
    let behavior = Behavior::Slow(Duration::from_millis(1_200));
    let (daemon, _endpoints) = daemon_with_stop_limit(&platform, &[behavior], limit).await;
    daemon.stop();
    let mut streams = Vec::new();
    for id in 0..5 {
        // The others take all slots. This one may wait until 1 s; all requests begin until 0.75 s.
        if id == 4 {
            sleep(Duration::from_millis(400)).await;
        }
        let mut stream = connect(&daemon).await;
        let request = format!("GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\n\r\n");
        let written = stream.write_all(request.as_bytes()).await;
        written.expect("the daemon reads");
        streams.push(stream);
    }
    let answer = read_answer(&mut streams[4]).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.ends_with("stopping\n"), "{answer}");
}

/// Guards against callers that get no response at all to a request at which an endpoint is at work
/// when the time for a stop ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_flight_at_the_end_is_answered() {
    let (platform, limit) = (FakePlatform::new(), Duration::from_secs(1));
    let behavior = Behavior::Slow(Duration::from_millis(1_400));
    let (daemon, _endpoints) = daemon_with_stop_limit(&platform, &[behavior], limit).await;
    let mut stream = connect(&daemon).await;
    let request = b"GET /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n";
    stream.write_all(request).await.expect("the daemon reads");
    sleep(Duration::from_millis(50)).await;
    daemon.stop();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
}

/// Guards against a caller that gets no response at all because its body is not complete when the time
/// for a stop ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_request_is_refused_at_the_end() {
    let (platform, limit) = (FakePlatform::new(), Duration::from_secs(1));
    let (daemon, endpoints) = daemon_with_stop_limit(&platform, &[Behavior::Ok], limit).await;
    let mut stream = connect(&daemon).await;
    let request = b"POST /unsafe/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 4\r\n\r\nab";
    stream.write_all(request).await.expect("the daemon reads");
    sleep(Duration::from_millis(50)).await;
    daemon.stop();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(endpoints[0].runs(), 0);
}

async fn connect(daemon: &Daemon) -> TcpStream {
    TcpStream::connect(daemon.callers)
        .await
        .expect("the daemon listens")
}

/// Reads until the daemon closes the connection.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    timeout(TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .expect("the daemon closes the connection")
        .expect("no reset");
    String::from_utf8_lossy(&answer).into_owned()
}
