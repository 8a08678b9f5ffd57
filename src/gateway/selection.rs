//! Endpoint selection for services without keys: weighted random choice by when the request would
//! end.

use super::{
    claim::{Claim, Counting},
    endpoint_set::{self, Demand},
    leaving::choice,
    model::EndpointInstance,
    view::{Member, ServiceView},
};
use crate::clock::Millis;

/// Factor on the estimated latency of an endpoint in another zone. Its responses cause traffic
/// between zones, but take little more time.
const REMOTE_ZONE_FACTOR: f64 = 2.0;
/// Least odds of an endpoint in the daemon's zone against one in another zone with the same
/// estimated latency.
const LOCAL_ZONE_ODDS: f64 = 16.0;
/// Factor on the estimated latency of an endpoint that is still warming up.
const WARMUP_FACTOR: f64 = 2.0;
/// Least odds of an endpoint that is warming up and whose requests are limited against a warm one with
/// the same estimated latency. The limit protects it, and few daemons would not use it otherwise.
const WARMUP_ODDS: f64 = 0.25;
/// Product of the selection exponent and the number of daemons. The exponent falls with the number
/// of daemons that share an endpoint, because each of many daemons sees little of its load, and all of
/// them would choose the same endpoint.
const EXPONENT_TIMES_DAEMONS: f64 = 100.0;
/// Lower and upper bound of the selection exponent `e`: a request goes to each endpoint with a
/// probability proportional to its estimated latency to the power of `-e`.
const EXPONENT_BOUNDS: [f64; 2] = [2.0, 12.0];

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Expected work, in milliseconds.
    pub work_ms: f64,
    /// Endpoints that the request was sent to.
    pub tried: &'a [EndpointInstance],
    /// Number of daemons that share the endpoints.
    pub daemons: usize,
    /// Whether so few requests choose like this one that they may all take the best endpoint.
    pub is_rare: bool,
}

/// The endpoints that a request is sent to if they have room.
#[derive(Debug)]
pub struct Candidates<'a> {
    /// Groups of endpoints. One is used only if those before it have no room.
    pub groups: Vec<Vec<&'a Member>>,
    /// Exponent of the selection: one of a group with room gets a request with a probability
    /// proportional to its weighted end to the power of minus this.
    pub exponent: f64,
}

/// Acquires a slot of an endpoint that is not in `tried` for a request of `work_ms`, preferring those
/// where it would end soon.
///
/// Ejected endpoints are skipped while there are others, even if the others are full; the request
/// then waits. Endpoints in `tried` are used again if there are no others.
pub fn acquire_endpoint(
    service: &ServiceView,
    work_ms: f64,
    tried: &[EndpointInstance],
    daemons: usize,
    now: Millis,
) -> Option<Member> {
    let wanted = Wanted {
        work_ms,
        tried,
        daemons,
        is_rare: false,
    };
    choose_endpoint(service, wanted, Claim::Take, random_sample, now).cloned()
}

/// Chooses an endpoint like [`acquire_endpoint`]. `sample` returns an exponential variable with mean 1
/// for each candidate in turn.
pub fn choose_endpoint<'a>(
    service: &'a ServiceView,
    wanted: Wanted<'_>,
    claim: Claim,
    mut sample: impl FnMut() -> f64,
    now: Millis,
) -> Option<&'a Member> {
    let Candidates { groups, exponent } = candidates(service, wanted, claim, now);
    let with_room = |members: &[&'a Member], counting: Counting| {
        let mut members = members.iter().copied();
        members.find(|member| member.backend.acquire(claim, counting, now).is_ok())
    };
    let chosen = |group: usize, member: &'a Member| {
        if group > 0 && claim == Claim::Take {
            service.state.set_size.record_widening(now);
        }
        member
    };
    let mut ranked = Vec::with_capacity(groups.len());
    for (i, group) in groups.iter().enumerate() {
        let members = rank(group, wanted.work_ms, exponent, &mut sample, now);
        if let Some(member) = with_room(&members, Counting::All) {
            return Some(chosen(i, member));
        }
        ranked.push(members);
    }
    let mut ranked = ranked.iter().enumerate();
    let (i, member) =
        ranked.find_map(|(i, members)| Some((i, with_room(members, Counting::WithoutLong)?)))?;
    Some(chosen(i, member))
}

/// `members` in the order in which they are tried.
fn rank<'a>(
    members: &[&'a Member],
    work_ms: f64,
    exponent: f64,
    mut sample: impl FnMut() -> f64,
    now: Millis,
) -> Vec<&'a Member> {
    let mut ranked: Vec<(f64, &Member)> = members
        .iter()
        .map(|member| {
            let weighted_ms = weighted_end_ms(member, work_ms, exponent, now);
            (weighted_ms * sample().powf(1.0 / exponent), *member)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The endpoints that a request is sent to if they have room.
pub fn candidates<'a>(
    service: &'a ServiceView,
    wanted: Wanted<'_>,
    claim: Claim,
    now: Millis,
) -> Candidates<'a> {
    let members = preferred(service, wanted.tried, now);
    let demand = Demand {
        endpoints: members.len(),
        daemons: wanted.daemons,
        latency_ms: service.state.costs.mean_latency_ms(),
    };
    let set_size = &service.state.set_size;
    let size = match claim {
        Claim::Take => set_size.current(&service.name, demand, now),
        Claim::Peek => set_size.peek(demand, now),
    };
    let share = size as f64 / demand.endpoints.max(1) as f64;
    let exponent = if wanted.is_rare {
        EXPONENT_BOUNDS[1]
    } else {
        exponent(wanted.daemons, share)
    };
    Candidates {
        groups: endpoint_set::groups(members, size, now),
        exponent,
    }
}

/// The usable endpoints: those that are healthy and not in `tried`, as far as there are any.
fn preferred<'a>(
    service: &'a ServiceView,
    tried: &[EndpointInstance],
    now: Millis,
) -> Vec<&'a Member> {
    let usable = |member: &&Member| {
        !member.backend.is_replaced(now) && member.backend.pause.blocked_until(now).is_none()
    };
    let untried = |member: &&Member| !tried.contains(&member.backend.entry.instance);
    let healthy = |member: &&Member| !member.backend.is_ejected(now);
    let all: Vec<&Member> = choice::usable_members(service, now)
        .into_iter()
        .filter(usable)
        .collect();
    let mut preferred: Vec<&Member> = all
        .iter()
        .copied()
        .filter(untried)
        .filter(healthy)
        .collect();
    if preferred.is_empty() {
        preferred = all.iter().copied().filter(untried).collect();
    }
    if preferred.is_empty() {
        preferred = all;
    }
    preferred
}

/// The selection exponent of a daemon that uses this share of the endpoints, as do the others. The root
/// lies between the daemons whose sets have an endpoint in common and all daemons, since sets widen
/// where there is little room.
pub fn exponent(daemons: usize, share: f64) -> f64 {
    let sharing = daemons as f64 * share.sqrt();
    (EXPONENT_TIMES_DAEMONS / sharing.max(1.0)).clamp(EXPONENT_BOUNDS[0], EXPONENT_BOUNDS[1])
}

/// The earliest end of the requested pauses; `None` unless all usable endpoints are in one.
pub fn paused_until(service: &ServiceView, now: Millis) -> Option<Millis> {
    let ends: Option<Vec<Millis>> = choice::usable_members(service, now)
        .into_iter()
        .filter(|member| !member.backend.is_replaced(now))
        .map(|member| member.backend.pause.blocked_until(now))
        .collect();
    ends?.into_iter().min()
}

/// Estimated time until a request of `work_ms` ends, in milliseconds, weighted by zone and warm-up.
pub fn weighted_end_ms(member: &Member, work_ms: f64, exponent: f64, now: Millis) -> f64 {
    let zone_factor = if member.is_local {
        1.0
    } else {
        REMOTE_ZONE_FACTOR.max(LOCAL_ZONE_ODDS.powf(1.0 / exponent))
    };
    let warmup_factor = if now >= member.warmup_ends_at {
        1.0
    } else if member.backend.rate_limit.cold(now).is_some() {
        WARMUP_FACTOR.min(WARMUP_ODDS.powf(-1.0 / exponent))
    } else {
        WARMUP_FACTOR
    };
    member.backend.estimated_end_ms(work_ms, now) * zone_factor * warmup_factor
}

/// An exponential variable with mean 1. The minimum of exponential variables is each one with a
/// probability proportional to its rate.
pub fn random_sample() -> f64 {
    -rand::random_range(f64::MIN_POSITIVE..1.0).ln()
}
