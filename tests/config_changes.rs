//! Configuration changes must be committed at most once and reported truthfully. Guards against lost
//! updates, reverted versions and wrong outcomes under races, lost answers, stale reads and outages.

#[allow(dead_code)]
#[path = "support/fake_store.rs"]
mod fake_store;

use fake_store::{CommitFault, FakeStore};
use fireflygauge::{
    audit::{self, AuditRecord},
    config::{Change, ChangeOutcome, ChangeRequest, ConfigHead, ConfigWriter, reader},
    entry::directory::{Directory, DirectoryUpdate},
    ownership::row::{self, AssignmentRow},
    store::{CommitOutcome, CommitReply, Transaction},
    world::{GroupId, Vm, VmRole, VmState},
};
use std::{
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../examples/mittelland.toml");

struct Operator {
    name: &'static str,
    directory: Directory,
    writer: ConfigWriter,
}

impl Operator {
    /// An operator who works through a separate daemon.
    fn new(name: &'static str, store: &FakeStore) -> Self {
        let directory = Directory::start();
        let writer = ConfigWriter::new(store.client(), directory.clone());
        Self {
            name,
            directory,
            writer,
        }
    }

    async fn change(&self, seen_version: u64, change: Change) -> ChangeOutcome {
        let request = ChangeRequest {
            seen_version,
            by: self.name.into(),
            reason: None,
            change,
        };
        self.writer.change(&request).await
    }

    fn version_in_force(&self) -> u64 {
        let config = self.directory.snapshot().load().config.clone();
        config.map_or(0, |config| config.version())
    }

    fn wait_for_version(&self, version: u64) {
        wait_for(|| self.version_in_force() == version);
    }
}

fn wait_for(mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "condition not met within 5 s"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

async fn until(mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "condition not met within 5 s"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn apply(body: &str) -> Change {
    Change::Apply { body: body.into() }
}

fn preset(name: &str) -> Change {
    Change::UsePreset {
        preset: name.into(),
    }
}

fn version_of(outcome: &ChangeOutcome) -> u64 {
    match outcome {
        ChangeOutcome::Committed { head } => head.version,
        other => panic!("not committed: {other:?}"),
    }
}

fn head(store: &FakeStore) -> ConfigHead {
    reader::parse_head(&store.row(reader::HEAD_ROW).unwrap()).unwrap()
}

fn record(store: &FakeStore, version: u64) -> AuditRecord {
    audit::parse(&store.row(&audit::row_name(version)).unwrap()).unwrap()
}

/// A store with the example in force at version 1, and two operators.
async fn applied() -> (FakeStore, Operator, Operator) {
    let store = FakeStore::start();
    let (anna, reto) = (Operator::new("anna", &store), Operator::new("reto", &store));
    assert_eq!(version_of(&anna.change(0, apply(EXAMPLE)).await), 1);
    (store, anna, reto)
}

/// The first declaration must put its initial preset in force and write an audit record.
#[tokio::test]
async fn first_apply_creates_the_head() {
    let (store, anna, _) = applied().await;
    assert_eq!(&*head(&store).preset, "ordinary");
    let record = record(&store, 1);
    assert_eq!((&*record.by, record.from), ("anna", None));
    assert_eq!(record.operation, head(&store).operation);
    anna.wait_for_version(1);
}

/// Of two concurrent changes of the same version, one must be committed, and the other must be a
/// conflict that names the winner.
#[tokio::test]
async fn race_has_one_winner() {
    let (store, anna, reto) = applied().await;
    let (first, second) = tokio::join!(
        anna.change(1, preset("peak")),
        reto.change(1, preset("maintenance"))
    );
    let (winner, outcomes) = match &first {
        ChangeOutcome::Committed { .. } => ("anna", (first, second)),
        _ => ("reto", (second, first)),
    };
    assert_eq!(version_of(&outcomes.0), 2);
    match outcomes.1 {
        ChangeOutcome::Conflict {
            seen_version,
            head,
            since,
        } => {
            assert_eq!((seen_version, head.unwrap().version), (1, 2));
            assert_eq!(since.len(), 1);
            assert_eq!(&*since[0].by, winner);
        }
        other => panic!("the other change got {other:?}"),
    }
    assert_eq!(&*head(&store).by, winner);
}

/// An in-doubt write, whose answer was lost, must be resolved and must take effect once.
#[test_case(CommitFault::LoseResponse; "answer_lost")]
#[test_case(CommitFault::LoseRequest; "request_lost")]
#[test_case(CommitFault::Delay; "request_delayed")]
#[tokio::test]
async fn lost_answer_is_resolved(fault: CommitFault) {
    let (store, anna, _) = applied().await;
    store.fail_next_commit(fault);
    assert_eq!(version_of(&anna.change(1, preset("peak")).await), 2);
    let late = store.release();
    assert!(!late.iter().any(|r| matches!(r, CommitReply::Committed(_))));
    assert_eq!((head(&store).version, &*head(&store).preset), (2, "peak"));
    anna.wait_for_version(2);
}

/// A write must be reported as committed even if another change follows before it is resolved.
#[tokio::test]
async fn committed_and_superseded_is_committed() {
    let (store, anna, reto) = applied().await;
    store.fail_next_commit(CommitFault::LoseResponse);
    let (first, second) = tokio::join!(anna.change(1, preset("peak")), async {
        until(|| head(&store).version == 2).await;
        reto.change(2, preset("maintenance")).await
    });
    assert_eq!((version_of(&first), version_of(&second)), (2, 3));
    assert_eq!(&*head(&store).preset, "maintenance");
}

/// A delayed write must be a conflict if another change came first, and must not take effect later.
#[tokio::test]
async fn delayed_and_superseded_is_a_conflict() {
    let (store, anna, reto) = applied().await;
    store.fail_next_commit(CommitFault::Delay);
    let (first, second) = tokio::join!(anna.change(1, preset("peak")), async {
        until(|| store.delayed() > 0).await;
        reto.change(1, preset("maintenance")).await
    });
    assert_eq!(version_of(&second), 2);
    match first {
        ChangeOutcome::Conflict { since, .. } => assert_eq!(&*since[0].by, "reto"),
        other => panic!("{other:?}"),
    }
    let before = head(&store);
    let late = store.release();
    assert!(!late.iter().any(|r| matches!(r, CommitReply::Committed(_))));
    assert_eq!(head(&store), before);
}

/// A change refused because of a store outage must not take effect, neither at once nor later.
#[tokio::test]
async fn outage_changes_nothing() {
    let (store, anna, _) = applied().await;
    store.set_down(true);
    let outcome = anna.change(1, preset("peak")).await;
    assert!(
        matches!(outcome, ChangeOutcome::Unavailable { .. }),
        "{outcome:?}"
    );
    store.set_down(false);
    assert_eq!(head(&store).version, 1);
    assert_eq!(version_of(&anna.change(1, preset("peak")).await), 2);
}

/// A write that cannot be resolved must be reported as unknown, and daemons must apply it if it takes
/// effect later.
#[tokio::test]
async fn unresolved_write_is_unknown() {
    let (store, anna, _) = applied().await;
    store.fail_next_commit(CommitFault::Delay);
    let outage = async {
        until(|| store.delayed() > 0).await;
        store.set_down(true);
    };
    let (outcome, ()) = tokio::join!(anna.change(1, preset("peak")), outage);
    let ChangeOutcome::Unknown { operation, version } = outcome else {
        panic!("{outcome:?}");
    };
    store.set_down(false);
    store.release();
    assert_eq!(
        (head(&store).version, head(&store).operation),
        (version, operation)
    );
    let newer = reader::read_newer(&store.client(), None).await.unwrap();
    assert_eq!(newer.unwrap().head.version, 2);
}

/// Stale reads must neither revert a daemon's configuration nor block a change.
#[tokio::test]
async fn stale_reads_neither_revert_nor_block() {
    let (store, anna, reto) = applied().await;
    store.freeze_reads(3);
    assert_eq!(version_of(&anna.change(1, preset("peak")).await), 2);
    anna.wait_for_version(2);
    let config = anna.directory.snapshot().load().config.clone().unwrap();
    store.freeze_reads(0);
    let in_force = Some(&config.snapshot);
    let newer = reader::read_newer(&store.client(), in_force).await;
    assert_eq!(newer, Ok(None));
    // The directory must ignore an older configuration, too.
    let older = reader::read_newer(&store.client(), None)
        .await
        .unwrap()
        .unwrap();
    let mut older = older;
    older.head.version = 1;
    anna.directory.submit(DirectoryUpdate::Config(older));
    assert_eq!(version_of(&anna.change(2, preset("ordinary")).await), 3);
    anna.wait_for_version(3);
    store.freeze_reads(2);
    assert_eq!(version_of(&reto.change(3, preset("peak")).await), 4);
}

/// A change must not be based on an outdated state, even if the store returns nothing else.
#[tokio::test]
async fn change_is_not_based_on_outdated_state() {
    let (store, anna, reto) = applied().await;
    store.freeze_reads(100);
    assert_eq!(version_of(&anna.change(1, preset("peak")).await), 2);
    anna.wait_for_version(2);
    let outcome = anna.change(2, preset("ordinary")).await;
    assert!(
        matches!(outcome, ChangeOutcome::Unavailable { .. }),
        "{outcome:?}"
    );
    let outcome = reto.change(1, preset("maintenance")).await;
    assert!(
        matches!(outcome, ChangeOutcome::Conflict { .. }),
        "{outcome:?}"
    );
    assert_eq!(head(&store).version, 2);
}

/// Changes that would move every key or leave no preset in force must be refused with the reason.
#[test_case(apply(&EXAMPLE.replace("partitions = 1024", "partitions = 512")), "services.rounds.partitions cannot change from 1024 to 512"; "partition_count")]
#[test_case(apply(&EXAMPLE.replace("keyed = true", "keyed = false")), "services.rounds.keyed cannot change"; "no_longer_keyed")]
#[test_case(apply(&EXAMPLE.replacen("slots = 4", "checks_grants = false", 1)), "services.rounds.checks_grants cannot change to false"; "grants_no_longer_checked")]
#[test_case(apply(&EXAMPLE.replace("name = \"records\"", "name = \"records\"\nkeyed = true")), "services.records.keyed cannot change to true"; "newly_keyed")]
#[test_case(apply(&EXAMPLE.replace("\"ordinary\"", "\"plain\"")), "presets.ordinary is in force"; "preset_in_force")]
#[test_case(apply("deployment = 3"), "cannot be read"; "syntax")]
#[test_case(preset("siesta"), "no preset is named siesta; declared are: ordinary, peak, maintenance"; "unknown_preset")]
#[test_case(Change::Drain { target: "t9".into() }, "lists no target named t9"; "unlisted_target")]
#[test_case(Change::Undrain { target: "t9".into() }, "no target named t9 is drained"; "target_not_drained")]
#[tokio::test]
async fn change_is_refused(change: Change, reason: &str) {
    let (store, anna, _) = applied().await;
    match anna.change(1, change).await {
        ChangeOutcome::Refused { reasons } => {
            assert!(reasons.iter().any(|r| r.contains(reason)), "{reasons:?}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(head(&store).version, 1);
}

/// A removed service that is added again must have the partition count of its remaining assignment.
#[test_case(64, false; "other_count")]
#[test_case(128, true; "same_count")]
#[tokio::test]
async fn remaining_assignment_fixes_the_partition_count(partitions: u32, allowed: bool) {
    let (store, anna, _) = applied().await;
    let group = GroupId {
        service: "fields".into(),
        index: 0,
    };
    let row = AssignmentRow::new(&vec![None; 128], 1, "test".into());
    let write =
        Transaction::default().replace(&row::assignment_row_name(&group, 0), 0, row::to_json(&row));
    assert!(matches!(
        store.client().commit(&write).await,
        CommitOutcome::Committed(_)
    ));
    let service =
        format!("[[services]]\nname = \"fields\"\nkeyed = true\npartitions = {partitions}");
    let outcome = anna
        .change(1, apply(&format!("{EXAMPLE}\n{service}\n")))
        .await;
    assert_eq!(
        matches!(outcome, ChangeOutcome::Committed { .. }),
        allowed,
        "{outcome:?}"
    );
    assert_eq!(
        matches!(outcome, ChangeOutcome::Refused { .. }),
        !allowed,
        "{outcome:?}"
    );
}

/// A repeated drain must change nothing, and a drain must be recorded in the head and the audit log.
#[tokio::test]
async fn drain_is_recorded_once() {
    let (store, anna, _) = applied().await;
    anna.directory.submit(DirectoryUpdate::Vms(vec![Vm {
        name: "t1".into(),
        zone: "a".into(),
        addr: store.addr,
        state: VmState::Live,
        role: VmRole::Target {
            service: "rounds".into(),
        },
    }]));
    wait_for(|| anna.directory.snapshot().load().target_names.len() == 1);
    let drain = Change::Drain {
        target: "t1".into(),
    };
    assert_eq!(version_of(&anna.change(1, drain.clone()).await), 2);
    assert_eq!(head(&store).drained, ["t1".into()]);
    let again = anna.change(2, drain).await;
    assert_eq!(again, ChangeOutcome::Unchanged { version: 2 });
    let undrain = Change::Undrain {
        target: "t1".into(),
    };
    assert_eq!(version_of(&anna.change(2, undrain).await), 3);
    assert!(head(&store).drained.is_empty());
    let records = audit::read(&store.client(), 1, 3).await.unwrap();
    let actions: Vec<String> = records.iter().map(|r| r.action.to_string()).collect();
    assert_eq!(actions, ["undrain t1", "drain t1", "apply"]);
}
