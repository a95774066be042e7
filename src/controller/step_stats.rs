//! Statistics of how long the core's steps take, logged periodically.

use std::time::Duration;

use hdrhistogram::Histogram;

const LOG_INTERVAL_S: f64 = 30.0;
const MIN_DURATION_US: u64 = 1;
const MAX_DURATION_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of step durations since the last log line.
pub struct StepStats {
    durations_us: Histogram<u64>,
    next_log_s: f64,
}

impl Default for StepStats {
    fn default() -> Self {
        Self {
            durations_us: Histogram::new_with_bounds(
                MIN_DURATION_US,
                MAX_DURATION_US,
                SIGNIFICANT_DIGITS,
            )
            .expect("the constants are valid bounds"),
            next_log_s: LOG_INTERVAL_S,
        }
    }
}

impl StepStats {
    /// Records the duration of a step, unless it is above the histogram's upper bound.
    pub fn record(&mut self, duration: Duration) {
        let _ = self.durations_us.record(duration.as_micros() as u64);
    }

    /// Logs and resets the histogram if the log interval has passed.
    pub fn log_if_due(&mut self, now_s: f64) {
        if now_s < self.next_log_s {
            return;
        }
        self.next_log_s = now_s + LOG_INTERVAL_S;
        let durations = &self.durations_us;
        tracing::info!(
            steps = durations.len(),
            p50_us = durations.value_at_quantile(0.5),
            p99_us = durations.value_at_quantile(0.99),
            max_us = durations.max(),
            "core steps"
        );
        self.durations_us.reset();
    }
}
