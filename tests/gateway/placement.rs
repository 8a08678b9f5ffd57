//! Which endpoint gets which keys.

use fireflygauge::{
    clock::Millis,
    gateway::{
        heat::{HeatMap, ServiceHeat, WorkTime},
        model::{EndpointInstance, KeyRange},
        placement::{Candidate, Move, distribute, join_small, rebalance},
    },
};
use proptest::prelude::*;

fn candidate(i: usize, capacity: f64, ranges: Vec<KeyRange>) -> Candidate {
    Candidate {
        instance: EndpointInstance {
            name: format!("e{i}").into(),
            started_at_ms: 1,
        },
        capacity,
        ranges,
    }
}

fn heat(keys: &[(u16, u32)]) -> HeatMap {
    let mut map = HeatMap::default();
    let report = ServiceHeat {
        service: "rounds".into(),
        keys: keys.to_vec(),
        work: Vec::new(),
    };
    map.add(&report, Millis(100));
    map
}

proptest! {
    /// Guards against keys that get two owners or none.
    #[test]
    fn every_free_key_gets_one_owner(
        endpoints in 1_usize..20,
        keys in proptest::collection::vec((any::<u16>(), 1_u32..200), 0..40),
    ) {
        let candidates: Vec<Candidate> =
            (0..endpoints).map(|i| candidate(i, 40.0, Vec::new())).collect();
        let mut moves = distribute(&[KeyRange::ALL], &candidates, &heat(&keys));
        moves.sort_by_key(|m| m.keys);
        prop_assert_eq!(moves[0].keys.first, 0);
        prop_assert_eq!(moves[moves.len() - 1].keys.last, u16::MAX);
        for pair in moves.windows(2) {
            prop_assert_eq!(u32::from(pair[0].keys.last) + 1, u32::from(pair[1].keys.first));
        }
    }

    /// Guards against a plan that takes keys from an endpoint that does not own them, or takes the
    /// same keys twice.
    #[test]
    fn moves_stay_within_their_owners_ranges(
        keys in proptest::collection::vec((any::<u16>(), 1_u32..400), 1..40),
    ) {
        let halves = [
            KeyRange { first: 0, last: 32_767 },
            KeyRange { first: 32_768, last: u16::MAX },
        ];
        let candidates = [
            candidate(0, 40.0, vec![halves[0]]),
            candidate(1, 30.0, vec![halves[1]]),
            candidate(2, 30.0, Vec::new()),
        ];
        let moves = rebalance(&candidates, &heat(&keys));
        for (i, one) in moves.iter().enumerate() {
            let inside = halves.iter().any(|h| h.contains(one.keys.first) && h.contains(one.keys.last));
            prop_assert!(inside);
            prop_assert!(!moves[i + 1..].iter().any(|other| other.keys.overlaps(one.keys)));
        }
    }
}

/// Guards against a hot key that keeps the busy keys beside it on its overloaded owner.
#[test]
fn neighbours_of_a_hot_key_move_away() {
    let candidates = [
        candidate(0, 40.0, vec![KeyRange::ALL]),
        candidate(1, 40.0, Vec::new()),
        candidate(2, 40.0, Vec::new()),
    ];
    let moves = rebalance(&candidates, &heat(&[(100, 300), (200, 20), (300, 20)]));
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| !m.keys.contains(100)));
}

/// Guards against moves that interrupt keys although no endpoint is busy.
#[test]
fn calm_endpoints_keep_their_keys() {
    let halves = [
        KeyRange {
            first: 0,
            last: 32_767,
        },
        KeyRange {
            first: 32_768,
            last: u16::MAX,
        },
    ];
    let candidates = [
        candidate(0, 400.0, vec![halves[0]]),
        candidate(1, 400.0, vec![halves[1]]),
    ];
    assert_eq!(rebalance(&candidates, &heat(&[(1, 30), (40_000, 5)])), []);
}

/// Candidates with equal shares of the keys.
fn many(endpoints: u16) -> Vec<Candidate> {
    let keys_each = u16::MAX / endpoints;
    let share = |i: u16| KeyRange {
        first: i * keys_each,
        last: (i + 1) * keys_each - 1,
    };
    (0..endpoints)
        .map(|i| candidate(i.into(), 400.0, vec![share(i)]))
        .collect()
}

/// Guards against ranges that multiply with every endpoint that leaves: at 160 endpoints, the row
/// of owners reached its limit after some twenty, and no keys moved any more.
#[test]
fn keys_of_one_endpoint_are_cut_into_few_pieces() {
    let mut candidates = many(160);
    let left = candidates.pop().expect("there are many");
    let all: Vec<(u16, u32)> = (0..u16::MAX).step_by(20).map(|key| (key, 1)).collect();
    let moves = distribute(&left.ranges, &candidates, &heat(&all));
    assert!((2..=6).contains(&moves.len()), "{} pieces", moves.len());
}

/// Guards against small ranges that stay for ever once a hot key has cut them off.
#[test]
fn small_ranges_join_their_neighbours() {
    let mut candidates = many(4);
    let small = KeyRange {
        first: 8_000,
        last: 8_010,
    };
    candidates[0].ranges = vec![
        KeyRange {
            first: 0,
            last: 7_999,
        },
        KeyRange {
            first: 8_011,
            last: 16_382,
        },
    ];
    candidates[2].ranges.push(small);
    let moves = join_small(&candidates, &heat(&[(1, 9), (9_000, 9), (40_000, 9)]));
    let joined = Move {
        keys: small,
        to: candidates[0].instance.clone(),
    };
    assert_eq!(moves, [joined]);
    let busy = heat(&[(1, 9), (8_005, 9), (9_000, 9), (40_000, 9)]);
    assert_eq!(join_small(&candidates, &busy), []);
}

/// Guards against a capacity that follows the last request's work time: many daemons report one
/// request at a time, and work times of one endpoint differ several times over.
#[test]
fn work_times_are_averaged_over_many_reports() {
    let mut map = HeatMap::default();
    for i in 0..200 {
        let work = |endpoint: &str, total_ms| WorkTime {
            endpoint: endpoint.into(),
            requests: 1,
            total_ms,
        };
        let report = ServiceHeat {
            service: "rounds".into(),
            keys: Vec::new(),
            work: vec![
                work("varied", if i % 10 == 9 { 1_200 } else { 200 }),
                work("steady", 100),
            ],
        };
        map.add(&report, Millis(i * 20));
    }
    let mean = map.mean_work_ms().expect("it is known");
    assert!((mean - 200.0).abs() < 20.0, "{mean}");
    let varied = map.work_ms("varied", mean);
    assert!((varied - 300.0).abs() < 30.0, "{varied}");
    assert_eq!(map.work_ms("unknown", mean), mean);
}
