//! Requests and replies between controllers, encoded with borsh.
//!
//! borsh encodes fields and variants by position, not by name, so new ones are added at the end and
//! existing ones are never reordered. A controller rejects messages of another version that it
//! cannot decode.

use borsh::{BorshDeserialize, BorshSerialize};
use copperfield_sharding::{OwnerStatus, ShardLease};

use crate::JobId;
use crate::job::{JobOutcome, Phase};
use crate::worker::{Command, Heartbeat};

/// A request from one controller to another.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Asks the leader what it knows about each of these jobs. Answered by [`PeerReply::Lookups`].
    LookUpJobs(Vec<JobId>),
    /// Asks the leader to cancel a job. Answered by [`PeerReply::Cancelled`].
    CancelJob(JobId),
    /// Asks the receiver to relay a request to the state service, because the service does not
    /// answer the sender. Answered by [`PeerReply::State`].
    State {
        /// The HTTP method.
        method: String,
        /// The path with the query.
        path: String,
        /// The body. Empty if there is none.
        body: Vec<u8>,
    },
    /// Sent by a leader that cannot renew its lease at the state service, to ask for a vote to
    /// extend it. A controller grants the vote if it cannot reach the state service either, and
    /// then does not campaign for one TTL.
    VoteToExtendLease {
        /// The leader's fencing token.
        token: u64,
    },
    /// Checks that the controller can be reached. Answered by [`PeerReply::Pong`].
    Ping,
    /// Passes an operator's request to the leader. Answered by [`PeerReply::AdminResponse`].
    Admin(AdminRequest),
    /// Asks the receiver to confirm that it is not the leader. After it has confirmed, it acts on
    /// no vote that was granted earlier. Answered by [`PeerReply::NotLeading`].
    ConfirmNoLeader,
    /// Sends a shard owner's status to the leader. Answered by [`PeerReply::ShardUpdate`].
    ShardStatus(ShardStatus),
    /// Sent by the leader: commands that the receiver relays to workers. Answered by
    /// [`PeerReply::Relaying`].
    RelayCommands {
        /// The leader's fencing token.
        token: u64,
        /// The messages to relay, each to one worker.
        messages: Vec<RelayedCommand>,
    },
    /// Announces that the sender is the new leader, to which shard owners forward their workers'
    /// heartbeats.
    LeaderAnnouncement {
        /// The sender's member name.
        member: String,
    },
    /// Sent by a leader that has stepped down. Asks the receiver to remove the sender's leader key
    /// and to campaign.
    TransferLeadership {
        /// The sender's fencing token.
        token: u64,
    },
    /// Like [`Self::RelayCommands`], with a fencing token for each message. Answered by
    /// [`PeerReply::Relaying`].
    RelayFencedCommands {
        /// The leader's fencing token.
        token: u64,
        /// The messages to relay, each to one worker.
        messages: Vec<FencedMessage>,
    },
}

/// The status that a shard owner sends to the leader to request a shard lease and to forward its
/// workers' heartbeats.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardStatus {
    /// The sender's index in the list of all controllers, ordered by name.
    pub from: u32,
    /// The state of its shard.
    pub owner_status: OwnerStatus,
    /// Heartbeats that the leader has not received yet, or whose workers still wait for an answer.
    pub forwarded: Vec<ForwardedHeartbeat>,
    /// The outcomes of relayed messages, each with the ID that the leader gave the message.
    pub outcomes: Vec<(u64, CommandOutcome)>,
    /// Whether the status contains everything that the sender had to forward.
    pub complete: bool,
}

/// A heartbeat that a shard owner received.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedHeartbeat {
    /// The heartbeat as the worker sent it.
    pub heartbeat: Heartbeat,
    /// Time since it was received, in milliseconds.
    pub age_ms: u64,
    /// Whether its worker waits for an answer that the shard owner may not give.
    pub awaits_reply: bool,
}

/// The leader's answer to a [`ShardStatus`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ShardUpdate {
    /// The shard lease, with the changes to the shard.
    pub shard_lease: ShardLease,
    /// The indexes and names of the workers that the changes assign.
    pub names: Vec<(u32, String)>,
    /// The names of workers that are redirected to another controller, each with the controller's
    /// index.
    pub redirects: Vec<(String, u32)>,
}

/// A message to a worker that another controller relays for the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RelayedCommand {
    /// The ID that the leader gave the message.
    pub message_id: u64,
    /// The IP address and port at which the worker accepts commands.
    pub address: String,
    /// The incarnation of the worker for which the commands are meant.
    pub incarnation: u64,
    /// The commands. An empty list requests only a heartbeat, with a short timeout.
    pub commands: Vec<Command>,
}

/// A message to a worker with the fencing token under which it is sent.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FencedMessage {
    /// The fencing token: that of the leader, or a higher one of the same term.
    pub token: u64,
    /// The message.
    pub message: RelayedCommand,
}

/// The leader's answer to a shard owner that knows of fencing tokens above the leader's own.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FencedShardUpdate {
    /// The lease and the changes to the shard.
    pub update: ShardUpdate,
    /// The highest fencing token that workers may have under this leader. The owner of a worker
    /// answers it under the token that it reports, up to this one.
    pub newest_token: u64,
}

/// The outcome of a message to a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum CommandOutcome {
    /// The message was certainly not delivered.
    Unsent,
    /// The worker executed the commands and answered with this heartbeat.
    Executed(Heartbeat),
    /// The worker answered, possibly with a heartbeat, but executed nothing.
    Rejected(Option<Heartbeat>),
    /// There was no usable answer. The commands may have been executed, or may still be.
    Unknown,
}

/// An operator's request. The admin API calls a worker a node.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum AdminRequest {
    /// List one page of the nodes, ordered by name.
    Nodes {
        /// The page begins after this name. Empty for the first page.
        since: String,
    },
    /// List the migrations in progress, the last ones that ended, and the jobs that wait for whole
    /// workers.
    Moves,
    /// Start nothing new on a node, migrate the movable tasks, and let the others complete.
    Drain {
        /// The worker's name.
        node: String,
        /// Time in seconds after which remaining tasks are stopped. `None` lets them complete.
        deadline_s: Option<f64>,
        /// Confirms a drain that affects tasks of a protected class.
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
    /// The state of a job after the request to cancel it.
    Cancelled(Lookup),
    /// One result for each requested job, in the order of the request.
    Lookups(Vec<Lookup>),
    /// The state service's HTTP response to a relayed request.
    State {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The request was received.
    Pong,
    /// The receiver votes to extend the leader's lease.
    VoteGranted,
    /// The receiver cannot answer the request now.
    Unavailable,
    /// The leader's HTTP response to an operator.
    AdminResponse {
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// The receiver is not the leader.
    NotLeading {
        /// The time for which its process has been running, in milliseconds.
        up_ms: u64,
    },
    /// The leader's answer to a shard owner's status.
    ShardUpdate(ShardUpdate),
    /// The receiver relays the messages. It reports their outcomes in its next statuses.
    Relaying,
    /// The receiver does not vote to extend the lease, because it can reach the state service and
    /// has read the requesting leader's key there. Leadership can be transferred to it.
    ReadyForTransfer,
    /// The leader's answer to the status of a shard owner that knows of fencing tokens above the
    /// leader's own.
    FencedShardUpdate(FencedShardUpdate),
}

/// What a controller knows about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Lookup {
    /// The job has ended, and its outcome is stored.
    Terminal(JobOutcome),
    /// The job has not ended.
    Live {
        /// Pending or running.
        phase: Phase,
        /// The number of tasks known to be completed.
        done: u32,
        /// The number of running tasks.
        running: u32,
    },
    /// The leader does not have the job in memory, or its outcome is still being stored. The state
    /// service must be asked.
    NotInMemory,
    /// The state service has no such job.
    NotFound,
    /// The controller is not the leader.
    NotLeader,
}
