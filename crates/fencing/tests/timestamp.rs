//! Tests timestamps that one controller writes and another reads, with clock errors and drift
//! within their bounds.

use copperfield_fencing::timestamp;
use proptest::prelude::*;

/// An arbitrary wall-clock time, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

proptest! {
    /// With clocks within their bounds, the reader never overstates the age of an answer. It
    /// understates the age by a bounded amount: four clock errors (two bounds, each for the writer
    /// and the reader) and 0.3%, which is two margins of 0.1% and the drift of two clocks.
    #[test]
    fn an_age_is_never_overstated(
        age_at_write in 0u64..100_000, elapsed in 0u64..100_000, error in 0u64..500,
        writer_error in -1.0f64..1.0, reader_error in -1.0f64..1.0,
        writer_drift in -0.0005f64..0.0005, reader_drift in -0.0005f64..0.0005,
    ) {
        let wall_clock = |at: u64, error_share: f64| {
            (START_UNIX_MS as f64 + at as f64 + error_share * error as f64) as u64
        };
        let monotonic_clock = |ms: u64, drift: f64| (ms as f64 * (1.0 + drift)) as u64;
        let written = timestamp::from_age(
            monotonic_clock(age_at_write, writer_drift),
            wall_clock(age_at_write, writer_error),
        );
        let read_at = wall_clock(age_at_write + elapsed, reader_error);
        let found = timestamp::min_age(written, read_at, error);
        // The age of the answer on the reader's monotonic clock.
        let true_age = monotonic_clock(age_at_write + elapsed, reader_drift);
        prop_assert!(found <= true_age, "found {found} ms, the true age is {true_age} ms");
        prop_assert!(
            found + 4 * error + true_age * 3 / 1000 + 6 >= true_age,
            "found {found} ms only, the true age is {true_age} ms"
        );
    }
}
