//! Tests of the placement policy.

use fireflygauge::{
    collections::Set,
    declaration::Weights,
    ownership::placement::{Candidate, MoveReason, PlacementInput, PlannedMove, TargetState, plan},
    partition::Partition,
    world::VmName,
};
use proptest::prelude::{Strategy, any, prop, prop_assert, proptest};
use test_case::test_case;

/// A group under placement; owners and targets go by index.
#[derive(Clone, Debug)]
struct World {
    owners: Vec<Option<usize>>,
    states: Vec<TargetState>,
    rates: Vec<f64>,
    moving: Vec<u32>,
    weights: Weights,
    budget: u32,
    limit: usize,
}

impl World {
    /// Partitions in turn over usable targets, each as hot as the others.
    fn even(partitions: usize, targets: usize) -> Self {
        Self {
            owners: (0..partitions).map(|p| Some(p % targets)).collect(),
            states: vec![TargetState::Usable; targets],
            rates: vec![100.0; partitions],
            moving: Vec::new(),
            weights: Weights::default(),
            budget: 1_000,
            limit: 1_000,
        }
    }

    fn plan(&self) -> Vec<PlannedMove> {
        let name = |t: usize| VmName::from(format!("t{t:02}").as_str());
        let candidate = |(t, state): (usize, &TargetState)| Candidate {
            name: name(t),
            zone: None,
            state: *state,
        };
        let owners: Vec<_> = self.owners.iter().map(|owner| owner.map(name)).collect();
        let targets: Vec<_> = self.states.iter().enumerate().map(candidate).collect();
        let moving: Set<Partition> = self.moving.iter().map(|p| Partition(*p)).collect();
        plan(&PlacementInput {
            owners: &owners,
            moving: &moving,
            targets: &targets,
            rates: &self.rates,
            weights: self.weights,
            budget: self.budget,
            limit: self.limit,
        })
    }

    fn index(planned: &PlannedMove) -> usize {
        planned.to.0[1..]
            .parse()
            .expect("the name ends with the index")
    }

    fn busiest_after(&self, moves: &[PlannedMove]) -> f64 {
        let mut owners = self.owners.clone();
        for planned in moves {
            owners[planned.partition.0 as usize] = Some(Self::index(planned));
        }
        let load = |t| {
            let owned = owners
                .iter()
                .zip(&self.rates)
                .filter(|(owner, _)| **owner == Some(t));
            owned.map(|(_, rate)| rate).sum::<f64>()
        };
        (0..self.states.len()).map(load).fold(0.0, f64::max)
    }
}

fn moved(moves: &[PlannedMove]) -> Vec<u32> {
    let mut moved: Vec<u32> = moves.iter().map(|m| m.partition.0).collect();
    moved.sort_unstable();
    moved
}

/// Guards against a first target that is given everything.
#[test]
fn unassigned_partitions_are_spread() {
    let mut world = World::even(64, 4);
    world.owners = vec![None; 64];
    world.rates = vec![0.0; 64];
    let moves = world.plan();
    assert_eq!(moves.len(), 64);
    let given = |t| moves.iter().filter(|m| World::index(m) == t).count();
    assert!((0..4).all(|t| given(t) == 16));
}

/// Guards against a target that keeps keys because the budget is spent or hours are quiet, and
/// against a second owner of keys whose owner may still hold a lease.
#[test_case(TargetState::Leaving, 16; "leaving")]
#[test_case(TargetState::Lost, 16; "lost")]
#[test_case(TargetState::Suspect, 0; "lease may not have ended")]
#[test_case(TargetState::Usable, 0; "usable")]
fn only_unfit_owners_are_emptied_without_budget(state: TargetState, expected: usize) {
    let mut world = World::even(64, 4);
    world.states[2] = state;
    world.budget = 0;
    let moves = world.plan();
    assert_eq!(moves.len(), expected);
    assert!(
        moves
            .iter()
            .all(|m| m.reason == MoveReason::OwnerUnusable && World::index(m) != 2)
    );
}

/// Guards against moving a hot partition where moving others is enough.
#[test]
fn others_leave_the_owner_of_a_hot_partition_first() {
    let mut world = World::even(64, 4);
    world.rates[0] = 1_000.0;
    let moves = world.plan();
    assert!(!moves.is_empty());
    assert!(!moved(&moves).contains(&0), "{moves:?}");
    assert!(moves.iter().all(|m| m.reason == MoveReason::Balance));
    assert!(
        world.busiest_after(&moves) < 2_100.0,
        "{}",
        world.busiest_after(&moves)
    );
}

/// Guards against hot partitions that stay together although no other move helps.
#[test]
fn a_hot_partition_moves_when_others_are_not_enough() {
    let mut world = World::even(64, 4);
    world.rates = vec![1.0; 64];
    world.rates[0] = 1_000.0;
    world.rates[4] = 1_000.0;
    let moves = world.plan();
    let hot: Vec<u32> = moved(&moves)
        .into_iter()
        .filter(|p| [0, 4].contains(p))
        .collect();
    assert_eq!(hot.len(), 1, "{moves:?}");
    assert!(world.busiest_after(&moves) < 1_100.0);
}

/// Guards against a single hot partition that wanders between targets, each of which it overloads.
#[test]
fn a_lone_hot_partition_stays() {
    let mut world = World::even(64, 4);
    world.rates[0] = 100_000.0;
    assert!(!moved(&world.plan()).contains(&0));
}

/// Guards against presets whose weights have no effect: 20% of imbalance is worth moves only where
/// churn weighs little.
#[test_case(1.0, 1.0, true; "even weights")]
#[test_case(1.0, 4.0, false; "churn weighs most")]
#[test_case(2.0, 4.0, false; "churn weighs more")]
#[test_case(4.0, 4.0, true; "imbalance weighs as much")]
fn weights_decide_when_moves_start(imbalance: f64, churn: f64, expected: bool) {
    let mut world = World::even(64, 4);
    world.rates[0] = 500.0;
    world.weights = Weights {
        imbalance,
        churn,
        unserved: 1.0,
    };
    assert_eq!(!world.plan().is_empty(), expected);
}

/// Guards against churn that follows the noise of counting a few requests.
#[test]
fn noise_moves_nothing() {
    let mut world = World::even(64, 4);
    world.rates = (0..64)
        .map(|p| if p % 4 == 0 { 0.02 } else { 0.01 })
        .collect();
    assert!(world.plan().is_empty());
}

/// Guards against a joining target that stays idle while the others are busy, and one that takes
/// more than its part.
#[test]
fn a_joining_target_takes_what_evens_out_load() {
    let mut world = World::even(64, 4);
    world.states.push(TargetState::Usable);
    let moves = world.plan();
    assert!(moves.iter().all(|m| World::index(m) == 4));
    assert!((8..=13).contains(&moves.len()), "{}", moves.len());
}

fn worlds() -> impl Strategy<Value = World> {
    let state = prop::sample::select(vec![
        TargetState::Usable,
        TargetState::Usable,
        TargetState::Leaving,
        TargetState::Suspect,
        TargetState::Lost,
    ]);
    let owner = prop::option::weighted(0.9, 0usize..5);
    let partitions = prop::collection::vec((owner, 0.0f64..500.0, any::<bool>()), 1..80);
    let states = prop::collection::vec(state, 5);
    (partitions, states, 0u32..20, 0usize..40).prop_map(|(partitions, states, budget, limit)| {
        let busy = |(_, (_, _, moving)): &(usize, &(_, _, bool))| *moving;
        World {
            moving: partitions
                .iter()
                .enumerate()
                .filter(busy)
                .map(|(p, _)| p as u32)
                .collect(),
            owners: partitions.iter().map(|(owner, _, _)| *owner).collect(),
            rates: partitions.iter().map(|(_, rate, _)| *rate).collect(),
            weights: Weights::default(),
            states,
            budget,
            limit,
        }
    })
}

proptest! {
    /// Guards against moves that nothing allows: of partitions on the move, twice in a round, to
    /// unfit targets, beyond budget or limit, or that make the busiest target busier.
    #[test]
    fn moves_keep_their_bounds(world in worlds()) {
        let moves = world.plan();
        let mut once = moved(&moves);
        once.dedup();
        prop_assert!(once.len() == moves.len() && moves.len() <= world.limit);
        prop_assert!(once.iter().all(|p| !world.moving.contains(p)));
        let usable = |m: &PlannedMove| world.states[World::index(m)] == TargetState::Usable;
        prop_assert!(moves.iter().all(usable));
        let (chosen, due): (Vec<_>, Vec<_>) =
            moves.into_iter().partition(|m| m.reason == MoveReason::Balance);
        prop_assert!(chosen.len() <= world.budget as usize);
        let all: Vec<_> = due.iter().chain(&chosen).cloned().collect();
        prop_assert!(world.busiest_after(&all) <= world.busiest_after(&due) + 1e-6);
    }
}
