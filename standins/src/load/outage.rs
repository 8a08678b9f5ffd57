//! Unserved time as callers see it: how long the requests of a partition were not answered.

use fireflygauge::{collections::Map, partition::Partition};
use std::time::Duration;

/// Shortest time that counts as unserved. A single refusal for lack of capacity doesn't count.
const MIN_GAP: Duration = Duration::from_millis(20);

/// Follows, for each partition, the time from the first refused request to the next answered one.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    open: Map<(usize, Partition), Gap>,
    closed: Vec<Duration>,
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
    /// Longest gap, in seconds.
    pub longest_s: f64,
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
                self.closed.push(ended.saturating_sub(gap.first));
            }
            (true, _) => {}
        }
    }

    /// The unserved time up to `end`, with gaps still open counted to there.
    pub fn unserved(&self, end: Duration) -> Unserved {
        let open = self.open.values().map(|gap| end.saturating_sub(gap.first));
        let gaps = self.closed.iter().copied().chain(open);
        gaps.filter(|gap| *gap >= MIN_GAP)
            .fold(Unserved::default(), |sum, gap| Unserved {
                gaps: sum.gaps + 1,
                total_s: sum.total_s + gap.as_secs_f64(),
                longest_s: sum.longest_s.max(gap.as_secs_f64()),
            })
    }
}
