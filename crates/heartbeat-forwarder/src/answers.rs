//! What goes back to the workers.

/// The answer to a heartbeat, which waits under a ticket of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// 200 without commands, under this fencing token.
    Answer {
        /// Of the heartbeat.
        ticket: u64,
        /// The fencing token of the leader that gave the lease.
        token: u64,
    },
    /// 421 with this controller, or with the leader.
    Redirect {
        /// Of the heartbeat.
        ticket: u64,
        /// The index of the controller, `None` for the leader.
        to: Option<u32>,
    },
}

impl Action {
    pub(crate) fn redirect_to_leader(ticket: u64) -> Self {
        Self::Redirect { ticket, to: None }
    }
}
