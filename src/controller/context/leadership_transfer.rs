//! A leadership transfer to this controller that its election loop has not processed yet.

use std::sync::atomic::{AtomicU64, Ordering};

/// Means that there is no transfer. No fencing token is 0, because a token is the version of the
/// leader key, which is never 0.
const NO_TOKEN: u64 = 0;

/// The fencing token of a leader that has stepped down in favour of this controller.
#[derive(Debug)]
pub struct PendingTransfer {
    token: AtomicU64,
}

impl PendingTransfer {
    pub(super) fn none() -> Self {
        Self {
            token: AtomicU64::new(NO_TOKEN),
        }
    }

    pub(super) fn set(&self, token: u64) {
        self.token.store(token, Ordering::Relaxed);
    }

    pub(super) fn take(&self) -> Option<u64> {
        let token = self.token.swap(NO_TOKEN, Ordering::Relaxed);
        Some(token).filter(|token| *token != NO_TOKEN)
    }
}
