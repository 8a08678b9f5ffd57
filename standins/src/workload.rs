//! Steady load of many callers while a test injects faults.

use crate::caller::{Attempt, Call, CallResult, Caller, failure_summary};
use fireflygauge::collections::Set;
use http::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

/// Most attempts under one idempotency key.
const MAX_ATTEMPTS: usize = 3;

/// What to request.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The service.
    pub service: &'static str,
    /// Number of keys; each has a caller of its own with one request at a time.
    pub keys: usize,
    /// Time between the starts of a key's requests.
    pub interval: Duration,
    /// Deadline of each request, in milliseconds.
    pub timeout_ms: u64,
    /// Longest service time at the target, in milliseconds.
    pub work_ms: u64,
    /// Whether every third request has an idempotency key, which needs the journal.
    pub journaled: bool,
    /// Seeds the choices of daemon, method and service time.
    pub seed: u64,
}

impl Mix {
    /// 24 keys of the keyed service, a request for each every 25 ms.
    pub fn keyed(seed: u64) -> Self {
        Self {
            service: crate::cluster::KEYED,
            keys: 24,
            interval: Duration::from_millis(25),
            timeout_ms: 300,
            work_ms: 4,
            journaled: true,
            seed,
        }
    }
}

/// The daemons that callers may use, as a load balancer of the platform would choose them.
pub type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

/// Steady requests until stopped.
#[derive(Debug)]
pub struct Workload {
    /// The daemons in use.
    pub balancer: Balancer,
    caller: Caller,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Workload {
    /// Starts requests to the daemons at `entries`.
    pub fn start(mix: &Mix, entries: Vec<SocketAddr>) -> Self {
        let balancer: Balancer = Arc::new(Mutex::new(entries));
        let caller = Caller::new(mix.service);
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for key in 0..mix.keys {
            let one = KeyCaller {
                mix: mix.clone(),
                key: format!("k{key}").into(),
                balancer: Arc::clone(&balancer),
                caller: caller.clone(),
                rng: StdRng::seed_from_u64(mix.seed.wrapping_add(key as u64)),
            };
            tasks.spawn(one.run(stopped.clone()));
        }
        Self {
            balancer,
            caller,
            stop,
            tasks,
        }
    }

    /// Attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.caller.attempts()
    }

    /// Whether every key was answered since `since_us` of the machine's boot-time clock.
    pub fn all_answered_since(&self, since_us: u64, keys: usize) -> bool {
        self.caller.with_attempts(|attempts| {
            // No attempt that was sent since then ended earlier.
            let latest = attempts.iter().rev();
            let ended = latest.take_while(|a| a.done_us >= since_us);
            let answered: Set<&str> = ended
                .filter(|a| a.sent_us >= since_us && a.is_answered())
                .map(|a| &*a.call.key)
                .collect();
            answered.len() == keys
        })
    }

    /// Whether at least `count` attempts were made and the latest `count` were answered.
    pub fn latest_answered(&self, count: usize) -> bool {
        self.caller.with_attempts(|attempts| {
            let mut latest = attempts.iter().rev().take(count);
            attempts.len() >= count && latest.all(Attempt::is_answered)
        })
    }

    /// The latest attempts without success, among the latest `count`; `None` if fewer were made since
    /// `since_us` of the machine's boot-time clock.
    pub fn latest_failures(&self, count: usize, since_us: u64) -> Option<Vec<Attempt>> {
        self.caller.with_attempts(|attempts| {
            let latest = &attempts[attempts.len().checked_sub(count)?..];
            let complete = latest.iter().all(|a| a.sent_us >= since_us);
            complete.then(|| {
                let failures = latest.iter().filter(|a| !a.is_answered());
                failures.cloned().collect()
            })
        })
    }

    /// The caller of all requests.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Summary of the requests without success so far.
    pub fn failure_summary(&self) -> String {
        self.caller.with_attempts(failure_summary)
    }

    /// Attempts since the last success response.
    pub fn unanswered_streak(&self) -> usize {
        self.caller.with_attempts(|attempts| {
            let latest = attempts.iter().rev();
            latest.take_while(|a| !a.is_answered()).count()
        })
    }

    /// Replaces the daemons in use.
    pub fn set_daemons(&self, entries: Vec<SocketAddr>) {
        *self.balancer.lock().expect("no thread panics with it") = entries;
    }

    /// Lets the requests under way end and returns all attempts.
    pub async fn finish(&mut self) -> Vec<Attempt> {
        self.stop.send_replace(true);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("a caller does not panic");
        }
        self.caller.attempts()
    }
}

/// The caller of one key.
struct KeyCaller {
    mix: Mix,
    key: Arc<str>,
    balancer: Balancer,
    caller: Caller,
    rng: StdRng,
}

impl KeyCaller {
    async fn run(mut self, stopped: watch::Receiver<bool>) {
        let mut ticks = interval(self.mix.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut number = 0;
        while !*stopped.borrow() {
            ticks.tick().await;
            number += 1;
            let call = self.next_call(number);
            self.send(&call).await;
        }
    }

    /// Reads, creations and creations under an idempotency key in equal parts.
    fn next_call(&mut self, number: u64) -> Call {
        let method = [Method::GET, Method::POST, Method::POST][number as usize % 3].clone();
        let work_ms = self.rng.random_range(0..=self.mix.work_ms);
        let call = Call::new(method, self.mix.service, &self.key)
            .with_timeout_ms(self.mix.timeout_ms)
            .with_work_ms(work_ms);
        if self.mix.journaled && number % 3 == 2 {
            let name = format!(
                "{}-{}-{}-{number}",
                self.mix.service, self.mix.seed, self.key
            );
            return call.with_idempotency_key(&name);
        }
        call
    }

    /// Sends a request; one with an idempotency key is retried until it is answered.
    async fn send(&mut self, call: &Call) {
        let tries = call.idempotency_key.as_ref().map_or(1, |_| MAX_ATTEMPTS);
        for _ in 0..tries {
            let Some(daemon) = self.choose() else {
                return;
            };
            let attempt = self.caller.send(daemon, call).await;
            if matches!(attempt.result, CallResult::Answered(..)) {
                return;
            }
        }
    }

    fn choose(&mut self) -> Option<SocketAddr> {
        let entries = self.balancer.lock().expect("no thread panics with it");
        let index = self.rng.random_range(0..entries.len().max(1));
        entries.get(index).copied()
    }
}
