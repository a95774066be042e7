//! Who leads, and what runs where.
//!
//! `election` holds the leader key; `core` is the leader's sans-IO state
//! machine, with submodules for copies, reports, what is stored, the market,
//! gangs, preemption, the fleet and its roster.

pub mod auction;
mod copies;
pub mod core;
pub mod election;
mod fleet;
mod forecast;
mod gangs;
pub mod model;
mod moves;
mod placement;
mod preemption;
mod reports;
mod roster;
mod storing;
