//! Placement of key ranges on endpoints, by load and capacity.

mod choice;
mod rebalance;

pub use rebalance::rebalance;

use super::{
    load_stats::LoadStats,
    model::{EndpointInstance, Key, KeyRange},
};

/// Load assumed for every key in addition to its measured rate, in requests per second. It spreads
/// cold keys evenly.
const BASE_KEY_RATE: f64 = 0.0005;
/// Pieces per candidate endpoint into which unassigned keys are split. While the candidates own no
/// keys, it is one piece per candidate instead.
const PIECES_PER_ENDPOINT: f64 = 0.5;
/// Smallest target load of a piece of unassigned keys, as a fraction of the mean load per endpoint.
/// Every piece becomes a range with its own grants and renewals.
const MIN_PIECE_LOAD: f64 = 0.25;
/// Load up to which a range may move to the owner of an adjacent range, as a fraction of the mean
/// load per endpoint.
const SMALL_RANGE_LOAD: f64 = 0.05;
/// Most ranges that are merged with a neighbour in one round.
const MAX_MERGES: usize = 16;
/// Utilization up to which an endpoint keeps its keys: requests hardly queue there, and every move
/// interrupts the service for its keys until the work on them has ended.
const MIN_MOVE_UTILIZATION: f64 = 0.6;
/// Utilization up to which an endpoint is given keys, if its fair share is not more. It is less than
/// the one from which an endpoint gives keys away, so that keys do not move to and fro.
const RECEIVE_UTILIZATION: f64 = 0.5;

/// An endpoint that may own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub instance: EndpointInstance,
    /// Requests per second that it can serve.
    pub capacity: f64,
    /// Whether it may be given keys while others can take them.
    pub receives: bool,
    /// Ranges that it owns.
    pub ranges: Vec<KeyRange>,
    /// Ranges that are on their way to it. They count as its load, but cannot move again yet.
    pub incoming: Vec<KeyRange>,
}

/// A change of ownership to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The keys that change their owner.
    pub keys: KeyRange,
    /// The new owner.
    pub to: EndpointInstance,
}

/// Load of `keys`, in requests per second.
fn load(stats: &LoadStats, keys: KeyRange) -> f64 {
    stats.rate(keys) + f64::from(keys.len()) * BASE_KEY_RATE
}

/// Load of each candidate's keys, in requests per second, in the order of `candidates`.
fn loads(candidates: &[Candidate], stats: &LoadStats) -> Vec<f64> {
    let of_one = |c: &Candidate| {
        let ranges = c.ranges.iter().chain(&c.incoming);
        ranges.map(|keys| load(stats, *keys)).sum()
    };
    candidates.iter().map(of_one).collect()
}

/// Assigns unassigned keys to the candidates with the lowest utilization afterwards. Empty if there is no
/// candidate.
pub fn distribute(
    unassigned: &[KeyRange],
    candidates: &[Candidate],
    stats: &LoadStats,
) -> Vec<Move> {
    let mut loads = loads(candidates, stats);
    let total: f64 = unassigned.iter().map(|keys| load(stats, *keys)).sum();
    let nothing_owned = loads.iter().all(|load| *load == 0.0);
    let pieces = if nothing_owned {
        candidates.len() as f64
    } else {
        (candidates.len() as f64 * PIECES_PER_ENDPOINT).max(1.0)
    };
    let mean = (loads.iter().sum::<f64>() + total) / candidates.len().max(1) as f64;
    let piece_load = (total / pieces).max(mean * MIN_PIECE_LOAD);
    let mut moves = Vec::new();
    for keys in unassigned {
        for piece in split_into_pieces(*keys, piece_load, stats) {
            let added = load(stats, piece);
            let least_loaded = (0..candidates.len()).min_by(|a, b| {
                let utilization = |i: usize| (loads[i] + added) / candidates[i].capacity;
                let rank = |i: usize| (!candidates[i].receives, utilization(i));
                let (a, b) = (rank(*a), rank(*b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            let Some(least_loaded) = least_loaded else {
                return moves;
            };
            loads[least_loaded] += added;
            moves.push(Move {
                keys: piece,
                to: candidates[least_loaded].instance.clone(),
            });
        }
    }
    moves
}

/// Splits `keys` into pieces of about `piece_load` each.
fn split_into_pieces(keys: KeyRange, piece_load: f64, stats: &LoadStats) -> Vec<KeyRange> {
    let mut pieces = Vec::new();
    let mut rest = keys;
    while load(stats, rest) > piece_load * 1.5 {
        let Some((head, tail)) = split_at_load(rest, piece_load, stats) else {
            break;
        };
        pieces.push(head);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Splits `keys` so that the first piece has about `target_load`. `None` if that would leave one of
/// the two pieces empty.
fn split_at_load(
    keys: KeyRange,
    target_load: f64,
    stats: &LoadStats,
) -> Option<(KeyRange, KeyRange)> {
    let mut sum = 0.0;
    let mut next = u32::from(keys.first);
    let cold_keys = |left: f64| (left / BASE_KEY_RATE).max(0.0) as u32;
    let mut last = None;
    for (key, rate) in stats.keys(keys) {
        let cold = u32::from(key) - next;
        let cold_load = f64::from(cold) * BASE_KEY_RATE;
        if sum + cold_load >= target_load {
            last = Some(next + cold_keys(target_load - sum));
            break;
        }
        sum += cold_load + BASE_KEY_RATE + rate;
        next = u32::from(key) + 1;
        if sum >= target_load {
            last = Some(u32::from(key));
            break;
        }
    }
    let last = last.unwrap_or_else(|| next + cold_keys(target_load - sum));
    if last < u32::from(keys.first) || last >= u32::from(keys.last) {
        return None;
    }
    let last = last as Key;
    let head = KeyRange {
        first: keys.first,
        last,
    };
    let tail = KeyRange {
        first: last + 1,
        last: keys.last,
    };
    Some((head, tail))
}

/// Plans moves that assign small ranges to the owners of adjacent ranges, to reduce the number of
/// ranges.
pub fn merge_small(candidates: &[Candidate], stats: &LoadStats) -> Vec<Move> {
    let loads = loads(candidates, stats);
    let total: f64 = loads.iter().sum();
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let small = total / candidates.len().max(1) as f64 * SMALL_RANGE_LOAD;
    let mut ranges: Vec<(KeyRange, usize)> = Vec::new();
    for (owner, candidate) in candidates.iter().enumerate() {
        ranges.extend(candidate.ranges.iter().map(|keys| (*keys, owner)));
    }
    ranges.sort_unstable();
    let has_headroom = |owner: usize| {
        let candidate = &candidates[owner];
        let usable = RECEIVE_UTILIZATION.max(total / capacity);
        candidate.receives && loads[owner] + small <= candidate.capacity * usable
    };
    let mut moves = Vec::new();
    let mut at = 0;
    while at + 1 < ranges.len() && moves.len() < MAX_MERGES {
        let ((first, owner), (second, next_owner)) = (ranges[at], ranges[at + 1]);
        at += 1;
        let are_adjacent = first.last.checked_add(1) == Some(second.first) && owner != next_owner;
        let options = [(first, next_owner), (second, owner)];
        let merge = options
            .into_iter()
            .find(|(keys, to)| has_headroom(*to) && load(stats, *keys) <= small);
        if let Some((keys, to)) = merge.filter(|_| are_adjacent) {
            moves.push(Move {
                keys,
                to: candidates[to].instance.clone(),
            });
            // The next range may be merged with it in the next round.
            at += 1;
        }
    }
    moves
}
