//! Conversions and comparisons of the core's times, which are seconds as `f64`.

use super::model::Time;

/// Converts a time to whole milliseconds. Rounds up, because an upper bound on the time of an event
/// must not become earlier.
pub(super) fn ceil_ms(at: Time) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

/// Operations on a time that may not be known yet.
pub(super) trait OptionalTime {
    /// The later of this time, if it is known, and `at`.
    fn or_later(self, at: Time) -> Self;
}

impl OptionalTime for Option<Time> {
    fn or_later(self, at: Time) -> Self {
        Some(self.map_or(at, |t| t.max(at)))
    }
}
