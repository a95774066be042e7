//! Wire types and their validation: the messages that copperfield exchanges with users, workers,
//! the cloud and the state service, and those between its controllers.
//!
//! Field names that are fixed by other parties appear only in this crate. The rest of the program
//! uses the names of the types defined here (job, task, gang, worker, lease, fencing token).

#![warn(missing_docs)]

pub mod cloud;
mod id;
pub mod job;
pub mod peer;
pub mod state;
pub mod worker;

pub use id::{JobId, parse_task};

/// The maximum size of a body that a public interface accepts.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// The maximum size of a body between controllers. Forwarded heartbeats that take more than half of
/// it are split among several messages.
pub const MAX_PEER_BODY_BYTES: u64 = 512 * 1024;
