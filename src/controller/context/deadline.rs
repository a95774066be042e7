//! A moment that several tasks set and read.

use std::sync::atomic::{AtomicU64, Ordering};

use super::clock::ControllerClock;

/// A period that ends at a moment of the controller's clock; over at first.
#[derive(Debug)]
pub struct Deadline {
    clock: ControllerClock,
    ends_at_ms: AtomicU64,
}

impl Deadline {
    pub(super) fn expired(clock: ControllerClock) -> Self {
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
