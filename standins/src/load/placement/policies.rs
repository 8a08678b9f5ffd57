//! The policies that are compared.

use fireflygauge::{
    clock::Millis,
    collections::Set,
    declaration::Preset,
    ownership::{
        partition_rates::{MoveBudget, PartitionRates},
        placement::{
            Candidate, MoveReason, PlacementInput, PlannedMove, TargetState, Tuning, plan_with,
        },
        timing::MAX_MOVES,
    },
    partition::Partition,
};
use std::hash::{BuildHasher, Hasher};
use strum::{Display, EnumString, VariantArray};

/// Seconds between rounds of the hashing policies.
const HASHING_ROUND_S: u64 = 10;
/// Share of the old rate that remains after a second in the hashing policies: a half-life of 5 s,
/// like that of the project's own policy.
const KEEP_PER_SECOND: f64 = 0.870_550_6;

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// Moves only what must move; the baseline.
    Static,
    /// Bounded-load rendezvous hashing, computed anew in each round.
    Rendezvous,
    /// The same, but a partition stays while its owner is within the bound.
    StickyRendezvous,
    /// Greedy moves with hysteresis and a move budget: the project's policy.
    Greedy,
}

/// What a policy sees in a second.
pub struct View<'a> {
    /// Seconds since the start.
    pub now_s: u64,
    /// Requests that each partition received in this second.
    pub counts: &'a [u32],
    /// Owner of each partition; `None` if it is lost.
    pub owners: &'a [Option<usize>],
    /// Whether each target may receive partitions.
    pub usable: &'a [bool],
}

/// A change of owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The partition.
    pub partition: Partition,
    /// Index of its new owner.
    pub to: usize,
}

/// A policy with its memory.
pub type Policy = Box<dyn FnMut(&View<'_>) -> Vec<Move>>;

/// The policy `name` under `preset`. `bound` is the load that the hashing policies allow a target,
/// in means.
pub fn policy(
    name: PolicyName,
    preset: &Preset,
    partitions: u32,
    bound: f64,
    tuning: Tuning,
) -> Policy {
    match name {
        PolicyName::Static => greedy(
            &Preset {
                moves_per_minute: 0,
                ..preset.clone()
            },
            partitions,
            tuning,
        ),
        PolicyName::Greedy => greedy(preset, partitions, tuning),
        PolicyName::Rendezvous => rendezvous(partitions, bound, false),
        PolicyName::StickyRendezvous => rendezvous(partitions, bound, true),
    }
}

fn greedy(preset: &Preset, partitions: u32, tuning: Tuning) -> Policy {
    let (weights, per_minute) = (preset.weights, preset.moves_per_minute);
    let mut partition_rates = PartitionRates::new(partitions, Millis::ZERO);
    let mut budget = MoveBudget::new(Millis::ZERO);
    Box::new(move |view| {
        let now = Millis(view.now_s * 1_000);
        let counted = view.counts.iter().enumerate();
        let reported: Vec<_> = counted
            .map(|(p, count)| (Partition(p as u32), *count))
            .collect();
        partition_rates.add(&reported);
        let targets: Vec<Candidate> = view.usable.iter().enumerate().map(candidate).collect();
        let owner = |owner: &Option<usize>| owner.map(|t| targets[t].name.clone());
        let owners: Vec<_> = view.owners.iter().map(owner).collect();
        let planned = plan_with(
            &PlacementInput {
                owners: &owners,
                moving: &Set::default(),
                targets: &targets,
                rates: partition_rates.rates(now),
                weights,
                budget: budget.available(per_minute, now),
                limit: MAX_MOVES,
            },
            &tuning,
        );
        let chosen = planned.iter().filter(|m| m.reason == MoveReason::Balance);
        budget.spend(chosen.count() as u32);
        let index = |name| targets.iter().position(|t| t.name == name);
        let to_move = |m: PlannedMove| {
            Some(Move {
                partition: m.partition,
                to: index(m.to)?,
            })
        };
        planned.into_iter().filter_map(to_move).collect()
    })
}

fn candidate((index, usable): (usize, &bool)) -> Candidate {
    let state = if *usable {
        TargetState::Usable
    } else {
        TargetState::Leaving
    };
    Candidate {
        name: format!("t{index:03}").as_str().into(),
        zone: None,
        state,
    }
}

fn rendezvous(partitions: u32, bound: f64, sticky: bool) -> Policy {
    let mut rates = vec![0.0; partitions as usize];
    Box::new(move |view| {
        for (rate, count) in rates.iter_mut().zip(view.counts) {
            *rate = *rate * KEEP_PER_SECOND + f64::from(*count) * (1.0 - KEEP_PER_SECOND);
        }
        let is_homeless = |owner: &Option<usize>| owner.is_none_or(|t| !view.usable[t]);
        let due = view.now_s % HASHING_ROUND_S == 0 || view.owners.iter().any(is_homeless);
        if due {
            hash_round(view, &rates, bound, sticky)
        } else {
            Vec::new()
        }
    })
}

/// One round: the hottest partitions choose first, each the target with the highest hash that has
/// room under the bound.
fn hash_round(view: &View<'_>, rates: &[f64], bound: f64, sticky: bool) -> Vec<Move> {
    let usable: Vec<usize> = (0..view.usable.len()).filter(|t| view.usable[*t]).collect();
    let idle = 0.1 * rates.iter().sum::<f64>() / rates.len() as f64 + f64::EPSILON;
    let total: f64 = rates.iter().map(|rate| rate + idle).sum();
    let most = bound * total / usable.len() as f64;
    let mut order: Vec<usize> = (0..rates.len()).collect();
    order.sort_by(|a, b| rates[*b].total_cmp(&rates[*a]));
    let mut loads = vec![0.0; view.usable.len()];
    let mut moves = Vec::new();
    for p in order {
        let size = rates[p] + idle;
        let fits = |t: &usize| loads[*t] + size <= most;
        let stays = view.owners[p]
            .filter(|t| sticky && view.usable[*t])
            .filter(fits);
        let ranked = || {
            usable
                .iter()
                .copied()
                .filter(fits)
                .max_by_key(|t| score(p, *t))
        };
        let least = || {
            usable
                .iter()
                .copied()
                .min_by(|a, b| f64::total_cmp(&loads[*a], &loads[*b]))
        };
        let Some(to) = stays.or_else(ranked).or_else(least) else {
            continue;
        };
        loads[to] += size;
        if view.owners[p] != Some(to) {
            moves.push(Move {
                partition: Partition(p as u32),
                to,
            });
        }
    }
    moves
}

fn score(partition: usize, target: usize) -> u64 {
    let mut hasher = ahash::RandomState::with_seeds(1, 2, 3, 4).build_hasher();
    hasher.write_usize(partition);
    hasher.write_usize(target);
    hasher.finish()
}
