//! A deterministic run of the pure ownership machines: daemons, targets and a store that exchange
//! messages in simulated time, with delays, losses, duplicates, pauses and cuts.
//!
//! Every clock has its own origin and rate. After every grant that a target takes, and after every
//! commit, the guarantees are checked.

#[path = "ownership_world/grants.rs"]
mod grants;
#[path = "ownership_world/store.rs"]
mod store;

use fireflygauge::{
    clock::Millis,
    collections::Map,
    declaration::Weights,
    ownership::{
        cluster_view::{ClusterView, TargetView},
        controller::{Action, Controller, Event},
        lease::LeaseHolder,
        timing::{GRANT_TIMEOUT, READ_TIMEOUT},
    },
    partition::Partition,
    peer::message::{HoldReply, HoldRequest},
    store::{Row, StoreError, Transaction},
    target_api::GrantRequest,
    world::{GroupId, Incarnation, Link, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub const DAEMONS: usize = 4;
pub const TARGETS: usize = 3;
pub const PARTITIONS: u32 = 12;
pub const HOLD_MS: u64 = 9_000;
const TICK: u64 = 20;
const STORE_TIMEOUT: u64 = 400;
/// Time that the platform's list of VMs lags behind.
const LIST_LAG: u64 = 700;

/// Something that goes wrong at one time and ends at a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    PauseDaemon(usize),
    CrashDaemon(usize),
    StopDaemon(usize),
    PauseTarget(usize),
    CrashTarget(usize),
    LeaveTarget(usize),
    StoreDown,
    CutStore(usize),
    CutGrants(usize, usize),
    CutDaemons(usize),
    /// Grants to a target arrive when the fault ends; contacts are lost.
    DelayGrants(usize),
}

/// Probabilities and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    pub loss: f64,
    pub duplicate: f64,
    pub late: f64,
    pub stale: f64,
}

impl Noise {
    pub const NONE: Self = Self {
        loss: 0.0,
        duplicate: 0.0,
        late: 0.0,
        stale: 0.0,
    };
}

enum What {
    Tick(usize),
    Deliver(usize, u64, Event),
    Commit(usize, u64, Arc<str>, Transaction),
    ReadRow(usize, u64),
    ReadAll(usize, u64),
    Grant(usize, u64, Receiver, GrantRequest),
    Hold(usize, u64, usize, HoldRequest),
    Begin(Fault),
    End(Fault),
    List,
}

/// Who takes the grant for a target: the target itself, or a daemon in place of it.
#[derive(Clone)]
struct Receiver {
    target: VmName,
    front: Option<usize>,
}

struct Clock {
    offset: u64,
    /// Rate in thousandths.
    rate: u64,
}

impl Clock {
    fn at(&self, now: u64) -> Millis {
        Millis(self.offset + now * self.rate / 1_000)
    }
}

struct Daemon {
    link: Link,
    clock: Clock,
    controller: Controller,
    run: u64,
    /// Leases held in place of targets.
    fronts: BTreeMap<VmName, LeaseHolder>,
}

struct Target {
    name: VmName,
    clock: Clock,
    holder: LeaseHolder,
}

pub struct World {
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), What>,
    rng: StdRng,
    noise: Noise,
    group: GroupId,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    rows: Map<Arc<str>, Vec<Row>>,
    /// Whether daemons hold the leases in place of the targets.
    fronted: bool,
    /// Time that every exchange with the store takes in addition.
    pub store_delay: u64,
    active: BTreeSet<Fault>,
    listed: BTreeSet<usize>,
    runs: u64,
    /// Owner of each partition under each ownership epoch, as committed.
    committed: BTreeMap<(u32, u64), VmName>,
    latest: BTreeMap<u32, u64>,
    pub moves: u64,
    pub holds: u64,
    pub takeovers: u64,
    pub violations: Vec<String>,
    pub trace: Option<Vec<String>>,
}

impl World {
    pub fn new(seed: u64, noise: Noise) -> Self {
        let group = GroupId {
            service: "rounds".into(),
            index: 0,
        };
        let mut world = Self {
            now: 1_000,
            order: 0,
            queue: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            noise,
            group,
            daemons: Vec::new(),
            targets: Vec::new(),
            rows: Map::default(),
            fronted: false,
            store_delay: 0,
            active: BTreeSet::new(),
            listed: (0..TARGETS).collect(),
            runs: 0,
            committed: BTreeMap::new(),
            latest: BTreeMap::new(),
            moves: 0,
            holds: 0,
            takeovers: 0,
            violations: Vec::new(),
            trace: None,
        };
        for i in 0..DAEMONS {
            let daemon = world.new_daemon(i);
            world.daemons.push(daemon);
            world.push(1 + i as u64, What::Tick(i));
        }
        for i in 0..TARGETS {
            let target = world.new_target(i);
            world.targets.push(target);
        }
        world.push(0, What::List);
        world
    }

    /// A world whose targets do not check grants.
    pub fn fronted(seed: u64, noise: Noise) -> Self {
        Self {
            fronted: true,
            ..Self::new(seed, noise)
        }
    }

    /// Plans a fault from `at` (after the start) for `length`.
    pub fn plan(&mut self, fault: Fault, at: u64, length: u64) {
        self.push(at, What::Begin(fault));
        self.push(at + length, What::End(fault));
    }

    /// Runs for `length` or until a guarantee is broken.
    pub fn run(&mut self, length: u64) {
        let end = self.now + length;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end || !self.violations.is_empty() {
                break;
            }
            let ((at, _), what) = self.queue.pop_first().expect("the queue is not empty");
            self.now = at;
            self.step(what);
        }
        self.now = end;
    }

    /// Runs until `done` or for at most `limit`; returns the time that it took.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(5);
        }
        None
    }

    /// Number of partitions that some target admits now.
    pub fn served(&self) -> usize {
        let admitted = |p: &u32| !self.admitting(*p).is_empty();
        (0..PARTITIONS).filter(admitted).count()
    }

    pub fn is_served(&self) -> bool {
        self.served() == PARTITIONS as usize
    }

    /// Targets that admit `partition` now under some epoch.
    pub fn admitting(&self, partition: u32) -> Vec<(VmName, u64)> {
        let p = Partition(partition);
        let mut found = Vec::new();
        for (i, target) in self.targets.iter().enumerate() {
            let Some(&epoch) = target.holder.owned().get(&p) else {
                continue;
            };
            let now = target.clock.at(self.now);
            let alive = !self.active.contains(&Fault::CrashTarget(i));
            if alive && target.holder.admit(p, epoch, now).is_ok() {
                found.push((target.name.clone(), epoch));
            }
        }
        for (i, daemon) in self.daemons.iter().enumerate() {
            let now = daemon.clock.at(self.now);
            let alive = !self.active.contains(&Fault::CrashDaemon(i));
            for (name, holder) in daemon.fronts.iter().filter(|_| alive) {
                let epoch = holder.owned().get(&p);
                let admitted = |e: &&u64| holder.admit(p, **e, now).is_ok();
                found.extend(epoch.filter(admitted).map(|&e| (name.clone(), e)));
            }
        }
        found
    }

    /// Index of the daemon whose controller holds the lease.
    pub fn holder(&self) -> Option<usize> {
        (0..DAEMONS).find(|&i| {
            let daemon = &self.daemons[i];
            self.is_up(i) && daemon.controller.is_holder(daemon.clock.at(self.now))
        })
    }

    pub fn controller(&self, i: usize) -> &Controller {
        &self.daemons[i].controller
    }

    pub fn target(&mut self, i: usize) -> (&mut LeaseHolder, Millis) {
        let target = &mut self.targets[i];
        (&mut target.holder, target.clock.at(self.now))
    }

    pub fn daemon_time(&self, i: usize) -> Millis {
        self.daemons[i].clock.at(self.now)
    }

    /// Number of partitions that target `i` owns according to the store.
    pub fn owned_in_rows(&self, i: usize) -> usize {
        let name = &self.targets[i].name;
        self.latest
            .iter()
            .filter(|(p, epoch)| self.committed.get(&(**p, **epoch)) == Some(name))
            .count()
    }

    fn new_run(&mut self) -> Incarnation {
        self.runs += 1;
        Incarnation(self.runs)
    }

    fn new_clock(&mut self) -> Clock {
        Clock {
            offset: self.rng.random_range(0..50_000),
            rate: self.rng.random_range(977..=1_023),
        }
    }

    fn new_daemon(&mut self, i: usize) -> Daemon {
        let incarnation = self.new_run();
        let link = Link {
            name: format!("entry-{i}").as_str().into(),
            incarnation,
            zone: format!("z{}", i % 3).as_str().into(),
            peer_addr: ([127, 0, 0, 1], 7_000 + i as u16).into(),
        };
        let controller = Controller::new(link.clone(), self.group.clone(), PARTITIONS);
        Daemon {
            clock: self.new_clock(),
            controller,
            run: incarnation.0,
            fronts: BTreeMap::new(),
            link,
        }
    }

    fn new_target(&mut self, i: usize) -> Target {
        let incarnation = self.new_run();
        Target {
            name: format!("target-{i}").as_str().into(),
            clock: self.new_clock(),
            holder: LeaseHolder::new(incarnation),
        }
    }

    fn push(&mut self, delay: u64, what: What) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), what);
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(self.noise.late) {
            self.rng.random_range(50..2_500)
        } else {
            self.rng.random_range(1..4)
        }
    }

    fn loses(&mut self) -> bool {
        let loss = self.noise.loss;
        self.rng.random_bool(loss)
    }

    fn copies(&mut self) -> usize {
        let duplicate = self.noise.duplicate;
        1 + usize::from(self.rng.random_bool(duplicate))
    }

    fn is(&self, fault: Fault) -> bool {
        self.active.contains(&fault)
    }

    fn is_up(&self, i: usize) -> bool {
        !self.is(Fault::CrashDaemon(i)) && !self.is(Fault::PauseDaemon(i))
    }

    fn step(&mut self, what: What) {
        match what {
            What::Tick(i) => {
                self.push(TICK, What::Tick(i));
                let run = self.daemons[i].run;
                if self.is_up(i) {
                    self.deliver(i, run, Event::Tick);
                }
            }
            What::Deliver(i, run, event) => self.deliver(i, run, event),
            What::Commit(i, run, operation, transaction) => {
                self.commit(i, run, operation, &transaction);
            }
            What::ReadRow(i, run) => {
                let row = self.read("group/rounds/0");
                let delay = self.delay();
                self.push(delay, What::Deliver(i, run, Event::RowRead(Ok(row))));
            }
            What::ReadAll(i, run) => {
                let row = self.read("assign/rounds/0/0");
                let event = Event::AssignmentsRead(Ok(row.into_iter().collect()));
                let delay = self.delay();
                self.push(delay, What::Deliver(i, run, event));
            }
            What::Grant(i, run, to, request) => self.grant(i, run, to, request),
            What::Hold(i, run, to, request) => self.hold(i, run, to, &request),
            What::Begin(fault) => self.begin(fault),
            What::End(fault) => self.end(fault),
            What::List => {
                self.push(200, What::List);
                self.send_cluster_view();
            }
        }
    }

    fn deliver(&mut self, i: usize, run: u64, event: Event) {
        if self.is(Fault::CrashDaemon(i)) || self.daemons[i].run != run {
            return;
        }
        if self.is(Fault::PauseDaemon(i)) {
            self.push(10, What::Deliver(i, run, event));
            return;
        }
        let daemon = &mut self.daemons[i];
        let actions = daemon.controller.handle(event, daemon.clock.at(self.now));
        for action in actions {
            self.act(i, run, action);
        }
    }

    fn act(&mut self, i: usize, run: u64, action: Action) {
        match action {
            Action::ReadRow => {
                let failed = Event::RowRead(Err(StoreError::Unavailable("no answer".into())));
                self.send_to_store(i, run, READ_TIMEOUT.0, failed, What::ReadRow(i, run));
            }
            Action::ReadAssignments => {
                let error = StoreError::Unavailable("no answer".into());
                let failed = Event::AssignmentsRead(Err(error));
                self.send_to_store(i, run, STORE_TIMEOUT, failed, What::ReadAll(i, run));
            }
            Action::Commit {
                operation,
                transaction,
            } => self.send_commit(i, run, operation, transaction),
            Action::Grant {
                target, request, ..
            } => {
                let front = None;
                self.send_grant(i, run, Receiver { target, front }, request);
            }
            Action::GrantFront {
                front,
                target,
                request,
            } => {
                let found = self.daemons.iter().position(|d| d.link.name == front.name);
                let front = Some(found.expect("the front is a daemon"));
                self.send_grant(i, run, Receiver { target, front }, request);
            }
            Action::RequestHold { to, request } => {
                let to = self.daemons.iter().position(|d| d.link.name == to.name);
                if let Some(to) = to.filter(|_| !self.loses()) {
                    let delay = self.delay();
                    self.push(delay, What::Hold(i, run, to, request));
                }
            }
            Action::Publish(table) => self.check_table(&table.owners),
            Action::Log(level, line) => self.log(i, level, &line),
        }
    }

    fn log(&mut self, i: usize, level: log::Level, line: &str) {
        self.takeovers += u64::from(line.starts_with("Took over"));
        self.holds += u64::from(line.starts_with("Hold mode entered"));
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{} entry-{i} {level} {line}", self.now));
        }
    }

    fn hold(&mut self, i: usize, run: u64, to: usize, request: &HoldRequest) {
        let cut = self.is(Fault::CutDaemons(i)) || self.is(Fault::CutDaemons(to));
        if !self.is_up(to) || cut || self.loses() {
            return;
        }
        let reply: HoldReply = self.daemons[to].controller.answer_hold(request);
        let delay = self.delay();
        self.push(delay, What::Deliver(i, run, Event::HoldAnswered(reply)));
    }

    fn begin(&mut self, fault: Fault) {
        self.active.insert(fault);
        match fault {
            Fault::StopDaemon(i) => self.daemons[i].controller.stop(),
            Fault::LeaveTarget(t) => self.targets[t].holder.set_leaving(true),
            _ => {}
        }
    }

    fn end(&mut self, fault: Fault) {
        if !self.active.remove(&fault) {
            return;
        }
        match fault {
            Fault::CrashDaemon(i) | Fault::StopDaemon(i) => {
                self.daemons[i] = self.new_daemon(i);
                self.send_cluster_view();
            }
            Fault::CrashTarget(t) => self.targets[t] = self.new_target(t),
            Fault::LeaveTarget(t) => self.targets[t].holder.set_leaving(false),
            _ => {}
        }
    }

    /// Tells every daemon which VMs there are; the list lags, so it may name lost ones.
    fn send_cluster_view(&mut self) {
        let members: Vec<Link> = (0..DAEMONS)
            .filter(|&i| self.is_up(i) && !self.is(Fault::StopDaemon(i)))
            .map(|i| self.daemons[i].link.clone())
            .collect();
        let targets = self
            .listed
            .iter()
            .map(|&t| {
                let target_view = TargetView {
                    zone: format!("z{}", t % 3).as_str().into(),
                    addr: ([127, 0, 0, 1], 8_000 + t as u16).into(),
                    leaving: false,
                };
                (self.targets[t].name.clone(), target_view)
            })
            .collect();
        let view = ClusterView {
            targets,
            checks_grants: !self.fronted,
            members,
            standbys: Vec::new(),
            hold_ms: HOLD_MS,
            weights: Weights::default(),
            moves_per_minute: 600,
            quiet: false,
        };
        for i in 0..DAEMONS {
            let mut view = view.clone();
            view.members.retain(|m| m.name != self.daemons[i].link.name);
            let run = self.daemons[i].run;
            let lag = self.rng.random_range(1..LIST_LAG);
            self.push(lag, What::Deliver(i, run, Event::ClusterChanged(view)));
        }
    }
}
