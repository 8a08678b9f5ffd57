//! The controller while it holds the controller lease: moves of partitions between targets.

use super::{Context, holding::Holding};
use crate::{
    collections::Set,
    ownership::{
        assignments::OwnerChange,
        placement::{self, Candidate, MoveReason, PlacementInput, PlannedMove, TargetState},
        target_lease::TargetLease,
        timing::{MAX_MOVES, PLACEMENT_INTERVAL},
    },
    partition::Partition,
    world::VmName,
};

/// A move of a partition to another target in three steps: fence the present owner, write the
/// assignment, grant the partition to the new owner.
///
/// While a partition has a move, no grant that is sent contains it.
#[derive(Clone, Debug)]
pub(super) struct Move {
    from: Option<VmName>,
    to: VmName,
    /// Last request sent to the present owner that may contain the partition.
    fence_after: u64,
    /// Whether the present owner can no longer admit requests for the partition.
    fenced: bool,
}

impl Holding {
    /// Updates the states of the targets and plans moves.
    pub(super) fn advance_moves(&mut self, cx: &mut Context) {
        let candidates = self.candidates(cx);
        let changed = candidates != self.candidates;
        if changed {
            self.log_changes(&candidates, cx);
            self.candidates = candidates;
        }
        if self.hold.is_begun() || !(changed || cx.now >= self.next_placement) {
            return;
        }
        self.next_placement = cx.now + PLACEMENT_INTERVAL;
        self.cancel_moves_to_unusable_targets();
        if self.may_place(cx) {
            self.plan(cx);
        }
    }

    /// Cancels all moves that no unresolved write contains; the owners are granted those partitions
    /// again.
    pub(super) fn cancel_moves(&mut self) {
        self.cancel_if(|_| true);
    }

    /// Assignment changes of the moves whose partition is fenced.
    pub(super) fn ready_changes(&mut self, cx: &Context) -> Vec<OwnerChange> {
        let mut changes = Vec::new();
        for (&partition, mv) in &mut self.moves {
            mv.fenced = mv.fenced
                || match mv.from.as_ref().and_then(|from| self.targets.get(from)) {
                    None => true,
                    Some(lease) => {
                        // A front daemon may still send requests to a target that is gone.
                        let gone = cx.cluster.checks_grants
                            && mv.from.as_ref().is_some_and(|from| cx.is_gone(from));
                        lease.ends() <= cx.now
                            || lease.has_fenced(partition, mv.fence_after, cx.now)
                            || gone && lease.is_failing()
                    }
                };
            if mv.fenced {
                changes.push(self.assignments.change_to(partition, mv.to.clone()));
            }
        }
        changes
    }

    /// Removes committed moves.
    pub(super) fn moves_committed(&mut self, changes: &[OwnerChange], cx: &mut Context) {
        for change in changes {
            self.moves.remove(&change.partition);
        }
        self.sets_changed = true;
        cx.info(format_args!(
            "Partitions moved. count={} epoch={}",
            changes.len(),
            self.row.epoch
        ));
    }

    fn candidates(&self, cx: &Context) -> Vec<Candidate> {
        self.targets
            .iter()
            .map(|(name, lease)| {
                let listed = cx.cluster.targets.get(name);
                Candidate {
                    name: name.clone(),
                    zone: listed.map(|view| view.zone.clone()),
                    state: state_of(name, lease, cx),
                }
            })
            .collect()
    }

    fn log_changes(&self, candidates: &[Candidate], cx: &mut Context) {
        for candidate in candidates {
            let known = self.candidates.iter().find(|c| c.name == candidate.name);
            let previous = known.map(|c| c.state);
            if previous != Some(candidate.state) {
                cx.info(format_args!(
                    "Target state changed. target={} state={:?}",
                    candidate.name, candidate.state
                ));
            }
        }
    }

    /// Whether partitions may be placed. In a new group this waits until the listed targets had
    /// time to answer; otherwise the first one to answer would be given every partition.
    fn may_place(&self, cx: &Context) -> bool {
        let mut listed = self.candidates.iter().filter(|c| c.zone.is_some());
        self.assignments.owners().iter().all(Option::is_some)
            || cx.now >= self.initial_wait_ends
            || listed.all(|c| c.state == TargetState::Usable)
    }

    fn plan(&mut self, cx: &mut Context) {
        let moving: Set<Partition> = self.moves.keys().copied().collect();
        let owners: Vec<Option<VmName>> = self
            .assignments
            .owners()
            .iter()
            .enumerate()
            .map(|(i, owner)| match self.moves.get(&Partition(i as u32)) {
                Some(mv) => Some(mv.to.clone()),
                None => owner.as_ref().map(|owner| owner.target.clone()),
            })
            .collect();
        let budget = match cx.cluster.quiet {
            true => 0,
            false => self.budget.available(cx.cluster.moves_per_minute, cx.now),
        };
        let planned = placement::plan(&PlacementInput {
            owners: &owners,
            moving: &moving,
            targets: &self.candidates,
            rates: self.partition_rates.rates(cx.now),
            weights: cx.cluster.weights,
            budget,
            limit: MAX_MOVES.saturating_sub(self.moves.len()),
        });
        let balancing = planned.iter().filter(|m| m.reason == MoveReason::Balance);
        self.budget.spend(balancing.count() as u32);
        for planned in planned {
            self.begin_move(planned);
        }
    }

    fn begin_move(&mut self, planned: PlannedMove) {
        let from = self.assignments.owner(planned.partition);
        let from = from.map(|owner| owner.target.clone());
        let lease = from.as_ref().and_then(|from| self.targets.get(from));
        let mv = Move {
            fence_after: lease.map_or(0, |lease| lease.sequence()),
            to: planned.to,
            fenced: false,
            from,
        };
        self.moves.insert(planned.partition, mv);
        self.sets_changed = true;
    }

    /// Cancels moves to targets that are no longer usable.
    fn cancel_moves_to_unusable_targets(&mut self) {
        let usable: Set<VmName> = self
            .candidates
            .iter()
            .filter(|c| c.state == TargetState::Usable)
            .map(|c| c.name.clone())
            .collect();
        self.cancel_if(|mv| !usable.contains(&mv.to));
    }

    /// Cancels the moves selected by `unwanted`, except those that an unresolved write contains:
    /// they may already have been committed.
    fn cancel_if(&mut self, unwanted: impl Fn(&Move) -> bool) {
        let unresolved: Set<Partition> = self
            .writes
            .attempts()
            .iter()
            .flat_map(|attempt| &attempt.changes)
            .map(|change| change.partition)
            .collect();
        let before = self.moves.len();
        self.moves
            .retain(|partition, mv| unresolved.contains(partition) || !unwanted(mv));
        self.sets_changed |= self.moves.len() != before;
    }
}

fn state_of(name: &VmName, lease: &TargetLease, cx: &Context) -> TargetState {
    let listed = cx.cluster.targets.get(name);
    let gone = cx.is_gone(name);
    let leaving = listed.is_some_and(|view| view.leaving) || lease.is_leaving();
    let answers = lease.is_reachable(cx.now);
    if !cx.cluster.checks_grants {
        // The front daemon answers for the target, and is replaced if it does not answer.
        return match answers {
            true if gone || leaving => TargetState::Leaving,
            true => TargetState::Usable,
            false if gone && lease.ends() <= cx.now => TargetState::Lost,
            false => TargetState::Suspect,
        };
    }
    match answers && listed.is_some() {
        true if leaving => TargetState::Leaving,
        true => TargetState::Usable,
        false if gone && lease.is_failing() || lease.ends() <= cx.now => TargetState::Lost,
        false => TargetState::Suspect,
    }
}
