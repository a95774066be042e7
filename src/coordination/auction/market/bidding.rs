//! Bids: groups take the bundles of the highest net value, and displace who holds them.

use std::collections::VecDeque;

use super::offers::Offer;
use super::{Bundle, Market};

/// The offers that a group bids for.
struct Choice {
    offers: Vec<Offer>,
    /// The net value of the best offer it leaves, or 0, which is what staying out is worth.
    next_best: f64,
}

impl Market<'_> {
    /// Bids until nobody gains by another. False if the cap came first.
    pub(in super::super) fn settle(&mut self, epsilon: f64, cap: u32) -> bool {
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

    /// Slots that nobody holds cost nothing again; holders who would now rather move release
    /// their bundles. True if there is reason to bid again.
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

    /// Sets the prices of slots without a holder to 0. True if any was above.
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

    /// What a bundle is worth to its group.
    fn value_of(&self, bundle: &Bundle) -> f64 {
        self.groups[bundle.group as usize]
            .values
            .iter()
            .find(|(lot, _)| *lot == bundle.lot)
            .map_or(0.0, |(_, value)| *value)
    }

    /// One group bids for all that it still wants. Returns the groups it displaced, one entry for
    /// each bundle.
    fn bid(&mut self, group_index: u32, epsilon: f64) -> Vec<u32> {
        let group = &self.groups[group_index as usize];
        let choice = self.choose_offers(group_index);
        let mut displaced = Vec::new();
        // Looking at the offers costs time even where nothing is won.
        self.bids += 1;
        for offer in choice.offers {
            self.bids += 1;
            let raise = (offer.net_value - choice.next_best + epsilon) / group.slots_per_bundle();
            self.displace_holders(&offer.bundle, &mut displaced);
            if self.make_memory_room(&offer.bundle, &mut displaced) {
                self.assign(offer.bundle, raise);
            }
        }
        displaced
    }

    /// The best offers for all tasks of a group that have no bundle, as far as its zones allow.
    fn choose_offers(&self, group: u32) -> Choice {
        let mut zone_room = self.zone_room_left(group);
        let mut wanted = self.unassigned[group as usize];
        let limit = match &zone_room {
            // Full zones are passed over, so any number may be needed.
            Some(_) => usize::MAX / 2,
            None => wanted as usize + 1,
        };
        let mut choice = Choice {
            offers: Vec::new(),
            next_best: 0.0,
        };
        for offer in self.offers(group, limit) {
            if wanted == 0 {
                choice.next_best = offer.net_value;
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
            choice.offers.push(offer);
        }
        choice
    }

    /// How many more bundles a group may take in each zone, if its zones are limited.
    fn zone_room_left(&self, group: u32) -> Option<Vec<u32>> {
        let mut room = self.groups[group as usize].zone_room.clone()?;
        let held = self.bundles.iter().flatten();
        for bundle in held.filter(|bundle| bundle.group == group) {
            let zone = self.lots[bundle.lot as usize].zone as usize;
            room[zone] = room[zone].saturating_sub(1);
        }
        Some(room)
    }

    /// Releases every bundle that shares a slot with this one.
    fn displace_holders(&mut self, bundle: &Bundle, displaced: &mut Vec<u32>) {
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

    /// Memory has no price: the cheapest bundles of other groups are released to make room for
    /// it. False if that is not enough.
    fn make_memory_room(&mut self, bundle: &Bundle, displaced: &mut Vec<u32>) -> bool {
        let needed = self.groups[bundle.group as usize].memory;
        while self.free_memory[bundle.lot as usize] < needed {
            let Some(cheapest) = self.cheapest_of_others(bundle) else {
                return false;
            };
            displaced.extend(self.release(cheapest));
        }
        true
    }

    /// The bundle with the lowest price that another group holds on the same lot.
    fn cheapest_of_others(&self, bundle: &Bundle) -> Option<u32> {
        self.bundles
            .iter()
            .enumerate()
            .filter_map(|(index, held)| held.as_ref().map(|held| (index, held)))
            .filter(|(_, held)| held.lot == bundle.lot && held.group != bundle.group)
            .min_by(|(_, a), (_, b)| self.price_of(a).total_cmp(&self.price_of(b)))
            .map(|(index, _)| index as u32)
    }
}
