//! A simulated platform around several controllers: a store, endpoints with leases, and faults.

use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{Action, Controller, Event, RangeId},
        model::{EndpointEntry, EndpointInstance, KeyRange},
        owners::Owners,
        platform::{GrantOrder, GrantOutcome, ReleaseOutcome, RowWrite, Table, WriteOutcome},
        term::LeaseRow,
    },
    world::{Incarnation, ServiceName, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

const SERVICE: &str = "rounds";
const DAEMONS: usize = 3;
const ENDPOINTS: usize = 4;
const STEP: u64 = 20;
const TRACE_LENGTH: usize = 60;
/// Time after which the entry of a silent endpoint goes.
const ENTRY_AGE: u64 = 2_600;

struct Held {
    keys: KeyRange,
    token: u64,
    until: u64,
}

struct Endpoint {
    instance: EndpointInstance,
    addr: SocketAddr,
    up: bool,
    /// Whether it reaches the store; it serves without it.
    registers: bool,
    silent_since: u64,
    holds: Vec<Held>,
    seen: Vec<(KeyRange, u64)>,
}

struct Daemon {
    controller: Controller,
    run: Incarnation,
    up: bool,
    frozen_until: u64,
    reaches_store: bool,
    reaches_endpoints: bool,
    next_look: u64,
}

enum Later {
    Read(usize, Incarnation, Table),
    Tell(usize, Incarnation, Event),
    Commit(usize, Incarnation, u64, Vec<RowWrite>, bool),
    Grant(
        usize,
        Incarnation,
        ServiceName,
        RangeId,
        SocketAddr,
        GrantOrder,
        Fate,
    ),
    Release(
        usize,
        Incarnation,
        ServiceName,
        RangeId,
        SocketAddr,
        KeyRange,
        u64,
        Fate,
    ),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    AnswerLost,
    /// Carried out later, its time counted from its arrival.
    Late(u64),
    /// Carried out now by the run that it reached, which has this start.
    Kept(u64),
}

/// The simulated world.
pub struct World {
    rng: StdRng,
    now: u64,
    version: u64,
    rows: Map<(Table, Arc<str>), (u64, bytes::Bytes)>,
    store_up: bool,
    endpoints: Vec<Endpoint>,
    daemons: Vec<Daemon>,
    later: Vec<(u64, Later)>,
    runs: u64,
    is_healed: bool,
    /// The last orders and commits, which explain a violation.
    trace: VecDeque<String>,
    /// What went wrong first.
    pub violation: Option<String>,
}

impl World {
    /// A world whose faults are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            version: 1,
            rows: Map::default(),
            store_up: true,
            endpoints: Vec::new(),
            daemons: Vec::new(),
            later: Vec::new(),
            runs: 0,
            is_healed: false,
            trace: VecDeque::new(),
            violation: None,
        };
        for i in 0..ENDPOINTS {
            world.endpoints.push(Endpoint {
                instance: EndpointInstance {
                    name: format!("e{i}").into(),
                    started_at_ms: 1,
                },
                addr: SocketAddr::from(([10, 0, 0, i as u8 + 1], 80)),
                up: true,
                registers: true,
                silent_since: 0,
                holds: Vec::new(),
                seen: Vec::new(),
            });
        }
        for i in 0..DAEMONS {
            let daemon = world.new_daemon(i);
            world.daemons.push(daemon);
        }
        world
    }

    fn new_daemon(&mut self, i: usize) -> Daemon {
        self.runs += 1;
        let run = Incarnation(self.runs);
        let addr = SocketAddr::from(([10, 1, 0, i as u8 + 1], 70));
        let name = VmName(format!("d{i}").into());
        let jitter = Millis(i as u64 * 90);
        let mut controller = Controller::new(name, run, addr, Millis(10_000), jitter);
        controller.handle(Event::Services(vec![SERVICE.into()]), Millis(self.now));
        Daemon {
            controller,
            run,
            up: true,
            frozen_until: 0,
            reaches_store: true,
            reaches_endpoints: true,
            next_look: self.now,
        }
    }

    /// Plays `length` milliseconds, with a fault every `every` on average.
    pub fn play(&mut self, length: u64, every: u64) {
        let end = self.now + length;
        while self.now < end && self.violation.is_none() {
            self.now += STEP;
            if self.rng.random_range(0..every) < STEP {
                self.draw_fault();
            }
            self.deliver();
            for i in 0..DAEMONS {
                self.run_daemon(i);
            }
            self.check();
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.is_healed = true;
        self.store_up = true;
        for daemon in &mut self.daemons {
            daemon.reaches_store = true;
            daemon.reaches_endpoints = true;
        }
        for i in 0..DAEMONS {
            if !self.daemons[i].up {
                self.restart_daemon(i);
            }
        }
        for i in 0..ENDPOINTS {
            self.endpoints[i].registers = true;
            if !self.endpoints[i].up {
                self.restart_endpoint(i);
            }
        }
    }

    /// Keys that some endpoint holds now.
    pub fn held_keys(&self) -> u32 {
        let live = self.endpoints.iter().filter(|e| e.up);
        let holds = live.flat_map(|e| e.holds.iter().filter(|h| h.until > self.now));
        holds.map(|h| h.keys.len()).sum()
    }

    fn note(&mut self, what: String) {
        if self.trace.len() == TRACE_LENGTH {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{} ms: {what}", self.now));
    }

    /// The violation, and the last orders and commits, a line each.
    pub fn report(&self, seed: u64) -> String {
        let trace: String = self.trace.iter().map(|line| format!("{line}\n")).collect();
        format!("seed {seed}: {:?}\n{trace}", self.violation)
    }

    fn draw_fault(&mut self) {
        let (d, e) = (
            self.rng.random_range(0..DAEMONS),
            self.rng.random_range(0..ENDPOINTS),
        );
        match self.rng.random_range(0..9) {
            0 => self.store_up = !self.store_up,
            1 => self.daemons[d].reaches_store = !self.daemons[d].reaches_store,
            2 => self.daemons[d].reaches_endpoints = !self.daemons[d].reaches_endpoints,
            3 => self.daemons[d].frozen_until = self.now + self.rng.random_range(500..9_000),
            4 if self.daemons[d].up => self.daemons[d].up = false,
            4 => self.restart_daemon(d),
            5 if self.endpoints[e].up => {
                self.endpoints[e].up = false;
                self.endpoints[e].silent_since = self.now;
            }
            5 => self.restart_endpoint(e),
            6 => {
                let endpoint = &mut self.endpoints[e];
                endpoint.registers = !endpoint.registers;
                endpoint.silent_since = self.now;
            }
            // The daemon that acts is hit most often in life.
            7 => {
                if let Some(i) = (0..DAEMONS).find(|i| self.acts(*i)) {
                    self.daemons[i].reaches_store = false;
                }
            }
            _ => {
                if let Some(i) = (0..DAEMONS).find(|i| self.acts(*i)) {
                    self.daemons[i].up = false;
                }
            }
        }
    }

    fn acts(&self, i: usize) -> bool {
        self.daemons[i].up && self.daemons[i].controller.term().may_act(Millis(self.now))
    }

    fn restart_daemon(&mut self, i: usize) {
        let former = self.daemons[i].run;
        self.note(format!("d{i} starts again"));
        self.daemons[i] = self.new_daemon(i);
        for other in 0..DAEMONS {
            let run = self.daemons[other].run;
            let at = self.now + self.rng.random_range(50..2_000);
            self.later
                .push((at, Later::Tell(other, run, Event::RunEnded(former))));
        }
    }

    fn restart_endpoint(&mut self, i: usize) {
        self.note(format!("e{i} starts again"));
        let endpoint = &mut self.endpoints[i];
        endpoint.up = true;
        endpoint.registers = true;
        endpoint.instance.started_at_ms += 1;
        endpoint.holds.clear();
        endpoint.seen.clear();
    }

    fn entries(&self) -> Vec<EndpointEntry> {
        let registered = self.endpoints.iter().filter(|e| {
            (e.up && e.registers) || self.now.saturating_sub(e.silent_since) < ENTRY_AGE
        });
        let entry = |e: &Endpoint| EndpointEntry {
            instance: e.instance.clone(),
            service: SERVICE.into(),
            addr: e.addr,
            zone: "a".into(),
            slots: 4,
            draining: false,
            remaining_warmup: Millis::ZERO,
        };
        registered.map(entry).collect()
    }

    fn run_daemon(&mut self, i: usize) {
        if !self.daemons[i].up || self.now < self.daemons[i].frozen_until {
            return;
        }
        let now = Millis(self.now);
        let store = self.store_up && self.daemons[i].reaches_store;
        if store && self.now >= self.daemons[i].next_look {
            self.daemons[i].next_look = self.now + 250;
            let (lease, entries) = (self.lease(), self.entries());
            let controller = &mut self.daemons[i].controller;
            controller.handle(lease, now);
            controller.handle(Event::Endpoints(entries), now);
        }
        for action in self.daemons[i].controller.step(&Map::default(), now) {
            self.carry_out(i, action);
        }
    }

    fn lease(&self) -> Event {
        let row = self.rows.iter().find(|((t, _), _)| *t == Table::Controller);
        row.map_or(Event::Lease(0, None), |(_, (version, value))| {
            Event::Lease(*version, LeaseRow::decode(value).ok())
        })
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        let run = self.daemons[i].run;
        let store = self.store_up && self.daemons[i].reaches_store;
        let soon = self.now + self.rng.random_range(1..30);
        let fate = match self.rng.random_range(0..20) {
            _ if self.is_healed => Fate::Answered,
            0 => Fate::AnswerLost,
            1 => Fate::Late(self.rng.random_range(500..12_000)),
            _ => Fate::Answered,
        };
        let later = match action {
            Action::Write(id, writes) if store => {
                let at = match fate {
                    Fate::Late(after) => self.now + after / 2,
                    _ => soon,
                };
                if fate != Fate::Answered {
                    let lost = Event::Written(id, WriteOutcome::Unknown);
                    self.later.push((self.now + 800, Later::Tell(i, run, lost)));
                }
                (
                    at,
                    Later::Commit(i, run, id, writes, fate == Fate::Answered),
                )
            }
            Action::Write(id, _) => {
                let refused = Event::Written(id, WriteOutcome::Refused);
                (soon, Later::Tell(i, run, refused))
            }
            Action::ReadLease => (soon, Later::Read(i, run, Table::Controller)),
            Action::ReadOwners => (soon, Later::Read(i, run, Table::Owners)),
            Action::Grant(service, id, addr, order) => {
                if !self.daemons[i].reaches_endpoints {
                    let event = Event::Granted(service, id, GrantOutcome::NotSent);
                    (soon, Later::Tell(i, run, event))
                } else {
                    (soon, Later::Grant(i, run, service, id, addr, order, fate))
                }
            }
            Action::Release(service, id, addr, keys, token) => {
                if !self.daemons[i].reaches_endpoints {
                    let event = Event::Released(service, id, ReleaseOutcome::Unknown);
                    (soon, Later::Tell(i, run, event))
                } else {
                    (
                        soon,
                        Later::Release(i, run, service, id, addr, keys, token, fate),
                    )
                }
            }
            Action::Confirm(service, id, addr) => {
                let gone = !self.endpoints.iter().any(|e| e.up && e.addr == addr);
                (
                    soon,
                    Later::Tell(i, run, Event::Confirmed(service, id, gone)),
                )
            }
        };
        self.later.push(later);
    }

    fn owners(&self) -> Event {
        let rows = self.rows.iter().filter(|((t, _), _)| *t == Table::Owners);
        let decoded = rows.map(|((_, name), (version, value))| {
            let owners = Owners::decode(value).expect("rows are valid");
            (ServiceName(Arc::clone(name)), *version, owners)
        });
        Event::Owners(decoded.collect())
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        let mut due: Vec<(u64, Later)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, later) in due {
            self.deliver_one(later);
        }
    }

    fn deliver_one(&mut self, later: Later) {
        match later {
            Later::Tell(i, run, event) => self.tell(i, run, event),
            Later::Read(i, run, table) => {
                let reached = self.store_up && self.daemons[i].reaches_store;
                if !reached {
                    // The read is tried again until the store answers.
                    let again = Later::Read(i, run, table);
                    self.later.push((self.now + 100, again));
                } else if table == Table::Controller {
                    self.tell(i, run, self.lease());
                } else {
                    self.tell(i, run, self.owners());
                }
            }
            Later::Commit(i, run, id, writes, answered) => {
                let outcome = self.commit(&writes);
                self.note(format!(
                    "{run:?} of d{i} writes {} rows: {outcome:?}",
                    writes.len()
                ));
                if answered {
                    self.tell(i, run, Event::Written(id, outcome));
                }
            }
            Later::Grant(i, run, service, id, addr, order, fate) => {
                let outcome = self.grant(addr, &order, fate);
                let (first, last, token) = (order.keys.first, order.keys.last, order.token);
                self.note(format!(
                    "{run:?} grants {first}-{last} to {addr}, token {token}: {outcome:?}, {fate:?}"
                ));
                if let Some(outcome) = outcome {
                    self.tell(i, run, Event::Granted(service, id, outcome));
                } else {
                    let event = Event::Granted(service, id, GrantOutcome::Unknown);
                    self.later
                        .push((self.now + 800, Later::Tell(i, run, event)));
                }
            }
            Later::Release(i, run, service, id, addr, keys, token, fate) => {
                self.note(format!(
                    "{run:?} releases {}-{} at {addr}, token {token}: {fate:?}",
                    keys.first, keys.last
                ));
                let outcome = match self.release(addr, keys) {
                    Some(()) if fate == Fate::Answered => ReleaseOutcome::Released(None),
                    None => ReleaseOutcome::ConnectionRefused,
                    Some(()) => ReleaseOutcome::Unknown,
                };
                self.tell(i, run, Event::Released(service, id, outcome));
            }
        }
    }

    /// Events of a frozen daemon wait; those of an ended run reach nobody.
    fn tell(&mut self, i: usize, run: Incarnation, event: Event) {
        let Some(daemon) = self.daemons.get_mut(i) else {
            return;
        };
        if !daemon.up || daemon.run != run {
            return;
        }
        if self.now < daemon.frozen_until {
            let at = daemon.frozen_until + STEP;
            self.later.push((at, Later::Tell(i, run, event)));
            return;
        }
        daemon.controller.handle(event, Millis(self.now));
    }

    fn commit(&mut self, writes: &[RowWrite]) -> WriteOutcome {
        let holds = writes.iter().all(|write| {
            let present = self.rows.get(&(write.table, Arc::clone(&write.name)));
            let version = present.map_or(0, |(version, _)| *version);
            write.expected.is_none_or(|expected| expected == version)
        });
        if !holds {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        for write in writes {
            let value = write.value.clone().expect("rows are never removed");
            let row = (write.table, Arc::clone(&write.name));
            self.rows.insert(row, (self.version, value));
        }
        WriteOutcome::Committed(self.version)
    }

    fn grant(&mut self, addr: SocketAddr, order: &GrantOrder, fate: Fate) -> Option<GrantOutcome> {
        let now = self.now;
        let reached = self.endpoints.iter().find(|e| e.up && e.addr == addr);
        let started_at_ms = reached.map_or(0, |e| e.instance.started_at_ms);
        // An order that a run has left undone ends with the run.
        if matches!(fate, Fate::Kept(born) if born != started_at_ms) {
            return None;
        }
        if let Fate::Late(after) = fate {
            // Its lease counts from now, and it is carried out later, if it still may be.
            let mut order = order.clone();
            order.lease = Millis(order.lease.0.saturating_sub(after));
            let unheard = Later::Grant(
                usize::MAX,
                Incarnation(0),
                SERVICE.into(),
                RangeId(0),
                addr,
                order,
                Fate::Kept(started_at_ms),
            );
            self.later.push((now + after, unheard));
            return None;
        }
        let Some(endpoint) = self.endpoints.iter_mut().find(|e| e.up && e.addr == addr) else {
            return Some(GrantOutcome::NotSent);
        };
        let fenced = endpoint
            .seen
            .iter()
            .any(|(keys, token)| keys.overlaps(order.keys) && *token > order.token);
        if fenced {
            return (fate == Fate::Answered).then_some(GrantOutcome::Fenced);
        }
        let until = now + order.lease.plus_percent(2).0;
        let is_older = endpoint
            .holds
            .iter()
            .any(|h| h.keys == order.keys && h.token == order.token && h.until >= until);
        if !is_older {
            endpoint.drop_keys(order.keys);
            endpoint.holds.push(Held {
                keys: order.keys,
                token: order.token,
                until,
            });
        }
        endpoint.seen.push((order.keys, order.token));
        (fate == Fate::Answered).then_some(GrantOutcome::Granted)
    }

    fn release(&mut self, addr: SocketAddr, keys: KeyRange) -> Option<()> {
        let endpoint = self.endpoints.iter_mut().find(|e| e.up && e.addr == addr)?;
        // Nothing promises that a release fences grants that are applied after it.
        endpoint.drop_keys(keys);
        Some(())
    }

    /// No key is held by two endpoints that are up.
    fn check(&mut self) {
        let now = self.now;
        for (i, one) in self.endpoints.iter().enumerate() {
            for other in self.endpoints.iter().skip(i + 1) {
                let both = one.holds.iter().any(|a| {
                    let live = |h: &&Held| h.until > now;
                    let overlapping = |b: &Held| a.until > now && a.keys.overlaps(b.keys);
                    other.holds.iter().filter(live).any(overlapping)
                });
                if both && one.up && other.up {
                    let (a, b) = (&one.instance.name, &other.instance.name);
                    self.violation = Some(format!("{a} and {b} hold the same keys at {now} ms"));
                }
            }
        }
    }
}

impl Endpoint {
    fn drop_keys(&mut self, keys: KeyRange) {
        let mut kept = Vec::new();
        for held in self.holds.drain(..) {
            if !held.keys.overlaps(keys) {
                kept.push(held);
                continue;
            }
            let (token, until) = (held.token, held.until);
            if held.keys.first < keys.first {
                let keys = KeyRange {
                    first: held.keys.first,
                    last: keys.first - 1,
                };
                kept.push(Held { keys, token, until });
            }
            if held.keys.last > keys.last {
                let keys = KeyRange {
                    first: keys.last + 1,
                    last: held.keys.last,
                };
                kept.push(Held { keys, token, until });
            }
        }
        self.holds = kept;
    }
}
