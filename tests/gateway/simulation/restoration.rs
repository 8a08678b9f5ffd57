//! Restorations of the store from a copy of the last seconds.

use super::{DAEMONS, Simulation, endpoint::SERVICE};
use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{EarlierOwners, Event},
        controller_lease::LeaseRow,
        owners::Owners,
        platform::Table,
        store_version::{era_of, number_of, store_version},
    },
    world::VmName,
};
use rand::Rng;
use std::{collections::VecDeque, sync::Arc};

/// Interval between copies, in milliseconds.
const COPY_INTERVAL: u64 = 500;
/// Number of copies that are kept, of the last 20 s.
const KEPT_COPIES: usize = 40;
/// Longest time for which the store is away before it comes back from a copy, in milliseconds.
const MAX_OUTAGE: u64 = 3_000;

/// Interval between two reports of a daemon, in milliseconds.
const REPORT_INTERVAL: u64 = 400;

type Rows = Map<(Table, Arc<str>), (u64, Bytes)>;

/// Copies of the store, and when it is restored.
#[derive(Default)]
pub(super) struct Copies {
    /// Mean interval between restorations, in milliseconds; 0 for none.
    interval: u64,
    kept: VecDeque<(u64, Rows)>,
    /// Whether daemons restart or reach the store again while it is away.
    with_restarts: bool,
    next_at: u64,
    /// When the store is back, and from which copy.
    restored_at: Option<(u64, usize)>,
}

impl Simulation {
    /// Lets the store come back from a copy every `interval` milliseconds on average.
    pub fn restore_store_every(&mut self, interval: u64) {
        self.copies.interval = interval;
    }

    /// Lets daemons restart, and others reach the store again, while it comes back from a copy.
    pub fn restart_daemons_at_restorations(&mut self) {
        self.copies.with_restarts = true;
    }

    /// Ends the restorations.
    pub(super) fn end_restorations(&mut self) {
        self.copies.interval = 0;
        self.copies.restored_at = None;
    }

    pub(super) fn step_copies(&mut self) {
        if self.copies.interval == 0 {
            return;
        }
        if self.now >= self.copies.next_at {
            self.copies.next_at = self.now + COPY_INTERVAL;
            let copy = (self.version, self.rows.clone());
            self.copies.kept.push_back(copy);
            if self.copies.kept.len() > KEPT_COPIES {
                self.copies.kept.pop_front();
            }
        }
        match self.copies.restored_at {
            Some((at, copy)) if self.now >= at => {
                self.copies.restored_at = None;
                self.restore(copy);
            }
            None if self.rng.random_range(0..self.copies.interval) < super::STEP_MS => {
                let at = self.now + self.rng.random_range(0..MAX_OUTAGE);
                let copy = self.rng.random_range(0..self.copies.kept.len());
                self.copies.restored_at = Some((at, copy));
                self.store_up = false;
            }
            _ => {}
        }
    }

    /// Brings the store back from a copy, in the next era.
    fn restore(&mut self, copy: usize) {
        let era = era_of(self.version) + 1;
        let (version, rows) = self.copies.kept[copy].clone();
        self.trace(format!("the store is restored, era {era}"));
        self.version = store_version(era, number_of(version));
        let in_era = |version| store_version(era, number_of(version));
        self.rows = rows
            .into_iter()
            .map(|(row, (version, value))| (row, (in_era(version), value)))
            .collect();
        self.store_up = true;
        if self.copies.with_restarts {
            self.change_all_daemons();
        }
    }

    /// Restarts some of the daemons that reach the store, and lets some of the others reach it again.
    fn change_all_daemons(&mut self) {
        for i in 0..DAEMONS {
            let daemon = &mut self.daemons[i];
            let is_changed = self.rng.random_bool(0.5);
            if is_changed && daemon.up && daemon.reaches_store {
                self.restart_daemon(i);
            } else if is_changed {
                daemon.reaches_store = true;
            }
        }
    }

    /// What a daemon that reads the owners' rows knows: the later ones of these and of those that it has
    /// heard of.
    pub(super) fn known_owners(&mut self, i: usize) -> Event {
        let rows = self.rows.iter().filter(|((t, _), _)| *t == Table::Owners);
        let in_rows: Vec<Bytes> = rows.map(|(_, (_, value))| value.clone()).collect();
        in_rows
            .iter()
            .for_each(|value| self.record_owners(i, value));
        let known = self.daemons[i].known_owners.clone();
        let known = known.map(|owners| (SERVICE.into(), Arc::new(owners)));
        Event::KnownOwners(known.into_iter().collect())
    }

    /// Records owners that a daemon has read or written, if they are later than those that it knows.
    pub(super) fn record_owners(&mut self, i: usize, value: &Bytes) {
        let owners = Owners::decode(value).expect("rows are valid");
        self.hear_of(i, owners);
    }

    fn hear_of(&mut self, i: usize, owners: Owners) {
        let known = &mut self.daemons[i].known_owners;
        let token = known.as_ref().map_or(0, Owners::latest_token);
        if owners.latest_token() > token {
            *known = Some(owners);
        }
    }

    /// Passes the reports of other daemons to this one: those that run, and take it for the controller,
    /// report every 400 ms.
    pub(super) fn receive_reports(&mut self, i: usize) {
        let me = self.daemons[i].controller.lease_state().row().cloned();
        let now = self.now;
        for other in (0..DAEMONS).filter(|other| *other != i) {
            let row = self.daemons[other].controller.lease_state().row();
            let holder = |row: Option<&LeaseRow>| row.map(|row| row.incarnation);
            let reports = self.daemons[other].up
                && now >= self.daemons[other].frozen_until
                && holder(row) == holder(me.as_ref());
            let last = self.daemons[i].reports.entry(other).or_default();
            if reports && now >= *last + REPORT_INTERVAL {
                *last = now;
                self.report_owners(other, i);
            }
        }
    }

    /// Reports what daemon `from` knows of earlier owners to daemon `to`.
    fn report_owners(&mut self, from: usize, to: usize) {
        let daemon = &self.daemons[from];
        let lease = daemon.controller.lease_state();
        let owners = daemon.known_owners.as_ref();
        let tokens = owners.map(|owners| (SERVICE.into(), owners.latest_token()));
        let known = EarlierOwners {
            lease_version: lease.version(),
            known_since: lease.known_since(),
            tokens: tokens.into_iter().collect(),
            fleet: daemon.controller.known_fleet(Millis(self.now)),
        };
        let event = Event::EarlierOwners(VmName(format!("d{from}").into()), known);
        let now = Millis(self.now);
        self.daemons[to].controller.handle(event, now);
    }

    /// Tells a daemon that runs of the owners that the daemon knows which it takes for the controller.
    pub(super) fn learn_owners(&mut self, i: usize) {
        let row = self.daemons[i].controller.lease_state().row();
        let Some(holder) = row.map(|row| row.incarnation) else {
            return;
        };
        let now = self.now;
        let is_holder = |daemon: &&super::Daemon| {
            daemon.incarnation == holder && daemon.up && now >= daemon.frozen_until
        };
        let told = self.daemons.iter().find(is_holder);
        let owners = told.and_then(|daemon| daemon.known_owners.clone());
        if let Some(fleet) = told.and_then(|daemon| daemon.controller.fleet(Millis(now))) {
            self.daemons[i].controller.set_fleet(fleet, Millis(now));
        }
        if let Some(owners) = owners {
            self.hear_of(i, owners);
        }
    }
}
