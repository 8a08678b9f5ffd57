//! Computes the result of a requested configuration change, or the reasons to refuse it.

use super::{ConfigHead, ConfigSnapshot, reader};
use crate::{
    audit::{Action, AuditRecord},
    collections::Set,
    declaration::{Declaration, FieldChange, Preset, difference},
    world::VmName,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Longest name of an operator and longest reason, in characters.
const MAX_TEXT_LENGTH: usize = 200;

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// Applies a declaration.
    Apply {
        /// The declaration's TOML text.
        body: Arc<str>,
    },
    /// Puts a preset in force.
    UsePreset {
        /// Name of the preset.
        preset: Arc<str>,
    },
    /// Drains a target, so that it gets no new work.
    Drain {
        /// The target.
        target: VmName,
    },
    /// Ends the drain of a target, so that it gets work again.
    Undrain {
        /// The target.
        target: VmName,
    },
}

/// A request for a change, conditional on the version that the operator saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The version that the operator saw; 0 for none.
    pub seen_version: u64,
    /// Name of the operator.
    pub by: Arc<str>,
    /// Reason given by the operator.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
    /// The change.
    pub change: Change,
}

/// An allowed change, ready to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The configuration after the change.
    pub next: ConfigSnapshot,
    /// Audit record of the change.
    pub record: AuditRecord,
}

/// Operation id and time of a write.
#[derive(Clone, Debug)]
pub struct WriteMetadata {
    /// The operation id.
    pub operation: Arc<str>,
    /// The time, as an RFC 3339 timestamp.
    pub at: Arc<str>,
}

/// Plans the change of `current` that `request` asks for; `None` if it changes nothing. `listed` are
/// the targets in the platform's VM list.
///
/// # Errors
/// The reasons if the change is refused.
pub fn plan(
    current: Option<&ConfigSnapshot>,
    request: &ChangeRequest,
    listed: &Set<VmName>,
    metadata: WriteMetadata,
) -> Result<Option<Plan>, Vec<String>> {
    check_text("the operator's name", &request.by)?;
    if let Some(reason) = &request.reason {
        check_text("the reason", reason)?;
    }
    let effect = match current {
        Some(current) => effect_on(current, &request.change, listed)?,
        None => initial_effect(&request.change)?,
    };
    Ok(effect.map(|effect| effect.plan(current, request, metadata)))
}

/// The content of a configuration after a change, and the change itself for the audit record.
struct Effect {
    body: Arc<str>,
    preset: Arc<str>,
    drained: Vec<VmName>,
    action: Action,
    changes: Vec<FieldChange>,
}

impl Effect {
    fn plan(
        self,
        current: Option<&ConfigSnapshot>,
        request: &ChangeRequest,
        metadata: WriteMetadata,
    ) -> Plan {
        let head = ConfigHead {
            version: current.map_or(0, |c| c.head.version) + 1,
            body_hash: reader::hash_of(&self.body),
            preset: self.preset,
            drained: self.drained,
            by: Arc::clone(&request.by),
            at: Arc::clone(&metadata.at),
            operation: Arc::clone(&metadata.operation),
        };
        let record = AuditRecord {
            version: head.version,
            by: Arc::clone(&request.by),
            at: metadata.at,
            reason: request.reason.clone(),
            operation: metadata.operation,
            action: self.action,
            from: current.map(|c| c.head.clone()),
            to: head.clone(),
            changes: self.changes,
        };
        let next = ConfigSnapshot {
            head,
            body: self.body,
        };
        Plan { next, record }
    }
}

fn initial_effect(change: &Change) -> Result<Option<Effect>, Vec<String>> {
    let Change::Apply { body } = change else {
        return Err(vec![
            "there is no configuration yet; apply a declaration first".into(),
        ]);
    };
    let declaration = parse(body)?;
    Ok(Some(Effect {
        body: Arc::clone(body),
        preset: Arc::clone(&declaration.initial_preset),
        drained: Vec::new(),
        action: Action::Apply,
        changes: difference(None, &declaration),
    }))
}

fn effect_on(
    current: &ConfigSnapshot,
    change: &Change,
    listed: &Set<VmName>,
) -> Result<Option<Effect>, Vec<String>> {
    let head = &current.head;
    let effect = |action| Effect {
        body: Arc::clone(&current.body),
        preset: Arc::clone(&head.preset),
        drained: head.drained.clone(),
        action,
        changes: Vec::new(),
    };
    let is_drained = |target| head.drained.contains(target);
    match change {
        Change::Apply { body } if *body == current.body => Ok(None),
        Change::Apply { body } => {
            let declaration = parse(body)?;
            let before = parse_current(current)?;
            let reasons = difference::refusals(&before, &declaration, &head.preset);
            if !reasons.is_empty() {
                return Err(reasons);
            }
            Ok(Some(Effect {
                body: Arc::clone(body),
                changes: difference(Some(&before), &declaration),
                ..effect(Action::Apply)
            }))
        }
        Change::UsePreset { preset } if *preset == head.preset => Ok(None),
        Change::UsePreset { preset } => {
            let declaration = parse_current(current)?;
            let preset = find_preset(&declaration, preset)?;
            Ok(Some(Effect {
                preset: Arc::clone(&preset.name),
                ..effect(Action::UsePreset {
                    preset: Arc::clone(&preset.name),
                })
            }))
        }
        Change::Drain { target } if is_drained(target) => Ok(None),
        Change::Drain { target } if !listed.contains(target) => {
            Err(vec![format!("the platform lists no target named {target}")])
        }
        Change::Drain { target } => {
            let mut drained = head.drained.clone();
            drained.push(target.clone());
            Ok(Some(Effect {
                drained,
                ..effect(Action::Drain {
                    target: target.clone(),
                })
            }))
        }
        Change::Undrain { target } if !is_drained(target) && listed.contains(target) => Ok(None),
        Change::Undrain { target } if !is_drained(target) => Err(vec![format!(
            "no target named {target} is drained or listed by the platform"
        )]),
        Change::Undrain { target } => {
            let drained = head.drained.iter().filter(|t| *t != target);
            Ok(Some(Effect {
                drained: drained.cloned().collect(),
                ..effect(Action::Undrain {
                    target: target.clone(),
                })
            }))
        }
    }
}

fn parse(body: &str) -> Result<Declaration, Vec<String>> {
    Declaration::parse(body).map_err(|e| vec![e.to_string()])
}

fn parse_current(current: &ConfigSnapshot) -> Result<Declaration, Vec<String>> {
    Declaration::parse(&current.body).map_err(|e| {
        vec![format!(
            "this daemon cannot read the declaration in force, version {}: {e}",
            current.head.version
        )]
    })
}

fn find_preset<'a>(declaration: &'a Declaration, name: &str) -> Result<&'a Preset, Vec<String>> {
    declaration.preset(name).ok_or_else(|| {
        let names: Vec<&str> = declaration.presets.iter().map(|p| &*p.name).collect();
        vec![format!(
            "no preset is named {name}; declared are: {}",
            names.join(", ")
        )]
    })
}

fn check_text(what: &str, text: &str) -> Result<(), Vec<String>> {
    let length = text.trim().chars().count();
    if length == 0 || length > MAX_TEXT_LENGTH || text.contains(|c: char| c.is_control()) {
        return Err(vec![format!(
            "{what} is {text:?}; allowed: 1 to {MAX_TEXT_LENGTH} printable characters"
        )]);
    }
    Ok(())
}
