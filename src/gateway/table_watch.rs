//! Follows tables of the store.

use super::platform::{Changes, Platform, Rows, StoreError, Table};
use crate::clock::{Clock, Millis};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

/// Time for which the store may hold a call until something changes.
const WAIT: Duration = Duration::from_secs(20);
/// The same where others rely on the news being fresh: an answer without news shows that there is
/// none.
const FRESH_WAIT: Duration = Duration::from_millis(600);
/// The same where no controller tells that news was missed, as on a connection that went silent.
const ALONE_WAIT: Duration = Duration::from_secs(2);
/// The same after a failed call, since only an answer shows that the store serves again.
const AFTER_FAILURE_WAIT: Duration = Duration::from_millis(1);
/// Pause after a failed call, which doubles up to the longest pause.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after a failed call for each daemon that may call the store.
const FAILED_PAUSE_PER_DAEMON: Duration = Duration::from_millis(30);
/// Limits of the longest pause after a failed call.
const MAX_PAUSE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(2)];

/// Pause after news of endpoints for each daemon that follows the store. Changes of many endpoints
/// come one by one; read together, they cost a call for each daemon rather than one for each change.
const PAUSE_PER_DAEMON: Duration = Duration::from_millis(15);
/// Shortest pause after news of endpoints.
const MIN_NEWS_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after news of endpoints. A leaving endpoint must be known within 2 s.
const MAX_NEWS_PAUSE: Duration = Duration::from_millis(500);
/// Pause after news of endpoints on the daemon that passes them on to the others.
const PASSED_ON_PAUSE: Duration = Duration::from_millis(200);
/// Pause after news of declarations. A configuration must be in force within 2 s.
const DECLARATIONS_PAUSE: Duration = Duration::from_millis(500);
/// Pause after news of owners.
const OWNERS_PAUSE: Duration = Duration::from_millis(50);

/// Time for an answer of the store to arrive.
const PROMPT_WITHIN: Millis = Millis(300);

/// For what a table is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// It is not followed.
    Off,
    /// For its changes.
    Changes,
    /// For its changes, while no controller tells of them.
    NoController,
    /// For its changes, and to know how fresh the news is.
    Freshness,
}

impl WatchMode {
    /// Whether a call that was made for `earlier` is given up. Calls that are held for a short time
    /// are not, since a need that changes often would otherwise leave none to be answered.
    fn ends_call(self, earlier: Self) -> bool {
        self == Self::Off || (earlier == Self::Changes && self != earlier)
    }
}

/// TableUpdate of a table.
#[derive(Clone, Debug)]
pub struct TableUpdate {
    /// The table.
    pub table: Table,
    /// Rows that changed, or all rows.
    pub rows: Rows,
    /// Whether these are all rows, so that others are gone.
    pub is_snapshot: bool,
    /// Whether the store failed to answer before this.
    pub after_failure: bool,
    /// All changes that the store acknowledged before this time are included.
    pub as_of: Millis,
    /// The changes were acknowledged after this time; `None` if only earlier news tell.
    pub since: Option<Millis>,
}

impl TableUpdate {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot && self.rows.rows.is_empty()
    }
}

/// How a table is followed.
#[derive(Clone, Debug)]
pub struct WatchOptions {
    /// The table.
    pub table: Table,
    /// Whether and for what it is needed.
    pub need: watch::Receiver<WatchMode>,
    /// Version up to which the table is known without this feed; 0 if it is not.
    pub known: Arc<AtomicU64>,
    /// Daemons that may call the store.
    pub daemons: Arc<AtomicUsize>,
    /// Whether the store fails, as the feed of declarations finds. It alone tries then, since
    /// calls that fail cost as much as others.
    pub store_fails: Arc<watch::Sender<bool>>,
    /// The daemon's clock.
    pub clock: Clock,
}

/// Sends news of a table while it is needed.
pub async fn watch_table<P: Platform>(
    platform: P,
    following: WatchOptions,
    tx: mpsc::Sender<TableUpdate>,
) {
    let WatchOptions {
        table,
        mut need,
        known,
        daemons,
        store_fails,
        clock,
    } = following;
    let mut fails = store_fails.subscribe();
    let mut follower = Follower {
        platform,
        table,
        failures: 0,
    };
    let mut after = None;
    loop {
        let Ok(present) = need
            .wait_for(|need| *need != WatchMode::Off)
            .await
            .map(|n| *n)
        else {
            return;
        };
        // The sender lives as long as this function, so there is no other end.
        if table != Table::Declarations && fails.wait_for(|fails| !fails).await.is_err() {
            return;
        }
        let from = after.or_else(|| match known.load(Ordering::Relaxed) {
            0 => None,
            version => Some(version),
        });
        let wait = follower.wait(present);
        let asked = clock.now();
        let result = tokio::select! {
            result = follower.next(from, wait) => result,
            changed = need.wait_for(|need| need.ends_call(present)) => {
                match changed.map(|need| *need) {
                    Err(_) => return,
                    // What changes until it is needed again is not seen here.
                    Ok(WatchMode::Off) => after = None,
                    Ok(_) => {}
                }
                continue;
            }
        };
        if table == Table::Declarations {
            let failed = result.is_err();
            store_fails.send_if_modified(|fails| std::mem::replace(fails, failed) != failed);
        }
        match result {
            Ok(Some((rows, is_snapshot))) => {
                after = Some(rows.version);
                let mut news = TableUpdate {
                    table,
                    is_snapshot,
                    after_failure: follower.succeeded(),
                    as_of: asked,
                    since: since(asked, clock.now()),
                    rows,
                };
                let is_empty = news.is_empty();
                let was_held = clock.now().since(asked) >= Millis::from(wait);
                if is_empty && was_held {
                    news.as_of = asked + Millis::from(wait);
                }
                let is_news = !is_empty || news.after_failure || present != WatchMode::Changes;
                if is_news && tx.send(news).await.is_err() {
                    return;
                }
                if !is_empty {
                    let daemons = daemons.load(Ordering::Relaxed);
                    sleep(news_pause(table, present, daemons)).await;
                }
            }
            Ok(None) => {
                after = None;
                known.store(0, Ordering::Relaxed);
            }
            Err(e) => sleep(follower.failed(&e, daemons.load(Ordering::Relaxed))).await,
        }
    }
}

/// Earliest time of changes that a call made at `asked` has brought. The store answers a held call
/// as soon as there is a change.
fn since(asked: Millis, now: Millis) -> Option<Millis> {
    let waited = now.since(asked);
    (waited > PROMPT_WITHIN).then(|| now - PROMPT_WITHIN)
}

fn news_pause(table: Table, need: WatchMode, daemons: usize) -> Duration {
    match table {
        Table::Endpoints if need == WatchMode::Freshness => PASSED_ON_PAUSE,
        Table::Endpoints => {
            per_daemon(PAUSE_PER_DAEMON, daemons).clamp(MIN_NEWS_PAUSE, MAX_NEWS_PAUSE)
        }
        Table::Declarations => DECLARATIONS_PAUSE,
        Table::Owners => OWNERS_PAUSE,
        Table::Controller => Duration::ZERO,
    }
}

fn per_daemon(pause: Duration, daemons: usize) -> Duration {
    pause.saturating_mul(u32::try_from(daemons).unwrap_or(u32::MAX))
}

struct Follower<P> {
    platform: P,
    table: Table,
    failures: u32,
}

impl<P: Platform> Follower<P> {
    /// Time for which the store may hold the next call.
    fn wait(&self, need: WatchMode) -> Duration {
        match need {
            _ if self.failures > 0 => AFTER_FAILURE_WAIT,
            WatchMode::Freshness => FRESH_WAIT,
            WatchMode::NoController => ALONE_WAIT,
            WatchMode::Changes | WatchMode::Off => WAIT,
        }
    }

    /// The next rows, and whether they are the whole table; `None` if it has to be read again.
    async fn next(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<(Rows, bool)>, StoreError> {
        let Some(after) = after else {
            return Ok(Some((self.platform.read(self.table).await?, true)));
        };
        match self.platform.changes(self.table, after, wait).await? {
            Changes::Rows(rows) => Ok(Some((rows, false))),
            Changes::HistoryLost => {
                log::info!(target: "store", table:% = self.table, after;
                    "History lost; reading the table again.");
                Ok(None)
            }
        }
    }

    fn failed(&mut self, error: &StoreError, daemons: usize) -> Duration {
        if self.failures == 0 {
            log::warn!(target: "store", table:% = self.table, error:% = error; "Store lost.");
        }
        self.failures += 1;
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(7) - 1);
        let [least, most] = MAX_PAUSE;
        let longest = per_daemon(FAILED_PAUSE_PER_DAEMON, daemons).clamp(least, most);
        let jitter = rand::random_range(0.5..1.0);
        pause.min(longest).mul_f64(jitter)
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
