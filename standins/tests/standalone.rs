//! The stand-ins by themselves.

use bytes::Bytes;
use fireflygauge::{
    http_client::HttpClient,
    partition::Partition,
    store::{
        api::Transaction,
        client::{CommitOutcome, StoreClient, StoreError},
    },
    target_api::{GRANTS_PATH, GrantReply, GrantRequest, NOT_RUN},
    world::{GroupId, Incarnation},
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use standins::{
    platform::{Availability, Faults, Platform},
    proxy::{Flow, LinkFaults, ProxyLink},
    target::{StandinTarget, TargetOptions},
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(5);

async fn platform(faults: Faults) -> (Platform, StoreClient) {
    let platform = Platform::start(ANY, faults).await.expect("a free port");
    let client = StoreClient::new(platform.addr(), Duration::from_millis(200));
    (platform, client)
}

fn write(row: &str, version: u64, value: &str) -> Transaction {
    Transaction::default().replace(row, version, value.into())
}

/// Guards against a store whose conditions do not exclude the second of two writers.
#[tokio::test]
async fn conditional_write_excludes_second_writer() {
    let (_platform, store) = platform(Faults::default()).await;
    let first = store.commit(&write("a", 0, "1")).await;
    assert_eq!(first, CommitOutcome::Committed(vec![("a".into(), 1)]));
    let second = store.commit(&write("a", 0, "2")).await;
    assert!(matches!(second, CommitOutcome::Conflict(rows) if rows[0].version == 1));
    let both = store.commit(&write("a", 1, "3").require("b", 4)).await;
    assert!(matches!(both, CommitOutcome::Conflict(rows) if &*rows[0].name == "b"));
    assert_eq!(&*store.read_row("a").await.unwrap().unwrap().value, "1");
}

/// Guards against a lost answer that also loses the write, which would prove nothing.
#[tokio::test]
async fn lost_answer_leaves_the_write_in_effect() {
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    let (_platform, store) = platform(faults).await;
    let lost = store.commit(&write("a", 0, "1")).await;
    assert_eq!(lost, CommitOutcome::Unknown);
    assert_eq!(store.read_row("a").await.unwrap().unwrap().version, 1);
}

/// Guards against injected outages and stale reads that do not happen.
#[tokio::test]
async fn outage_and_stale_reads_are_seen() {
    let (platform, store) = platform(Faults::default()).await;
    store.commit(&write("a", 0, "1")).await;
    platform.set_faults(Faults {
        stale_ms: 30_000,
        ..Faults::default()
    });
    assert_eq!(store.read_row("a").await, Ok(None));
    platform.set_faults(Faults::store(Availability::Refuse));
    let refused = store.commit(&write("a", 1, "2")).await;
    assert_eq!(refused, CommitOutcome::Unavailable);
    platform.set_faults(Faults::store(Availability::Hang));
    let hung = store.commit(&write("a", 1, "2")).await;
    assert_eq!(hung, CommitOutcome::Unknown);
    let read = store.read_row("a").await;
    assert!(matches!(read, Err(StoreError::Unavailable(_))));
}

async fn grant(addr: SocketAddr, grant: &GrantRequest) -> GrantReply {
    let body = serde_json::to_vec(grant).unwrap();
    let (_, body) = HttpClient::new()
        .send(Method::POST, addr, GRANTS_PATH, body, TIMEOUT)
        .await
        .unwrap();
    serde_json::from_slice(&body).unwrap()
}

fn first_contact() -> GrantRequest {
    GrantRequest {
        group: GroupId {
            service: "rounds".into(),
            index: 0,
        },
        controller_epoch: 1,
        sequence: 1,
        incarnation: None,
        echo: None,
        lease_ms: 0,
        set_id: 0,
        partitions: None,
    }
}

/// Sends a request for partition 3 under ownership epoch 7.
async fn request(addr: SocketAddr) -> Response<Incoming> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let req = Request::get(format!("http://{addr}/rounds/k1/x?token=t1"))
        .header("x-partition", "3")
        .header("x-ownership-epoch", "7")
        .header("x-request-id", "r1")
        .body(Empty::new())
        .unwrap();
    client.request(req).await.unwrap()
}

/// Guards against a target that runs requests without a lease, or refuses them under one.
#[tokio::test]
async fn target_runs_requests_only_under_its_lease() {
    let options = TargetOptions::new("t", "a", "rounds", true);
    let target = StandinTarget::start(options).await.unwrap();
    let refused = request(target.addr()).await;
    assert_eq!(refused.status(), StatusCode::MISDIRECTED_REQUEST);
    assert_eq!(refused.headers()[NOT_RUN], "not-owner");
    let contact = grant(target.addr(), &first_contact()).await;
    let lease = GrantRequest {
        sequence: 2,
        incarnation: Some(contact.incarnation),
        echo: Some(contact.reading),
        lease_ms: 60_000,
        set_id: 1,
        partitions: Some(vec![(Partition(3), 7)]),
        ..first_contact()
    };
    assert!(grant(target.addr(), &lease).await.accepted);
    assert_eq!(request(target.addr()).await.status(), StatusCode::OK);
    let executions = target.executions();
    assert_eq!(executions.len(), 1);
    let run = &executions[0];
    assert!(run.effect && &*run.key == "k1" && &*run.token == "t1");
    let other_run = GrantRequest {
        sequence: 3,
        incarnation: Some(Incarnation(contact.incarnation.0.wrapping_add(1))),
        ..lease
    };
    assert!(!grant(target.addr(), &other_run).await.accepted);
}

/// Guards against link faults that let bytes through, or that outlast being lifted.
#[tokio::test]
async fn link_faults_stop_and_resume_traffic() {
    let (platform, store) = platform(Faults::default()).await;
    let link = ProxyLink::start(ANY, platform.addr()).await.unwrap();
    let through = StoreClient::new(link.addr(), Duration::from_millis(200));
    through.commit(&write("a", 0, "1")).await;
    for flow in [Flow::Cut, Flow::Stall, Flow::ToClient] {
        link.set_flow(flow);
        let outcome = through.commit(&write("b", 0, "1")).await;
        assert_eq!(outcome, CommitOutcome::Unknown, "{flow:?}");
        assert_eq!(store.read_row("b").await, Ok(None), "{flow:?}");
        link.set_flow(Flow::Cut);
    }
    link.set_flow(Flow::ToUpstream);
    let unanswered = through.commit(&write("c", 0, "1")).await;
    assert_eq!(unanswered, CommitOutcome::Unknown);
    assert!(store.read_row("c").await.unwrap().is_some());
    link.set(LinkFaults {
        cut_after_sent: Some(20),
        ..LinkFaults::default()
    });
    let cut_off = through.commit(&write("d", 0, "1")).await;
    assert_eq!(cut_off, CommitOutcome::Unknown);
    assert_eq!(store.read_row("d").await, Ok(None));
    link.set_flow(Flow::Pass);
    assert!(through.read_row("a").await.unwrap().is_some());
}
