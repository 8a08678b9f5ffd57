//! Which partition belongs on which target.

use crate::{
    collections::{Map, Set},
    declaration::Weights,
    partition::Partition,
    world::{VmName, ZoneName},
};

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
    pub heat: &'a [f64],
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
    OwnerUnfit,
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

/// Decides on moves: first those that are due in any case, then those that even out load.
pub fn plan(input: &PlacementInput<'_>) -> Vec<PlannedMove> {
    let mut counts = usable_counts(input);
    if counts.is_empty() {
        return Vec::new();
    }
    let mut moves = plan_due(input, &mut counts);
    plan_balance(input, &mut counts, &mut moves);
    moves
}

/// Number of partitions of each usable target, in order of name.
fn usable_counts(input: &PlacementInput<'_>) -> Vec<(VmName, usize)> {
    let mut counts: Map<&VmName, usize> = Map::default();
    for owner in input.owners.iter().flatten() {
        *counts.entry(owner).or_default() += 1;
    }
    input
        .targets
        .iter()
        .filter(|target| target.state == TargetState::Usable)
        .map(|target| {
            let count = counts.get(&target.name).copied().unwrap_or_default();
            (target.name.clone(), count)
        })
        .collect()
}

fn plan_due(input: &PlacementInput<'_>, counts: &mut [(VmName, usize)]) -> Vec<PlannedMove> {
    let unfit: Set<&VmName> = input
        .targets
        .iter()
        .filter(|t| matches!(t.state, TargetState::Leaving | TargetState::Lost))
        .map(|t| &t.name)
        .collect();
    let mut moves = Vec::new();
    for (partition, owner) in free_partitions(input) {
        let reason = match owner {
            None => MoveReason::Unassigned,
            Some(owner) if unfit.contains(owner) => MoveReason::OwnerUnfit,
            Some(_) => continue,
        };
        if moves.len() >= input.limit {
            break;
        }
        if let Some(least) = counts.iter_mut().min_by_key(|(_, count)| *count) {
            least.1 += 1;
            moves.push(PlannedMove {
                partition,
                to: least.0.clone(),
                reason,
            });
        }
    }
    moves
}

fn plan_balance(
    input: &PlacementInput<'_>,
    counts: &mut [(VmName, usize)],
    moves: &mut Vec<PlannedMove>,
) {
    let mut taken: Set<Partition> = moves.iter().map(|m| m.partition).collect();
    for _ in 0..input.budget {
        let most = (0..counts.len()).max_by_key(|&i| counts[i].1);
        let least = (0..counts.len()).min_by_key(|&i| counts[i].1);
        let (Some(most), Some(least)) = (most, least) else {
            return;
        };
        if counts[most].1 < counts[least].1 + 2 || moves.len() >= input.limit {
            return;
        }
        let movable = free_partitions(input).find(|(partition, owner)| {
            *owner == Some(&counts[most].0) && !taken.contains(partition)
        });
        let Some((partition, _)) = movable else {
            return;
        };
        taken.insert(partition);
        counts[most].1 -= 1;
        counts[least].1 += 1;
        moves.push(PlannedMove {
            partition,
            to: counts[least].0.clone(),
            reason: MoveReason::Balance,
        });
    }
}

/// Partitions that are not being moved, with their owners.
fn free_partitions<'a>(
    input: &PlacementInput<'a>,
) -> impl Iterator<Item = (Partition, Option<&'a VmName>)> {
    let moving = input.moving;
    input
        .owners
        .iter()
        .enumerate()
        .map(|(i, owner)| (Partition(i as u32), owner.as_ref()))
        .filter(move |(partition, _)| !moving.contains(partition))
}
