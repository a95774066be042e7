#![doc = include_str!("../README.md")]

mod assign;
mod coordinator;
mod message;
mod owner;
mod table;

pub use coordinator::{AnswerPermission, Route, ShardCoordinator};
pub use message::{Change, OwnerStatus, ReleasedWorker, ShardLease};
pub use owner::{HeartbeatDecision, ShardOwner};
pub use table::{Assignment, ShardTable};
