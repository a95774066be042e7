//! copperfield: a cluster scheduler for small sites.
//!
//! Layers, from the outside in: `transport` (HTTP, budgets), `protocol` (wire
//! types), `coordination` (election, and the core that decides what runs
//! where), `storage` (what the state service keeps). `node` is the one
//! owner of a process's state and joins them; `effects` are what it has done
//! outside, `context` is what may be asked without it, `service` answers users,
//! workers and peers.

pub mod api;
pub mod controller;
pub mod coordination;
pub mod settings;
pub mod storage;
pub mod transport;

pub use copperfield_protocol as protocol;
