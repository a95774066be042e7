//! What controllers say to each other, in `borsh`.

use borsh::{BorshDeserialize, BorshSerialize};
use copperfield_shares::{Grant, Statement};

use crate::JobId;
use crate::job::{Phase, Standing};
use crate::worker::{Command, Report};

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
    /// will you not campaign for one TTL? Or does it serve you?
    Vouch { token: u64 },
    /// Are you there?
    Ping,
    /// What an operator asks, of the leader.
    Operate(Order),
    /// Do you not lead? Then no word that was given until now binds you.
    Idle,
    /// From who speaks with some of the machines to the leader.
    Share(Upward),
    /// From the leader: orders for machines that the node asked speaks with.
    Carry { token: u64, messages: Vec<Carried> },
    /// This node leads now: whoever speaks with machines tells it what they said.
    Leads { member: String },
    /// From the leader of this token, which has stepped down: remove its key, and campaign.
    TakeOver { token: u64 },
}

/// What a holder tells the leader: it asks for a grant and passes on what its machines said.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Upward {
    /// Its place among the names of all nodes in their order.
    pub from: u32,
    pub statement: Statement,
    pub told: Vec<Told>,
    /// What became of messages that it carried, by the leader's number for each.
    pub outcomes: Vec<(u64, Outcome)>,
    /// It has nothing more to tell now.
    pub all: bool,
}

/// A report that came to a holder.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Told {
    pub report: Report,
    /// How long ago it came in, in ms.
    pub age_ms: u64,
    /// Its machine waits for an answer, and this node may not give it.
    pub waits: bool,
}

/// The leader's answer to a holder.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Downward {
    pub grant: Grant,
    /// The names of the machines that its changes are about.
    pub names: Vec<(u32, String)>,
    /// Machines that are to report to another node, by its place.
    pub elsewhere: Vec<(String, u32)>,
}

/// A message to a machine that a holder carries for the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Carried {
    pub flight: u64,
    pub address: String,
    pub session: u64,
    /// Without any it is a question: an answer that is late is not waited for.
    pub commands: Vec<Command>,
}

/// The end of a message to a machine.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// Surely not delivered.
    Unsent,
    /// Executed, with the report that followed.
    Executed(Report),
    /// Answered, but nothing was executed.
    Rejected(Option<Report>),
    /// It may still be carried out.
    Unknown,
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
    Granted(Downward),
    /// The messages are on their way; what became of them comes with what a holder tells.
    Carrying,
    /// It does not vouch: the state service serves it, and has the key of the leader that asks.
    CanTakeOver,
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
