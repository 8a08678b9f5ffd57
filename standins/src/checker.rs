//! Checks the guarantees against the recorded histories of targets and callers.

use crate::{
    caller::{Attempt, CallResult},
    target::Execution,
};
use fireflygauge::{
    collections::{Map, Set},
    ownership::{row::AssignmentRow, timing::PARTITIONS_PER_ROW},
    store::Row,
    table::Owner,
    world::VmName,
};
use http::Method;
use std::sync::Arc;

/// What callers and targets saw in one run.
#[derive(Clone, Debug, Default)]
pub struct Histories {
    /// Executions of all targets.
    pub executions: Vec<Execution>,
    /// Every revision of the assignment rows of the keyed service.
    pub assignments: Vec<Row>,
    /// Requests of all callers.
    pub attempts: Vec<Attempt>,
}

/// Time between two responses for one key, on the machine's boot-time clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gap {
    /// The key.
    pub key: Arc<str>,
    /// When the response before it was complete, in microseconds.
    pub from_us: u64,
    /// When the response after it was complete, in microseconds.
    pub to_us: u64,
}

impl Gap {
    /// Its length, in milliseconds.
    pub fn ms(&self) -> u64 {
        (self.to_us - self.from_us) / 1_000
    }
}

impl Histories {
    /// All violations of the guarantees; empty if all of them hold.
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.owners();
        all.extend(self.answers());
        all.extend(self.refusals());
        all.extend(self.repetitions());
        all.extend(self.assigned());
        all
    }

    /// # Panics
    /// With every violation if there is one.
    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }

    /// One owner: the executions of a partition that took effect follow each other without overlap
    /// wherever the owner changes, ownership epochs never fall, and an epoch has one target.
    pub fn owners(&self) -> Vec<String> {
        let mut partitions: Map<(&str, u32), Vec<&Execution>> = Map::default();
        for execution in self.executions.iter().filter(|e| e.effect) {
            if let Some(partition) = execution.partition {
                // Targets are named after their service.
                let service = execution.target.0.rsplit_once('-').map_or("", |(s, _)| s);
                let runs = partitions.entry((service, partition)).or_default();
                runs.push(execution);
            }
        }
        partitions.values_mut().flat_map(one_owner).collect()
    }

    /// Complete and matching responses: a response carries its own request's token, key and whole padding, and was
    /// made by an execution that took effect. A retry under an idempotency key may carry the
    /// token of an earlier attempt under that key.
    pub fn answers(&self) -> Vec<String> {
        let ran: Set<&str> = self.effects().map(|e| &*e.token).collect();
        let mut marks: Map<&Arc<str>, Set<&str>> = Map::default();
        for attempt in &self.attempts {
            if let Some(key) = &attempt.call.idempotency_key {
                marks.entry(key).or_default().insert(&attempt.token);
            }
        }
        let wrong = |attempt: &&Attempt| match &attempt.result {
            CallResult::Malformed(_) => true,
            CallResult::Answered(_, answer) => {
                let key = attempt.call.idempotency_key.as_ref();
                let repeated = key
                    .and_then(|key| marks.get(key))
                    .is_some_and(|marks| marks.contains(&*answer.token));
                let own = answer.token == attempt.token || repeated;
                let whole = answer.padding.len() == attempt.call.answer_bytes;
                !(own && whole && answer.key == attempt.call.key && ran.contains(&*answer.token))
            }
            _ => false,
        };
        let wrong = self.attempts.iter().filter(wrong);
        wrong.map(|a| format!("wrong answer: {a:?}")).collect()
    }

    /// Not-run means not run: no execution of a request refused as not-run took effect.
    pub fn refusals(&self) -> Vec<String> {
        let ran: Set<&str> = self.effects().map(|e| &*e.token).collect();
        let denied = |attempt: &&Attempt| {
            matches!(attempt.result, CallResult::NotRun(..) | CallResult::NotSent)
                && ran.contains(&*attempt.token)
        };
        let denied = self.attempts.iter().filter(denied);
        denied
            .map(|a| format!("ran in spite of its refusal: {a:?}"))
            .collect()
    }

    /// At most once: a non-idempotent request took effect once at most, over all attempts with its
    /// idempotency key.
    pub fn repetitions(&self) -> Vec<String> {
        let mut counts: Map<String, Vec<&Execution>> = Map::default();
        for execution in self
            .effects()
            .filter(|e| e.method.as_ref() == Method::POST.as_str())
        {
            let name = match &execution.idempotency_key {
                Some(key) => format!("idempotency key {key}"),
                None => format!("request {}", execution.token),
            };
            counts.entry(name).or_default().push(execution);
        }
        counts.retain(|_, executions| executions.len() > 1);
        counts
            .iter()
            .map(|(name, executions)| format!("{name} ran more than once: {executions:?}"))
            .collect()
    }

    /// Acknowledged assignments: written ownership epochs never fall, every change of owner raises
    /// them, and nothing takes effect under an owner and epoch that were not written.
    pub fn assigned(&self) -> Vec<String> {
        let mut latest: Map<u32, Owner> = Map::default();
        let mut written: Set<(u32, VmName, u64)> = Set::default();
        let mut wrong = Vec::new();
        for (partition, owner) in self.assignments.iter().flat_map(assigned_owners) {
            if let Some(before) = latest.get(&partition)
                && (owner.epoch < before.epoch
                    || (owner.epoch == before.epoch && owner.target != before.target))
            {
                wrong.push(format!(
                    "partition {partition}: {owner:?} replaces {before:?}"
                ));
            }
            written.insert((partition, owner.target.clone(), owner.epoch));
            latest.insert(partition, owner);
        }
        for run in self.effects() {
            if let (Some(partition), Some(epoch)) = (run.partition, run.epoch)
                && !written.contains(&(partition, run.target.clone(), epoch))
            {
                wrong.push(format!(
                    "ran under an assignment that was not written: {run:?}"
                ));
            }
        }
        wrong
    }

    /// An attempt and its executions, with times from its start, for messages of failed tests.
    pub fn course(&self, attempt: &Attempt) -> String {
        let ms = |at_us: u64| at_us.saturating_sub(attempt.sent_us) / 1_000;
        let executions = self.executions.iter().filter(|e| e.token == attempt.token);
        let executions: Vec<String> = executions
            .map(|e| {
                let (start, end) = (ms(e.start_us), ms(e.end_us));
                format!(
                    "{} from {start} to {end} ms, effect: {}",
                    e.target, e.effect
                )
            })
            .collect();
        let sent = attempt.sent_us / 1_000;
        format!(
            "key {}, {} at {sent} ms, idempotency key {:?}, result after {} ms by {}: {:?}; ran on {executions:?}",
            attempt.call.key,
            attempt.call.method,
            attempt.call.idempotency_key,
            ms(attempt.done_us),
            attempt.daemon,
            attempt.result
        )
    }

    /// Attempts by outcome.
    pub fn outcomes(&self) -> Map<&'static str, usize> {
        let mut counts = Map::default();
        for attempt in &self.attempts {
            let name = match attempt.result {
                CallResult::Answered(..) => "answered",
                CallResult::NotRun(..) => "not-run",
                CallResult::Unknown(..) => "unknown",
                CallResult::NotSent => "not-sent",
                CallResult::Incomplete(_) => "broken",
                CallResult::Malformed(_) => "malformed",
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// The longest time between two responses for one key that ended after `since_us`; a key that
    /// is still waiting for a response counts until its latest attempt.
    pub fn longest_gap(&self, since_us: u64) -> Gap {
        let mut last: Map<&Arc<str>, u64> = Map::default();
        let mut longest = Gap::default();
        let mut attempts: Vec<&Attempt> = self.attempts.iter().collect();
        attempts.sort_by_key(|a| a.done_us);
        for attempt in attempts {
            let to_us = attempt.done_us;
            let from_us = last.get(&attempt.call.key).copied().unwrap_or(to_us);
            if attempt.is_answered() {
                last.insert(&attempt.call.key, to_us);
            }
            if to_us >= since_us && to_us - from_us > longest.to_us - longest.from_us {
                longest = Gap {
                    key: Arc::clone(&attempt.call.key),
                    from_us,
                    to_us,
                };
            }
        }
        longest
    }

    /// Results of the requests for the key that ended within the gap, with counts.
    pub fn outcomes_during(&self, gap: &Gap) -> Map<String, usize> {
        let mut counts = Map::default();
        for attempt in &self.attempts {
            if attempt.call.key == gap.key
                && gap.from_us < attempt.done_us
                && attempt.done_us < gap.to_us
            {
                let reason = match &attempt.result {
                    CallResult::NotRun(_, refusal) => format!("not-run: {}", refusal.code),
                    CallResult::Unknown(_, refusal) => format!("unknown: {}", refusal.code),
                    other => format!("{other:?}"),
                };
                *counts.entry(reason).or_default() += 1;
            }
        }
        counts
    }

    /// Partitions that more than one target ran requests for, one count for each change.
    pub fn moves(&self) -> usize {
        let mut epochs: Map<u32, Set<u64>> = Map::default();
        for execution in self.effects() {
            if let (Some(partition), Some(epoch)) = (execution.partition, execution.epoch) {
                epochs.entry(partition).or_default().insert(epoch);
            }
        }
        epochs.values().map(|epochs| epochs.len() - 1).sum()
    }

    fn effects(&self) -> impl Iterator<Item = &Execution> {
        self.executions.iter().filter(|e| e.effect)
    }
}

/// Partition and owner of each assignment in a row of the table service.
///
/// # Panics
/// If the row is not an assignment row.
pub fn assigned_owners(row: &Row) -> Vec<(u32, Owner)> {
    let index: usize = row
        .name
        .rsplit_once('/')
        .map_or(0, |(_, i)| i.parse().unwrap_or(0));
    let content: AssignmentRow = serde_json::from_str(&row.value).expect("the row is readable");
    let first = index as u32 * PARTITIONS_PER_ROW;
    let owners = (first..).zip(content.owners());
    owners
        .filter_map(|(partition, owner)| Some((partition, owner?)))
        .collect()
}

fn one_owner(runs: &mut Vec<&Execution>) -> Vec<String> {
    runs.sort_by_key(|e| (e.epoch, e.end_us));
    let mut wrong = Vec::new();
    // The execution that ended last under the lower epochs, and under the present one.
    let (mut lower, mut present): (Option<&Execution>, Option<&Execution>) = (None, None);
    for &run in &*runs {
        match present {
            Some(other) if other.epoch == run.epoch && other.target != run.target => {
                wrong.push(format!("two owners in one epoch: {other:?} and {run:?}"));
            }
            Some(other) if other.epoch != run.epoch => {
                lower = lower.into_iter().chain(present).max_by_key(|e| e.end_us);
            }
            _ => {}
        }
        present = Some(run);
        if let Some(lower) = lower.filter(|lower| run.start_us < lower.end_us) {
            wrong.push(format!("two owners: {lower:?} overlaps {run:?}"));
        }
    }
    wrong
}
