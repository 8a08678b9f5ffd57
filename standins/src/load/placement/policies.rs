//! The policies that are compared.

use fireflygauge::{
    clock::Millis,
    declaration::Preset,
    ownership::placement::{
        Placement, PlacementMove, PlacementPartition, PlacementTarget, PlacementView, Tuning,
    },
    partition::Partition,
};
use std::hash::{BuildHasher, Hasher};
use strum::{Display, EnumString, VariantArray};

/// Seconds between rounds of the hashing policies.
const HASHING_ROUND_S: u64 = 10;
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

/// A policy with its memory.
pub type Policy = Box<dyn FnMut(&View<'_>) -> Vec<PlacementMove>>;

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
        PolicyName::Rendezvous => rendezvous(partitions, bound, tuning, false),
        PolicyName::StickyRendezvous => rendezvous(partitions, bound, tuning, true),
    }
}

fn greedy(preset: &Preset, partitions: u32, tuning: Tuning) -> Policy {
    let preset = Preset {
        quiet_hours: Vec::new(),
        ..preset.clone()
    };
    let mut placement = Placement::with_tuning(partitions, tuning);
    Box::new(move |view| {
        for (p, count) in view.counts.iter().enumerate() {
            placement.observe(Partition(p as u32), *count);
        }
        let targets: Vec<_> = view
            .usable
            .iter()
            .map(|&usable| PlacementTarget { usable })
            .collect();
        let partition = |&owner: &Option<usize>| PlacementPartition {
            owner,
            moving: false,
        };
        let partitions: Vec<_> = view.owners.iter().map(partition).collect();
        placement.plan(&PlacementView {
            now: Millis(view.now_s * 1_000),
            minute_of_day: 0,
            preset: &preset,
            targets: &targets,
            partitions: &partitions,
            limit: partitions.len(),
        })
    })
}

fn rendezvous(partitions: u32, bound: f64, tuning: Tuning, sticky: bool) -> Policy {
    let keep = 0.5f64.powf(1_000.0 / tuning.half_life.0 as f64);
    let mut rates = vec![0.0; partitions as usize];
    Box::new(move |view| {
        for (rate, count) in rates.iter_mut().zip(view.counts) {
            *rate = *rate * keep + f64::from(*count) * (1.0 - keep);
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
fn hash_round(view: &View<'_>, rates: &[f64], bound: f64, sticky: bool) -> Vec<PlacementMove> {
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
            moves.push(PlacementMove {
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
