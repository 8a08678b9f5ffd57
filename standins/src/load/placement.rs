//! Compares placement policies on one generated load trace.
//!
//! Only the pure policies run: there are no processes, messages or failures of messages. A planned
//! move costs a fixed unserved time, and a lost target's partitions wait for its lease to end.

pub mod policies;
pub mod score;
pub mod trace;
