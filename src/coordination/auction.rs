//! The ε-auction over priced slots.
//!
//! Tasks of one job are one group of similar bidders: a group bids for as many
//! bundles as it has unassigned tasks, and raises each to the net value of the
//! best bundle it does not take. Identical tasks thus never bid against each
//! other, which would raise prices by ε at a time until the cap.

use crate::protocol::job::Resources;

/// One worker's free room, cut into slots.
#[derive(Debug, Clone)]
pub struct Lot {
    pub cpu_slots: u32,
    pub gpu_slots: u32,
    pub memory: i64,
    pub zone: u32,
}

/// A job's waiting tasks.
#[derive(Debug, Clone)]
pub struct Group {
    pub demand: u32,
    pub cpu_slots: u32,
    pub gpu_slots: u32,
    pub memory: i64,
    /// What one task is worth on a lot; lots that a filter forbids are absent.
    pub values: Vec<(u32, f64)>,
    /// How many more tasks each zone may get, if zones are limited.
    pub zone_room: Option<Vec<u32>>,
}

impl Group {
    pub fn sized(needs: &Resources, slot_cpus: f64) -> (u32, u32) {
        let slot = (slot_cpus * 1000.0) as i64;
        let cpus = needs.cpus.max(1).div_euclid(slot) + i64::from(needs.cpus % slot != 0);
        (
            cpus.max(1) as u32,
            (needs.gpus as f64 / 1000.0).ceil() as u32,
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Award {
    pub group: u32,
    pub lot: u32,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    pub bids: u32,
    /// The cap was hit and the greedy assignment took over.
    pub capped: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Slot {
    price: f64,
    shard_owner: Option<u32>,
}

#[derive(Debug, Clone)]
struct Follower {
    group: u32,
    lot: u32,
    cpu: Vec<u32>,
    gpu: Vec<u32>,
}

struct Offer {
    net: f64,
    lot: u32,
    cpu: Vec<u32>,
    gpu: Vec<u32>,
}

struct Market<'a> {
    lots: &'a [Lot],
    groups: &'a [Group],
    cpu: Vec<Vec<Slot>>,
    gpu: Vec<Vec<Slot>>,
    /// Assigned bundles; a displaced one leaves a gap.
    held: Vec<Option<Follower>>,
    /// How many bundles each group holds on each lot.
    own: Vec<Vec<u16>>,
    /// Each group's lots by falling value.
    by_value: Vec<Vec<(u32, f64)>>,
    memory: Vec<i64>,
    waiting: Vec<u32>,
    bids: u32,
}

impl<'a> Market<'a> {
    /// `opening` is the price of a CPU slot before any bid.
    fn new(lots: &'a [Lot], groups: &'a [Group], opening: f64) -> Self {
        let slots = |n: u32, price: f64| {
            vec![
                Slot {
                    price,
                    shard_owner: None
                };
                n as usize
            ]
        };
        let by_value = groups
            .iter()
            .map(|g| {
                let mut values = g.values.clone();
                values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
                values
            })
            .collect();
        Self {
            lots,
            groups,
            by_value,
            own: vec![vec![0; lots.len()]; groups.len()],
            cpu: lots.iter().map(|l| slots(l.cpu_slots, opening)).collect(),
            gpu: lots.iter().map(|l| slots(l.gpu_slots, 0.0)).collect(),
            held: Vec::new(),
            memory: lots.iter().map(|l| l.memory).collect(),
            waiting: groups.iter().map(|g| g.demand).collect(),
            bids: 0,
        }
    }

    /// The `limit` best bundles a group could take, by net value. Slots of a lot
    /// are sold from the cheapest; a bundle takes the next cheapest that the
    /// group does not hold. Lots are looked at by falling value, which bounds the
    /// net value, so that most are never looked at.
    fn offers(&self, g: u32, limit: usize) -> Vec<Offer> {
        let group = &self.groups[g as usize];
        let mut offers: Vec<Offer> = Vec::new();
        let mut enough = 0.0;
        for &(lot, value) in &self.by_value[g as usize] {
            if value <= enough {
                break;
            }
            let l = lot as usize;
            let own = self.own[g as usize][l];
            let by_memory = match group.memory {
                0 => i64::MAX,
                m => self.lots[l].memory / m - i64::from(own),
            };
            let cpu = self.cheapest(&self.cpu[l], g);
            let gpu = if group.gpu_slots > 0 {
                self.cheapest(&self.gpu[l], g)
            } else {
                Vec::new()
            };
            let mut count = (cpu.len() as u32 / group.cpu_slots).min(group.demand);
            if let Some(n) = (gpu.len() as u32).checked_div(group.gpu_slots) {
                count = count.min(n);
            }
            let count = i64::from(count).min(by_memory).max(0) as usize;
            for k in 0..count {
                let part = |n: u32| k * n as usize..(k + 1) * n as usize;
                let price: f64 = cpu[part(group.cpu_slots)]
                    .iter()
                    .map(|&s| self.cpu[l][s as usize].price)
                    .chain(
                        gpu[part(group.gpu_slots)]
                            .iter()
                            .map(|&s| self.gpu[l][s as usize].price),
                    )
                    .sum();
                let net = value - price;
                if net <= enough {
                    break;
                }
                offers.push(Offer {
                    net,
                    lot,
                    cpu: cpu[part(group.cpu_slots)].to_vec(),
                    gpu: gpu[part(group.gpu_slots)].to_vec(),
                });
            }
            if offers.len() >= 2 * limit {
                sort_offers(&mut offers);
                offers.truncate(limit);
                enough = offers[limit - 1].net;
            }
        }
        sort_offers(&mut offers);
        offers.truncate(limit);
        offers
    }

    fn cheapest(&self, slots: &[Slot], g: u32) -> Vec<u32> {
        // Most lots have never been bid for.
        if slots
            .iter()
            .all(|s| s.shard_owner.is_none() && s.price == slots[0].price)
        {
            return (0..slots.len() as u32).collect();
        }
        let mut list: Vec<u32> = (0..slots.len() as u32)
            .filter(|&s| {
                slots[s as usize]
                    .shard_owner
                    .is_none_or(|h| self.held[h as usize].as_ref().is_none_or(|h| h.group != g))
            })
            .collect();
        list.sort_by(|&a, &b| {
            slots[a as usize]
                .price
                .total_cmp(&slots[b as usize].price)
                .then(a.cmp(&b))
        });
        list
    }

    fn zone_left(&self, g: u32) -> Option<Vec<u32>> {
        let mut room = self.groups[g as usize].zone_room.clone()?;
        for h in self.held.iter().flatten().filter(|h| h.group == g) {
            let zone = self.lots[h.lot as usize].zone as usize;
            room[zone] = room[zone].saturating_sub(1);
        }
        Some(room)
    }

    fn displace(&mut self, at: u32, displaced: &mut Vec<u32>) {
        let Some(h) = self.held[at as usize].take() else {
            return;
        };
        for &s in &h.cpu {
            self.cpu[h.lot as usize][s as usize].shard_owner = None;
        }
        for &s in &h.gpu {
            self.gpu[h.lot as usize][s as usize].shard_owner = None;
        }
        self.memory[h.lot as usize] += self.groups[h.group as usize].memory;
        self.own[h.group as usize][h.lot as usize] -= 1;
        self.waiting[h.group as usize] += 1;
        displaced.push(h.group);
    }

    /// One group bids for all its unassigned tasks. Returns whom it displaced.
    fn bid(&mut self, g: u32, epsilon: f64) -> Vec<u32> {
        let group = &self.groups[g as usize];
        let mut zones = self.zone_left(g);
        let mut wanted = self.waiting[g as usize];
        let mut chosen = Vec::new();
        // The net value of the best bundle left to others; staying out is worth nothing.
        let mut second = 0.0;
        let limit = match &zones {
            // Full zones are passed over, so any number may be needed.
            Some(_) => usize::MAX / 2,
            None => wanted as usize + 1,
        };
        for offer in self.offers(g, limit) {
            if wanted == 0 {
                second = offer.net;
                break;
            }
            if let Some(zones) = &mut zones {
                let left = &mut zones[self.lots[offer.lot as usize].zone as usize];
                if *left == 0 {
                    continue;
                }
                *left -= 1;
            }
            wanted -= 1;
            chosen.push(offer);
        }
        let mut displaced = Vec::new();
        // A look around costs something even where nothing is won.
        self.bids += 1;
        for offer in chosen {
            self.bids += 1;
            let lot = offer.lot as usize;
            let raise =
                (offer.net - second + epsilon) / f64::from(group.cpu_slots + group.gpu_slots);
            for &s in &offer.cpu {
                if let Some(h) = self.cpu[lot][s as usize].shard_owner {
                    self.displace(h, &mut displaced);
                }
            }
            for &s in &offer.gpu {
                if let Some(h) = self.gpu[lot][s as usize].shard_owner {
                    self.displace(h, &mut displaced);
                }
            }
            // Memory has no price: the cheapest other shard owners make room for it.
            while self.memory[lot] < group.memory {
                let cheapest = self
                    .held
                    .iter()
                    .enumerate()
                    .filter_map(|(i, h)| h.as_ref().map(|h| (i, h)))
                    .filter(|(_, h)| h.lot == offer.lot && h.group != g)
                    .min_by(|(_, a), (_, b)| self.paid(a).total_cmp(&self.paid(b)))
                    .map(|(i, _)| i as u32);
                match cheapest {
                    Some(h) => self.displace(h, &mut displaced),
                    None => break,
                }
            }
            if self.memory[lot] < group.memory {
                continue;
            }
            let at = self.held.len() as u32;
            for &s in &offer.cpu {
                let slot = &mut self.cpu[lot][s as usize];
                slot.price += raise;
                slot.shard_owner = Some(at);
            }
            for &s in &offer.gpu {
                let slot = &mut self.gpu[lot][s as usize];
                slot.price += raise;
                slot.shard_owner = Some(at);
            }
            self.memory[lot] -= group.memory;
            self.own[g as usize][lot] += 1;
            self.waiting[g as usize] -= 1;
            self.held.push(Some(Follower {
                group: g,
                lot: offer.lot,
                cpu: offer.cpu,
                gpu: offer.gpu,
            }));
        }
        displaced
    }

    fn paid(&self, h: &Follower) -> f64 {
        let lot = h.lot as usize;
        h.cpu
            .iter()
            .map(|&s| self.cpu[lot][s as usize].price)
            .sum::<f64>()
            + h.gpu
                .iter()
                .map(|&s| self.gpu[lot][s as usize].price)
                .sum::<f64>()
    }

    /// Bids until nobody gains by another. False if the cap came first.
    fn block_unreconciled_jobs(&mut self, epsilon: f64, cap: u32) -> bool {
        let mut queue: std::collections::VecDeque<u32> = (0..self.groups.len() as u32).collect();
        while let Some(g) = queue.pop_front() {
            if self.waiting[g as usize] == 0 {
                continue;
            }
            if self.bids >= cap {
                return false;
            }
            for d in self.bid(g, epsilon) {
                if !queue.contains(&d) {
                    queue.push_back(d);
                }
            }
        }
        true
    }

    /// Slots that nobody holds cost nothing again; shard owners who would now rather
    /// move give up their bundle. True if anyone did.
    fn release_stale_prices(&mut self, epsilon: f64) -> bool {
        let mut lowered = false;
        for slots in self.cpu.iter_mut().chain(self.gpu.iter_mut()) {
            for slot in slots.iter_mut().filter(|s| s.shard_owner.is_none()) {
                lowered |= slot.price > 0.0;
                slot.price = 0.0;
            }
        }
        if !lowered {
            return false;
        }
        let mut moved = self.waiting.iter().any(|&w| w > 0);
        let best: Vec<f64> = (0..self.groups.len() as u32)
            .map(|g| self.offers(g, 1).first().map_or(0.0, |o| o.net))
            .collect();
        for at in 0..self.held.len() as u32 {
            let Some(h) = &self.held[at as usize] else {
                continue;
            };
            let value = self.groups[h.group as usize]
                .values
                .iter()
                .find(|(l, _)| *l == h.lot)
                .map_or(0.0, |(_, v)| *v);
            let net = value - self.paid(h);
            if best[h.group as usize] > net + epsilon {
                self.displace(at, &mut Vec::new());
                moved = true;
            }
        }
        moved
    }

    fn sold_out(&self) -> bool {
        self.cpu
            .iter()
            .chain(&self.gpu)
            .flatten()
            .all(|s| s.shard_owner.is_some() || s.price == 0.0)
    }

    fn reset_holders(&mut self) {
        for at in 0..self.held.len() as u32 {
            self.displace(at, &mut Vec::new());
        }
        self.held.clear();
    }

    fn awards(&self) -> Vec<Award> {
        self.held
            .iter()
            .flatten()
            .map(|h| Award {
                group: h.group,
                lot: h.lot,
            })
            .collect()
    }
}

/// Where more is wanted than there is, the price per slot at which it clears,
/// roughly and from below. Bids that start there need not climb by ε at a time,
/// which is what tripped the cap.
fn clearing_price(lots: &[Lot], groups: &[Group]) -> f64 {
    let supply: u64 = lots.iter().map(|l| u64::from(l.cpu_slots)).sum();
    let mut wanted: Vec<(f64, u64)> = groups
        .iter()
        .map(|g| {
            let best = g.values.iter().map(|(_, v)| *v).fold(0.0, f64::max);
            let slots = u64::from(g.cpu_slots) * u64::from(g.demand);
            (best / f64::from(g.cpu_slots + g.gpu_slots), slots)
        })
        .collect();
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut sold = 0;
    for (per_slot, slots) in wanted {
        sold += slots;
        if sold > supply {
            return per_slot * 0.95;
        }
    }
    0.0
}

fn sort_offers(offers: &mut [Offer]) {
    offers.sort_by(|a, b| b.net.total_cmp(&a.net).then(a.lot.cmp(&b.lot)));
}

/// Assigns tasks to lots. Groups must be ordered by importance for the fallback.
pub fn clear(lots: &[Lot], groups: &[Group], cap: u32) -> (Vec<Award>, Outcome) {
    let mut values: Vec<f64> = groups
        .iter()
        .flat_map(|g| g.values.iter().map(|(_, v)| *v))
        .collect();
    if values.is_empty() {
        return (Vec::new(), Outcome::default());
    }
    values.sort_by(f64::total_cmp);
    let finest = (values[values.len() / 2] * 0.01).max(f64::MIN_POSITIVE);
    let highest = values[values.len() - 1];
    let opening = clearing_price(lots, groups);
    if opening > 0.0 {
        let mut market = Market::new(lots, groups, opening);
        // Good if every slot sells: one left over at that price would have been
        // worth bidding for at a lower one.
        if market.block_unreconciled_jobs(finest, cap / 4) && market.sold_out() {
            let outcome = Outcome {
                bids: market.bids,
                capped: false,
            };
            return (market.awards(), outcome);
        }
    }
    let mut market = Market::new(lots, groups, 0.0);
    // Most batches have little rivalry and settle at the finest ε at once; the
    // scaling is for price wars.
    let mut converged = settle_fully(&mut market, finest, cap / 4);
    if !converged {
        let spent = market.bids;
        market = Market::new(lots, groups, 0.0);
        market.bids = spent;
        let mut epsilon = highest / 4.0;
        loop {
            epsilon = epsilon.max(finest);
            converged = settle_fully(&mut market, epsilon, cap);
            if !converged || epsilon <= finest {
                break;
            }
            epsilon /= 5.0;
            market.reset_holders();
        }
    }
    let outcome = Outcome {
        bids: market.bids,
        capped: !converged,
    };
    if converged {
        (market.awards(), outcome)
    } else {
        (greedy(lots, groups), outcome)
    }
}

fn settle_fully(market: &mut Market<'_>, epsilon: f64, cap: u32) -> bool {
    loop {
        if !market.block_unreconciled_jobs(epsilon, cap) {
            return false;
        }
        if !market.release_stale_prices(epsilon) {
            return true;
        }
        if market.bids >= cap {
            return false;
        }
        let before = market.bids;
        if !market.block_unreconciled_jobs(epsilon, cap) {
            return false;
        }
        if market.bids == before {
            return true;
        }
    }
}

/// The fallback: each group in turn takes the lots it values most.
pub fn greedy(lots: &[Lot], groups: &[Group]) -> Vec<Award> {
    let mut left: Vec<Lot> = lots.to_vec();
    let mut awards = Vec::new();
    for (g, group) in groups.iter().enumerate() {
        let mut values = group.values.clone();
        values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut zones = group.zone_room.clone();
        let mut demand = group.demand;
        for (lot, _) in values {
            let l = &mut left[lot as usize];
            while demand > 0
                && l.cpu_slots >= group.cpu_slots
                && l.gpu_slots >= group.gpu_slots
                && l.memory >= group.memory
            {
                if let Some(zones) = &mut zones {
                    let room = &mut zones[l.zone as usize];
                    if *room == 0 {
                        break;
                    }
                    *room -= 1;
                }
                l.cpu_slots -= group.cpu_slots;
                l.gpu_slots -= group.gpu_slots;
                l.memory -= group.memory;
                demand -= 1;
                awards.push(Award {
                    group: g as u32,
                    lot,
                });
            }
        }
    }
    awards
}
