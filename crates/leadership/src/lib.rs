//! The right of a controller to lead: how long its own lease is valid, and how long its votes for
//! other leaders bind it.
//!
//! Times are milliseconds on the controller's monotonic clock, counted from the start of its
//! process. No state outlives the process. An earlier process of the same controller may have
//! granted a vote, so a new process treats such a vote as binding until it has certainly expired.

#![warn(missing_docs)]

mod fencing_token;
mod lease;
mod vote;
mod vote_blockers;

pub use fencing_token::FencingToken;
pub use vote::{StoreReachability, Vote};

use lease::LeaderLease;
use vote::VoteRecord;
use vote_blockers::VoteBlockers;

/// Subtracted from the TTL of a leader's lease, to allow for clock drift and for messages that are
/// already being sent when the lease expires.
pub const LEADER_LEASE_MARGIN_MS: u64 = 150;

/// The leadership state of one process: its own lease, its last vote, and the activities during
/// which it must not vote.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leadership {
    ttl_ms: u64,
    lease: LeaderLease,
    vote: VoteRecord,
    blockers: VoteBlockers,
}

/// The controller's own term.
impl Leadership {
    /// Creates the state of a process that starts now. An earlier process of this controller may
    /// have granted a vote just before, so a vote is binding for the first TTL.
    pub fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl_ms,
            lease: LeaderLease::new(ttl_ms, margin_ms),
            vote: VoteRecord::binding_until(ttl_ms),
            blockers: VoteBlockers::default(),
        }
    }

    /// Begins the term of an election that this controller won with a lease requested at
    /// `requested_at_ms`.
    pub fn begin_leading(&mut self, token: FencingToken, requested_at_ms: u64) {
        self.lease.begin(token, requested_at_ms);
    }

    /// Records that a request sent at `requested_at_ms` renewed the lease.
    pub fn record_renewal(&mut self, requested_at_ms: u64) {
        self.lease.record_renewal(requested_at_ms);
    }

    /// Extends the lease by votes that were requested at `requested_at_ms` and that all peers
    /// granted. Returns false if the lease has expired in the meantime: a leader whose lease has
    /// expired becomes valid again only by a renewal of the same lease.
    pub fn extend_lease_by_peers(&mut self, requested_at_ms: u64, now_ms: u64) -> bool {
        self.lease.extend_by_peers(requested_at_ms, now_ms)
    }

    /// Ends the term of this token permanently. Has no effect if this process leads another term or
    /// none.
    pub fn step_down(&mut self, token: FencingToken) {
        if self.leads(token) {
            self.lease.end();
        }
    }

    /// Whether this process leads the term of this token, even if its lease has expired.
    pub fn leads(&self, token: FencingToken) -> bool {
        self.lease.token() == Some(token)
    }

    /// Whether this process leads any term, even if its lease has expired. A process that leads
    /// none does not rely on any vote granted so far, and will not rely on one later.
    pub fn is_leading(&self) -> bool {
        self.lease.token().is_some()
    }

    /// For how much longer this controller may send answers, commands and job phases as leader.
    pub fn valid_for_ms(&self, now_ms: u64) -> u64 {
        self.lease.valid_for_ms(now_ms)
    }

    /// Whether this controller may act as leader now.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.valid_for_ms(now_ms) > 0
    }

    /// The end of the last extension of this leader's lease by the votes of all peers.
    pub fn lease_extended_until_ms(&self) -> u64 {
        self.lease.extended_until_ms()
    }
}

/// Votes that extend the lease of another leader.
impl Leadership {
    /// Whether a leader may be relying on this controller's vote.
    pub fn has_binding_vote(&self, now_ms: u64) -> bool {
        self.vote.is_binding(now_ms)
    }

    /// The latest time at which a leader may have sent answers under a lease extended by votes.
    /// This covers the votes of this process and of earlier processes of this controller, and
    /// extensions of this controller's own lease.
    pub fn vote_binding_until_ms(&self) -> u64 {
        let vote_ms = self.vote.binding_until_ms();
        vote_ms.max(self.lease.extended_until_ms())
    }

    /// Votes on extending the lease of the leader with this token, which cannot renew it. A granted
    /// vote forbids this controller to campaign for one TTL.
    ///
    /// A token newer than this controller's own shows that its own leader key is gone, so its own
    /// term, whose lease has expired, ends here. Otherwise a leader that alone lost contact with
    /// the state service would deny its successor its vote for as long as its own expired lease
    /// could still be renewed.
    pub fn vote_to_extend_lease(
        &mut self,
        now_ms: u64,
        store: StoreReachability,
        token: FencingToken,
    ) -> Vote {
        if self.lease.is_older_than(token) {
            self.lease.end();
        }
        let unreachable = store == StoreReachability::Unreachable;
        if self.is_leading() || self.blockers.any() || !unreachable {
            return Vote::Denied;
        }
        self.vote.bind_until(now_ms + self.ttl_ms);
        Vote::Granted
    }

    /// Releases all votes granted so far by this process or earlier ones of this controller. The
    /// caller must have established in one of two ways that no leader relies on them:
    ///
    /// - This process removed the leader key of a process that was known to lead. While that key
    ///   existed no other leader was valid, and the lease of the previous leader has expired.
    /// - Every other controller has confirmed since [`Self::begin_no_leader_confirmation`] that
    ///   it does not lead. Only a leader whose process still runs can rely on a vote.
    pub fn release_vote(&mut self, now_ms: u64) {
        self.vote.release(now_ms);
    }
}

/// Activities during which no vote is granted.
impl Leadership {
    /// Begins a campaign. Must be called before [`Self::has_binding_vote`] is checked for it.
    pub fn begin_campaign(&mut self) {
        self.blockers.set_campaigning(true);
    }

    /// Ends a campaign whose outcome is known.
    pub fn end_campaign(&mut self) {
        self.blockers.set_campaigning(false);
    }

    /// Begins a check that no leader relies on earlier votes.
    pub fn begin_no_leader_confirmation(&mut self) {
        self.blockers.set_confirming_no_leader(true);
    }

    /// Ends that check once its outcome is known.
    pub fn end_no_leader_confirmation(&mut self) {
        self.blockers.set_confirming_no_leader(false);
    }

    /// Begins a cancellation that is stored without a leader. Returns false if a leader may be
    /// answering users while relying on this controller's vote; the cancellation must then not be
    /// stored. Otherwise no vote is granted until [`Self::end_leaderless_cancellation`], so that no
    /// leader reports the job as running in the meantime.
    pub fn begin_leaderless_cancellation(&mut self, now_ms: u64) -> bool {
        let allowed = !self.has_binding_vote(now_ms);
        if allowed {
            self.blockers.begin_leaderless_cancellation();
        }
        allowed
    }

    /// Ends a cancellation without a leader, once its outcome is known.
    pub fn end_leaderless_cancellation(&mut self) {
        self.blockers.end_leaderless_cancellation();
    }
}
