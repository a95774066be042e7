//! Tracks whether the state service answers this controller, judged by its most recent requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// How long a failed request counts as evidence that the service is unreachable. The leader key is
/// read every 0.3 s, and each read takes at most one attempt.
const FAILURE_VALIDITY_MS: u64 = 1300;
/// After a server error, requests that may be relayed skip the direct attempt for this time.
const RELAY_AFTER_SERVER_ERROR: Duration = Duration::from_millis(500);
/// After a request without an answer, requests that may be relayed skip the direct attempt for this
/// time. It is longer than after a server error, because such an attempt lasts until its timeout.
const RELAY_AFTER_NO_ANSWER: Duration = Duration::from_millis(1000);

/// The results of recent requests to the state service. Times are in milliseconds since `start`.
pub(super) struct Reachability {
    start: Instant,
    /// Until this time, requests that may be relayed skip the direct attempt.
    relay_until: AtomicU64,
    /// When a direct request last failed; 0 if a direct request has been answered since or none has
    /// failed.
    failed_at: AtomicU64,
    /// When the service last answered this controller, directly or through a peer.
    answered_at: AtomicU64,
}

impl Reachability {
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
            relay_until: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
            answered_at: AtomicU64::new(0),
        }
    }

    /// Records that a direct request was answered.
    pub(super) fn record_answer(&self) {
        self.relay_until.store(0, Ordering::Relaxed);
        self.failed_at.store(0, Ordering::Relaxed);
        self.record_relayed_answer();
    }

    /// Records that a request was answered through a peer.
    pub(super) fn record_relayed_answer(&self) {
        self.answered_at.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Records that a direct request was answered with a server error.
    pub(super) fn record_server_error(&self) {
        self.record_failure(RELAY_AFTER_SERVER_ERROR);
    }

    /// Records that a direct request was not answered.
    pub(super) fn record_no_answer(&self) {
        self.record_failure(RELAY_AFTER_NO_ANSWER);
    }

    fn record_failure(&self, relay_for: Duration) {
        let now = self.now_ms();
        self.failed_at.store(now.max(1), Ordering::Relaxed);
        let until = now + relay_for.as_millis() as u64;
        self.relay_until.store(until, Ordering::Relaxed);
    }

    /// Returns whether requests that may be relayed should skip the direct attempt.
    pub(super) fn prefers_relay(&self) -> bool {
        self.relay_until.load(Ordering::Relaxed) > self.now_ms()
    }

    /// Returns whether the last direct request failed, and did so within [`FAILURE_VALIDITY_MS`].
    pub(super) fn is_unreachable(&self) -> bool {
        let failed_at = self.failed_at.load(Ordering::Relaxed);
        failed_at > 0 && self.now_ms().saturating_sub(failed_at) <= FAILURE_VALIDITY_MS
    }

    /// Returns the seconds since the service last answered this controller, directly or through a
    /// peer.
    pub(super) fn since_last_answer_s(&self) -> f64 {
        (self.now_ms() - self.answered_at.load(Ordering::Relaxed)) as f64 / 1000.0
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
