//! A deployment under steady requests: what most failure tests start from.

use crate::{
    cluster::{Cluster, Layout, START_TIME, wait_until},
    judge::Histories,
    target::history::machine_us,
    workload::{Mix, Workload},
};
use std::{io, time::Duration};

/// Environment variable that replaces the seed of every scenario.
pub const SEED: &str = "FIREFLYGAUGE_TEST_SEED";
/// Time for a deployment to serve every key again after a fault was lifted.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// The seed given by [`SEED`], or else `default`; printed for repetition.
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
    keys: usize,
}

impl Scenario {
    /// Starts a deployment and requests, and waits until every key is served.
    ///
    /// # Errors
    /// The system's error if the deployment cannot be started.
    pub async fn start(layout: Layout, mix: Mix) -> io::Result<Self> {
        let cluster = Cluster::start(layout).await?;
        let load = Workload::start(&mix, cluster.entries());
        let scenario = Self {
            cluster,
            load,
            keys: mix.keys,
        };
        scenario.served(START_TIME).await;
        Ok(scenario)
    }

    /// Waits until every key was answered after this call; returns the time that took.
    ///
    /// # Panics
    /// If that takes longer than `limit`.
    pub async fn served(&self, limit: Duration) -> Duration {
        let since = machine_us();
        let served = || self.load.all_answered_since(since, self.keys);
        wait_until("every key is served", limit, served).await;
        Duration::from_micros(machine_us() - since)
    }

    /// Waits until every key is served, ends the requests and judges the histories.
    ///
    /// # Panics
    /// With every violation if a guarantee was broken.
    pub async fn finish(mut self) -> Histories {
        self.served(SETTLE_TIME).await;
        let crashed = self.cluster.crashed();
        assert!(crashed.is_empty(), "ended by themselves: {crashed:?}");
        let attempts = self.load.finish().await;
        let histories = Histories {
            executions: self.cluster.executions(),
            attempts,
        };
        let gap = histories.longest_gap(0);
        println!(
            "{}: requests by outcome: {:?}; changes of owner seen: {}; longest unserved: {} ms, {:?}",
            std::thread::current().name().unwrap_or_default(),
            histories.outcomes(),
            histories.moves(),
            gap.ms(),
            histories.reasons(&gap),
        );
        histories.assert_kept();
        histories
    }
}
