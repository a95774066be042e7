//! What controllers say to each other, in `borsh`.

use borsh::{BorshDeserialize, BorshSerialize};
use copperfield_sharding::{OwnerStatus, ShardLease};

use crate::JobId;
use crate::job::{JobOutcome, Phase};
use crate::worker::{Command, Heartbeat};

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
    /// From the leader of this fencing token, which cannot renew its lease at the state service:
    /// asks for a vote that extends it. A voter cannot reach the state service either, and
    /// promises not to campaign for one TTL.
    VoteToExtendLease { token: u64 },
    /// Are you there?
    Ping,
    /// What an operator asks, of the leader.
    Admin(AdminRequest),
    /// Asks the receiver to confirm that it leads no term. Then it acts on no vote that was
    /// granted until now.
    ConfirmNoLeader,
    /// From who speaks with some of the workers to the leader.
    Share(ShardStatus),
    /// From the leader: orders for workers that the node asked speaks with.
    RelayCommands {
        token: u64,
        messages: Vec<RelayedCommand>,
    },
    /// The sender leads now: shard owners forward their workers' heartbeats to it.
    LeaderAnnouncement { member: String },
    /// From the leader of this fencing token, which has stepped down: asks the receiver to remove
    /// its leader key and to campaign.
    TransferLeadership { token: u64 },
}

/// What a shard owner tells the leader: it asks for a grant and passes on what its workers said.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardStatus {
    /// Its place among the names of all nodes in their order.
    pub from: u32,
    pub owner_status: OwnerStatus,
    pub forwarded: Vec<ForwardedHeartbeat>,
    /// What became of messages that it carried, by the leader's number for each.
    pub outcomes: Vec<(u64, Outcome)>,
    /// It has nothing more to tell now.
    pub all: bool,
}

/// A report that came to a shard owner.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedHeartbeat {
    pub heartbeat: Heartbeat,
    /// How long ago it came in, in ms.
    pub age_ms: u64,
    /// Its worker waits for an answer, and this node may not give it.
    pub waits: bool,
}

/// The leader's answer to a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ShardUpdate {
    pub shard_lease: ShardLease,
    /// The names of the workers that its changes are about.
    pub names: Vec<(u32, String)>,
    /// Workers that are to report to another node, by its place.
    pub redirects: Vec<(String, u32)>,
}

/// A message to a worker that a shard owner carries for the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RelayedCommand {
    pub message_id: u64,
    pub address: String,
    pub incarnation: u64,
    /// Without any it is a question: an answer that is late is not waited for.
    pub commands: Vec<Command>,
}

/// The end of a message to a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// Surely not delivered.
    Unsent,
    /// Executed, with the report that followed.
    Executed(Heartbeat),
    /// Answered, but nothing was executed.
    Rejected(Option<Heartbeat>),
    /// It may still be carried out.
    Unknown,
}

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum AdminRequest {
    /// A page of the nodes, by name, beginning after `since`.
    Nodes {
        since: String,
    },
    /// Moves under way, the last ones, and what waits for whole workers.
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
    /// The vote that a leader asked for to extend its lease.
    VoteGranted,
    /// The node asked cannot answer now.
    Unable,
    /// The leader's answer to an operator, as HTTP has it.
    AdminAnswered {
        status: u16,
        body: Vec<u8>,
    },
    /// The receiver leads no term.
    NotLeading {
        /// For how long its process has been running.
        up_ms: u64,
    },
    Granted(ShardUpdate),
    /// The messages are on their way; what became of them comes with what a shard owner tells.
    Relaying,
    /// No vote is granted, as the receiver can reach the state service and has read the leader
    /// key of the leader that asks: leadership can be transferred to it.
    ReadyForTransfer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Lookup {
    Terminal(JobOutcome),
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
