//! Assignment of keys without an owner, and planned moves that balance the load.

use super::{Controller, INITIAL_PLACEMENT_WAIT, ManagedRange, Phase, ServiceRanges};
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        load_stats::LoadStats,
        model::{EndpointInstance, KeyRange},
        placement::{self, Candidate, Move},
        store_version::number_of,
    },
    world::ServiceName,
};
use std::sync::Arc;

/// Minimum interval between rounds of planned moves of a service.
const MOVE_INTERVAL: Millis = Millis(300);
/// Delay before moves are planned again of which some could not start because a renewal for their
/// keys was in flight.
const MOVE_RETRY_DELAY: Millis = Millis(50);
/// Number of ranges of a service above which no balancing moves, which may split ranges, are
/// planned, so that its row stays within the size that the store accepts.
const MAX_RANGES: usize = 2_000;
/// No moves are planned while more ranges are moving than the number of endpoints divided by this.
const MOVING_DIVISOR: usize = 4;
/// Mean number of ranges per endpoint above which small ranges are merged with their neighbours.
const RANGES_PER_ENDPOINT: usize = 4;
/// Fraction of its capacity that an endpoint has while it warms up.
const WARMUP_CAPACITY: f64 = 0.5;
/// Least fraction of its capacity that an endpoint in a requested pause or with a limit counts with.
/// Without any it would not be considered, and would keep its keys.
const MIN_CAPACITY: f64 = 0.02;
/// Largest share of its capacity that an endpoint may lack because of a requested pause and still be
/// given keys.
const MAX_MISSING_SHARE: f64 = 0.2;
/// Processing time that is assumed before any is measured, in milliseconds.
const DEFAULT_PROCESSING_MS: f64 = 100.0;

impl Controller {
    /// Assigns keys without an owner, and plans moves that balance the load.
    pub(super) fn place_keys(&mut self, stats: &Map<ServiceName, LoadStats>, now: Millis) {
        let empty = LoadStats::default();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            let Some(mut managed) = self.services.remove(&name) else {
                continue;
            };
            let stats = stats.get(&name).unwrap_or(&empty);
            if now >= managed.on_hold_until {
                self.assign_keys(&name, &mut managed, stats, now);
                self.plan_moves(&name, &mut managed, stats, now);
            }
            self.services.insert(name, managed);
        }
    }

    fn candidates(
        &self,
        name: &ServiceName,
        managed: &ServiceRanges,
        stats: &LoadStats,
        now: Millis,
    ) -> Vec<Candidate> {
        let mean_ms = stats.mean_processing_ms().unwrap_or(DEFAULT_PROCESSING_MS);
        let mut candidates: Vec<Candidate> = self
            .endpoints
            .values()
            .filter(|entry| entry.service == *name && !entry.draining)
            .filter(|entry| !self.evacuating.is_evacuated(&entry.zone))
            .filter(|entry| self.is_reached_at_address(entry))
            .map(|entry| {
                let backoff = self.backoffs.get(&entry.instance);
                let backs_off = backoff.is_some_and(|backoff| now < backoff.until);
                let processing_ms = stats.processing_ms(&entry.instance.name, mean_ms);
                let full_capacity = f64::from(entry.slots) * 1_000.0 / processing_ms.max(1.0);
                let warmup_factor = if entry.remaining_warmup > Millis::ZERO {
                    WARMUP_CAPACITY
                } else {
                    1.0
                };
                let missing = self.paused.get(&entry.instance).copied().unwrap_or(0.0);
                let paused_factor = (1.0 - missing).max(MIN_CAPACITY);
                let limit = self.rate_limits.get(&entry.instance);
                let least = full_capacity * MIN_CAPACITY;
                let limit = limit.map_or(f64::MAX, |rate| rate.per_second().max(least));
                Candidate {
                    instance: entry.instance.clone(),
                    capacity: if backs_off {
                        0.0
                    } else {
                        (full_capacity * warmup_factor * paused_factor).min(limit)
                    },
                    receives: missing <= MAX_MISSING_SHARE,
                    ranges: managed.held_by(&entry.instance).collect(),
                    incoming: managed.moving_to(&entry.instance).collect(),
                }
            })
            .filter(|candidate| candidate.capacity > 0.0)
            .collect();
        candidates.sort_by(|a, b| a.instance.cmp(&b.instance));
        candidates
    }

    fn assign_keys(
        &mut self,
        name: &ServiceName,
        managed: &mut ServiceRanges,
        stats: &LoadStats,
        now: Millis,
    ) {
        let is_new = number_of(managed.version) == 0 && managed.ranges.is_empty();
        if is_new && now.since(managed.added_at) < INITIAL_PLACEMENT_WAIT {
            return;
        }
        let free = managed.ranges.iter().filter(|r| r.phase == Phase::Free);
        let mut unassigned: Vec<UnassignedKeys> = free.map(UnassignedKeys::from).collect();
        let uncovered = managed.uncovered().into_iter();
        unassigned.extend(uncovered.map(UnassignedKeys::without_history));
        if unassigned.is_empty() {
            return;
        }
        let candidates = self.candidates(name, managed, stats, now);
        let moves = assignments(&unassigned, &candidates, stats);
        if moves.is_empty() {
            return;
        }
        managed.ranges.retain(|range| range.phase != Phase::Free);
        for chosen in moves {
            let handover = unassigned
                .iter()
                .find(|part| part.keys.overlaps(chosen.keys))
                .and_then(|part| part.handover.clone());
            let range = self.assigned_range(chosen, handover, now);
            managed.ranges.push(range);
        }
    }

    /// A range whose new owner has to be written to the store.
    fn assigned_range(
        &mut self,
        chosen: Move,
        handover: Option<Arc<str>>,
        now: Millis,
    ) -> ManagedRange {
        ManagedRange {
            owner: Some(chosen.to),
            assignment_token: self.next_token(),
            handover,
            phase: Phase::Writing,
            ..ManagedRange::new(self.next_id(), chosen.keys, now)
        }
    }

    fn plan_moves(
        &mut self,
        name: &ServiceName,
        managed: &mut ServiceRanges,
        stats: &LoadStats,
        now: Millis,
    ) {
        let moving = managed.ranges.iter().filter(|range| {
            matches!(
                range.phase,
                Phase::Releasing { planned: true } | Phase::Writing
            )
        });
        let too_many_moving = moving.count() > self.endpoints.len() / MOVING_DIVISOR;
        if too_many_moving || now < managed.next_move_at || stats.total() == 0.0 {
            return;
        }
        managed.next_move_at = now + MOVE_INTERVAL;
        let candidates = self.candidates(name, managed, stats, now);
        let mut moves = if managed.ranges.len() > MAX_RANGES {
            Vec::new()
        } else {
            placement::rebalance(&candidates, stats)
        };
        if moves.is_empty() && managed.ranges.len() > candidates.len() * RANGES_PER_ENDPOINT {
            moves = placement::merge_small(&candidates, stats);
        }
        if moves.is_empty() {
            return;
        }
        log_plan(name, managed, &candidates, &moves, stats);
        let mut all_started = true;
        for planned in moves {
            all_started &= self.start_move(name, managed, &planned, stats, now);
        }
        if !all_started {
            managed.next_move_at = now + MOVE_RETRY_DELAY;
        }
    }

    /// Splits the range that contains the keys, and has its owner release them. False if the range
    /// has another change in progress, so that the move cannot start yet.
    fn start_move(
        &mut self,
        name: &ServiceName,
        managed: &mut ServiceRanges,
        planned: &Move,
        stats: &LoadStats,
        now: Millis,
    ) -> bool {
        let Some(at) = managed.ranges.iter().position(|range| {
            range.keys.contains(planned.keys.first) && range.keys.contains(planned.keys.last)
        }) else {
            return false;
        };
        let whole = &managed.ranges[at];
        if whole.in_flight || whole.phase != Phase::Held || !whole.confirmed {
            return false;
        }
        let whole = managed.ranges.swap_remove(at);
        let mut part = |keys: KeyRange| ManagedRange {
            id: self.next_id(),
            keys,
            ..whole.clone()
        };
        managed
            .ranges
            .extend(whole.keys.without(planned.keys).map(&mut part));
        managed.ranges.push(ManagedRange {
            phase: Phase::Releasing { planned: true },
            next_owner: Some(planned.to.clone()),
            next_command_at: now,
            failures: 0,
            ..part(planned.keys)
        });
        log::info!(target: "ownership", service:% = name, first = planned.keys.first,
            last = planned.keys.last, rate = stats.rate(planned.keys),
            from:% = whole.owner.as_ref().map_or("", |o| &o.name), to:% = planned.to.name;
            "Move planned.");
        true
    }
}

/// Keys that have to be assigned, and what is known of their last owner.
struct UnassignedKeys {
    keys: KeyRange,
    handover: Option<Arc<str>>,
    next_owner: Option<EndpointInstance>,
}

impl UnassignedKeys {
    fn without_history(keys: KeyRange) -> Self {
        Self {
            keys,
            handover: None,
            next_owner: None,
        }
    }
}

impl From<&ManagedRange> for UnassignedKeys {
    fn from(range: &ManagedRange) -> Self {
        Self {
            keys: range.keys,
            handover: range.handover.clone(),
            next_owner: range.next_owner.clone(),
        }
    }
}

/// Assigns keys of planned moves to the endpoints that they were planned for, if these can still be
/// given keys, and distributes the others.
fn assignments(
    unassigned: &[UnassignedKeys],
    candidates: &[Candidate],
    stats: &LoadStats,
) -> Vec<Move> {
    let mut candidates = candidates.to_vec();
    let (mut moves, mut others) = (Vec::new(), Vec::new());
    for part in unassigned {
        let planned = candidates
            .iter_mut()
            .find(|c| c.receives && Some(&c.instance) == part.next_owner.as_ref());
        let Some(candidate) = planned else {
            others.push(part.keys);
            continue;
        };
        candidate.incoming.push(part.keys);
        moves.push(Move {
            keys: part.keys,
            to: candidate.instance.clone(),
        });
    }
    moves.extend(placement::distribute(&others, &candidates, stats));
    moves
}

/// Logs the inputs of a round of moves.
fn log_plan(
    name: &ServiceName,
    managed: &ServiceRanges,
    candidates: &[Candidate],
    moves: &[Move],
    stats: &LoadStats,
) {
    let keys: u32 = moves.iter().map(|planned| planned.keys.len()).sum();
    let rate: f64 = moves.iter().map(|planned| stats.rate(planned.keys)).sum();
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    log::info!(target: "ownership", service:% = name, moves = moves.len(), keys, rate,
        total_rate = stats.total(), capacity, endpoints = candidates.len(),
        ranges = managed.ranges.len();
        "Moves planned to balance the load.");
}
