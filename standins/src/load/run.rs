//! Runs the schedule: one thread starts requests at their scheduled times, another collects the
//! results.

use super::{
    arrivals::{Arrival, Route, Schedule, services_of},
    client::Sender,
    options::Options,
    outage::Outages,
    process_usage::{cpu_time, resident_kib},
    report::{ProcessUsage, Step, Timeline},
    response::RequestResult,
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

/// Capacity of the channel to the collector. Senders block when it is full.
const RESULT_CHANNEL_CAPACITY: usize = 65_536;

/// Result of one arrival.
struct Completion {
    arrival: Arrival,
    /// `None` if it was not sent.
    result: Option<RequestResult>,
    /// Time at which it ended, from the start of its step.
    at: Duration,
}

/// Runs all rate steps in order.
///
/// # Errors
/// If a thread cannot be started.
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
    let (tx, rx) = sync_channel(RESULT_CHANNEL_CAPACITY);
    let step = Step::new(options, index);
    let collector_options = options.clone();
    let collector = thread::Builder::new()
        .name("collector".into())
        .spawn(move || collect(&collector_options, step, &rx))?;
    let before = cpu_times(&options.pids);
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
    step.processes = usage_since(&options.pids, &before);
    Ok(step)
}

/// Sends every arrival at its scheduled time. This thread sleeps with the precision of the kernel's
/// timers; tokio's timers would round every arrival up to a whole millisecond.
fn send_all(
    options: &Options,
    runtime: &Runtime,
    sender: &Sender,
    schedule: Schedule,
    tx: &SyncSender<Completion>,
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
                // The send cannot fail: the collector ends only after all senders are dropped.
                let _ = tx.send(Completion {
                    arrival,
                    result: None,
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
    tx: SyncSender<Completion>,
    _permit: OwnedSemaphorePermit,
) {
    let result = Some(sender.send(&arrival).await);
    let at = start.elapsed();
    let _ = tx.send(Completion {
        arrival,
        result,
        at,
    });
}

fn collect(options: &Options, mut step: Step, rx: &Receiver<Completion>) -> Step {
    let services = services_of(options);
    let mut outages = Outages::default();
    let mut timeline = Timeline::default();
    let mut end = Duration::ZERO;
    while let Ok(completion) = rx.recv() {
        let arrival = &completion.arrival;
        let served = completion.result == Some(RequestResult::Answered);
        step.count(arrival, completion.result, completion.at);
        timeline.count(completion.at, served);
        end = end.max(completion.at);
        if arrival.route == Route::Routed
            && services[arrival.service].keyed
            && completion.result.is_some()
        {
            let partition = partition_of(&format!("k{}", arrival.key), options.partitions);
            outages.observe(
                (arrival.service, partition),
                served,
                arrival.due,
                completion.at,
            );
        }
    }
    step.unserved = outages.unserved(end);
    step.timeline = timeline;
    step
}

fn cpu_times(pids: &[u32]) -> Vec<Option<Duration>> {
    pids.iter().map(|pid| cpu_time(*pid)).collect()
}

fn usage_since(pids: &[u32], before: &[Option<Duration>]) -> Vec<ProcessUsage> {
    pids.iter()
        .zip(before)
        .filter_map(|(&pid, before)| {
            Some(ProcessUsage {
                pid,
                processor_s: (cpu_time(pid)?.saturating_sub((*before)?)).as_secs_f64(),
                resident_kib: resident_kib(pid)?,
            })
        })
        .collect()
}
