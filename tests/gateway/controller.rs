//! Ownership under random faults: at most one owner of a key, and recovery afterwards.

use super::world::World;
use proptest::prelude::*;
use test_case::test_case;

/// Length of the faulty time, in milliseconds.
const FAULTY_MS: u64 = 60_000;
/// Time in which all keys must be served again once the faults have ended: a successor's wait for
/// leases of its predecessor, and some more.
const RECOVERY_MS: u64 = 30_000;

/// Guards against two owners of a key after lost, late and repeated orders, paused or replaced
/// controllers, store outages and endpoints that live on without an entry.
fn play(seed: u64, fault_every: u64) -> Result<(), TestCaseError> {
    let mut world = World::new(seed);
    world.play(FAULTY_MS, fault_every);
    prop_assert!(world.violation.is_none(), "{}", world.report(seed));
    world.heal();
    world.play(RECOVERY_MS, u64::MAX);
    prop_assert!(world.violation.is_none(), "{}", world.report(seed));
    prop_assert_eq!(world.held_keys(), 65_536, "{}", world.report(seed));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn one_owner_under_rare_faults(seed: u64) {
        play(seed, 4_000)?;
    }

    #[test]
    fn one_owner_under_frequent_faults(seed: u64) {
        play(seed, 800)?;
    }
}

/// Guards against a start that leaves keys without an owner.
#[test_case(1; "one seed")]
#[test_case(2; "another seed")]
fn all_keys_get_an_owner(seed: u64) {
    let mut world = World::new(seed);
    world.play(6_000, u64::MAX);
    assert_eq!(world.violation, None);
    assert_eq!(world.held_keys(), 65_536);
}
