//! Endpoints that are passed on between daemons.

use fireflygauge::{
    clock::Millis,
    gateway::{
        model::{EndpointEntry, EndpointInstance},
        registry::{EndpointChange, EndpointChanges, Registration, Registry},
    },
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn entry(name: usize, started_at_ms: u64) -> EndpointEntry {
    EndpointEntry {
        instance: EndpointInstance {
            name: format!("e{name}").into(),
            started_at_ms,
        },
        service: "rounds".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining_warmup: Millis::ZERO,
    }
}

/// What the store holds: the version of each entry, by endpoint.
type Stored = BTreeMap<usize, u64>;

fn present(registry: &Registry) -> Stored {
    let all = registry.changes_after(0).changes.into_iter();
    let entries = all.filter_map(|change| match change.registration {
        Registration::Present(entry) => Some((entry.instance, change.version)),
        Registration::Removed { .. } => None,
    });
    entries
        .map(|(run, version)| (run.name[1..].parse().expect("a number"), version))
        .collect()
}

fn row(name: usize, version: u64, registered: bool) -> EndpointChange {
    EndpointChange {
        name: format!("e{name}").into(),
        version,
        registration: if registered {
            Registration::Present(entry(name, version))
        } else {
            Registration::Removed {
                after_failure: false,
            }
        },
    }
}

fn news(changes: Vec<EndpointChange>, version: u64, is_snapshot: bool) -> EndpointChanges {
    EndpointChanges {
        changes,
        version,
        is_snapshot,
        after_failure: false,
    }
}

/// What a daemon does in the property below: it follows the store, reads the table again, or
/// learns from the other daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    Register(usize),
    Remove(usize),
    Follow(usize),
    ReadAgain(usize),
    Learn(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_usize).prop_map(Step::Register),
        (0..6_usize).prop_map(Step::Remove),
        (0..2_usize).prop_map(Step::Follow),
        (0..2_usize).prop_map(Step::ReadAgain),
        (0..2_usize).prop_map(Step::Learn),
    ]
}

proptest! {
    /// Guards against a leaving endpoint that a daemon never hears of, and against an entry that
    /// returns from the dead, when daemons learn from the store and from each other by turns.
    #[test]
    fn daemons_agree_with_the_store(steps in prop::collection::vec(step(), 1..60)) {
        let mut log: Vec<(usize, u64, bool)> = Vec::new();
        let mut stored = Stored::new();
        let mut daemons = [Registry::default(), Registry::default()];
        let mut version = 0;
        let changes_after = |log: &[(usize, u64, bool)], after: u64| {
            let mut newest: BTreeMap<usize, EndpointChange> = BTreeMap::new();
            for (name, at, registered) in log.iter().filter(|(_, at, _)| *at > after) {
                newest.insert(*name, row(*name, *at, *registered));
            }
            newest.into_values().collect::<Vec<_>>()
        };
        for step in steps {
            match step {
                Step::Register(name) => {
                    version += 1;
                    log.push((name, version, true));
                    stored.insert(name, version);
                }
                Step::Remove(name) if stored.remove(&name).is_some() => {
                    version += 1;
                    log.push((name, version, false));
                }
                Step::Remove(_) => {}
                Step::Follow(i) => {
                    let changes = changes_after(&log, daemons[i].version());
                    daemons[i].apply(news(changes, version, false));
                    prop_assert_eq!(present(&daemons[i]), stored.clone());
                }
                Step::ReadAgain(i) => {
                    let rows = stored.iter().map(|(name, at)| row(*name, *at, true));
                    daemons[i].apply(news(rows.collect(), version, true));
                    prop_assert_eq!(present(&daemons[i]), stored.clone());
                }
                Step::Learn(i) => {
                    let known = daemons[i].version();
                    let passed_on = daemons[1 - i].changes_after(known);
                    let newer = passed_on.version >= known;
                    daemons[i].apply(passed_on);
                    if newer {
                        prop_assert_eq!(present(&daemons[i]), present(&daemons[1 - i]));
                    }
                }
            }
        }
    }
}

/// Guards against a memory that grows with every endpoint that ever was, and against a daemon that
/// keeps endpoints whose removal was forgotten.
#[test]
fn forgotten_removals_are_told_as_a_whole() {
    let mut registry = Registry::default();
    let mut behind = Registry::default();
    registry.apply(news(vec![row(0, 1, true), row(1, 2, true)], 2, true));
    behind.apply(registry.changes_after(0));
    registry.apply(news(vec![row(1, 3, false)], 3, false));
    for i in 2..2_002 {
        let version = i as u64 * 2;
        registry.apply(news(vec![row(i, version, true)], version, false));
        registry.apply(news(vec![row(i, version + 1, false)], version + 1, false));
    }
    let told = registry.changes_after(behind.version());
    assert!(
        told.is_snapshot && told.changes.len() == 1,
        "{}",
        told.changes.len()
    );
    behind.apply(told);
    assert_eq!(present(&behind), Stored::from([(0, 1)]));
}
