//! The owners of a service's keys: lookup, the stored row, and differences between versions.

use fireflygauge::{
    gateway::{
        model::{EndpointInstance, KeyRange},
        owners::{MAX_ROW_BYTES, OwnedRange, Owners},
    },
    peer::codec,
};
use proptest::prelude::*;
use test_case::test_case;

fn range(first: u16, last: u16, owner: &str) -> OwnedRange {
    OwnedRange {
        keys: KeyRange { first, last },
        owner: EndpointInstance {
            name: owner.into(),
            started_at_ms: 7,
        },
        addr: ([10, 0, 0, 1], 80).into(),
        token: 3,
        handover: Some("h".into()),
    }
}

/// Guards against a lookup that returns the owner of an adjacent range.
#[test_case(0, Some("a"); "lowest key")]
#[test_case(9, Some("a"); "last key of a range")]
#[test_case(10, None; "gap")]
#[test_case(20, Some("b"); "first key of a range")]
#[test_case(65_535, Some("b"); "highest key")]
fn finds_the_owner(key: u16, owner: Option<&str>) {
    let owners = Owners::new(vec![range(20, 65_535, "b"), range(0, 9, "a")]);
    assert_eq!(owners.range_of(key).map(|r| &*r.owner.name), owner);
}

/// Guards against a row that the store rejects as too large: after many endpoints have left, most
/// ranges carry a handover.
#[test_case(500, true; "few ranges")]
#[test_case(2_400, false; "many ranges")]
fn large_rows_are_written_without_handovers(ranges: u16, with_handovers: bool) {
    let owned = (0..ranges).map(|i| OwnedRange {
        token: 5 << 24,
        handover: Some("5c0e7a21d94b36f8".into()),
        ..range(i * 27, i * 27 + 26, &format!("i-{:010}", i % 268))
    });
    let row = Owners::new(owned.collect()).encode().expect("it is small");
    assert!(row.len() <= MAX_ROW_BYTES, "{} bytes", row.len());
    let decoded = Owners::decode(&row).expect("valid");
    assert_eq!(decoded.ranges().len(), usize::from(ranges));
    let handovers = decoded.ranges().iter().filter(|r| r.handover.is_some());
    assert_eq!(handovers.count() > 0, with_handovers);
}

/// Guards against a row that loses or confuses owners when it is encoded and decoded.
#[test]
fn row_is_decoded_as_encoded() {
    let owners = Owners::new(vec![
        range(0, 9, "a"),
        range(10, 20, "b"),
        range(30, 40, "a"),
    ]);
    let row = owners.encode().expect("within the size limit");
    assert_eq!(Owners::decode(&row).expect("valid"), owners);
}

proptest! {
    /// Guards against a panic on malformed rows.
    #[test]
    fn any_bytes_are_decoded_without_panic(bytes: Vec<u8>) {
        let _ = Owners::decode(&bytes);
    }
}

/// Owners of key ranges between the `bounds`, with owners and tokens derived from `seeds`.
fn owners_between(bounds: &[u16], seeds: &[u8]) -> Owners {
    let mut bounds: Vec<u16> = bounds.to_vec();
    bounds.sort_unstable();
    bounds.dedup();
    let pairs = bounds.windows(2).zip(seeds.iter().cycle());
    // Some ranges are left out, to cover keys without an owner.
    let owned = pairs.filter(|(_, seed)| *seed % 5 > 0);
    Owners::new(
        owned
            .map(|(pair, seed)| OwnedRange {
                token: u64::from(seed / 16),
                ..range(pair[0], pair[1] - 1, &(seed % 16).to_string())
            })
            .collect(),
    )
}

fn without_handovers(owners: &Owners) -> Vec<OwnedRange> {
    let mut ranges = owners.ranges().to_vec();
    ranges.iter_mut().for_each(|range| range.handover = None);
    ranges
}

proptest! {
    /// Guards against daemons whose owners differ from the controller's after applying a change.
    #[test]
    fn a_change_leads_from_one_version_to_the_next(
        common in prop::collection::vec(any::<u16>(), 0..20),
        earlier in prop::collection::vec(any::<u16>(), 0..8),
        newer in prop::collection::vec(any::<u16>(), 0..8),
        seeds in prop::collection::vec(any::<u8>(), 1..30),
        changed in prop::collection::vec(any::<u8>(), 1..30),
    ) {
        let earlier = owners_between(&[&common[..], &earlier].concat(), &seeds);
        let newer = owners_between(&[&common[..], &newer].concat(), &changed);
        let updated = earlier.with(newer.change_since(&earlier)).expect("same base");
        prop_assert_eq!(without_handovers(&updated), without_handovers(&newer));
    }
}

/// Guards against applying a change to other owners than its base, which could make ranges overlap.
#[test]
fn a_change_from_another_base_is_rejected() {
    let known = Owners::new(vec![range(0, 99, "a")]);
    let base = Owners::new(vec![range(0, 49, "a"), range(50, 99, "b")]);
    let newer = Owners::new(vec![range(0, 49, "c"), range(50, 99, "b")]);
    assert!(known.with(newer.change_since(&base)).is_err());
}

/// Guards against sending all owners to every daemon for each move, which caused a third of the
/// traffic between zones at 160 endpoints.
#[test]
fn one_move_among_many_ranges_is_a_small_change() {
    let ranges = |moved: &str| {
        (0..1_000)
            .map(|i| range(i * 60, i * 60 + 59, if i == 500 { moved } else { "a" }))
            .collect()
    };
    let (earlier, newer) = (Owners::new(ranges("b")), Owners::new(ranges("c")));
    let change = codec::encode(&newer.change_since(&earlier)).expect("within the size limit");
    assert!(change.len() < 100, "{} bytes", change.len());
}
