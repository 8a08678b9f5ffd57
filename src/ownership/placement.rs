//! Placement: which partition belongs on which target.
//!
//! Partitions without a usable owner are placed at once. Load is evened out by single moves from
//! the busiest target to the least busy one, within a budget and with hysteresis. Other partitions
//! leave the owner of a hot partition first. `docs/measurements.md` compares this policy with
//! bounded-load rendezvous hashing and with static placement.

use crate::{
    clock::Millis,
    declaration::{Preset, QuietHours},
    partition::Partition,
};

/// Time without budgeted moves after the first observation; a new controller knows no heat.
const WARM_UP: Millis = Millis(15_000);
/// Time that a partition stays after a budgeted move, so that it does not go back and forth.
const MIN_STAY: Millis = Millis(60_000);
/// Moves go on until the imbalance above 1 is this share of the one at which they start.
const STOP_SHARE: f64 = 0.5;
/// How far unserved time weighs in the cost of a planned move. A planned move leaves keys unserved
/// for tens of milliseconds only, while a loss does for more than a second.
const UNSERVED_SHARE: f64 = 0.25;
/// Share of the mean load below which a move of a partition is not worth its cost.
const MIN_GAIN: f64 = 0.001;
/// Load of an idle partition, as a share of the mean partition's, so that idle ones spread too.
const IDLE_SHARE: f64 = 0.1;
/// Standard deviations by which an imbalance must exceed the noise of counting.
const NOISE_DEVIATIONS: f64 = 3.0;

/// Settings that no preset changes; `docs/measurements.md` compares their values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Time after which an observation of heat counts half. A shorter time follows noise, a longer
    /// one evens out load that has gone.
    pub half_life: Millis,
    /// Imbalance above 1 at which moves start, for weights of 1 for imbalance and churn.
    pub start_per_cost: f64,
    /// Share of the mean load of a target from which a partition counts as hot.
    pub hot_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            half_life: Millis(5_000),
            start_per_cost: 0.1,
            hot_share: 0.04,
        }
    }
}

/// A target as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementTarget {
    /// Whether it may receive partitions; one that may not is emptied.
    pub usable: bool,
}

/// A partition as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPartition {
    /// Index of its owner among the targets; `None` if it has none or its owner is gone.
    pub owner: Option<usize>,
    /// Whether a move of it is under way. It counts as load of `owner` and is left alone.
    pub moving: bool,
}

/// What a round of placement works on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The time.
    pub now: Millis,
    /// Minute of the day in UTC, for quiet hours.
    pub minute_of_day: u16,
    /// The preset in force.
    pub preset: &'a Preset,
    /// The targets.
    pub targets: &'a [PlacementTarget],
    /// The partitions, by number.
    pub partitions: &'a [PlacementPartition],
    /// Most moves to return.
    pub limit: usize,
}

/// A move that placement wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The partition.
    pub partition: Partition,
    /// Index of its new owner among the targets.
    pub to: usize,
}

/// Memory of placement between its rounds.
#[derive(Clone, Debug)]
pub struct Placement {
    tuning: Tuning,
    /// Requests counted since the last round.
    counted: Vec<u32>,
    /// Smoothed requests per second.
    rates: Vec<f64>,
    moved_at: Vec<Option<Millis>>,
    first_round: Option<Millis>,
    last_round: Millis,
    budget: f64,
    balancing: bool,
}

impl Placement {
    /// Placement of `partitions` partitions, without any heat observed.
    pub fn new(partitions: u32) -> Self {
        Self::with_tuning(partitions, Tuning::default())
    }

    /// Placement with other settings than the usual ones, for comparisons.
    pub fn with_tuning(partitions: u32, tuning: Tuning) -> Self {
        let count = partitions as usize;
        Self {
            tuning,
            counted: vec![0; count],
            rates: vec![0.0; count],
            moved_at: vec![None; count],
            first_round: None,
            last_round: Millis::ZERO,
            budget: 0.0,
            balancing: false,
        }
    }

    /// Counts `requests` to `partition`, as its owner reported them.
    pub fn observe(&mut self, partition: Partition, requests: u32) {
        if let Some(counted) = self.counted.get_mut(partition.0 as usize) {
            *counted = counted.saturating_add(requests);
        }
    }

    /// Smoothed requests per second of every partition.
    pub fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// The moves of this round; the caller carries them out or asks again later.
    pub fn plan(&mut self, view: &PlacementView<'_>) -> Vec<PlacementMove> {
        self.advance(view);
        if !view.targets.iter().any(|target| target.usable) {
            return Vec::new();
        }
        let mut loads = Loads::new(view, &self.rates);
        let mut moves = place_homeless(view, &mut loads);
        if self.may_balance(view) {
            self.balance(view, &mut loads, &mut moves);
        } else {
            self.balancing = false;
        }
        moves
    }

    /// Brings rates and budget up to the time of this round.
    fn advance(&mut self, view: &PlacementView<'_>) {
        let started = *self.first_round.get_or_insert(view.now);
        let elapsed = view.now.since(self.last_round).0 as f64;
        if started == view.now || elapsed <= 0.0 {
            self.last_round = view.now;
            return;
        }
        self.last_round = view.now;
        let half_life = self.tuning.half_life.0 as f64;
        let keep = 0.5f64.powf(elapsed / half_life);
        // The smoothed rate starts at zero; early rounds weigh more, so that it has no bias.
        let age = view.now.since(started).0 as f64;
        let fresh = (1.0 - keep) / (1.0 - 0.5f64.powf(age / half_life));
        for (rate, counted) in self.rates.iter_mut().zip(&mut self.counted) {
            let current = f64::from(std::mem::take(counted)) * 1_000.0 / elapsed;
            *rate += (current - *rate) * fresh;
        }
        let per_minute = f64::from(view.preset.moves_per_minute);
        self.budget = (self.budget + per_minute * elapsed / 60_000.0).min(per_minute);
    }

    fn may_balance(&self, view: &PlacementView<'_>) -> bool {
        let age = view.now.since(self.first_round.unwrap_or(view.now));
        age >= WARM_UP && !is_quiet(&view.preset.quiet_hours, view.minute_of_day)
    }

    fn balance(
        &mut self,
        view: &PlacementView<'_>,
        loads: &mut Loads,
        moves: &mut Vec<PlacementMove>,
    ) {
        let start = (self.tuning.start_per_cost * move_cost(view.preset)).max(self.noise(loads));
        let most = loads.mean * (1.0 + start);
        if !self.balancing && loads.busiest().is_none_or(|t| loads.of[t] <= most) {
            return;
        }
        self.balancing = true;
        let bound = loads.mean * (1.0 + start * STOP_SHARE);
        while self.budget >= 1.0 && moves.len() < view.limit {
            let Some(from) = loads.busiest() else { break };
            if loads.of[from] <= bound {
                self.balancing = false;
                break;
            }
            let Some(next) = self.relieve(view, loads, from, bound) else {
                // Nothing that may leave this target helps; the next busiest may still be relieved.
                loads.settled[from] = true;
                continue;
            };
            loads.carry_out(next);
            self.moved_at[next.partition.0 as usize] = Some(view.now);
            self.budget -= 1.0;
            moves.push(next);
        }
    }

    /// The best move away from `from`, if one helps: the largest partition that fits among those
    /// that are not hot, and a hot one only if all the others together are not enough.
    fn relieve(
        &self,
        view: &PlacementView<'_>,
        loads: &Loads,
        from: usize,
        bound: f64,
    ) -> Option<PlacementMove> {
        let to = loads.least_busy().filter(|to| *to != from)?;
        let room = (bound - loads.of[to]).min(loads.of[from] - loads.mean);
        let fits = |p: &usize| loads.size[*p] <= room;
        let by_size = |a: &usize, b: &usize| loads.size[*a].total_cmp(&loads.size[*b]);
        let hot_size = loads.mean * self.tuning.hot_share;
        let movable = (0..loads.size.len()).filter(|p| self.is_movable(view, loads, *p, from));
        let (hot, others): (Vec<_>, Vec<_>) = movable.partition(|p| loads.size[*p] >= hot_size);
        let chosen = others
            .iter()
            .copied()
            .filter(fits)
            .max_by(by_size)
            .or_else(|| {
                let rest: f64 = others.iter().map(|p| loads.size[*p]).sum();
                let enough = loads.of[from] - rest <= bound;
                let improves = |p: &usize| {
                    loads.of[to] + loads.size[*p] < loads.of[from] - loads.mean * MIN_GAIN
                };
                let hot = || hot.iter().copied().filter(|_| !enough);
                let largest = hot().filter(fits).max_by(by_size);
                largest.or_else(|| hot().filter(improves).min_by(by_size))
            })?;
        Some(PlacementMove {
            partition: Partition(chosen as u32),
            to,
        })
    }

    fn is_movable(&self, view: &PlacementView<'_>, loads: &Loads, p: usize, from: usize) -> bool {
        let stayed = self.moved_at[p].is_none_or(|at| view.now.since(at) >= MIN_STAY);
        loads.owner[p] == Some(from)
            && !view.partitions[p].moving
            && stayed
            && loads.size[p] >= loads.mean * MIN_GAIN
    }

    /// Relative excess over the mean that counting noise alone explains.
    fn noise(&self, loads: &Loads) -> f64 {
        let window_s = self.tuning.half_life.0 as f64 / 1_000.0 / std::f64::consts::LN_2 * 2.0;
        let total: f64 = self.rates.iter().sum();
        let counted = total / loads.usable as f64 * window_s;
        NOISE_DEVIATIONS / counted.max(1.0).sqrt()
    }
}

/// Places partitions whose owner is missing or must be emptied, the hottest first.
fn place_homeless(view: &PlacementView<'_>, loads: &mut Loads) -> Vec<PlacementMove> {
    let homeless = |p: &usize| {
        let owner = view.partitions[*p].owner;
        !view.partitions[*p].moving && !owner.is_some_and(|t| is_usable(view, t))
    };
    let mut partitions: Vec<usize> = (0..view.partitions.len()).filter(homeless).collect();
    partitions.sort_by(|a, b| loads.size[*b].total_cmp(&loads.size[*a]).then(a.cmp(b)));
    partitions.truncate(view.limit);
    let mut moves = Vec::with_capacity(partitions.len());
    for p in partitions {
        let Some(to) = loads.least_busy() else { break };
        let next = PlacementMove {
            partition: Partition(p as u32),
            to,
        };
        loads.carry_out(next);
        moves.push(next);
    }
    moves
}

fn is_usable(view: &PlacementView<'_>, target: usize) -> bool {
    view.targets.get(target).is_some_and(|t| t.usable)
}

/// Loads of targets, kept up to date while moves are chosen.
#[derive(Debug)]
struct Loads {
    /// Load of each partition.
    size: Vec<f64>,
    owner: Vec<Option<usize>>,
    /// Load of each target.
    of: Vec<f64>,
    usable: usize,
    usable_targets: Vec<usize>,
    /// Targets that no move can relieve.
    settled: Vec<bool>,
    /// Mean load of usable targets if they held everything.
    mean: f64,
}

impl Loads {
    fn new(view: &PlacementView<'_>, rates: &[f64]) -> Self {
        let total: f64 = rates.iter().sum();
        // The constant keeps partitions countable while there is no load at all.
        let idle = IDLE_SHARE * total / rates.len().max(1) as f64 + f64::EPSILON;
        let size: Vec<f64> = rates.iter().map(|rate| rate + idle).collect();
        let owner: Vec<Option<usize>> = view.partitions.iter().map(|p| p.owner).collect();
        let mut of = vec![0.0; view.targets.len()];
        for (size, owner) in size.iter().zip(&owner) {
            if let Some(load) = owner.and_then(|t| of.get_mut(t)) {
                *load += size;
            }
        }
        let usable_targets: Vec<usize> = (0..view.targets.len())
            .filter(|t| view.targets[*t].usable)
            .collect();
        let usable = usable_targets.len();
        Self {
            mean: size.iter().sum::<f64>() / usable.max(1) as f64,
            settled: vec![false; view.targets.len()],
            size,
            owner,
            of,
            usable,
            usable_targets,
        }
    }

    fn busiest(&self) -> Option<usize> {
        let open = self
            .usable_targets
            .iter()
            .copied()
            .filter(|t| !self.settled[*t]);
        open.max_by(|a, b| self.of[*a].total_cmp(&self.of[*b]))
    }

    fn least_busy(&self) -> Option<usize> {
        let targets = self.usable_targets.iter().copied();
        targets.min_by(|a, b| self.of[*a].total_cmp(&self.of[*b]))
    }

    fn carry_out(&mut self, next: PlacementMove) {
        let p = next.partition.0 as usize;
        if let Some(load) = self.owner[p].and_then(|t| self.of.get_mut(t)) {
            *load -= self.size[p];
        }
        self.owner[p] = Some(next.to);
        self.of[next.to] += self.size[p];
    }
}

/// The cost of a move against the weight of imbalance.
fn move_cost(preset: &Preset) -> f64 {
    let weights = &preset.weights;
    let cost = weights.churn + UNSERVED_SHARE * weights.unserved;
    cost / weights.imbalance.max(f64::MIN_POSITIVE)
}

/// Whether `minute` of the day lies in one of `spans`. Spans that cannot be read are ignored here;
/// declarations with such spans are rejected when they are applied.
pub fn is_quiet(spans: &[QuietHours], minute: u16) -> bool {
    spans.iter().any(|span| {
        let (Some(from), Some(to)) = (minute_of(&span.from), minute_of(&span.to)) else {
            return false;
        };
        if from <= to {
            (from..to).contains(&minute)
        } else {
            minute >= from || minute < to
        }
    })
}

fn minute_of(text: &str) -> Option<u16> {
    let (hour, minute) = text.split_once(':')?;
    let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
    (hour < 24 && minute < 60).then_some(hour * 60 + minute)
}
