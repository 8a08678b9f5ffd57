//! The path of a caller's request.

pub mod dispatch;
pub mod exchange;
pub mod outcome;
pub mod path;
pub mod pool;
pub mod reference;
pub mod refusal;
pub mod request;

pub use path::RequestPath;
pub use reference::{Reference, explain};
pub use refusal::{Code, RecentRefusals};
