//! Bidding: groups take the bundles of the highest net value from their current holders.

use std::collections::VecDeque;

use super::offers::Offer;
use super::{Bundle, Market};

/// The offers that a group bids for.
struct BidSelection {
    offers: Vec<Offer>,
    /// The net value of the best offer that the group does not take; 0, the net value of holding
    /// nothing, if there is no further offer.
    next_best: f64,
}

impl Market<'_> {
    /// Runs bids until every group holds its best bundles, to within ε. Returns false if the cap on
    /// bids was reached first.
    pub(in super::super) fn converge(&mut self, epsilon: f64, cap: u32) -> bool {
        let mut queue: VecDeque<u32> = (0..self.groups.len() as u32).collect();
        while let Some(group) = queue.pop_front() {
            if self.unassigned[group as usize] == 0 {
                continue;
            }
            if self.bids >= cap {
                return false;
            }
            for displaced in self.bid(group, epsilon) {
                if !queue.contains(&displaced) {
                    queue.push_back(displaced);
                }
            }
        }
        true
    }

    /// Resets the prices of slots without a holder to 0, and releases the bundles of groups that
    /// would now gain more than ε by another one. Returns true if another round of bids is needed.
    pub(in super::super) fn release_stale_prices(&mut self, epsilon: f64) -> bool {
        if !self.reset_free_prices() {
            return false;
        }
        let mut bid_again = self.unassigned.iter().any(|&count| count > 0);
        let best: Vec<f64> = (0..self.groups.len() as u32)
            .map(|group| self.offers(group, 1).first().map_or(0.0, |o| o.net_value))
            .collect();
        for index in 0..self.bundles.len() as u32 {
            let Some(bundle) = &self.bundles[index as usize] else {
                continue;
            };
            let net_value = self.value_of(bundle) - self.price_of(bundle);
            if best[bundle.group as usize] > net_value + epsilon {
                self.release(index);
                bid_again = true;
            }
        }
        bid_again
    }

    /// Sets the prices of slots without a holder to 0. Returns whether any of them was higher.
    fn reset_free_prices(&mut self) -> bool {
        let mut lowered = false;
        for slots in self.cpu_slots.iter_mut().chain(&mut self.gpu_slots) {
            for slot in slots.iter_mut().filter(|slot| slot.holder.is_none()) {
                lowered |= slot.price > 0.0;
                slot.price = 0.0;
            }
        }
        lowered
    }

    /// The value of a bundle to its group.
    fn value_of(&self, bundle: &Bundle) -> f64 {
        self.groups[bundle.group as usize]
            .values
            .iter()
            .find(|(lot, _)| *lot == bundle.lot)
            .map_or(0.0, |(_, value)| *value)
    }

    /// Bids for all bundles that a group still needs. Returns the groups whose bundles it released,
    /// one entry per bundle.
    fn bid(&mut self, group_index: u32, epsilon: f64) -> Vec<u32> {
        let group = &self.groups[group_index as usize];
        let selection = self.select_offers(group_index);
        let mut displaced = Vec::new();
        // Collecting the offers takes time even if the group wins nothing, so it counts as a bid.
        self.bids += 1;
        for offer in selection.offers {
            self.bids += 1;
            let raise =
                (offer.net_value - selection.next_best + epsilon) / group.slots_per_bundle();
            self.release_overlapping_bundles(&offer.bundle, &mut displaced);
            if self.release_until_memory_fits(&offer.bundle, &mut displaced) {
                self.assign(offer.bundle, raise);
            }
        }
        displaced
    }

    /// The best offers for all tasks of a group without a bundle, within the limits of its zones.
    fn select_offers(&self, group: u32) -> BidSelection {
        let mut zone_room = self.zone_room_left(group);
        let mut wanted = self.unassigned[group as usize];
        let limit = match &zone_room {
            // Offers in full zones are skipped, so the number of offers needed is not known in
            // advance.
            Some(_) => usize::MAX / 2,
            None => wanted as usize + 1,
        };
        let mut selection = BidSelection {
            offers: Vec::new(),
            next_best: 0.0,
        };
        for offer in self.offers(group, limit) {
            if wanted == 0 {
                selection.next_best = offer.net_value;
                break;
            }
            if let Some(zone_room) = &mut zone_room {
                let room = &mut zone_room[self.lots[offer.bundle.lot as usize].zone as usize];
                if *room == 0 {
                    continue;
                }
                *room -= 1;
            }
            wanted -= 1;
            selection.offers.push(offer);
        }
        selection
    }

    /// How many more bundles a group may take in each zone; `None` if its zones are not limited.
    fn zone_room_left(&self, group: u32) -> Option<Vec<u32>> {
        let mut room = self.groups[group as usize].zone_room.clone()?;
        let held = self.bundles.iter().flatten();
        for bundle in held.filter(|bundle| bundle.group == group) {
            let zone = self.lots[bundle.lot as usize].zone as usize;
            room[zone] = room[zone].saturating_sub(1);
        }
        Some(room)
    }

    /// Releases every bundle that shares a slot with this one, and adds the groups that held them
    /// to `displaced`.
    fn release_overlapping_bundles(&mut self, bundle: &Bundle, displaced: &mut Vec<u32>) {
        let lot = bundle.lot as usize;
        for &slot in &bundle.cpu_slots {
            if let Some(holder) = self.cpu_slots[lot][slot as usize].holder {
                displaced.extend(self.release(holder));
            }
        }
        for &slot in &bundle.gpu_slots {
            if let Some(holder) = self.gpu_slots[lot][slot as usize].holder {
                displaced.extend(self.release(holder));
            }
        }
    }

    /// Releases bundles of other groups on the lot, the cheapest first, until the memory for this
    /// bundle is free, as memory has no price. Returns false if that is not enough.
    fn release_until_memory_fits(&mut self, bundle: &Bundle, displaced: &mut Vec<u32>) -> bool {
        let needed = self.groups[bundle.group as usize].memory;
        while self.free_memory[bundle.lot as usize] < needed {
            let Some(cheapest) = self.cheapest_bundle_of_others(bundle) else {
                return false;
            };
            displaced.extend(self.release(cheapest));
        }
        true
    }

    /// The index of the cheapest bundle that another group holds on the same lot.
    fn cheapest_bundle_of_others(&self, bundle: &Bundle) -> Option<u32> {
        self.bundles
            .iter()
            .enumerate()
            .filter_map(|(index, held)| held.as_ref().map(|held| (index, held)))
            .filter(|(_, held)| held.lot == bundle.lot && held.group != bundle.group)
            .min_by(|(_, a), (_, b)| self.price_of(a).total_cmp(&self.price_of(b)))
            .map(|(index, _)| index as u32)
    }
}
