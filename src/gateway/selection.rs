//! Endpoint selection for services without keys: weighted random choice by when the request would
//! end.

use super::{
    claim::{Claim, Counting},
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
/// of daemons, because each of many daemons sees little of an endpoint's load, and all of them
/// would choose the same endpoint.
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
    let exponent = exponent(wanted.daemons);
    let mut ranked: Vec<(f64, &Member)> = candidates(service, wanted.tried, now)
        .into_iter()
        .map(|member| {
            let weighted_ms = weighted_end_ms(member, wanted.work_ms, exponent, now);
            (weighted_ms * sample().powf(1.0 / exponent), member)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let with_room = |counting: Counting| {
        let mut members = ranked.iter().map(|(_, member)| *member);
        members.find(|member| member.backend.acquire(claim, counting, now).is_ok())
    };
    with_room(Counting::All).or_else(|| with_room(Counting::WithoutLong))
}

/// The endpoints that a request is sent to if they have room.
pub fn candidates<'a>(
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
    candidates
}

/// Exponent of the selection: a candidate with room gets a request with a probability proportional to
/// its weighted end to the power of minus this.
pub fn exponent(daemons: usize) -> f64 {
    let exponent = EXPONENT_TIMES_DAEMONS / daemons.max(1) as f64;
    exponent.clamp(EXPONENT_BOUNDS[0], EXPONENT_BOUNDS[1])
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
