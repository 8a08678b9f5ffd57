//! Guards against daemons that disagree about the endpoints when they learn of them from the store
//! and from each other.

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
        sequence: 0,
    }
}

/// Content of the store: the version of each entry, by endpoint.
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
                may_have_lapsed: false,
            }
        },
    }
}

fn update(changes: Vec<EndpointChange>, version: u64, is_snapshot: bool) -> EndpointChanges {
    EndpointChanges {
        changes,
        version,
        is_snapshot,
        may_have_lapsed: false,
    }
}

/// A step of the property below: a change of the store, or a daemon that reads changes, reads a
/// snapshot, or receives an update from the other daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    Register(usize),
    Remove(usize),
    ReadChanges(usize),
    ReadSnapshot(usize),
    ReceiveUpdate(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_usize).prop_map(Step::Register),
        (0..6_usize).prop_map(Step::Remove),
        (0..2_usize).prop_map(Step::ReadChanges),
        (0..2_usize).prop_map(Step::ReadSnapshot),
        (0..2_usize).prop_map(Step::ReceiveUpdate),
    ]
}

proptest! {
    /// Guards against a leaving endpoint that a daemon never learns of, and against a removed entry
    /// that reappears, when daemons receive updates from the store and from each other in turn.
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
                Step::ReadChanges(i) => {
                    let changes = changes_after(&log, daemons[i].version());
                    daemons[i].apply(update(changes, version, false));
                    prop_assert_eq!(present(&daemons[i]), stored.clone());
                }
                Step::ReadSnapshot(i) => {
                    let rows = stored.iter().map(|(name, at)| row(*name, *at, true));
                    daemons[i].apply(update(rows.collect(), version, true));
                    prop_assert_eq!(present(&daemons[i]), stored.clone());
                }
                Step::ReceiveUpdate(i) => {
                    let known = daemons[i].version();
                    let forwarded = daemons[1 - i].changes_after(known);
                    let newer = forwarded.version >= known;
                    daemons[i].apply(forwarded);
                    if newer {
                        prop_assert_eq!(present(&daemons[i]), present(&daemons[1 - i]));
                    }
                }
            }
        }
    }
}

proptest! {
    /// Guards against an endpoint that is dropped although its entry is back, or kept although it is
    /// gone, depending on how the changes are divided into responses: the last change decides.
    #[test]
    fn the_last_change_of_an_endpoint_decides(
        changes in prop::collection::vec((0..4_usize, any::<bool>()), 1..30),
        lengths in prop::collection::vec(1..8_usize, 30),
    ) {
        let rows: Vec<EndpointChange> = (1..)
            .zip(&changes)
            .map(|(version, (name, registered))| row(*name, version, *registered))
            .collect();
        let (mut registry, mut kept) = (Registry::default(), BTreeMap::new());
        let mut rest = &rows[..];
        for length in lengths {
            let (response, later) = rest.split_at(length.min(rest.len()));
            rest = later;
            let Some(last) = response.last() else {
                break;
            };
            let applied = registry.apply(update(response.to_vec(), last.version, false));
            // A receiver may register all endpoints before it removes others.
            let (present, removed): (Vec<_>, Vec<_>) = applied
                .into_iter()
                .partition(|change| matches!(change.registration, Registration::Present(_)));
            for change in present {
                kept.insert(change.name, change.version);
            }
            for change in removed {
                kept.remove(&change.name);
            }
        }
        let expected: BTreeMap<_, _> = present(&registry)
            .into_iter()
            .map(|(name, version)| (format!("e{name}").into(), version))
            .collect();
        prop_assert_eq!(kept, expected);
    }
}

/// Guards against memory that grows with every endpoint that ever existed, and against a daemon
/// that keeps endpoints whose removal was dropped from the log.
#[test]
fn dropped_removals_are_sent_as_a_snapshot() {
    let mut registry = Registry::default();
    let mut behind = Registry::default();
    registry.apply(update(vec![row(0, 1, true), row(1, 2, true)], 2, true));
    behind.apply(registry.changes_after(0));
    registry.apply(update(vec![row(1, 3, false)], 3, false));
    for i in 2..2_002 {
        let version = i as u64 * 2;
        registry.apply(update(vec![row(i, version, true)], version, false));
        registry.apply(update(vec![row(i, version + 1, false)], version + 1, false));
    }
    let sent = registry.changes_after(behind.version());
    assert!(
        sent.is_snapshot && sent.changes.len() == 1,
        "{}",
        sent.changes.len()
    );
    behind.apply(sent);
    assert_eq!(present(&behind), Stored::from([(0, 1)]));
}
