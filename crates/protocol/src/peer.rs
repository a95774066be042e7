//! What controllers say to each other, in `borsh`.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::JobId;
use crate::job::{Phase, Standing};

#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// What the leader knows of each of these jobs.
    Lookup(Vec<JobId>),
    /// Cancel a job, asked of the leader.
    Cancel(JobId),
    /// A request to the state service on behalf of a node that it refuses.
    State {
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// The leader cannot renew: does the state service refuse you as well, and
    /// will you not campaign for one TTL?
    Vouch { token: u64 },
    /// Are you there?
    Ping,
    /// What an operator asks, of the leader.
    Operate(Order),
    /// Do you not lead? Then no word that was given until now binds you.
    Idle,
}

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Order {
    /// A page of the nodes, by name, beginning after `since`.
    Nodes {
        since: String,
    },
    /// Moves under way, the last ones, and what waits for whole machines.
    Moves,
    /// Nothing new is started on a node; what may move moves; the rest ends by itself, or
    /// is stopped in order once the deadline has passed.
    Drain {
        node: String,
        deadline_s: Option<f64>,
        /// Also if it disturbs a protected class.
        yes: bool,
    },
    Undrain {
        node: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    Job(Lookup),
    Jobs(Vec<Lookup>),
    State {
        status: u16,
        body: Vec<u8>,
    },
    Pong,
    Vouched,
    /// The node asked cannot answer now.
    Unable,
    /// The leader's answer to an operator, as HTTP has it.
    Operated {
        status: u16,
        body: Vec<u8>,
    },
    /// It does not, and its process has lived for so long.
    Idle {
        up_ms: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Lookup {
    Terminal(Standing),
    Live {
        phase: Phase,
        done: u32,
        running: u32,
    },
    /// Not in the leader's memory, or its end is just being stored: only the
    /// state service can tell.
    AskState,
    /// The state service was asked and has never seen it.
    Never,
    /// The node asked does not lead.
    NotLeading,
}
