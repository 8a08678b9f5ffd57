//! Guards against updates of a table that are missed or late.

use super::fake_platform::FakePlatform;
use fireflygauge::{
    clock::Clock,
    gateway::{
        platform::Table,
        table_watch::{self, WatchMode, WatchOptions},
    },
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use test_case::test_case;
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

/// Guards against late configurations while the store is slow and the controller is reachable on
/// and off: each change of the watch mode cancelled the call that was about to return.
#[tokio::test]
async fn updates_arrive_although_the_mode_keeps_changing() {
    let platform = FakePlatform::new();
    platform.declare(1);
    platform.set_latency(Duration::from_millis(300));
    let (mode_tx, mode) = watch::channel(WatchMode::Changes);
    let (tx, mut update) = mpsc::channel(8);
    let options = WatchOptions {
        table: Table::Declarations,
        mode,
        known: Arc::new(AtomicU64::new(0)),
        daemons: Arc::new(AtomicUsize::new(1)),
        store_fails: Arc::new(watch::Sender::new(false)),
        contact: Arc::default(),
        clock: Clock::start(),
    };
    tokio::spawn(table_watch::watch_table(platform, options, tx));
    tokio::spawn(async move {
        for mode in [WatchMode::NoController, WatchMode::Changes]
            .into_iter()
            .cycle()
        {
            sleep(Duration::from_millis(100)).await;
            mode_tx.send_replace(mode);
        }
    });
    let update = timeout(Duration::from_secs(2), update.recv()).await;
    let update = update
        .expect("an update in time")
        .expect("the watch goes on");
    assert_eq!(update.rows.rows.len(), 1);
}

/// Guards against a watch that resumes where it stood long ago, although another source has supplied
/// the table meanwhile: the store may no longer have those changes, and all daemons then read the
/// whole table at once.
#[tokio::test]
async fn a_watch_resumes_from_what_is_known() {
    let platform = FakePlatform::new();
    let (mode_tx, mode) = watch::channel(WatchMode::Changes);
    let (tx, mut updates) = mpsc::channel(8);
    let known = Arc::new(AtomicU64::new(0));
    let options = WatchOptions {
        table: Table::Endpoints,
        mode,
        known: Arc::clone(&known),
        daemons: Arc::new(AtomicUsize::new(1)),
        store_fails: Arc::new(watch::Sender::new(false)),
        contact: Arc::default(),
        clock: Clock::start(),
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    platform.register("e1", "plain", addr);
    tokio::spawn(table_watch::watch_table(platform.clone(), options, tx));
    let first = updates.recv().await.expect("a snapshot");
    assert!(first.is_snapshot);
    // The watch pauses after an update; meanwhile, another source takes over.
    mode_tx.send_replace(WatchMode::Off);
    platform.register("e2", "plain", addr);
    known.store(first.rows.version + 1, Ordering::Relaxed);
    sleep(Duration::from_millis(700)).await;
    mode_tx.send_replace(WatchMode::NoController);
    platform.register("e3", "plain", addr);
    let update = timeout(Duration::from_secs(5), updates.recv()).await;
    let update = update
        .expect("an update in time")
        .expect("the watch goes on");
    let names: Vec<&str> = update.rows.rows.iter().map(|row| &*row.name).collect();
    assert_eq!((names, update.is_snapshot), (vec!["e3"], false));
}

/// Guards against endpoints that are used beyond their drain time, because their removal counts as
/// that of an entry which the store lost: a failure of the watch from before another source took
/// over was held against the store when the watch went on.
#[tokio::test]
async fn a_failure_ends_when_another_source_takes_over() {
    let platform = FakePlatform::new();
    let (mode_tx, mode) = watch::channel(WatchMode::Changes);
    let (tx, mut updates) = mpsc::channel(8);
    let options = WatchOptions {
        table: Table::Endpoints,
        mode,
        known: Arc::default(),
        daemons: Arc::new(AtomicUsize::new(1)),
        store_fails: Arc::new(watch::Sender::new(false)),
        contact: Arc::default(),
        clock: Clock::start(),
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    platform.register("e1", "plain", addr);
    tokio::spawn(table_watch::watch_table(platform.clone(), options, tx));
    assert!(updates.recv().await.expect("a snapshot").is_snapshot);
    platform.set_failing(true);
    sleep(Duration::from_millis(400)).await;
    mode_tx.send_replace(WatchMode::Off);
    // The watch pauses for up to half a second after a failed call.
    sleep(Duration::from_millis(800)).await;
    platform.set_failing(false);
    mode_tx.send_replace(WatchMode::NoController);
    platform.register("e2", "plain", addr);
    let update = timeout(Duration::from_secs(5), updates.recv()).await;
    let update = update
        .expect("an update in time")
        .expect("the watch goes on");
    assert_eq!(update.rows.rows.len(), 2);
    assert!(!update.after_failure);
}

/// Guards against a watch that calls the store without a pause while rows change that are not its own.
#[test_case(Table::Declarations; "declarations")]
#[test_case(Table::Endpoints; "endpoints")]
#[test_case(Table::Owners; "owners")]
#[test_case(Table::Controller; "controller lease")]
#[tokio::test]
async fn a_watch_pauses_after_changes_of_other_rows(table: Table) {
    let platform = FakePlatform::new();
    platform.respond_early();
    let (_mode_tx, mode) = watch::channel(WatchMode::NoController);
    let (tx, mut updates) = mpsc::channel(8);
    let options = WatchOptions {
        table,
        mode,
        known: Arc::default(),
        daemons: Arc::new(AtomicUsize::new(9)),
        store_fails: Arc::new(watch::Sender::new(false)),
        contact: Arc::default(),
        clock: Clock::start(),
    };
    tokio::spawn(table_watch::watch_table(platform.clone(), options, tx));
    tokio::spawn(async move { while updates.recv().await.is_some() {} });
    sleep(Duration::from_secs(1)).await;
    // The shortest pause after an update is 50 ms.
    assert!(platform.calls() <= 22, "{}", platform.calls());
}
