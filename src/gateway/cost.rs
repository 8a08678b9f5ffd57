//! What requests are likely to cost, learned by class from the latencies of responses, and what
//! requests in flight still have to do.
//!
//! Work is the time that a request takes at an endpoint of mean speed without waiting for a slot.

mod class;
mod distribution;
mod estimates;
mod feasibility;
mod outstanding;

pub use class::{ClassKey, RequestClass};
pub use distribution::Distribution;
pub use estimates::{CostEstimates, Estimate, Observation};
pub use feasibility::cannot_end_in_time;
pub use outstanding::{Backlog, Outstanding, WorkId};
