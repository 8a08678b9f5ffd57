//! Placement: which partition belongs on which target.
//!
//! Partitions without a fit owner are placed at once, the hottest first, each on the least busy
//! target. Load is evened out by single moves from the busiest target to the least busy one, within
//! a budget. Moves start only at a marked imbalance and then go on to a lower one (hysteresis).
//! Hot partitions leave their owner last. `docs/measurements.md` compares this policy with
//! bounded-load rendezvous hashing and with static placement.

use crate::{
    collections::{Map, Set},
    declaration::Weights,
    partition::Partition,
    world::{VmName, ZoneName},
};

/// Moves go on until the imbalance above 1 is this share of the one at which they start.
const STOP_SHARE: f64 = 0.5;
/// How far unserved time weighs in the cost of a planned move. A planned move leaves keys unserved
/// for tens of milliseconds only, while a loss does for more than a second.
const UNSERVED_SHARE: f64 = 0.25;
/// Share of the mean load of a target below which a move of a partition is not worth its cost.
const MIN_GAIN: f64 = 0.001;
/// Load of an idle partition, as a share of the mean partition's, so that idle ones spread too.
const IDLE_SHARE: f64 = 0.1;
/// Time over which the smoothed rates count requests, in seconds: two half-lives of 5 s over ln 2.
const COUNTING_S: f64 = 14.0;
/// Standard deviations by which an imbalance must exceed the noise of counting.
const NOISE_DEVIATIONS: f64 = 3.0;

/// Settings that no preset changes; `docs/measurements.md` compares their values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Imbalance above 1 at which moves start, for weights of 1 for imbalance and churn.
    pub start_per_cost: f64,
    /// Load from which a partition counts as hot, in means of all partitions.
    pub hot_factor: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            start_per_cost: 0.1,
            hot_factor: 2.0,
        }
    }
}

/// What the controller knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It answers and may be given partitions.
    Usable,
    /// It answers, but is to be emptied.
    Leaving,
    /// It does not answer and its lease may not have ended; nothing can be done about it.
    Suspect,
    /// It holds no lease any more, or is proved to be gone.
    Lost,
}

/// A target that placement considers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: VmName,
    /// Its zone, if it is listed.
    pub zone: Option<ZoneName>,
    /// What is known of it.
    pub state: TargetState,
}

/// What placement decides from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Owner of each partition, or the new owner if the partition is being moved.
    pub owners: &'a [Option<VmName>],
    /// Partitions that are being moved and must be left alone.
    pub moving: &'a Set<Partition>,
    /// The targets, in order of name.
    pub targets: &'a [Candidate],
    /// Requests a second of each partition.
    pub rates: &'a [f64],
    /// Weights of the preset in force.
    pub weights: Weights,
    /// Moves allowed now to even out load; 0 in quiet hours.
    pub budget: u32,
    /// Most moves to return, for whatever reason.
    pub limit: usize,
}

/// Why a partition moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// It has no owner.
    Unassigned,
    /// Its owner is lost or leaving.
    OwnerUnusable,
    /// To even out load; counts against the budget.
    Balance,
}

/// A move that should be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The partition.
    pub partition: Partition,
    /// Its new owner.
    pub to: VmName,
    /// Why.
    pub reason: MoveReason,
}

/// Decides on moves: first those that are required in any case, then those that even out load.
pub fn plan(input: &PlacementInput<'_>) -> Vec<PlannedMove> {
    plan_with(input, &Tuning::default())
}

/// Decides on moves with other settings than the usual ones, for comparisons.
pub fn plan_with(input: &PlacementInput<'_>, tuning: &Tuning) -> Vec<PlannedMove> {
    let mut loads = Loads::new(input);
    if loads.usable.is_empty() {
        return Vec::new();
    }
    let mut moves = plan_required(input, &mut loads);
    plan_balance(input, tuning, &mut loads, &mut moves);
    moves
}

fn plan_required(input: &PlacementInput<'_>, loads: &mut Loads) -> Vec<PlannedMove> {
    let mut required: Vec<(usize, MoveReason)> = (0..input.owners.len())
        .filter(|p| !loads.moving[*p])
        .filter_map(|p| Some((p, required_reason(input, loads, p)?)))
        .collect();
    required.sort_by(|(a, _), (b, _)| loads.size[*b].total_cmp(&loads.size[*a]).then(a.cmp(b)));
    required.truncate(input.limit);
    let mut moves = Vec::with_capacity(required.len());
    for (p, reason) in required {
        let Some(to) = loads.least_busy() else { break };
        moves.push(loads.apply_move(input, p, to, reason));
    }
    moves
}

/// Why partition `p` must move, if it must.
fn required_reason(input: &PlacementInput<'_>, loads: &Loads, p: usize) -> Option<MoveReason> {
    match (&input.owners[p], loads.owner[p]) {
        (None, _) => Some(MoveReason::Unassigned),
        (Some(_), Some(t)) => match input.targets[t].state {
            TargetState::Leaving | TargetState::Lost => Some(MoveReason::OwnerUnusable),
            TargetState::Usable | TargetState::Suspect => None,
        },
        (Some(_), None) => None,
    }
}

fn plan_balance(
    input: &PlacementInput<'_>,
    tuning: &Tuning,
    loads: &mut Loads,
    moves: &mut Vec<PlannedMove>,
) {
    let start = (tuning.start_per_cost * move_cost(&input.weights)).max(loads.noise(input.rates));
    let busiest = loads.busiest().map_or(0.0, |t| loads.per_target[t]);
    if busiest <= loads.mean * (1.0 + start) {
        return;
    }
    let bound = loads.mean * (1.0 + start * STOP_SHARE);
    let mut left = (input.budget as usize).min(input.limit.saturating_sub(moves.len()));
    while left > 0 {
        let Some(from) = loads.busiest().filter(|t| loads.per_target[*t] > bound) else {
            return;
        };
        match choose_move(tuning, loads, from, bound) {
            Some((p, to)) => {
                moves.push(loads.apply_move(input, p, to, MoveReason::Balance));
                left -= 1;
            }
            // Nothing that may leave this target helps; the next busiest may still be relieved.
            None => loads.exhausted[from] = true,
        }
    }
}

/// The best move away from `from`, if one helps: the largest partition that fits among those that
/// are not hot, and a hot one only if all the others together are not enough.
fn choose_move(tuning: &Tuning, loads: &Loads, from: usize, bound: f64) -> Option<(usize, usize)> {
    let to = loads.least_busy().filter(|to| *to != from)?;
    let room = (bound - loads.per_target[to]).min(loads.per_target[from] - loads.mean);
    let fits = |p: &usize| loads.size[*p] <= room;
    let by_size = |a: &usize, b: &usize| loads.size[*a].total_cmp(&loads.size[*b]);
    let hot_size = loads.mean_partition() * tuning.hot_factor;
    let movable = (0..loads.size.len()).filter(|p| loads.is_movable(*p, from));
    let (hot, others): (Vec<_>, Vec<_>) = movable.partition(|p| loads.size[*p] >= hot_size);
    if let Some(p) = others.iter().copied().filter(fits).max_by(by_size) {
        return Some((p, to));
    }
    let rest: f64 = others.iter().map(|p| loads.size[*p]).sum();
    if loads.per_target[from] - rest <= bound {
        return None;
    }
    let improves = |p: &usize| {
        loads.per_target[to] + loads.size[*p] < loads.per_target[from] - loads.mean * MIN_GAIN
    };
    let largest = hot.iter().copied().filter(fits).max_by(by_size);
    let chosen = largest.or_else(|| hot.into_iter().filter(improves).min_by(by_size));
    chosen.map(|p| (p, to))
}

/// The cost of a move against the weight of imbalance.
fn move_cost(weights: &Weights) -> f64 {
    let cost = weights.churn + UNSERVED_SHARE * weights.unserved;
    cost / weights.imbalance.max(f64::MIN_POSITIVE)
}

/// Loads of targets, kept up to date while moves are chosen. Targets go by their index.
#[derive(Debug)]
struct Loads {
    /// Load of each partition.
    size: Vec<f64>,
    owner: Vec<Option<usize>>,
    moving: Vec<bool>,
    /// Load of each target.
    per_target: Vec<f64>,
    usable: Vec<usize>,
    /// Targets that no move can choose_move.
    exhausted: Vec<bool>,
    /// Mean load of usable targets if they held everything that is not suspect.
    mean: f64,
}

impl Loads {
    fn new(input: &PlacementInput<'_>) -> Self {
        let count = input.owners.len();
        let total: f64 = input.rates.iter().sum();
        // The constant keeps partitions countable while there is no load at all.
        let idle = IDLE_SHARE * total / count.max(1) as f64 + f64::EPSILON;
        let size: Vec<f64> = (0..count)
            .map(|p| input.rates.get(p).copied().unwrap_or_default() + idle)
            .collect();
        let index: Map<&VmName, usize> = input
            .targets
            .iter()
            .enumerate()
            .map(|(i, t)| (&t.name, i))
            .collect();
        let owner: Vec<Option<usize>> = input
            .owners
            .iter()
            .map(|owner| index.get(owner.as_ref()?).copied())
            .collect();
        let mut per_target = vec![0.0; input.targets.len()];
        for (size, owner) in size.iter().zip(&owner) {
            if let Some(t) = owner {
                per_target[*t] += size;
            }
        }
        let state = |t: usize| input.targets[t].state;
        let all = 0..input.targets.len();
        let usable: Vec<usize> = all
            .clone()
            .filter(|t| state(*t) == TargetState::Usable)
            .collect();
        let suspect = all
            .filter(|t| state(*t) == TargetState::Suspect)
            .map(|t| per_target[t])
            .sum::<f64>();
        let moving = (0..count).map(|p| input.moving.contains(&Partition(p as u32)));
        Self {
            mean: (size.iter().sum::<f64>() - suspect) / usable.len().max(1) as f64,
            exhausted: vec![false; per_target.len()],
            moving: moving.collect(),
            size,
            owner,
            per_target,
            usable,
        }
    }

    fn busiest(&self) -> Option<usize> {
        let open = self.usable.iter().copied().filter(|t| !self.exhausted[*t]);
        open.max_by(|a, b| self.per_target[*a].total_cmp(&self.per_target[*b]))
    }

    fn least_busy(&self) -> Option<usize> {
        let targets = self.usable.iter().copied();
        targets.min_by(|a, b| self.per_target[*a].total_cmp(&self.per_target[*b]))
    }

    fn mean_partition(&self) -> f64 {
        self.size.iter().sum::<f64>() / self.size.len().max(1) as f64
    }

    fn is_movable(&self, p: usize, from: usize) -> bool {
        self.owner[p] == Some(from) && !self.moving[p] && self.size[p] >= self.mean * MIN_GAIN
    }

    /// Relative excess over the mean that the noise of counting alone explains.
    fn noise(&self, rates: &[f64]) -> f64 {
        let counted = rates.iter().sum::<f64>() / self.usable.len() as f64 * COUNTING_S;
        NOISE_DEVIATIONS / counted.max(1.0).sqrt()
    }

    /// Accounts for the move of partition `p` to target `to`. It does not move again this time.
    fn apply_move(
        &mut self,
        input: &PlacementInput<'_>,
        p: usize,
        to: usize,
        reason: MoveReason,
    ) -> PlannedMove {
        if let Some(from) = self.owner[p] {
            self.per_target[from] -= self.size[p];
        }
        self.owner[p] = Some(to);
        self.moving[p] = true;
        self.per_target[to] += self.size[p];
        PlannedMove {
            partition: Partition(p as u32),
            to: input.targets[to].name.clone(),
            reason,
        }
    }
}
