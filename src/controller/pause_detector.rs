//! Detects that the process was paused, or given no processor, for a while.

use std::time::Duration;

use tokio::time::Instant;

/// A longer time than this between two iterations of the event loop is a pause.
const THRESHOLD: Duration = Duration::from_millis(600);

/// Measures the time between iterations of the event loop.
pub struct PauseDetector {
    /// The event loop iterates at least so often.
    period: Duration,
    last_iteration: Instant,
}

impl PauseDetector {
    /// A detector for a loop of this period that starts now.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            last_iteration: Instant::now(),
        }
    }

    /// Records an iteration. Returns how long the process was paused before it, if it was.
    pub fn record_iteration(&mut self) -> Option<Duration> {
        let elapsed = self.last_iteration.elapsed();
        self.last_iteration = Instant::now();
        (elapsed > THRESHOLD).then(|| elapsed - self.period)
    }
}
