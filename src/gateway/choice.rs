//! Which endpoint of a service that owns no keys serves a request.

use super::{
    model::EndpointRun,
    view::{Member, ServiceView},
};
use crate::clock::Millis;

/// Factor on the expected time of an endpoint in another zone. Its answers cost bytes between
/// zones, but little time.
const FAR_FACTOR: f64 = 2.0;
/// Factor on the expected time of an endpoint that is still slow after its start.
const WARMING_FACTOR: f64 = 2.0;
/// Spread of a random factor, so that daemons with equal knowledge choose differently.
const SPREAD: f64 = 0.15;

/// Takes room at the endpoint that is expected to answer first, except for those in `tried`.
///
/// Endpoints that keep failing are left aside while others are there, even if those are full; the
/// request then waits. Endpoints in `tried` are used again if there are no others.
pub fn take_room(service: &ServiceView, tried: &[EndpointRun], now: Millis) -> Option<Member> {
    let usable = |member: &&Member| !member.is_leaving && !member.backend.is_replaced(now);
    let untried = |member: &&Member| !tried.contains(&member.backend.entry.run);
    let sound = |member: &&Member| !member.backend.is_aside(now);
    let all: Vec<&Member> = service.members.iter().filter(usable).collect();
    let mut candidates: Vec<&Member> = all.iter().copied().filter(untried).filter(sound).collect();
    if candidates.is_empty() {
        candidates = all.iter().copied().filter(untried).collect();
    }
    if candidates.is_empty() {
        candidates = all;
    }
    let mut scored: Vec<(f64, &Member)> = candidates
        .into_iter()
        .map(|member| (score(member, now), member))
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    let taken = scored
        .into_iter()
        .find(|(_, member)| member.backend.try_take(now));
    taken.map(|(_, member)| member.clone())
}

fn score(member: &Member, now: Millis) -> f64 {
    let far = if member.is_near { 1.0 } else { FAR_FACTOR };
    let warming = if now < member.warm_at {
        WARMING_FACTOR
    } else {
        1.0
    };
    let random = 1.0 + rand::random_range(0.0..SPREAD);
    member.backend.expected_ms(now) * far * warming * random
}
