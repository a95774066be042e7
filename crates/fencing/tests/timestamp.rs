//! Timestamps of ages, read by another controller with clocks at their bounds.

use copperfield_fencing::timestamp;
use proptest::prelude::*;

/// Any time of day in ms.
const DAY: u64 = 1_700_000_000_000;

proptest! {
    /// Whatever the clocks do within their bounds, the reader never takes an answer for older
    /// than it is. What is given away is bounded too: four clock errors (two bounds, each for the
    /// writer and the reader) and 0.3%, which are two margins of 0.1% and the drift of two clocks.
    #[test]
    fn an_age_is_never_overstated(
        kept in 0u64..100_000, passed in 0u64..100_000, error in 0u64..500,
        writer_error in -1.0f64..1.0, reader_error in -1.0f64..1.0,
        writer_drift in -0.0005f64..0.0005, reader_drift in -0.0005f64..0.0005,
    ) {
        let clock = |at: u64, part: f64| (DAY as f64 + at as f64 + part * error as f64) as u64;
        let steady = |ms: u64, drift: f64| (ms as f64 * (1.0 + drift)) as u64;
        let written = timestamp::from_age(steady(kept, writer_drift), clock(kept, writer_error));
        let found = timestamp::min_age(written, clock(kept + passed, reader_error), error);
        // What the reader's steady clock would have shown since the answer.
        let truth = steady(kept + passed, reader_drift);
        prop_assert!(found <= truth, "{found} ms, and it is {truth}");
        prop_assert!(found + 4 * error + truth * 3 / 1000 + 6 >= truth, "{found} of {truth} ms");
    }
}
