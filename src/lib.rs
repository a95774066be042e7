//! copperfield: a cluster scheduler for small sites.
//!
//! The layers, from the outside in:
//! - [`transport`]: HTTP and rate limits
//! - [`protocol`]: wire types
//! - [`api`]: requests from users, workers, peers and operators
//! - [`coordination`]: the election, and the core that decides which task runs on which worker
//! - [`storage`]: the records in the state service
//!
//! [`settings`] holds the platform's and the operators' settings. [`controller`] connects the
//! layers: its event loop is the only owner of the process's state, its effects are the actions
//! outside the process that the core requests, and its context is the state that tasks access
//! without going through the event loop.

pub mod api;
pub mod controller;
pub mod coordination;
pub mod settings;
pub mod storage;
pub mod transport;

pub use copperfield_protocol as protocol;
