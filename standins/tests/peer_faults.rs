//! Guards against peer synchronization that stalls or reverts when links between daemons stall, drop,
//! delay, replay or truncate messages.

#[path = "../../tests/support/example_config.rs"]
mod example_config;

use fireflygauge::{
    clock::Clock,
    config::ConfigSnapshot,
    entry::directory::{Directory, DirectoryUpdate},
    peer::{
        PeerContext, PeerService,
        message::{ForwardReply, HoldReply},
    },
    store::StoreClient,
    table::{Owner, RoutingTable, TableVersion},
    target_api::GrantReply,
    world::{GroupId, Incarnation, Link, Vm, VmRole, VmState},
};
use standins::{
    platform::{Faults, Platform},
    proxy::{Flow, LinkFaults, ProxyLink},
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};
use test_case::test_case;
use tokio::time::sleep;

const EXAMPLE: &str = include_str!("../../examples/ma-west.toml");
const TIMEOUT: Duration = Duration::from_secs(15);
const ANY: &str = "127.0.0.1:0";

/// A daemon whose peers reach it through a fault proxy.
struct Daemon {
    link: Link,
    directory: Directory,
    inbound: ProxyLink,
    _service: PeerService,
}

impl Daemon {
    async fn start(name: &str, platform: &Platform) -> Self {
        let listener = TcpListener::bind(ANY).unwrap();
        let upstream = listener.local_addr().unwrap();
        let inbound = ProxyLink::start(ANY.parse().unwrap(), upstream)
            .await
            .unwrap();
        let link = Link {
            name: name.into(),
            incarnation: Incarnation::random(),
            zone: name[..1].into(),
            peer_addr: inbound.addr(),
        };
        platform.register(listed(&link));
        let directory = Directory::start();
        let context = context(&link, &directory, platform.addr());
        Self {
            link,
            directory,
            inbound,
            _service: PeerService::start(listener, context).unwrap(),
        }
    }

    fn version(&self) -> u64 {
        let snapshot = self.directory.snapshot().load();
        let config = snapshot.config.as_ref().map_or(0, |c| c.version());
        let table = snapshot.tables.get(&group());
        config.min(table.map_or(0, |table| table.version.revision))
    }

    fn live(&self) -> usize {
        let snapshot = self.directory.snapshot().load();
        snapshot.members.iter().filter(|m| m.age_ms == 0).count()
    }

    fn publish(&self, version: u64) {
        self.directory
            .submit(DirectoryUpdate::Config(config(version)));
        self.directory
            .submit(DirectoryUpdate::Table(table(version)));
    }
}

fn listed(link: &Link) -> Vm {
    Vm {
        name: link.name.clone(),
        zone: link.zone.clone(),
        addr: link.peer_addr,
        state: VmState::Live,
        role: VmRole::Entry {
            peer_addr: link.peer_addr,
            operator_addr: link.peer_addr,
        },
    }
}

fn context(link: &Link, directory: &Directory, platform: SocketAddr) -> PeerContext {
    PeerContext {
        link: link.clone(),
        clock: Clock::start(),
        directory: directory.clone(),
        store: StoreClient::new(platform, Duration::from_millis(400)),
        controls: Arc::new(Vec::new),
        ready: Arc::new(|| true),
        stopping: Arc::new(|| false),
        answer_hold: Arc::new(|_| Box::pin(std::future::pending::<HoldReply>())),
        handle_grant: Arc::new(|_| Box::pin(std::future::pending::<GrantReply>())),
        forward: Arc::new(|_| Box::pin(async { ForwardReply::NotRun("unexpected".into()) })),
    }
}

fn config(version: u64) -> ConfigSnapshot {
    example_config::snapshot(EXAMPLE, version)
}

fn group() -> GroupId {
    GroupId {
        service: "listings".into(),
        index: 0,
    }
}

fn table(revision: u64) -> RoutingTable {
    let mut table = RoutingTable::empty(group(), 1024);
    table.version = TableVersion {
        controller_epoch: 1,
        revision,
    };
    table.owners[revision as usize] = Some(Owner {
        target: "t".into(),
        epoch: revision,
    });
    table
}

async fn wait_for(what: &str, mut done: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < TIMEOUT, "timed out: {what}");
        sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// Starts two zones of three daemons and waits until all are members of each other.
async fn start() -> (Platform, Vec<Daemon>) {
    let platform = Platform::start(ANY.parse().unwrap(), Faults::default())
        .await
        .unwrap();
    let mut daemons = Vec::new();
    for name in ["a1", "a2", "a3", "b1", "b2", "b3"] {
        daemons.push(Daemon::start(name, &platform).await);
    }
    wait_for("all members are live", || {
        daemons.iter().all(|d| d.live() == 5)
    })
    .await;
    (platform, daemons)
}

/// Guards against one faulty link that blocks updates: all other daemons must receive them, and the
/// daemon behind the link once it recovers.
#[test_case(LinkFaults::flow(Flow::Stall); "stalled")]
#[test_case(LinkFaults::flow(Flow::Cut); "cut")]
#[test_case(LinkFaults::flow(Flow::ToUpstream); "replies_lost")]
#[test_case(LinkFaults::flow(Flow::ToClient); "requests_lost")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_link_of_a_delegate(faults: LinkFaults) {
    let (_platform, daemons) = start().await;
    daemons[0].inbound.set(faults);
    daemons[5].publish(1);
    let others = &daemons[1..];
    let time = wait_for("all other daemons have the change", || {
        others.iter().all(|d| d.version() == 1)
    })
    .await;
    println!("{faults:?}: all other daemons have the change after {time:?}");
    daemons[2].publish(2);
    wait_for("all other daemons have the next change", || {
        others.iter().all(|d| d.version() == 2)
    })
    .await;
    daemons[0].inbound.set(LinkFaults::default());
    wait_for("all daemons have the last change", || {
        daemons.iter().all(|d| d.version() == 2)
    })
    .await;
    wait_for("all members are live", || {
        daemons.iter().all(|d| d.live() == 5)
    })
    .await;
}

/// Guards against delayed, replayed or truncated messages that revert a version or prevent the
/// daemons from catching up once the faults are cleared.
#[test_case(LinkFaults { delay_ms: 60, ..LinkFaults::default() }; "delayed")]
#[test_case(LinkFaults { replay_after_ms: Some(300), ..LinkFaults::default() }; "replayed_late")]
#[test_case(LinkFaults { cut_after_received: Some(700), ..LinkFaults::default() }; "replies_truncated")]
#[test_case(LinkFaults { cut_after_sent: Some(700), ..LinkFaults::default() }; "requests_truncated")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_links_everywhere(faults: LinkFaults) {
    let (_platform, daemons) = start().await;
    daemons.iter().for_each(|d| d.inbound.set(faults));
    let mut highest = vec![0; daemons.len()];
    for version in 1..=10 {
        daemons[version as usize % daemons.len()].publish(version);
        let until = Instant::now() + Duration::from_millis(150);
        wait_for("the next change", || {
            for (daemon, highest) in daemons.iter().zip(&mut highest) {
                let version = daemon.version();
                assert!(version >= *highest, "{} reverted", daemon.link.name);
                *highest = version;
            }
            Instant::now() >= until
        })
        .await;
    }
    daemons
        .iter()
        .for_each(|d| d.inbound.set(LinkFaults::default()));
    let time = wait_for("all daemons have the last change", || {
        daemons.iter().all(|d| d.version() == 10)
    })
    .await;
    println!("{faults:?}: all caught up {time:?} after the faults");
    wait_for("all members are live", || {
        daemons.iter().all(|d| d.live() == 5)
    })
    .await;
}
