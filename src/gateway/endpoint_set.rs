//! The set of endpoints to which a daemon sends the requests of a service without keys.
//!
//! A daemon that spreads few requests over many endpoints opens a connection for nearly each of them,
//! and never knows how busy an endpoint is. So it uses a few endpoints that follow one another in an
//! order that all daemons share, from its own position on. Positions are spread evenly, so the sets
//! cover all endpoints evenly, and change little when daemons or endpoints come and go.

mod position;
mod size;

pub use position::FleetPosition;
pub use size::{Demand, SetSize};

use super::view::Member;
use crate::{clock::Millis, world::ServiceName};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Endpoints in other zones per endpoint in the daemon's zone, as a divisor. They take what the zone
/// has no room for.
const REMOTE_DIVISOR: usize = 4;
/// Relative latency from which an endpoint is slow, and another one is used besides.
const SLOW_LATENCY: f64 = 2.0;

/// Sets the distance of each member: its place, among those that are in the daemon's zone or among the
/// others, in the order in which the daemon at `position` uses them.
pub(super) fn set_distances(
    members: &mut [Member],
    service: &ServiceName,
    position: FleetPosition,
) {
    let seed = xxh3_64_with_seed(service.0.as_bytes(), 0);
    for is_local in [true, false] {
        let of_zone = members.iter_mut().filter(|m| m.is_local == is_local);
        let mut ring: Vec<(u64, &mut Member)> = of_zone
            .map(|member| {
                let name = &member.backend.entry.instance.name;
                (xxh3_64_with_seed(name.as_bytes(), seed), member)
            })
            .collect();
        ring.sort_by_key(|(hash, _)| *hash);
        let len = ring.len();
        let first = position.index(len);
        for (i, (_, member)) in ring.into_iter().enumerate() {
            member.distance = (i + len - first) % len;
        }
    }
}

/// `candidates` in the groups in which they are tried: the set of about `size` members, then as many
/// of the others at a time, those in the daemon's zone first.
///
/// A member that is full, slow, failing, paused, cold or leaving stays in the set, but another one is
/// added to it, so the set has `size` that serve well if there are as many.
pub fn groups(mut candidates: Vec<&Member>, size: usize, now: Millis) -> Vec<Vec<&Member>> {
    if size >= candidates.len() {
        return vec![candidates];
    }
    candidates.sort_by_key(|member| (Reverse(member.is_local), member.distance));
    let local = candidates.iter().take_while(|m| m.is_local).count();
    let remote = candidates.split_off(local);
    let (mut set, mut rest, found) = split(candidates, size, now);
    let remote_size = size.div_ceil(REMOTE_DIVISOR).max(size - found);
    let (remote_set, remote_rest, _) = split(remote, remote_size, now);
    set.extend(remote_set);
    rest.extend(remote_rest);
    let mut groups = vec![set];
    groups.extend(rest.chunks(size.max(1)).map(<[&Member]>::to_vec));
    groups
}

/// The first members among which `size` serve well, the others, and how many were found to serve well.
fn split(
    mut members: Vec<&Member>,
    size: usize,
    now: Millis,
) -> (Vec<&Member>, Vec<&Member>, usize) {
    let (mut found, mut end) = (0, 0);
    while found < size && end < members.len() {
        found += usize::from(serves_well(members[end], now));
        end += 1;
    }
    let rest = members.split_off(end);
    (members, rest, found)
}

fn serves_well(member: &Member, now: Millis) -> bool {
    let backend = &member.backend;
    now >= member.warmup_ends_at
        && !member.is_leaving()
        && !member.is_evacuated
        && backend.pause.end(now).is_none()
        && backend.is_responsive(SLOW_LATENCY, now)
}
