//! Reports of evacuated zones: how many endpoints are there, and what still runs.

use crate::{
    clock::Millis,
    gateway::{
        model::EndpointInstance,
        view::{Member, View},
    },
    world::ZoneName,
};
use serde::Serialize;

/// An evacuated zone as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EvacuationReport {
    /// The zone.
    pub zone: ZoneName,
    /// Version of the request's row in the store.
    pub version: u64,
    /// Time since the daemon learned of the request, in milliseconds.
    pub age_ms: u64,
    /// For how long requests for keys are still sent to their owners in the zone, in milliseconds.
    pub keyed_ms: u64,
    /// Registered endpoints in the zone.
    pub endpoints: usize,
    /// Key ranges whose owner is in the zone.
    pub ranges: usize,
    /// Requests of this daemon in flight at these endpoints.
    pub in_flight: u32,
}

/// Reports of all evacuated zones, by name.
pub fn reports(view: &View, now: Millis) -> Vec<EvacuationReport> {
    let zones = view.evacuations.zones();
    let mut reports: Vec<EvacuationReport> = zones
        .map(|(zone, evacuation)| {
            let members = members_in(view, zone);
            EvacuationReport {
                zone: zone.clone(),
                version: evacuation.version,
                age_ms: now.since(evacuation.learned_at).0,
                keyed_ms: evacuation.keyed_until.since(now).0,
                endpoints: members.len(),
                ranges: ranges_of(view, &members),
                in_flight: members
                    .iter()
                    .map(|member| member.backend.in_flight())
                    .sum(),
            }
        })
        .collect();
    reports.sort_by(|a, b| a.zone.cmp(&b.zone));
    reports
}

fn members_in<'a>(view: &'a View, zone: &ZoneName) -> Vec<&'a Member> {
    let members = view.services.values().flat_map(|service| &service.members);
    members
        .filter(|member| member.backend.entry.zone == *zone)
        .collect()
}

fn ranges_of(view: &View, members: &[&Member]) -> usize {
    let ranges = view
        .services
        .values()
        .flat_map(|service| service.owners.ranges());
    let is_owned_there = |owner: &EndpointInstance| {
        let mut members = members.iter();
        members.any(|member| member.backend.entry.instance == *owner)
    };
    ranges.filter(|range| is_owned_there(&range.owner)).count()
}
