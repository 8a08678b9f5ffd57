//! Which endpoint should own which keys.

use super::{
    heat::HeatMap,
    model::{EndpointInstance, Key, KeyRange},
};

/// Load of a key that nobody asked for yet, in requests a second. It spreads cold keys evenly.
const IDLE_KEY_RATE: f64 = 0.0005;
/// Parts that keys without an owner are cut into, for each endpoint that could take them.
const PARTS_PER_ENDPOINT: f64 = 0.5;
/// Load of a piece of keys without an owner below which it is not cut further, as a share of an
/// endpoint's mean load. Every piece is a range, which has to be granted and renewed.
const MIN_PART: f64 = 0.25;
/// Load of a range that may join its neighbour's owner, as a share of an endpoint's mean load.
const SMALL_RANGE: f64 = 0.05;
/// Ranges that join a neighbour in one round at most.
const MAX_JOINS: usize = 16;
/// Share of its capacity below which an endpoint keeps its keys: requests hardly wait there, and
/// every move interrupts its keys for a moment.
const BUSY: f64 = 0.5;
/// Load above an endpoint's fair part, as a share of its capacity, above which keys move.
const MOVE_ABOVE: f64 = 0.12;

/// Load of a piece, as a multiple of what is wanted, above which it is not moved.
const MAX_OVERSHOOT: f64 = 1.6;
/// Load of a piece, as a share of what is wanted, below which it is not worth a move.
const MIN_PIECE: f64 = 0.1;

/// An endpoint that may own keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub instance: EndpointInstance,
    /// Requests that it can serve in a second.
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
    pub to: EndpointInstance,
}

/// Load of `keys`, in requests a second.
fn load(heat: &HeatMap, keys: KeyRange) -> f64 {
    heat.rate(keys) + f64::from(keys.len()) * IDLE_KEY_RATE
}

/// Load of the keys that each candidate owns.
fn loads(candidates: &[Candidate], heat: &HeatMap) -> Vec<f64> {
    let of_one = |c: &Candidate| c.ranges.iter().map(|keys| load(heat, *keys)).sum();
    candidates.iter().map(of_one).collect()
}

/// Distributes keys without an owner. Empty if there is no candidate.
pub fn distribute(free: &[KeyRange], candidates: &[Candidate], heat: &HeatMap) -> Vec<Move> {
    let mut loads = loads(candidates, heat);
    let total: f64 = free.iter().map(|keys| load(heat, *keys)).sum();
    let unowned = loads.iter().all(|load| *load == 0.0);
    let parts = if unowned {
        candidates.len() as f64
    } else {
        (candidates.len() as f64 * PARTS_PER_ENDPOINT).max(1.0)
    };
    let mean = (loads.iter().sum::<f64>() + total) / candidates.len().max(1) as f64;
    let part = (total / parts).max(mean * MIN_PART);
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
                to: candidates[lightest].instance.clone(),
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

/// Moves from the endpoints with most load to those with least. Each endpoint receives keys at most
/// once in a round; an overloaded one may give keys to many.
pub fn rebalance(candidates: &[Candidate], heat: &HeatMap) -> Vec<Move> {
    let mut round = Round::new(candidates, heat);
    let mut moves = Vec::new();
    while let Some(chosen) = round.next_move() {
        moves.push(chosen);
    }
    moves
}

/// Moves that give small ranges to the owners of their neighbours, so that there are fewer ranges.
pub fn join_small(candidates: &[Candidate], heat: &HeatMap) -> Vec<Move> {
    let loads = loads(candidates, heat);
    let total: f64 = loads.iter().sum();
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let small = total / candidates.len().max(1) as f64 * SMALL_RANGE;
    let mut ranges: Vec<(KeyRange, usize)> = Vec::new();
    for (owner, candidate) in candidates.iter().enumerate() {
        ranges.extend(candidate.ranges.iter().map(|keys| (*keys, owner)));
    }
    ranges.sort_unstable();
    let has_room = |owner: usize| {
        let own = candidates[owner].capacity;
        loads[owner] + small <= own * BUSY.max(total / capacity)
    };
    let mut moves = Vec::new();
    let mut at = 0;
    while at + 1 < ranges.len() && moves.len() < MAX_JOINS {
        let ((first, owner), (second, next_owner)) = (ranges[at], ranges[at + 1]);
        at += 1;
        let adjoin = first.last.checked_add(1) == Some(second.first) && owner != next_owner;
        let joins = [(first, next_owner), (second, owner)];
        let join = joins
            .into_iter()
            .find(|(keys, to)| has_room(*to) && load(heat, *keys) <= small);
        if let Some((keys, to)) = join.filter(|_| adjoin) {
            moves.push(Move {
                keys,
                to: candidates[to].instance.clone(),
            });
            // The range beside it may join it in the next round.
            at += 1;
        }
    }
    moves
}

/// The loads of one round of moves as they become.
struct Round<'a> {
    candidates: &'a [Candidate],
    heat: &'a HeatMap,
    ranges: Vec<Vec<KeyRange>>,
    loads: Vec<f64>,
    total: f64,
    capacity: f64,
    may_give: Vec<bool>,
    may_receive: Vec<bool>,
}

impl<'a> Round<'a> {
    fn new(candidates: &'a [Candidate], heat: &'a HeatMap) -> Self {
        let ranges: Vec<Vec<KeyRange>> = candidates.iter().map(|c| c.ranges.clone()).collect();
        let loads = loads(candidates, heat);
        Self {
            candidates,
            heat,
            total: loads.iter().sum(),
            capacity: candidates.iter().map(|c| c.capacity).sum(),
            may_give: vec![true; candidates.len()],
            may_receive: vec![true; candidates.len()],
            ranges,
            loads,
        }
    }

    /// Load above the endpoint's share by capacity; negative below it.
    fn excess(&self, i: usize) -> f64 {
        self.loads[i] - self.total * self.candidates[i].capacity / self.capacity
    }

    fn is_overloaded(&self, i: usize) -> bool {
        let capacity = self.candidates[i].capacity;
        self.loads[i] > capacity * BUSY && self.excess(i) > capacity * MOVE_ABOVE
    }

    fn next_move(&mut self) -> Option<Move> {
        loop {
            let all = 0..self.candidates.len();
            let by_excess = |a: &usize, b: &usize| self.excess(*a).total_cmp(&self.excess(*b));
            let from = all
                .clone()
                .filter(|i| self.may_give[*i])
                .max_by(by_excess)?;
            let to = all.filter(|i| self.may_receive[*i]).min_by(by_excess)?;
            let (above, below) = (self.excess(from), -self.excess(to));
            // An endpoint that has just joined gets keys even if nobody is busy.
            let is_idle = self.ranges[to].is_empty() && self.total > 0.0;
            if from == to || below <= 0.0 || !(is_idle || self.is_overloaded(from)) {
                return None;
            }
            let wanted = above
                .min(below)
                .max((above + below) / 4.0)
                .min(above.max(below));
            let Some(keys) = piece_of(&self.ranges[from], wanted, self.heat) else {
                self.may_give[from] = false;
                continue;
            };
            self.apply(from, to, keys);
            return Some(Move {
                keys,
                to: self.candidates[to].instance.clone(),
            });
        }
    }

    fn apply(&mut self, from: usize, to: usize, keys: KeyRange) {
        let moved = load(self.heat, keys);
        self.loads[from] -= moved;
        self.loads[to] += moved;
        self.may_receive[from] = false;
        self.may_receive[to] = false;
        self.may_give[to] = false;
        let Some(at) = self.ranges[from].iter().position(|r| r.overlaps(keys)) else {
            return;
        };
        let whole = self.ranges[from].swap_remove(at);
        if whole.first < keys.first {
            self.ranges[from].push(KeyRange {
                first: whole.first,
                last: keys.first - 1,
            });
        }
        if whole.last > keys.last {
            self.ranges[from].push(KeyRange {
                first: keys.last + 1,
                last: whole.last,
            });
        }
    }
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
    let head = cut(*busiest, wanted, heat).map_or(*busiest, |(head, _)| head);
    if load(heat, head) <= wanted * MAX_OVERSHOOT {
        return (head != *busiest || ranges.len() > 1).then_some(head);
    }
    beside_hot_key(head, *busiest, wanted, heat)
}

/// Keys on one side of the busiest key of `head`, which outweighs what is wanted by itself. It stays
/// where it is, and its neighbours make room for it.
fn beside_hot_key(
    head: KeyRange,
    whole: KeyRange,
    wanted: f64,
    heat: &HeatMap,
) -> Option<KeyRange> {
    let (hot, _) = heat.keys(head).max_by(|a, b| a.1.total_cmp(&b.1))?;
    let before = (hot > whole.first).then(|| KeyRange {
        first: whole.first,
        last: hot - 1,
    });
    let after = (hot < whole.last).then(|| KeyRange {
        first: hot + 1,
        last: whole.last,
    });
    let sides = before.into_iter().chain(after);
    let heavier = sides.max_by(|a, b| load(heat, *a).total_cmp(&load(heat, *b)))?;
    if load(heat, heavier) < wanted * MIN_PIECE {
        return None;
    }
    let piece = cut(heavier, wanted, heat).map_or(heavier, |(head, _)| head);
    (load(heat, piece) <= wanted * MAX_OVERSHOOT).then_some(piece)
}
