//! Until when a controller may lead, and what its votes for other leaders forbid it.
//!
//! Times are milliseconds on the controller's steady clock, counted from the start of its
//! process. Nothing here outlives the process: what an earlier process of the same controller
//! may have voted is taken to be binding until that vote has surely expired.

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

/// Kept back from the TTL for clock drift and for messages that are already on their way out.
pub const LEADER_LEASE_MARGIN_MS: u64 = 150;

/// What one process knows of its right to lead: its own lease, its last vote, and the activities
/// during which it must not vote.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leadership {
    ttl_ms: u64,
    lease: LeaderLease,
    vote: VoteRecord,
    blockers: VoteBlockers,
}

/// The controller's own term.
impl Leadership {
    /// For a process that starts now. An earlier process may have voted a moment ago.
    pub fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl_ms,
            lease: LeaderLease::new(ttl_ms, margin_ms),
            vote: VoteRecord::binding_until(ttl_ms),
            blockers: VoteBlockers::default(),
        }
    }

    /// This controller won the election with a lease that it requested at `requested_at_ms`.
    pub fn begin_leading(&mut self, token: FencingToken, requested_at_ms: u64) {
        self.lease.begin(token, requested_at_ms);
    }

    /// The lease was renewed by a request sent at `requested_at_ms`.
    pub fn record_renewal(&mut self, requested_at_ms: u64) {
        self.lease.record_renewal(requested_at_ms);
    }

    /// All peers were asked at `requested_at_ms` and granted their votes. False if the lease has
    /// expired meanwhile: after a gap only a renewal of the same lease makes the leader valid.
    pub fn extend_lease_by_peers(&mut self, requested_at_ms: u64, now_ms: u64) -> bool {
        self.lease.extend_by_peers(requested_at_ms, now_ms)
    }

    /// Ends the term of this token for good; no effect if another one is led by now.
    pub fn step_down(&mut self, token: FencingToken) {
        if self.leads(token) {
            self.lease.end();
        }
    }

    /// Whether the term of this token goes on, even if its lease has expired.
    pub fn leads(&self, token: FencingToken) -> bool {
        self.lease.token() == Some(token)
    }

    /// Whether this process leads any term, even if its lease has expired. A process that does
    /// not acts on no vote that was granted until now, and never will.
    pub fn is_leading(&self) -> bool {
        self.lease.token().is_some()
    }

    /// How much longer answers, commands and job phases may leave this controller as leader.
    pub fn valid_for_ms(&self, now_ms: u64) -> u64 {
        self.lease.valid_for_ms(now_ms)
    }

    /// Whether this controller may act as leader now.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.valid_for_ms(now_ms) > 0
    }

    /// Until when this leader's lease was last extended by the votes of all peers.
    pub fn lease_extended_until_ms(&self) -> u64 {
        self.lease.extended_until_ms()
    }
}

/// Votes that extend the lease of another leader.
impl Leadership {
    /// Whether a leader may be acting on this controller's vote.
    pub fn has_binding_vote(&self, now_ms: u64) -> bool {
        self.vote.is_binding(now_ms)
    }

    /// Until when answers may have gone out on the votes of all controllers: with the vote of
    /// this process, of an earlier process of this controller, or by this controller as the
    /// leader that was voted for.
    pub fn vote_binding_until_ms(&self) -> u64 {
        let vote_ms = self.vote.binding_until_ms();
        vote_ms.max(self.lease.extended_until_ms())
    }

    /// Votes on the lease of the leader with this token, which cannot renew. A granted vote
    /// forbids this controller to campaign for one TTL.
    ///
    /// A token newer than its own shows that its own leader key is gone, so an expired term ends
    /// here. Otherwise a leader that alone had lost the state service would deny its vote to its
    /// successor for as long as its own lease might still come back.
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

    /// Votes granted until now, by this process or an earlier one of this controller, bind
    /// nobody any more. One of two things has shown that:
    ///
    /// - This process removed the leader key of a process that was known to lead. While the key
    ///   stood nobody else was valid, and the leader before it has expired.
    /// - Every other controller has confirmed since [`Self::begin_no_leader_confirmation`] that
    ///   it does not lead. A vote is only of use to a leader whose process lives.
    pub fn release_vote(&mut self, now_ms: u64) {
        self.vote.release(now_ms);
    }
}

/// Activities during which no vote is granted.
impl Leadership {
    /// To be called before [`Self::has_binding_vote`] is read for a campaign.
    pub fn begin_campaign(&mut self) {
        self.blockers.set_campaigning(true);
    }

    /// The outcome of the campaign is known.
    pub fn end_campaign(&mut self) {
        self.blockers.set_campaigning(false);
    }

    /// It is being confirmed that earlier votes bind nobody.
    pub fn begin_no_leader_confirmation(&mut self) {
        self.blockers.set_confirming_no_leader(true);
    }

    /// The outcome of the confirmation is known.
    pub fn end_no_leader_confirmation(&mut self) {
        self.blockers.set_confirming_no_leader(false);
    }

    /// To be called before a cancellation is stored without a leader. False if a leader may be
    /// answering users on this controller's vote. Otherwise no vote is granted until
    /// [`Self::end_leaderless_cancellation`], so that no leader reports the job as running
    /// meanwhile.
    pub fn begin_leaderless_cancellation(&mut self, now_ms: u64) -> bool {
        let allowed = !self.has_binding_vote(now_ms);
        if allowed {
            self.blockers.begin_leaderless_cancellation();
        }
        allowed
    }

    /// The outcome of a cancellation without a leader is known.
    pub fn end_leaderless_cancellation(&mut self) {
        self.blockers.end_leaderless_cancellation();
    }
}
