//! Tests of the placement policy. They guard against partitions that stay on unusable targets, and
//! against moves that are unnecessary, unsafe or beyond the limits.

use fireflygauge::{
    collections::Set,
    declaration::Weights,
    ownership::placement::{Candidate, MoveReason, PlacementInput, PlannedMove, TargetState, plan},
    partition::Partition,
    world::VmName,
};
use proptest::prelude::{Strategy, any, prop, prop_assert, proptest};
use test_case::test_case;

/// Input of placement; owners and targets are given by index.
#[derive(Clone, Debug)]
struct Scenario {
    owners: Vec<Option<usize>>,
    states: Vec<TargetState>,
    rates: Vec<f64>,
    moving: Vec<u32>,
    weights: Weights,
    budget: u32,
    limit: usize,
}

impl Scenario {
    /// Partitions with equal request rates, assigned round-robin to usable targets.
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

/// Guards against a first target that is given all partitions.
#[test]
fn unassigned_partitions_are_spread() {
    let mut scenario = Scenario::even(64, 4);
    scenario.owners = vec![None; 64];
    scenario.rates = vec![0.0; 64];
    let moves = scenario.plan();
    assert_eq!(moves.len(), 64);
    let given = |t| moves.iter().filter(|m| Scenario::index(m) == t).count();
    assert!((0..4).all(|t| given(t) == 16));
}

/// Guards against a lost or leaving target that keeps partitions because the budget is spent or
/// quiet hours apply, and against moving partitions whose owner may still hold a lease.
#[test_case(TargetState::Leaving, 16; "leaving")]
#[test_case(TargetState::Lost, 16; "lost")]
#[test_case(TargetState::Suspect, 0; "lease may not have ended")]
#[test_case(TargetState::Usable, 0; "usable")]
fn only_unusable_owners_lose_partitions_without_budget(state: TargetState, expected: usize) {
    let mut scenario = Scenario::even(64, 4);
    scenario.states[2] = state;
    scenario.budget = 0;
    let moves = scenario.plan();
    assert_eq!(moves.len(), expected);
    assert!(
        moves
            .iter()
            .all(|m| m.reason == MoveReason::OwnerUnusable && Scenario::index(m) != 2)
    );
}

/// Guards against moving a hot partition although moving others is enough.
#[test]
fn others_leave_the_owner_of_a_hot_partition_first() {
    let mut scenario = Scenario::even(64, 4);
    scenario.rates[0] = 1_000.0;
    let moves = scenario.plan();
    assert!(!moves.is_empty());
    assert!(!moved(&moves).contains(&0), "{moves:?}");
    assert!(moves.iter().all(|m| m.reason == MoveReason::Balance));
    assert!(
        scenario.busiest_after(&moves) < 2_100.0,
        "{}",
        scenario.busiest_after(&moves)
    );
}

/// Guards against hot partitions that stay on one target although no other move helps.
#[test]
fn a_hot_partition_moves_when_others_are_not_enough() {
    let mut scenario = Scenario::even(64, 4);
    scenario.rates = vec![1.0; 64];
    scenario.rates[0] = 1_000.0;
    scenario.rates[4] = 1_000.0;
    let moves = scenario.plan();
    let hot: Vec<u32> = moved(&moves)
        .into_iter()
        .filter(|p| [0, 4].contains(p))
        .collect();
    assert_eq!(hot.len(), 1, "{moves:?}");
    assert!(scenario.busiest_after(&moves) < 1_100.0);
}

/// Guards against moving a single hot partition that overloads any target.
#[test]
fn a_lone_hot_partition_stays() {
    let mut scenario = Scenario::even(64, 4);
    scenario.rates[0] = 100_000.0;
    assert!(!moved(&scenario.plan()).contains(&0));
}

/// Guards against weights of presets without effect: an imbalance of 20% causes moves only if the
/// weight of churn is low.
#[test_case(1.0, 1.0, true; "even weights")]
#[test_case(1.0, 4.0, false; "churn weighs most")]
#[test_case(2.0, 4.0, false; "churn weighs more")]
#[test_case(4.0, 4.0, true; "imbalance weighs as much")]
fn weights_decide_when_moves_start(imbalance: f64, churn: f64, expected: bool) {
    let mut scenario = Scenario::even(64, 4);
    scenario.rates[0] = 500.0;
    scenario.weights = Weights {
        imbalance,
        churn,
        unserved: 1.0,
    };
    assert_eq!(!scenario.plan().is_empty(), expected);
}

/// Guards against moves caused by counting noise at low request rates.
#[test]
fn noise_moves_nothing() {
    let mut scenario = Scenario::even(64, 4);
    scenario.rates = (0..64)
        .map(|p| if p % 4 == 0 { 0.02 } else { 0.01 })
        .collect();
    assert!(scenario.plan().is_empty());
}

/// Guards against a joining target that stays idle while the others are busy, and against one that
/// takes more than its share.
#[test]
fn a_joining_target_takes_what_evens_out_load() {
    let mut scenario = Scenario::even(64, 4);
    scenario.states.push(TargetState::Usable);
    let moves = scenario.plan();
    assert!(moves.iter().all(|m| Scenario::index(m) == 4));
    assert!((8..=13).contains(&moves.len()), "{}", moves.len());
}

fn scenarios() -> impl Strategy<Value = Scenario> {
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
        Scenario {
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
    /// Guards against invalid moves: of partitions that are being moved already, twice in a plan,
    /// to unusable targets, beyond the budget or limit, or that raise the highest load of a target.
    #[test]
    fn moves_respect_all_limits(scenario in scenarios()) {
        let moves = scenario.plan();
        let mut once = moved(&moves);
        once.dedup();
        prop_assert!(once.len() == moves.len() && moves.len() <= scenario.limit);
        prop_assert!(once.iter().all(|p| !scenario.moving.contains(p)));
        let usable = |m: &PlannedMove| scenario.states[Scenario::index(m)] == TargetState::Usable;
        prop_assert!(moves.iter().all(usable));
        let (chosen, due): (Vec<_>, Vec<_>) =
            moves.into_iter().partition(|m| m.reason == MoveReason::Balance);
        prop_assert!(chosen.len() <= scenario.budget as usize);
        let all: Vec<_> = due.iter().chain(&chosen).cloned().collect();
        prop_assert!(scenario.busiest_after(&all) <= scenario.busiest_after(&due) + 1e-6);
    }
}
