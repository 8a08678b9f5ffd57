//! Positions of daemons among those of their availability zones, from which their endpoint sets follow.

use super::{Control, handover::MIN_TENURE};
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{endpoint_set::FleetPosition, platform::Platform},
    world::{VmName, ZoneName},
};

/// The positions of `daemons`, those of each zone in the order of their names.
pub fn positions<'a>(
    daemons: impl IntoIterator<Item = (&'a VmName, &'a ZoneName)>,
) -> Map<VmName, FleetPosition> {
    let mut zones: Map<&ZoneName, Vec<&VmName>> = Map::default();
    for (name, zone) in daemons {
        zones.entry(zone).or_default().push(name);
    }
    let mut positions = Map::default();
    for names in zones.values_mut() {
        names.sort();
        for (rank, name) in names.iter().enumerate() {
            let position = FleetPosition::of_rank(rank, names.len());
            positions.insert((*name).clone(), position);
        }
    }
    positions
}

impl<P: Platform> Control<P> {
    /// Determines the positions of the daemons that report to this one, if it has been the controller
    /// for so long that it knows them all. Positions among a few would move the sets of all.
    pub(super) fn update_positions(&mut self, now: Millis) {
        let is_settled = self
            .holder_since
            .is_some_and(|since| now.since(since) >= MIN_TENURE);
        if !is_settled {
            self.positions.clear();
            return;
        }
        let daemons = self.daemons.iter();
        self.positions = positions(daemons.map(|(name, daemon)| (name, &daemon.zone)));
        if let Some(position) = self.positions.get(&self.cx.name).copied() {
            self.set_position(position);
        }
    }

    /// Uses this position from now on.
    pub(super) fn set_position(&mut self, position: FleetPosition) {
        if self.builder.set_position(position) {
            log::info!(target: "health", position:? = position;
                "Position in the zone changed; endpoint sets move.");
            self.publish();
        }
    }
}
