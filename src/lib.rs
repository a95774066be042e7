//! copperfield: a cluster scheduler for small sites.
//!
//! Layers, from the outside in: [`transport`] (HTTP and rate limits), [`protocol`] (wire types),
//! [`api`] (requests of users, workers, peers and operators), [`coordination`] (the election, and
//! the core that decides what runs where) and [`storage`] (what the state service keeps).
//! [`controller`] joins them: its event loop is the only owner of a process's state, its effects
//! are what the core asks for outside the process, and its context is what tasks may read without
//! asking the event loop.

pub mod api;
pub mod controller;
pub mod coordination;
pub mod settings;
pub mod storage;
pub mod transport;

pub use copperfield_protocol as protocol;
