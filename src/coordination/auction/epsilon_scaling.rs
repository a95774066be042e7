//! The rounds of one auction. ε is the least by which a bid raises a price: a small ε gives the
//! better assignment, a large one takes fewer bids where groups outbid each other many times.

use super::greedy::greedy;
use super::market::Market;
use super::opening_price::opening_price;
use super::types::{Award, BidderGroup, Lot, Outcome};

/// The finest ε, as a share of the median value.
const FINEST_SHARE_OF_MEDIAN: f64 = 0.01;
/// The coarsest ε is the highest value divided by this.
const COARSEST_DIVISOR: f64 = 4.0;
/// ε is divided by this from round to round.
const SCALING_FACTOR: f64 = 5.0;
/// An attempt without ε-scaling may make the cap divided by this many bids.
const UNSCALED_CAP_DIVISOR: u32 = 4;

/// Assigns tasks to lots, with about `cap` bids at most. Groups must be ordered by importance,
/// for the greedy assignment that is used when the cap is reached.
pub fn clear(lots: &[Lot], groups: &[BidderGroup], cap: u32) -> (Vec<Award>, Outcome) {
    let Some(range) = EpsilonRange::of(groups) else {
        return (Vec::new(), Outcome::default());
    };
    if let Some(result) = clear_from_opening_price(lots, groups, range.finest, cap) {
        return result;
    }
    let mut market = Market::new(lots, groups, 0.0);
    // Most auctions have little rivalry and settle at the finest ε at once.
    let mut converged = settle_fully(&mut market, range.finest, cap / UNSCALED_CAP_DIVISOR);
    if !converged {
        market.restart();
        converged = settle_with_scaling(&mut market, range, cap);
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

/// The values of ε that an auction goes through.
#[derive(Debug, Clone, Copy)]
struct EpsilonRange {
    coarsest: f64,
    finest: f64,
}

impl EpsilonRange {
    /// From the values that the groups see in lots; nothing if no group may take any lot.
    fn of(groups: &[BidderGroup]) -> Option<Self> {
        let mut values: Vec<f64> = groups
            .iter()
            .flat_map(|group| group.values.iter().map(|(_, v)| *v))
            .collect();
        values.sort_by(f64::total_cmp);
        let highest = values.last()?;
        let median = values[values.len() / 2];
        Some(Self {
            coarsest: highest / COARSEST_DIVISOR,
            finest: (median * FINEST_SHARE_OF_MEDIAN).max(f64::MIN_POSITIVE),
        })
    }
}

/// An auction with more demand than supply. It is valid if every slot sells: one left over at
/// that price would have been worth bidding for at a lower one.
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
    let settled = market.settle(epsilon, cap / UNSCALED_CAP_DIVISOR);
    let outcome = Outcome {
        bids: market.bids(),
        capped: false,
    };
    (settled && market.is_sold_out()).then(|| (market.awards(), outcome))
}

/// Settles with one ε after another, keeping prices and not holders. False if the cap came first.
fn settle_with_scaling(market: &mut Market<'_>, range: EpsilonRange, cap: u32) -> bool {
    let mut epsilon = range.coarsest;
    loop {
        epsilon = epsilon.max(range.finest);
        let settled = settle_fully(market, epsilon, cap);
        if !settled || epsilon <= range.finest {
            return settled;
        }
        epsilon /= SCALING_FACTOR;
        market.release_all();
    }
}

/// Settles, and again after stale prices are released, until that changes nothing. False if the
/// cap came first.
fn settle_fully(market: &mut Market<'_>, epsilon: f64, cap: u32) -> bool {
    loop {
        if !market.settle(epsilon, cap) {
            return false;
        }
        if !market.release_stale_prices(epsilon) {
            return true;
        }
        if market.bids() >= cap {
            return false;
        }
        let bids_before = market.bids();
        if !market.settle(epsilon, cap) {
            return false;
        }
        if market.bids() == bids_before {
            return true;
        }
    }
}
