//! Decides which tables are watched in the store, and which are received from the controller
//! instead.

use super::{Control, ControlContext, Input};
use crate::{
    clock::Millis,
    gateway::{
        platform::{Platform, Table},
        store_contact::StoreContact,
        table_watch::{self, WatchMode, WatchOptions},
    },
};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::{mpsc, watch};

/// Age of the controller's last reply from which the lease and the owners are watched in the store.
pub(super) const MAX_REPLY_AGE: Millis = Millis(900);
/// The same for the last known renewal of the lease. A controller that cannot renew it may have a
/// successor.
const MAX_RENEWAL_AGE: Millis = Millis(1_600);
/// Age of the controller's data on endpoints from which they are watched in the store, in percent
/// of the time for which a leaving endpoint continues to serve.
const MAX_ENDPOINTS_AGE_PERCENT: u64 = 65;
/// Time within which a daemon's own watch has to deliver declarations that the controller already
/// has. The connection on which the store holds the call may have been lost unnoticed.
const DECLARATIONS_TIMEOUT: Millis = Millis(800);
/// Minimum interval between restarts of the watch on declarations. Large ones take a while to
/// arrive.
const DECLARATIONS_RESTART_INTERVAL: Millis = Millis(2_500);

/// Time that a daemon takes to notice that the controller's data are too old and to read the store.
const OWN_READ_TIME: Millis = Millis(400);

/// Age of the controller's data on endpoints from which they are watched in the store.
fn max_endpoints_age(drain_time: Millis) -> Millis {
    Millis(drain_time.0 * MAX_ENDPOINTS_AGE_PERCENT / 100)
}

/// Age of the known endpoints by which a daemon that reaches the store has read them itself.
pub fn read_by_others(drain_time: Millis) -> Millis {
    max_endpoints_age(drain_time) + OWN_READ_TIME
}

/// A watch on one table of the store.
pub(super) struct Watch {
    mode: watch::Sender<WatchMode>,
    /// Version up to which the table is known from another source.
    pub(super) known: Arc<AtomicU64>,
}

impl Watch {
    pub(super) fn set(&self, mode: WatchMode) {
        self.mode
            .send_if_modified(|present| std::mem::replace(present, mode) != mode);
    }
}

/// The watches on all tables.
pub(super) struct Watches {
    pub(super) declarations: Watch,
    pub(super) endpoints: Watch,
    pub(super) owners: Watch,
    pub(super) lease: Watch,
}

/// Starts to watch a table. Its updates are sent to the main loop of the control thread.
pub(super) fn start_watch<P: Platform>(
    cx: &ControlContext,
    platform: &P,
    table: Table,
    store_fails: &Arc<watch::Sender<bool>>,
    contact: &Arc<StoreContact>,
    tx: &mpsc::Sender<Input>,
) -> Watch {
    let (update_tx, mut updates) = mpsc::channel(8);
    let (mode_tx, mode_rx) = watch::channel(WatchMode::Changes);
    let known = Arc::new(AtomicU64::new(0));
    let options = WatchOptions {
        table,
        mode: mode_rx,
        known: Arc::clone(&known),
        daemons: Arc::clone(&cx.daemons),
        store_fails: Arc::clone(store_fails),
        contact: Arc::clone(contact),
        clock: cx.clock,
    };
    tokio::spawn(table_watch::watch_table(
        platform.clone(),
        options,
        update_tx,
    ));
    let tx = tx.clone();
    tokio::spawn(async move {
        while let Some(update) = updates.recv().await {
            if tx.send(Input::Rows(update)).await.is_err() {
                return;
            }
        }
    });
    Watch {
        mode: mode_tx,
        known,
    }
}

impl<P: Platform> Control<P> {
    /// Chooses how each table is watched. The lease, the owners and the endpoints are read from the
    /// store only while no controller supplies them in its replies to reports.
    pub(super) fn choose_watches(&mut self, now: Millis) {
        let lease = self.controller.lease_state();
        let is_holder = lease.is_holder();
        let replies = self
            .last_reply_at
            .is_some_and(|at| now.since(at) < MAX_REPLY_AGE);
        let is_fresh = replies && lease.age(now) < MAX_RENEWAL_AGE;
        self.watches
            .lease
            .known
            .store(lease.version(), Ordering::Relaxed);
        self.watches.lease.set(if is_holder || is_fresh {
            WatchMode::Off
        } else {
            WatchMode::Changes
        });
        let mode_unless = |is_supplied| match (is_holder, is_supplied) {
            (true, _) => WatchMode::Freshness,
            (false, true) => WatchMode::Off,
            (false, false) => WatchMode::NoController,
        };
        let writes_owners = is_holder && lease.may_issue_commands(now);
        // Owners are written only together with the lease row, so they are unchanged while it is.
        let has_newer = lease.version() > self.replied_lease;
        self.newer_lease_since = has_newer.then(|| self.newer_lease_since.unwrap_or(now));
        let is_unanswered = self
            .newer_lease_since
            .is_some_and(|since| now.since(since) >= MAX_REPLY_AGE);
        self.watches.owners.set(if writes_owners {
            WatchMode::Off
        } else {
            mode_unless(replies || !is_unanswered)
        });
        let max_age = max_endpoints_age(self.cx.drain_time);
        let supplied = replies && now.since(self.controller_as_of) < max_age;
        self.watches.endpoints.set(mode_unless(supplied));
        if std::mem::replace(&mut self.controller_supplies_endpoints, supplied) != supplied {
            log::info!(target: "peer", told = supplied, answered:? = self.last_reply_at,
                as_of:% = now.since(self.controller_as_of);
                "Source of endpoints changed between controller and store.");
        }
        let is_late = |since: Millis| now.since(since) >= DECLARATIONS_TIMEOUT;
        let may_restart = now >= self.next_restart_at;
        let declarations = if may_restart && self.behind_since.is_some_and(is_late) {
            // This cancels the held call; the next step starts another one.
            log::info!(target: "config", known = self.declarations;
                "Controller has newer declarations; they are read again.");
            self.next_restart_at = now + DECLARATIONS_RESTART_INTERVAL;
            WatchMode::Off
        } else if is_holder {
            WatchMode::Freshness
        } else if supplied {
            WatchMode::Changes
        } else {
            WatchMode::NoController
        };
        self.watches.declarations.set(declarations);
    }
}
