//! Declarations must be validated completely, with errors that name the field and the allowed values.
//! Guards against invalid values that pass, and against differences that are missed.

use fireflygauge::declaration::{Declaration, DeclarationError, check, difference};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../examples/mittelland.toml");

#[test_case(include_str!("../examples/mittelland.toml"); "mittelland")]
#[test_case(include_str!("../examples/ma-west.toml"); "ma_west")]
fn example_is_valid(text: &str) {
    let declaration = Declaration::parse(text).expect("the example is valid");
    assert_eq!(declaration.services.len(), 3);
    assert_eq!(declaration.presets.len(), 3);
}

/// A value out of range must be reported with its field, the value and what is allowed.
#[test_case("slots = 4", "slots = 0", "services.rounds.slots is 0; allowed: 1 to 1024"; "slots")]
#[test_case("partitions = 1024", "partitions = 70000", "services.rounds.partitions is 70000; allowed: 1 to 65536"; "partitions")]
#[test_case("connections = 100", "connections = 2", "services.rounds.connections is 2; allowed: at least slots (4)"; "fewer_connections_than_slots")]
#[test_case("name = \"rounds\"", "name = \"Rounds\"", "services.Rounds.name is \"Rounds\"; allowed: 1 to 63 lowercase"; "name")]
#[test_case("name = \"billing\"", "name = \"records\"", "services.records is declared twice"; "duplicate_service")]
#[test_case("name = \"peak\"", "name = \"ordinary\"", "presets.ordinary is declared twice"; "duplicate_preset")]
#[test_case("initial_preset = \"ordinary\"", "initial_preset = \"siesta\"", "initial_preset is \"siesta\"; allowed: the name of a declared preset (ordinary, peak, maintenance)"; "initial_preset")]
#[test_case("deployment = \"mittelland\"", "deployment = \"\"", "deployment is \"\""; "deployment")]
#[test_case("imbalance = 2.0", "imbalance = -1.0", "presets.peak.weights.imbalance is -1; allowed: 0 to 1000"; "negative_weight")]
#[test_case("imbalance = 2.0", "imbalance = nan", "presets.peak.weights.imbalance is NaN"; "weight_not_a_number")]
#[test_case("queue_length = 128", "queue_length = 0", "presets.peak.queue_length is 0; allowed: 1 to 10000"; "queue_length")]
#[test_case("queue_length = 128", "hold_ms = 10", "presets.peak.hold_ms is 10; allowed: 1200 to 3600000"; "hold")]
#[test_case("queue_length = 128", "retry_percent = 101", "presets.peak.retry_percent is 101; allowed: 0 to 100"; "retry_percent")]
#[test_case("queue_length = 128", "max_timeout_ms = 1000", "presets.peak.max_timeout_ms is 1000; allowed: at least services."; "timeout_below_default")]
#[test_case("queue_length = 128", "quiet_hours = [{ from = \"24:00\", to = \"6:00\" }]", "presets.peak.quiet_hours[0].from is \"24:00\"; allowed: a time of day"; "time_of_day")]
#[test_case("queue_length = 128", "quiet_hours = [{ from = \"06:00\", to = \"06:00\" }]", "presets.peak.quiet_hours[0].to is \"06:00\""; "empty_span")]
#[test_case("queue_length = 128", "contact = \"\"", "duplicate key"; "duplicate_key")]
#[test_case("queue_length = 128", "queue = 128", "unknown field `queue`"; "unknown_field")]
fn invalid_value_is_reported(good: &str, bad: &str, expected: &str) {
    assert!(EXAMPLE.contains(good), "the example has no {good}");
    let error = Declaration::parse(&EXAMPLE.replacen(good, bad, 1)).unwrap_err();
    let message = error.to_string();
    assert!(message.contains(expected), "{message}");
}

/// All problems must be reported at once, not one per attempt.
#[test]
fn all_problems_are_reported() {
    let text = EXAMPLE.replacen("slots = 4", "slots = 0", 1).replacen(
        "queue_length = 128",
        "queue_length = 0",
        1,
    );
    match Declaration::parse(&text) {
        Err(DeclarationError::Invalid(problems)) => assert_eq!(problems.len(), 2, "{problems:?}"),
        other => panic!("{other:?}"),
    }
}

/// The difference must have changed, added and removed fields, and be empty if only the order differs.
#[test]
fn difference_names_fields() {
    let from = Declaration::parse(EXAMPLE).unwrap();
    let text = EXAMPLE
        .replacen("slots = 4", "slots = 8", 1)
        .replace("name = \"billing\"", "name = \"invoices\"");
    let to = Declaration::parse(&text).unwrap();
    let changes: Vec<String> = difference(Some(&from), &to)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        changes.contains(&"services.rounds.slots: 4 -> 8".into()),
        "{changes:?}"
    );
    assert!(
        changes
            .iter()
            .any(|c| c.starts_with("services.billing.slots: removed"))
    );
    assert!(
        changes
            .iter()
            .any(|c| c.starts_with("services.invoices.slots: added"))
    );
    let mut reordered = from.clone();
    reordered.services.reverse();
    assert!(difference(Some(&from), &reordered).is_empty());
}

#[test_case("00:00", Some(0); "midnight")]
#[test_case("23:59", Some(1439); "last_minute")]
#[test_case("24:00", None; "beyond_the_day")]
#[test_case("7:30", None; "one_digit")]
#[test_case("07-30", None; "no_colon")]
#[test_case("+7:30", None; "sign")]
fn time_of_day(text: &str, expected: Option<u32>) {
    assert_eq!(check::minute_of_day(text), expected);
}
