//! Who leads, and what runs where.
//!
//! `election` holds the leader key; `core` is the leader's sans-IO state
//! machine. `messages` are what goes into it and comes out, `model` and `state`
//! what it keeps; the other modules each own a part of what it does: copies,
//! reports, who is written to next, what is stored, the market, gangs, preemption,
//! moves, drains, the fleet and its roster.

pub mod auction;
mod copies;
pub mod core;
mod dispatch;
mod drains;
pub mod election;
mod fleet;
mod forecast;
mod gangs;
mod messages;
pub mod model;
mod moves;
mod placement;
mod preemption;
mod relocation;
mod reports;
mod roster;
mod sharing;
mod silence;
mod state;
mod storing;
mod takeover;
