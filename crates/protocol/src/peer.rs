//! What controllers say to each other, in `borsh`.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::JobId;
use crate::job::Phase;

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
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Lookup {
    Terminal(Phase),
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
