//! Who leads, and what runs where.
//!
//! `election` holds the leader key; `core` is the leader's sans-IO state
//! worker. `messages` are what goes into it and comes out, `model` and `state`
//! what it keeps; the other modules each own a part of what it does: copies,
//! reports, who is written to next, what is stored, the market, gangs, preemption,
//! moves, drains, the fleet and its worker registry.

pub mod auction;
pub mod core;
mod dispatch;
mod drains;
pub mod election;
mod failover;
mod fencing;
mod forecast;
mod gangs;
mod heartbeats;
mod instances;
mod messages;
mod migration;
pub mod model;
mod persistence;
mod placement;
mod preemption;
mod provisioning;
mod rebalancing;
mod registry;
mod sharding;
mod state;
mod time;
