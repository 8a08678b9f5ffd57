//! Reports of daemons to the controller, and the updates that its replies carry.

use super::{Control, HeldReport, Input, ReportingDaemon, leaving::instances};
use crate::{
    clock::Millis,
    gateway::{
        controller::{EarlierOwners, Event},
        incarnations::Reported,
        leaving::{LeavingLife, lives::not_reported},
        load_stats::{LoadReport, ProcessingTime, ServiceLoad},
        owners::Owners,
        platform::Platform,
        rate_limit::{LimitReport, is_urgent, not_known},
    },
    peer::{
        codec::{self, CodecError},
        message::{
            DaemonReport, EndpointsUpdate, OwnersUpdate, PeerReply, PeerRequest, ReportReply,
        },
    },
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::oneshot;

/// Interval between reports to the controller.
const REPORT_INTERVAL: Millis = Millis(400);
/// Longest time for which the controller holds its reply to a report until there are changes. So
/// changes reach all daemons at once without a call to the store for each.
const MAX_HOLD: Millis = Millis(400);
/// Time-out of a report. It exceeds the time for which the controller may hold the reply.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after its last report for which a daemon is counted.
const DAEMON_EXPIRY: Millis = Millis(3_000);

impl<P: Platform> Control<P> {
    /// Reports measured load and known versions to the controller, if it is due.
    pub(super) fn report(&mut self, now: Millis) {
        let addr = self.controller_addr();
        if !self.is_report_due(addr.is_some(), now) {
            return;
        }
        self.last_report_at = Some(now);
        let mut report = DaemonReport {
            name: self.cx.name.clone(),
            incarnation: self.cx.incarnation,
            zone: self.cx.zone.clone(),
            owners: self.builder.owner_versions(),
            endpoints: self.registry.version(),
            relative_latencies: self.latencies_known,
            controller_cores: self.controller_cores() as f32,
            load: self.take_load(),
            leaving: self.builder.lives().to_report(now),
            pauses: self.builder.pause_reports(now),
            limits: self.builder.rate_limits().reports(now),
            lease_version: self.controller.lease_state().version(),
            owner_tokens: self.builder.owner_tokens(),
            known_since: self.controller.lease_state().known_since(),
            fleet: self.controller.known_fleet(now),
        };
        let lease = self.controller.lease_state();
        if lease.is_holder() {
            self.record_report(&mut report, now);
            self.update_daemon_count(now);
            self.update_positions(now);
            return;
        }
        let Some(addr) = addr else {
            return;
        };
        self.has_reported = true;
        self.report_sent_at = Some(now);
        let (peers, tx) = (self.peers.clone(), self.tx.clone());
        self.reported_leaving = instances(&report.leaving);
        tokio::spawn(async move {
            let request = PeerRequest::Report(report);
            let reply = match peers.send(addr, &request, REPORT_TIMEOUT).await {
                Ok(PeerReply::Report(reply)) => Some(Box::new(reply)),
                Ok(_) => None,
                Err(e) => {
                    log::debug!(target: "peer", to:% = addr, error:% = e;
                        "Controller did not reply to the report.");
                    None
                }
            };
            // Sending fails only when the daemon stops.
            let _ = tx.send(Input::Reply(reply)).await;
        });
    }

    /// Whether a report is due. The first one is due once the endpoints and a controller are known,
    /// because the daemon has begun to use endpoints of whose notices it knows nothing. It is not
    /// sent without the endpoints: the reply would have to carry all of them, to each of many daemons
    /// that start together.
    fn is_report_due(&self, has_controller: bool, now: Millis) -> bool {
        let is_first = !self.has_reported && has_controller && self.registry.version() > 0;
        let is_due = self
            .last_report_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        self.report_sent_at.is_none() && (is_first || is_due)
    }

    /// Address of the controller; `None` if there is none, or if it is this daemon.
    pub(super) fn controller_addr(&self) -> Option<SocketAddr> {
        let row = self.controller.lease_state().row()?;
        let is_other = !row.released && row.peer_addr != self.cx.peer_addr;
        is_other.then_some(row.peer_addr)
    }

    /// Collects the load measured since the last report, and resets the counters.
    fn take_load(&self) -> LoadReport {
        let view = self.cx.view.load();
        let keyed = view.services.values().filter(|service| service.keyed);
        let services = keyed.map(|service| ServiceLoad {
            service: service.name.clone(),
            keys: service.state.take_key_counts(),
            processing: service
                .members
                .iter()
                .filter_map(|member| {
                    let (requests, total_ms) = member.backend.take_processing_times();
                    let endpoint = Arc::clone(&member.backend.entry.instance.name);
                    (requests > 0).then_some(ProcessingTime {
                        endpoint,
                        requests,
                        total_ms,
                    })
                })
                .collect(),
        });
        let services = services.collect();
        let members = view.services.values().flat_map(|service| &service.members);
        LoadReport {
            services,
            relative_latencies: members
                .filter_map(|member| member.backend.take_relative_latency())
                .collect(),
        }
    }

    /// Records the report of a daemon, without what it measured at earlier instances of endpoints.
    fn record_report(&mut self, report: &mut DaemonReport, now: Millis) {
        self.instances
            .retain_current(&mut report.load, report.endpoints);
        let reporting = ReportingDaemon {
            last_report_at: now,
            incarnation: report.incarnation,
            zone: report.zone.clone(),
            controller_cores: f64::from(report.controller_cores),
        };
        self.daemons.insert(report.name.clone(), reporting);
        let reported = self.incarnations.record(&report.name, report.incarnation);
        if let Reported::Settled { ended } = reported {
            let predecessor = self
                .controller
                .predecessor_incarnation_of(&report.name, report.incarnation);
            for ended in ended.into_iter().chain(predecessor) {
                self.controller.handle(Event::IncarnationEnded(ended), now);
            }
        }
        if report.name != self.cx.name {
            let known = EarlierOwners {
                lease_version: report.lease_version,
                known_since: report.known_since,
                fleet: report.fleet,
                tokens: std::mem::take(&mut report.owner_tokens),
            };
            let event = Event::EarlierOwners(report.name.clone(), known);
            self.controller.handle(event, now);
        }
        for load in &report.load.services {
            let stats = self.load.entry(load.service.clone()).or_default();
            stats.add(load, now);
        }
        self.relative_latencies.add(&report.load.relative_latencies);
        self.record_reported_leaving(report, now);
        self.pauses.record(&report.name, &report.pauses, now);
        if report.name != self.cx.name {
            let limits = self.builder.rate_limits();
            limits.record_heard(&report.limits, Millis::ZERO, now);
        }
    }

    fn update_daemon_count(&mut self, now: Millis) {
        self.daemons
            .retain(|_, daemon| now.since(daemon.last_report_at) < DAEMON_EXPIRY);
        self.pauses.retain(|name| self.daemons.contains_key(name));
        self.incarnations
            .retain(|name| self.daemons.contains_key(name));
        self.set_daemon_count(self.daemons.len(), now);
    }

    fn set_daemon_count(&mut self, daemons: usize, now: Millis) {
        let daemons = daemons.max(1);
        self.cx.daemons.store(daemons, Ordering::Relaxed);
        let limits = self.builder.rate_limits();
        limits.issuing().record_daemons(daemons, now);
    }

    /// Records the report of another daemon, and holds the reply.
    pub(super) fn handle_report(
        &mut self,
        mut report: DaemonReport,
        reply: oneshot::Sender<ReportReply>,
    ) {
        let now = self.cx.clock.now();
        let known = self.daemons.get(&report.name);
        let is_first = known.is_none_or(|known| known.incarnation != report.incarnation);
        self.record_report(&mut report, now);
        self.held_reports.push(HeldReport {
            report,
            is_first,
            reply,
            received_at: now,
            due_at: now + MAX_HOLD,
        });
    }

    /// Replies to reports that were held long enough, or whose daemons lack changes, or notices of
    /// leaving from before their first report. A daemon that may not issue commands replies to all
    /// at once.
    pub(super) fn reply_to_held_reports(&mut self, now: Millis) {
        if self.held_reports.is_empty() {
            return;
        }
        let is_active = self.controller.lease_state().may_issue_commands(now);
        let leaving = if is_active {
            self.builder.lives().to_pass_on(now)
        } else {
            Vec::new()
        };
        let limits = if is_active {
            self.builder.rate_limits().reports(now)
        } else {
            Vec::new()
        };
        for held in std::mem::take(&mut self.held_reports) {
            let lacking_limits = not_known(&limits, &held.report.limits);
            let lacks_limits = is_urgent(&lacking_limits, &held.report.limits);
            let is_due = !is_active || now >= held.due_at;
            let has_changes = self.registry.has_changes_after(held.report.endpoints)
                || self.owners.has_changes_after(&held.report.owners);
            let unknown = || not_reported(&leaving, &held.report.leaving);
            // Later notices can wait for the next reply, which comes well before the endpoint must
            // not be used any more.
            if is_due || has_changes || lacks_limits || (held.is_first && !unknown().is_empty()) {
                let unknown = unknown();
                self.send_reply(held, unknown, lacking_limits, now);
            } else {
                self.held_reports.push(held);
            }
        }
    }

    fn send_reply(
        &mut self,
        held: HeldReport,
        leaving: Vec<LeavingLife>,
        limits: Vec<LimitReport>,
        now: Millis,
    ) {
        let lease = self.controller.lease_state();
        let active_row = lease.row().filter(|_| lease.may_issue_commands(now));
        let released_row = lease
            .row()
            .filter(|row| row.released && row.holder == self.cx.name);
        let owners = self.owners.changes_after(&held.report.owners);
        let reply = ReportReply {
            lease: active_row
                .or(released_row)
                .map(|row| (lease.version(), row.clone())),
            waited: now.since(held.received_at),
            daemons: self.daemons.len() as u32,
            fleet: self.controller.fleet(now),
            position: active_row.and_then(|_| self.positions.get(&held.report.name).copied()),
            owners,
            endpoints: active_row.and_then(|_| self.endpoints_update(&held, now)),
            declarations: self.declarations,
            relative_latencies: self.latencies_update(held.report.relative_latencies),
            leaving,
            limits,
            evacuations: self.builder.evacuations().update(now),
        };
        // Sending fails if the reporting daemon has closed the call.
        let _ = held.reply.send(reply);
    }

    fn endpoints_update(&self, held: &HeldReport, now: Millis) -> Option<EndpointsUpdate> {
        (self.registry.version() > 0).then(|| EndpointsUpdate {
            changes: self.registry.changes_after(held.report.endpoints),
            age: now.since(self.store_as_of),
            has_deferred_removals: self.builder.next_deferred_removal().is_some(),
        })
    }

    fn apply_owners_updates(&mut self, updates: Vec<OwnersUpdate>) {
        let mut is_newer = false;
        for update in updates {
            match self.updated_owners(&update) {
                Ok(Some(owners)) => {
                    is_newer |= self.set_owners(update.service, update.version, owners)
                }
                Ok(None) => {
                    log::debug!(target: "peer", service:% = update.service,
                        version = update.version, base:? = update.base;
                        "Owners update skipped: its base is not the known version.");
                }
                Err(e) => {
                    log::error!(target: "peer", error:% = e;
                        "Owners update of the controller cannot be decoded; it is skipped.")
                }
            }
        }
        if is_newer {
            self.publish();
        }
    }

    /// The owners that result from an update; `None` if the update starts from another version than
    /// the known one.
    fn updated_owners(&self, update: &OwnersUpdate) -> Result<Option<Owners>, CodecError> {
        let Some(base) = update.base else {
            return Owners::decode(&update.row).map(Some);
        };
        match self.builder.owners_of(&update.service) {
            Some((version, known)) if version == base => {
                known.with(codec::decode(&update.row)?).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Handles the controller's reply to this daemon's report; `None` if there was none.
    pub(super) fn handle_reply(&mut self, reply: Option<ReportReply>) {
        let now = self.cx.clock.now();
        let sent = self.report_sent_at.take().unwrap_or(now);
        // The next report, which asks for further changes, follows at once.
        self.last_report_at = None;
        let Some(reply) = reply else {
            self.last_report_at = Some(now);
            self.last_reply_at = None;
            return;
        };
        // The earliest time at which the reply can have been sent.
        let replied_at = sent + reply.waited;
        self.builder
            .lives()
            .record_reply(&reply.leaving, replied_at, now);
        let transit = now.since(replied_at);
        let limits = self.builder.rate_limits();
        limits.record_heard(&reply.limits, transit, now);
        self.apply_evacuations_update(&reply.evacuations, replied_at, now);
        self.apply_owners_updates(reply.owners);
        let Some((version, row)) = reply.lease else {
            self.last_report_at = Some(now);
            self.last_reply_at = None;
            return;
        };
        if row.released {
            self.controller
                .handle(Event::Lease(version, Some(row)), now);
            self.last_report_at = Some(now);
            self.last_reply_at = None;
            return;
        }
        self.last_reply_at = Some(now);
        self.builder.lives().set_reported(&self.reported_leaving);
        self.replied_lease = self.replied_lease.max(version);
        let is_behind = reply.declarations > self.declarations;
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
        self.apply_latencies(&reply.relative_latencies);
        if let Some(update) = reply.endpoints {
            let as_of = replied_at - update.age;
            let since = self.known_as_of();
            self.controller_as_of = self.controller_as_of.max(as_of);
            self.contact.record_answer(as_of);
            let version = update.changes.version;
            self.apply_endpoints(update.changes, since);
            // The controller defers no removals, so the store failed for this daemon alone, and the
            // missing entries are gone.
            let is_complete = version >= self.registry.version();
            if is_complete && !update.has_deferred_removals && self.builder.apply_all_removals(now)
            {
                log::info!(target: "health", version;
                    "Controller has no deferred removals; missing endpoints are removed.");
                self.update_controller_endpoints();
                self.publish();
            }
        }
        self.controller
            .handle(Event::Lease(version, Some(row)), now);
        self.set_daemon_count(reply.daemons as usize, now);
        if let Some(fleet) = reply.fleet {
            self.controller.set_fleet(fleet, now);
        }
        if let Some(position) = reply.position {
            self.set_position(position);
        }
    }
}
