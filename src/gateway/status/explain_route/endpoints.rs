//! Describes the endpoints that a decision considers, and those that it excludes.

use super::report::{EndpointRestriction, EndpointState, LoadReport};
use crate::{
    clock::Millis,
    gateway::{
        claim::{Claim, Counting, Obstacle},
        selection::{self, Candidates, Wanted},
        status::explain,
        view::{Member, ServiceView},
    },
};
use std::{collections::BTreeMap, sync::Arc};
use strum::Display;

/// Most endpoints in a report.
pub const MAX_ENDPOINTS: usize = 32;
/// Name under which candidates that are not listed are counted.
const CANDIDATE: &str = "candidate";

/// Why an endpoint is not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Exclusion {
    /// Its zone is evacuated.
    Evacuated,
    /// Another endpoint responded at its address.
    Replaced,
    /// It asked for a pause.
    Paused,
    /// It keeps failing, and others do not.
    Failing,
    /// It leaves, and others stay.
    Leaving,
    /// Others are used before it.
    NotNeeded,
}

/// How endpoints are compared for one request.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// Work by which the endpoint is chosen, in milliseconds.
    pub work_ms: f64,
    /// Number of daemons that share the endpoints.
    pub daemons: usize,
    /// Whether the request may overtake the queue, or there is none.
    pub is_first: bool,
    /// The time of the decision.
    pub now: Millis,
}

/// The endpoints of a service without keys, the most probable ones first, and the number of those that
/// are not listed.
pub fn of_service(
    service: &ServiceView,
    comparison: Comparison,
) -> (Vec<EndpointState>, BTreeMap<Arc<str>, usize>) {
    let now = comparison.now;
    let wanted = Wanted {
        work_ms: comparison.work_ms,
        tried: &[],
        daemons: comparison.daemons,
        is_rare: false,
    };
    let candidates = selection::candidates(service, wanted, Claim::Peek, now);
    let is_candidate = |member: &Member| candidates.groups.iter().any(|g| contains(g, member));
    let counting = counting(&candidates.groups.concat(), now);
    let mut described: Vec<(EndpointState, &Member)> = service
        .members
        .iter()
        .map(|member| {
            let exclusion = (!is_candidate(member)).then(|| exclusion_of(member, now));
            let counting = counting.unwrap_or(Counting::WithoutLong);
            let state = describe(member, comparison, candidates.exponent, exclusion, counting);
            (state, member)
        })
        .collect();
    set_probabilities(&mut described, &candidates, comparison);
    let mut states: Vec<EndpointState> = described.into_iter().map(|(state, _)| state).collect();
    states.sort_by(|a, b| {
        let by_probability = b.probability.total_cmp(&a.probability);
        by_probability
            .then(a.excluded.is_some().cmp(&b.excluded.is_some()))
            .then(a.weighted_end_ms.total_cmp(&b.weighted_end_ms))
    });
    let omitted = states.split_off(states.len().min(MAX_ENDPOINTS));
    (states, count_by_exclusion(&omitted))
}

/// The owner of a key.
pub fn of_owner(owner: &Member, comparison: Comparison) -> EndpointState {
    let now = comparison.now;
    let exclusion = (owner.backend.is_replaced(now) || !owner.backend.is_open(now))
        .then(|| exclusion_of(owner, now));
    let counting = counting(&[owner], now).unwrap_or(Counting::WithoutLong);
    let exponent = selection::exponent(comparison.daemons, 1.0);
    let mut state = describe(owner, comparison, exponent, exclusion, counting);
    let is_possible = state.excluded.is_none() && state.obstacle.is_none();
    state.probability = if is_possible && comparison.is_first {
        1.0
    } else {
        0.0
    };
    state
}

/// Which requests in flight count: all if there is room then, else without the long ones; `None` if
/// there is no room.
fn counting(candidates: &[&Member], now: Millis) -> Option<Counting> {
    let has_room = |counting: &Counting| {
        let mut candidates = candidates.iter();
        candidates.any(|member| obstacle_of(member, *counting, now).is_none())
    };
    [Counting::All, Counting::WithoutLong]
        .into_iter()
        .find(has_room)
}

fn obstacle_of(member: &Member, counting: Counting, now: Millis) -> Option<Obstacle> {
    member.backend.acquire(Claim::Peek, counting, now).err()
}

fn exclusion_of(member: &Member, now: Millis) -> Exclusion {
    let backend = &member.backend;
    if member.is_evacuated {
        Exclusion::Evacuated
    } else if backend.is_replaced(now) {
        Exclusion::Replaced
    } else if backend.pause.blocked_until(now).is_some() {
        Exclusion::Paused
    } else if member.is_leaving() {
        Exclusion::Leaving
    } else if backend.is_ejected(now) {
        Exclusion::Failing
    } else {
        Exclusion::NotNeeded
    }
}

/// Sets the probabilities of the endpoints in the first group with room.
fn set_probabilities(
    described: &mut [(EndpointState, &Member)],
    candidates: &Candidates<'_>,
    comparison: Comparison,
) {
    let is_possible = |state: &EndpointState| {
        comparison.is_first && state.excluded.is_none() && state.obstacle.is_none()
    };
    let has_room = |group: &&Vec<&Member>| {
        let mut possible = described.iter().filter(|(state, _)| is_possible(state));
        possible.any(|(_, member)| contains(group, member))
    };
    let Some(group) = candidates.groups.iter().find(has_room) else {
        return;
    };
    let weight = |state: &EndpointState| state.weighted_end_ms.powf(-candidates.exponent);
    let is_chosen =
        |state: &EndpointState, member: &Member| is_possible(state) && contains(group, member);
    let chosen = described.iter().filter(|(s, member)| is_chosen(s, member));
    let total: f64 = chosen.map(|(state, _)| weight(state)).sum();
    for (state, member) in described {
        if is_chosen(state, member) && total > 0.0 {
            state.probability = weight(state) / total;
        }
    }
}

fn contains(members: &[&Member], member: &Member) -> bool {
    let instance = &member.backend.entry.instance;
    members
        .iter()
        .any(|other| other.backend.entry.instance == *instance)
}

fn count_by_exclusion(omitted: &[EndpointState]) -> BTreeMap<Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for state in omitted {
        let exclusion = state.excluded.clone().unwrap_or_else(|| CANDIDATE.into());
        *counts.entry(exclusion).or_default() += 1;
    }
    counts
}

fn describe(
    member: &Member,
    comparison: Comparison,
    exponent: f64,
    exclusion: Option<Exclusion>,
    counting: Counting,
) -> EndpointState {
    let (backend, now) = (&member.backend, comparison.now);
    let (entry, observed) = (&backend.entry, backend.observed(now));
    let weighted_end_ms = selection::weighted_end_ms(member, comparison.work_ms, exponent, now);
    EndpointState {
        endpoint: Arc::clone(&entry.instance.name),
        started_at_ms: entry.instance.started_at_ms,
        addr: entry.addr,
        zone: entry.zone.clone(),
        is_local: member.is_local,
        excluded: exclusion.map(|exclusion| exclusion.to_string().into()),
        obstacle: obstacle_of(member, counting, now).map(|obstacle| obstacle.to_string().into()),
        probability: 0.0,
        estimated_end_ms: backend.estimated_end_ms(comparison.work_ms, now),
        weighted_end_ms,
        in_flight: observed.in_flight,
        limit: observed.limit,
        relative_latency: observed.relative_latency,
        failure_rate: observed.failure_rate,
        load: observed.load.map(|(load, age)| LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_ms: age.0,
        }),
        slowdown: observed.slowdown.map(|(factor, age)| (factor, age.0)),
        restrictions: restrictions(member, now),
        age_ms: now.since(backend.first_seen).0,
    }
}

fn restrictions(member: &Member, now: Millis) -> Vec<EndpointRestriction> {
    let observed = member.backend.observed(now);
    let of = |kind: &str, restriction: Option<explain::Restriction>| {
        restriction.map(|r| EndpointRestriction {
            kind: kind.into(),
            source: r.source,
            age_ms: Some(r.age_ms),
            left_ms: Some(r.left_ms),
            interval_ms: None,
        })
    };
    let until = |kind: &str, left: Option<Millis>| {
        left.map(|left| EndpointRestriction {
            kind: kind.into(),
            source: "response".into(),
            age_ms: None,
            left_ms: Some(left.0),
            interval_ms: None,
        })
    };
    let limit = explain::limit(member, now).map(|limit| EndpointRestriction {
        kind: "limit".into(),
        source: limit.source,
        age_ms: Some(limit.age_ms),
        left_ms: None,
        interval_ms: Some(limit.interval_ms),
    });
    let cold = explain::cold(member, now).map(|cold| EndpointRestriction {
        kind: "cold".into(),
        source: "registry".into(),
        age_ms: Some(cold.age_ms),
        left_ms: Some(cold.left_ms),
        interval_ms: Some(cold.interval_ms),
    });
    let paced = Some(observed.next_slot_in).filter(|left| *left > Millis::ZERO);
    let all = [
        of("leaving", explain::leaving(member, now)),
        of("pause", explain::pause(member, now)),
        limit,
        cold,
        until("failing", observed.ejected_for),
        until("replaced", observed.replaced_for),
        until("paced", paced),
    ];
    all.into_iter().flatten().collect()
}
