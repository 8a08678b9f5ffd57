//! Inputs of the scaling measurements, by size.

use fireflygauge::{
    config::{ConfigHead, ConfigSnapshot},
    peer::message::{Item, MemberReport, PeerReply, SyncReply, VmsStamp},
    table::{Owner, RoutingTable, TableVersion},
    world::{GroupId, Incarnation, Link, Vm, VmName, VmRole, VmState, ZoneName},
};
use std::net::{Ipv4Addr, SocketAddr};

pub(super) fn group() -> GroupId {
    GroupId {
        service: "rounds".into(),
        index: 0,
    }
}

pub(super) fn name(kind: &str, i: usize) -> VmName {
    format!("{kind}-{i:05}").as_str().into()
}

pub(super) fn link(i: usize) -> Link {
    Link {
        name: name("entry", i),
        incarnation: Incarnation(u64::MAX - i as u64),
        zone: ZoneName(format!("zone-{:02}", i % 21).into()),
        peer_addr: SocketAddr::from((Ipv4Addr::new(10, 0, (i >> 8) as u8, i as u8), 7001)),
    }
}

pub(super) fn report(i: usize, sequence: u64) -> MemberReport {
    MemberReport {
        link: link(i),
        sequence,
        age_ms: 0,
        config_version: 4_500,
        ready: true,
        stopping: false,
        controls: Vec::new(),
    }
}

pub(super) fn routing_table(partitions: usize, targets: usize, revision: u64) -> RoutingTable {
    let owner = |p: usize| {
        Some(Owner {
            target: name("target", (p + revision as usize) % targets),
            epoch: 1_000,
        })
    };
    RoutingTable {
        group: group(),
        version: TableVersion {
            controller_epoch: 7,
            revision,
        },
        owners: (0..partitions).map(owner).collect(),
        fronts: Vec::new(),
        standbys: Vec::new(),
    }
}

pub(super) fn reply(members: usize, items: Vec<Item>) -> PeerReply {
    PeerReply::Sync(SyncReply {
        sender: report(0, 1_000_000),
        members: (1..=members).map(|i| report(i, 1_000_000)).collect(),
        members_revision: 1_000_000,
        vms: VmsStamp { hash: 1, age_ms: 0 },
        items,
        config_version: 4_500,
        tables: vec![(group(), TableVersion::default())],
    })
}

/// A reply without updates, to a daemon that has the tables of `groups` groups.
pub(super) fn reply_with_versions(groups: u16) -> PeerReply {
    let version = |index| {
        let group = GroupId { index, ..group() };
        let version = TableVersion {
            controller_epoch: 300,
            revision: 100_000,
        };
        (group, version)
    };
    let PeerReply::Sync(mut reply) = reply(0, Vec::new()) else {
        unreachable!("the reply is a sync reply");
    };
    reply.tables = (0..groups).map(version).collect();
    PeerReply::Sync(reply)
}

pub(super) fn config() -> ConfigSnapshot {
    ConfigSnapshot {
        head: ConfigHead {
            version: 1,
            body_hash: "0".repeat(64).into(),
            preset: "ordinary".into(),
            drained: Vec::new(),
            by: "operator".into(),
            at: "2026-01-01T00:00:00Z".into(),
            operation: "0".repeat(32).into(),
        },
        body: include_str!("../../../../examples/mittelland.toml").into(),
    }
}

pub(super) fn vms(daemons: usize, targets: usize) -> Vec<Vm> {
    let entry = |i| Vm {
        name: name("entry", i),
        zone: link(i).zone,
        addr: link(i).peer_addr,
        state: VmState::Live,
        role: VmRole::Entry {
            peer_addr: link(i).peer_addr,
            operator_addr: link(i).peer_addr,
        },
    };
    let target = |i| Vm {
        name: name("target", i),
        role: VmRole::Target {
            service: "rounds".into(),
        },
        ..entry(i)
    };
    (0..daemons)
        .map(entry)
        .chain((0..targets).map(target))
        .collect()
}
