//! Carries out the schedule: one thread sends on time, one collects what became of requests.

use super::{
    arrivals::{Arrival, Route, Schedule, services_of},
    client::Sender,
    options::Options,
    outage::Outages,
    processor::{processor_time, resident_kib},
    report::{ProcessUse, Step, Timeline},
    verdict::Verdict,
};
use fireflygauge::partition::partition_of;
use std::{
    sync::{
        Arc,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// Results waiting for the collector. Senders wait when it is full.
const RING_LENGTH: usize = 65_536;

/// What became of one arrival.
struct Ended {
    arrival: Arrival,
    /// `None` if it was not sent.
    verdict: Option<Verdict>,
    /// When it ended, counted from the start of its step.
    at: Duration,
}

/// Runs all rate steps.
///
/// # Errors
/// If the system does not start a thread.
pub fn run(options: &Options) -> std::io::Result<Vec<Step>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(options.workers)
        .enable_all()
        .build()?;
    let sender = Sender::new(options, services_of(options));
    let mut steps = Vec::new();
    let mut first = 0;
    for index in 0..options.rate.len() {
        if index > 0 {
            thread::sleep(Duration::from_secs_f64(options.pause_s));
        }
        let step = run_step(options, &runtime, &sender, index, first)?;
        first += step.due();
        steps.push(step);
    }
    Ok(steps)
}

fn run_step(
    options: &Options,
    runtime: &Runtime,
    sender: &Sender,
    index: usize,
    first: u64,
) -> std::io::Result<Step> {
    let (tx, rx) = sync_channel(RING_LENGTH);
    let step = Step::new(options, index);
    let collector_options = options.clone();
    let collector = thread::Builder::new()
        .name("collector".into())
        .spawn(move || collect(&collector_options, step, &rx))?;
    let before = use_of(&options.pids);
    let start = Instant::now();
    send_all(
        options,
        runtime,
        sender,
        Schedule::new(options, index, first),
        &tx,
    );
    drop(tx);
    let mut step = collector.join().expect("the collector does not panic");
    step.elapsed_s = start.elapsed().as_secs_f64();
    step.processes = use_between(&options.pids, &before);
    Ok(step)
}

/// Sends every arrival when it is due. This thread sleeps with the precision of the kernel's
/// timers; the timers of tokio would round every arrival up to a whole millisecond.
fn send_all(
    options: &Options,
    runtime: &Runtime,
    sender: &Sender,
    schedule: Schedule,
    tx: &SyncSender<Ended>,
) {
    let permits = Arc::new(Semaphore::new(options.max_in_flight));
    let start = Instant::now();
    for arrival in schedule {
        let wait = arrival.due.saturating_sub(start.elapsed());
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => {
                runtime.spawn(send_one(sender.clone(), arrival, start, tx.clone(), permit));
            }
            Err(_) => {
                let at = start.elapsed();
                // The collector only ends once every sender is gone.
                let _ = tx.send(Ended {
                    arrival,
                    verdict: None,
                    at,
                });
            }
        }
    }
}

async fn send_one(
    sender: Sender,
    arrival: Arrival,
    start: Instant,
    tx: SyncSender<Ended>,
    _permit: OwnedSemaphorePermit,
) {
    let verdict = Some(sender.send(&arrival).await);
    let at = start.elapsed();
    let _ = tx.send(Ended {
        arrival,
        verdict,
        at,
    });
}

fn collect(options: &Options, mut step: Step, rx: &Receiver<Ended>) -> Step {
    let services = services_of(options);
    let mut outages = Outages::default();
    let mut timeline = Timeline::default();
    let mut end = Duration::ZERO;
    while let Ok(ended) = rx.recv() {
        let arrival = &ended.arrival;
        let served = ended.verdict == Some(Verdict::Answered);
        step.count(arrival, ended.verdict, ended.at);
        timeline.count(ended.at, served);
        end = end.max(ended.at);
        if arrival.route == Route::Routed
            && services[arrival.service].keyed
            && ended.verdict.is_some()
        {
            let partition = partition_of(&format!("k{}", arrival.key), options.partitions);
            outages.observe((arrival.service, partition), served, arrival.due, ended.at);
        }
    }
    step.unserved = outages.unserved(end);
    step.timeline = timeline;
    step
}

fn use_of(pids: &[u32]) -> Vec<Option<Duration>> {
    pids.iter().map(|pid| processor_time(*pid)).collect()
}

fn use_between(pids: &[u32], before: &[Option<Duration>]) -> Vec<ProcessUse> {
    pids.iter()
        .zip(before)
        .filter_map(|(&pid, before)| {
            Some(ProcessUse {
                pid,
                processor_s: (processor_time(pid)?.saturating_sub((*before)?)).as_secs_f64(),
                resident_kib: resident_kib(pid)?,
            })
        })
        .collect()
}
