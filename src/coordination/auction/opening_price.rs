//! The price at which an auction opens if more is wanted than there is.

use super::types::{BidderGroup, Lot};

/// Prices open at this share of the marginal bid, so that they are surely below it.
const SHARE_OF_MARGINAL_BID: f64 = 0.95;

/// Roughly, and from below, the price of a CPU slot at which demand meets supply; 0 if there is
/// room for all. Bids that start there need not climb by ε at a time, which would reach the cap.
pub(super) fn opening_price(lots: &[Lot], groups: &[BidderGroup]) -> f64 {
    let supply: u64 = lots.iter().map(|lot| u64::from(lot.cpu_slots)).sum();
    let mut wanted: Vec<(f64, u64)> = groups
        .iter()
        .map(|group| {
            let best = group.values.iter().map(|(_, v)| *v).fold(0.0, f64::max);
            let slots = u64::from(group.cpu_slots) * u64::from(group.demand);
            (best / group.slots_per_bundle(), slots)
        })
        .collect();
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut sold = 0;
    for (value_per_slot, slots) in wanted {
        sold += slots;
        if sold > supply {
            return value_per_slot * SHARE_OF_MARGINAL_BID;
        }
    }
    0.0
}
