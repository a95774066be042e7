//! The mistakes that can be planted in the model.

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mistake {
    None,
    /// A process assumes that no earlier process of its controller has voted.
    RestartForgetsVotes,
    /// A controller removes any leader key under its own name, even one that was written after the
    /// process that requested it had ended.
    RemovesKeyOfUnconfirmedTerm,
    /// The removal of a leader key is not guarded by the key's version.
    RemovalIgnoresKeyVersion,
    /// Votes are released when the removal of a leader key is sent, not when it is acknowledged.
    ReleasesVotesBeforeRemoval,
    /// Votes are granted while the removal of a leader key is in flight.
    VotesDuringKeyRemoval,
    /// Votes are granted while a campaign is in flight.
    VotesDuringCampaign,
    /// Votes are released once a single peer has confirmed that it does not lead.
    ConfirmsWithOnePeer,
    /// Votes are granted while the peers are asked to confirm that they do not lead.
    VotesDuringConfirmation,
    /// An earlier campaign of the process that is committed late is treated as the current one.
    IgnoresCampaignNonce,
    /// Votes make a leader valid again after its lease has expired.
    VotesReviveExpiredLease,
    /// A cancellation without a leader is guarded by the missing leader key alone. An earlier
    /// version did this and granted no votes for three minutes instead, but a restart lost that
    /// state.
    CancellationGuardedByMissingKeyOnly,
    /// The term marker is read after the leader key was found missing, instead of before.
    ReadsKeyBeforeTermMarker,
    /// Votes are granted while a cancellation without a leader is in flight.
    VotesDuringLeaderlessCancellation,
    /// A leader that transfers leadership keeps leading until it learns of the next leader.
    KeepsLeadingAfterTransfer,
    /// The successor of a transfer releases its votes before the leader key is removed.
    SuccessorReleasesVotesBeforeRemoval,
}
