//! The market: every slot with its price and its holder.

mod bidding;
mod offers;

use super::types::{Award, BidderGroup, Lot};

/// One slot of a lot.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slot {
    price: f64,
    /// Index of the bundle that it belongs to.
    holder: Option<u32>,
}

/// Slots of one lot, for one task of a group.
#[derive(Debug, Clone)]
struct Bundle {
    /// Index of the group.
    group: u32,
    /// Index of the lot.
    lot: u32,
    /// Indices of its CPU slots within the lot.
    cpu_slots: Vec<u32>,
    /// Indices of its GPU slots within the lot.
    gpu_slots: Vec<u32>,
}

/// Lots on sale, and the groups that bid for them.
pub(super) struct Market<'a> {
    lots: &'a [Lot],
    groups: &'a [BidderGroup],
    /// The CPU slots of each lot.
    cpu_slots: Vec<Vec<Slot>>,
    /// The GPU slots of each lot.
    gpu_slots: Vec<Vec<Slot>>,
    /// Bundles that are held; a displaced one leaves a gap.
    bundles: Vec<Option<Bundle>>,
    /// How many bundles each group holds on each lot.
    bundles_held: Vec<Vec<u16>>,
    /// Each group's lots, the most valuable first.
    lots_by_value: Vec<Vec<(u32, f64)>>,
    /// Free memory of each lot.
    free_memory: Vec<i64>,
    /// How many bundles each group still wants.
    unassigned: Vec<u32>,
    /// Bids made so far.
    bids: u32,
}

impl<'a> Market<'a> {
    /// A market without holders. `opening_price` is the price of a CPU slot before any bid.
    pub(super) fn new(lots: &'a [Lot], groups: &'a [BidderGroup], opening_price: f64) -> Self {
        let slots = |count: u32, price: f64| {
            let slot = Slot {
                price,
                holder: None,
            };
            vec![slot; count as usize]
        };
        Self {
            lots,
            groups,
            cpu_slots: lots
                .iter()
                .map(|lot| slots(lot.cpu_slots, opening_price))
                .collect(),
            gpu_slots: lots.iter().map(|lot| slots(lot.gpu_slots, 0.0)).collect(),
            bundles: Vec::new(),
            bundles_held: vec![vec![0; lots.len()]; groups.len()],
            lots_by_value: groups.iter().map(BidderGroup::lots_by_value).collect(),
            free_memory: lots.iter().map(|lot| lot.memory).collect(),
            unassigned: groups.iter().map(|group| group.demand).collect(),
            bids: 0,
        }
    }

    /// Bids made so far.
    pub(super) fn bids(&self) -> u32 {
        self.bids
    }

    /// Whether every slot with a price has a holder.
    pub(super) fn is_sold_out(&self) -> bool {
        self.cpu_slots
            .iter()
            .chain(&self.gpu_slots)
            .flatten()
            .all(|slot| slot.holder.is_some() || slot.price == 0.0)
    }

    /// What each group holds.
    pub(super) fn awards(&self) -> Vec<Award> {
        self.bundles
            .iter()
            .flatten()
            .map(|bundle| Award {
                group: bundle.group,
                lot: bundle.lot,
            })
            .collect()
    }

    /// Takes every bundle from its holder. Prices stay.
    pub(super) fn release_all(&mut self) {
        for index in 0..self.bundles.len() as u32 {
            self.release(index);
        }
        self.bundles.clear();
    }

    /// Back to prices of 0 without holders. The bids made so far still count.
    pub(super) fn restart(&mut self) {
        let bids = self.bids;
        *self = Self::new(self.lots, self.groups, 0.0);
        self.bids = bids;
    }

    /// Takes a bundle from its holder. Returns which group that was, if there was one.
    fn release(&mut self, index: u32) -> Option<u32> {
        let bundle = self.bundles[index as usize].take()?;
        let lot = bundle.lot as usize;
        let group = bundle.group as usize;
        for &slot in &bundle.cpu_slots {
            self.cpu_slots[lot][slot as usize].holder = None;
        }
        for &slot in &bundle.gpu_slots {
            self.gpu_slots[lot][slot as usize].holder = None;
        }
        self.free_memory[lot] += self.groups[group].memory;
        self.bundles_held[group][lot] -= 1;
        self.unassigned[group] += 1;
        Some(bundle.group)
    }

    /// Gives a bundle, whose slots are free, to its group, at prices raised by `raise` a slot.
    fn assign(&mut self, bundle: Bundle, raise: f64) {
        let lot = bundle.lot as usize;
        let group = bundle.group as usize;
        let index = self.bundles.len() as u32;
        for &slot in &bundle.cpu_slots {
            let slot = &mut self.cpu_slots[lot][slot as usize];
            slot.price += raise;
            slot.holder = Some(index);
        }
        for &slot in &bundle.gpu_slots {
            let slot = &mut self.gpu_slots[lot][slot as usize];
            slot.price += raise;
            slot.holder = Some(index);
        }
        self.free_memory[lot] -= self.groups[group].memory;
        self.bundles_held[group][lot] += 1;
        self.unassigned[group] -= 1;
        self.bundles.push(Some(bundle));
    }

    /// What a bundle costs at today's prices.
    fn price_of(&self, bundle: &Bundle) -> f64 {
        let lot = bundle.lot as usize;
        let cpu_price = bundle
            .cpu_slots
            .iter()
            .map(|&slot| self.cpu_slots[lot][slot as usize].price)
            .sum::<f64>();
        let gpu_price = bundle
            .gpu_slots
            .iter()
            .map(|&slot| self.gpu_slots[lot][slot as usize].price)
            .sum::<f64>();
        cpu_price + gpu_price
    }
}
