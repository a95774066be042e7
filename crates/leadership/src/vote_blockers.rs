//! Activities during which this controller grants no vote.

/// What goes on at this controller and must not overlap with a vote.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoteBlockers {
    /// A campaign is out, or its outcome is not known yet.
    campaigning: bool,
    /// It is being confirmed that earlier votes bind nobody.
    confirming_no_leader: bool,
    /// Cancellations that are being stored without a leader.
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
