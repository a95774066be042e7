//! Ages on a steady clock as times of day, and back.
//!
//! The platform bounds how far the time of day of any worker is off (`clock_error_ms`), and
//! how far steady clocks drift (0.05%). Both functions err towards a later end of a lease.
//! The order of the two readings matters, as a process may stand still between them: the age
//! is taken before the time of day where a stamp is made, and after it where one is read.

/// Steady clocks drift apart by 0.05% each way, so an age may be too long by one thousandth.
fn at_least(age_ms: u64) -> u64 {
    age_ms - age_ms.div_ceil(1000)
}

/// The time of day (ms) of what happened `age_ms` ago, or a little later. `unix_ms` must have
/// been read after the age.
pub fn of_age(age_ms: u64, unix_ms: u64) -> u64 {
    unix_ms.saturating_sub(at_least(age_ms)) + 1
}

/// How long ago that was at least, in ms on a steady clock that is read after `unix_ms`.
/// `error_ms` bounds how far any worker's time of day is off: the writer's and the reader's.
pub fn age(stamp: u64, unix_ms: u64, error_ms: u64) -> u64 {
    at_least(unix_ms.saturating_sub(stamp.saturating_add(2 * error_ms + 1)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever the clocks do within their bounds, the reader never takes an answer for
        /// older than it is. What is given away is bounded too: four clock errors (two bounds,
        /// each for the writer and the reader) and 0.3%, which are two margins of 0.1% and the
        /// drift of two clocks. 0.25% stood here, and one run in some thousands failed on it.
        #[test]
        fn an_age_is_never_overstated(
            kept in 0u64..100_000, passed in 0u64..100_000, error in 0u64..500,
            off_w in -1.0f64..1.0, off_r in -1.0f64..1.0,
            drift_w in -0.0005f64..0.0005, drift_r in -0.0005f64..0.0005,
        ) {
            let day = 1_700_000_000_000u64;
            let clock = |at: u64, off: f64| (day as f64 + at as f64 + off * error as f64) as u64;
            let steady = |ms: u64, drift: f64| (ms as f64 * (1.0 + drift)) as u64;
            let stamp = of_age(steady(kept, drift_w), clock(kept, off_w));
            let found = age(stamp, clock(kept + passed, off_r), error);
            // What the reader's steady clock would have shown since the answer.
            let truth = steady(kept + passed, drift_r);
            prop_assert!(found <= truth, "{found} ms, and it is {truth}");
            prop_assert!(found + 4 * error + truth * 3 / 1000 + 6 >= truth, "{found} of {truth} ms");
        }
    }
}
