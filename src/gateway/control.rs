//! The control thread: follows the store, publishes views and runs the controller.

mod actions;
mod news;
mod owners_history;
mod paces;
mod reports;
mod watches;

use super::{
    controller::{Action, Controller, Event},
    heat::HeatMap,
    pace::Paces,
    platform::{Platform, Table},
    registry::Registry,
    table_watch::TableUpdate,
    view::{View, ViewBuilder},
};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    peer::{
        client::PeerClient,
        message::{DaemonReport, ReportReply},
    },
    world::{Incarnation, ServiceName, VmName},
};
use actions::{nobody_listens, perform};
use arc_swap::ArcSwap;
use owners_history::OwnersHistory;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep,
};
use watches::{Watches, follow};

/// Length of the ring between the tasks of the control thread.
const RING_LENGTH: usize = 256;
/// Longest time to give the controller lease up.
const STOP_TIMEOUT: Millis = Millis(2_000);
/// Time between steps of a daemon that holds the controller lease.
const ACTING_STEP: Duration = Duration::from_millis(100);
/// Time between steps of other daemons.
const WATCHING_STEP: Duration = Duration::from_millis(250);

/// What the control thread shares with the rest of the daemon.
#[derive(Clone, Debug)]
pub struct ControlContext {
    /// Name of this daemon.
    pub name: VmName,
    /// Its run.
    pub run: Incarnation,
    /// Address of this daemon for others.
    pub peer_addr: SocketAddr,
    /// The daemon's clock.
    pub clock: Clock,
    /// Where views are published.
    pub view: Arc<ArcSwap<View>>,
    /// Tells of each new view.
    pub changed: watch::Sender<u64>,
    /// Daemons that share the retry budgets.
    pub daemons: Arc<AtomicUsize>,
    /// Time for which a leaving endpoint goes on serving.
    pub drain_time: Millis,
}

/// A report of another daemon, and where its answer goes.
pub type ReportSent = (DaemonReport, oneshot::Sender<ReportReply>);

enum Input {
    News(TableUpdate),
    Controller(Event),
    Answer(Option<ReportReply>),
}

/// When the control thread ends.
#[derive(Clone, Debug)]
pub struct Lifetime {
    /// Turns true when the daemon is to stop.
    pub stop: watch::Receiver<bool>,
    /// Turns true when its last request has been served.
    pub served: watch::Receiver<bool>,
}

/// Runs until the last request has been served after a stop, and the controller lease is given up.
/// Until then the requests in flight need to know which endpoints leave.
pub async fn run<P: Platform>(
    cx: ControlContext,
    platform: P,
    builder: ViewBuilder,
    controller: Controller,
    mut reports: mpsc::Receiver<ReportSent>,
    lifetime: Lifetime,
) {
    let (tx, mut rx) = mpsc::channel(RING_LENGTH);
    let store_fails = Arc::new(watch::Sender::new(false));
    let follow = |table| follow(&cx, &platform, table, &store_fails, &tx);
    let watches = Watches {
        declarations: follow(Table::Declarations),
        endpoints: follow(Table::Endpoints),
        owners: follow(Table::Owners),
        lease: follow(Table::Controller),
    };
    let mut control = Control {
        store_fails: store_fails.subscribe(),
        peers: PeerClient::default(),
        cx,
        platform,
        builder,
        controller,
        heat: Map::default(),
        daemons: Map::default(),
        tx,
        watches,
        registry: Registry::default(),
        owners: OwnersHistory::default(),
        paces: Paces::default(),
        paces_refreshed: Millis::ZERO,
        paces_known: (0, 0),
        as_of: Millis::ZERO,
        told_as_of: Millis::ZERO,
        declarations: 0,
        behind_since: None,
        ask_again: Millis::ZERO,
        told: false,
        parked: Vec::new(),
        report_sent: None,
        answered: None,
        reported: Millis::ZERO,
        number: 0,
        stopping_since: None,
    };
    loop {
        let acting = control.controller.term().is_mine();
        let stopping = control.stopping_since.is_some();
        let pause = if acting || stopping {
            ACTING_STEP
        } else {
            WATCHING_STEP
        };
        tokio::select! {
            Some(input) = rx.recv() => {
                control.take(input);
                // What has arrived meanwhile is taken in before the next step.
                while let Ok(input) = rx.try_recv() {
                    control.take(input);
                }
            }
            Some((report, reply)) = reports.recv() => control.answer(report, reply),
            () = sleep(pause) => {}
        }
        control.step();
        if *lifetime.stop.borrow() {
            control.begin_stop();
        }
        if *lifetime.served.borrow() && control.has_given_up() {
            return;
        }
    }
}

/// A daemon that reports.
#[derive(Clone, Copy, Debug)]
struct Reporting {
    at: Millis,
    run: Incarnation,
    peer_addr: SocketAddr,
}

/// A report whose answer is held.
struct Parked {
    report: DaemonReport,
    reply: oneshot::Sender<ReportReply>,
    received: Millis,
    until: Millis,
}

struct Control<P> {
    cx: ControlContext,
    platform: P,
    builder: ViewBuilder,
    controller: Controller,
    heat: Map<ServiceName, HeatMap>,
    daemons: Map<VmName, Reporting>,
    peers: PeerClient,
    tx: mpsc::Sender<Input>,
    watches: Watches,
    /// Whether the store fails to answer this daemon.
    store_fails: watch::Receiver<bool>,
    /// The endpoints as the store or the controller showed them.
    registry: Registry,
    /// Changes of endpoints that were acknowledged before this time are known, from the store.
    as_of: Millis,
    /// The same, from the controller.
    told_as_of: Millis,
    owners: OwnersHistory,
    /// Paces of endpoints, gathered while this daemon is the controller.
    paces: Paces,
    paces_refreshed: Millis,
    /// Epoch and version of the paces that were told.
    paces_known: (u64, u64),
    /// Version of the newest declarations that were read.
    declarations: u64,
    /// Since when the controller knows newer declarations.
    behind_since: Option<Millis>,
    /// When declarations may be asked for anew.
    ask_again: Millis,
    /// Whether the controller tells of endpoints.
    told: bool,
    /// Reports whose answers are held until owners change.
    parked: Vec<Parked>,
    /// When the report was sent that is on its way.
    report_sent: Option<Millis>,
    /// When the controller last answered a report.
    answered: Option<Millis>,
    reported: Millis,
    number: u64,
    /// Since when the daemon stops.
    stopping_since: Option<Millis>,
}

impl<P: Platform> Control<P> {
    fn take(&mut self, input: Input) {
        match input {
            Input::News(news) => self.take_news(&news),
            Input::Controller(event) => {
                let now = self.cx.clock.now();
                // The controller alone writes owners and need not read them again.
                if let Event::Owners(rows) = &event {
                    self.take_written(rows.clone());
                }
                self.controller.handle(event, now);
            }
            Input::Answer(answer) => self.take_answer(answer),
        }
    }

    fn publish(&mut self) {
        let now = self.cx.clock.now();
        if self.registry.version() == 0 {
            return;
        }
        self.cx.view.store(Arc::new(self.builder.build(now)));
        self.number += 1;
        self.cx.changed.send_replace(self.number);
    }

    fn step(&mut self) {
        let now = self.cx.clock.now();
        let fails = *self.store_fails.borrow();
        self.controller.note_store(fails);
        if self
            .builder
            .next_deferred_removal()
            .is_some_and(|at| now >= at)
            && self.builder.apply_due_removals(now)
        {
            self.tell_endpoints();
            self.publish();
        }
        let written = self.controller.take_written();
        self.take_written(written);
        self.report(now);
        self.choose_watches(now);
        self.refresh_paces(now);
        self.answer_parked(now);
        for action in self.controller.step(&self.heat, now) {
            self.carry_out(action);
        }
    }

    /// Has the controller lease given up.
    fn begin_stop(&mut self) {
        self.controller.stop();
        self.stopping_since.get_or_insert(self.cx.clock.now());
    }

    /// Whether a stop has come and the controller lease is given up, or has not been in time.
    fn has_given_up(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let given_up = self.controller.has_stopped();
        let is_late = self.cx.clock.now().since(since) >= STOP_TIMEOUT;
        if is_late && !given_up {
            log::warn!(target: "ownership", "Controller lease not given up; it will end.");
        }
        given_up || is_late
    }

    fn carry_out(&self, action: Action) {
        let (platform, tx) = (self.platform.clone(), self.tx.clone());
        if let Action::Confirm(service, id, addr) = action {
            let others = self.daemons.values().map(|daemon| daemon.peer_addr);
            let others: Vec<SocketAddr> = others.filter(|a| *a != self.cx.peer_addr).collect();
            let peers = self.peers.clone();
            tokio::spawn(async move {
                let gone = nobody_listens(&peers, &others, addr).await;
                // The receiver is gone only when the daemon stops.
                let _ = tx
                    .send(Input::Controller(Event::Confirmed(service, id, gone)))
                    .await;
            });
            return;
        }
        tokio::spawn(async move {
            let event = perform(&platform, action).await;
            // The receiver is gone only when the daemon stops.
            let _ = tx.send(Input::Controller(event)).await;
        });
    }
}
