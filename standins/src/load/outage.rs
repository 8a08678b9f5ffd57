//! Unserved time as callers see it: how long the requests of a partition were not answered.

use fireflygauge::{collections::Map, partition::Partition};
use std::time::Duration;

/// Shortest time that counts as unserved. A single refusal for lack of capacity doesn't count.
const MIN_GAP: Duration = Duration::from_millis(20);

/// Follows, for each partition, the time from the first refused request to the next answered one.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    open: Map<(usize, Partition), Gap>,
    /// Length of each gap, and the part of it in which requests were refused.
    closed: Vec<(Duration, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Gap {
    first: Duration,
    last: Duration,
}

/// Unserved time of all partitions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Unserved {
    /// Number of gaps.
    pub gaps: usize,
    /// Sum of all gaps, in partition-seconds.
    pub total_s: f64,
    /// Longest gap, in seconds. It contains the time until the partition's next request.
    pub longest_s: f64,
    /// Longest time from a partition's first refused request to its last one, in seconds.
    pub longest_refused_s: f64,
}

impl Outages {
    /// Takes a request that was due at `due` and ended at `ended`, both since the start.
    ///
    /// A gap ends with the earliest time at which a later request was answered.
    pub fn observe(
        &mut self,
        place: (usize, Partition),
        served: bool,
        due: Duration,
        ended: Duration,
    ) {
        match (served, self.open.get_mut(&place)) {
            (false, None) => {
                self.open.insert(
                    place,
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
                self.open.remove(&place);
                self.closed.push(gap.lengths(ended));
            }
            (true, _) => {}
        }
    }

    /// The unserved time up to `end`, with gaps still open counted to there.
    pub fn unserved(&self, end: Duration) -> Unserved {
        let open = self.open.values().map(|gap| gap.lengths(end));
        let gaps = self.closed.iter().copied().chain(open);
        gaps.filter(|(length, _)| *length >= MIN_GAP).fold(
            Unserved::default(),
            |sum, (length, refused)| Unserved {
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
