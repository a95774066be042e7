//! The time at which a peer last contacted this controller or answered it.

use std::sync::atomic::{AtomicU64, Ordering};

use super::clock::ControllerClock;

/// The time of the last contact with any peer. The start of the process counts as a contact.
#[derive(Debug)]
pub struct PeerContact {
    clock: ControllerClock,
    last_ms: AtomicU64,
}

impl PeerContact {
    pub(super) fn new(clock: ControllerClock) -> Self {
        Self {
            clock,
            last_ms: AtomicU64::new(0),
        }
    }

    pub(super) fn record(&self) {
        self.last_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    pub(super) fn age_s(&self) -> f64 {
        let now_ms = self.clock.now_ms();
        let last_ms = self.last_ms.load(Ordering::Relaxed).min(now_ms);
        (now_ms - last_ms) as f64 / 1000.0
    }
}
