//! copperfield: a cluster scheduler for small sites.
//!
//! Layers, from the outside in: `transport` (HTTP, budgets), `protocol` (wire
//! types), `coordination` (election, and the core that decides what runs
//! where), `bookkeeping` (what the state service keeps). `node` is the one
//! owner of a process's state and joins them; `errands` are what it has done
//! outside, `shared` is what may be asked without it, `service` answers users,
//! workers and peers.

pub mod bookkeeping;
pub mod commands;
pub mod coordination;
pub mod errands;
pub mod holding;
pub mod node;
pub mod service;
pub mod settings;
pub mod shared;
pub mod transport;

pub use copperfield_protocol as protocol;
