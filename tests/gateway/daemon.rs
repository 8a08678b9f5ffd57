//! Guards against failures of a whole daemon between callers and endpoints: requests that run twice
//! or get a wrong response, lost updates of the store, and a stop that cuts off requests. The
//! platform is in memory.

use super::{
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    gateway::{
        budget::BudgetRule,
        caller_connections::CallerBounds,
        rate_limit::ColdRule,
        runtime::{self, Options},
    },
    http_client::{HttpClient, HttpError},
    world::{VmName, ZoneName},
};
use http::{Request, Response};
use http_body_util::Full;
use standins::{ports::free_addr, processor_wait::ProcessorWait, target::history::boottime_us};
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
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a stop.
const STOP_LIMIT: Duration = Duration::from_secs(4);

/// A daemon under test, on loopback.
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check, metrics and the status report.
    pub status: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<eyre::Result<()>>,
    http: HttpClient,
}

impl Daemon {
    /// Starts a daemon on `platform`.
    pub fn start(platform: &FakePlatform) -> Self {
        Self::start_as("d", platform)
    }

    /// Starts a daemon under this name.
    pub fn start_as(name: &str, platform: &FakePlatform) -> Self {
        Self::start_with(name, platform, STOP_LIMIT)
    }

    /// Starts a daemon under this name that ends at most `stop_limit` after a stop signal.
    pub fn start_with(name: &str, platform: &FakePlatform, stop_limit: Duration) -> Self {
        let options = Options {
            name: VmName(name.into()),
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
            min_lapse_outage: Millis(1_500),
            evacuation_time: Millis(3_000),
            cold_rule: Some(ColdRule {
                overage: 1.5,
                slack: 8.0,
            }),
            cores: 1.0,
            memory_bytes: 100_000_000,
            max_fds: 4_096,
            caller_bounds: CallerBounds::default(),
            stop_limit,
        };
        let (stop, stopped) = watch::channel(false);
        let (callers, status) = (options.caller_addr, options.status_addr);
        let peers = options.peer_addr;
        let platform = platform.clone();
        let thread = thread::spawn(move || runtime::run(&options, platform, stopped));
        Self {
            name: name.into(),
            callers,
            status,
            peers,
            stop,
            thread,
            http: HttpClient::new(),
        }
    }

    /// Waits until the daemon responds to readiness checks; it does not have to be ready.
    pub async fn wait_listening(&self) {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            assert!(!self.thread.is_finished(), "the daemon has ended");
            if self.get(self.status, "/ready").await.is_ok() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon does not listen");
    }

    /// Waits until the daemon is ready and knows the number of daemons.
    pub async fn wait_ready(&self) {
        self.wait_ready_among(1).await;
    }

    /// Waits until the daemon is ready and knows of this number of daemons.
    pub async fn wait_ready_among(&self, daemons: usize) {
        let known = format!("fireflygauge_daemons {daemons}\n");
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            let ready = self.get(self.status, "/ready").await;
            let metrics = self.get(self.status, "/metrics").await;
            // The retry budget is small until the number of daemons is known.
            let knows_daemons = metrics
                .is_ok_and(|response| String::from_utf8_lossy(response.body()).contains(&known));
            if knows_daemons && ready.is_ok_and(|response| response.status() == 200) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon is not ready");
    }

    /// Whether the daemon has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Sends the stop signal.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Sends a request with a time limit of 1.4 s.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<Response<Bytes>, HttpError> {
        self.get_as("id-1", addr, path).await
    }

    async fn get_as(
        &self,
        id: &str,
        addr: SocketAddr,
        path: &str,
    ) -> Result<Response<Bytes>, HttpError> {
        self.http.request(request(id, addr, path), TIMEOUT).await
    }

    pub async fn send(&self, path: &str) -> Response<Bytes> {
        self.get(self.callers, path).await.expect("a response")
    }

    /// Sends a request with this id.
    pub async fn send_as(&self, id: &str, path: &str) -> Response<Bytes> {
        let response = self.get_as(id, self.callers, path).await;
        response.expect("a response")
    }

    /// Sends a request that tells the endpoint the name of the daemon.
    pub async fn send_via(&self, path: &str) -> Response<Bytes> {
        let mut req = request("id-1", self.callers, path);
        let name = self.name.parse().expect("a valid header value");
        req.headers_mut().insert("x-via", name);
        self.http.request(req, TIMEOUT).await.expect("a response")
    }
}

fn request(id: &str, addr: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    Request::get(format!("http://{addr}{path}"))
        .header("host", "h")
        .header("x-id", id)
        .header("x-key", "77")
        .header("x-deadline", "1400")
        .body(Full::default())
        .expect("a valid request")
}

/// A daemon with endpoints of the service without keys, named `e0` and so on.
pub async fn daemon_with(behaviors: &[Behavior]) -> (Daemon, Vec<FakeEndpoint>) {
    let (daemon, _, endpoints) = daemon_and_platform_with(behaviors).await;
    (daemon, endpoints)
}

/// The same, with the platform on which they are registered.
pub async fn daemon_and_platform_with(
    behaviors: &[Behavior],
) -> (Daemon, FakePlatform, Vec<FakeEndpoint>) {
    let platform = FakePlatform::new();
    let (daemon, endpoints) = daemon_on(&platform, behaviors).await;
    (daemon, platform, endpoints)
}

/// Starts a daemon with endpoints of the plain service on `platform`.
pub async fn daemon_on(platform: &FakePlatform, all: &[Behavior]) -> (Daemon, Vec<FakeEndpoint>) {
    daemon_with_stop_limit(platform, all, STOP_LIMIT).await
}

/// The same, with this time limit of a stop.
pub async fn daemon_with_stop_limit(
    platform: &FakePlatform,
    all: &[Behavior],
    stop_limit: Duration,
) -> (Daemon, Vec<FakeEndpoint>) {
    let mut endpoints = Vec::new();
    for (i, behavior) in all.iter().enumerate() {
        let endpoint = FakeEndpoint::start(behavior.clone()).await;
        platform.register(&format!("e{i}"), "plain", endpoint.addr);
        endpoints.push(endpoint);
    }
    platform.declare(1);
    let daemon = Daemon::start_with("d", platform, stop_limit);
    daemon.wait_ready().await;
    (daemon, endpoints)
}

fn total_runs(endpoints: &[FakeEndpoint]) -> usize {
    endpoints.iter().map(FakeEndpoint::runs).sum()
}

/// Guards against a non-idempotent request that runs twice, and against a rejection that states "not
/// run" for one that ran.
#[test_case(Behavior::Ok, 200, 1; "successful response")]
#[test_case(Behavior::Lost, 502, 1; "connection lost")]
#[test_case(Behavior::Truncated, 502, 1; "truncated response")]
#[test_case(Behavior::Unsigned, 502, 1; "response without signature")]
#[test_case(Behavior::False503, 502, 1; "untrue rejection by the endpoint")]
#[test_case(Behavior::Shed, 503, 0; "shed by all")]
#[test_case(Behavior::Slow(Duration::from_secs(5)), 504, 1; "no response in time")]
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_run_once(behavior: Behavior, status: u16, runs: usize) {
    let (daemon, endpoints) = daemon_with(&[behavior.clone(), behavior.clone(), behavior]).await;
    let response = daemon.send("/unsafe/1").await;
    assert_eq!(response.status(), status);
    assert_eq!(total_runs(&endpoints), runs);
    assert_eq!(
        response.headers().contains_key("x-signature"),
        status == 200
    );
}

/// Guards against an idempotent request that fails although another endpoint would serve it.
#[test_case(Behavior::Lost; "connection lost")]
#[test_case(Behavior::Truncated; "truncated response")]
#[test_case(Behavior::Unsigned; "response without signature")]
#[test_case(Behavior::Shed; "shed")]
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried(bad: Behavior) {
    let (daemon, _endpoints) = daemon_with(&[bad, Behavior::Ok]).await;
    for _ in 0..8 {
        let response = daemon.send("/safe/1").await;
        assert_eq!(
            (response.status().as_u16(), &**response.body()),
            (200, &b"hello"[..])
        );
    }
}

/// Guards against an idempotent request that is sent more often than its route allows.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_are_bounded() {
    let behaviors = vec![Behavior::Lost; 6];
    let (daemon, endpoints) = daemon_with(&behaviors).await;
    assert_eq!(daemon.send("/safe/1").await.status(), 502);
    assert!(total_runs(&endpoints) <= 3);
}

/// Guards against a duplicate response that is forwarded as the response to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_response_reaches_no_caller() {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Twice, Behavior::Twice]).await;
    for i in 0..20 {
        let req = Request::get(format!("http://{}/safe/1", daemon.callers))
            .header("host", "h")
            .header("x-id", format!("id-{i}"))
            .body(Full::default())
            .expect("a valid request");
        let response = daemon.http.request(req, TIMEOUT).await.expect("a response");
        if response.status() == 200 {
            assert_eq!(response.headers()["x-id"], format!("id-{i}"));
        }
    }
}

/// Guards against a late copy of a rejection without an id that is taken for the response to the
/// next request on the connection: the caller would be told that a request which ran did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_rejection_proves_nothing() {
    let (daemon, endpoints) = daemon_with(&[Behavior::RepeatsRejection]).await;
    // Each attempt is the first one on a connection, and is rejected.
    let response = daemon.send("/unsafe/1").await;
    assert_eq!((response.status().as_u16(), endpoints[0].runs()), (503, 0));
    // The next request that is sent uses one of these connections. Sends are paced after rejections.
    let (connections, arrivals) = (endpoints[0].connections(), endpoints[0].arrivals());
    let end = Instant::now() + TIMEOUT;
    let response = loop {
        let response = daemon.send_as("id-2", "/unsafe/1").await;
        if endpoints[0].arrivals() > arrivals {
            break response;
        }
        assert_eq!((response.status().as_u16(), endpoints[0].runs()), (503, 0));
        assert!(Instant::now() < end, "no request is sent");
    };
    assert_eq!((response.status().as_u16(), endpoints[0].runs()), (502, 1));
    assert_eq!(endpoints[0].connections(), connections);
}

/// Guards against rejections without `Retry-After`, and against rejections that are delayed.
#[tokio::test(flavor = "multi_thread")]
async fn rejections_are_prompt_and_have_retry_after() {
    let (daemon, _endpoints) = daemon_with(&[]).await;
    let waits = ProcessorWait::start([]);
    let started_us = boottime_us();
    let response = daemon.send("/safe/1").await;
    let ended_us = boottime_us();
    assert_eq!(response.status(), 503);
    let took = Duration::from_micros(ended_us - started_us);
    let waited = waits.between(started_us, ended_us);
    assert!(
        took < Duration::from_millis(700) + waited,
        "{took:?}, waits for a processor {waited:?}"
    );
    let after = response.headers()["retry-after"].to_str().expect("text");
    assert!(after.parse::<f64>().expect("a number") <= 1.4 / 3.0);
    assert_eq!(daemon.send("/unknown/").await.status(), 404);
}

/// Guards against a daemon that responds with 404 before it has a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_without_a_configuration() {
    let platform = FakePlatform::new();
    let daemon = Daemon::start(&platform);
    daemon.wait_listening().await;
    assert_eq!(daemon.send("/safe/1").await.status(), 503);
    let ready = daemon
        .get(daemon.status, "/ready")
        .await
        .expect("a response");
    assert_eq!(ready.status(), 503);
    platform.declare(1);
    daemon.wait_ready().await;
}

/// Guards against keys that are never assigned, and against requests that do not reach the owner of
/// their key.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_reach_the_owner() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let end = Instant::now() + TIMEOUT;
    while daemon.send("/keyed/1").await.status() != 200 {
        assert!(Instant::now() < end, "no owner");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against requests that keep arriving at an address that now belongs to another endpoint,
/// which exhausted the retry budget of that endpoint's service.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_of_another_endpoint_gets_no_requests() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Behavior::OtherEndpoint).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let end = Instant::now() + TIMEOUT;
    while endpoint.arrivals() == 0 {
        assert!(Instant::now() < end, "no owner");
        daemon.send("/keyed/1").await;
    }
    for _ in 0..5 {
        assert_eq!(daemon.send("/keyed/1").await.status(), 503);
    }
    assert!(endpoint.arrivals() <= 2, "{} arrivals", endpoint.arrivals());
}

/// Guards against endpoints that stay unknown after a store failure: the watch that detects whether
/// the store is available again must not wait until something is declared.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_are_known_shortly_after_a_store_failure() {
    let platform = FakePlatform::new();
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    platform.set_failing(true);
    sleep(Duration::from_millis(1_500)).await;
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    platform.register("p", "plain", endpoint.addr);
    platform.set_failing(false);
    let end = Instant::now() + Duration::from_secs(3);
    while daemon.send("/safe/1").await.status() != 200 {
        assert!(Instant::now() < end, "the endpoint is not used");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a daemon that stops watching for leaving endpoints and new configurations while
/// it serves its last requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_watches_the_store() {
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
        let metrics = metrics.expect("a response");
        if String::from_utf8_lossy(metrics.body()).contains("fireflygauge_config_version 2\n") {
            break;
        }
        assert!(
            Instant::now() < end,
            "the new configuration is not in force"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a stop that cuts off requests in flight, and against a stop that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_finishes_requests_in_flight() {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Slow(Duration::from_millis(800))]).await;
    let http = daemon.http.clone();
    let uri = format!("http://{}/unsafe/1", daemon.callers);
    let in_flight = tokio::spawn(async move {
        let req = Request::get(uri)
            .header("host", "h")
            .header("x-id", "id-9")
            .body(Full::default())
            .expect("a valid request");
        http.request(req, TIMEOUT).await
    });
    sleep(Duration::from_millis(200)).await;
    daemon.stop.send_replace(true);
    sleep(Duration::from_millis(100)).await;
    let ready = daemon.get(daemon.status, "/ready").await;
    assert!(ready.is_err() || ready.is_ok_and(|a| a.status() == 503));
    let response = in_flight.await.expect("no panic").expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["connection"], "close");
    let end = Instant::now() + Duration::from_secs(6);
    while !daemon.thread.is_finished() {
        assert!(Instant::now() < end, "the daemon does not stop");
        sleep(Duration::from_millis(50)).await;
    }
}
