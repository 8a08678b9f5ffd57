//! Endpoint selection for services without keys: weighted random choice by when the request would
//! end.

use super::{
    backend::Backend,
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
    let usable = |member: &&Member| {
        !member.backend.is_replaced(now) && member.backend.pause.blocked_until(now).is_none()
    };
    let untried = |member: &&Member| !tried.contains(&member.backend.entry.instance);
    let healthy = |member: &&Member| !member.backend.is_ejected(now);
    let all: Vec<&Member> = choice::usable_members(service, now)
        .into_iter()
        .filter(usable)
        .collect();
    let mut candidates: Vec<&Member> = all
        .iter()
        .copied()
        .filter(untried)
        .filter(healthy)
        .collect();
    if candidates.is_empty() {
        candidates = all.iter().copied().filter(untried).collect();
    }
    if candidates.is_empty() {
        candidates = all;
    }
    let demand = Demand {
        endpoints: candidates.len(),
        daemons,
        latency_ms: service.state.costs.mean_latency_ms(),
    };
    let set_size = &service.state.set_size;
    let size = set_size.current(&service.name, demand, now);
    let exponent = exponent(daemons, size as f64 / demand.endpoints.max(1) as f64);
    let groups = endpoint_set::groups(candidates, size, now);
    let with_room = |acquire: fn(&Backend, Millis) -> bool| {
        groups.iter().enumerate().find_map(|(i, group)| {
            let mut members = ranked(group, work_ms, exponent, now).into_iter();
            let member = members.find(|member| acquire(&member.backend, now))?;
            Some((i, member))
        })
    };
    let (group, member) =
        with_room(Backend::try_acquire).or_else(|| with_room(Backend::try_acquire_uncounted))?;
    if group > 0 {
        set_size.record_widening(now);
    }
    Some(member.clone())
}

/// The selection exponent of a daemon that uses this share of the endpoints, as do the others. The root
/// lies between the daemons whose sets have an endpoint in common and all daemons, since sets widen
/// where there is little room.
fn exponent(daemons: usize, share: f64) -> f64 {
    let sharing = daemons as f64 * share.sqrt();
    (EXPONENT_TIMES_DAEMONS / sharing.max(1.0)).clamp(EXPONENT_BOUNDS[0], EXPONENT_BOUNDS[1])
}

/// `members` in the order in which they are tried.
fn ranked<'a>(members: &[&'a Member], work_ms: f64, exponent: f64, now: Millis) -> Vec<&'a Member> {
    let mut ranked: Vec<(f64, &Member)> = members
        .iter()
        .map(|member| (score(member, work_ms, exponent, now), *member))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, member)| member).collect()
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

fn score(member: &Member, work_ms: f64, exponent: f64, now: Millis) -> f64 {
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
    // The minimum of exponential variables is each one with a probability proportional to its rate.
    let sample = -rand::random_range(f64::MIN_POSITIVE..1.0).ln();
    member.backend.estimated_end_ms(work_ms, now)
        * zone_factor
        * warmup_factor
        * sample.powf(1.0 / exponent)
}
