//! Monotonic time in milliseconds.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in monotonic time or a duration, in milliseconds.
///
/// Points are only comparable when they come from the same [`Clock`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of a clock, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// This duration plus `percent` of it, rounded up.
    pub fn plus_percent(self, percent: u64) -> Self {
        Self(
            self.0
                .saturating_add(self.0.saturating_mul(percent).div_ceil(100)),
        )
    }
}

impl Add for Millis {
    type Output = Self;

    /// Saturates, because other processes supply some of the times.
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl From<Millis> for Duration {
    fn from(time: Millis) -> Self {
        Duration::from_millis(time.0)
    }
}

impl From<Duration> for Millis {
    fn from(time: Duration) -> Self {
        Self(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A monotonic clock that starts at zero and includes the time for which the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(since_boot().saturating_sub(self.origin).as_millis() as u64)
    }

    /// Time left until this clock reads `time`; zero if it already does.
    pub fn until(&self, time: Millis) -> Duration {
        time.since(self.now()).into()
    }
}

/// Time since boot, including suspension. `CLOCK_MONOTONIC` stops while a VM is suspended, so a
/// lease measured with it would stay valid after its end.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("Linux has a boot-time clock")
        .into()
}
