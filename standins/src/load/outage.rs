//! Unserved time as callers see it: how long requests for a partition were not answered.

use fireflygauge::{collections::Map, partition::Partition};
use std::time::Duration;

/// Shortest gap that counts as unserved, so that a single refusal for lack of capacity does not
/// count.
const MIN_GAP: Duration = Duration::from_millis(20);

/// Tracks, for each partition, the time from the first refused request to the next answered one.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    open: Map<(usize, Partition), Gap>,
    /// Length of each gap, and the time from its first refused request to its last.
    closed: Vec<(Duration, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Gap {
    first: Duration,
    last: Duration,
}

/// Unserved time summed over all partitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct UnservedTime {
    /// Number of gaps.
    pub gaps: usize,
    /// Sum of all gaps, in partition-seconds.
    pub total_s: f64,
    /// Longest gap, in seconds. It includes the time until the partition's next request arrived.
    pub longest_s: f64,
    /// Longest time from a partition's first refused request to its last one, in seconds.
    pub longest_refused_s: f64,
}

impl Outages {
    /// Records a request that was scheduled for `due` and ended at `ended`, both since the start.
    ///
    /// A gap ends when a request that was scheduled after its last refused one is answered.
    pub fn observe(
        &mut self,
        service_partition: (usize, Partition),
        served: bool,
        due: Duration,
        ended: Duration,
    ) {
        match (served, self.open.get_mut(&service_partition)) {
            (false, None) => {
                self.open.insert(
                    service_partition,
                    Gap {
                        first: due,
                        last: due,
                    },
                );
            }
            (false, Some(gap)) => {
                gap.first = gap.first.min(due);
                gap.last = gap.last.max(due);
            }
            (true, Some(gap)) if due > gap.last => {
                let gap = *gap;
                self.open.remove(&service_partition);
                self.closed.push(gap.lengths(ended));
            }
            (true, _) => {}
        }
    }

    /// Unserved time up to `end`; gaps that are still open are counted up to `end`.
    pub fn unserved(&self, end: Duration) -> UnservedTime {
        let open = self.open.values().map(|gap| gap.lengths(end));
        let gaps = self.closed.iter().copied().chain(open);
        gaps.filter(|(length, _)| *length >= MIN_GAP).fold(
            UnservedTime::default(),
            |sum, (length, refused)| UnservedTime {
                gaps: sum.gaps + 1,
                total_s: sum.total_s + length.as_secs_f64(),
                longest_s: sum.longest_s.max(length.as_secs_f64()),
                longest_refused_s: sum.longest_refused_s.max(refused.as_secs_f64()),
            },
        )
    }
}

impl Gap {
    fn lengths(&self, end: Duration) -> (Duration, Duration) {
        (end.saturating_sub(self.first), self.last - self.first)
    }
}
