//! Prints results as tables or JSON.

use super::{
    exit::Exit,
    report::{AssignmentReport, ConfigReport, KeyReport, PresetReport, Status, TargetReport},
};
use crate::{audit::AuditRecord, config::ChangeOutcome, declaration::FieldChange};
use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;
use serde_json::{Value, json};
use std::io::{self, Write};

/// Prints results to standard output and failures to standard error.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON if `json` is set, else text.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result.
    pub fn print(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        if self.json {
            let value = serde_json::to_string_pretty(value).expect("results are valid JSON");
            print_line(&value);
        } else {
            print_line(text().trim_end());
        }
    }

    /// Prints an informational line; omitted in JSON mode.
    pub fn note(&self, text: &str) {
        if !self.json {
            print_line(text);
        }
    }

    /// Prints why a command failed, with the exit code in JSON mode.
    pub fn failure(&self, exit: Exit, reason: &str) {
        if self.json {
            eprintln!("{}", json!({ "error": reason, "exit_code": exit as u8 }));
        } else {
            eprintln!("fireflygauge: {reason}");
        }
    }
}

/// Prints to standard output. Write errors are ignored, since the reader may close the pipe early,
/// as `head` does.
fn print_line(text: &str) {
    let _ = writeln!(io::stdout().lock(), "{text}");
}

pub(super) fn table<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

fn or_dash(text: Option<impl ToString>) -> String {
    text.map_or_else(|| "-".into(), |text| text.to_string())
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.into()
}

/// The differences between two declarations.
pub fn changes(changes: &[FieldChange]) -> String {
    if changes.is_empty() {
        return "No difference.".into();
    }
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// The declaration in force, with its head as a comment.
pub fn config(report: &ConfigReport) -> String {
    let head = &report.head;
    format!(
        "# version {}, preset {}, by {} at {}\n{}",
        head.version, head.preset, head.by, head.at, report.body
    )
}

/// The outcome of a change.
pub fn outcome(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Committed { head } => {
            format!(
                "Committed as version {}, preset {}.",
                head.version, head.preset
            )
        }
        ChangeOutcome::Unchanged { version } => {
            format!("Nothing to change; version {version} already matches the request.")
        }
        ChangeOutcome::Refused { reasons } => {
            format!("Refused, nothing was changed:\n  {}", reasons.join("\n  "))
        }
        ChangeOutcome::Conflict {
            seen_version,
            head,
            since,
        } => {
            let version = head.as_ref().map_or(0, |head| head.version);
            format!(
                "Conflict, nothing was changed: the change was based on version {seen_version}, but version \
                 {version} is in force.\n{}",
                records(since)
            )
        }
        ChangeOutcome::Unavailable { reason } => {
            format!("The store cannot be used; nothing was changed: {reason}")
        }
        ChangeOutcome::Unknown { operation, version } => format!(
            "Unknown: the store did not confirm the change. It may still become version \
             {version}.\nAsk again with `fireflygauge audit` and look for operation {operation}."
        ),
    }
}

/// The presets; the one in force is marked.
pub fn presets(report: &PresetReport) -> String {
    let rows = report.presets.iter().map(|preset| {
        let in_force = preset.name == report.in_force;
        [
            if in_force { "*" } else { "" }.into(),
            preset.name.to_string(),
            preset.moves_per_minute.to_string(),
            preset.contact.to_string(),
        ]
    });
    table(["", "PRESET", "MOVES/MIN", "CONTACT"], rows)
}

/// The targets.
pub fn targets(report: &[TargetReport]) -> String {
    let rows = report.iter().map(|target| {
        [
            target.name.to_string(),
            or_dash(target.service.as_ref()),
            or_dash(target.zone.as_ref()),
            target.partitions.to_string(),
            yes_or_no(target.drained),
            yes_or_no(target.leaving),
            yes_or_no(target.listed),
        ]
    });
    let header = [
        "TARGET",
        "SERVICE",
        "ZONE",
        "PARTITIONS",
        "DRAINED",
        "LEAVING",
        "LISTED",
    ];
    table(header, rows)
}

/// The number of partitions of each owner, and of those without an owner.
pub fn assignment(report: &[AssignmentReport]) -> String {
    let rows = report.iter().flat_map(|group| {
        let owners = group.owners.iter().map(|(target, partitions)| {
            [
                group.group.to_string(),
                target.to_string(),
                partitions.len().to_string(),
            ]
        });
        let unassigned = (!group.unassigned.is_empty()).then(|| {
            [
                group.group.to_string(),
                "(none)".into(),
                group.unassigned.len().to_string(),
            ]
        });
        owners.chain(unassigned)
    });
    table(["GROUP", "TARGET", "PARTITIONS"], rows)
}

/// The partition and owner of a key.
pub fn key(report: &KeyReport) -> String {
    let row = [
        report.service.to_string(),
        report.partition.to_string(),
        or_dash(report.owner.as_ref()),
        or_dash(report.epoch),
    ];
    table(
        ["SERVICE", "PARTITION", "OWNER", "EPOCH"],
        [row].into_iter(),
    )
}

/// The daemons and the configuration that each has in force.
pub fn status(report: &Status) -> String {
    let rows = report.members.iter().map(|member| {
        let daemon = &member.report;
        let controls: Vec<String> = daemon.controls.iter().map(ToString::to_string).collect();
        [
            daemon.link.name.to_string(),
            daemon.link.zone.to_string(),
            member.state.to_string(),
            yes_or_no(daemon.ready),
            yes_or_no(daemon.stopping),
            daemon.config_version.to_string(),
            yes_or_no(member.confirmed),
            or_dash((!controls.is_empty()).then(|| controls.join(" "))),
        ]
    });
    let header = [
        "DAEMON",
        "ZONE",
        "STATE",
        "READY",
        "STOPPING",
        "CONFIG",
        "CONFIRMED",
        "CONTROLS",
    ];
    let config = report.config.as_ref().map_or_else(
        || "no configuration".into(),
        |head| format!("version {}, preset {}", head.version, head.preset),
    );
    let reasons = report.readiness.reasons.join(", ");
    let readiness = if report.readiness.ready {
        "ready".into()
    } else {
        format!("not ready: {reasons}")
    };
    format!(
        "{} ({}): {config}, {readiness}\n{}\n\n{}",
        report.daemon.name,
        report.daemon.zone,
        table(header, rows),
        value(&report.groups)
    )
}

/// Audit records.
pub fn records(records: &[AuditRecord]) -> String {
    let rows = records.iter().map(|record| {
        [
            record.version.to_string(),
            record.at.to_string(),
            record.by.to_string(),
            record.action.to_string(),
            record.changes.len().to_string(),
            or_dash(record.reason.as_ref()),
            record.operation.to_string(),
        ]
    });
    let header = [
        "VERSION",
        "AT",
        "BY",
        "ACTION",
        "FIELDS",
        "REASON",
        "OPERATION",
    ];
    table(header, rows)
}

/// A JSON report as tables, one row for each field.
pub fn value(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::Object(fields) => {
            let rows = fields
                .iter()
                .map(|(name, value)| [name.clone(), plain(value)]);
            table(["FIELD", "VALUE"], rows)
        }
        Value::Array(entries) => {
            let entries: Vec<String> = entries.iter().map(self::value).collect();
            entries.join("\n\n")
        }
        other => plain(other),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
