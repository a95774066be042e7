//! A countdown timer that several tasks restart and read.

use std::sync::atomic::{AtomicU64, Ordering};

use super::clock::ControllerClock;

/// A countdown on the controller's clock. It is not running until it is first restarted.
#[derive(Debug)]
pub struct Timer {
    clock: ControllerClock,
    ends_at_ms: AtomicU64,
}

impl Timer {
    pub(super) fn stopped(clock: ControllerClock) -> Self {
        Self {
            clock,
            ends_at_ms: AtomicU64::new(0),
        }
    }

    pub(super) fn restart(&self, duration_ms: u64) {
        let ends_at_ms = self.clock.now_ms() + duration_ms;
        self.ends_at_ms.store(ends_at_ms, Ordering::Relaxed);
    }

    pub(super) fn is_running(&self) -> bool {
        self.ends_at_ms.load(Ordering::Relaxed) > self.clock.now_ms()
    }
}
