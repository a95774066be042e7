//! The steady clock of a process.

use tokio::time::Instant;

/// Time since the start of the process. Every part of a controller counts on this clock.
#[derive(Debug, Clone, Copy)]
pub struct ControllerClock {
    start: Instant,
}

impl ControllerClock {
    /// A clock that starts now.
    pub fn start_now() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ms_at(Instant::now())
    }

    /// The time now, in seconds.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// An instant on this clock, in milliseconds; 0 if it was before the start.
    pub fn ms_at(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.start).as_millis() as u64
    }
}
