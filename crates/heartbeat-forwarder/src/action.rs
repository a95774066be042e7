//! The answers to workers.

/// The answer to a heartbeat. The caller identifies the waiting request by its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Accepts the heartbeat under a fencing token, without commands: 200.
    Answer {
        /// The ticket of the heartbeat.
        ticket: u64,
        /// The fencing token of the leader that gave the lease.
        token: u64,
    },
    /// Redirects the worker to another controller: 421.
    Redirect {
        /// The ticket of the heartbeat.
        ticket: u64,
        /// The index of the controller, or `None` for the leader.
        to: Option<u32>,
    },
}

impl Action {
    pub(crate) fn redirect_to_leader(ticket: u64) -> Self {
        Self::Redirect { ticket, to: None }
    }
}
