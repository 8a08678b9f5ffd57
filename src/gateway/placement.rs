//! Which endpoint should own which keys.

use super::{
    heat::HeatMap,
    model::{EndpointRun, Key, KeyRange},
};

/// Load of a key that nobody asked for yet, in requests a second. It spreads cold keys evenly.
const IDLE_KEY_RATE: f64 = 0.0005;
/// Parts that keys without an owner are cut into, for each endpoint that could take them.
const PARTS_PER_ENDPOINT: f64 = 0.5;
/// Load difference, as a share of the mean, above which keys move.
const MOVE_ABOVE: f64 = 0.25;
/// Load difference in requests a second above which keys move.
const MOVE_ABOVE_RATE: f64 = 3.0;
/// Moves in one round at most.
const MAX_MOVES: usize = 4;

/// An endpoint that may own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub run: EndpointRun,
    /// Requests that it can serve, relative to the others.
    pub capacity: f64,
    /// Ranges that it owns.
    pub ranges: Vec<KeyRange>,
}

/// Keys that should change their owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The keys.
    pub keys: KeyRange,
    /// The new owner.
    pub to: EndpointRun,
}

/// Load of `keys`, in requests a second.
fn load(heat: &HeatMap, keys: KeyRange) -> f64 {
    heat.rate(keys) + f64::from(keys.len()) * IDLE_KEY_RATE
}

/// Distributes keys without an owner. Empty if there is no candidate.
pub fn distribute(free: &[KeyRange], candidates: &[Candidate], heat: &HeatMap) -> Vec<Move> {
    let mut loads: Vec<f64> = candidates
        .iter()
        .map(|c| c.ranges.iter().map(|keys| load(heat, *keys)).sum())
        .collect();
    let total: f64 = free.iter().map(|keys| load(heat, *keys)).sum();
    let unowned = loads.iter().all(|load| *load == 0.0);
    let parts = if unowned {
        candidates.len() as f64
    } else {
        (candidates.len() as f64 * PARTS_PER_ENDPOINT).max(1.0)
    };
    let part = total / parts;
    let mut moves = Vec::new();
    for keys in free {
        for piece in cut_into(*keys, part, heat) {
            let lightest = (0..candidates.len()).min_by(|a, b| {
                let relative = |i: usize| loads[i] / candidates[i].capacity;
                relative(*a).total_cmp(&relative(*b))
            });
            let Some(lightest) = lightest else {
                return moves;
            };
            loads[lightest] += load(heat, piece);
            moves.push(Move {
                keys: piece,
                to: candidates[lightest].run.clone(),
            });
        }
    }
    moves
}

/// Cuts `keys` into pieces of about `part` load each.
fn cut_into(keys: KeyRange, part: f64, heat: &HeatMap) -> Vec<KeyRange> {
    let mut pieces = Vec::new();
    let mut rest = keys;
    while load(heat, rest) > part * 1.5 {
        let Some((head, tail)) = cut(rest, part, heat) else {
            break;
        };
        pieces.push(head);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Cuts `keys` so that the first piece has about `wanted` load.
fn cut(keys: KeyRange, wanted: f64, heat: &HeatMap) -> Option<(KeyRange, KeyRange)> {
    let mut sum = 0.0;
    let mut next = u32::from(keys.first);
    let idle_keys = |left: f64| (left / IDLE_KEY_RATE).max(0.0) as u32;
    let mut last = None;
    for (key, rate) in heat.keys(keys) {
        let idle = u32::from(key) - next;
        let idle_load = f64::from(idle) * IDLE_KEY_RATE;
        if sum + idle_load >= wanted {
            last = Some(next + idle_keys(wanted - sum));
            break;
        }
        sum += idle_load + IDLE_KEY_RATE + rate;
        next = u32::from(key) + 1;
        if sum >= wanted {
            last = Some(u32::from(key));
            break;
        }
    }
    let last = last.unwrap_or_else(|| next + idle_keys(wanted - sum));
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

/// Moves from the endpoints with most load to those with least.
pub fn rebalance(candidates: &[Candidate], heat: &HeatMap) -> Vec<Move> {
    let mut loads: Vec<f64> = candidates
        .iter()
        .map(|c| c.ranges.iter().map(|keys| load(heat, *keys)).sum())
        .collect();
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let total: f64 = loads.iter().sum();
    let mut used = vec![false; candidates.len()];
    let mut moves = Vec::new();
    while moves.len() < MAX_MOVES {
        let over = |i: usize, loads: &[f64]| loads[i] - total * candidates[i].capacity / capacity;
        let free = |i: &usize| !used[*i];
        let by_excess = |a: &usize, b: &usize| over(*a, &loads).total_cmp(&over(*b, &loads));
        let from = (0..candidates.len()).filter(free).max_by(by_excess);
        let to = (0..candidates.len()).filter(free).min_by(by_excess);
        let (Some(from), Some(to)) = (from, to) else {
            break;
        };
        let mean = total / candidates.len() as f64;
        let (above, below) = (over(from, &loads), -over(to, &loads));
        if from == to || above + below < (mean * MOVE_ABOVE).max(MOVE_ABOVE_RATE) * 2.0 {
            break;
        }
        let wanted = above.min(below).max((above + below) / 4.0);
        let Some(keys) = piece_of(&candidates[from].ranges, wanted, heat) else {
            used[from] = true;
            continue;
        };
        let moved = load(heat, keys);
        loads[from] -= moved;
        loads[to] += moved;
        used[from] = true;
        used[to] = true;
        moves.push(Move {
            keys,
            to: candidates[to].run.clone(),
        });
    }
    moves
}

/// Keys of about `wanted` load: a whole range if one fits, or a piece of the busiest one.
fn piece_of(ranges: &[KeyRange], wanted: f64, heat: &HeatMap) -> Option<KeyRange> {
    let fits = |keys: &&KeyRange| {
        let load = load(heat, **keys);
        load <= wanted * 1.25 && load >= wanted * 0.6
    };
    if let Some(whole) = ranges.iter().find(fits) {
        return Some(*whole);
    }
    let busiest = ranges
        .iter()
        .max_by(|a, b| load(heat, **a).total_cmp(&load(heat, **b)))?;
    let (head, _) = cut(*busiest, wanted, heat)?;
    // A single busy key may outweigh what is wanted.
    (load(heat, head) <= wanted * 2.0).then_some(head)
}
