//! The bundles that a group can take, with their net values.

use super::{Bundle, Market, Slot};

/// A bundle that a group could take.
pub(super) struct Offer {
    /// Value to the group, less the price.
    pub(super) net_value: f64,
    pub(super) bundle: Bundle,
}

impl Market<'_> {
    /// The `limit` best bundles that a group could take, by net value. Lots are visited in
    /// descending order of value, which is an upper bound of the net value, so that most lots are
    /// never visited.
    pub(super) fn offers(&self, group: u32, limit: usize) -> Vec<Offer> {
        let mut offers: Vec<Offer> = Vec::new();
        // Offers whose net value is not above this cannot be among the best.
        let mut threshold = 0.0;
        for &(lot, value) in &self.lots_by_value[group as usize] {
            if value <= threshold {
                break;
            }
            self.collect_offers(group, lot, value, threshold, &mut offers);
            if offers.len() >= 2 * limit {
                sort_offers(&mut offers);
                offers.truncate(limit);
                threshold = offers[limit - 1].net_value;
            }
        }
        sort_offers(&mut offers);
        offers.truncate(limit);
        offers
    }

    /// Adds the offers of one lot. Each bundle consists of the next cheapest slots that the group
    /// does not hold.
    fn collect_offers(
        &self,
        group_index: u32,
        lot_index: u32,
        value: f64,
        threshold: f64,
        offers: &mut Vec<Offer>,
    ) {
        let group = &self.groups[group_index as usize];
        let lot = lot_index as usize;
        let cpu_slots = self.cheapest_first(&self.cpu_slots[lot], group_index);
        let gpu_slots = if group.gpu_slots > 0 {
            self.cheapest_first(&self.gpu_slots[lot], group_index)
        } else {
            Vec::new()
        };
        let count = self.bundles_that_fit(group_index, lot, cpu_slots.len(), gpu_slots.len());
        for nth in 0..count {
            let bundle_cpu_slots = &cpu_slots[nth_bundle_range(nth, group.cpu_slots)];
            let bundle_gpu_slots = &gpu_slots[nth_bundle_range(nth, group.gpu_slots)];
            // A single sum over all slots: the order of the additions affects rounding, and thereby
            // ties.
            let price: f64 = bundle_cpu_slots
                .iter()
                .map(|&slot| self.cpu_slots[lot][slot as usize].price)
                .chain(
                    bundle_gpu_slots
                        .iter()
                        .map(|&slot| self.gpu_slots[lot][slot as usize].price),
                )
                .sum();
            let net_value = value - price;
            if net_value <= threshold {
                break;
            }
            let bundle = Bundle {
                group: group_index,
                lot: lot_index,
                cpu_slots: bundle_cpu_slots.to_vec(),
                gpu_slots: bundle_gpu_slots.to_vec(),
            };
            offers.push(Offer { net_value, bundle });
        }
    }

    /// How many more bundles a group could hold on a lot, given the numbers of slots that are
    /// available to it.
    fn bundles_that_fit(
        &self,
        group_index: u32,
        lot: usize,
        cpu_slots: usize,
        gpu_slots: usize,
    ) -> usize {
        let group = &self.groups[group_index as usize];
        let held = self.bundles_held[group_index as usize][lot];
        let by_memory = match group.memory {
            0 => i64::MAX,
            memory => self.lots[lot].memory / memory - i64::from(held),
        };
        let mut count = (cpu_slots as u32 / group.cpu_slots).min(group.demand);
        if let Some(by_gpu) = (gpu_slots as u32).checked_div(group.gpu_slots) {
            count = count.min(by_gpu);
        }
        i64::from(count).min(by_memory).max(0) as usize
    }

    /// The slots of a lot that the group does not hold, the cheapest first.
    fn cheapest_first(&self, slots: &[Slot], group: u32) -> Vec<u32> {
        // Shortcut for lots without any bids, which are most lots.
        let untouched = |slot: &Slot| slot.holder.is_none() && slot.price == slots[0].price;
        if slots.iter().all(untouched) {
            return (0..slots.len() as u32).collect();
        }
        let mut indices: Vec<u32> = (0..slots.len() as u32)
            .filter(|&slot| !self.is_held_by(&slots[slot as usize], group))
            .collect();
        indices.sort_by(|&a, &b| {
            slots[a as usize]
                .price
                .total_cmp(&slots[b as usize].price)
                .then(a.cmp(&b))
        });
        indices
    }

    fn is_held_by(&self, slot: &Slot, group: u32) -> bool {
        slot.holder
            .and_then(|index| self.bundles[index as usize].as_ref())
            .is_some_and(|bundle| bundle.group == group)
    }
}

/// The range of the slots of a lot's nth bundle, with `slots` slots in each bundle.
fn nth_bundle_range(nth: usize, slots: u32) -> std::ops::Range<usize> {
    nth * slots as usize..(nth + 1) * slots as usize
}

fn sort_offers(offers: &mut [Offer]) {
    offers.sort_by(|a, b| {
        b.net_value
            .total_cmp(&a.net_value)
            .then(a.bundle.lot.cmp(&b.bundle.lot))
    });
}
