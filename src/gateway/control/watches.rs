//! Which tables are read from the store, and which the controller tells.

use super::{Control, ControlContext, Input};
use crate::{
    clock::Millis,
    gateway::{
        platform::{Platform, Table},
        table_watch::{self, WatchMode, WatchOptions},
    },
};
use std::sync::{Arc, atomic::AtomicU64};
use tokio::sync::{mpsc, watch};

/// Age of the controller's last answer at which the lease and the owners are read from the store.
const WATCH_AFTER: Millis = Millis(900);
/// The same for the last renewal of the lease. A controller that cannot renew it may have a
/// successor.
const RENEWAL_AGE: Millis = Millis(1_600);
/// Age of what the controller tells of endpoints at which they are read from the store, as a share
/// of the time for which a leaving endpoint goes on serving, in percent.
const ENDPOINTS_AGE_PERCENT: u64 = 65;
/// Time for a daemon's own call to bring declarations that the controller knows. The connection on
/// which the store holds the call may have gone silent.
const DECLARATIONS_DELAY: Millis = Millis(800);
/// Time before declarations are asked for anew once more. Large ones take a while to arrive.
const DECLARATIONS_AGAIN: Millis = Millis(2_500);

/// A table that is followed in the store.
pub(super) struct Watch {
    need: watch::Sender<WatchMode>,
    /// Version up to which the table is known otherwise.
    pub(super) known: Arc<AtomicU64>,
}

impl Watch {
    pub(super) fn set(&self, need: WatchMode) {
        self.need
            .send_if_modified(|present| std::mem::replace(present, need) != need);
    }
}

/// How the tables are followed at present.
pub(super) struct Watches {
    pub(super) declarations: Watch,
    pub(super) endpoints: Watch,
    pub(super) owners: Watch,
    pub(super) lease: Watch,
}

/// Follows a table and sends its news to the control thread.
pub(super) fn follow<P: Platform>(
    cx: &ControlContext,
    platform: &P,
    table: Table,
    store_fails: &Arc<watch::Sender<bool>>,
    tx: &mpsc::Sender<Input>,
) -> Watch {
    let (news_tx, mut news) = mpsc::channel(8);
    let (need_tx, need) = watch::channel(WatchMode::Changes);
    let known = Arc::new(AtomicU64::new(0));
    let following = WatchOptions {
        table,
        mode: need,
        known: Arc::clone(&known),
        daemons: Arc::clone(&cx.daemons),
        store_fails: Arc::clone(store_fails),
        clock: cx.clock,
    };
    tokio::spawn(table_watch::watch_table(
        platform.clone(),
        following,
        news_tx,
    ));
    let tx = tx.clone();
    tokio::spawn(async move {
        while let Some(news) = news.recv().await {
            if tx.send(Input::News(news)).await.is_err() {
                return;
            }
        }
    });
    Watch {
        need: need_tx,
        known,
    }
}

impl<P: Platform> Control<P> {
    /// The lease, the owners and the endpoints are read from the store only while no controller
    /// tells them in answers to reports.
    pub(super) fn choose_watches(&mut self, now: Millis) {
        let term = self.controller.term();
        let mine = term.is_mine();
        let answers = self.answered.is_some_and(|at| now.since(at) < WATCH_AFTER);
        let fresh = answers && term.age(now) < RENEWAL_AGE;
        self.watches.lease.set(if mine || fresh {
            WatchMode::Off
        } else {
            WatchMode::Changes
        });
        let unless = |is_told| match (mine, is_told) {
            (true, _) => WatchMode::Freshness,
            (false, true) => WatchMode::Off,
            (false, false) => WatchMode::NoController,
        };
        let writes_owners = mine && term.may_act(now);
        self.watches.owners.set(if writes_owners {
            WatchMode::Off
        } else {
            unless(fresh)
        });
        let endpoints_age = Millis(self.cx.drain_time.0 * ENDPOINTS_AGE_PERCENT / 100);
        let told = answers && now.since(self.told_as_of) < endpoints_age;
        self.watches.endpoints.set(unless(told));
        if std::mem::replace(&mut self.told, told) != told {
            log::info!(target: "peer", told, answered:? = self.answered,
                as_of:% = now.since(self.told_as_of); "Controller tells endpoints, or no longer.");
        }
        let is_late = |since: Millis| now.since(since) >= DECLARATIONS_DELAY;
        let may_ask = now >= self.ask_again;
        let declarations = if may_ask && self.behind_since.is_some_and(is_late) {
            // The call that is held is given up; another one follows in the next step.
            log::info!(target: "config", known = self.declarations;
                "Controller knows newer declarations; reading them again.");
            self.ask_again = now + DECLARATIONS_AGAIN;
            WatchMode::Off
        } else if mine {
            WatchMode::Freshness
        } else if told {
            WatchMode::Changes
        } else {
            WatchMode::NoController
        };
        self.watches.declarations.set(declarations);
    }
}
