//! Follows tables of the store.

use super::platform::{Changes, Platform, Rows, StoreError, Table};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

/// Time for which the store may hold a call until something changes.
const WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed call, which doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Pause after news of endpoints for each daemon that follows the store. Changes of many endpoints
/// come one by one; read together, they cost a call for each daemon rather than one for each change.
const PAUSE_PER_DAEMON: Duration = Duration::from_millis(15);
/// Shortest pause after news of endpoints.
const MIN_NEWS_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after news of endpoints. A leaving endpoint must be known within 2 s.
const MAX_NEWS_PAUSE: Duration = Duration::from_millis(500);
/// Pause after news of owners or declarations.
const OTHER_NEWS_PAUSE: Duration = Duration::from_millis(50);

/// News of a table.
#[derive(Clone, Debug)]
pub struct News {
    /// The table.
    pub table: Table,
    /// Rows that changed, or all rows.
    pub rows: Rows,
    /// Whether these are all rows, so that others are gone.
    pub is_whole: bool,
    /// Whether the store failed to answer before this.
    pub after_failure: bool,
}

/// Sends news of a table while `needed` is true.
pub async fn follow<P: Platform>(
    platform: P,
    table: Table,
    mut needed: watch::Receiver<bool>,
    daemons: Arc<AtomicUsize>,
    tx: mpsc::Sender<News>,
) {
    let mut follower = Follower {
        platform,
        table,
        failures: 0,
    };
    let mut after = None;
    while needed.wait_for(|needed| *needed).await.is_ok() {
        let result = tokio::select! {
            result = follower.next(after) => result,
            stopped = needed.wait_for(|needed| !needed) => {
                if stopped.is_err() {
                    return;
                }
                // What changes until it is needed again is read anew.
                after = None;
                continue;
            }
        };
        match result {
            Ok(Some((rows, is_whole))) => {
                after = Some(rows.version);
                let news = News {
                    table,
                    is_whole,
                    after_failure: follower.succeeded(),
                    rows,
                };
                let is_news = is_whole || !news.rows.rows.is_empty() || news.after_failure;
                if is_news && tx.send(news).await.is_err() {
                    return;
                }
                sleep(news_pause(table, daemons.load(Ordering::Relaxed))).await;
            }
            Ok(None) => after = None,
            Err(e) => sleep(follower.failed(&e)).await,
        }
    }
}

fn news_pause(table: Table, daemons: usize) -> Duration {
    match table {
        Table::Endpoints => {
            let pause = PAUSE_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX);
            pause.clamp(MIN_NEWS_PAUSE, MAX_NEWS_PAUSE)
        }
        Table::Declarations | Table::Owners => OTHER_NEWS_PAUSE,
        Table::Controller => Duration::ZERO,
    }
}

struct Follower<P> {
    platform: P,
    table: Table,
    failures: u32,
}

impl<P: Platform> Follower<P> {
    /// The next rows, and whether they are the whole table; `None` if it has to be read again.
    async fn next(&self, after: Option<u64>) -> Result<Option<(Rows, bool)>, StoreError> {
        let Some(after) = after else {
            return Ok(Some((self.platform.read(self.table).await?, true)));
        };
        match self.platform.changes(self.table, after, WAIT).await? {
            Changes::Rows(rows) => Ok(Some((rows, false))),
            Changes::HistoryLost => {
                log::info!(target: "store", table:% = self.table, after;
                    "History lost; reading the table again.");
                Ok(None)
            }
        }
    }

    fn failed(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            log::warn!(target: "store", table:% = self.table, error:% = error; "Store lost.");
        }
        self.failures += 1;
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(4) - 1);
        let jitter = rand::random_range(0.5..1.0);
        pause.min(MAX_PAUSE).mul_f64(jitter)
    }

    /// Notes a success. True if calls had failed before.
    fn succeeded(&mut self) -> bool {
        let had_failed = self.failures > 0;
        if had_failed {
            log::info!(target: "store", table:% = self.table, failures = self.failures;
                "Store regained.");
        }
        self.failures = 0;
        had_failed
    }
}
