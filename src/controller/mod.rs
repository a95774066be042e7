//! One controller process: the event loop that owns its state, its roles as leader and follower,
//! and the effects that it executes.

#![warn(missing_docs)]

pub mod commands;
pub mod context;
pub mod effects;
pub mod event_loop;
pub mod follower;

mod leader;
mod outcome_cache;
mod pause_detector;
mod pending_replies;
mod relay_batch;
mod resignation;
mod step_stats;
