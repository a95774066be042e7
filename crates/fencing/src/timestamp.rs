//! Conversion between ages on a monotonic clock and wall-clock timestamps.
//!
//! The platform bounds the error of every controller's wall clock (`clock_error_ms`) and the drift
//! of monotonic clocks (0.05%). Both functions err towards a later end of a lease. A process may be
//! paused between reading its two clocks, so their order matters: the monotonic clock is read first
//! when a timestamp is made, and last when a timestamp is converted back.

/// Monotonic clocks drift by 0.05% each way, so a measured age may be too long by this fraction of
/// its length.
const CLOCK_DRIFT_DIVISOR: u64 = 1000;

/// Returns the smallest true age that is consistent with a measured one.
fn min_true_age(age_ms: u64) -> u64 {
    age_ms - age_ms.div_ceil(CLOCK_DRIFT_DIVISOR)
}

/// Returns the wall-clock time, in Unix milliseconds, of an event that happened `age_ms` ago, or a
/// slightly later time. `unix_ms`, the current wall-clock time, must be read after the age is
/// taken.
pub fn from_age(age_ms: u64, unix_ms: u64) -> u64 {
    unix_ms.saturating_sub(min_true_age(age_ms)) + 1
}

/// Returns the minimum age of a timestamp, in milliseconds on a monotonic clock that is read after
/// `unix_ms`. `error_ms` bounds the error of the wall clocks of both the writer and the reader.
pub fn min_age(timestamp_ms: u64, unix_ms: u64, error_ms: u64) -> u64 {
    let latest_ms = timestamp_ms.saturating_add(2 * error_ms + 1);
    min_true_age(unix_ms.saturating_sub(latest_ms))
}
