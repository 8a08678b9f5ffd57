//! Reads the load that an endpoint reports in the header of a response.

use super::{backend::Load, platform::HeaderNames};
use http::HeaderMap;

/// How long work takes on an endpoint's machine at the moment, relative to the usual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Work takes its usual time.
    pub const NONE: Self = Self(1.0);
    /// Lower and upper bound. A value beyond them says more of the endpoint than of its machine.
    const BOUNDS: [f64; 2] = [0.1, 20.0];

    /// The slowdown of a machine on which work takes `percent` of its usual time; none if that is 0.
    pub fn from_percent(percent: u32) -> Self {
        if percent == 0 {
            return Self::NONE;
        }
        let [least, most] = Self::BOUNDS;
        Self((f64::from(percent) / 100.0).clamp(least, most))
    }

    /// Factor on the usual time.
    pub fn factor(self) -> f64 {
        self.0
    }
}

/// What the header reports: the running requests, those that wait, the slots, and the slowdown of the
/// machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHeader {
    /// Load of the endpoint; `None` if the header is missing or malformed.
    pub load: Option<Load>,
    /// Slowdown of its machine; none if the header does not state it.
    pub slowdown: Slowdown,
}

/// Reads the header. Numbers beyond the known ones are ignored.
pub fn read(headers: &HeaderMap, names: &HeaderNames) -> LoadHeader {
    let text = headers.get(&names.load).and_then(|v| v.to_str().ok());
    let numbers = text.unwrap_or_default().split(',');
    let mut numbers = numbers.map(|part| part.trim().parse::<u32>().ok());
    let mut next = || numbers.next().flatten();
    let load = match (next(), next(), next()) {
        (Some(running), Some(waiting), Some(slots)) if slots > 0 => Some(Load {
            running,
            waiting,
            slots,
        }),
        _ => None,
    };
    let percent = load.and_then(|_| next());
    LoadHeader {
        load,
        slowdown: percent.map_or(Slowdown::NONE, Slowdown::from_percent),
    }
}
