//! Settings are validated at start. Guards against an invalid value being accepted, and against
//! errors that do not name the setting, the value and the allowed values.

use clap::Parser;
use fireflygauge::entry::settings::Settings;
use test_case::test_case;

const VALID: [&str; 13] = [
    "fireflygauge-entry",
    "--name=entry-1",
    "--zone=a",
    "--caller-addr=127.0.0.1:8080",
    "--peer-addr=127.0.0.1:8081",
    "--operator-addr=127.0.0.1:8082",
    "--platform-addr=127.0.0.1:8083",
    "--store-timeout-ms=400",
    "--workers=2",
    "--stop-timeout-ms=1000",
    "--log=info",
    "--log-file=entry.log",
    "--statsd-addr=127.0.0.1:8125",
];

/// The error for the valid settings with `change` in place of the flag of the same name.
fn error_with(change: &str) -> String {
    let flag = change.split('=').next().expect("a flag has a name");
    let args = VALID
        .iter()
        .map(|arg| if arg.starts_with(flag) { change } else { arg });
    match Settings::try_parse_from(args) {
        Ok(settings) => settings
            .check()
            .expect_err("the combination is refused")
            .to_string(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::try_parse_from(VALID).expect("the settings are valid");
    assert_eq!(settings.check(), Ok(()));
}

#[test_case("--workers=0", "1..=64"; "too_few_workers")]
#[test_case("--store-timeout-ms=20", "50..=10000"; "store_timeout_too_short")]
#[test_case("--stop-timeout-ms=300001", "0..=300000"; "stop_timeout_too_long")]
#[test_case("--name=a/b", "letters, digits"; "name_with_slash")]
#[test_case("--zone=", "letters, digits"; "empty_zone")]
#[test_case("--peer-addr=localhost", "invalid socket address"; "address_without_port")]
#[test_case("--log=loud", "loud"; "unknown_log_level")]
fn bad_value_is_named_with_its_range(change: &str, allowed: &str) {
    let error = error_with(change);
    let (flag, value) = change.split_once('=').expect("a flag has a value");
    assert!(error.contains(flag), "the flag is missing in: {error}");
    assert!(error.contains(value), "the value is missing in: {error}");
    assert!(
        error.contains(allowed),
        "the allowed values are missing in: {error}"
    );
}

#[test]
fn two_servers_on_one_address_are_refused() {
    let error = error_with("--peer-addr=127.0.0.1:8080");
    assert_eq!(
        error,
        "--caller-addr and --peer-addr are both 127.0.0.1:8080; they must differ"
    );
}
