//! The history checker finds the violations that the failure tests look for.

use fireflygauge::{
    ownership::row::{AssignmentRow, to_json},
    store::Row,
    table::Owner,
    world::Incarnation,
};
use http::{Method, StatusCode};
use standins::{
    caller::{Attempt, Call, CallResult},
    checker::Histories,
    target::{Execution, TargetResponse},
};
use test_case::test_case;

fn execution(target: &str, epoch: u64, start_us: u64, end_us: u64) -> Execution {
    Execution {
        target: target.into(),
        incarnation: Incarnation(1),
        key: "k".into(),
        partition: Some(3),
        epoch: Some(epoch),
        request_id: "r".into(),
        token: format!("t{start_us}").into(),
        idempotency_key: None,
        method: "POST".into(),
        start_us,
        end_us,
        effect: true,
    }
}

/// Guards against a checker that overlooks two owners, or reports an orderly move.
#[test_case(&[("rounds-0", 1, 0, 5), ("rounds-1", 2, 5, 9)], 0; "orderly move")]
#[test_case(&[("rounds-0", 1, 0, 5), ("rounds-1", 2, 4, 9)], 1; "overlap")]
#[test_case(&[("rounds-1", 2, 5, 9), ("rounds-0", 1, 10, 11)], 1; "old owner runs later")]
#[test_case(&[("rounds-0", 1, 0, 20), ("rounds-1", 2, 5, 9), ("rounds-1", 2, 21, 22)], 1; "old owner ends later")]
#[test_case(&[("rounds-0", 1, 0, 5), ("rounds-1", 1, 6, 9)], 1; "one epoch with two owners")]
fn owners(runs: &[(&str, u64, u64, u64)], expected: usize) {
    let run = |&(target, epoch, start, end): &_| execution(target, epoch, start, end);
    let histories = Histories {
        executions: runs.iter().map(run).collect(),
        ..Histories::default()
    };
    assert_eq!(histories.owners().len(), expected, "{histories:?}");
}

fn attempt(token: &str, result: CallResult) -> Attempt {
    Attempt {
        call: Call::new(Method::POST, "rounds", "k"),
        token: token.into(),
        daemon: "127.0.0.1:1".parse().unwrap(),
        sent_us: 0,
        done_us: 9,
        result,
    }
}

fn answered(token: &str, padding: &str) -> CallResult {
    let answer = TargetResponse {
        target: "rounds-0".into(),
        key: "k".into(),
        request_id: "r".into(),
        token: token.into(),
        method: "POST".into(),
        body: token.into(),
        padding: padding.into(),
    };
    CallResult::Answered(StatusCode::OK, Box::new(answer))
}

/// Guards against a checker that accepts another request's answer, a part of one, or one without an
/// execution.
#[test_case("t0", "t0", "", 0; "own answer")]
#[test_case("t1", "t0", "", 1; "answer of another request")]
#[test_case("t0", "t0", "x", 1; "wrong length")]
#[test_case("t7", "t7", "", 1; "no execution")]
fn answers(asked: &str, carried: &str, padding: &str, expected: usize) {
    let histories = Histories {
        executions: vec![execution("rounds-0", 1, 0, 5)],
        attempts: vec![attempt(asked, answered(carried, padding))],
        ..Histories::default()
    };
    assert_eq!(histories.answers().len(), expected);
}

/// Guards against a checker that overlooks a request that ran in spite of a refusal, or twice.
#[test]
fn refusals_and_repetitions() {
    let mut second = execution("rounds-0", 1, 6, 8);
    second.token = "t0".into();
    let histories = Histories {
        executions: vec![execution("rounds-0", 1, 0, 5), second],
        attempts: vec![attempt("t0", CallResult::NotSent)],
        ..Histories::default()
    };
    assert_eq!(histories.refusals().len(), 1);
    assert_eq!(histories.repetitions().len(), 1);
}

/// Guards against a checker that overlooks an assignment that was lost or never written.
#[test_case(&[("rounds-0", 1), ("rounds-1", 2)], 0; "orderly move")]
#[test_case(&[("rounds-0", 1), ("rounds-1", 3), ("rounds-0", 2)], 1; "an epoch falls")]
#[test_case(&[("rounds-0", 1), ("rounds-1", 1)], 1; "an epoch gets another owner")]
#[test_case(&[("rounds-1", 1)], 1; "an execution without an assignment")]
fn assignments(writes: &[(&str, u64)], expected: usize) {
    let row = |(index, &(target, epoch)): (usize, &(&str, u64))| {
        let owner = Owner {
            target: target.into(),
            epoch,
        };
        let owners = [None, None, None, Some(owner)];
        Row {
            name: "assign/rounds/0/0".into(),
            version: index as u64 + 1,
            value: to_json(&AssignmentRow::new(&owners, 1, "o".into())),
        }
    };
    let histories = Histories {
        executions: vec![execution("rounds-0", 1, 0, 5)],
        assignments: writes.iter().enumerate().map(row).collect(),
        ..Histories::default()
    };
    assert_eq!(histories.assigned().len(), expected);
}
