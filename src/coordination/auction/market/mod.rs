//! The state of an auction: every slot with its price and its holder.

mod bidding;
mod offers;

use super::types::{Award, BidderGroup, Lot};

/// One slot of a lot.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slot {
    price: f64,
    /// Index of the bundle that the slot belongs to.
    holder: Option<u32>,
}

/// The slots of one lot that one task of a group holds or could hold.
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

/// The lots of an auction, the groups that bid for them, and the current prices and holders.
pub(super) struct Market<'a> {
    lots: &'a [Lot],
    groups: &'a [BidderGroup],
    /// The CPU slots of each lot.
    cpu_slots: Vec<Vec<Slot>>,
    /// The GPU slots of each lot.
    gpu_slots: Vec<Vec<Slot>>,
    /// Bundles that are held, by index; a released bundle leaves `None`.
    bundles: Vec<Option<Bundle>>,
    /// Number of bundles that each group holds on each lot.
    bundles_held: Vec<Vec<u16>>,
    /// The lots that each group may take and their values, the most valuable first.
    lots_by_value: Vec<Vec<(u32, f64)>>,
    /// Free memory of each lot.
    free_memory: Vec<i64>,
    /// Number of bundles that each group still needs.
    unassigned: Vec<u32>,
    /// Number of bids made so far.
    bids: u32,
}

impl<'a> Market<'a> {
    /// Creates a market in which no slot has a holder. `opening_price` is the initial price of a
    /// CPU slot; GPU slots start at 0.
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

    /// Number of bids made so far.
    pub(super) fn bids(&self) -> u32 {
        self.bids
    }

    /// Whether every slot with a price has a holder.
    pub(super) fn all_priced_slots_held(&self) -> bool {
        self.cpu_slots
            .iter()
            .chain(&self.gpu_slots)
            .flatten()
            .all(|slot| slot.holder.is_some() || slot.price == 0.0)
    }

    /// The bundles that are held, as awards.
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

    /// Releases every bundle. Prices stay.
    pub(super) fn release_all(&mut self) {
        for index in 0..self.bundles.len() as u32 {
            self.release(index);
        }
        self.bundles.clear();
    }

    /// Resets all prices to 0 and releases all bundles. The count of bids continues.
    pub(super) fn restart(&mut self) {
        let bids = self.bids;
        *self = Self::new(self.lots, self.groups, 0.0);
        self.bids = bids;
    }

    /// Releases a bundle. Returns the group that held it, if it was held.
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

    /// Assigns a bundle, whose slots must be free, to its group, and raises the price of each slot
    /// by `raise`.
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

    /// The price of a bundle at current prices.
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
