//! The ε-auction that assigns waiting tasks to workers.
//!
//! The free resources of each worker are a lot of priced slots. Similar tasks bid as one
//! [`BidderGroup`]. It bids for as many bundles of slots as it has unassigned tasks, and raises the
//! price of each until its net value is ε below that of the best bundle that the group does not bid
//! for. Identical tasks therefore never bid against each other, which would raise prices by only ε
//! at a time until the cap on bids is reached.
//!
//! - `types`: the inputs and results of an auction;
//! - `market`: slots, their prices and holders, and the bids;
//! - `opening_price`: the initial price if demand exceeds supply;
//! - `epsilon_scaling`: the rounds of one auction, with decreasing ε;
//! - `greedy`: the assignment that is used if an auction makes too many bids.

mod epsilon_scaling;
mod greedy;
mod market;
mod opening_price;
mod types;

pub use epsilon_scaling::clear;
pub use greedy::greedy;
pub use types::{Award, BidderGroup, Lot, Outcome};
