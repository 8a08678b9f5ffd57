//! Choice of the keys that an endpoint gives away.
//!
//! Load answered: few adjacent or single hot keys among many others. Moving the hot ones interrupts
//! and transfers few keys, where a piece from the border of a range would take many along.

use super::{BASE_KEY_RATE, load, split_at_load};
use crate::gateway::{
    load_stats::LoadStats,
    model::{Key, KeyRange},
};

/// Load of a piece, as a multiple of the target load, above which it is not moved.
const MAX_OVERSHOOT: f64 = 1.6;
/// Load of a piece, as a fraction of the target load, from which it is large enough.
const MIN_FIT: f64 = 0.8;
/// Bounds of the load of a range that moves as a whole, as fractions of the target load.
const WHOLE_RANGE_FIT: std::ops::RangeInclusive<f64> = 0.6..=1.25;
/// Load of the keys beside a hot key, as a fraction of the target load, below which they are not
/// worth a move.
const MIN_USEFUL_LOAD: f64 = 0.1;
/// Number of keys whose move costs as much as one more range, which has to be renewed until it is
/// merged again.
const KEYS_PER_RANGE: u32 = 128;

/// Keys of about `target_load`: a whole range or a piece of the busiest one that has one, whichever
/// costs less to move. Keys that alone exceed it stay with their owner, and their neighbours move
/// away, also if they have less than the target load. `None` if there are no such keys.
pub(super) fn choose_keys(
    ranges: &[KeyRange],
    target_load: f64,
    stats: &LoadStats,
) -> Option<KeyRange> {
    let movable = |range: &KeyRange| without_hot_keys(*range, target_load, stats);
    let mut by_load: Vec<(f64, KeyRange)> = ranges
        .iter()
        .flat_map(movable)
        .map(|keys| (load(stats, keys), keys))
        .collect();
    by_load.sort_by(|a, b| b.0.total_cmp(&a.0));
    let whole = by_load
        .iter()
        .filter(|(load, _)| WHOLE_RANGE_FIT.contains(&(load / target_load)))
        .map(|(_, keys)| (keys.len(), *keys))
        .min();
    let piece = by_load
        .iter()
        .find_map(|(_, range)| cheapest_piece(*range, target_load, stats));
    if let Some((_, keys)) = whole.into_iter().chain(piece).min() {
        return Some(keys);
    }
    let neighbours = by_load.into_iter().find(|(_, keys)| !ranges.contains(keys));
    neighbours
        .filter(|(load, _)| *load <= target_load && *load >= target_load * MIN_USEFUL_LOAD)
        .map(|(_, keys)| keys)
}

/// The parts of a range between the keys whose load alone exceeds the target load, or may turn out
/// to.
fn without_hot_keys(range: KeyRange, target_load: f64, stats: &LoadStats) -> Vec<KeyRange> {
    let hot = stats
        .keys(range)
        .filter(|(key, rate)| rate * stats.growth_after_jump(*key) > target_load * MAX_OVERSHOOT);
    let mut parts = vec![range];
    for (key, _) in hot {
        let hot = KeyRange {
            first: key,
            last: key,
        };
        let rest = parts.pop().into_iter();
        let rest: Vec<KeyRange> = rest.flat_map(|rest| rest.without(hot)).collect();
        parts.extend(rest);
    }
    parts
}

/// The hottest key of `ranges` and its load.
pub(super) fn hottest_key(ranges: &[KeyRange], stats: &LoadStats) -> Option<(KeyRange, f64)> {
    let keys = ranges.iter().flat_map(|range| stats.keys(*range));
    let (key, _) = keys.max_by(|a, b| a.1.total_cmp(&b.1))?;
    let keys = KeyRange {
        first: key,
        last: key,
    };
    Some((keys, load(stats, keys)))
}

/// A piece of a range and what its move costs, as a number of keys: one at its border or the densest
/// one inside.
fn cheapest_piece(range: KeyRange, target_load: f64, stats: &LoadStats) -> Option<(u32, KeyRange)> {
    let fits = |keys: &KeyRange| {
        let load = load(stats, *keys);
        (MIN_FIT * target_load..=MAX_OVERSHOOT * target_load).contains(&load)
    };
    let head = split_at_load(range, target_load, stats).map(|(head, _)| head);
    let rest_load = load(stats, range) - target_load;
    let tail = split_at_load(range, rest_load, stats).map(|(_, tail)| tail);
    let dense = densest_piece(range, target_load, stats);
    let pieces = [head, tail, dense].into_iter().flatten();
    let priced = pieces
        .filter(|keys| *keys != range && fits(keys))
        .map(|keys| {
            let new_ranges = range.without(keys).count() as u32;
            (keys.len() + new_ranges * KEYS_PER_RANGE, keys)
        });
    priced.min()
}

/// The fewest adjacent keys that have about `target_load`.
fn densest_piece(range: KeyRange, target_load: f64, stats: &LoadStats) -> Option<KeyRange> {
    let keys: Vec<(Key, f64)> = stats.keys(range).collect();
    let piece = |first: usize, last: usize| KeyRange {
        first: keys[first].0,
        last: keys[last].0,
    };
    let load = |keys: KeyRange, rate: f64| rate + f64::from(keys.len()) * BASE_KEY_RATE;
    let least = target_load * MIN_FIT;
    let (mut first, mut rate, mut best) = (0, 0.0, None::<KeyRange>);
    for last in 0..keys.len() {
        rate += keys[last].1;
        while first < last && load(piece(first + 1, last), rate - keys[first].1) >= least {
            rate -= keys[first].1;
            first += 1;
        }
        let found = piece(first, last);
        let fits = (least..=target_load * MAX_OVERSHOOT).contains(&load(found, rate));
        if fits && best.is_none_or(|best| found.len() < best.len()) {
            best = Some(found);
        }
    }
    best
}
