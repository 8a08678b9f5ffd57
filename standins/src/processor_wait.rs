//! Time that threads waited for a processor, which tells a slow response from a busy machine.
//!
//! The kernel counts for each thread the time during which it was ready to run but another thread
//! had the processor (second field of `/proc/{pid}/task/{tid}/schedstat`, in nanoseconds). A thread
//! that waits for a lock, a timer or a message is not counted, so a program that is slow by itself
//! has no such time on an idle machine.

use crate::target::history::boottime_us;
use fireflygauge::collections::{Map, Set};
use std::{
    fs,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};

/// Threads that a request passes one after the other: of its caller, of the links and the platform,
/// of the daemon and of the target.
const THREADS_PASSED: usize = 4;
/// Time between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(50);

/// Wait time so far of each thread of some processes, by process id and thread id.
type Reading = Map<(u32, u32), Duration>;

/// Readings with their times on the machine's boot-time clock, in microseconds.
type Readings = Vec<(u64, Reading)>;

/// Records the wait times of processes from its start until it is dropped.
#[derive(Debug)]
pub struct ProcessorWait {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    processes: Mutex<Set<u32>>,
    readings: Mutex<Readings>,
}

impl ProcessorWait {
    /// Starts to record this process and those with these ids.
    pub fn start(processes: impl IntoIterator<Item = u32>) -> Self {
        let own = std::process::id();
        let processes = processes.into_iter().chain([own]).collect();
        let shared = Arc::new(Shared {
            processes: Mutex::new(processes),
            readings: Mutex::default(),
        });
        shared.read();
        let recorded = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = recorded.upgrade() {
                shared.read();
                drop(shared);
                thread::sleep(READING_INTERVAL);
            }
        });
        Self { shared }
    }

    /// Records a further process from now on, for example one that was started again.
    pub fn add(&self, process: u32) {
        lock(&self.shared.processes).insert(process);
    }

    /// Time for which a request may have waited for a processor between two instants of the machine's
    /// boot-time clock, in microseconds: the sum of the four longest waits of threads, since a request
    /// passes four threads one after the other.
    ///
    /// # Panics
    /// If the first instant is before the start of the recording.
    pub fn between(&self, from_us: u64, to_us: u64) -> Duration {
        if self.last_us() < to_us {
            self.shared.read();
        }
        let readings = lock(&self.shared.readings);
        let first = readings.partition_point(|(at, _)| *at <= from_us);
        let first = first.checked_sub(1).expect("the recording has started");
        let end = (readings.partition_point(|(at, _)| *at < to_us) + 1).min(readings.len());
        // A thread that ends meanwhile is in earlier readings only.
        let mut latest = Reading::default();
        latest.extend(readings[first..end].iter().flat_map(|(_, reading)| reading));
        let waits = latest.into_iter().map(|(thread, total)| {
            let earlier = readings[first].1.get(&thread).copied();
            total.saturating_sub(earlier.unwrap_or_default())
        });
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        waits.iter().take(THREADS_PASSED).sum()
    }

    fn last_us(&self) -> u64 {
        let readings = lock(&self.shared.readings);
        readings.last().map_or(0, |(at, _)| *at)
    }

    /// When the recording started, in microseconds of the machine's boot-time clock.
    pub fn start_us(&self) -> u64 {
        lock(&self.shared.readings)[0].0
    }
}

impl Shared {
    fn read(&self) {
        let processes = lock(&self.processes).clone();
        let reading = processes.into_iter().flat_map(threads).collect();
        // The time is read under the lock, so that readings are in order of time.
        let mut readings = lock(&self.readings);
        readings.push((boottime_us(), reading));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with it")
}

/// Wait times of the threads of a process; none if it has ended.
fn threads(process: u32) -> Vec<((u32, u32), Duration)> {
    let tasks = fs::read_dir(format!("/proc/{process}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    let wait = |task: fs::DirEntry| {
        let thread: u32 = task.file_name().to_str()?.parse().ok()?;
        // A thread may end before it is read.
        let fields = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let ns = fields.split_whitespace().nth(1)?.parse().ok()?;
        Some(((process, thread), Duration::from_nanos(ns)))
    };
    tasks.filter_map(wait).collect()
}
