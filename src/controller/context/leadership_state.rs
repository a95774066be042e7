//! The state of this controller's leadership, which its tasks share.

use std::sync::Mutex;
use std::time::Duration;

use copperfield_leadership::{
    FencingToken, LEADER_LEASE_MARGIN_MS, Leadership, StoreReachability, Vote,
};
use tokio::time::Instant;

use super::clock::ControllerClock;

/// A [`Leadership`] behind a lock, driven by the clock of the process.
#[derive(Debug)]
pub struct LeadershipState {
    clock: ControllerClock,
    leadership: Mutex<Leadership>,
}

impl LeadershipState {
    pub(super) fn new(clock: ControllerClock, ttl_ms: u64) -> Self {
        Self {
            clock,
            leadership: Mutex::new(Leadership::new(ttl_ms, LEADER_LEASE_MARGIN_MS)),
        }
    }

    /// Applies a state change at the current time.
    fn apply<T>(&self, step: impl FnOnce(&mut Leadership, u64) -> T) -> T {
        let mut leadership = self.leadership.lock().expect("no panic while held");
        // The clock is read under the lock, so that each step is at or after the previous one.
        let now_ms = self.clock.now_ms();
        step(&mut leadership, now_ms)
    }

    /// Evaluates a read-only query at the current time.
    fn read<T>(&self, query: impl FnOnce(&Leadership, u64) -> T) -> T {
        self.apply(|leadership, now_ms| query(leadership, now_ms))
    }

    /// See [`Leadership::begin_leading`].
    pub fn begin_leading(&self, token: u64, requested_at: Instant) {
        let requested_at_ms = self.clock.ms_at(requested_at);
        self.apply(|l, _| l.begin_leading(FencingToken::new(token), requested_at_ms));
    }

    /// See [`Leadership::record_renewal`].
    pub fn record_renewal(&self, requested_at: Instant) {
        let requested_at_ms = self.clock.ms_at(requested_at);
        self.apply(|l, _| l.record_renewal(requested_at_ms));
    }

    /// See [`Leadership::extend_lease_by_peers`].
    pub fn extend_lease_by_peers(&self, requested_at: Instant) -> bool {
        let requested_at_ms = self.clock.ms_at(requested_at);
        self.apply(|l, now_ms| l.extend_lease_by_peers(requested_at_ms, now_ms))
    }

    /// See [`Leadership::step_down`].
    pub fn step_down(&self, token: u64) {
        self.apply(|l, _| l.step_down(FencingToken::new(token)));
    }

    /// See [`Leadership::leads`].
    pub fn leads(&self, token: u64) -> bool {
        self.read(|l, _| l.leads(FencingToken::new(token)))
    }

    /// See [`Leadership::is_leading`].
    pub fn is_leading(&self) -> bool {
        self.read(|l, _| l.is_leading())
    }

    /// See [`Leadership::valid_for_ms`].
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.read(Leadership::valid_for_ms))
    }

    /// See [`Leadership::is_valid`].
    pub fn is_valid(&self) -> bool {
        self.read(Leadership::is_valid)
    }

    /// See [`Leadership::lease_extended_until_ms`]; in seconds of the controller's clock.
    pub fn lease_extended_until_s(&self) -> f64 {
        self.read(|l, _| l.lease_extended_until_ms()) as f64 / 1000.0
    }

    /// See [`Leadership::vote_binding_until_ms`]; in seconds of the controller's clock.
    pub fn vote_binding_until_s(&self) -> f64 {
        self.read(|l, _| l.vote_binding_until_ms()) as f64 / 1000.0
    }

    /// See [`Leadership::has_binding_vote`].
    pub fn has_binding_vote(&self) -> bool {
        self.read(Leadership::has_binding_vote)
    }

    /// See [`Leadership::vote_to_extend_lease`].
    pub fn vote_to_extend_lease(&self, store: StoreReachability, token: u64) -> Vote {
        let token = FencingToken::new(token);
        self.apply(|l, now_ms| l.vote_to_extend_lease(now_ms, store, token))
    }

    /// See [`Leadership::release_vote`].
    pub fn release_vote(&self) {
        self.apply(Leadership::release_vote);
    }

    /// See [`Leadership::begin_campaign`].
    pub fn begin_campaign(&self) {
        self.apply(|l, _| l.begin_campaign());
    }

    /// See [`Leadership::end_campaign`].
    pub fn end_campaign(&self) {
        self.apply(|l, _| l.end_campaign());
    }

    /// See [`Leadership::begin_no_leader_confirmation`].
    pub fn begin_no_leader_confirmation(&self) {
        self.apply(|l, _| l.begin_no_leader_confirmation());
    }

    /// See [`Leadership::end_no_leader_confirmation`].
    pub fn end_no_leader_confirmation(&self) {
        self.apply(|l, _| l.end_no_leader_confirmation());
    }

    /// See [`Leadership::begin_leaderless_cancellation`].
    pub fn begin_leaderless_cancellation(&self) -> bool {
        self.apply(Leadership::begin_leaderless_cancellation)
    }

    /// See [`Leadership::end_leaderless_cancellation`].
    pub fn end_leaderless_cancellation(&self) {
        self.apply(|l, _| l.end_leaderless_cancellation());
    }
}
