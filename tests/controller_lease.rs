//! Tests of resolving writes to the controller row and of observing it. They guard against a daemon
//! that draws the wrong conclusion from an answer of the store, or reads the row too late.

use fireflygauge::{
    clock::Millis,
    ownership::{
        controller_lease::{Observer, ObserverRole, PendingWrite, PendingWrites, WriteEffect},
        row::{ControllerRow, to_json},
    },
    store::{CommitOutcome, Row},
    world::{Incarnation, Link},
};
use test_case::test_case;

const ROW: &str = "group/rounds/0";

fn link(run: u64) -> Link {
    Link {
        name: format!("entry-{run}").as_str().into(),
        incarnation: Incarnation(run),
        zone: "z0".into(),
        peer_addr: ([127, 0, 0, 1], 7_000).into(),
    }
}

fn row(run: u64, operation: &str) -> ControllerRow {
    ControllerRow {
        epoch: 3,
        holder: link(run),
        lease: 9,
        standbys: Vec::new(),
        hold_ms: 1_000,
        outstanding: Vec::new(),
        fronts: Vec::new(),
        released: false,
        operation: operation.into(),
    }
}

fn conflict(name: &str, version: u64, run: u64, operation: &str) -> CommitOutcome {
    CommitOutcome::Conflict(vec![Row {
        name: name.into(),
        version,
        value: to_json(&row(run, operation)),
    }])
}

/// Guards against assuming the outcome of a write: of the writes "a" and "b" on version 7, the
/// answer is for "b".
#[test_case(CommitOutcome::Committed(vec![(ROW.into(), 8)]), "won b"; "committed")]
#[test_case(CommitOutcome::Unknown, "unresolved"; "lost answer")]
#[test_case(CommitOutcome::Unavailable, "unresolved"; "refused")]
#[test_case(conflict(ROW, 8, 1, "a"), "won a"; "lost earlier answer")]
#[test_case(conflict(ROW, 8, 1, "b"), "won b"; "second copy of the same write")]
#[test_case(conflict(ROW, 8, 1, "z"), "won none"; "dropped write of this daemon")]
#[test_case(conflict(ROW, 8, 2, "x"), "superseded"; "successor")]
#[test_case(conflict("assign/rounds/0/0", 4, 2, "x"), "mismatch"; "other row")]
fn outcome_of_the_later_write(outcome: CommitOutcome, expected: &str) {
    let mut writes = PendingWrites::new(7);
    for operation in ["a", "b"] {
        writes.begin(PendingWrite {
            operation: operation.into(),
            sent: Millis(1),
            row: row(1, operation),
            changes: Vec::new(),
            answered: false,
        });
    }
    let seen = match writes.resolve(&link(1), ROW, "b", outcome) {
        WriteEffect::Nothing => "nothing".to_string(),
        WriteEffect::Unresolved => "unresolved".to_string(),
        WriteEffect::Mismatch(_) => "mismatch".to_string(),
        WriteEffect::Superseded(..) => "superseded".to_string(),
        WriteEffect::Won { attempt, .. } => {
            let operation = attempt.map_or("none".into(), |a| a.operation);
            format!("won {operation}")
        }
    };
    assert_eq!(seen, expected);
    let left = if expected.starts_with("won") { 0 } else { 2 };
    let left = if expected == "mismatch" { 1 } else { left };
    assert_eq!(writes.attempts().len(), left);
}

/// Guards against a standby that refuses hold mode because it has been named only recently: it then
/// reads the row rarely or not at all, and has seen no failed read.
#[test_case(ObserverRole::Delegate; "delegate")]
#[test_case(ObserverRole::Bystander; "bystander")]
fn hold_request_makes_a_read_due(role: ObserverRole) {
    let mut observer = Observer::default();
    observer.start_read(ObserverRole::Delegate, Millis(1_000));
    observer.read_done(0, None, Millis(1_003));
    assert!(!observer.start_read(role, Millis(1_100)));
    observer.request_read();
    assert!(observer.start_read(role, Millis(1_101)));
    observer.read_failed();
    assert!(observer.is_failing());
    assert!(
        !observer.start_read(role, Millis(1_102)),
        "one request causes one read"
    );
}
