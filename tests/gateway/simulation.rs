//! A deterministic simulation of several controllers with a store, endpoints that hold leases, and
//! faults. It detects keys that two endpoints hold at once, and keys that another life takes
//! without a higher fencing token.

mod commands;
mod endpoint;
mod evacuations;
mod faults;
mod restoration;
mod schedule;
mod store;
mod token_history;
mod wide;

use super::lives::service;
use endpoint::{Endpoint, KeyLease, SERVICE};
use fireflygauge::{
    clock::Millis,
    collections::{Map, Set},
    gateway::{
        controller::{Controller, Event},
        model::{EndpointEntry, EndpointInstance},
        owners::Owners,
        platform::Table,
        store_version::store_version,
    },
    world::{Incarnation, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use restoration::Copies;
use schedule::Scheduled;
use std::{collections::VecDeque, net::SocketAddr, sync::Arc};
use token_history::TokenHistory;
use wide::Wide;

const DAEMONS: usize = 3;
const ENDPOINTS: usize = 4;
/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 20;
const TRACE_LENGTH: usize = 60;

struct Daemon {
    controller: Controller,
    incarnation: Incarnation,
    up: bool,
    frozen_until: u64,
    reaches_store: bool,
    reaches_endpoints: bool,
    next_read_at: u64,
    /// The lives to which connections for grants are kept, by address.
    kept: Map<SocketAddr, EndpointInstance>,
    /// Addresses to which it cannot connect, although other daemons can.
    cut_off: Set<SocketAddr>,
    /// Age of the endpoints that it sees, in milliseconds.
    registry_lag: u64,
    /// The latest owners that it has heard of.
    known_owners: Option<Owners>,
    /// When each other daemon last reported to it.
    reports: Map<usize, u64>,
}

/// State of the simulated deployment. All times are in milliseconds.
pub struct Simulation {
    rng: StdRng,
    now: u64,
    version: u64,
    rows: Map<(Table, Arc<str>), (u64, bytes::Bytes)>,
    copies: Copies,
    store_up: bool,
    endpoints: Vec<Endpoint>,
    daemons: Vec<Daemon>,
    scheduled: Vec<(u64, Scheduled)>,
    incarnations: u64,
    faults_ended: bool,
    /// Mean interval between crashes of endpoints that are back within 3 s, in milliseconds.
    crash_interval: u64,
    /// Mean interval between changes of the evacuated zones that a daemon knows, in milliseconds.
    evacuation_interval: u64,
    /// Whether two endpoints crash together, and each starts again under the name of the other.
    swaps_names: bool,
    /// Faults and changes beyond the usual ones, if there are any.
    wide: Option<Wide>,
    tokens: TokenHistory,
    /// Width of the sequence of the controllers' tokens, if it is not the usual one.
    token_bits: Option<u32>,
    /// The last commands and commits, to explain a violation.
    trace: VecDeque<String>,
    /// The first violation.
    pub violation: Option<String>,
}

impl Simulation {
    /// A simulation whose random choices derive from `seed`.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            // Stores with restorations count their eras from 1.
            version: store_version(1, 1),
            rows: Map::default(),
            copies: Copies::default(),
            store_up: true,
            endpoints: Vec::new(),
            daemons: Vec::new(),
            scheduled: Vec::new(),
            incarnations: 0,
            faults_ended: false,
            crash_interval: u64::MAX,
            evacuation_interval: u64::MAX,
            swaps_names: false,
            wide: None,
            tokens: TokenHistory::default(),
            token_bits: None,
            trace: VecDeque::new(),
            violation: None,
        };
        world.endpoints.extend((0..ENDPOINTS).map(Endpoint::new));
        for i in 0..DAEMONS {
            let daemon = world.new_daemon(i);
            world.daemons.push(daemon);
        }
        world
    }

    fn new_daemon(&mut self, i: usize) -> Daemon {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let addr = SocketAddr::from(([10, 1, 0, i as u8 + 1], 70));
        let name = VmName(format!("d{i}").into());
        let jitter = Millis(i as u64 * 90);
        let mut controller = Controller::new(name, incarnation, addr, Millis(10_000), jitter);
        if let Some(bits) = self.token_bits {
            controller = controller.with_token_sequence(bits);
        }
        controller.handle(
            Event::Services(vec![service(SERVICE, true)]),
            Millis(self.now),
        );
        Daemon {
            controller,
            incarnation,
            up: true,
            frozen_until: 0,
            reaches_store: true,
            reaches_endpoints: true,
            next_read_at: self.now,
            kept: Map::default(),
            cut_off: Set::default(),
            registry_lag: 0,
            known_owners: None,
            reports: Map::default(),
        }
    }

    /// Lets an endpoint crash every `interval` milliseconds on average, and another life start at
    /// its address after 0.1 to 3 s.
    pub fn crash_endpoints_every(&mut self, interval: u64) {
        self.crash_interval = interval;
    }

    /// Lets endpoints crash in pairs, and start again under the name of each other.
    pub fn swap_names(&mut self) {
        self.swaps_names = true;
    }

    /// Lets all controllers use tokens with a sequence of `bits`.
    pub fn use_token_sequence(&mut self, bits: u32) {
        self.token_bits = Some(bits);
        for i in 0..DAEMONS {
            self.daemons[i] = self.new_daemon(i);
        }
    }

    /// Simulates `duration` milliseconds, with a fault every `fault_interval` milliseconds on
    /// average.
    pub fn simulate(&mut self, duration: u64, fault_interval: u64) {
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() {
            self.now += STEP_MS;
            if self.rng.random_range(0..fault_interval) < STEP_MS {
                self.inject_fault();
            }
            if self.rng.random_range(0..self.crash_interval) < STEP_MS {
                self.crash_shortly();
            }
            self.step_wide(fault_interval);
            self.step_evacuations();
            self.step_copies();
            self.restart_endpoints();
            self.run_scheduled();
            for i in 0..DAEMONS {
                self.run_daemon(i);
            }
            self.check_owners();
        }
    }

    /// Ends all faults, and restarts what is down.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        self.end_load();
        self.end_restorations();
        self.end_evacuations();
        self.crash_interval = u64::MAX;
        self.store_up = true;
        for daemon in &mut self.daemons {
            daemon.reaches_store = true;
            daemon.reaches_endpoints = true;
            daemon.cut_off.clear();
            daemon.registry_lag = 0;
        }
        for i in 0..DAEMONS {
            if !self.daemons[i].up {
                self.restart_daemon(i);
            }
        }
        for i in 0..ENDPOINTS {
            self.endpoints[i].registers = true;
            if !self.endpoints[i].up {
                self.restart_endpoint(i, None, 0);
            }
        }
    }

    /// Number of keys that some endpoint holds now.
    pub fn held_keys(&self) -> u32 {
        let live = self.endpoints.iter().filter(|e| e.up);
        let leases = live.flat_map(|e| e.leases.iter().filter(|l| l.until > self.now));
        leases.map(|l| l.keys.len()).sum()
    }

    fn trace(&mut self, what: String) {
        if self.trace.len() == TRACE_LENGTH {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{} ms: {what}", self.now));
    }

    /// The violation, and the last commands and commits, one per line.
    pub fn report(&self, seed: u64) -> String {
        let trace: String = self.trace.iter().map(|line| format!("{line}\n")).collect();
        format!("seed {seed}: {:?}\n{trace}", self.violation)
    }

    fn entries(&self) -> Vec<EndpointEntry> {
        let endpoints = self.endpoints.iter();
        let mut entries: Vec<EndpointEntry> = endpoints.flat_map(|e| e.entries(self.now)).collect();
        if self.swaps_names {
            // A name has one row, which its latest life wrote.
            entries.sort_by_key(|e| e.instance.started_at_ms);
            let latest: Map<Arc<str>, u64> = entries
                .iter()
                .map(|e| (Arc::clone(&e.instance.name), e.instance.started_at_ms))
                .collect();
            entries.retain(|e| latest[&e.instance.name] == e.instance.started_at_ms);
        }
        entries
    }

    fn run_daemon(&mut self, i: usize) {
        if !self.daemons[i].up || self.now < self.daemons[i].frozen_until {
            return;
        }
        self.learn_owners(i);
        let now = Millis(self.now);
        let store = self.store_up && self.daemons[i].reaches_store;
        if store && self.now >= self.daemons[i].next_read_at {
            self.daemons[i].next_read_at = self.now + 250;
            let (lease, entries) = (self.lease(), self.entries_seen_by(i));
            let controller = &mut self.daemons[i].controller;
            controller.handle(lease, now);
            controller.handle(Event::Endpoints(entries), now);
        }
        self.receive_reports(i);
        let stats = self.wide.as_ref().map(Wide::stats);
        let controller = &mut self.daemons[i].controller;
        let actions = controller.step(stats.unwrap_or(&Map::default()), now);
        if self.pauses_before(i, &actions) {
            return;
        }
        for action in actions {
            self.start_action(i, action);
        }
    }

    /// Records a violation if two endpoints that are up hold the same key.
    fn check_owners(&mut self) {
        let now = self.now;
        for (i, one) in self.endpoints.iter().enumerate() {
            for other in self.endpoints.iter().skip(i + 1) {
                let both = one.leases.iter().any(|a| {
                    let live = |lease: &&KeyLease| lease.until > now;
                    let overlapping = |b: &KeyLease| a.until > now && a.keys.overlaps(b.keys);
                    other.leases.iter().filter(live).any(overlapping)
                });
                if both && one.up && other.up {
                    let (a, b) = (&one.instance.name, &other.instance.name);
                    self.violation = Some(format!("{a} and {b} hold the same keys at {now} ms"));
                }
            }
        }
    }
}
