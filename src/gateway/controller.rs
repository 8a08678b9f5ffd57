//! The controller: takes events, and returns orders to endpoints and writes to the store.
//!
//! An owner is written to the store before it is granted its keys, and only after the former
//! owner has released them or its lease has surely ended. So the row names the only endpoint that
//! may hold a key, and a successor can start from it. Fencing tokens carry the epoch of the
//! controller lease in their upper bits, which orders them across successors.

mod managed;
mod orders;
mod writing;

pub use managed::{Held, Managed, Phase};

use super::{
    heat::HeatMap,
    model::{EndpointEntry, EndpointInstance, KeyRange},
    owners::Owners,
    platform::{GrantOrder, GrantOutcome, ReleaseOutcome, RowWrite, WriteOutcome},
    term::{LeaseRow, STOP_AFTER, Term},
};
use crate::{
    clock::Millis,
    collections::Map,
    world::{Incarnation, ServiceName, VmName},
};
use std::{net::SocketAddr, sync::Arc};
use writing::PendingWrite;

/// Length of a key lease. It outlasts the loss of a controller (about 2.5 s until the successor has
/// renewed the leases), and bounds how long the keys of a silent endpoint stay unserved.
pub const KEY_LEASE: Millis = Millis(4_000);
/// Time after which an order without an answer counts as lost. Its connection is closed then.
pub const ORDER_TIMEOUT: Millis = Millis(800);
/// Bits of a fencing token below the epoch.
const TOKEN_BITS: u32 = 24;
/// Inaccuracy of an endpoint's clock, in percent.
const CLOCK_ERROR_PERCENT: u64 = 2;
/// Added to a lease for timers that fire late.
const LEASE_MARGIN: Millis = Millis(200);
/// Time to gather endpoints before the keys of a new service are first assigned.
const GATHER: Millis = Millis(2_000);

/// Identifies a range of keys within the memory of one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RangeId(pub u64);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease row was seen; the version is 0 if there is none.
    Lease(u64, Option<LeaseRow>),
    /// All owners were read, after the lease had been taken over.
    Owners(Vec<(ServiceName, u64, Owners)>),
    /// The endpoints that are registered now.
    Endpoints(Vec<EndpointEntry>),
    /// The keyed services that are declared now.
    Services(Vec<ServiceName>),
    /// The write with this id ended.
    Written(u64, WriteOutcome),
    /// An endpoint answered a grant, or did not.
    Granted(ServiceName, RangeId, GrantOutcome),
    /// An endpoint answered a release, or did not.
    Released(ServiceName, RangeId, ReleaseOutcome),
    /// Whether the other daemons agree that nothing listens at the address of a range's owner.
    Confirmed(ServiceName, RangeId, bool),
    /// A run of a daemon gives no more orders.
    RunEnded(Incarnation),
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write rows together, under an id that the outcome is reported with.
    Write(u64, Vec<RowWrite>),
    /// Read the lease row.
    ReadLease,
    /// Read all owners.
    ReadOwners,
    /// Give keys to an endpoint.
    Grant(ServiceName, RangeId, SocketAddr, GrantOrder),
    /// Take keys back from an endpoint.
    Release(ServiceName, RangeId, SocketAddr, KeyRange, u64),
    /// Ask the other daemons whether nothing listens at the address of a range's owner.
    Confirm(ServiceName, RangeId, SocketAddr),
}

/// The state of the controller on one daemon. Most daemons only watch the lease.
#[derive(Debug)]
pub struct Controller {
    term: Term,
    peer_addr: SocketAddr,
    lease: Millis,
    services: Map<ServiceName, Managed>,
    declared: Vec<ServiceName>,
    endpoints: Map<Arc<str>, EndpointEntry>,
    addrs: Map<EndpointInstance, SocketAddr>,
    avoided: Map<EndpointInstance, Avoided>,
    loaded: bool,
    reading: bool,
    stopping: bool,
    pending: Option<PendingWrite>,
    not_before: Millis,
    grace: Millis,
    /// The run that held the lease before, unless it has surely ended.
    former: Option<Incarnation>,
    former_name: Option<VmName>,
    last_token: u64,
    last_id: u64,
    /// Owners that were written and not taken in yet.
    written: Vec<(ServiceName, u64, Owners)>,
    /// When owners may be written next.
    next_owners: Millis,
    /// Whether the store fails to answer this daemon.
    store_fails: bool,
}

impl Controller {
    /// Starts as a daemon that only watches the lease.
    pub fn new(
        me: VmName,
        run: Incarnation,
        peer_addr: SocketAddr,
        max_lease: Millis,
        jitter: Millis,
    ) -> Self {
        Self {
            term: Term::new(me, run, jitter),
            peer_addr,
            lease: KEY_LEASE.min(max_lease),
            services: Map::default(),
            declared: Vec::new(),
            endpoints: Map::default(),
            addrs: Map::default(),
            avoided: Map::default(),
            loaded: false,
            reading: false,
            stopping: false,
            pending: None,
            not_before: Millis::ZERO,
            grace: Millis::ZERO,
            former: None,
            former_name: None,
            last_token: 0,
            last_id: 0,
            written: Vec::new(),
            next_owners: Millis::ZERO,
            store_fails: false,
        }
    }

    /// The lease on the controller's role.
    pub fn term(&self) -> &Term {
        &self.term
    }

    /// The run of `name` that held the lease before, if the daemon has another run by now.
    pub fn former_run_of(&self, name: &VmName, run: Incarnation) -> Option<Incarnation> {
        let former = self.former.filter(|former| *former != run)?;
        (self.former_name.as_ref() == Some(name)).then_some(former)
    }

    /// Takes in whether the store fails to answer this daemon. It does not try to take the lease
    /// over then, since calls that fail cost as much as others.
    pub fn note_store(&mut self, fails: bool) {
        self.store_fails = fails;
    }

    /// Gives the lease up as soon as possible.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether nothing is left to be given up.
    pub fn has_stopped(&self) -> bool {
        self.stopping && !self.term.is_mine() && self.pending.is_none()
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event, now: Millis) {
        match event {
            Event::Lease(version, row) => self.see_lease(version, row, now),
            Event::Owners(rows) => self.load(rows, now),
            Event::Endpoints(entries) => self.see_endpoints(entries),
            Event::Services(services) => self.declared = services,
            Event::Written(id, outcome) => self.finish_write(id, outcome, now),
            Event::Granted(service, id, outcome) => self.finish_grant(&service, id, outcome, now),
            Event::Released(service, id, outcome) => {
                self.finish_release(&service, id, outcome, now);
            }
            Event::Confirmed(service, id, gone) => self.finish_confirm(&service, id, gone, now),
            Event::RunEnded(run) => self.end_run(run, now),
        }
    }

    /// What has to be done at `now`.
    pub fn step(&mut self, heat: &Map<ServiceName, HeatMap>, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.term.is_mine() && !self.loaded && !self.reading && self.pending.is_none() {
            self.reading = true;
            actions.push(Action::ReadOwners);
        }
        if self.loaded && self.term.may_act(now) && !self.stopping {
            self.add_declared(now);
            self.place(heat, now);
            self.give_orders(now, &mut actions);
        }
        self.write_next(now, &mut actions);
        actions
    }

    fn see_lease(&mut self, version: u64, row: Option<LeaseRow>, now: Millis) {
        if self.settle_by_lease(version, row.as_ref(), now) {
            return;
        }
        let held = self.term.is_mine();
        let before = self.term.row().map(|row| row.epoch);
        self.term.observe(version, row, now);
        if held && !self.term.is_mine() {
            log::warn!(target: "ownership", version; "Controller lease lost to another daemon.");
            self.drop_services();
        }
        let taken_late = !held && self.term.is_mine();
        if taken_late && self.term.row().map(|row| row.epoch) != before {
            self.start_epoch(now, STOP_AFTER);
        }
    }

    /// A former holder that has surely ended shortens the wait for leases that it gave.
    fn end_run(&mut self, run: Incarnation, now: Millis) {
        self.term.note_ended(run);
        if self.former != Some(run) || !self.term.is_mine() {
            return;
        }
        self.former = None;
        let ends = now + ORDER_TIMEOUT + self.longest_lease();
        self.grace = self.grace.min(ends);
        for held in self.services.values_mut().flat_map(|m| &mut m.ranges) {
            if !held.confirmed {
                held.ends = held.ends.min(ends);
            }
        }
    }

    fn drop_services(&mut self) {
        self.services.clear();
        self.loaded = false;
        self.reading = false;
    }

    /// Starts an epoch. Orders of the former holder may reach endpoints for another `former`.
    fn start_epoch(&mut self, now: Millis, former: Millis) {
        self.drop_services();
        self.grace = now + former + ORDER_TIMEOUT + self.longest_lease();
        self.last_token = self.term.row().map_or(0, |row| row.epoch) << TOKEN_BITS;
        let epoch = self.term.row().map_or(0, |row| row.epoch);
        log::info!(target: "ownership", epoch, version = self.term.version();
            "Controller lease taken.");
    }

    /// Longest time for which an endpoint holds keys after a grant has arrived.
    fn longest_lease(&self) -> Millis {
        self.lease.plus_percent(CLOCK_ERROR_PERCENT) + LEASE_MARGIN
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn next_id(&mut self) -> RangeId {
        self.last_id += 1;
        RangeId(self.last_id)
    }

    /// Starts from the owners in the store. They may hold their keys until the grace time ends.
    fn load(&mut self, rows: Vec<(ServiceName, u64, Owners)>, now: Millis) {
        self.reading = false;
        if !self.term.is_mine() {
            return;
        }
        for (service, version, owners) in rows {
            let mut managed = Managed::new(version, now);
            for range in owners.ranges() {
                self.addrs.entry(range.owner.clone()).or_insert(range.addr);
                let held = Held {
                    id: self.next_id(),
                    keys: range.keys,
                    owner: Some(range.owner.clone()),
                    token: self.next_token(),
                    handover: range.handover.clone(),
                    phase: Phase::Held,
                    ends: self.grace,
                    due: now,
                    in_flight: false,
                    confirmed: false,
                    unheard: true,
                    failures: 0,
                    was_fenced: false,
                    nobody_listens: false,
                };
                managed.ranges.push(held);
            }
            self.services.insert(service, managed);
        }
        self.loaded = true;
        log::info!(target: "ownership", services = self.services.len(); "Owners loaded.");
    }

    fn add_declared(&mut self, now: Millis) {
        for service in self.declared.clone() {
            let alive = self
                .endpoints
                .values()
                .any(|entry| entry.service == service);
            if alive && !self.services.contains_key(&service) {
                self.services.insert(service, Managed::new(0, now));
            }
        }
    }

    fn see_endpoints(&mut self, entries: Vec<EndpointEntry>) {
        self.endpoints = entries
            .into_iter()
            .map(|entry| (Arc::clone(&entry.instance.name), entry))
            .collect();
        for entry in self.endpoints.values() {
            self.addrs.insert(entry.instance.clone(), entry.addr);
        }
        let owned: crate::collections::Set<EndpointInstance> = self
            .services
            .values()
            .flat_map(|managed| managed.ranges.iter())
            .filter_map(|held| held.owner.clone())
            .collect();
        let endpoints = &self.endpoints;
        self.addrs.retain(|run, _| {
            owned.contains(run) || endpoints.get(&run.name).is_some_and(|e| e.instance == *run)
        });
    }

    /// What is known of the endpoint that ran as `run`.
    fn standing(&self, run: &EndpointInstance) -> Standing {
        let addr = self.addrs.get(run);
        let replaced = addr.is_some_and(|addr| {
            self.endpoints
                .values()
                .any(|e| e.addr == *addr && e.instance.started_at_ms > run.started_at_ms)
        });
        if replaced {
            return Standing::Replaced;
        }
        if let Some(entry) = self.endpoints.get(&run.name) {
            if entry.instance.started_at_ms > run.started_at_ms {
                return Standing::Ended;
            }
            if entry.instance == *run {
                return if entry.draining {
                    Standing::Leaving
                } else {
                    Standing::Present
                };
            }
        }
        Standing::Leaving
    }
}

/// An endpoint that did not answer grants and gets no keys for a while.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Millis,
    times: u32,
}

/// What is known of an endpoint that owns keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It is registered and serves.
    Present,
    /// It is draining, or its entry is gone; it may still hold its keys.
    Leaving,
    /// A later run under its name proves that it has ended.
    Ended,
    /// A later run at its address proves that it has ended, and may have taken orders for it.
    Replaced,
}
