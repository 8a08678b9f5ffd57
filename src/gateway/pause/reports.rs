//! Pauses that daemons report to the controller, and the capacity that is missing because of them.

use crate::{
    clock::Millis,
    collections::{Map, Set},
    gateway::model::EndpointInstance,
    world::VmName,
};
use serde::{Deserialize, Serialize};

/// Remaining time from which a pause takes away the whole capacity. A shorter one takes away a part,
/// because keys that move interrupt service as well.
const FULL_LOSS_TIME: Millis = Millis(5_000);

/// A pause that an endpoint requested from the reporting daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PauseReport {
    /// The life of the endpoint.
    pub endpoint: EndpointInstance,
    /// Time until the pause ends.
    pub left: Millis,
}

/// The pauses that all daemons reported last.
#[derive(Debug, Default)]
pub struct ReportedPauses {
    by_daemon: Map<VmName, Vec<(EndpointInstance, Millis)>>,
}

impl ReportedPauses {
    /// Replaces the pauses that `daemon` reported.
    pub fn record(&mut self, daemon: &VmName, reports: &[PauseReport], now: Millis) {
        if reports.is_empty() {
            self.by_daemon.remove(daemon);
            return;
        }
        let pauses = reports
            .iter()
            .map(|report| (report.endpoint.clone(), now + report.left));
        self.by_daemon.insert(daemon.clone(), pauses.collect());
    }

    /// Forgets the pauses of daemons that no longer report.
    pub fn retain(&mut self, is_reporting: impl Fn(&VmName) -> bool) {
        self.by_daemon.retain(|daemon, _| is_reporting(daemon));
    }

    /// Share of its capacity that each endpoint in a pause lacks, from 0 to 1. An endpoint that
    /// asked some of `daemons` for a pause serves the others.
    pub fn missing_shares(&self, daemons: usize, now: Millis) -> Map<EndpointInstance, f64> {
        let mut missing: Map<EndpointInstance, f64> = Map::default();
        let daemons = daemons.max(self.by_daemon.len()).max(1) as f64;
        for pauses in self.by_daemon.values() {
            // A report that names a life twice counts once.
            let mut seen: Set<&EndpointInstance> = Set::default();
            for (endpoint, until) in pauses {
                let left_ms = until.since(now).0.min(FULL_LOSS_TIME.0) as f64;
                if left_ms > 0.0 && seen.insert(endpoint) {
                    let share = left_ms / FULL_LOSS_TIME.0 as f64 / daemons;
                    *missing.entry(endpoint.clone()).or_default() += share;
                }
            }
        }
        missing
    }
}
