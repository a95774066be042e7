//! Detects that the process was paused or got no CPU time for a while.

use std::time::Duration;

use tokio::time::Instant;

/// The time between two iterations of the event loop above which the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Measures the time between iterations of the event loop.
pub struct PauseDetector {
    /// The longest time between two iterations if the process is not paused.
    period: Duration,
    last_iteration: Instant,
}

impl PauseDetector {
    /// Creates a detector for a loop that starts now and iterates at least once per `period`.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            last_iteration: Instant::now(),
        }
    }

    /// Records an iteration. If the process was paused before it, returns how long.
    pub fn record_iteration(&mut self) -> Option<Duration> {
        let elapsed = self.last_iteration.elapsed();
        self.last_iteration = Instant::now();
        (elapsed > PAUSE_THRESHOLD).then(|| elapsed - self.period)
    }
}
