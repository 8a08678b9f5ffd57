//! Probes the health of the endpoints of services that are not keyed.

use super::targets::{TargetState, Targets};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    entry::{directory::Directory, snapshot::Snapshot},
    http_client::HttpClient,
    target_api::{HEALTH_PATH, HealthReport},
    world::TargetKey,
};
use bytes::Bytes;
use http::Method;
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Minimum interval between probes of a target by one daemon.
const MIN_INTERVAL: Millis = Millis(1_000);
/// Interval between probes of a target, per daemon: a probe takes the target about 5 ms, and the
/// probes of all daemons together may take a tenth of one slot.
const INTERVAL_PER_DAEMON: Millis = Millis(50);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for due probes.
const TICK: Duration = Duration::from_millis(100);
/// Largest relative deviation from the interval in both directions, so that daemons do not probe at
/// the same time.
const JITTER: f64 = 0.3;

/// Starts the prober's thread, which ends when `stop` becomes true.
///
/// # Errors
/// If the runtime or the thread cannot be started.
pub fn start(
    directory: Directory,
    targets: Arc<Targets>,
    clock: Clock,
    stop: watch::Receiver<bool>,
) -> io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let prober = Prober {
        directory,
        targets,
        clock,
        http: HttpClient::new(),
        due: Map::default(),
    };
    thread::Builder::new()
        .name("prober".into())
        .spawn(move || runtime.block_on(prober.run(stop)))
}

struct Prober {
    directory: Directory,
    targets: Arc<Targets>,
    clock: Clock,
    http: HttpClient,
    due: Map<TargetKey, Millis>,
}

impl Prober {
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let snapshot = self.directory.snapshot().load_full();
            self.targets.refresh(&snapshot);
            self.due
                .retain(|key, _| snapshot.targets.contains_key(*key));
            self.probe_due(&snapshot);
            tokio::select! {
                () = sleep(TICK) => {}
                _ = stop.wait_for(|&stop| stop) => return,
            }
        }
    }

    fn probe_due(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let interval = interval(snapshot.members.len());
        for view in snapshot.services.values().filter(|v| !v.contract.keyed) {
            for &key in &view.targets {
                let Some(target) = snapshot.targets.get(key) else {
                    continue;
                };
                let due = *self.due.entry(key).or_insert(now);
                if now < due {
                    continue;
                }
                self.due
                    .insert(key, now + jittered(interval, rand::random()));
                let state = self.targets.state(key, target, &view.contract);
                tokio::spawn(probe(self.http.clone(), target.addr, state, self.clock));
            }
        }
    }
}

/// Interval between probes of a target by one daemon, before jitter.
pub fn interval(other_daemons: usize) -> Millis {
    MIN_INTERVAL.max(Millis(INTERVAL_PER_DAEMON.0 * (other_daemons as u64 + 1)))
}

/// `interval` with jitter, for `random` from 0.0 to 1.0.
pub fn jittered(interval: Millis, random: f64) -> Millis {
    let factor = 1.0 - JITTER + 2.0 * JITTER * random;
    Millis((interval.0 as f64 * factor) as u64)
}

async fn probe(http: HttpClient, addr: SocketAddr, state: Arc<TargetState>, clock: Clock) {
    let response = http
        .send(Method::GET, addr, HEALTH_PATH, Bytes::new(), PROBE_TIMEOUT)
        .await;
    let mut health = state.lock_health();
    match response {
        Ok((_, body)) => {
            // A response without a valid report still shows that the target is alive.
            if let Ok(report) = serde_json::from_slice::<HealthReport>(&body) {
                health.record_report(report, clock.now());
            }
        }
        Err(_) => health.record_failure(clock.now()),
    }
}
