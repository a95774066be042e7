//! The opening price of an auction in which demand exceeds supply.

use super::types::{BidderGroup, Lot};

/// The opening price as a share of the marginal bid, so that it is certainly below that bid.
const SHARE_OF_MARGINAL_BID: f64 = 0.95;

/// An estimate from below of the price of a CPU slot at which demand meets supply; 0 if supply
/// covers all demand. Bids that start at this price do not have to rise from 0 by ε at a time,
/// which would reach the cap on bids.
pub(super) fn opening_price(lots: &[Lot], groups: &[BidderGroup]) -> f64 {
    let supply: u64 = lots.iter().map(|lot| u64::from(lot.cpu_slots)).sum();
    let mut demand_by_value: Vec<(f64, u64)> = groups
        .iter()
        .map(|group| {
            let highest_value = group.values.iter().map(|(_, v)| *v).fold(0.0, f64::max);
            let slots = u64::from(group.cpu_slots) * u64::from(group.demand);
            (highest_value / group.slots_per_bundle(), slots)
        })
        .collect();
    demand_by_value.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut cumulative_demand = 0;
    for (value_per_slot, slots) in demand_by_value {
        cumulative_demand += slots;
        if cumulative_demand > supply {
            return value_per_slot * SHARE_OF_MARGINAL_BID;
        }
    }
    0.0
}
