//! Requests and replies between controllers, in `borsh`.
//!
//! borsh writes positions, not names: fields and variants are added at the end and never reordered.
//! What a controller of another version does not understand it refuses.

use borsh::{BorshDeserialize, BorshSerialize};
use copperfield_sharding::{OwnerStatus, ShardLease};

use crate::JobId;
use crate::job::{JobOutcome, Phase};
use crate::worker::{Command, Heartbeat};

/// A request from one controller to another.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// To the leader: what it knows of each of these jobs. Answered by [`PeerReply::Lookups`].
    LookUpJobs(Vec<JobId>),
    /// To the leader: cancel a job. Answered by [`PeerReply::Cancelled`].
    CancelJob(JobId),
    /// A request to the state service on behalf of a controller that it refuses. Answered by
    /// [`PeerReply::State`].
    State {
        /// The HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// The body, empty for none.
        body: Vec<u8>,
    },
    /// From the leader of this fencing token, which cannot renew its lease at the state service:
    /// asks for a vote that extends it. A voter cannot reach the state service either, and
    /// agrees not to campaign for one TTL.
    VoteToExtendLease {
        /// The leader's fencing token.
        token: u64,
    },
    /// Whether the controller can be reached. Answered by [`PeerReply::Pong`].
    Ping,
    /// To the leader: an operator's request. Answered by [`PeerReply::AdminResponse`].
    Admin(AdminRequest),
    /// Asks the receiver to confirm that it leads no term. Then it acts on no vote that was
    /// granted until now.
    ConfirmNoLeader,
    /// To the leader: the status of a shard owner. Answered by [`PeerReply::ShardUpdate`].
    ShardStatus(ShardStatus),
    /// From the leader: commands for workers that the receiver is to relay. Answered by
    /// [`PeerReply::Relaying`].
    RelayCommands {
        /// The leader's fencing token.
        token: u64,
        /// One message for each worker.
        messages: Vec<RelayedCommand>,
    },
    /// The sender leads now: shard owners forward their workers' heartbeats to it.
    LeaderAnnouncement {
        /// The sender's member name.
        member: String,
    },
    /// From the leader of this fencing token, which has stepped down: asks the receiver to remove
    /// its leader key and to campaign.
    TransferLeadership {
        /// The sender's fencing token.
        token: u64,
    },
}

/// What a shard owner sends to the leader: it requests a lease and forwards its workers' heartbeats.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardStatus {
    /// The sender's index among all controllers, ordered by name.
    pub from: u32,
    /// The state of its shard.
    pub owner_status: OwnerStatus,
    /// Heartbeats that the leader has not received, or whose workers wait for an answer.
    pub forwarded: Vec<ForwardedHeartbeat>,
    /// The outcomes of messages that it relayed, by the leader's number for each.
    pub outcomes: Vec<(u64, CommandOutcome)>,
    /// Everything that it had to send is in this status.
    pub complete: bool,
}

/// A heartbeat that a shard owner received.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedHeartbeat {
    /// The heartbeat as the worker sent it.
    pub heartbeat: Heartbeat,
    /// How long ago it came in, in ms.
    pub age_ms: u64,
    /// Its worker waits for an answer, which the shard owner may not give.
    pub awaits_reply: bool,
}

/// The leader's answer to a [`ShardStatus`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ShardUpdate {
    /// The lease, with the changes to the shard.
    pub shard_lease: ShardLease,
    /// The numbers and names of the workers that the changes assign.
    pub names: Vec<(u32, String)>,
    /// Workers that are redirected to another controller, by its index.
    pub redirects: Vec<(String, u32)>,
}

/// A message to a worker that another controller relays for the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RelayedCommand {
    /// The leader's number for the message.
    pub message_id: u64,
    /// Where the worker accepts commands.
    pub address: String,
    /// The incarnation of the worker that the commands are for.
    pub incarnation: u64,
    /// Without any it is a probe, whose answer is waited for only briefly.
    pub commands: Vec<Command>,
}

/// The outcome of a message to a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum CommandOutcome {
    /// Surely not delivered.
    Unsent,
    /// Executed, with the heartbeat that followed.
    Executed(Heartbeat),
    /// Answered, but nothing was executed.
    Rejected(Option<Heartbeat>),
    /// It may still be executed.
    Unknown,
}

/// An operator's request. Its "node" is the published name for a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum AdminRequest {
    /// A page of the nodes in the order of their names.
    Nodes {
        /// The page begins with the first name after this one; empty: with the first of all.
        since: String,
    },
    /// Migrations under way, the last ones, and the large tasks that wait for whole workers.
    Moves,
    /// Start nothing new on a node, migrate what is movable, and let the rest complete.
    Drain {
        /// The worker's name.
        node: String,
        /// Seconds from now after which what still runs is stopped; `None`: it completes.
        deadline_s: Option<f64>,
        /// Confirms a drain that disturbs a protected class.
        yes: bool,
    },
    /// End the drain of a node.
    Undrain {
        /// The worker's name.
        node: String,
    },
}

/// A controller's answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    /// How a job stands after the request to cancel it.
    Cancelled(Lookup),
    /// One result for each job asked for, in the same order.
    Lookups(Vec<Lookup>),
    /// The state service's answer to a forwarded request, as HTTP has it.
    State {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The request was received.
    Pong,
    /// The vote that a leader asked for to extend its lease.
    VoteGranted,
    /// The controller cannot answer now.
    Unavailable,
    /// The leader's answer to an operator, as HTTP has it.
    AdminResponse {
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// The receiver leads no term.
    NotLeading {
        /// For how long its process has been running.
        up_ms: u64,
    },
    /// The leader's answer to a shard owner.
    ShardUpdate(ShardUpdate),
    /// The messages are on their way; their outcomes come with the shard owner's statuses.
    Relaying,
    /// No vote is granted, as the receiver can reach the state service and has read the leader
    /// key of the leader that asks: leadership can be transferred to it.
    ReadyForTransfer,
}

/// What a controller knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Lookup {
    /// The job has ended, and its outcome is stored.
    Terminal(JobOutcome),
    /// The job has not ended.
    Live {
        /// Pending or running.
        phase: Phase,
        /// Tasks that are known to be completed.
        done: u32,
        /// Tasks that run now.
        running: u32,
    },
    /// Not in the leader's memory, or its outcome is just being stored: only the state service
    /// has the answer.
    NotInMemory,
    /// The state service was asked and knows no such job.
    NotFound,
    /// The controller that was asked does not lead.
    NotLeader,
}
