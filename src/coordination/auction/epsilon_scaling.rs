//! The rounds of one auction, with ε-scaling. ε is the minimum by which a bid raises a price: a
//! small ε gives a better assignment, a large one needs fewer bids where groups outbid each other
//! many times.

use super::greedy::greedy;
use super::market::Market;
use super::opening_price::opening_price;
use super::types::{Award, BidderGroup, Lot, Outcome};

/// The smallest ε, as a share of the median value.
const SMALLEST_SHARE_OF_MEDIAN: f64 = 0.01;
/// The largest ε is the highest value divided by this.
const LARGEST_DIVISOR: f64 = 4.0;
/// ε is divided by this after each round.
const SCALING_FACTOR: f64 = 5.0;
/// An attempt without ε-scaling may make at most the cap divided by this many bids.
const UNSCALED_CAP_DIVISOR: u32 = 4;

/// Assigns tasks to lots with at most about `cap` bids. Groups must be ordered by importance: if
/// the cap is reached, the greedy assignment is used, which serves them in that order.
pub fn clear(lots: &[Lot], groups: &[BidderGroup], cap: u32) -> (Vec<Award>, Outcome) {
    let Some(range) = EpsilonRange::of(groups) else {
        return (Vec::new(), Outcome::default());
    };
    if let Some(result) = clear_from_opening_price(lots, groups, range.smallest, cap) {
        return result;
    }
    let mut market = Market::new(lots, groups, 0.0);
    // Most auctions have little competition and converge with the smallest ε at once.
    let mut converged = converge_fully(&mut market, range.smallest, cap / UNSCALED_CAP_DIVISOR);
    if !converged {
        market.restart();
        converged = converge_with_scaling(&mut market, range, cap);
    }
    let outcome = Outcome {
        bids: market.bids(),
        capped: !converged,
    };
    if converged {
        (market.awards(), outcome)
    } else {
        (greedy(lots, groups), outcome)
    }
}

/// The range of ε in an auction.
#[derive(Debug, Clone, Copy)]
struct EpsilonRange {
    largest: f64,
    smallest: f64,
}

impl EpsilonRange {
    /// Derives the range from the values of all groups; `None` if no group may take any lot.
    fn of(groups: &[BidderGroup]) -> Option<Self> {
        let mut values: Vec<f64> = groups
            .iter()
            .flat_map(|group| group.values.iter().map(|(_, v)| *v))
            .collect();
        values.sort_by(f64::total_cmp);
        let highest = values.last()?;
        let median = values[values.len() / 2];
        Some(Self {
            largest: highest / LARGEST_DIVISOR,
            smallest: (median * SMALLEST_SHARE_OF_MEDIAN).max(f64::MIN_POSITIVE),
        })
    }
}

/// Runs an auction with more demand than supply from an opening price. The result is valid only if
/// every slot is sold: at a lower price, some group would have bid for an unsold slot. Returns
/// `None` if the result is not valid, or if there is no opening price.
fn clear_from_opening_price(
    lots: &[Lot],
    groups: &[BidderGroup],
    epsilon: f64,
    cap: u32,
) -> Option<(Vec<Award>, Outcome)> {
    let opening = opening_price(lots, groups);
    if opening <= 0.0 {
        return None;
    }
    let mut market = Market::new(lots, groups, opening);
    let converged = market.converge(epsilon, cap / UNSCALED_CAP_DIVISOR);
    let outcome = Outcome {
        bids: market.bids(),
        capped: false,
    };
    (converged && market.all_priced_slots_held()).then(|| (market.awards(), outcome))
}

/// Runs the auction to convergence with decreasing ε. Each round keeps the prices of the round
/// before and releases its bundles. Returns false if the cap on bids was reached first.
fn converge_with_scaling(market: &mut Market<'_>, range: EpsilonRange, cap: u32) -> bool {
    let mut epsilon = range.largest;
    loop {
        epsilon = epsilon.max(range.smallest);
        let converged = converge_fully(market, epsilon, cap);
        if !converged || epsilon <= range.smallest {
            return converged;
        }
        epsilon /= SCALING_FACTOR;
        market.release_all();
    }
}

/// Runs the auction to convergence, and again after stale prices are reset, until a reset changes
/// nothing. Returns false if the cap on bids was reached first.
fn converge_fully(market: &mut Market<'_>, epsilon: f64, cap: u32) -> bool {
    loop {
        if !market.converge(epsilon, cap) {
            return false;
        }
        if !market.release_stale_prices(epsilon) {
            return true;
        }
        if market.bids() >= cap {
            return false;
        }
        let bids_before = market.bids();
        if !market.converge(epsilon, cap) {
            return false;
        }
        if market.bids() == bids_before {
            return true;
        }
    }
}
