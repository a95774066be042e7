//! What a group can take, and at which net value.

use super::{Bundle, Market, Slot};

/// A bundle that a group could take.
pub(super) struct Offer {
    /// What it is worth to the group, less its price.
    pub(super) net_value: f64,
    pub(super) bundle: Bundle,
}

impl Market<'_> {
    /// The `limit` best bundles that a group could take, by net value. Lots are looked at by
    /// falling value, which bounds the net value, so that most are never looked at.
    pub(super) fn offers(&self, group: u32, limit: usize) -> Vec<Offer> {
        let mut offers: Vec<Offer> = Vec::new();
        // Offers of no more than this net value cannot be among the best.
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

    /// Adds the offers of one lot. Its slots are sold from the cheapest; a bundle takes the next
    /// cheapest that the group does not hold.
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
            let cpu_part = &cpu_slots[nth_part(nth, group.cpu_slots)];
            let gpu_part = &gpu_slots[nth_part(nth, group.gpu_slots)];
            // One sum over all slots: the order of additions decides ties.
            let price: f64 = cpu_part
                .iter()
                .map(|&slot| self.cpu_slots[lot][slot as usize].price)
                .chain(
                    gpu_part
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
                cpu_slots: cpu_part.to_vec(),
                gpu_slots: gpu_part.to_vec(),
            };
            offers.push(Offer { net_value, bundle });
        }
    }

    /// How many more bundles a group could hold on a lot with so many slots for it.
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
        // Most lots have never been bid for.
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

/// Where the slots of a lot's nth bundle are, with so many slots in each.
fn nth_part(nth: usize, slots: u32) -> std::ops::Range<usize> {
    nth * slots as usize..(nth + 1) * slots as usize
}

fn sort_offers(offers: &mut [Offer]) {
    offers.sort_by(|a, b| {
        b.net_value
            .total_cmp(&a.net_value)
            .then(a.bundle.lot.cmp(&b.bundle.lot))
    });
}
