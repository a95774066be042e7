//! The ε-auction that assigns waiting tasks to workers.
//!
//! Each worker's free room is a lot of priced slots. Similar tasks bid as one
//! [`BidderGroup`]: it bids for as many bundles of slots as it has unassigned tasks, and raises
//! each to the net value of the best bundle it does not take. Identical tasks thus never bid
//! against each other, which would raise prices by ε at a time until the cap.
//!
//! - `types`: what comes in and what goes out;
//! - `market`: slots, their prices and holders, and the bids;
//! - `opening_price`: where prices start if more is wanted than there is;
//! - `epsilon_scaling`: the rounds of one auction, from coarse bids to fine ones;
//! - `greedy`: the assignment for an auction that makes too many bids.

mod epsilon_scaling;
mod greedy;
mod market;
mod opening_price;
mod types;

pub use epsilon_scaling::clear;
pub use greedy::greedy;
pub use types::{Award, BidderGroup, Lot, Outcome};
