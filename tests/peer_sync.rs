//! Synchronisation of daemons in one process over loopback. Guards against changes that do not reach
//! every daemon when delegates are lost or stop, daemons restart or the store is unavailable.

#[path = "support/example_config.rs"]
mod example_config;

#[allow(dead_code)]
#[path = "support/fake_store.rs"]
mod fake_store;

use fake_store::FakeStore;
use fireflygauge::{
    clock::Clock,
    config::ConfigSnapshot,
    entry::directory::{Directory, DirectoryUpdate},
    partition::Partition,
    peer::{
        PeerContext, PeerHandle, PeerService,
        message::{ForwardReply, HoldReply, PeerRequest},
    },
    table::{Owner, RoutingTable, TableVersion},
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Incarnation, Link, Vm, VmRole, VmState},
};
use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../examples/mittelland.toml");
const LIMIT: Duration = Duration::from_secs(10);

struct Daemon {
    link: Link,
    directory: Directory,
    stopping: Arc<AtomicBool>,
    service: PeerService,
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn vm(name: &str, zone: &str, listener: &TcpListener) -> Vm {
    let addr = listener.local_addr().unwrap();
    Vm {
        name: name.into(),
        zone: zone.into(),
        addr,
        state: VmState::Live,
        role: VmRole::Entry {
            peer_addr: addr,
            operator_addr: addr,
        },
    }
}

fn start_daemon(vm: &Vm, listener: TcpListener, store: &FakeStore) -> Daemon {
    let link = Link {
        name: vm.name.clone(),
        incarnation: Incarnation::random(),
        zone: vm.zone.clone(),
        peer_addr: vm.addr,
    };
    let directory = Directory::start();
    let stopping = Arc::new(AtomicBool::new(false));
    let stopping_flag = Arc::clone(&stopping);
    let context = PeerContext {
        link: link.clone(),
        clock: Clock::start(),
        directory: directory.clone(),
        store: store.client(),
        controls: Arc::new(Vec::new),
        ready: Arc::new(|| true),
        stopping: Arc::new(move || stopping_flag.load(Ordering::Relaxed)),
        answer_hold: Arc::new(|hold| {
            Box::pin(async move {
                HoldReply {
                    group: hold.group,
                    controller_epoch: hold.controller_epoch,
                    standby: hold.standby,
                    acknowledged: true,
                }
            })
        }),
        handle_grant: Arc::new(|_| Box::pin(std::future::pending::<GrantReply>())),
        forward: Arc::new(|_| Box::pin(async { ForwardReply::NotRun("unexpected".into()) })),
    };
    let service = PeerService::start(listener, context).unwrap();
    Daemon {
        link,
        directory,
        stopping,
        service,
    }
}

/// Starts daemons with these names and zones.
fn start(store: &FakeStore, daemons: &[(&str, &str)]) -> Vec<Daemon> {
    let listeners: Vec<TcpListener> = daemons.iter().map(|_| listen()).collect();
    let vms: Vec<Vm> = daemons
        .iter()
        .zip(&listeners)
        .map(|((name, zone), listener)| vm(name, zone, listener))
        .collect();
    store.set_vms(vms.clone());
    vms.iter()
        .zip(listeners)
        .map(|(vm, listener)| start_daemon(vm, listener, store))
        .collect()
}

fn wait_for(what: &str, mut done: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < LIMIT, "not within 10 s: {what}");
        thread::sleep(Duration::from_millis(2));
    }
    started.elapsed()
}

/// Names of the members that `daemon` regards as live.
fn live(daemon: &Daemon) -> Vec<String> {
    let snapshot = daemon.directory.snapshot().load();
    let members = snapshot.members.iter().filter(|m| m.age_ms == 0);
    members.map(|m| m.link.name.to_string()).collect()
}

fn wait_for_members(daemons: &[Daemon]) {
    wait_for("all members are live", || {
        daemons.iter().all(|d| live(d).len() == daemons.len() - 1)
    });
}

fn config(version: u64) -> ConfigSnapshot {
    example_config::snapshot(EXAMPLE, version)
}

fn config_version(daemon: &Daemon) -> u64 {
    let snapshot = daemon.directory.snapshot().load();
    snapshot.config.as_ref().map_or(0, |c| c.version())
}

fn group() -> GroupId {
    GroupId {
        service: "rounds".into(),
        index: 0,
    }
}

fn table(revision: u64) -> RoutingTable {
    let mut table = RoutingTable::empty(group(), 64);
    table.version = TableVersion {
        controller_epoch: 1,
        revision,
    };
    table.owners[5] = Some(Owner {
        target: "t".into(),
        epoch: revision,
    });
    table
}

fn owner_epoch(daemon: &Daemon) -> u64 {
    let snapshot = daemon.directory.snapshot().load();
    let owner = snapshot
        .tables
        .get(&group())
        .and_then(|t| t.owner(Partition(5)));
    owner.map_or(0, |owner| owner.epoch)
}

const THREE_ZONES: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
    ("c2", "c"),
    ("c3", "c"),
];

/// A change at any daemon must reach all others, whether the daemon is a delegate or not.
#[test_case(0; "from_a_delegate")]
#[test_case(8; "from_another_daemon")]
fn changes_reach_every_daemon(source: usize) {
    let store = FakeStore::start();
    let daemons = start(&store, THREE_ZONES);
    wait_for_members(&daemons);
    for version in 1..=5 {
        daemons[source]
            .directory
            .submit(DirectoryUpdate::Config(config(version)));
        daemons[source]
            .directory
            .submit(DirectoryUpdate::Table(table(version)));
        let time = wait_for("the change is everywhere", || {
            daemons
                .iter()
                .all(|d| config_version(d) == version && owner_epoch(d) == version)
        });
        println!("change {version} from {source} reached all in {time:?}");
    }
    daemons.into_iter().for_each(|d| d.service.stop());
}

/// The loss of a zone's delegate must not disconnect its daemons and must become known to all.
#[test]
fn lost_delegate_is_replaced() {
    let store = FakeStore::start();
    let mut daemons = start(&store, THREE_ZONES);
    wait_for_members(&daemons);
    let lost = daemons.remove(0);
    let name = lost.link.name.to_string();
    lost.service.stop();
    daemons[7]
        .directory
        .submit(DirectoryUpdate::Config(config(1)));
    let time = wait_for("the change is everywhere", || {
        daemons.iter().all(|d| config_version(d) == 1)
    });
    println!("change reached all in {time:?} after the loss of a delegate");
    let time = wait_for("the loss is known", || {
        daemons.iter().all(|d| !live(d).contains(&name))
    });
    println!("loss known in {time:?}");
    wait_for("the member is gone", || {
        daemons.iter().all(|d| {
            let snapshot = d.directory.snapshot().load();
            snapshot.members.iter().all(|m| *m.link.name.0 != *name)
        })
    });
    for daemon in &daemons {
        let live = live(daemon);
        assert_eq!(
            live.len(),
            daemons.len() - 1,
            "{} sees {live:?}",
            daemon.link.name
        );
    }
}

/// A stopping delegate must be replaced, and it must still have all members.
#[test]
fn stopping_delegate_is_replaced() {
    let store = FakeStore::start();
    let daemons = start(&store, THREE_ZONES);
    wait_for_members(&daemons);
    daemons[0].stopping.store(true, Ordering::Relaxed);
    wait_for("the stop is known", || {
        daemons[1..].iter().all(|d| {
            let snapshot = d.directory.snapshot().load();
            snapshot.members.iter().any(|m| m.stopping)
        })
    });
    daemons[8]
        .directory
        .submit(DirectoryUpdate::Config(config(1)));
    wait_for("the change is everywhere", || {
        daemons.iter().all(|d| config_version(d) == 1)
    });
    assert_eq!(live(&daemons[0]).len(), daemons.len() - 1);
}

/// During a store outage, a restarted daemon must get configuration and tables from its peers.
#[test]
fn daemon_starts_in_a_store_outage() {
    let store = FakeStore::start();
    let mut daemons = start(&store, &[("a1", "a"), ("a2", "a"), ("b1", "b")]);
    wait_for_members(&daemons);
    daemons[0]
        .directory
        .submit(DirectoryUpdate::Config(config(3)));
    daemons[0]
        .directory
        .submit(DirectoryUpdate::Table(table(3)));
    let restarted = daemons.remove(1);
    restarted.service.stop();
    store.set_down(true);
    // The VM keeps its address, so its peers can contact it from the VM list that they have.
    let listener = TcpListener::bind(restarted.link.peer_addr).unwrap();
    let vm = vm("a2", "a", &listener);
    let daemon = start_daemon(&vm, listener, &store);
    let time = wait_for("the daemon has caught up", || {
        config_version(&daemon) == 3 && owner_epoch(&daemon) == 3
    });
    println!("caught up in {time:?}");
    wait_for("the new incarnation is known", || {
        daemons.iter().all(|d| {
            let snapshot = d.directory.snapshot().load();
            let mut members = snapshot.members.iter();
            members.any(|m| m.link == daemon.link && m.age_ms == 0)
        })
    });
}

/// The member query must return the configuration version of every daemon, and which reports are not
/// confirmed.
#[tokio::test]
async fn member_query_returns_every_daemon() {
    let store = FakeStore::start();
    let mut daemons = start(&store, THREE_ZONES);
    wait_for_members(&daemons);
    daemons[4]
        .directory
        .submit(DirectoryUpdate::Config(config(7)));
    wait_for("the change is everywhere", || {
        daemons.iter().all(|d| config_version(d) == 7)
    });
    let handle = daemons[8].service.handle();
    let started = Instant::now();
    loop {
        let members = handle.members().await.unwrap();
        assert_eq!(members.len(), daemons.len());
        let confirmed = members.iter().filter(|m| m.confirmed);
        if confirmed.filter(|m| m.report.config_version == 7).count() == daemons.len() {
            break;
        }
        assert!(started.elapsed() < LIMIT, "not confirmed: {members:?}");
    }
    println!("confirmed by all in {:?}", started.elapsed());
    daemons.remove(3).service.stop();
    let members = handle.members().await.unwrap();
    let unconfirmed: Vec<_> = members.iter().filter(|m| !m.confirmed).collect();
    assert_eq!(unconfirmed.len(), 3, "{unconfirmed:?}");
    assert!(unconfirmed.iter().all(|m| m.report.link.zone == "b".into()));
}

/// A sender must get a result for every request, even if the peer thread stops first.
#[test]
fn stop_answers_every_sender() {
    let store = FakeStore::start();
    let mut daemons = start(&store, &[("a1", "a"), ("a2", "a")]);
    let to = daemons[1].link.clone();
    let stopped = daemons.remove(0).service;
    let (tx, rx) = mpsc::channel();
    let handle = stopped.handle();
    let post = |handle: &PeerHandle| {
        let tx = tx.clone();
        let request = PeerRequest::Grant {
            target: "t".into(),
            grant: grant(),
        };
        let on_reply = Box::new(move |result| tx.send(result).unwrap());
        handle.post(to.clone(), request, LIMIT, on_reply);
    };
    (0..100).for_each(|_| post(&handle));
    stopped.stop();
    post(&handle);
    for _ in 0..101 {
        let result = rx.recv_timeout(LIMIT).expect("every request has a result");
        assert!(result.is_err(), "{result:?}");
    }
}

fn grant() -> GrantRequest {
    GrantRequest {
        group: group(),
        controller_epoch: 1,
        sequence: 1,
        incarnation: None,
        echo: None,
        lease_ms: 0,
        set_id: 0,
        partitions: None,
    }
}

/// Only delegates read the VM list continuously, and it must reach all other daemons.
#[test]
fn vm_list_is_distributed() {
    let store = FakeStore::start();
    let daemons = start(&store, THREE_ZONES);
    wait_for_members(&daemons);
    let extra = listen();
    let mut vms: Vec<Vm> = (*daemons[0].directory.snapshot().load().vms).clone();
    vms.push(Vm {
        role: VmRole::Target {
            service: "rounds".into(),
        },
        ..vm("t1", "a", &extra)
    });
    store.set_vms(vms.clone());
    let listed = |d: &Daemon| d.directory.snapshot().load().vms.len();
    let time = wait_for("the new target is listed everywhere", || {
        daemons.iter().all(|d| listed(d) == vms.len())
    });
    println!("listed everywhere in {time:?}");
    vms.remove(8);
    store.set_vms(vms.clone());
    wait_for("the removed VM is gone from all lists", || {
        daemons.iter().all(|d| listed(d) == vms.len())
    });
}
