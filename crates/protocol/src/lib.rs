//! Wire types and their validation: what copperfield exchanges with users, workers, the cloud, the
//! state service, and between its own controllers.
//!
//! Field names that other parties fix stay in this crate; the rest of the program uses the terms
//! of the types defined here (job, task, gang, worker, lease, fencing token).

#![warn(missing_docs)]

pub mod cloud;
mod id;
pub mod job;
pub mod peer;
pub mod state;
pub mod worker;

pub use id::{JobId, parse_task};

/// Largest body that any public interface accepts, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Largest body between controllers, in bytes. Heartbeats beyond half of it are split among
/// messages.
pub const MAX_PEER_BODY_BYTES: u64 = 512 * 1024;
