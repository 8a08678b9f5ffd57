//! Placement: the assignment of partitions to targets.
//!
//! Partitions without a usable owner are placed at once, in order of descending load, each on the
//! least loaded target. Load is balanced by single moves from the most to the least loaded target,
//! within a budget. Moves start at one threshold of imbalance and continue down to a lower one
//! (hysteresis). Hot partitions are moved only if moving the others is not enough.
//! `docs/measurements.md` compares this policy with bounded-load rendezvous hashing and with static
//! placement.

use crate::{
    collections::{Map, Set},
    declaration::Weights,
    partition::Partition,
    world::{VmName, ZoneName},
};

/// Moves stop when the imbalance above 1 has fallen to this share of the one at which they start.
const STOP_SHARE: f64 = 0.5;
/// Factor for the weight of unserved time in the cost of a planned move. A planned move leaves keys
/// unserved for only tens of milliseconds, the loss of a target for more than a second.
const UNSERVED_FACTOR: f64 = 0.25;
/// Least gain that makes a move worth its cost, as a share of the mean load of a target.
const MIN_GAIN: f64 = 0.001;
/// Load attributed to an idle partition, as a share of the mean partition's, so that idle ones are
/// spread too.
const IDLE_SHARE: f64 = 0.1;
/// Effective averaging time of the smoothed rates, in seconds: two half-lives of 5 s over ln 2.
const AVERAGING_TIME_S: f64 = 14.0;
/// Least imbalance that starts moves, in standard deviations of the counting noise.
const NOISE_DEVIATIONS: f64 = 3.0;

/// Parameters that no preset changes; `docs/measurements.md` compares values for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Imbalance above 1 at which moves start, per unit of move cost. The cost is 1 for weights of
    /// 1 for imbalance and churn and 0 for unserved time.
    pub start_per_cost: f64,
    /// Load from which a partition counts as hot, as a multiple of the mean of all partitions.
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

/// State of a target as far as the controller can determine it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It answers and may be given partitions.
    Usable,
    /// It answers, but its partitions are to be moved to other targets.
    Leaving,
    /// It does not answer, and its lease may still be valid, so its partitions have to stay.
    Suspect,
    /// Its lease has ended, or it is gone.
    Lost,
}

/// A target that placement considers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: VmName,
    /// Its zone; `None` if the platform does not list it.
    pub zone: Option<ZoneName>,
    /// Its state.
    pub state: TargetState,
}

/// Input of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Owner of each partition, or the new owner if the partition is being moved.
    pub owners: &'a [Option<VmName>],
    /// Partitions that are already being moved and must not be moved again.
    pub moving: &'a Set<Partition>,
    /// The targets, in order of name.
    pub targets: &'a [Candidate],
    /// Requests per second of each partition.
    pub rates: &'a [f64],
    /// Weights of the preset in use.
    pub weights: Weights,
    /// Moves allowed now to balance load; 0 in quiet hours.
    pub budget: u32,
    /// Most moves to return, whatever their reasons.
    pub limit: usize,
}

/// Why a partition moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// It has no owner.
    Unassigned,
    /// Its owner is lost or leaving.
    OwnerUnusable,
    /// To balance load; counts against the budget.
    Balance,
}

/// A move that placement has decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The partition.
    pub partition: Partition,
    /// Its new owner.
    pub to: VmName,
    /// Why it is moved.
    pub reason: MoveReason,
}

/// Plans moves: first the required ones, then those that balance load.
pub fn plan(input: &PlacementInput<'_>) -> Vec<PlannedMove> {
    plan_with(input, &Tuning::default())
}

/// Like [`plan`], with other parameters; for comparisons.
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
    required.sort_by(|(a, _), (b, _)| {
        loads.per_partition[*b]
            .total_cmp(&loads.per_partition[*a])
            .then(a.cmp(b))
    });
    required.truncate(input.limit);
    let mut moves = Vec::with_capacity(required.len());
    for (p, reason) in required {
        let Some(to) = loads.least_loaded() else {
            break;
        };
        moves.push(loads.apply_move(input, p, to, reason));
    }
    moves
}

/// Why partition `p` has to be moved regardless of the budget; `None` if it need not be.
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
    let most_loaded = loads.most_loaded().map_or(0.0, |t| loads.per_target[t]);
    if most_loaded <= loads.mean_load * (1.0 + start) {
        return;
    }
    let bound = loads.mean_load * (1.0 + start * STOP_SHARE);
    let mut left = (input.budget as usize).min(input.limit.saturating_sub(moves.len()));
    while left > 0 {
        let Some(from) = loads.most_loaded().filter(|t| loads.per_target[*t] > bound) else {
            return;
        };
        match choose_move(tuning, loads, from, bound) {
            Some((p, to)) => {
                moves.push(loads.apply_move(input, p, to, MoveReason::Balance));
                left -= 1;
            }
            // No move from this target helps; one from the next most loaded target still may.
            None => loads.exhausted[from] = true,
        }
    }
}

/// The best move away from `from`, as partition and new owner, if one helps: the largest partition
/// that fits among those that are not hot, or a hot one if moving all others is not enough.
fn choose_move(tuning: &Tuning, loads: &Loads, from: usize, bound: f64) -> Option<(usize, usize)> {
    let to = loads.least_loaded().filter(|to| *to != from)?;
    let room = (bound - loads.per_target[to]).min(loads.per_target[from] - loads.mean_load);
    let fits = |p: &usize| loads.per_partition[*p] <= room;
    let by_load =
        |a: &usize, b: &usize| loads.per_partition[*a].total_cmp(&loads.per_partition[*b]);
    let hot_load = loads.mean_partition_load() * tuning.hot_factor;
    let movable = (0..loads.per_partition.len()).filter(|p| loads.is_movable(*p, from));
    let (hot, others): (Vec<_>, Vec<_>) =
        movable.partition(|p| loads.per_partition[*p] >= hot_load);
    if let Some(p) = others.iter().copied().filter(fits).max_by(by_load) {
        return Some((p, to));
    }
    let rest: f64 = others.iter().map(|p| loads.per_partition[*p]).sum();
    if loads.per_target[from] - rest <= bound {
        return None;
    }
    let improves = |p: &usize| {
        loads.per_target[to] + loads.per_partition[*p]
            < loads.per_target[from] - loads.mean_load * MIN_GAIN
    };
    let largest = hot.iter().copied().filter(fits).max_by(by_load);
    let chosen = largest.or_else(|| hot.into_iter().filter(improves).min_by(by_load));
    chosen.map(|p| (p, to))
}

/// The cost of a move relative to the weight of imbalance.
fn move_cost(weights: &Weights) -> f64 {
    let cost = weights.churn + UNSERVED_FACTOR * weights.unserved;
    cost / weights.imbalance.max(f64::MIN_POSITIVE)
}

/// Loads of partitions and targets, updated as moves are chosen. Targets are given by index.
#[derive(Debug)]
struct Loads {
    /// Load of each partition.
    per_partition: Vec<f64>,
    owner: Vec<Option<usize>>,
    moving: Vec<bool>,
    /// Load of each target.
    per_target: Vec<f64>,
    usable: Vec<usize>,
    /// Targets from which no further move helps.
    exhausted: Vec<bool>,
    /// Mean load of the usable targets if they owned all partitions except those of suspect
    /// targets.
    mean_load: f64,
}

impl Loads {
    fn new(input: &PlacementInput<'_>) -> Self {
        let count = input.owners.len();
        let total: f64 = input.rates.iter().sum();
        // Epsilon keeps the loads above 0, so that partitions are spread even without any load.
        let idle = IDLE_SHARE * total / count.max(1) as f64 + f64::EPSILON;
        let per_partition: Vec<f64> = (0..count)
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
        for (load, owner) in per_partition.iter().zip(&owner) {
            if let Some(t) = owner {
                per_target[*t] += load;
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
            mean_load: (per_partition.iter().sum::<f64>() - suspect) / usable.len().max(1) as f64,
            exhausted: vec![false; per_target.len()],
            moving: moving.collect(),
            per_partition,
            owner,
            per_target,
            usable,
        }
    }

    fn most_loaded(&self) -> Option<usize> {
        let open = self.usable.iter().copied().filter(|t| !self.exhausted[*t]);
        open.max_by(|a, b| self.per_target[*a].total_cmp(&self.per_target[*b]))
    }

    fn least_loaded(&self) -> Option<usize> {
        let targets = self.usable.iter().copied();
        targets.min_by(|a, b| self.per_target[*a].total_cmp(&self.per_target[*b]))
    }

    fn mean_partition_load(&self) -> f64 {
        self.per_partition.iter().sum::<f64>() / self.per_partition.len().max(1) as f64
    }

    fn is_movable(&self, p: usize, from: usize) -> bool {
        self.owner[p] == Some(from)
            && !self.moving[p]
            && self.per_partition[p] >= self.mean_load * MIN_GAIN
    }

    /// Relative excess over the mean that counting noise alone can explain.
    fn noise(&self, rates: &[f64]) -> f64 {
        let counted = rates.iter().sum::<f64>() / self.usable.len() as f64 * AVERAGING_TIME_S;
        NOISE_DEVIATIONS / counted.max(1.0).sqrt()
    }

    /// Records the move of partition `p` to target `to`. The partition is not moved again by this
    /// plan.
    fn apply_move(
        &mut self,
        input: &PlacementInput<'_>,
        p: usize,
        to: usize,
        reason: MoveReason,
    ) -> PlannedMove {
        if let Some(from) = self.owner[p] {
            self.per_target[from] -= self.per_partition[p];
        }
        self.owner[p] = Some(to);
        self.moving[p] = true;
        self.per_target[to] += self.per_partition[p];
        PlannedMove {
            partition: Partition(p as u32),
            to: input.targets[to].name.clone(),
            reason,
        }
    }
}
