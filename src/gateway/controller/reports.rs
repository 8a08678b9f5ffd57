//! What the other daemons report of the time before a restoration of the store, to the daemon that holds
//! the controller lease.

use super::Controller;
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{controller_lease::STOP_AFTER, fleet_digest::FleetDigest, store_version::era_of},
    world::{ServiceName, VmName},
};
use std::iter;

/// What a daemon knows of the time before the last restoration of the store.
#[derive(Clone, Debug)]
pub struct EarlierOwners {
    /// The latest era of the store that it has seen.
    pub era: u64,
    /// The era since which it has known the controllers and owners; `None` if it knows none.
    pub known_since: Option<u64>,
    /// The latest token of the owners of each service that it knows from whatever source.
    pub tokens: Vec<(ServiceName, u64)>,
}

/// The latest report of each daemon in this epoch.
#[derive(Debug, Default)]
pub(super) struct Reports {
    latest: Map<VmName, Report>,
    /// When all daemons had reported. None of them has acted as a controller since.
    complete_at: Option<Millis>,
}

#[derive(Debug)]
struct Report {
    received_at: Millis,
    known: EarlierOwners,
}

impl Reports {
    /// Whether all daemons know all owners since `era`, and none knows later ones of a service than
    /// `token`.
    pub(super) fn confirm(&self, service: &ServiceName, token: u64, era: u64) -> bool {
        self.latest.values().all(|report| {
            let mut tokens = report.known.tokens.iter();
            let has_later = tokens.any(|(name, known)| name == service && *known > token);
            report.known.known_since.is_some_and(|since| since <= era) && !has_later
        })
    }

    /// Whether the daemons that have seen `era`, and `me`, are exactly `fleet`.
    fn are_complete(&self, era: u64, fleet: FleetDigest, me: &VmName) -> bool {
        let reports = self.latest.iter();
        let in_era = reports.filter(|(_, report)| report.known.era == era);
        FleetDigest::of(in_era.map(|(name, _)| name).chain(iter::once(me))) == fleet
    }

    /// Whether all daemons that have reported since `since` have seen `era`, and ran before it.
    fn are_of_earlier_lives(&self, era: u64, since: Millis) -> bool {
        let mut recent = self
            .latest
            .values()
            .filter(|report| report.received_at >= since);
        recent.all(|report| {
            let ran_before = report.known.known_since.is_some_and(|since| since < era);
            report.known.era == era && ran_before
        })
    }
}

impl Controller {
    /// Sets the daemons before this one takes the lease over or the store is restored, including itself.
    pub fn set_fleet(&mut self, fleet: FleetDigest) {
        self.fleet = Some(fleet);
    }

    /// Records what another daemon reports while this one holds the lease.
    pub(super) fn handle_earlier_owners(
        &mut self,
        daemon: VmName,
        known: EarlierOwners,
        now: Millis,
    ) {
        if self.controller_lease.is_holder() {
            let report = Report {
                received_at: now,
                known,
            };
            self.reports.latest.insert(daemon, report);
        }
    }

    /// When all daemons had reported that they see the present era of the store; `None` if some have not.
    pub(super) fn reports_complete_at(&mut self, now: Millis) -> Option<Millis> {
        if self.reports.complete_at.is_none() && self.reports_are_complete() {
            self.reports.complete_at = Some(now);
        }
        self.reports.complete_at
    }

    /// Whether no other daemon can have taken the lease over before the restoration.
    pub(super) fn no_takeover_is_lost(&self, now: Millis) -> bool {
        let since = now - STOP_AFTER;
        self.reports_are_complete() && self.reports.are_of_earlier_lives(self.era(), since)
    }

    fn reports_are_complete(&self) -> bool {
        let me = self.controller_lease.name();
        self.fleet
            .is_some_and(|fleet| self.reports.are_complete(self.era(), fleet, me))
    }

    fn era(&self) -> u64 {
        era_of(self.controller_lease.version())
    }
}
