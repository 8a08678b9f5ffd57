//! A deployment under steady load, the setup of most failure tests.

use crate::{
    caller::{Attempt, Call, Caller},
    checker::Histories,
    cluster::{Cluster, KEYED, Layout, START_TIMEOUT, UNKEYED, wait_for, wait_until},
    target::history::boottime_us,
    workload::{Mix, Workload},
};
use http::Method;
use std::time::Duration;

/// Environment variable that replaces the seed of every scenario.
pub const SEED: &str = "FIREFLYGAUGE_TEST_SEED";
/// Time for a deployment to serve every key again after a fault was lifted.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Deadline of the requests that show that a daemon serves. It is well below the time to wait for
/// that, and long enough for a busy machine.
const READY_TIMEOUT_MS: u64 = 10_000;

/// The seed given by [`SEED`], or else `default`; printed so that a run can be reproduced.
pub fn seed(default: u64) -> u64 {
    let given = std::env::var(SEED).ok().and_then(|text| text.parse().ok());
    let seed = given.unwrap_or(default);
    println!("{SEED}={seed}");
    seed
}

/// A deployment under steady requests.
#[derive(Debug)]
pub struct Scenario {
    /// The deployment.
    pub cluster: Cluster,
    /// The requests.
    pub load: Workload,
    /// A caller for single requests.
    pub caller: Caller,
    keys: usize,
}

impl Scenario {
    /// Starts a deployment and requests, and waits until every key is served by every daemon.
    ///
    /// # Panics
    /// If the deployment cannot be started.
    pub async fn start(layout: Layout, mix: Mix) -> Self {
        let cluster = Cluster::start(layout).await.expect("the deployment starts");
        let scenario = Self {
            load: Workload::start(&mix, Vec::new()),
            caller: Caller::new("single"),
            cluster,
            keys: mix.keys,
        };
        scenario.ready().await;
        scenario.load.set_daemons(scenario.cluster.caller_addrs());
        scenario.wait_until_served(START_TIMEOUT).await;
        scenario
    }

    /// Starts a deployment without steady requests and waits until every daemon serves.
    ///
    /// # Panics
    /// If the deployment cannot be started.
    pub async fn start_idle(layout: Layout) -> Self {
        let idle = Mix {
            keys: 0,
            ..Mix::keyed(0)
        };
        Self::start(layout, idle).await
    }

    /// Waits until the controller has standbys and every daemon answers requests of both services.
    async fn ready(&self) {
        let standbys = || self.cluster.has_standbys();
        wait_until("the controller has standbys", START_TIMEOUT, standbys).await;
        for daemon in 0..self.cluster.daemons.len() {
            self.wait_until_daemon_ready(daemon).await;
        }
    }

    /// Waits until a daemon answers requests of both services.
    ///
    /// # Panics
    /// If it does not in time.
    pub async fn wait_until_daemon_ready(&self, daemon: usize) {
        for service in [KEYED, UNKEYED] {
            let call = Call::new(Method::GET, service, "ready").with_timeout_ms(READY_TIMEOUT_MS);
            wait_for("a daemon serves", START_TIMEOUT, || async {
                let attempt = self.send(daemon, &call).await;
                attempt.is_answered().then_some(())
            })
            .await;
        }
    }

    /// Sends a single request to a daemon.
    pub async fn send(&self, daemon: usize, call: &Call) -> Attempt {
        let addr = self.cluster.daemons[daemon].caller_addr();
        self.caller.send(addr, call).await
    }

    /// Waits until every key was answered after this call; returns the time that took.
    ///
    /// # Panics
    /// If that takes longer than `limit`.
    pub async fn wait_until_served(&self, limit: Duration) -> Duration {
        let since = boottime_us();
        let served = || self.load.all_answered_since(since, self.keys);
        wait_until("every key is served", limit, served).await;
        Duration::from_micros(boottime_us() - since)
    }

    /// Waits for this long while the requests go on.
    pub async fn run_for(&self, time: Duration) {
        let end = boottime_us() + time.as_micros() as u64;
        wait_until("a fault lasts", time * 2, || boottime_us() >= end).await;
    }

    /// Histories recorded so far.
    pub fn histories(&self) -> Histories {
        let mut attempts = self.load.attempts();
        attempts.extend(self.caller.attempts());
        Histories {
            executions: self.cluster.executions(),
            attempts,
            assignments: self.cluster.platform.revisions(&format!("assign/{KEYED}/")),
        }
    }

    /// Waits until every key is served, stops the requests and checks the histories.
    ///
    /// # Panics
    /// With every violation if a guarantee was broken, or if a process ended by itself.
    pub async fn finish(mut self) -> Histories {
        self.wait_until_served(RECOVERY_TIMEOUT).await;
        let crashed = self.cluster.crashed();
        assert!(crashed.is_empty(), "ended by themselves: {crashed:?}");
        self.load.finish().await;
        let histories = self.histories();
        print_figures(&histories);
        histories.assert_no_violations();
        histories
    }
}

fn print_figures(histories: &Histories) {
    let gap = histories.longest_gap(0);
    println!(
        "{}: requests by outcome: {:?}; changes of owner seen: {}; longest unserved: {} ms, {:?}",
        std::thread::current().name().unwrap_or_default(),
        histories.outcomes(),
        histories.moves(),
        gap.ms(),
        histories.outcomes_during(&gap),
    );
}
