//! Whether the state service answers this controller, as far as is known from a moment ago.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// How long a failure counts as evidence: the leader key is read every 0.3 s, by requests that
/// take one attempt at most.
const EVIDENCE_MS: u64 = 1300;
/// How long requests for users are relayed at once after an answer that reports a fault.
const AVOID_AFTER_FAULT: Duration = Duration::from_millis(500);
/// How long they are after an exchange without an answer, which costs a whole attempt.
const AVOID_AFTER_LOSS: Duration = Duration::from_millis(1000);

/// Times are ms since `start`.
pub(super) struct Reachability {
    start: Instant,
    /// Until when direct requests are not worth a user's time.
    avoid_until: AtomicU64,
    /// When a direct request last failed, if none has been answered since; 0 for none.
    failed_at: AtomicU64,
    /// When the service last answered this controller, directly or through a peer.
    answered_at: AtomicU64,
}

impl Reachability {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            avoid_until: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
            answered_at: AtomicU64::new(0),
        }
    }

    /// A direct request was answered.
    pub(super) fn record_answer(&self) {
        self.avoid_until.store(0, Ordering::Relaxed);
        self.failed_at.store(0, Ordering::Relaxed);
        self.record_relayed_answer();
    }

    /// A request was answered through a peer.
    pub(super) fn record_relayed_answer(&self) {
        self.answered_at.store(self.now_ms(), Ordering::Relaxed);
    }

    /// A direct request was answered with a fault of the service.
    pub(super) fn record_fault(&self) {
        self.record_failure(AVOID_AFTER_FAULT);
    }

    /// A direct request was not answered.
    pub(super) fn record_loss(&self) {
        self.record_failure(AVOID_AFTER_LOSS);
    }

    fn record_failure(&self, avoid: Duration) {
        let now = self.now_ms();
        self.failed_at.store(now.max(1), Ordering::Relaxed);
        let until = now + avoid.as_millis() as u64;
        self.avoid_until.store(until, Ordering::Relaxed);
    }

    /// Whether a request for a user is better relayed than sent directly.
    pub(super) fn avoids_direct(&self) -> bool {
        self.avoid_until.load(Ordering::Relaxed) > self.now_ms()
    }

    /// Whether the service does not answer this controller. A failure that nothing has followed
    /// for longer than [`EVIDENCE_MS`] proves nothing of now.
    pub(super) fn is_unreachable(&self) -> bool {
        let failed_at = self.failed_at.load(Ordering::Relaxed);
        failed_at > 0 && self.now_ms().saturating_sub(failed_at) <= EVIDENCE_MS
    }

    /// Seconds since the service last answered this controller.
    pub(super) fn since_last_answer_s(&self) -> f64 {
        (self.now_ms() - self.answered_at.load(Ordering::Relaxed)) as f64 / 1000.0
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
