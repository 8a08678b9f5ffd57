//! Builds the operator port's reports from the daemon's snapshot.

use super::OperatorContext;
use crate::{
    collections::Map,
    config::reader,
    entry::snapshot::Snapshot,
    operator::report::{AssignmentReport, ConfigReport, KeyReport, PresetReport, TargetReport},
    store::StoreError,
    table::RoutingTable,
    world::{ServiceName, VmName},
};
use std::collections::BTreeMap;

pub(super) fn config(snapshot: &Snapshot) -> Option<ConfigReport> {
    let config = snapshot.config.as_ref()?;
    Some(ConfigReport {
        head: config.snapshot.head.clone(),
        body: config.snapshot.body.clone(),
    })
}

pub(super) fn presets(snapshot: &Snapshot) -> Option<PresetReport> {
    let config = snapshot.config.as_ref()?;
    Some(PresetReport {
        version: config.version(),
        in_force: config.preset.name.clone(),
        presets: config.declaration.presets.clone(),
    })
}

/// All listed targets, and drained targets that are not listed, sorted by name.
pub(super) fn targets(snapshot: &Snapshot) -> Vec<TargetReport> {
    let owned = partitions_owned(snapshot);
    let drained = snapshot.config.as_ref().map(|c| c.drained.clone());
    let drained = drained.unwrap_or_default();
    let mut targets: Vec<TargetReport> = snapshot
        .targets
        .values()
        .map(|target| TargetReport {
            name: target.name.clone(),
            service: Some(target.service.clone()),
            zone: Some(target.zone.clone()),
            listed: true,
            drained: drained.contains(&target.name),
            leaving: target.leaving,
            partitions: owned.get(&target.name).copied().unwrap_or_default(),
        })
        .collect();
    let unlisted = drained
        .iter()
        .filter(|name| !snapshot.target_names.contains_key(*name));
    targets.extend(unlisted.map(|name| TargetReport {
        name: name.clone(),
        service: None,
        zone: None,
        listed: false,
        drained: true,
        leaving: true,
        partitions: owned.get(name).copied().unwrap_or_default(),
    }));
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets
}

fn partitions_owned(snapshot: &Snapshot) -> Map<VmName, usize> {
    let mut owned = Map::default();
    let owners = snapshot.tables.values().flat_map(|table| &table.owners);
    for owner in owners.flatten() {
        *owned.entry(owner.target.clone()).or_default() += 1;
    }
    owned
}

/// The partition owners of all groups, sorted by group.
pub(super) fn assignment(snapshot: &Snapshot) -> Vec<AssignmentReport> {
    let mut reports: Vec<AssignmentReport> =
        snapshot.tables.values().map(|t| assignment_of(t)).collect();
    reports.sort_by(|a, b| a.group.cmp(&b.group));
    reports
}

fn assignment_of(table: &RoutingTable) -> AssignmentReport {
    let mut owners: BTreeMap<VmName, Vec<u32>> = BTreeMap::new();
    let mut unassigned = Vec::new();
    for (i, owner) in table.owners.iter().enumerate() {
        match owner {
            Some(owner) => owners
                .entry(owner.target.clone())
                .or_default()
                .push(i as u32),
            None => unassigned.push(i as u32),
        }
    }
    AssignmentReport {
        group: table.group.clone(),
        version: table.version,
        owners: owners.into_iter().collect(),
        unassigned,
    }
}

/// The partition and owner of `key` in `service`, or in the only keyed service if that is `None`.
pub(super) fn locate(
    snapshot: &Snapshot,
    key: &str,
    service: Option<&str>,
) -> Result<KeyReport, String> {
    let mut keyed: Vec<&ServiceName> = snapshot
        .services
        .iter()
        .filter(|(name, view)| view.contract.keyed && service.is_none_or(|s| *name.0 == *s))
        .map(|(name, _)| name)
        .collect();
    keyed.sort();
    let [name] = keyed.as_slice() else {
        return Err(match (service, keyed.is_empty()) {
            (Some(service), _) => format!("no keyed service is named {service}"),
            (None, true) => "there is no keyed service".into(),
            (None, false) => "there are several keyed services; specify one".into(),
        });
    };
    let (partition, owner) = snapshot.services[*name].owner_of(key);
    let target = owner.and_then(|(target, _)| snapshot.targets.get(target));
    Ok(KeyReport {
        service: (*name).clone(),
        key: key.into(),
        partition: partition.0,
        owner: target.map(|target| target.name.clone()),
        epoch: owner.map(|(_, epoch)| epoch),
    })
}

/// The latest configuration version in the store, or the one in force here if that is higher.
pub(super) async fn latest_version(context: &OperatorContext) -> Result<u64, StoreError> {
    let row = context.store.read_row(reader::HEAD_ROW).await?;
    let head = row.as_ref().map(reader::parse_head).transpose()?;
    let config = context.directory.snapshot().load().config.clone();
    let in_force = config.map_or(0, |config| config.version());
    Ok(head.map_or(0, |head| head.version).max(in_force))
}
