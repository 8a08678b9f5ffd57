//! When owners in evacuated zones give up their keys.

use super::Controller;
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        evacuation::EmptyingPeriod,
        model::{EndpointEntry, EndpointInstance},
    },
    world::{ServiceName, ZoneName},
};

impl Controller {
    /// Sets the evacuated zones, and when their owners begin to give up their keys.
    pub fn set_evacuations(&mut self, zones: Map<ZoneName, EmptyingPeriod>) {
        self.evacuating.zones = zones;
        self.evacuating.plan(self.endpoints.values());
    }
}

/// The evacuated zones, and the owners there that have to give up their keys.
#[derive(Debug, Default)]
pub(super) struct Evacuating {
    zones: Map<ZoneName, EmptyingPeriod>,
    /// When each endpoint in these zones has to give up its keys. Those of a service without any other
    /// endpoint keep them.
    turns: Map<EndpointInstance, Millis>,
}

impl Evacuating {
    /// Whether endpoints in `zone` are assigned no keys.
    pub(super) fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether `owner` has to give up keys at `now`. Keys that it has not confirmed are taken at once.
    pub(super) fn takes_from(
        &self,
        owner: &EndpointInstance,
        is_confirmed: bool,
        now: Millis,
    ) -> bool {
        let turn = self.turns.get(owner);
        turn.is_some_and(|turn| !is_confirmed || now >= *turn)
    }

    /// Plans the turns of the registered endpoints in evacuated zones.
    pub(super) fn plan<'a>(&mut self, entries: impl Iterator<Item = &'a EndpointEntry>) {
        self.turns.clear();
        if self.zones.is_empty() {
            return;
        }
        let mut services: Map<&ServiceName, Vec<&EndpointEntry>> = Map::default();
        for entry in entries {
            services.entry(&entry.service).or_default().push(entry);
        }
        for members in services.values() {
            self.plan_service(members);
        }
    }

    fn plan_service(&mut self, members: &[&EndpointEntry]) {
        let can_take = |entry: &&&EndpointEntry| !entry.draining && !self.is_evacuated(&entry.zone);
        if members.iter().find(can_take).is_none() {
            return;
        }
        for (zone, period) in &self.zones {
            let in_zone = members.iter().filter(|entry| entry.zone == *zone);
            let mut instances: Vec<&EndpointInstance> =
                in_zone.map(|entry| &entry.instance).collect();
            instances.sort();
            let count = instances.len();
            for (position, instance) in instances.into_iter().enumerate() {
                let turn = period.turn(position, count);
                self.turns.insert(instance.clone(), turn);
            }
        }
    }
}
