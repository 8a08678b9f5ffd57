//! The control thread: follows the store, publishes views and runs the controller.

mod actions;
mod reports;

use super::{
    controller::{Action, Controller, Event},
    feeds::{self, Following, Need, News},
    heat::HeatMap,
    model::Configuration,
    platform::{Platform, Rows, StoredRow, Table},
    registry::{EndpointChange, EndpointChanges, Registration, Registry},
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
use actions::{decode_owners, lease_event, nobody_listens, perform};
use arc_swap::ArcSwap;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{sleep, timeout},
};

/// Time for a daemon's own call to bring declarations that the controller knows. The connection on
/// which the store holds the call may have gone silent.
const DECLARATIONS_DELAY: Millis = Millis(800);
/// Time before declarations are asked for anew once more. Large ones take a while to arrive.
const DECLARATIONS_AGAIN: Millis = Millis(2_500);
/// Length of the ring between the tasks of the control thread.
const RING_LENGTH: usize = 256;
/// Longest time to give the controller lease up.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between steps of a daemon that holds the controller lease.
const ACTING_STEP: Duration = Duration::from_millis(100);
/// Time between steps of other daemons.
const WATCHING_STEP: Duration = Duration::from_millis(250);
/// Age of the controller's last answer at which the lease and the owners are read from the store.
const WATCH_AFTER: Millis = Millis(900);
/// The same for the last renewal of the lease. A controller that cannot renew it may have a
/// successor.
const RENEWAL_AGE: Millis = Millis(1_600);
/// Age of what the controller tells of endpoints at which they are read from the store. A leaving
/// endpoint must be known within 2 s.
const ENDPOINTS_AGE: Millis = Millis(1_300);
/// Time for which entries that vanished while the store failed are kept: the endpoints that live
/// register again within 2 s.
const DOUBT: Millis = Millis(2_100);
/// Time for which entries are kept that vanished together while the store answered.
const MASS_DOUBT: Millis = Millis(1_500);
/// Share of a service's entries that vanish at once when the store, and not the endpoints, failed.
const MASS_PERCENT: usize = 50;
/// Entries that vanish at once are told from single ones from this number.
const MASS_COUNT: usize = 3;

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
}

/// A report of another daemon, and where its answer goes.
pub type ReportSent = (DaemonReport, oneshot::Sender<ReportReply>);

enum Input {
    News(News),
    Controller(Event),
    Answer(Option<ReportReply>),
}

/// Runs until `stop` turns true and the controller lease is given up.
pub async fn run<P: Platform>(
    cx: ControlContext,
    platform: P,
    builder: ViewBuilder,
    controller: Controller,
    mut reports: mpsc::Receiver<ReportSent>,
    mut stop: watch::Receiver<bool>,
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
    };
    loop {
        let acting = control.controller.term().is_mine();
        let pause = if acting { ACTING_STEP } else { WATCHING_STEP };
        tokio::select! {
            Some(input) = rx.recv() => {
                control.take(input);
                // What has arrived meanwhile is taken in before the next step.
                while let Ok(input) = rx.try_recv() {
                    control.take(input);
                }
            }
            Some((report, reply)) = reports.recv() => control.answer(report, reply),
            Ok(_) = stop.wait_for(|stop| *stop) => {
                control.stop(&mut rx).await;
                return;
            }
            () = sleep(pause) => {}
        }
        control.step();
    }
}

/// A table that is followed in the store.
struct Watch {
    need: watch::Sender<Need>,
    /// Version up to which the table is known otherwise.
    known: Arc<AtomicU64>,
}

impl Watch {
    fn set(&self, need: Need) {
        self.need
            .send_if_modified(|present| std::mem::replace(present, need) != need);
    }
}

/// How the tables are followed at present.
struct Watches {
    declarations: Watch,
    endpoints: Watch,
    owners: Watch,
    lease: Watch,
}

fn follow<P: Platform>(
    cx: &ControlContext,
    platform: &P,
    table: Table,
    store_fails: &Arc<watch::Sender<bool>>,
    tx: &mpsc::Sender<Input>,
) -> Watch {
    let (news_tx, mut news) = mpsc::channel(8);
    let (need_tx, need) = watch::channel(Need::Changes);
    let known = Arc::new(AtomicU64::new(0));
    let following = Following {
        table,
        need,
        known: Arc::clone(&known),
        daemons: Arc::clone(&cx.daemons),
        store_fails: Arc::clone(store_fails),
        clock: cx.clock,
    };
    tokio::spawn(feeds::follow(platform.clone(), following, news_tx));
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
    /// The endpoints as the store or the controller showed them.
    registry: Registry,
    /// Changes of endpoints that were acknowledged before this time are known, from the store.
    as_of: Millis,
    /// The same, from the controller.
    told_as_of: Millis,
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
}

impl<P: Platform> Control<P> {
    fn take(&mut self, input: Input) {
        match input {
            Input::News(news) => self.take_news(&news),
            Input::Controller(event) => {
                let now = self.cx.clock.now();
                self.controller.handle(event, now);
            }
            Input::Answer(answer) => self.take_answer(answer),
        }
    }

    fn take_news(&mut self, news: &News) {
        match news.table {
            Table::Declarations => self.take_declarations(&news.rows),
            Table::Endpoints => {
                self.take_endpoints(news);
                return;
            }
            Table::Owners => self.take_owners(&news.rows),
            Table::Controller if news.is_whole || !news.rows.rows.is_empty() => {
                self.take_lease(&news.rows);
            }
            Table::Controller => {}
        }
        self.publish();
    }

    fn take_declarations(&mut self, rows: &Rows) {
        for row in &rows.rows {
            self.declarations = self.declarations.max(row.version);
            match self.platform.configuration(row) {
                Some(Ok(config)) => self.configure(config),
                Some(Err(reason)) => {
                    log::error!(target: "config", row:% = row.name, version = row.version, reason;
                        "Configuration not readable; the present one stays in force.");
                }
                None => {}
            }
        }
    }

    fn configure(&mut self, config: Configuration) {
        let (version, routes) = (config.version, config.routes.len());
        if !self.builder.configure(config) {
            return;
        }
        log::info!(target: "config", version, routes; "Configuration in force.");
        let keyed = self.builder.config().map_or_else(Vec::new, |config| {
            let keyed = config.services.values().filter(|service| service.keyed);
            keyed.map(|service| service.name.clone()).collect()
        });
        let now = self.cx.clock.now();
        self.controller.handle(Event::Services(keyed), now);
    }

    fn take_endpoints(&mut self, news: &News) {
        self.as_of = self.as_of.max(news.as_of);
        let changes = news.rows.rows.iter().map(|row| EndpointChange {
            name: Arc::clone(&row.name),
            version: row.version,
            registration: self.registration(row, news.after_failure),
        });
        let changes = EndpointChanges {
            changes: changes.collect(),
            version: news.rows.version,
            is_whole: news.is_whole,
            after_failure: news.after_failure,
        };
        self.apply_endpoints(changes);
    }

    fn registration(&self, row: &StoredRow, after_failure: bool) -> Registration {
        if row.value.is_none() {
            return Registration::Gone { after_failure };
        }
        match self.platform.endpoint(row) {
            Ok(entry) => Registration::Present(entry),
            Err(reason) => {
                log::warn!(target: "health", row:% = row.name, version = row.version, reason;
                    "Entry names no endpoint.");
                Registration::Gone { after_failure }
            }
        }
    }

    /// Takes in endpoints that changed, from the store or from the controller.
    pub(super) fn apply_endpoints(&mut self, news: EndpointChanges) {
        let now = self.cx.clock.now();
        let is_first = self.registry.version() == 0;
        let changes = self.registry.apply(news);
        let version = self.registry.version();
        self.watches
            .endpoints
            .known
            .store(version, Ordering::Relaxed);
        if changes.is_empty() && !is_first {
            return;
        }
        let mut gone: Vec<(Arc<str>, bool)> = Vec::new();
        for change in changes {
            match change.registration {
                Registration::Present(entry) => {
                    log::debug!(target: "health", endpoint:% = change.name,
                        version = change.version, draining = entry.draining;
                        "Endpoint registered.");
                    self.builder.register(entry, now);
                }
                Registration::Gone { after_failure } => gone.push((change.name, after_failure)),
            }
        }
        self.remove(&gone, now);
        self.tell_endpoints();
        self.publish();
    }

    /// Removes entries, some of them only after a while in which they may return.
    fn remove(&mut self, gone: &[(Arc<str>, bool)], now: Millis) {
        let known = self.builder.names().len();
        let is_mass = gone.len() >= MASS_COUNT && gone.len() * 100 >= known * MASS_PERCENT;
        for (name, after_failure) in gone {
            let doubt = match (after_failure, is_mass) {
                (true, _) => Some(now + DOUBT),
                (false, true) => Some(now + MASS_DOUBT),
                (false, false) => None,
            };
            log::info!(target: "health", endpoint:% = name, version = self.registry.version(),
                doubted = doubt.is_some(); "Endpoint entry gone.");
            self.builder.remove(name, doubt);
        }
    }

    fn tell_endpoints(&mut self) {
        let now = self.cx.clock.now();
        let entries = self.builder.entries();
        self.controller.handle(Event::Endpoints(entries), now);
    }

    fn take_owners(&mut self, rows: &Rows) {
        for (service, version, owners) in decode_owners(&rows.rows) {
            self.builder.own(service, version, owners);
        }
    }

    fn take_lease(&mut self, rows: &Rows) {
        let now = self.cx.clock.now();
        let event = lease_event(rows);
        self.controller.handle(event, now);
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
        if self.builder.next_doubt().is_some_and(|at| now >= at) && self.builder.drop_doubted(now) {
            self.tell_endpoints();
            self.publish();
        }
        self.report(now);
        self.choose_watches(now);
        self.answer_parked(now);
        for action in self.controller.step(&self.heat, now) {
            self.carry_out(action);
        }
    }

    /// The lease, the owners and the endpoints are read from the store only while no controller
    /// tells them in answers to reports.
    fn choose_watches(&mut self, now: Millis) {
        let term = self.controller.term();
        let mine = term.is_mine();
        let answers = self.answered.is_some_and(|at| now.since(at) < WATCH_AFTER);
        let fresh = answers && term.age(now) < RENEWAL_AGE;
        let if_needed = |needed| if needed { Need::Changes } else { Need::Nothing };
        self.watches.lease.set(if_needed(!mine && !fresh));
        self.watches.owners.set(if_needed(mine || !fresh));
        let told = answers && now.since(self.told_as_of) < ENDPOINTS_AGE;
        self.watches.endpoints.set(match (mine, told) {
            (true, _) => Need::Freshness,
            (false, true) => Need::Nothing,
            (false, false) => Need::Alone,
        });
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
            Need::Nothing
        } else if mine {
            Need::Freshness
        } else if told {
            Need::Changes
        } else {
            Need::Alone
        };
        self.watches.declarations.set(declarations);
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

    /// Gives the controller lease up.
    async fn stop(&mut self, rx: &mut mpsc::Receiver<Input>) {
        self.controller.stop();
        let giving_up = async {
            loop {
                let now = self.cx.clock.now();
                for action in self.controller.step(&self.heat, now) {
                    self.carry_out(action);
                }
                if self.controller.has_stopped() {
                    return;
                }
                tokio::select! {
                    Some(input) = rx.recv() => self.take(input),
                    () = sleep(ACTING_STEP) => {}
                }
            }
        };
        if timeout(STOP_TIMEOUT, giving_up).await.is_err() {
            log::warn!(target: "ownership", "Controller lease not given up; it will end.");
        }
    }
}
