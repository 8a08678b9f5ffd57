//! What the controller is told of its surroundings.

use super::timing::MAX_STANDBYS;
use crate::{
    collections::Map,
    declaration::{QuietHours, Weights},
    entry::snapshot::Snapshot,
    world::{GroupId, Link, ServiceName, VmName, ZoneName},
};
use std::net::SocketAddr;

/// Zone delegates that are chosen at least, if there are as many daemons. They are the daemons
/// that learn by themselves that a controller has named them standbys.
const MIN_DELEGATES: usize = 3;

/// A listed target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that takes grants.
    pub addr: SocketAddr,
    /// The platform or an operator wants it emptied.
    pub leaving: bool,
}

/// The surroundings of a controller.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Targets of the service that the platform lists.
    pub targets: Map<VmName, TargetView>,
    /// Whether the targets check grants themselves.
    pub checks_grants: bool,
    /// Other daemons that are alive and not stopping.
    pub members: Vec<Link>,
    /// The controller's standbys as its latest routing table names them.
    pub standbys: Vec<Link>,
    /// Length of leases granted in hold mode, in milliseconds.
    pub hold_ms: u64,
    /// Weights of placement.
    pub weights: Weights,
    /// Moves allowed in a minute to even out load.
    pub moves_per_minute: u32,
    /// Whether these are quiet hours.
    pub quiet: bool,
}

impl ClusterView {
    /// The facts for `service` out of a snapshot; `None` without a configuration.
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

    /// The zone delegates among `me` and the members: the lowest name of each zone, and more if
    /// there are few zones.
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

    /// The standbys to name: live ones of `current`, then delegates, in other zones if possible.
    pub fn choose_standbys(&self, me: &Link, current: &[Link]) -> Vec<Link> {
        let live = current.iter().filter(|link| self.members.contains(link));
        let mut rest: Vec<&Link> = live.chain(self.delegates(me)).collect();
        rest.retain(|link| link.name != me.name);
        let mut chosen: Vec<Link> = Vec::new();
        for other_zones in [true, false] {
            for link in &rest {
                let zone_taken = link.zone == me.zone || chosen.iter().any(|c| c.zone == link.zone);
                let known = chosen.iter().any(|c| c.name == link.name);
                if chosen.len() < MAX_STANDBYS && !known && !(other_zones && zone_taken) {
                    chosen.push((*link).clone());
                }
            }
        }
        chosen
    }
}

/// Whether `minute` of the UTC day lies in one of `spans`. Malformed spans are ignored.
pub fn is_quiet(spans: &[QuietHours], minute: u32) -> bool {
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
