//! Following tables of the store.

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

/// Guards against configurations that come late while the store is slow and the controller tells
/// and ceases to tell by turns: each change gave up the call that was about to be answered.
#[tokio::test]
async fn news_arrive_although_the_need_keeps_changing() {
    let platform = FakePlatform::new();
    platform.declare(1);
    platform.set_latency(Duration::from_millis(300));
    let (need_tx, need) = watch::channel(WatchMode::Changes);
    let (tx, mut news) = mpsc::channel(8);
    let following = WatchOptions {
        table: Table::Declarations,
        mode: need,
        known: Arc::new(AtomicU64::new(0)),
        daemons: Arc::new(AtomicUsize::new(1)),
        store_fails: Arc::new(watch::Sender::new(false)),
        clock: Clock::start(),
    };
    tokio::spawn(table_watch::watch_table(platform, following, tx));
    tokio::spawn(async move {
        for need in [WatchMode::NoController, WatchMode::Changes]
            .into_iter()
            .cycle()
        {
            sleep(Duration::from_millis(100)).await;
            need_tx.send_replace(need);
        }
    });
    let news = timeout(Duration::from_secs(2), news.recv()).await;
    let news = news.expect("news in time").expect("the feed goes on");
    assert_eq!(news.rows.rows.len(), 1);
}
