//! Membership: which daemons are alive, as seen by one daemon.
//!
//! The platform's VM list lags behind and only provides addresses to contact; a daemon becomes a
//! member through its own reports (heartbeats). A report arrives directly or is relayed by a peer,
//! with its age. A relay sends a member's report only when it has changed; until then every contact
//! with the relay counts as a heartbeat of the members that it reported live. Relaying follows a
//! fixed order (within a zone from the delegate upwards by name, and out of a member's zone), so
//! that two daemons cannot keep a lost member alive for each other.

pub mod selection;

use crate::{
    clock::Millis,
    collections::Map,
    peer::message::MemberReport,
    world::{Incarnation, Link, Vm, VmName, VmRole, VmState, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::Display;

/// A member without a heartbeat for this time is suspect and gets no new tasks.
pub const SUSPECT_AFTER: Millis = Millis(1_000);
/// A member without a heartbeat for this time is gone.
pub const GONE_AFTER: Millis = Millis(5_000);
/// A member without a heartbeat for this time is removed from the list. Until then peers can still
/// receive the information that it is gone.
const REMOVE_AFTER: Millis = Millis(60_000);
/// The loss of a relay is no evidence that its members are lost. After the last contact with the
/// relay their age does not increase for this time, in which another peer can become their relay.
const RELAY_GRACE: Millis = SUSPECT_AFTER;
/// Added to clock readings. The daemon's clock starts at zero, and relayed reports can be older than
/// that.
const CLOCK_OFFSET: Millis = REMOVE_AFTER;

/// State of a member by the time since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum MemberState {
    /// Less than [`SUSPECT_AFTER`].
    Live,
    /// At least [`SUSPECT_AFTER`].
    Suspect,
    /// At least [`GONE_AFTER`].
    Gone,
}

#[derive(Clone, Debug)]
struct Member {
    report: MemberReport,
    /// Latest time at which the member is known to have sent a report.
    reported_at: Millis,
    state: MemberState,
    relay: Option<Relay>,
    /// Revision of the list at the member's last change.
    revision: u64,
    /// Incarnation before this one, whose late reports are ignored.
    previous_incarnation: Option<Incarnation>,
}

/// A peer whose heartbeats count as heartbeats of the member until it reports a change.
#[derive(Clone, Debug)]
struct Relay {
    name: VmName,
    /// Whether the member was live in the peer's latest report of it.
    live: bool,
    /// Latest time at which the member was alive according to the peer.
    alive_at: Millis,
    /// Time of the last contact with the peer.
    contact_at: Millis,
}

impl Member {
    /// The latest time at which the member was alive, according to its own reports or its relay.
    fn last_alive(&self, now: Millis) -> Millis {
        let relayed = match &self.relay {
            Some(relay) if relay.live => {
                relay.alive_at + now.since(relay.contact_at).min(RELAY_GRACE)
            }
            Some(relay) => relay.alive_at,
            None => Millis::ZERO,
        };
        self.reported_at.max(relayed)
    }
}

/// The address of a listed daemon to contact, from the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// Name of the VM.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer server.
    pub peer_addr: SocketAddr,
}

/// The member list of one daemon, without the daemon itself.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Link,
    stopping: bool,
    members: Map<VmName, Member>,
    seeds: Vec<SeedNode>,
    revision: u64,
    changed: bool,
}

impl Membership {
    /// An empty member list of the daemon `own`.
    pub fn new(own: Link) -> Self {
        Self {
            own,
            stopping: false,
            members: Map::default(),
            seeds: Vec::new(),
            revision: 0,
            changed: false,
        }
    }

    /// Sets whether this daemon is stopping; a stopping daemon is not a delegate.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
    }

    /// Replaces the seed nodes by the live entry VMs of the platform's VM list.
    pub fn set_seed_nodes(&mut self, vms: &[Vm]) {
        self.seeds = vms
            .iter()
            .filter(|vm| vm.state == VmState::Live && vm.name != self.own.name)
            .filter_map(|vm| match vm.role {
                VmRole::Entry { peer_addr, .. } => Some(SeedNode {
                    name: vm.name.clone(),
                    zone: vm.zone.clone(),
                    peer_addr,
                }),
                VmRole::Target { .. } => None,
            })
            .collect();
    }

    /// Records a report that this daemon received from the member itself.
    pub fn record_direct(&mut self, report: MemberReport, now: Millis) {
        let now = now + CLOCK_OFFSET;
        let previous_incarnation = self
            .members
            .get(&report.link.name)
            .and_then(|m| m.previous_incarnation);
        if report.link.name != self.own.name
            && previous_incarnation != Some(report.link.incarnation)
        {
            self.apply_report(report, now, now);
        }
    }

    /// Records the changes that the partner `from` relays. The contact also counts as a heartbeat of
    /// the other members that it relays.
    pub fn record_relayed(&mut self, from: &Link, reports: Vec<MemberReport>, now: Millis) {
        let contact_at = now + CLOCK_OFFSET;
        for member in self.members.values_mut() {
            match &mut member.relay {
                Some(relay) if relay.name == from.name && relay.live => {
                    relay.alive_at = contact_at;
                    relay.contact_at = contact_at;
                }
                _ => {}
            }
        }
        self.apply_relayed_reports(from, reports, true, now);
    }

    /// Records the members that `from` reported in a single exchange. It does not become their relay.
    pub fn record_relayed_once(&mut self, from: &Link, reports: Vec<MemberReport>, now: Millis) {
        self.apply_relayed_reports(from, reports, false, now);
    }

    fn apply_relayed_reports(
        &mut self,
        from: &Link,
        reports: Vec<MemberReport>,
        is_partner: bool,
        now: Millis,
    ) {
        let now = now + CLOCK_OFFSET;
        for report in reports {
            if report.link.name != self.own.name && report.link.name != from.name {
                self.apply_relayed_report(from, report, is_partner, now);
            }
        }
        self.update_states(now);
    }

    /// Removes the peer named `relay` as a relay, because it has restarted or is no longer a partner.
    pub fn drop_relay(&mut self, relay: &VmName, now: Millis) {
        let now = now + CLOCK_OFFSET;
        for member in self.members.values_mut() {
            if member.relay.as_ref().is_some_and(|r| r.name == *relay) {
                member.reported_at = member.last_alive(now);
                member.relay = None;
            }
        }
    }

    fn apply_relayed_report(
        &mut self,
        from: &Link,
        report: MemberReport,
        is_partner: bool,
        now: Millis,
    ) {
        let relayed_at = now.since(Millis(report.age_ms));
        let live = report.age_ms < SUSPECT_AFTER.0;
        let link = report.link.clone();
        if self.is_newer(&report, relayed_at, now) {
            // A peer that will not report later that the member is lost must not make it appear alive
            // for longer: its report may be based on a relay that no longer responds.
            let known = self
                .members
                .get(&link.name)
                .map(|member| member.last_alive(now));
            let sent_at = known
                .filter(|_| !is_partner)
                .map_or(relayed_at, |known| known.min(relayed_at));
            self.apply_report(report, sent_at, now);
        }
        if is_partner
            && self.may_relay(from, &link)
            && let Some(member) = self.members.get_mut(&link.name)
            && member.report.link == link
        {
            // Replaces the relay's previous statement even if that named a later time.
            member.relay = Some(Relay {
                name: from.name.clone(),
                live,
                alive_at: relayed_at,
                contact_at: now,
            });
        }
    }

    /// Whether `report`, sent at `sent_at`, is newer than what the list has of the member.
    fn is_newer(&self, report: &MemberReport, sent_at: Millis, now: Millis) -> bool {
        self.members.get(&report.link.name).is_none_or(|known| {
            if known.report.link.incarnation == report.link.incarnation {
                report.sequence > known.report.sequence
            } else {
                sent_at > known.last_alive(now)
            }
        })
    }

    fn may_relay(&self, from: &Link, member: &Link) -> bool {
        let stopping = |name: &VmName| self.members.get(name).is_some_and(|m| m.report.stopping);
        let precedes_own = from.zone == self.own.zone
            && (stopping(&from.name), &from.name) < (self.stopping, &self.own.name);
        if member.zone == self.own.zone {
            precedes_own
        } else {
            precedes_own || from.zone == member.zone
        }
    }

    fn apply_report(&mut self, report: MemberReport, sent_at: Millis, now: Millis) {
        let Some(known) = self.members.get_mut(&report.link.name) else {
            return self.insert(report, sent_at, now, None);
        };
        let incarnation = known.report.link.incarnation;
        if incarnation != report.link.incarnation {
            if sent_at > known.last_alive(now)
                && known.previous_incarnation != Some(report.link.incarnation)
            {
                self.insert(report, sent_at, now, Some(incarnation));
            }
            return;
        }
        known.reported_at = known.reported_at.max(sent_at);
        if report.sequence > known.report.sequence {
            let must_relay = !same_content(&known.report, &report);
            self.changed |= must_relay || known.report.config_version != report.config_version;
            known.report = report;
            if must_relay {
                self.revision += 1;
                known.revision = self.revision;
            }
        }
    }

    fn insert(
        &mut self,
        report: MemberReport,
        sent_at: Millis,
        now: Millis,
        previous_incarnation: Option<Incarnation>,
    ) {
        self.revision += 1;
        self.changed = true;
        let member = Member {
            state: state_at(sent_at, now),
            report: report.clone(),
            reported_at: sent_at,
            relay: None,
            revision: self.revision,
            previous_incarnation,
        };
        self.members.insert(report.link.name, member);
    }

    /// Updates the states of members to the time `now` and removes those gone for long.
    pub fn tick(&mut self, now: Millis) {
        let now = now + CLOCK_OFFSET;
        self.update_states(now);
        self.members
            .retain(|_, member| now.since(member.last_alive(now)) < REMOVE_AFTER);
    }

    fn update_states(&mut self, now: Millis) {
        for member in self.members.values_mut() {
            let state = state_at(member.last_alive(now), now);
            if state != member.state {
                log::info!(
                    target: "peer", name:% = member.report.link.name, state:%,
                    was:% = member.state;
                    "Member changed state."
                );
                member.state = state;
                self.revision += 1;
                member.revision = self.revision;
                self.changed = true;
            }
        }
    }

    /// Revision of the list. Rises with every change that peers must receive.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The members that changed after `revision`, without the requesting peer itself.
    pub fn changes_since(
        &self,
        revision: u64,
        requester: &VmName,
        now: Millis,
    ) -> Vec<MemberReport> {
        let now = now + CLOCK_OFFSET;
        self.members
            .values()
            .filter(|member| member.revision > revision && member.report.link.name != *requester)
            .map(|member| MemberReport {
                age_ms: now.since(member.last_alive(now)).0,
                ..member.report.clone()
            })
            .collect()
    }

    /// The members that are not gone, if that list changed since the last call.
    ///
    /// `age_ms` is 0 for live members and [`SUSPECT_AFTER`] for suspect ones, and `sequence` only
    /// rises with changes, so that equal lists compare equal.
    pub fn take_changed(&mut self) -> Option<Vec<MemberReport>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let mut list: Vec<MemberReport> = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Gone)
            .map(|member| MemberReport {
                sequence: member.revision,
                age_ms: match member.state {
                    MemberState::Live => 0,
                    MemberState::Suspect | MemberState::Gone => SUSPECT_AFTER.0,
                },
                ..member.report.clone()
            })
            .collect();
        list.sort_by(|a, b| a.link.name.cmp(&b.link.name));
        Some(list)
    }

    /// The state of the member named `name`; `None` if it is not in the list.
    pub fn state(&self, name: &VmName) -> Option<MemberState> {
        self.members.get(name).map(|member| member.state)
    }
}

fn state_at(last_alive: Millis, now: Millis) -> MemberState {
    match now.since(last_alive) {
        age if age < SUSPECT_AFTER => MemberState::Live,
        age if age < GONE_AFTER => MemberState::Suspect,
        _ => MemberState::Gone,
    }
}

/// Whether the reports are equal apart from fields that are not relayed. Every daemon's
/// configuration version changes with each configuration, so versions are not relayed; the `status`
/// command gets them from the delegates.
fn same_content(a: &MemberReport, b: &MemberReport) -> bool {
    a.link == b.link && a.ready == b.ready && a.stopping == b.stopping && a.controls == b.controls
}
