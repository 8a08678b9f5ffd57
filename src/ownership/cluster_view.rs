//! The state of the cluster and the settings that a controller works from.

use super::timing::MAX_STANDBYS;
use crate::{
    collections::Map,
    declaration::{QuietHours, Weights},
    entry::snapshot::Snapshot,
    world::{GroupId, Link, ServiceName, VmName, ZoneName},
};
use std::net::SocketAddr;

/// Least number of delegates, if there are as many daemons. Delegates read the controller row
/// without a request, so they notice when a controller has named them standbys.
const MIN_DELEGATES: usize = 3;

/// A listed target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address to which grants are sent.
    pub addr: SocketAddr,
    /// Whether the platform or an operator wants its partitions moved to other targets.
    pub leaving: bool,
}

/// Cluster state and settings of one service, as seen by this daemon.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Targets of the service on the platform's list.
    pub targets: Map<VmName, TargetView>,
    /// Whether the targets check grants themselves.
    pub checks_grants: bool,
    /// Other daemons that are alive and not stopping.
    pub members: Vec<Link>,
    /// Standbys of the controller, from its latest routing table.
    pub standbys: Vec<Link>,
    /// Length of leases granted in hold mode, in milliseconds.
    pub hold_ms: u64,
    /// Weights of the preset for placement.
    pub weights: Weights,
    /// Most moves per minute to balance load.
    pub moves_per_minute: u32,
    /// Whether quiet hours apply, in which no moves are made to balance load.
    pub quiet: bool,
}

impl ClusterView {
    /// Extracts the view of `service` from a snapshot; `None` without a configuration or if it
    /// lacks the service.
    pub fn from_snapshot(snapshot: &Snapshot, service: &ServiceName, quiet: bool) -> Option<Self> {
        let config = snapshot.config.as_ref()?;
        let preset = &config.preset;
        let contracts = &config.declaration.services;
        let contract = contracts.iter().find(|c| c.name == *service)?;
        let targets = snapshot
            .targets
            .values()
            .filter(|target| target.service == *service)
            .map(|target| {
                let view = TargetView {
                    zone: target.zone.clone(),
                    addr: target.addr,
                    leaving: target.leaving,
                };
                (target.name.clone(), view)
            })
            .collect();
        let group = GroupId::of(service);
        let table = snapshot.tables.get(&group);
        let standbys = table.map_or(Vec::new(), |table| table.standbys.clone());
        let members = snapshot
            .members
            .iter()
            .filter(|member| !member.stopping)
            .map(|member| member.link.clone())
            .collect();
        Some(Self {
            targets,
            checks_grants: contract.checks_grants,
            members,
            standbys,
            hold_ms: preset.hold_ms,
            weights: preset.weights,
            moves_per_minute: preset.moves_per_minute,
            quiet,
        })
    }

    /// The delegates among `me` and the members: the daemon with the lowest name of each zone, and
    /// further daemons if there are fewer than `MIN_DELEGATES` zones.
    pub fn delegates<'a>(&'a self, me: &'a Link) -> Vec<&'a Link> {
        let mut live: Vec<&Link> = self.members.iter().filter(|m| m.name != me.name).collect();
        live.push(me);
        live.sort_by(|a, b| a.name.cmp(&b.name));
        let mut chosen: Vec<&Link> = Vec::new();
        for link in &live {
            if chosen.iter().all(|c| c.zone != link.zone) {
                chosen.push(link);
            }
        }
        for link in live {
            if chosen.len() < MIN_DELEGATES && !chosen.contains(&link) {
                chosen.push(link);
            }
        }
        chosen
    }

    /// Chooses standbys: first the live ones of `current`, then delegates; in different zones, and
    /// not in that of `me`, if possible.
    pub fn choose_standbys(&self, me: &Link, current: &[Link]) -> Vec<Link> {
        let live = current.iter().filter(|link| self.members.contains(link));
        let mut rest: Vec<&Link> = live.chain(self.delegates(me)).collect();
        rest.retain(|link| link.name != me.name);
        let mut chosen: Vec<Link> = Vec::new();
        for other_zones in [true, false] {
            for link in &rest {
                let zone_taken = link.zone == me.zone || chosen.iter().any(|c| c.zone == link.zone);
                let already_chosen = chosen.iter().any(|c| c.name == link.name);
                if chosen.len() < MAX_STANDBYS && !already_chosen && !(other_zones && zone_taken) {
                    chosen.push((*link).clone());
                }
            }
        }
        chosen
    }
}

/// Whether `minute` of the UTC day lies in one of `spans`. Invalid spans are ignored.
pub fn is_in_quiet_hours(spans: &[QuietHours], minute: u32) -> bool {
    spans.iter().any(
        |span| match (minute_of_day(&span.from), minute_of_day(&span.to)) {
            (Some(from), Some(to)) if from <= to => (from..to).contains(&minute),
            (Some(from), Some(to)) => minute >= from || minute < to,
            _ => false,
        },
    )
}

fn minute_of_day(text: &str) -> Option<u32> {
    let (hours, minutes) = text.split_once(':')?;
    let (hours, minutes): (u32, u32) = (hours.parse().ok()?, minutes.parse().ok()?);
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}
