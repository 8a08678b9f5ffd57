//! Measures how long keys stay unserved after a loss.

use crate::{
    caller::{Attempt, CallResult},
    cluster::{KEYED, Layout, START_TIMEOUT, wait_for, wait_until},
    processor_wait::ProcessorWait,
    scenario::Scenario,
    target::history::boottime_us,
    workload::Mix,
};
use fireflygauge::routing::refusal::Code;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest time for a key to be served again after a loss (`docs/design.md`, target size).
pub const BOUND: Duration = Duration::from_secs(2);

/// What is lost without notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Loss {
    /// A target of the keyed service, by a kill.
    Target,
    /// The controller, by a kill.
    Controller,
    /// The controller, suspended for good.
    #[strum(serialize = "frozen-controller")]
    SuspendedController,
}

/// Time after a loss during which gaps count: takeover, leases and retries end well within it.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(3);

/// Attempts in a row that a steady deployment answers.
const STEADY_ATTEMPTS: usize = 500;
/// Time between checks of the latest attempts.
const STEADY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a deployment, loses something and returns the longest time between two responses for one
/// key from then on. The histories are checked as well.
pub async fn measure(loss: Loss, seed: u64) -> Duration {
    let mix = Mix {
        timeout_ms: 100,
        work_ms: 0,
        ..Mix::keyed(seed)
    };
    let mut scenario = Scenario::start(Layout::default(), mix).await;
    wait_until_steady(&scenario).await;
    let lost_us = scenario.lose(loss);
    let end_us = lost_us + MEASUREMENT_WINDOW.as_micros() as u64;
    wait_until("the window ends", START_TIMEOUT, || boottime_us() >= end_us).await;
    let histories = scenario.finish().await;
    let gap = histories.longest_gap(lost_us);
    println!(
        "{loss}: {} ms, {:?}",
        gap.ms(),
        histories.outcomes_during(&gap)
    );
    Duration::from_millis(gap.ms())
}

/// Waits until the start is over: every partition has an owner, none is being moved, and every key was
/// answered since. From then on the latest [`STEADY_ATTEMPTS`] attempts must have been answered,
/// apart from those that were late because threads waited for a processor.
async fn wait_until_steady(scenario: &Scenario) {
    let waits = ProcessorWait::start(scenario.cluster.process_ids());
    let settled = || async {
        let settled_us = boottime_us();
        let settled =
            scenario.cluster.is_assigned() && scenario.cluster.moves_pending().await == Some(0);
        settled.then_some(settled_us)
    };
    let settled_us = wait_for("every partition is settled", START_TIMEOUT, settled).await;
    scenario.wait_until_served(START_TIMEOUT).await;
    let end = Instant::now() + START_TIMEOUT;
    loop {
        let failures = scenario.load.latest_failures(STEADY_ATTEMPTS, settled_us);
        let unexplained = failures.map(|mut failures| {
            failures.retain(|a| !is_late_for_load(a, &waits));
            failures
        });
        if unexplained.as_ref().is_some_and(Vec::is_empty) {
            break;
        }
        assert!(
            Instant::now() < end,
            "the deployment is not steady within {START_TIMEOUT:?}: {}\nunexplained: {unexplained:?}",
            scenario.load.failure_summary()
        );
        sleep(STEADY_CHECK_INTERVAL).await;
    }
    println!("requests until steady: {}", scenario.load.failure_summary());
}

/// Whether an attempt failed for lack of time while threads waited for a processor: its result took
/// half of its time limit or more, or said that too little time was left.
fn is_late_for_load(attempt: &Attempt, waits: &ProcessorWait) -> bool {
    let deadline = Duration::from_millis(attempt.call.timeout_ms);
    let took = Duration::from_micros(attempt.done_us - attempt.sent_us);
    let late = match &attempt.result {
        CallResult::NotRun(_, refusal) if *refusal.code == *<&str>::from(Code::TooLate) => true,
        CallResult::NotRun(..) | CallResult::Unknown(..) | CallResult::Incomplete(_) => {
            took >= deadline / 2
        }
        _ => false,
    };
    late && waits.between(attempt.sent_us, attempt.done_us) > deadline / 2
}

impl Scenario {
    /// Causes the loss without notice; returns its time, on the machine's boot-time clock.
    fn lose(&mut self, loss: Loss) -> u64 {
        let now = boottime_us();
        match loss {
            Loss::Target => {
                let target = self.cluster.targets_of(KEYED)[0];
                self.cluster.targets[target].child.kill();
            }
            Loss::Controller | Loss::SuspendedController => {
                let controller = self.cluster.controller().expect("there is a controller");
                let lost = &mut self.cluster.daemons[controller];
                let address = lost.caller_addr();
                if loss == Loss::Controller {
                    lost.kill();
                } else {
                    lost.suspend();
                }
                let mut entries = self.cluster.caller_addrs();
                entries.retain(|entry| *entry != address);
                self.load.set_daemons(entries);
            }
        }
        now
    }
}
