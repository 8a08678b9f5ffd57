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
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize},
    },
    time::Duration,
};
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
