//! Activities during which this controller grants no votes.

/// The activities in progress at this controller that must not overlap with a vote.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoteBlockers {
    /// A campaign is in progress or its outcome is not known yet.
    campaigning: bool,
    /// A check is in progress that no leader relies on earlier votes.
    confirming_no_leader: bool,
    /// Number of cancellations that are being stored without a leader.
    leaderless_cancellations: u32,
}

impl VoteBlockers {
    pub(crate) fn any(&self) -> bool {
        self.campaigning || self.confirming_no_leader || self.leaderless_cancellations > 0
    }

    pub(crate) fn set_campaigning(&mut self, campaigning: bool) {
        self.campaigning = campaigning;
    }

    pub(crate) fn set_confirming_no_leader(&mut self, confirming: bool) {
        self.confirming_no_leader = confirming;
    }

    pub(crate) fn begin_leaderless_cancellation(&mut self) {
        self.leaderless_cancellations += 1;
    }

    pub(crate) fn end_leaderless_cancellation(&mut self) {
        self.leaderless_cancellations -= 1;
    }
}
