#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod coordinator;
mod message;
mod owner;
mod rendezvous;
mod table;

pub use coordinator::{AnswerPermission, Route, ShardCoordinator};
pub use message::{COMMAND_TOKENS_FLAG, OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
pub use owner::{HeartbeatDecision, ShardOwner};
pub use rendezvous::{ControllerCapacity, load_limits, rank_controllers};
pub use table::{Assignment, ShardTable};

/// The leader's number for a worker. A leader never reuses a number.
pub type WorkerNumber = u32;

/// The position of a controller among all controllers, ordered by name.
pub type ControllerIndex = u32;

/// Milliseconds: a time on the local monotonic clock, or a duration.
pub type Millis = u64;
