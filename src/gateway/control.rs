//! The control thread: follows the store, publishes views and runs the controller.

use super::{
    controller::{Action, Controller, Event, ORDER_TIMEOUT},
    feeds::{self, News},
    heat::{HeatMap, HeatReport, ServiceHeat, WorkTime},
    model::Configuration,
    owners::Owners,
    platform::{
        GrantOutcome, Listening, Platform, ReleaseOutcome, Rows, StoredRow, Table, WriteOutcome,
    },
    term::LeaseRow,
    view::{View, ViewBuilder},
};
use crate::{
    clock::{Clock, Millis},
    collections::{Map, Set},
    peer::{
        client::PeerClient,
        message::{DaemonReport, OwnersNews, PeerReply, PeerRequest, ReportReply},
    },
    world::{Incarnation, ServiceName, VmName},
};
use arc_swap::ArcSwap;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Length of the ring between the tasks of the control thread.
const RING_LENGTH: usize = 256;
/// Time between steps of a daemon that holds the controller lease.
const ACTING_STEP: Duration = Duration::from_millis(100);
/// Time between steps of other daemons.
const WATCHING_STEP: Duration = Duration::from_millis(250);
/// Time between reports to the controller.
const REPORT_EVERY: Millis = Millis(400);
/// Time for which the controller holds its answer to a report until owners change. So changes
/// reach all daemons at once without a call to the store for each.
const HELD_REPORT: Millis = Millis(400);
/// Time to wait for the controller's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the controller's last answer at which the lease and the owners are read from the store.
const WATCH_AFTER: Millis = Millis(900);
/// The same for the last renewal of the lease. A controller that cannot renew it may have a
/// successor.
const RENEWAL_AGE: Millis = Millis(1_600);
/// Time after its last report for which a daemon counts.
const DAEMON_AGE: Millis = Millis(3_000);
/// Time for an endpoint to answer a release, which it does when the work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which entries that vanished while the store failed are kept: the endpoints that live
/// register again within 2 s.
const DOUBT: Millis = Millis(2_100);
/// Time for which entries are kept that vanished together while the store answered.
const MASS_DOUBT: Millis = Millis(1_500);
/// Share of a service's entries that vanish at once when the store, and not the endpoints, failed.
const MASS_PERCENT: usize = 50;
/// Entries that vanish at once are told from single ones from this number.
const MASS_COUNT: usize = 3;
/// Pause before the owners are read again after a failure.
const READ_PAUSE: Duration = Duration::from_millis(100);

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
    let (watch_lease, lease_needed) = watch::channel(true);
    let (watch_owners, owners_needed) = watch::channel(true);
    let (_always, always) = watch::channel(true);
    follow(&cx, &platform, Table::Declarations, always.clone(), &tx);
    follow(&cx, &platform, Table::Endpoints, always, &tx);
    follow(&cx, &platform, Table::Owners, owners_needed, &tx);
    follow(&cx, &platform, Table::Controller, lease_needed, &tx);
    let mut control = Control {
        peers: PeerClient::default(),
        cx,
        platform,
        builder,
        controller,
        heat: Map::default(),
        daemons: Map::default(),
        tx,
        watch_lease,
        watch_owners,
        parked: Vec::new(),
        report_sent: false,
        answered: None,
        reported: Millis::ZERO,
        loaded: Set::default(),
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

fn follow<P: Platform>(
    cx: &ControlContext,
    platform: &P,
    table: Table,
    needed: watch::Receiver<bool>,
    tx: &mpsc::Sender<Input>,
) {
    let (news_tx, mut news) = mpsc::channel(8);
    let daemons = Arc::clone(&cx.daemons);
    tokio::spawn(feeds::follow(
        platform.clone(),
        table,
        needed,
        daemons,
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
    watch_lease: watch::Sender<bool>,
    watch_owners: watch::Sender<bool>,
    /// Reports whose answers are held until owners change.
    parked: Vec<Parked>,
    /// Whether a report is on its way.
    report_sent: bool,
    /// When the controller last answered a report.
    answered: Option<Millis>,
    reported: Millis,
    /// Tables that were read once.
    loaded: Set<Table>,
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
        self.loaded.insert(news.table);
        match news.table {
            Table::Declarations => self.take_declarations(&news.rows),
            Table::Endpoints => self.take_endpoints(news),
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
        let now = self.cx.clock.now();
        let mut gone: Vec<Arc<str>> = Vec::new();
        let mut present: Set<Arc<str>> = Set::default();
        for row in &news.rows.rows {
            if row.value.is_none() {
                gone.push(Arc::clone(&row.name));
                continue;
            }
            match self.platform.endpoint(row) {
                Ok(entry) => {
                    present.insert(Arc::clone(&row.name));
                    log::debug!(target: "health", endpoint:% = row.name, version = row.version,
                        draining = entry.draining; "Endpoint registered.");
                    self.builder.register(entry, now);
                }
                Err(reason) => {
                    log::warn!(target: "health", row:% = row.name, version = row.version, reason;
                        "Entry names no endpoint.");
                    gone.push(Arc::clone(&row.name));
                }
            }
        }
        gone.retain(|name| !present.contains(name));
        if news.is_whole {
            let names = self.builder.names();
            gone.extend(names.into_iter().filter(|name| !present.contains(name)));
        }
        self.remove(&gone, news, now);
        self.tell_endpoints();
    }

    /// Removes entries, some of them only after a while in which they may return.
    fn remove(&mut self, gone: &[Arc<str>], news: &News, now: Millis) {
        if gone.is_empty() {
            return;
        }
        let known = self.builder.names().len();
        let is_mass = gone.len() >= MASS_COUNT && gone.len() * 100 >= known * MASS_PERCENT;
        let doubt = match (news.after_failure, is_mass) {
            (true, _) => Some(now + DOUBT),
            (false, true) => Some(now + MASS_DOUBT),
            (false, false) => None,
        };
        for name in gone {
            log::info!(target: "health", endpoint:% = name, version = news.rows.version,
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
        if !self.loaded.contains(&Table::Endpoints) {
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

    /// The lease and the owners are read from the store only while no controller answers reports.
    fn choose_watches(&mut self, now: Millis) {
        let term = self.controller.term();
        let mine = term.is_mine();
        let fresh = self.answered.is_some_and(|at| now.since(at) < WATCH_AFTER)
            && term.age(now) < RENEWAL_AGE;
        let set = |watch: &watch::Sender<bool>, needed: bool| {
            watch.send_if_modified(|present| std::mem::replace(present, needed) != needed);
        };
        set(&self.watch_lease, !mine && !fresh);
        set(&self.watch_owners, mine || !fresh);
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

    /// Reports what was counted to the controller.
    fn report(&mut self, now: Millis) {
        if self.report_sent || now.since(self.reported) < REPORT_EVERY {
            return;
        }
        self.reported = now;
        let report = DaemonReport {
            name: self.cx.name.clone(),
            run: self.cx.run,
            peer_addr: self.cx.peer_addr,
            owners: self.builder.owner_versions(),
            heat: self.take_heat(),
        };
        let term = self.controller.term();
        if term.is_mine() {
            self.count(&report, now);
            self.set_daemons(now);
            return;
        }
        let Some(addr) = term
            .row()
            .filter(|row| !row.released)
            .map(|row| row.peer_addr)
        else {
            return;
        };
        if addr == self.cx.peer_addr {
            return;
        }
        self.report_sent = true;
        let (peers, tx) = (self.peers.clone(), self.tx.clone());
        tokio::spawn(async move {
            let request = PeerRequest::Report(report);
            let answer = match peers.send(addr, &request, REPORT_TIMEOUT).await {
                Ok(PeerReply::Report(answer)) => Some(answer),
                Ok(_) => None,
                Err(e) => {
                    log::debug!(target: "peer", to:% = addr, error:% = e; "Report not answered.");
                    None
                }
            };
            // The receiver is gone only when the daemon stops.
            let _ = tx.send(Input::Answer(answer)).await;
        });
    }

    fn take_heat(&self) -> HeatReport {
        let view = self.cx.view.load();
        let keyed = view.services.values().filter(|service| service.keyed);
        let services = keyed.map(|service| ServiceHeat {
            service: service.name.clone(),
            keys: service.state.take_heat(),
            work: service
                .members
                .iter()
                .filter_map(|member| {
                    let (requests, total_ms) = member.backend.take_work();
                    let endpoint = Arc::clone(&member.backend.entry.run.name);
                    (requests > 0).then_some(WorkTime {
                        endpoint,
                        requests,
                        total_ms,
                    })
                })
                .collect(),
        });
        HeatReport {
            services: services.collect(),
        }
    }

    /// Takes in the report of a daemon.
    fn count(&mut self, report: &DaemonReport, now: Millis) {
        let reporting = Reporting {
            at: now,
            run: report.run,
            peer_addr: report.peer_addr,
        };
        let before = self.daemons.insert(report.name.clone(), reporting);
        let replaced = before.filter(|before| before.run != report.run);
        if let Some(run) = replaced.map(|before| before.run) {
            self.controller.handle(Event::RunEnded(run), now);
        }
        let former = self.controller.former_run_of(&report.name, report.run);
        if let Some(run) = former {
            self.controller.handle(Event::RunEnded(run), now);
        }
        for heat in &report.heat.services {
            let map = self.heat.entry(heat.service.clone()).or_default();
            map.add(heat, now);
        }
    }

    fn set_daemons(&mut self, now: Millis) {
        self.daemons
            .retain(|_, daemon| now.since(daemon.at) < DAEMON_AGE);
        let daemons = self.daemons.len().max(1);
        self.cx.daemons.store(daemons, Ordering::Relaxed);
    }

    /// Answers the report of another daemon.
    fn answer(&mut self, report: DaemonReport, reply: oneshot::Sender<ReportReply>) {
        let now = self.cx.clock.now();
        self.count(&report, now);
        self.parked.push(Parked {
            report,
            reply,
            until: now + HELD_REPORT,
        });
    }

    /// Answers reports that were held long enough, or whose daemons do not know the newest owners.
    fn answer_parked(&mut self, now: Millis) {
        let acts = self.controller.term().may_act(now);
        for parked in std::mem::take(&mut self.parked) {
            let is_due = !acts || now >= parked.until;
            if is_due || !self.newer_owners(&parked.report).is_empty() {
                self.send_answer(&parked.report, parked.reply, now);
            } else {
                self.parked.push(parked);
            }
        }
    }

    fn send_answer(&self, report: &DaemonReport, reply: oneshot::Sender<ReportReply>, now: Millis) {
        let term = self.controller.term();
        let lease = term.row().filter(|_| term.may_act(now));
        let answer = ReportReply {
            lease: lease.map(|row| (term.version(), row.clone())),
            daemons: self.daemons.len() as u32,
            owners: self.newer_owners(report),
        };
        // The daemon that asked has gone if nobody takes the answer.
        let _ = reply.send(answer);
    }

    /// Owners that a daemon does not know yet, because its way to the store is slow or cut.
    fn newer_owners(&self, report: &DaemonReport) -> Vec<OwnersNews> {
        let known: Map<&ServiceName, u64> = report
            .owners
            .iter()
            .map(|(name, version)| (name, *version))
            .collect();
        let newer = self
            .builder
            .owners()
            .filter(|(name, version, _)| known.get(name).copied().unwrap_or_default() < *version);
        newer
            .filter_map(|(service, version, owners)| {
                Some(OwnersNews {
                    service: service.clone(),
                    version,
                    row: owners.encode().ok()?.to_vec(),
                })
            })
            .collect()
    }

    fn take_owners_news(&mut self, news: Vec<OwnersNews>) {
        let mut is_newer = false;
        for row in news {
            match Owners::decode(&row.row) {
                Ok(owners) => is_newer |= self.builder.own(row.service, row.version, owners),
                Err(e) => log::error!(target: "peer", error:% = e; "Owners of a peer unreadable."),
            }
        }
        if is_newer {
            self.publish();
        }
    }

    fn take_answer(&mut self, answer: Option<ReportReply>) {
        let now = self.cx.clock.now();
        self.report_sent = false;
        // The next report, which asks for further changes, follows at once.
        self.reported = Millis::ZERO;
        let Some(answer) = answer else {
            self.reported = now;
            self.answered = None;
            return;
        };
        self.take_owners_news(answer.owners);
        let Some((version, row)) = answer.lease else {
            self.reported = now;
            self.answered = None;
            return;
        };
        self.answered = Some(now);
        self.controller
            .handle(Event::Lease(version, Some(row)), now);
        let daemons = (answer.daemons as usize).max(1);
        self.cx.daemons.store(daemons, Ordering::Relaxed);
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

/// Daemons that are asked about an endpoint at most.
const MAX_ASKED: usize = 24;
/// Daemons that have to confirm that an endpoint is gone.
const MIN_CONFIRMING: usize = 2;
/// Time for a daemon to answer what it finds at an endpoint's address.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time to give the controller lease up.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks `others` whether something listens at `addr`. True if most of them answer, and all that do
/// found the connection refused.
async fn nobody_listens(peers: &PeerClient, others: &[SocketAddr], addr: SocketAddr) -> bool {
    let mut asked = JoinSet::new();
    for other in others.iter().copied().take(MAX_ASKED) {
        let peers = peers.clone();
        asked.spawn(async move {
            let request = PeerRequest::Probe(addr);
            peers.send(other, &request, PROBE_TIMEOUT).await
        });
    }
    let count = asked.len();
    let mut refused = 0;
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok(Ok(PeerReply::Probe(Listening::No))) => refused += 1,
            Ok(Ok(PeerReply::Probe(Listening::Yes | Listening::Unknown))) => return false,
            // A daemon that does not answer proves nothing.
            _ => {}
        }
    }
    refused >= MIN_CONFIRMING && refused * 4 >= count * 3
}

async fn perform<P: Platform>(platform: &P, action: Action) -> Event {
    match action {
        Action::Write(id, writes) => {
            let outcome = timeout(ORDER_TIMEOUT.into(), platform.write(writes)).await;
            Event::Written(id, outcome.unwrap_or(WriteOutcome::Unknown))
        }
        Action::ReadLease => loop {
            match platform.read(Table::Controller).await {
                Ok(rows) => return lease_event(&rows),
                Err(_) => sleep(READ_PAUSE).await,
            }
        },
        Action::ReadOwners => loop {
            match platform.read(Table::Owners).await {
                Ok(rows) => return Event::Owners(decode_owners(&rows.rows)),
                Err(_) => sleep(READ_PAUSE).await,
            }
        },
        Action::Grant(service, id, addr, order) => {
            let outcome = timeout(ORDER_TIMEOUT.into(), platform.grant(addr, order)).await;
            Event::Granted(service, id, outcome.unwrap_or(GrantOutcome::Unknown))
        }
        Action::Confirm(service, id, _) => Event::Confirmed(service, id, false),
        Action::Release(service, id, addr, keys, token) => {
            let released = timeout(RELEASE_TIMEOUT, platform.release(addr, keys, token)).await;
            Event::Released(service, id, released.unwrap_or(ReleaseOutcome::Unknown))
        }
    }
}

fn lease_event(rows: &Rows) -> Event {
    let Some(row) = rows.rows.first() else {
        return Event::Lease(0, None);
    };
    let lease = row.value.as_ref().and_then(|value| {
        LeaseRow::decode(value)
            .inspect_err(|e| log::error!(target: "ownership", error:% = e; "Lease row unreadable."))
            .ok()
    });
    Event::Lease(row.version, lease)
}

fn decode_owners(rows: &[StoredRow]) -> Vec<(ServiceName, u64, Owners)> {
    let decoded = rows.iter().filter_map(|row| {
        let value = row.value.as_ref()?;
        match Owners::decode(value) {
            Ok(owners) => Some((ServiceName(Arc::clone(&row.name)), row.version, owners)),
            Err(e) => {
                log::error!(target: "ownership", row:% = row.name, error:% = e;
                    "Owners unreadable.");
                None
            }
        }
    });
    decoded.collect()
}
