//! The placement policies under comparison.

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

/// Seconds between rounds of the rendezvous hashing policies.
const HASHING_ROUND_S: u64 = 10;
/// Decay factor per second of the request rates in the hashing policies: a half-life of 5 s, as in
/// the policy in use.
const DECAY_PER_SECOND: f64 = 0.870_550_6;

/// Names of the policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// Makes only forced moves; the baseline.
    Static,
    /// Bounded-load rendezvous hashing, computed anew in each round.
    Rendezvous,
    /// Like `Rendezvous`, but a partition stays while its owner is within the bound.
    StickyRendezvous,
    /// Greedy moves with hysteresis and a move budget: the policy in use.
    Greedy,
}

/// Input of a policy for one second.
pub struct PolicyInput<'a> {
    /// Seconds since the start of the trace.
    pub now_s: u64,
    /// Requests that each partition received in this second.
    pub counts: &'a [u32],
    /// Index of the owner of each partition; `None` if the owner was lost.
    pub owners: &'a [Option<usize>],
    /// Whether each target may receive partitions.
    pub usable: &'a [bool],
}

/// A change of owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The partition to move.
    pub partition: Partition,
    /// Index of its new owner.
    pub to: usize,
}

/// A policy with its internal state, called once a second.
pub type Policy = Box<dyn FnMut(&PolicyInput<'_>) -> Vec<Move>>;

/// The policy `name` under `preset`. `bound` is the maximum load of a target under the hashing
/// policies, as a multiple of the mean.
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
    Box::new(move |input| {
        let now = Millis(input.now_s * 1_000);
        let counted = input.counts.iter().enumerate();
        let reported: Vec<_> = counted
            .map(|(p, count)| (Partition(p as u32), *count))
            .collect();
        partition_rates.add(&reported);
        let targets: Vec<Candidate> = input.usable.iter().enumerate().map(candidate).collect();
        let owner = |owner: &Option<usize>| owner.map(|t| targets[t].name.clone());
        let owners: Vec<_> = input.owners.iter().map(owner).collect();
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
    Box::new(move |input| {
        for (rate, count) in rates.iter_mut().zip(input.counts) {
            *rate = *rate * DECAY_PER_SECOND + f64::from(*count) * (1.0 - DECAY_PER_SECOND);
        }
        let is_unowned = |owner: &Option<usize>| owner.is_none_or(|t| !input.usable[t]);
        let due = input.now_s % HASHING_ROUND_S == 0 || input.owners.iter().any(is_unowned);
        if due {
            hash_round(input, &rates, bound, sticky)
        } else {
            Vec::new()
        }
    })
}

/// Runs one round of bounded-load rendezvous hashing: in descending order of rate, each partition
/// goes to the target with the highest hash among those that stay within the bound with it, or else
/// to the least loaded one.
fn hash_round(input: &PolicyInput<'_>, rates: &[f64], bound: f64, sticky: bool) -> Vec<Move> {
    let usable: Vec<usize> = (0..input.usable.len())
        .filter(|t| input.usable[*t])
        .collect();
    let base_rate = 0.1 * rates.iter().sum::<f64>() / rates.len() as f64 + f64::EPSILON;
    let total: f64 = rates.iter().map(|rate| rate + base_rate).sum();
    let max_load = bound * total / usable.len() as f64;
    let mut order: Vec<usize> = (0..rates.len()).collect();
    order.sort_by(|a, b| rates[*b].total_cmp(&rates[*a]));
    let mut loads = vec![0.0; input.usable.len()];
    let mut moves = Vec::new();
    for p in order {
        let size = rates[p] + base_rate;
        let fits = |t: &usize| loads[*t] + size <= max_load;
        let stays = input.owners[p]
            .filter(|t| sticky && input.usable[*t])
            .filter(fits);
        let ranked = || {
            usable
                .iter()
                .copied()
                .filter(fits)
                .max_by_key(|t| hash_score(p, *t))
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
        if input.owners[p] != Some(to) {
            moves.push(Move {
                partition: Partition(p as u32),
                to,
            });
        }
    }
    moves
}

fn hash_score(partition: usize, target: usize) -> u64 {
    let mut hasher = ahash::RandomState::with_seeds(1, 2, 3, 4).build_hasher();
    hasher.write_usize(partition);
    hasher.write_usize(target);
    hasher.finish()
}
