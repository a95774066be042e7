//! Conversions and comparisons of the core's times, which are seconds as `f64`.

use super::model::Time;

/// In whole milliseconds, rounded up: a bound of when something may last have happened must not
/// become earlier.
pub(super) fn ceil_ms(at: Time) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

/// A time that may not be known yet.
pub(super) trait OptionalTime {
    /// The later one of this time, if it is known, and `at`.
    fn or_later(self, at: Time) -> Self;
}

impl OptionalTime for Option<Time> {
    fn or_later(self, at: Time) -> Self {
        Some(self.map_or(at, |t| t.max(at)))
    }
}
