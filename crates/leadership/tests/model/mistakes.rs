//! Mistakes that can be planted in the model.

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mistake {
    None,
    /// A process assumes that no earlier process of its controller has voted.
    RestartForgetsVotes,
    /// Any key under its own name is removed, also one that landed after its process had ended.
    RemovesKeyOfUnconfirmedTerm,
    /// The removal is not guarded by the key's version.
    RemovalIgnoresKeyVersion,
    /// Votes are released when the removal is sent, not when it is acknowledged.
    ReleasesVotesBeforeRemoval,
    /// Votes are granted while a removal is in flight.
    VotesDuringKeyRemoval,
    /// Votes are granted while a campaign is in flight.
    VotesDuringCampaign,
    /// It is enough that one peer confirms that it does not lead.
    ConfirmsWithOnePeer,
    /// Votes are granted while the peers are asked for that confirmation.
    VotesDuringConfirmation,
    /// An earlier campaign of the process that lands late is taken for the current one.
    IgnoresCampaignNonce,
    /// Votes make a leader valid again whose lease has expired.
    VotesReviveExpiredLease,
    /// A cancellation without a leader is guarded by the missing key alone. This program did so,
    /// and granted no vote for three minutes, which a restart forgot.
    CancellationGuardedByMissingKeyOnly,
    /// The term marker is read after the key was seen missing.
    ReadsKeyBeforeTermMarker,
    /// Votes are granted while a cancellation without a leader is in flight.
    VotesDuringLeaderlessCancellation,
    /// A leader that transfers leadership leads on until it hears who is next.
    LeadsOnAfterTransfer,
    /// The successor releases its votes before the key is removed.
    SuccessorReleasesVotesBeforeRemoval,
}
