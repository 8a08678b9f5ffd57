//! Which daemons are alive, as one daemon sees it.
//!
//! The platform's lagging VM list gives addresses to try; only a daemon's own reports make it a
//! member. A report arrives directly or through a peer. Relayed reports carry their age. Between
//! changes a relay sends nothing, and hearing from the relay confirms its members. Relaying
//! follows a fixed order (within a zone from the delegate upwards by name, and out of a member's
//! zone), so that two daemons cannot keep a lost member alive for each other.

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

/// A member not heard from for this time is suspect: it gets no new duties.
pub const SUSPECT_AFTER: Millis = Millis(1_000);
/// A member not heard from for this time is gone.
pub const GONE_AFTER: Millis = Millis(5_000);
/// Members that are gone are kept for this time, so that peers learn of it.
const FORGET_AFTER: Millis = Millis(60_000);
/// The silence of a relay says nothing of its members. Their age stands still for this time,
/// until another peer relays them.
const RELAY_GRACE: Millis = SUSPECT_AFTER;
/// Added to the daemon's clock, which starts at zero, so that ages of relayed reports fit.
const CLOCK_OFFSET: Millis = FORGET_AFTER;

/// How recently a member was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum MemberState {
    /// Heard within [`SUSPECT_AFTER`].
    Live,
    /// Not heard for [`SUSPECT_AFTER`].
    Suspect,
    /// Not heard for [`GONE_AFTER`].
    Gone,
}

#[derive(Clone, Debug)]
struct Member {
    report: MemberReport,
    /// Latest time at which the member is known to have sent a report.
    reported: Millis,
    state: MemberState,
    relay: Option<Relay>,
    /// Revision of the list at its last change.
    revision: u64,
    /// The run before this one, whose late reports are ignored.
    replaced: Option<Incarnation>,
}

/// A peer whose heartbeats stand for those of a member between changes.
#[derive(Clone, Debug)]
struct Relay {
    name: VmName,
    /// Whether it stated last that the member is live.
    live: bool,
    /// When the member was alive by its word.
    heard: Millis,
    /// When the peer was heard last.
    at: Millis,
}

impl Member {
    /// The latest time at which the member was alive, by its own reports or its relay.
    fn heard(&self, now: Millis) -> Millis {
        let relayed = match &self.relay {
            Some(relay) if relay.live => relay.heard + now.since(relay.at).min(RELAY_GRACE),
            Some(relay) => relay.heard,
            None => Millis::ZERO,
        };
        self.reported.max(relayed)
    }
}

/// An address to try, out of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// Name of the VM.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer server.
    pub peer_addr: SocketAddr,
}

/// The members that one daemon knows, without itself.
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
    /// A list without members, kept by the daemon `own`.
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

    /// Notes whether this daemon itself is stopping; it is then no delegate.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
    }

    /// Takes addresses from the platform's VM list.
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

    /// Takes a report that the member itself sent to this daemon.
    pub fn record_direct(&mut self, report: MemberReport, now: Millis) {
        let now = now + CLOCK_OFFSET;
        let replaced = self.members.get(&report.link.name).and_then(|m| m.replaced);
        if report.link.name != self.own.name && replaced != Some(report.link.incarnation) {
            self.take(report, now, now);
        }
    }

    /// Takes the changes that the partner `from` relays; hearing from it confirms the others.
    pub fn record_relayed(&mut self, from: &Link, reports: Vec<MemberReport>, now: Millis) {
        let at = now + CLOCK_OFFSET;
        for member in self.members.values_mut() {
            match &mut member.relay {
                Some(relay) if relay.name == from.name && relay.live => {
                    relay.heard = at;
                    relay.at = at;
                }
                _ => {}
            }
        }
        self.hear_relayed(from, reports, true, now);
    }

    /// Takes the members that `from` has told once. It is not their relay later on.
    pub fn record_relayed_once(&mut self, from: &Link, reports: Vec<MemberReport>, now: Millis) {
        self.hear_relayed(from, reports, false, now);
    }

    fn hear_relayed(
        &mut self,
        from: &Link,
        reports: Vec<MemberReport>,
        lasting: bool,
        now: Millis,
    ) {
        let now = now + CLOCK_OFFSET;
        for report in reports {
            if report.link.name != self.own.name && report.link.name != from.name {
                self.take_relayed(from, report, lasting, now);
            }
        }
        self.update_states(now);
    }

    /// Ends relaying by the peer named `relay`: it has restarted, or is no partner now.
    pub fn drop_relay(&mut self, relay: &VmName, now: Millis) {
        let now = now + CLOCK_OFFSET;
        for member in self.members.values_mut() {
            if member.relay.as_ref().is_some_and(|v| v.name == *relay) {
                member.reported = member.heard(now);
                member.relay = None;
            }
        }
    }

    fn take_relayed(&mut self, from: &Link, report: MemberReport, lasting: bool, now: Millis) {
        let stated = now.since(Millis(report.age_ms));
        let live = report.age_ms < SUSPECT_AFTER.0;
        let link = report.link.clone();
        if self.is_news(&report, stated, now) {
            // A peer that does not take its word back later must not extend a member's life: its
            // report may rest on a relay that fell silent.
            let known = self.members.get(&link.name).map(|member| member.heard(now));
            let heard = known
                .filter(|_| !lasting)
                .map_or(stated, |known| known.min(stated));
            self.take(report, heard, now);
        }
        if lasting
            && self.may_relay(from, &link)
            && let Some(member) = self.members.get_mut(&link.name)
            && member.report.link == link
        {
            // The new word replaces the former one, which may have named a later time.
            member.relay = Some(Relay {
                name: from.name.clone(),
                live,
                heard: stated,
                at: now,
            });
        }
    }

    /// Whether `report` shows that the member spoke after what is known of it.
    fn is_news(&self, report: &MemberReport, heard: Millis, now: Millis) -> bool {
        self.members.get(&report.link.name).is_none_or(|known| {
            if known.report.link.incarnation == report.link.incarnation {
                report.sequence > known.report.sequence
            } else {
                heard > known.heard(now)
            }
        })
    }

    fn may_relay(&self, from: &Link, member: &Link) -> bool {
        let stopping = |name: &VmName| self.members.get(name).is_some_and(|m| m.report.stopping);
        let before_own = from.zone == self.own.zone
            && (stopping(&from.name), &from.name) < (self.stopping, &self.own.name);
        if member.zone == self.own.zone {
            before_own
        } else {
            before_own || from.zone == member.zone
        }
    }

    fn take(&mut self, report: MemberReport, heard: Millis, now: Millis) {
        let Some(known) = self.members.get_mut(&report.link.name) else {
            return self.insert(report, heard, now, None);
        };
        let incarnation = known.report.link.incarnation;
        if incarnation != report.link.incarnation {
            if heard > known.heard(now) && known.replaced != Some(report.link.incarnation) {
                self.insert(report, heard, now, Some(incarnation));
            }
            return;
        }
        known.reported = known.reported.max(heard);
        if report.sequence > known.report.sequence {
            let relay = !same_content(&known.report, &report);
            self.changed |= relay || known.report.config_version != report.config_version;
            known.report = report;
            if relay {
                self.revision += 1;
                known.revision = self.revision;
            }
        }
    }

    fn insert(
        &mut self,
        report: MemberReport,
        heard: Millis,
        now: Millis,
        replaced: Option<Incarnation>,
    ) {
        self.revision += 1;
        self.changed = true;
        let member = Member {
            state: state_at(heard, now),
            report: report.clone(),
            reported: heard,
            relay: None,
            revision: self.revision,
            replaced,
        };
        self.members.insert(report.link.name, member);
    }

    /// Takes note of the time: silent members become suspect, then gone.
    pub fn tick(&mut self, now: Millis) {
        let now = now + CLOCK_OFFSET;
        self.update_states(now);
        self.members
            .retain(|_, member| now.since(member.heard(now)) < FORGET_AFTER);
    }

    fn update_states(&mut self, now: Millis) {
        for member in self.members.values_mut() {
            let state = state_at(member.heard(now), now);
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

    /// Rises whenever peers need to be told of a change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What changed after `revision`, for the peer named `asker`.
    pub fn changes_since(&self, revision: u64, asker: &VmName, now: Millis) -> Vec<MemberReport> {
        let now = now + CLOCK_OFFSET;
        self.members
            .values()
            .filter(|member| member.revision > revision && member.report.link.name != *asker)
            .map(|member| MemberReport {
                age_ms: now.since(member.heard(now)).0,
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

    /// The state of the member named `name`; `None` if it is not known.
    pub fn state(&self, name: &VmName) -> Option<MemberState> {
        self.members.get(name).map(|member| member.state)
    }
}

fn state_at(heard: Millis, now: Millis) -> MemberState {
    match now.since(heard) {
        silent if silent < SUSPECT_AFTER => MemberState::Live,
        silent if silent < GONE_AFTER => MemberState::Suspect,
        _ => MemberState::Gone,
    }
}

/// Whether peers need not be told of the difference. Configuration versions change with every
/// configuration on all daemons; `status` asks the delegates for them instead.
fn same_content(a: &MemberReport, b: &MemberReport) -> bool {
    a.link == b.link && a.ready == b.ready && a.stopping == b.stopping && a.controls == b.controls
}
