//! Guards against endpoints that are used after they have left, and against running ones that are given
//! up because their entries lapsed.

use fireflygauge::{
    clock::Millis,
    gateway::{
        removal::{MissingEntry, RemovalRule, is_mass_removal},
        store_contact::{Silence, StoreContact},
    },
};
use proptest::prelude::*;
use test_case::test_case;

const RULE: RemovalRule = RemovalRule {
    drain_time: Millis(2_000),
    min_lapse_outage: Millis(1_500),
    read_by_others: Millis(1_700),
};
/// When entries are found missing in these tests.
const SEEN_AT: Millis = Millis(10_000);

fn silence(length: u64) -> Silence {
    Silence {
        from: SEEN_AT - Millis(length),
        to: SEEN_AT,
        has_failure: true,
    }
}

/// An entry that is found missing after an outage of this length, with a failed call or without.
fn missing(outage: u64, has_failure: bool, is_mass: bool) -> MissingEntry {
    let contact = StoreContact::default();
    contact.record_answer(SEEN_AT - Millis(outage));
    if has_failure {
        contact.record_failure(SEEN_AT);
    }
    MissingEntry {
        since: SEEN_AT - Millis(outage),
        seen_at: SEEN_AT,
        may_have_lapsed: RULE.may_have_lapsed(&contact, SEEN_AT),
        silence: RULE.silence(&contact, SEEN_AT),
        is_restoration: false,
        is_mass,
    }
}

/// Guards against endpoints that have left and are used beyond their drain time, because a failed call
/// of one daemon counted as an outage of the store, and against entries that are not awaited after one.
#[test_case(missing(20, false, false), None; "no failure")]
#[test_case(missing(5_000, false, false), None; "call held for long")]
#[test_case(missing(900, true, false), None; "failure too short for a lapse")]
#[test_case(missing(1_600, true, false), None; "lapse possible, drain time nearly over")]
#[test_case(missing(1_700, true, false), Some(2_100); "outage")]
#[test_case(missing(5_000, true, true), Some(2_100); "long outage, all entries")]
#[test_case(missing(20, false, true), Some(1_380); "many at once")]
#[test_case(missing(900, true, true), Some(500); "many at once after a short failure")]
#[test_case(missing(1_600, false, true), None; "many at once, drain time nearly over")]
#[test_case(MissingEntry { is_restoration: true, ..missing(500, false, false) }, Some(2_100); "restored")]
#[test_case(MissingEntry { silence: silence(200), ..missing(5_000, true, false) }, None; "the store answered this daemon")]
#[test_case(MissingEntry { since: SEEN_AT - Millis(700), ..missing(1_600, true, false) }, Some(700); "others may not have read")]
fn missing_entries_are_awaited_only_after_an_outage(missing: MissingEntry, expected: Option<u64>) {
    let until = RULE.awaited_until(&missing);
    assert_eq!(until, expected.map(|delay| SEEN_AT + Millis(delay)));
}

/// Guards against entries that lapse shortly after an outage and are not awaited until its endpoints have
/// written again, and against a wait that starts anew with each of them.
#[test_case(500, Some(1_600); "shortly after")]
#[test_case(2_000, Some(100); "before the end of the wait")]
#[test_case(2_200, None; "later")]
fn entries_that_lapse_after_an_outage_are_awaited(after_ms: u64, expected: Option<u64>) {
    let contact = StoreContact::default();
    let back_at = SEEN_AT - Millis(after_ms);
    let failed_at = back_at - Millis(1_000);
    contact.record_answer(back_at - Millis(4_000));
    contact.record_failure(failed_at);
    // The controller repeats up to when it has read the endpoints.
    contact.record_answer(back_at - Millis(4_000));
    contact.record_answer(failed_at - Millis(2_900));
    contact.record_answer(back_at);
    let missing = MissingEntry {
        since: SEEN_AT - Millis(100),
        may_have_lapsed: RULE.may_have_lapsed(&contact, SEEN_AT),
        silence: RULE.silence(&contact, SEEN_AT),
        ..missing(100, false, false)
    };
    let until = RULE.awaited_until(&missing);
    assert_eq!(until, expected.map(|delay| SEEN_AT + Millis(delay)));
}

#[test_case(2, 2, false; "too few")]
#[test_case(3, 6, true; "half of them")]
#[test_case(3, 7, false; "less than half")]
fn a_mass_removal_is_a_share_of_all(removed: usize, known: usize, is_mass: bool) {
    assert_eq!(is_mass_removal(removed, known), is_mass);
}

proptest! {
    /// Guards against a removal later than the drain time where the store has answered within the time
    /// that a lapse takes, and against one that is not awaited after an outage.
    #[test]
    fn only_an_outage_excuses_a_late_removal(
        unread_for in 0..4_000_u64,
        silence in 0..4_000_u64,
        may_have_lapsed: bool,
        is_mass: bool,
        min_lapse_outage in 0..4_000_u64,
        drain_time in 700..6_000_u64,
    ) {
        let rule = RemovalRule {
            drain_time: Millis(drain_time),
            min_lapse_outage: Millis(min_lapse_outage),
            read_by_others: Millis(drain_time * 65 / 100 + 400),
        };
        let entry = MissingEntry {
            since: SEEN_AT - Millis(unread_for),
            seen_at: SEEN_AT,
            may_have_lapsed,
            silence: self::silence(silence),
            is_restoration: false,
            is_mass,
        };
        let is_outage = may_have_lapsed && silence >= min_lapse_outage.max(rule.read_by_others.0);
        let until = rule.awaited_until(&entry);
        if is_outage {
            prop_assert_eq!(until, Some(SEEN_AT + Millis(2_100)));
        } else if let Some(until) = until {
            prop_assert!(until < entry.since + rule.drain_time);
            prop_assert!(may_have_lapsed || is_mass);
        }
    }
}
