//! Which endpoint of a service that owns no keys serves a request.

use super::{
    model::EndpointRun,
    view::{Member, ServiceView},
};
use crate::clock::Millis;

/// Factor on the expected time of an endpoint in another zone. Its answers cost bytes between
/// zones, but little time.
const FAR_FACTOR: f64 = 2.0;
/// Odds of an endpoint in the daemon's zone against one in another zone at least, if they are
/// expected to answer at the same time.
const NEAR_ODDS: f64 = 16.0;
/// Factor on the expected time of an endpoint that is still slow after its start.
const WARMING_FACTOR: f64 = 2.0;
/// How strongly requests gather at the endpoints that are expected to answer first, times the number
/// of daemons: each of many daemons knows little of the load at an endpoint, and all of them would
/// choose the same one.
const KNOWLEDGE: f64 = 100.0;
/// Limits of how strongly requests gather. A request goes to each endpoint with a probability
/// proportional to its expected time to the power of minus this.
const GATHERING: [f64; 2] = [2.0, 12.0];

/// Takes room at the endpoint that is expected to answer first, except for those in `tried`.
///
/// Endpoints that keep failing are left aside while others are there, even if those are full; the
/// request then waits. Endpoints in `tried` are used again if there are no others.
pub fn take_room(
    service: &ServiceView,
    tried: &[EndpointRun],
    daemons: usize,
    now: Millis,
) -> Option<Member> {
    let gathering = (KNOWLEDGE / daemons.max(1) as f64).clamp(GATHERING[0], GATHERING[1]);
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
        .map(|member| (score(member, gathering, now), member))
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    let taken = scored
        .into_iter()
        .find(|(_, member)| member.backend.try_take(now));
    taken.map(|(_, member)| member.clone())
}

fn score(member: &Member, gathering: f64, now: Millis) -> f64 {
    let far = if member.is_near {
        1.0
    } else {
        FAR_FACTOR.max(NEAR_ODDS.powf(1.0 / gathering))
    };
    let warming = if now < member.warm_at {
        WARMING_FACTOR
    } else {
        1.0
    };
    // The least of exponential variables is each one with a probability in proportion to its rate.
    let random = -rand::random_range(f64::MIN_POSITIVE..1.0).ln();
    member.backend.expected_ms(now) * far * warming * random.powf(1.0 / gathering)
}
