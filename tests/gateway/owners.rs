//! The row that names the owners of keys.

use fireflygauge::gateway::{
    model::{EndpointRun, KeyRange},
    owners::{OwnedRange, Owners},
};
use proptest::prelude::*;
use test_case::test_case;

fn range(first: u16, last: u16, owner: &str) -> OwnedRange {
    OwnedRange {
        keys: KeyRange { first, last },
        owner: EndpointRun {
            name: owner.into(),
            born_ms: 7,
        },
        addr: ([10, 0, 0, 1], 80).into(),
        token: 3,
        handover: Some("h".into()),
    }
}

/// Guards against requests that go to the neighbour of the owner.
#[test_case(0, Some("a"); "lowest key")]
#[test_case(9, Some("a"); "last key of a range")]
#[test_case(10, None; "gap")]
#[test_case(20, Some("b"); "first key of a range")]
#[test_case(65_535, Some("b"); "highest key")]
fn finds_the_owner(key: u16, owner: Option<&str>) {
    let owners = Owners::new(vec![range(20, 65_535, "b"), range(0, 9, "a")]);
    assert_eq!(owners.range_of(key).map(|r| &*r.owner.name), owner);
}

/// Guards against a row that loses or mixes owners on its way through the store.
#[test]
fn row_is_read_as_written() {
    let owners = Owners::new(vec![
        range(0, 9, "a"),
        range(10, 20, "b"),
        range(30, 40, "a"),
    ]);
    let row = owners.encode().expect("small");
    assert_eq!(Owners::decode(&row).expect("valid"), owners);
}

proptest! {
    /// Guards against a panic on rows that another program wrote.
    #[test]
    fn any_bytes_are_read_without_panic(bytes: Vec<u8>) {
        let _ = Owners::decode(&bytes);
    }
}
