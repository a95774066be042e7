//! One controller process: the event loop that owns its state, what it does while it
//! does not lead, and what its tasks share.

pub mod commands;
pub mod context;
pub mod effects;
pub mod event_loop;
pub mod follower;
