//! The monotonic clock of a controller process.

use tokio::time::Instant;

/// Measures the time since the start of the process. All parts of a controller use this clock.
#[derive(Debug, Clone, Copy)]
pub struct ControllerClock {
    start: Instant,
}

impl ControllerClock {
    /// Creates a clock that starts now.
    pub fn start_now() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ms_at(Instant::now())
    }

    /// The current time, in seconds.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts an instant to milliseconds on this clock; 0 if it was before the start.
    pub fn ms_at(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.start).as_millis() as u64
    }
}
