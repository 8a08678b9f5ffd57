//! Watches tables of the store by long polling.

use super::{
    platform::{Changes, Platform, Rows, StoreError, Table},
    store_contact::StoreContact,
};
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

/// Longest time for which the store may hold a call while nothing changes.
const HOLD_TIME: Duration = Duration::from_secs(20);
/// Longest hold time in [`WatchMode::Freshness`]. Other daemons rely on fresh data there, and an
/// empty response shows that nothing has changed.
const FRESHNESS_HOLD_TIME: Duration = Duration::from_millis(600);
/// Longest hold time in [`WatchMode::NoController`]. No controller reports missed updates there,
/// for example after a silent loss of the connection.
const NO_CONTROLLER_HOLD_TIME: Duration = Duration::from_secs(2);
/// Hold time after a failed call, because only a response shows that the store is available again.
const AFTER_FAILURE_HOLD_TIME: Duration = Duration::from_millis(1);
/// First backoff after a failed call; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// Upper bound of the backoff, for each daemon that may call the store.
const MAX_BACKOFF_PER_DAEMON: Duration = Duration::from_millis(30);
/// Limits of that upper bound.
const MAX_BACKOFF_LIMITS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(2)];

/// Pause after an update of endpoints, for each daemon that watches the store. Changes of many
/// endpoints arrive one by one; read in batches, they cost one call per daemon rather than one per
/// daemon and change.
const UPDATE_PAUSE_PER_DAEMON: Duration = Duration::from_millis(15);
/// Shortest pause after an update of endpoints.
const MIN_UPDATE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after an update of endpoints. A leaving endpoint must be known within 2 s.
const MAX_UPDATE_PAUSE: Duration = Duration::from_millis(500);
/// Pause after an update of endpoints on the daemon that forwards them to the others.
const FORWARDER_PAUSE: Duration = Duration::from_millis(200);
/// Pause after an update of declarations. A configuration must be in force within 2 s.
const DECLARATIONS_PAUSE: Duration = Duration::from_millis(500);
/// Pause after an update of owners.
const OWNERS_PAUSE: Duration = Duration::from_millis(50);

/// Pause after an update of the controller lease, for each daemon that may watch it. Every renewal
/// changes the row, and a daemon that cannot reach the controller needs few of them.
const LEASE_PAUSE_PER_DAEMON: Duration = Duration::from_millis(10);
/// Longest pause after an update of the controller lease.
const MAX_LEASE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time within which a response of the store arrives after a change.
const RESPONSE_TIME: Millis = Millis(300);

/// How a table is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// It is not watched.
    Off,
    /// Changes are reported; the controller reports missed ones. Empty responses are reported for
    /// declarations only, whose age matters when a zone is evacuated.
    Changes,
    /// Changes are reported, and no controller reports missed ones.
    NoController,
    /// Changes are reported, and empty responses as well, to show how fresh the data is.
    Freshness,
}

impl WatchMode {
    /// Whether a call that was made in mode `earlier` is cancelled. Calls that are held for a short
    /// time are not, because frequent changes of the mode would otherwise let none complete. A daemon
    /// that begins to show others how fresh the data is rarely stops.
    fn cancels_call(self, earlier: Self) -> bool {
        let is_held_long = earlier == Self::Changes || self == Self::Freshness;
        self == Self::Off || (is_held_long && self != earlier)
    }
}

/// An update of a table.
#[derive(Clone, Debug)]
pub struct TableUpdate {
    /// The table.
    pub table: Table,
    /// Changed rows, or all rows of a snapshot.
    pub rows: Rows,
    /// Whether these are all rows, so that any other row was removed.
    pub is_snapshot: bool,
    /// Whether the preceding call to the store failed.
    pub after_failure: bool,
    /// All changes that the store acknowledged before this time are included in this or an earlier
    /// update.
    pub as_of: Millis,
    /// Time after which the store acknowledged the changes; `None` if the previous update's
    /// `as_of` is the best bound.
    pub since: Option<Millis>,
}

impl TableUpdate {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot && self.rows.rows.is_empty()
    }
}

/// Parameters of a table watch.
#[derive(Clone, Debug)]
pub struct WatchOptions {
    /// The table.
    pub table: Table,
    /// Current mode; the watch ends when the sender is dropped.
    pub mode: watch::Receiver<WatchMode>,
    /// Version up to which the table is known from another source; 0 if it is not.
    pub known: Arc<AtomicU64>,
    /// Number of daemons that may call the store.
    pub daemons: Arc<AtomicUsize>,
    /// Whether the store fails, as set by the watch of declarations. Only that watch calls the
    /// store during a failure, because failing calls cost as much as others.
    pub store_fails: Arc<watch::Sender<bool>>,
    /// Records the answers of the store.
    pub contact: Arc<StoreContact>,
    /// Clock of the daemon.
    pub clock: Clock,
}

/// Sends updates of a table to `tx` until the receiver of `tx` or the sender of the mode is dropped.
pub async fn watch_table<P: Platform>(
    platform: P,
    options: WatchOptions,
    tx: mpsc::Sender<TableUpdate>,
) {
    let WatchOptions {
        table,
        mut mode,
        known,
        daemons,
        store_fails,
        contact,
        clock,
    } = options;
    let mut store_failing = store_fails.subscribe();
    let mut watcher = Watcher {
        platform,
        table,
        failures: 0,
    };
    let mut position = Position::Unknown;
    loop {
        if *mode.borrow() == WatchMode::Off {
            position.forget();
            // The other source has been up to date since, so a failure of before explains nothing.
            watcher.failures = 0;
        }
        let Ok(current_mode) = mode
            .wait_for(|mode| *mode != WatchMode::Off)
            .await
            .map(|n| *n)
        else {
            return;
        };
        // The sender lives as long as this function, so this does not fail.
        if table != Table::Declarations
            && store_failing
                .wait_for(|store_failing| !store_failing)
                .await
                .is_err()
        {
            return;
        }
        let from = position.next_call_from(known.load(Ordering::Relaxed));
        let hold_time = watcher.hold_time(current_mode);
        let called_at = clock.now();
        let result = tokio::select! {
            result = watcher.next_rows(from, hold_time) => result,
            changed = mode.wait_for(|mode| mode.cancels_call(current_mode)) => {
                match changed.map(|mode| *mode) {
                    Err(_) => return,
                    Ok(_) => continue,
                }
            }
        };
        match &result {
            Ok(_) => contact.record_answer(clock.now()),
            Err(_) => contact.record_failure(clock.now()),
        }
        if table == Table::Declarations {
            let failed = result.is_err();
            store_fails.send_if_modified(|store_failing| {
                std::mem::replace(store_failing, failed) != failed
            });
        }
        match result {
            Ok(Some((rows, is_snapshot))) => {
                position = Position::After(rows.version);
                let mut update = TableUpdate {
                    table,
                    is_snapshot,
                    after_failure: watcher.record_success(),
                    as_of: called_at,
                    since: earliest_change(called_at, clock.now(), hold_time, is_snapshot),
                    rows,
                };
                let is_empty = update.is_empty();
                let waited = clock.now().since(called_at);
                let was_held = waited >= Millis::from(hold_time);
                // The store also responds to changes of rows that are not in use.
                let is_early = waited < Millis::from(hold_time / 2);
                if is_empty && was_held {
                    update.as_of = called_at + Millis::from(hold_time);
                }
                let is_relevant = !is_empty
                    || update.after_failure
                    || current_mode != WatchMode::Changes
                    || table == Table::Declarations;
                if is_relevant && tx.send(update).await.is_err() {
                    return;
                }
                if !is_empty || is_early {
                    let daemons = daemons.load(Ordering::Relaxed);
                    sleep(update_pause(table, current_mode, daemons)).await;
                }
            }
            Ok(None) => position = Position::HistoryLost,
            Err(e) => sleep(watcher.record_failure(&e, daemons.load(Ordering::Relaxed))).await,
        }
    }
}

/// Where the next call of a watch starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The watch has read nothing since it was last off.
    Unknown,
    /// The table was read up to this version.
    After(u64),
    /// The changes since the last position cannot be read.
    HistoryLost,
}

impl Position {
    /// Records that the watch is off. Changes are missed meanwhile, and the store may drop them.
    fn forget(&mut self) {
        if matches!(self, Self::After(_)) {
            *self = Self::Unknown;
        }
    }

    /// Version after which the changes are read, where another source knows the table up to
    /// `known`, or 0; `None` if the whole table is read.
    fn next_call_from(self, known: u64) -> Option<u64> {
        match self {
            Self::Unknown => (known > 0).then_some(known),
            Self::After(version) => Some(version.max(known)),
            Self::HistoryLost => None,
        }
    }
}

/// Lower bound of the time of the changes in a response to a call made at `called_at`. The store
/// responds to a held call as soon as there is a change, so a late response bounds their time. Calls
/// that are not held have late responses only from a slow store.
fn earliest_change(
    called_at: Millis,
    now: Millis,
    hold_time: Duration,
    is_snapshot: bool,
) -> Option<Millis> {
    let is_held = !is_snapshot && Millis::from(hold_time) > RESPONSE_TIME;
    let waited = now.since(called_at);
    (is_held && waited > RESPONSE_TIME).then(|| now - RESPONSE_TIME)
}

fn update_pause(table: Table, mode: WatchMode, daemons: usize) -> Duration {
    match table {
        Table::Endpoints if mode == WatchMode::Freshness => FORWARDER_PAUSE,
        Table::Endpoints => {
            per_daemon(UPDATE_PAUSE_PER_DAEMON, daemons).clamp(MIN_UPDATE_PAUSE, MAX_UPDATE_PAUSE)
        }
        Table::Declarations => DECLARATIONS_PAUSE,
        Table::Owners => OWNERS_PAUSE,
        Table::Controller => per_daemon(LEASE_PAUSE_PER_DAEMON, daemons).min(MAX_LEASE_PAUSE),
    }
}

fn per_daemon(pause: Duration, daemons: usize) -> Duration {
    pause.saturating_mul(u32::try_from(daemons).unwrap_or(u32::MAX))
}

struct Watcher<P> {
    platform: P,
    table: Table,
    failures: u32,
}

impl<P: Platform> Watcher<P> {
    /// Longest time for which the store may hold the next call.
    fn hold_time(&self, mode: WatchMode) -> Duration {
        match mode {
            _ if self.failures > 0 => AFTER_FAILURE_HOLD_TIME,
            WatchMode::Freshness => FRESHNESS_HOLD_TIME,
            WatchMode::NoController => NO_CONTROLLER_HOLD_TIME,
            WatchMode::Changes | WatchMode::Off => HOLD_TIME,
        }
    }

    /// The next rows, and whether they are a snapshot; `None` if the table has to be read again
    /// because the store no longer has its history.
    async fn next_rows(
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
                    "Changes since this version cannot be read; reading the whole table.");
                Ok(None)
            }
        }
    }

    fn record_failure(&mut self, error: &StoreError, daemons: usize) -> Duration {
        if self.failures == 0 {
            log::warn!(target: "store", table:% = self.table, error:% = error; "Store call failed.");
        }
        self.failures += 1;
        let backoff = FIRST_BACKOFF * 2_u32.pow(self.failures.min(7) - 1);
        let [least, most] = MAX_BACKOFF_LIMITS;
        let longest = per_daemon(MAX_BACKOFF_PER_DAEMON, daemons).clamp(least, most);
        let jitter = rand::random_range(0.5..1.0);
        backoff.min(longest).mul_f64(jitter)
    }

    /// Records a success. True if the preceding call failed.
    fn record_success(&mut self) -> bool {
        let had_failed = self.failures > 0;
        if had_failed {
            log::info!(target: "store", table:% = self.table, failures = self.failures;
                "Store calls succeed again.");
        }
        self.failures = 0;
        had_failed
    }
}
