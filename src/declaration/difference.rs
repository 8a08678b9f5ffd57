//! The difference between two declarations, and checks whether it is allowed.

use super::Declaration;
use crate::world::Contract;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    sync::Arc,
};

/// A difference in one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The field, for example `services.rounds.slots`.
    pub field: Arc<str>,
    /// Its old value; `None` if the field was added.
    pub from: Option<Value>,
    /// Its new value; `None` if the field was removed.
    pub to: Option<Value>,
}

impl Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "{}: {from} -> {to}", self.field),
            (None, Some(to)) => write!(f, "{}: added with {to}", self.field),
            (Some(from), None) => write!(f, "{}: removed, was {from}", self.field),
            (None, None) => f.write_str(&self.field),
        }
    }
}

/// The fields that differ, sorted by name. Services and presets are matched by name, and defaults
/// count as if they were written out.
pub fn difference(from: Option<&Declaration>, to: &Declaration) -> Vec<FieldChange> {
    let before = from.map(fields).unwrap_or_default();
    let after = fields(to);
    let names = before.keys().chain(after.keys());
    let mut changes: Vec<FieldChange> = names
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| FieldChange {
            field: name.as_str().into(),
            from: before.get(name).cloned(),
            to: after.get(name).cloned(),
        })
        .collect();
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes.dedup_by(|a, b| a.field == b.field);
    changes
}

/// The reasons why `to` must not replace `from` while the preset named `in_force` is in force.
pub fn refusals(from: &Declaration, to: &Declaration, in_force: &str) -> Vec<String> {
    let mut reasons = Vec::new();
    for before in &from.services {
        let after = to.services.iter().find(|s| s.name == before.name);
        reasons.extend(after.and_then(|after| service_refusal(before, after)));
    }
    if to.preset(in_force).is_none() {
        reasons.push(format!(
            "presets.{in_force} is in force and cannot be removed; use another preset first"
        ));
    }
    reasons
}

/// The reason why `after` must not replace `before`, if there is one. A daemon that has not received
/// the change yet, for example because it is partitioned off, would still route requests by the old
/// contract.
fn service_refusal(before: &Contract, after: &Contract) -> Option<String> {
    let problem = if before.keyed != after.keyed {
        format!("keyed cannot change to {}", after.keyed)
    } else if before.keyed && before.partitions != after.partitions {
        let (from, to) = (before.partitions, after.partitions);
        format!("partitions cannot change from {from} to {to}: it would move every key")
    } else if before.keyed && before.checks_grants && !after.checks_grants {
        "checks_grants cannot change to false: a daemon that has not received the change would \
         still send requests past the front daemon"
            .into()
    } else {
        return None;
    };
    let name = &before.name;
    Some(format!(
        "services.{name}.{problem}; declare the service under another name"
    ))
}

/// The values of a declaration by the paths of their fields.
fn fields(declaration: &Declaration) -> BTreeMap<String, Value> {
    let value = serde_json::to_value(declaration).expect("a declaration is valid JSON");
    let mut fields = BTreeMap::new();
    flatten(String::new(), value, &mut fields);
    fields
}

fn flatten(path: String, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(object) => flatten_object(&path, object, fields),
        Value::Array(entries)
            if !entries.is_empty() && entries.iter().all(|e| name_of(e).is_some()) =>
        {
            for entry in entries {
                let name = name_of(&entry).unwrap_or_default().to_owned();
                flatten(join(&path, &name), entry, fields);
            }
        }
        value => {
            fields.insert(path, value);
        }
    }
}

fn flatten_object(path: &str, object: Map<String, Value>, fields: &mut BTreeMap<String, Value>) {
    for (name, value) in object {
        flatten(join(path, &name), value, fields);
    }
}

fn name_of(entry: &Value) -> Option<&str> {
    entry.get("name")?.as_str()
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
