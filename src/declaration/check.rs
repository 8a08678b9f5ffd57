//! Validation of a declaration's values.

use super::{Declaration, Preset, QuietHours, Weights};
use crate::{collections::Set, world::Contract};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display},
    ops::RangeInclusive,
    sync::Arc,
};

/// Most services in a declaration.
pub const MAX_SERVICES: usize = 64;
/// Most presets in a declaration.
pub const MAX_PRESETS: usize = 32;
/// Most spans of quiet hours in a preset.
pub const MAX_QUIET_HOURS: usize = 8;
/// Allowed partitions of a keyed service.
pub const PARTITIONS: RangeInclusive<u64> = 1..=65_536;
/// Allowed concurrent requests per endpoint.
pub const SLOTS: RangeInclusive<u64> = 1..=1_024;
/// Allowed connections per endpoint.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
/// Allowed deadlines, in milliseconds.
pub const TIMEOUT_MS: RangeInclusive<u64> = 10..=300_000;
/// Allowed durations of the leases for a store outage, in milliseconds. The minimum is the duration
/// of an ordinary lease.
pub const HOLD_MS: RangeInclusive<u64> = 1_200..=3_600_000;
/// Allowed partition moves per minute.
pub const MOVES_PER_MINUTE: RangeInclusive<u64> = 0..=10_000;
/// Allowed retry budgets, in percent of first attempts.
pub const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;
/// Allowed queue lengths per target and daemon.
pub const QUEUE_LENGTH: RangeInclusive<u64> = 1..=10_000;
/// Largest weight of a measure in placement.
pub const MAX_WEIGHT: f64 = 1_000.0;
const MAX_NAME_LENGTH: usize = 63;
const MAX_CONTACT_LENGTH: usize = 200;

/// A value in a declaration that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The field, for example `services.rounds.slots`.
    pub field: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
    /// Description of the allowed values.
    pub allowed: Arc<str>,
}

impl Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {}; allowed: {}",
            self.field, self.value, self.allowed
        )
    }
}

/// Returns all problems of a declaration; none if it is valid.
pub fn problems(declaration: &Declaration) -> Vec<Problem> {
    let mut validator = Validator::default();
    validator.name("deployment", &declaration.deployment);
    validator.count("services", declaration.services.len(), MAX_SERVICES);
    validator.count("presets", declaration.presets.len(), MAX_PRESETS);
    validator.unique(
        "services",
        declaration.services.iter().map(|service| &service.name.0),
    );
    validator.unique(
        "presets",
        declaration.presets.iter().map(|preset| &preset.name),
    );
    for service in &declaration.services {
        validator.service(service);
    }
    for preset in &declaration.presets {
        validator.preset(preset);
        validator.max_timeout(preset, &declaration.services);
    }
    if declaration.preset(&declaration.initial_preset).is_none() {
        let names: Vec<&str> = declaration.presets.iter().map(|p| &*p.name).collect();
        let allowed = format!("the name of a declared preset ({})", names.join(", "));
        validator.reject(
            "initial_preset",
            quoted(&declaration.initial_preset),
            allowed,
        );
    }
    validator.problems
}

/// Collects the problems of a declaration.
#[derive(Default)]
struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn reject(&mut self, field: impl Display, value: impl Display, allowed: impl Display) {
        self.problems.push(Problem {
            field: field.to_string().into(),
            value: value.to_string().into(),
            allowed: allowed.to_string().into(),
        });
    }

    fn range(&mut self, field: impl Display, value: impl Into<u64>, allowed: &RangeInclusive<u64>) {
        let value = value.into();
        if !allowed.contains(&value) {
            let allowed = format!("{} to {}", allowed.start(), allowed.end());
            self.reject(field, value, allowed);
        }
    }

    fn count(&mut self, field: &str, count: usize, max: usize) {
        if count == 0 || count > max {
            self.reject(
                field,
                format!("a list of {count}"),
                format!("1 to {max} entries"),
            );
        }
    }

    fn name(&mut self, field: impl Display, name: &str) {
        let fits = (1..=MAX_NAME_LENGTH).contains(&name.len())
            && name.starts_with(|c: char| c.is_ascii_lowercase())
            && name
                .chars()
                .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
        if !fits {
            let allowed = format!(
                "1 to {MAX_NAME_LENGTH} lowercase letters, digits and hyphens, first a letter"
            );
            self.reject(field, quoted(name), allowed);
        }
    }

    fn unique<'a>(&mut self, field: &str, names: impl Iterator<Item = &'a Arc<str>>) {
        let mut seen = Set::default();
        for name in names {
            if !seen.insert(name) {
                self.reject(format!("{field}.{name}"), "declared twice", "unique names");
            }
        }
    }

    fn service(&mut self, service: &Contract) {
        let field = |name: &str| format!("services.{}.{name}", service.name);
        self.name(field("name"), &service.name.0);
        self.range(field("partitions"), service.partitions, &PARTITIONS);
        self.range(field("slots"), service.slots, &SLOTS);
        self.range(field("connections"), service.connections, &CONNECTIONS);
        if service.connections < service.slots {
            let allowed = format!("at least slots ({})", service.slots);
            self.reject(field("connections"), service.connections, allowed);
        }
        self.range(
            field("default_timeout_ms"),
            service.default_timeout_ms,
            &TIMEOUT_MS,
        );
        for path in &service.idempotent_paths {
            if !path.starts_with('/') || path.contains(['?', '#', ' ']) {
                let allowed = "paths that start with / and have no query, fragment or space";
                self.reject(field("idempotent_paths"), quoted(path), allowed);
            }
        }
    }

    fn preset(&mut self, preset: &Preset) {
        let field = |name: &str| format!("presets.{}.{name}", preset.name);
        self.name(field("name"), &preset.name);
        let length = preset.contact.trim().chars().count();
        if length == 0
            || length > MAX_CONTACT_LENGTH
            || preset.contact.contains(|c: char| c.is_control())
        {
            let allowed = format!("1 to {MAX_CONTACT_LENGTH} printable characters");
            self.reject(field("contact"), quoted(&preset.contact), allowed);
        }
        self.range(field("hold_ms"), preset.hold_ms, &HOLD_MS);
        self.range(
            field("moves_per_minute"),
            preset.moves_per_minute,
            &MOVES_PER_MINUTE,
        );
        self.range(field("retry_percent"), preset.retry_percent, &RETRY_PERCENT);
        self.range(field("max_timeout_ms"), preset.max_timeout_ms, &TIMEOUT_MS);
        self.range(field("queue_length"), preset.queue_length, &QUEUE_LENGTH);
        self.weights(&field("weights"), preset.weights);
        self.quiet_hours(&field("quiet_hours"), &preset.quiet_hours);
    }

    /// Requests without a deadline get the default of the service, which the preset must allow.
    fn max_timeout(&mut self, preset: &Preset, services: &[Contract]) {
        let Some(longest) = services.iter().max_by_key(|s| s.default_timeout_ms) else {
            return;
        };
        if preset.max_timeout_ms < longest.default_timeout_ms {
            let allowed = format!(
                "at least services.{}.default_timeout_ms ({})",
                longest.name, longest.default_timeout_ms
            );
            let field = format!("presets.{}.max_timeout_ms", preset.name);
            self.reject(field, preset.max_timeout_ms, allowed);
        }
    }

    fn weights(&mut self, field: &str, weights: Weights) {
        let named = [
            ("imbalance", weights.imbalance),
            ("churn", weights.churn),
            ("unserved", weights.unserved),
        ];
        for (name, weight) in named {
            if !(0.0..=MAX_WEIGHT).contains(&weight) {
                self.reject(
                    format!("{field}.{name}"),
                    weight,
                    format!("0 to {MAX_WEIGHT}"),
                );
            }
        }
        if named.iter().all(|(_, weight)| *weight == 0.0) {
            self.reject(field, "all zero", "at least one weight above 0");
        }
    }

    fn quiet_hours(&mut self, field: &str, spans: &[QuietHours]) {
        if spans.len() > MAX_QUIET_HOURS {
            let value = format!("a list of {}", spans.len());
            self.reject(field, value, format!("at most {MAX_QUIET_HOURS} entries"));
        }
        for (i, span) in spans.iter().enumerate() {
            for (name, time) in [("from", &span.from), ("to", &span.to)] {
                if minute_of_day(time).is_none() {
                    let field = format!("{field}[{i}].{name}");
                    self.reject(
                        field,
                        quoted(time),
                        "a time of day from 00:00 to 23:59, as HH:MM",
                    );
                }
            }
            if span.from == span.to {
                let allowed =
                    "a time other than from; a preset that never moves has moves_per_minute = 0";
                self.reject(format!("{field}[{i}].to"), quoted(&span.to), allowed);
            }
        }
    }
}

/// Parses a time of day as `HH:MM` into minutes since midnight; `None` if it is invalid.
pub fn minute_of_day(text: &str) -> Option<u32> {
    let (hours, minutes) = text.split_once(':')?;
    let digits = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !digits(hours) || !digits(minutes) {
        return None;
    }
    let (hours, minutes): (u32, u32) = (hours.parse().ok()?, minutes.parse().ok()?);
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}

fn quoted(text: &str) -> String {
    format!("{text:?}")
}
