//! A whole daemon between callers and endpoints, with a platform in memory.

use super::{
    fake_endpoint::{Answer, FakeEndpoint},
    fake_platform::FakePlatform,
};
use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    gateway::{
        budget::BudgetRule,
        runtime::{self, Options},
    },
    http_client::{HttpClient, HttpError},
    world::{VmName, ZoneName},
};
use http::{Request, Response};
use http_body_util::Full;
use standins::ports::free_addr;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread::{self, JoinHandle},
    time::Duration,
};
use test_case::test_case;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const PATIENCE: Duration = Duration::from_secs(10);

struct Daemon {
    callers: SocketAddr,
    status: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<eyre::Result<()>>,
    http: HttpClient,
}

impl Daemon {
    fn start(platform: &FakePlatform) -> Self {
        let options = Options {
            name: VmName("d".into()),
            zone: ZoneName("a".into()),
            caller_addr: free_addr(HOST),
            status_addr: free_addr(HOST),
            peer_addr: free_addr(HOST),
            ready_path: "/ready".into(),
            budget: BudgetRule {
                ratio: 0.2,
                extra: 50.0,
                window: Millis(10_000),
            },
            drain_time: Millis(2_000),
            cores: 1.0,
            memory_bytes: 100_000_000,
            stop_limit: Duration::from_secs(4),
        };
        let (stop, stopped) = watch::channel(false);
        let (callers, status) = (options.caller_addr, options.status_addr);
        let platform = platform.clone();
        let thread = thread::spawn(move || runtime::run(&options, platform, stopped));
        Self {
            callers,
            status,
            stop,
            thread,
            http: HttpClient::new(),
        }
    }

    /// Waits until the daemon answers checks; it does not have to be ready.
    async fn wait_listening(&self) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            assert!(!self.thread.is_finished(), "the daemon has ended");
            if self.get(self.status, "/ready").await.is_ok() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon does not listen");
    }

    async fn wait_ready(&self) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let ready = self.get(self.status, "/ready").await;
            let metrics = self.get(self.status, "/metrics").await;
            // Repeats are scarce until the number of daemons is known.
            let knows_daemons = metrics.is_ok_and(|answer| {
                String::from_utf8_lossy(answer.body()).contains("fireflygauge_daemons 1\n")
            });
            if knows_daemons && ready.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon is not ready");
    }

    async fn get(&self, addr: SocketAddr, path: &str) -> Result<Response<Bytes>, HttpError> {
        let req = Request::get(format!("http://{addr}{path}"))
            .header("host", "h")
            .header("x-id", "id-1")
            .header("x-key", "77")
            .header("x-deadline", "1400")
            .body(Full::default())
            .expect("a valid request");
        self.http.request(req, PATIENCE).await
    }

    async fn ask(&self, path: &str) -> Response<Bytes> {
        self.get(self.callers, path).await.expect("an answer")
    }
}

async fn daemon_with(answers: &[Answer]) -> (Daemon, Vec<FakeEndpoint>) {
    let platform = FakePlatform::new();
    let mut endpoints = Vec::new();
    for (i, answer) in answers.iter().enumerate() {
        let endpoint = FakeEndpoint::start(answer.clone()).await;
        platform.register(&format!("e{i}"), "plain", endpoint.addr);
        endpoints.push(endpoint);
    }
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    (daemon, endpoints)
}

fn total_runs(endpoints: &[FakeEndpoint]) -> usize {
    endpoints.iter().map(FakeEndpoint::runs).sum()
}

/// Guards against a non-idempotent request that runs twice, and against a refusal that says "not
/// run" for one that ran.
#[test_case(Answer::Ok, 200, 1; "answered")]
#[test_case(Answer::Lost, 502, 1; "connection lost")]
#[test_case(Answer::Half, 502, 1; "half an answer")]
#[test_case(Answer::Unsigned, 502, 1; "answer without signature")]
#[test_case(Answer::False503, 502, 1; "untrue refusal of an endpoint")]
#[test_case(Answer::Shed, 503, 0; "refused by all")]
#[test_case(Answer::Slow(Duration::from_secs(5)), 504, 1; "no answer in time")]
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_run_once(answer: Answer, status: u16, runs: usize) {
    let (daemon, endpoints) = daemon_with(&[answer.clone(), answer.clone(), answer]).await;
    let got = daemon.ask("/unsafe/1").await;
    assert_eq!(got.status(), status);
    assert_eq!(total_runs(&endpoints), runs);
    assert_eq!(got.headers().contains_key("x-signature"), status == 200);
}

/// Guards against an idempotent request that fails although another endpoint would answer.
#[test_case(Answer::Lost; "connection lost")]
#[test_case(Answer::Half; "half an answer")]
#[test_case(Answer::Unsigned; "answer without signature")]
#[test_case(Answer::Shed; "refused")]
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_sent_again(bad: Answer) {
    let (daemon, _endpoints) = daemon_with(&[bad, Answer::Ok]).await;
    for _ in 0..8 {
        let got = daemon.ask("/safe/1").await;
        assert_eq!((got.status().as_u16(), &**got.body()), (200, &b"hello"[..]));
    }
}

/// Guards against an idempotent request that is sent to more endpoints than its route allows.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_are_bounded() {
    let answers = vec![Answer::Lost; 6];
    let (daemon, endpoints) = daemon_with(&answers).await;
    assert_eq!(daemon.ask("/safe/1").await.status(), 502);
    assert!(total_runs(&endpoints) <= 3);
}

/// Guards against a second answer that is passed on as the answer to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_reaches_nobody() {
    let (daemon, _endpoints) = daemon_with(&[Answer::Twice, Answer::Twice]).await;
    for i in 0..20 {
        let req = Request::get(format!("http://{}/safe/1", daemon.callers))
            .header("host", "h")
            .header("x-id", format!("id-{i}"))
            .body(Full::default())
            .expect("a valid request");
        let got = daemon.http.request(req, PATIENCE).await.expect("an answer");
        if got.status() == 200 {
            assert_eq!(got.headers()["x-id"], format!("id-{i}"));
        }
    }
}

/// Guards against refusals that do not tell when to come back, and are not given at once.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_prompt_and_say_when_to_come_back() {
    let (daemon, _endpoints) = daemon_with(&[]).await;
    let started = Instant::now();
    let got = daemon.ask("/safe/1").await;
    assert_eq!(got.status(), 503);
    assert!(started.elapsed() < Duration::from_millis(700));
    let after = got.headers()["retry-after"].to_str().expect("text");
    assert!(after.parse::<f64>().expect("a number") <= 1.4 / 3.0);
    assert_eq!(daemon.ask("/unknown/").await.status(), 404);
}

/// Guards against a daemon that answers 404 before it knows a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_everything_is_refused() {
    let platform = FakePlatform::new();
    let daemon = Daemon::start(&platform);
    daemon.wait_listening().await;
    assert_eq!(daemon.ask("/safe/1").await.status(), 503);
    let ready = daemon
        .get(daemon.status, "/ready")
        .await
        .expect("an answer");
    assert_eq!(ready.status(), 503);
    platform.declare(1);
    daemon.wait_ready().await;
}

/// Guards against keys that are never assigned, or requests that do not find their owner.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_reach_the_owner() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Answer::Ok).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let end = Instant::now() + PATIENCE;
    while daemon.ask("/keyed/1").await.status() != 200 {
        assert!(Instant::now() < end, "no owner");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against requests that keep arriving at an address that belongs to another endpoint now,
/// which used up the retry budget of that endpoint's service.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_of_another_endpoint_is_left_alone() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Answer::Other).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let end = Instant::now() + PATIENCE;
    while endpoint.arrivals() == 0 {
        assert!(Instant::now() < end, "no owner");
        daemon.ask("/keyed/1").await;
    }
    for _ in 0..5 {
        assert_eq!(daemon.ask("/keyed/1").await.status(), 503);
    }
    assert!(endpoint.arrivals() <= 2, "{} arrivals", endpoint.arrivals());
}

/// Guards against endpoints that stay unknown after a store failure: the feed that finds out whether
/// the store serves again must not wait until something is declared.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_are_known_soon_after_a_store_failure() {
    let platform = FakePlatform::new();
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    platform.set_failing(true);
    sleep(Duration::from_millis(1_500)).await;
    let endpoint = FakeEndpoint::start(Answer::Ok).await;
    platform.register("p", "plain", endpoint.addr);
    platform.set_failing(false);
    let end = Instant::now() + Duration::from_secs(3);
    while daemon.ask("/safe/1").await.status() != 200 {
        assert!(Instant::now() < end, "the endpoint is not used");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a daemon that no longer learns of leaving endpoints and configurations while it
/// serves the last requests before its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_follows_the_store() {
    let platform = FakePlatform::new();
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    daemon.stop.send_replace(true);
    sleep(Duration::from_millis(300)).await;
    platform.declare(2);
    let end = Instant::now() + Duration::from_millis(1_500);
    loop {
        let metrics = daemon.get(daemon.status, "/metrics").await;
        let metrics = metrics.expect("it serves");
        if String::from_utf8_lossy(metrics.body()).contains("fireflygauge_config_version 2\n") {
            break;
        }
        assert!(Instant::now() < end, "it knows no new configuration");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a stop that cuts off requests in flight, and against one that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_finishes_requests_in_flight() {
    let (daemon, _endpoints) = daemon_with(&[Answer::Slow(Duration::from_millis(800))]).await;
    let asked = daemon.http.clone();
    let uri = format!("http://{}/unsafe/1", daemon.callers);
    let in_flight = tokio::spawn(async move {
        let req = Request::get(uri)
            .header("host", "h")
            .header("x-id", "id-9")
            .body(Full::default())
            .expect("a valid request");
        asked.request(req, PATIENCE).await
    });
    sleep(Duration::from_millis(200)).await;
    daemon.stop.send_replace(true);
    sleep(Duration::from_millis(100)).await;
    let ready = daemon.get(daemon.status, "/ready").await;
    assert!(ready.is_err() || ready.is_ok_and(|a| a.status() == 503));
    let got = in_flight.await.expect("no panic").expect("an answer");
    assert_eq!(got.status(), 200);
    assert_eq!(got.headers()["connection"], "close");
    let end = Instant::now() + Duration::from_secs(6);
    while !daemon.thread.is_finished() {
        assert!(Instant::now() < end, "the daemon does not stop");
        sleep(Duration::from_millis(50)).await;
    }
}
