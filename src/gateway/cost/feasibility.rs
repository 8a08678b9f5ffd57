//! Whether a request can end in time, by its own cost.

use super::Estimate;
use crate::clock::Millis;

/// Factor by which the estimates of a request that is refused because of them may be too high.
const MAX_ESTIMATE_ERROR: f64 = 4.0;

/// Whether a request with `left` until its deadline cannot end before it, even if its least work and
/// the wait until the first of the requests in flight ends are much overestimated. Those end at
/// `ending_rate`, per millisecond; 0 if there are none or no wait is expected.
pub fn cannot_end_in_time(cost: &Estimate, ending_rate: f64, left: Millis) -> bool {
    let wait_ms = if ending_rate > 0.0 {
        1.0 / ending_rate
    } else {
        0.0
    };
    (wait_ms + cost.least_ms) / MAX_ESTIMATE_ERROR > left.0 as f64
}
