//! Ages on a steady clock as times of day, and back.
//!
//! The platform bounds how far the time of day of any controller is off (`clock_error_ms`), and
//! how far steady clocks drift (0.05%). Both functions err towards a later end of a lease. The
//! order of the two readings matters, as a process may be paused between them: the age is taken
//! before the time of day where a timestamp is made, and after it where one is read.

/// Steady clocks drift apart by 0.05% each way, so an age may be too long by one part in this many.
const DRIFT_PARTS: u64 = 1000;

/// The part of a measured age that is certain.
fn certain_age(age_ms: u64) -> u64 {
    age_ms - age_ms.div_ceil(DRIFT_PARTS)
}

/// The time of day (ms) of what happened `age_ms` ago, or a little later. `unix_ms` must have
/// been read after the age.
pub fn from_age(age_ms: u64, unix_ms: u64) -> u64 {
    unix_ms.saturating_sub(certain_age(age_ms)) + 1
}

/// How long ago a timestamp was at least, in ms on a steady clock that is read after `unix_ms`.
/// `error_ms` bounds how far any time of day is off: the writer's and the reader's.
pub fn min_age(timestamp_ms: u64, unix_ms: u64, error_ms: u64) -> u64 {
    let latest_ms = timestamp_ms.saturating_add(2 * error_ms + 1);
    certain_age(unix_ms.saturating_sub(latest_ms))
}
