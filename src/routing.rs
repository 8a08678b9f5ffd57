//! The path of a caller's request.

pub mod admission;
pub mod answer;
pub mod choice;
pub mod dispatch;
pub mod exchange;
pub mod fairness;
pub mod front;
pub mod gate;
pub mod journal;
pub mod limit;
pub mod log_limit;
pub mod observed;
pub mod outcome;
pub mod path;
pub mod pool;
pub mod prober;
pub mod reference;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod sending;
pub mod shared;
pub mod targets;

pub use path::{RequestPath, RequestPathContext};
pub use reference::{Reference, explain};
pub use refusal::{Code, RecentRefusals};
