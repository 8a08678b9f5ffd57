//! References of refusals, their explanation, and recent refusals.

use fireflygauge::routing::{
    Code, RecentRefusals, Reference, explain,
    outcome::OutcomeKind,
    reference::ReferenceError,
    refusal::{RECENT_REFUSALS, RefusalRecord},
};
use proptest::prelude::*;
use strum::IntoEnumIterator;
use test_case::test_case;

proptest! {
    /// Guards against references that do not decode to the values they were issued with.
    #[test]
    fn reference_round_trips_through_text(
        daemon in "[a-z][a-z0-9.-]{0,20}",
        at_ms in 0..4_000_000_000_000_u64,
        id: u64,
        code in prop::sample::select(Code::iter().collect::<Vec<_>>()),
    ) {
        let reference = Reference { daemon: daemon.as_str().into(), at_ms, code, id };
        let text = reference.to_string();
        prop_assert_eq!(text.parse::<Reference>(), Ok(reference));
        let explanation = explain(&text).expect("a valid reference");
        prop_assert_eq!(explanation.code, code);
        prop_assert_eq!(explanation.outcome, code.kind());
    }
}

/// Guards against panics and wrong errors on mistyped references.
#[test_case("", ReferenceError::Shape; "empty")]
#[test_case("entry-1.abc.shed", ReferenceError::Shape; "three_parts")]
#[test_case(".abc.shed.1", ReferenceError::Shape; "no_daemon")]
#[test_case("entry-1.a_c.shed.1", ReferenceError::Number; "bad_time")]
#[test_case("entry-1.abc.unheard-of.1", ReferenceError::Code; "unknown_code")]
#[test_case("entry-1.zzzzzzzzzzzzz.shed.1", ReferenceError::Number; "time_too_large")]
#[test_case("entry-1.zzzzzzzzzzz.shed.1", ReferenceError::Number; "time_out_of_range")]
fn other_text_is_rejected(text: &str, error: ReferenceError) {
    assert_eq!(explain(text), Err(error));
}

/// Guards against codes whose status, outcome and text do not match.
#[test]
fn every_code_is_consistent() {
    for code in Code::iter().filter(|&code| code != Code::Answered) {
        let status = code.status().as_u16();
        match code.kind() {
            OutcomeKind::Unknown => assert_eq!(status, 504, "{code}"),
            _ => assert!(status == 503 || (400..500).contains(&status), "{code}"),
        }
        assert!(code.reason().ends_with('.'), "{code}");
        assert_eq!(code.to_string().parse(), Ok(code));
    }
}

/// Guards against a ring buffer that grows without bound or drops the newest refusals.
#[test]
fn recent_refusals_are_bounded() {
    let recent = RecentRefusals::default();
    let reference = |id| Reference {
        daemon: "entry-1".into(),
        at_ms: 1,
        code: Code::Shed,
        id,
    };
    for id in 0..RECENT_REFUSALS as u64 + 10 {
        recent.push(RefusalRecord {
            reference: reference(id).to_string().into(),
            outcome: OutcomeKind::NotRun,
            code: Code::Shed,
            service: None,
            caller: "c".into(),
            key: None,
            target: None,
            attempts: 1,
            elapsed_ms: 2,
        });
    }
    assert_eq!(recent.find(&reference(0)), None);
    assert!(recent.find(&reference(RECENT_REFUSALS as u64)).is_some());
    assert_eq!(recent.latest(usize::MAX).len(), RECENT_REFUSALS);
}
