//! What the other daemons report of the time before a restoration of the store, to the daemon that holds
//! the controller lease.

use super::Controller;
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller_lease::STOP_AFTER,
        fleet_digest::FleetDigest,
        store_version::{era_of, store_version},
    },
    world::{ServiceName, VmName},
};
use std::iter;

/// Time from when the daemons were last known until the restored store was seen, after which another
/// daemon may have come, taken the lease over and gone, unnoticed by those that were cut off.
const FLEET_VALID_FOR: Millis = Millis(4_000);

/// What a daemon knows of the time before the last restoration of the store.
#[derive(Clone, Debug)]
pub struct EarlierOwners {
    /// Version of the row of the controller lease that it has seen last.
    pub lease_version: u64,
    /// The era since which it has known the controllers and owners; `None` if it knows none.
    pub known_since: Option<u64>,
    /// The latest token of the owners of each service that it knows from whatever source.
    pub tokens: Vec<(ServiceName, u64)>,
    /// The daemons that could send commands, and for how long it has not been told of them again.
    pub fleet: Option<(FleetDigest, Millis)>,
}

/// The latest report of each daemon in this epoch.
#[derive(Debug, Default)]
pub(super) struct Reports {
    latest: Map<VmName, Report>,
    /// When the epoch began.
    since: Millis,
    /// Version of the lease row with which it began.
    since_version: u64,
    /// When all daemons had reported. None of them has acted as a controller since.
    complete_at: Option<Millis>,
}

#[derive(Debug)]
struct Report {
    received_at: Millis,
    known: EarlierOwners,
}

impl Reports {
    /// No reports in the epoch that begins now, with this version of the lease row.
    pub(super) fn new(since_version: u64, now: Millis) -> Self {
        Self {
            since: now,
            since_version,
            ..Self::default()
        }
    }

    /// Whether all daemons know all owners since `era`, and none knows later ones of a service than
    /// `token`.
    pub(super) fn confirm(&self, service: &ServiceName, token: u64, era: u64) -> bool {
        self.latest.values().all(|report| {
            let mut tokens = report.known.tokens.iter();
            let has_later = tokens.any(|(name, known)| name == service && *known > token);
            report.known.known_since.is_some_and(|since| since <= era) && !has_later
        })
    }

    /// Whether the daemons that have seen the lease row of `version` or a later one, and `me`, are exactly
    /// `fleet`.
    fn are_complete(&self, version: u64, fleet: FleetDigest, me: &VmName) -> bool {
        let reports = self.latest.iter();
        let have_seen = reports.filter(|(_, report)| report.known.lease_version >= version);
        FleetDigest::of(have_seen.map(|(name, _)| name).chain(iter::once(me))) == fleet
    }

    fn received_since(&self, since: Millis) -> impl Iterator<Item = (&VmName, &Report)> {
        let reports = self.latest.iter();
        reports.filter(move |(_, report)| report.received_at >= since)
    }

    /// Whether all daemons that have reported since `since` have seen `era`, and ran before it.
    fn are_of_earlier_lives(&self, era: u64, since: Millis) -> bool {
        self.received_since(since).all(|(_, report)| {
            let ran_before = report.known.known_since.is_some_and(|since| since < era);
            era_of(report.known.lease_version) == era && ran_before
        })
    }
}

impl Controller {
    /// Sets the daemons that may send commands at `now`, as the controller told them.
    pub fn set_fleet(&mut self, fleet: FleetDigest, now: Millis) {
        self.fleet = Some((fleet, now));
    }

    /// All daemons that may send commands now, to be told to the others; `None` if this one does not know
    /// them or is not certainly the only holder of the lease. A silent one may send commands for
    /// [`STOP_AFTER`], and for as long a new holder may not have heard from all of them. It goes by what
    /// it was told before.
    pub fn fleet(&self, now: Millis) -> Option<FleetDigest> {
        let lease = &self.controller_lease;
        if now >= lease.sole_until() || lease.is_restored() {
            return None;
        }
        let has_heard_from_all = now.since(self.reports.since) >= STOP_AFTER;
        if !has_heard_from_all || self.has_unconfirmed(now) {
            return self.fleet.map(|(told, _)| told);
        }
        let names = self.reports.received_since(now - STOP_AFTER);
        let names = names.map(|(name, _)| name).chain(iter::once(lease.name()));
        Some(FleetDigest::of(names))
    }

    /// Keeps the fleet as it was before the store is lost.
    pub(super) fn update_fleet(&mut self, now: Millis) {
        if let Some(fleet) = self.fleet(now) {
            self.set_fleet(fleet, now);
        }
    }

    /// The fleet as this daemon last knew it, and how long ago that was.
    pub fn known_fleet(&self, now: Millis) -> Option<(FleetDigest, Millis)> {
        self.fleet
            .map(|(fleet, known_at)| (fleet, now.since(known_at)))
    }

    /// Forgets the fleet if it was last known too long before the takeover at `now`, or before the restored
    /// store was seen.
    pub(super) fn drop_old_fleet(&mut self, now: Millis) {
        let is_valid = |known_at: Millis| self.is_valid_fleet(known_at, now);
        self.fleet = self.fleet.filter(|(_, known_at)| is_valid(*known_at));
    }

    fn is_valid_fleet(&self, known_at: Millis, now: Millis) -> bool {
        let era_seen_at = self.controller_lease.era_seen_at();
        let needed_at = if known_at < era_seen_at {
            era_seen_at
        } else {
            now
        };
        needed_at <= known_at + FLEET_VALID_FOR
    }

    /// Takes over what another daemon knows of the fleet, if this holder has just started.
    fn adopt_fleet(&mut self, reported: Option<(FleetDigest, Millis)>, now: Millis) {
        let Some((fleet, age)) = reported.filter(|_| self.fleet.is_none()) else {
            return;
        };
        let known_at = now - age;
        if self.is_valid_fleet(known_at, now) {
            self.set_fleet(fleet, known_at);
        }
    }

    /// Records what another daemon reports while this one holds the lease.
    pub(super) fn handle_earlier_owners(
        &mut self,
        daemon: VmName,
        known: EarlierOwners,
        now: Millis,
    ) {
        if self.controller_lease.is_holder() {
            self.adopt_fleet(known.fleet, now);
            let report = Report {
                received_at: now,
                known,
            };
            self.reports.latest.insert(daemon, report);
        }
    }

    /// When all daemons had reported that they have seen this epoch; `None` if some have not. Controllers
    /// before it send nothing from then on.
    pub(super) fn reports_complete_at(&mut self, now: Millis) -> Option<Millis> {
        let is_first = self.reports.complete_at.is_none();
        if is_first && self.all_have_seen(self.reports.since_version) {
            self.reports.complete_at = Some(now);
            self.shorten_leases(now + self.command_and_lease());
        }
        self.reports.complete_at
    }

    /// Whether no other daemon can have taken the lease over before the restoration.
    pub(super) fn no_takeover_is_lost(&self, now: Millis) -> bool {
        let era = era_of(self.controller_lease.version());
        let since = now - STOP_AFTER;
        self.all_have_seen(store_version(era, 0)) && self.reports.are_of_earlier_lives(era, since)
    }

    /// Whether all daemons have seen the lease row of `version` or a later one.
    fn all_have_seen(&self, version: u64) -> bool {
        let lease = &self.controller_lease;
        let is_valid = |known_at: Millis| lease.era_seen_at() <= known_at + FLEET_VALID_FOR;
        self.fleet.is_some_and(|(fleet, known_at)| {
            is_valid(known_at) && self.reports.are_complete(version, fleet, lease.name())
        })
    }
}
