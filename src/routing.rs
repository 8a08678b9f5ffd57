//! Request routing: from a caller's request to the target's response.

pub mod admission;
pub mod admission_state;
pub mod dispatch;
pub mod exchange;
pub mod fairness;
pub mod front;
pub mod journal;
pub mod limit;
pub mod log_limit;
pub mod outbound;
pub mod outcome;
pub mod path;
pub mod pool;
pub mod prober;
pub mod reference;
pub mod refusal;
pub mod request;
pub mod response;
pub mod retry;
pub mod selection;
pub mod shared;
pub mod target_health;
pub mod targets;

pub use path::{RequestPath, RequestPathContext};
pub use reference::{Reference, explain};
pub use refusal::{Code, RecentRefusals};
