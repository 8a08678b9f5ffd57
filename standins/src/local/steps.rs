//! Steps of the demonstration and their expected results.

use super::{Demonstration, StepResult};
use crate::{
    caller::{Attempt, Call, CallResult},
    checker::Histories,
    cluster::wait_for,
};
use fireflygauge::{
    config::{Change, ChangeOutcome},
    operator::{client::OperatorClient, report::PresetReport},
    world::{Contract, VmRole},
};
use http::Method;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of keys requested in each round.
const KEYS: usize = 30;
/// Time limit for keys to be served again after a target is lost.
const MAX_RECOVERY: Duration = Duration::from_secs(2);
/// Time limit for a configuration change to be in force in all daemons.
const MAX_ACTIVATION: Duration = Duration::from_secs(11);
/// Time after which a wait is aborted.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

impl Demonstration {
    /// Runs all steps in order.
    pub(super) async fn run_steps(&mut self) -> Vec<StepResult> {
        let mut steps = Vec::new();
        for contract in self.declaration.services.clone() {
            steps.push(self.send_requests(&contract).await);
        }
        let Some(keyed) = self.declaration.services.iter().find(|s| s.keyed).cloned() else {
            return steps;
        };
        steps.push(self.repeated_creation(&keyed).await);
        steps.push(self.preset_switch().await);
        steps.push(self.lost_target(&keyed).await);
        steps.push(self.check_histories());
        steps
    }

    fn entry(&self, number: usize) -> SocketAddr {
        self.daemons[number % self.daemons.len()].caller_addr()
    }

    async fn send_requests(&self, contract: &Contract) -> StepResult {
        let mut answered = 0;
        for number in 0..KEYS {
            let method = [Method::GET, Method::POST][number % 2].clone();
            let call = Call::new(method, &contract.name.0, &format!("k{number}"));
            answered += usize::from(
                self.caller
                    .send(self.entry(number), &call)
                    .await
                    .is_answered(),
            );
        }
        let kind = if contract.keyed { "by key" } else { "to any" };
        StepResult {
            action: format!("{KEYS} requests for {}, {kind}", contract.name),
            observed: format!("{answered} answered"),
            passed: answered == KEYS,
        }
    }

    /// Sends a creation with an idempotency key, and repeats it through another daemon.
    async fn repeated_creation(&self, contract: &Contract) -> StepResult {
        let call = Call::new(Method::POST, &contract.name.0, "k1")
            .with_idempotency_key("local-repetition");
        let first = self.caller.send(self.entry(0), &call).await;
        let second = self.caller.send(self.entry(1), &call).await;
        let token = |attempt: &Attempt| match &attempt.result {
            CallResult::Answered(_, answer) => Some(answer.token.clone()),
            _ => None,
        };
        let same = token(&first).is_some() && token(&first) == token(&second);
        StepResult {
            action: "a creation, repeated under its idempotency key".into(),
            observed: if same {
                "the same response twice"
            } else {
                "different responses"
            }
            .into(),
            passed: same,
        }
    }

    /// Puts the last preset in force through one daemon and reads it from all of them.
    async fn preset_switch(&self) -> StepResult {
        let preset = &self.declaration.presets[self.declaration.presets.len() - 1].name;
        let change = Change::UsePreset {
            preset: Arc::clone(preset),
        };
        let start = Instant::now();
        let outcome = self.change(1, change).await;
        let committed = matches!(outcome, Ok(ChangeOutcome::Committed { .. }));
        for daemon in (0..self.daemons.len()).filter(|_| committed) {
            wait_for("the preset is in force", WAIT_LIMIT, || async {
                let report: PresetReport = self.operator(daemon).get("/presets").await.ok()?;
                (report.in_force == *preset).then_some(())
            })
            .await;
        }
        let took = start.elapsed().as_millis();
        StepResult {
            action: format!("an operator puts preset {preset} in force"),
            observed: match committed {
                true => format!("in force in all daemons after {took} ms"),
                false => format!("{outcome:?}"),
            },
            passed: committed && start.elapsed() <= MAX_ACTIVATION,
        }
    }

    fn operator(&self, daemon: usize) -> OperatorClient {
        OperatorClient::new(vec![self.daemons[daemon].operator_addr()])
    }

    /// Stops a target without notice and waits until its keys are served again.
    async fn lost_target(&mut self, contract: &Contract) -> StepResult {
        let owner = self.targets.iter().position(|t| match &t.vm().role {
            VmRole::Target { service } => *service == contract.name,
            VmRole::Entry { .. } => false,
        });
        let lost = self.targets.remove(owner.expect("the service has targets"));
        let executions = lost.executions();
        drop(lost);
        let start = Instant::now();
        wait_for(
            "the keys of the lost target are served",
            WAIT_LIMIT,
            || async {
                for number in 0..KEYS {
                    let key = format!("k{number}");
                    let call = Call::new(Method::GET, &contract.name.0, &key).with_timeout_ms(200);
                    if !self
                        .caller
                        .send(self.entry(number), &call)
                        .await
                        .is_answered()
                    {
                        return None;
                    }
                }
                Some(())
            },
        )
        .await;
        let took = start.elapsed();
        self.lost_executions = executions;
        StepResult {
            action: "a target is lost without notice".into(),
            observed: format!("all keys served again after {} ms", took.as_millis()),
            passed: took <= MAX_RECOVERY,
        }
    }

    fn check_histories(&self) -> StepResult {
        let mut executions = self.lost_executions.clone();
        executions.extend(self.targets.iter().flat_map(|t| t.executions()));
        let histories = Histories {
            executions,
            attempts: self.caller.attempts(),
            assignments: self.platform.revisions("assign/"),
        };
        let violations = histories.violations();
        for violation in &violations {
            eprintln!("{violation}");
        }
        StepResult {
            action: "histories of callers and targets compared".into(),
            observed: format!(
                "{} requests, {} executions, {} violations",
                histories.attempts.len(),
                histories.executions.len(),
                violations.len()
            ),
            passed: violations.is_empty(),
        }
    }
}
