//! Moves that balance the load.
//!
//! Load answered: one endpoint or a few get many times what they can serve, because keys next to one
//! another or single ones become hot, while the others have room. The plan of one round spreads all
//! of it, in pieces that fit the room of their receivers.

use super::{
    Candidate, MIN_MOVE_UTILIZATION, Move, RECEIVE_UTILIZATION,
    choice::{choose_keys, hottest_key},
    load, loads,
};
use crate::gateway::{load_stats::LoadStats, model::KeyRange};

/// Load above an endpoint's fair share, as a fraction of its capacity, above which keys move.
const MOVE_THRESHOLD: f64 = 0.12;
/// Most moves of one round. Each takes a release and a grant.
const MAX_MOVES: usize = 64;
/// Load of a single key, as a fraction of its owner's capacity, above which it moves to an endpoint
/// that can serve more of it.
const HOT_KEY_UTILIZATION: f64 = 0.8;
/// Capacity that another endpoint must have left for such a key, as a multiple of its owner's
/// capacity. While the work on the key ends, the owner serves none of its requests, so small gains
/// do not pay.
const HOT_KEY_GAIN: f64 = 3.0;

/// Plans moves from the endpoints furthest above their fair share to those with the most room. In
/// one round, each endpoint receives keys at most once; an overloaded one may give keys to many.
/// Single keys that overload their owner come first.
pub fn rebalance(candidates: &[Candidate], stats: &LoadStats) -> Vec<Move> {
    let mut round = RebalanceRound::new(candidates, stats);
    let mut moves = round.move_hot_keys();
    while moves.len() < MAX_MOVES
        && let Some(chosen) = round.next_move()
    {
        moves.push(chosen);
    }
    moves
}

/// Loads and ranges during one rebalancing round, updated with each planned move.
struct RebalanceRound<'a> {
    candidates: &'a [Candidate],
    stats: &'a LoadStats,
    ranges: Vec<Vec<KeyRange>>,
    loads: Vec<f64>,
    total: f64,
    capacity: f64,
    may_give: Vec<bool>,
    may_receive: Vec<bool>,
}

impl<'a> RebalanceRound<'a> {
    fn new(candidates: &'a [Candidate], stats: &'a LoadStats) -> Self {
        let ranges: Vec<Vec<KeyRange>> = candidates.iter().map(|c| c.ranges.clone()).collect();
        let loads = loads(candidates, stats);
        Self {
            candidates,
            stats,
            total: loads.iter().sum(),
            capacity: candidates.iter().map(|c| c.capacity).sum(),
            may_give: vec![true; candidates.len()],
            may_receive: candidates.iter().map(|c| c.receives).collect(),
            ranges,
            loads,
        }
    }

    /// The endpoint's share of the load, in proportion to its capacity.
    fn fair_share(&self, i: usize) -> f64 {
        self.total * self.candidates[i].capacity / self.capacity
    }

    /// Load above the endpoint's fair share; negative if below.
    fn excess(&self, i: usize) -> f64 {
        self.loads[i] - self.fair_share(i)
    }

    /// Load that the endpoint can be given.
    fn room(&self, i: usize) -> f64 {
        let usable = self.candidates[i].capacity * RECEIVE_UTILIZATION;
        usable.max(self.fair_share(i)) - self.loads[i]
    }

    fn is_overloaded(&self, i: usize) -> bool {
        let capacity = self.candidates[i].capacity;
        self.loads[i] > capacity * MIN_MOVE_UTILIZATION
            && self.excess(i) > capacity * MOVE_THRESHOLD
    }

    /// An endpoint without keys gets some even if no other one is overloaded.
    fn needs_keys(&self, i: usize) -> bool {
        self.candidates[i].incoming.is_empty() && self.ranges[i].is_empty() && self.total > 0.0
    }

    /// Moves each key that overloads its owner by itself to an endpoint that can serve far more of it,
    /// if there is one. Otherwise it stays, and its neighbours move away.
    fn move_hot_keys(&mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        for from in 0..self.candidates.len() {
            let capacity = self.candidates[from].capacity;
            if moves.len() == MAX_MOVES || !self.is_overloaded(from) {
                continue;
            }
            let Some((key, key_load)) = hottest_key(&self.ranges[from], self.stats) else {
                continue;
            };
            let left = |i: &usize| self.candidates[*i].capacity - self.loads[*i];
            let to = (0..self.candidates.len())
                .filter(|i| self.may_receive[*i] && *i != from)
                .max_by(|a, b| left(a).total_cmp(&left(b)));
            let is_hot = key_load > capacity * HOT_KEY_UTILIZATION;
            let gains = |to: &usize| left(to) > capacity * HOT_KEY_GAIN;
            if let Some(to) = to.filter(|to| is_hot && gains(to)) {
                moves.push(self.apply(from, to, key));
            }
        }
        moves
    }

    fn next_move(&mut self) -> Option<Move> {
        loop {
            let all = 0..self.candidates.len();
            let from = all
                .clone()
                .filter(|i| self.may_give[*i])
                .max_by(|a, b| self.excess(*a).total_cmp(&self.excess(*b)))?;
            let to = all.filter(|i| self.may_receive[*i]).max_by(|a, b| {
                let by_need = self.needs_keys(*a).cmp(&self.needs_keys(*b));
                by_need.then(self.room(*a).total_cmp(&self.room(*b)))
            })?;
            let needs_keys = self.needs_keys(to);
            if from == to || self.room(to) <= 0.0 || !(needs_keys || self.is_overloaded(from)) {
                return None;
            }
            let (above, below) = (self.excess(from), -self.excess(to));
            let target_load = if needs_keys {
                let balanced = above.min(below).max((above + below) / 4.0);
                balanced.min(above.max(below)).min(self.room(to))
            } else {
                above.min(self.room(to))
            };
            let Some(keys) = choose_keys(&self.ranges[from], target_load, self.stats) else {
                self.may_give[from] = false;
                continue;
            };
            return Some(self.apply(from, to, keys));
        }
    }

    fn apply(&mut self, from: usize, to: usize, keys: KeyRange) -> Move {
        let moved = load(self.stats, keys);
        self.loads[from] -= moved;
        self.loads[to] += moved;
        self.may_receive[from] = false;
        self.may_receive[to] = false;
        self.may_give[to] = false;
        if let Some(at) = self.ranges[from].iter().position(|r| r.overlaps(keys)) {
            let whole = self.ranges[from].swap_remove(at);
            self.ranges[from].extend(whole.without(keys));
        }
        Move {
            keys,
            to: self.candidates[to].instance.clone(),
        }
    }
}
