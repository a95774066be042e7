//! Decides when a leader resigns because no worker reaches it.
//!
//! There are two explanations if all workers are silent: this controller is partitioned from them,
//! or none is left. Another leader helps only in the first case. In the second one, jobs wait until
//! the lost workers' leases have expired, and a leader that resigns before that makes them wait
//! longer. Therefore a leader stays
//!
//! - while every peer forwards the heartbeats that it receives: no controller hears more;
//! - if this controller has resigned before and has received no heartbeat since, until every lease
//!   that it found as leader has expired.

use super::leader::Leader;

/// Decides when this controller resigns leadership.
#[derive(Debug)]
pub(super) struct ResignationPolicy {
    has_peers: bool,
    /// Whether this controller has resigned and received no heartbeat since.
    resigned_unheard: bool,
}

impl ResignationPolicy {
    /// Creates the policy of a process that has not resigned yet. Without peers it never resigns.
    pub(super) fn new(has_peers: bool) -> Self {
        Self {
            has_peers,
            resigned_unheard: false,
        }
    }

    /// Records that a worker has reached this controller.
    pub(super) fn record_heartbeat(&mut self) {
        self.resigned_unheard = false;
    }

    /// Records that this controller has resigned.
    pub(super) fn record_resignation(&mut self) {
        self.resigned_unheard = true;
    }

    /// Whether the leader resigns now.
    pub(super) fn should_resign(&self, leader: &Leader) -> bool {
        self.has_peers
            && leader.has_lost_all_workers()
            && !leader.receives_heartbeats_of_all_peers()
            && (!self.resigned_unheard || leader.silence_outlasts_leases())
    }
}
