//! The auction of one batch: offers the free resources of workers as lots to groups of waiting
//! tasks, and starts the tasks that are awarded a part of a lot.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::auction::{self, BidderGroup, Lot};
use crate::coordination::state::Core;

use super::MAX_TASKS_PER_JOB;

/// A job index that no job has. The resources available to it are those that are reserved for no
/// job.
const NO_JOB: u32 = u32::MAX;

/// The lots of an auction, and the index of the worker that each belongs to.
#[derive(Default)]
struct Supply {
    lots: Vec<Lot>,
    worker_of: Vec<u32>,
}

/// The bidder groups of an auction, and the jobs of each group in batch order.
#[derive(Default)]
struct Demand {
    groups: Vec<BidderGroup>,
    jobs_of: Vec<VecDeque<u32>>,
    group_of_class: BTreeMap<u32, usize>,
}

impl Core {
    /// Auctions the free resources of all workers to the jobs of a batch, and starts the tasks that
    /// are awarded a part of them.
    pub(super) fn run_auction(&mut self, batch: &[u32]) {
        let supply = self.auction_supply();
        if supply.lots.is_empty() {
            return;
        }
        let Demand {
            groups,
            mut jobs_of,
            ..
        } = self.auction_demand(batch, &supply);
        let cap = self.config.tuning.auction_cap;
        let (awards, outcome) = auction::clear(&supply.lots, &groups, cap);
        if outcome.capped {
            tracing::debug!(bids = outcome.bids, groups = groups.len(), "auction capped");
        }
        for award in awards {
            let jobs = &mut jobs_of[award.group as usize];
            while jobs.len() > 1 && self.jobs[jobs[0]].waiting() == 0 {
                jobs.pop_front();
            }
            self.start_next_task(jobs[0], supply.worker_of[award.lot as usize]);
        }
    }

    /// The free resources of every usable worker as lots; workers with less than one free CPU slot
    /// are left out.
    fn auction_supply(&self) -> Supply {
        let slot_cpus = self.config.tuning.slot_cpus;
        let mut supply = Supply::default();
        for worker_index in self.workers.indices() {
            if !self.worker_usable(worker_index) {
                continue;
            }
            let available = self.available_resources(worker_index, NO_JOB);
            let lot = Lot {
                cpu_slots: (available.cpus as f64 / 1000.0 / slot_cpus)
                    .floor()
                    .max(0.0) as u32,
                gpu_slots: (available.gpus / 1000).max(0) as u32,
                memory: available.memory.max(0),
                zone: self.workers[worker_index].zone,
            };
            if lot.cpu_slots > 0 {
                supply.worker_of.push(worker_index);
                supply.lots.push(lot);
            }
        }
        supply
    }

    /// The waiting tasks of a batch as bidder groups; jobs of one scheduling class bid as one
    /// group.
    fn auction_demand(&self, batch: &[u32], supply: &Supply) -> Demand {
        let mut demand = Demand::default();
        for &job_index in batch {
            let class = self.bidding_class(job_index);
            if let Some(&at) = class.and_then(|class| demand.group_of_class.get(&class)) {
                let group = &mut demand.groups[at];
                group.demand =
                    (group.demand + self.jobs[job_index].waiting()).min(MAX_TASKS_PER_JOB);
                demand.jobs_of[at].push_back(job_index);
                continue;
            }
            let Some(group) = self.bidding_group(job_index, supply) else {
                continue;
            };
            if let Some(class) = class {
                demand.group_of_class.insert(class, demand.groups.len());
            }
            demand.jobs_of.push(VecDeque::from([job_index]));
            demand.groups.push(group);
        }
        demand
    }

    /// The bidder group of a job; none if no lot suits it, or if it is a gang that is placed as a
    /// whole.
    fn bidding_group(&self, job_index: u32, supply: &Supply) -> Option<BidderGroup> {
        let job = &self.jobs[job_index];
        let demand = job
            .waiting()
            .min(MAX_TASKS_PER_JOB)
            .min(self.trial_start_limit(job_index));
        if demand == 0 || self.is_multi_task_gang(job_index) {
            return None;
        }
        let (cpu_slots, gpu_slots) =
            BidderGroup::slots_needed(&job.spec.needs, self.config.tuning.slot_cpus);
        let mut group = BidderGroup {
            demand,
            cpu_slots,
            gpu_slots,
            memory: job.spec.needs.memory,
            values: Vec::new(),
            zone_room: None,
        };
        group.values = self.lot_values(job_index, &group, supply);
        if group.values.is_empty() {
            return None;
        }
        if job.spec.one_zone && self.bound_zone(job_index).is_none() && job.spec.tasks > 1 {
            self.keep_best_zone(&supply.lots, &mut group.values);
        }
        group.zone_room = job.spec.spread.then(|| self.zone_room(job_index));
        Some(group)
    }

    /// The value of each suitable lot for one task of a job, with the index of the lot.
    fn lot_values(&self, job_index: u32, group: &BidderGroup, supply: &Supply) -> Vec<(u32, f64)> {
        let zone = self.bound_zone(job_index);
        let tier = self.best_tier(job_index);
        let mut values = Vec::new();
        for (at, (lot, &worker_index)) in (0u32..).zip(supply.lots.iter().zip(&supply.worker_of)) {
            let fits = lot.cpu_slots >= group.cpu_slots
                && lot.gpu_slots >= group.gpu_slots
                && lot.memory >= group.memory;
            if fits
                && self.worker_allowed(job_index, worker_index)
                && self.zone_allows(job_index, lot.zone)
                && zone.is_none_or(|zone| zone == lot.zone)
                && self.in_tier_or_better(job_index, worker_index, tier)
            {
                values.push((at, self.value(job_index, worker_index)));
            }
        }
        values
    }

    /// How many more instances of a job each zone may get.
    fn zone_room(&self, job_index: u32) -> Vec<u32> {
        let job = &self.jobs[job_index];
        (0..self.zones.len())
            .map(|zone| {
                let here = job.instances_by_zone.get(zone).copied().unwrap_or(0);
                job.zone_cap().saturating_sub(here)
            })
            .collect()
    }

    /// The zone in which a `one_zone` job has instances already, and must therefore run.
    fn bound_zone(&self, job_index: u32) -> Option<u32> {
        let job = &self.jobs[job_index];
        if !job.spec.one_zone {
            return None;
        }
        let zone = job
            .instances_by_zone
            .iter()
            .position(|&instances| instances > 0);
        zone.map(|zone| zone as u32)
    }

    /// Keeps only the lots of the zone with the highest total value of free CPU slots.
    fn keep_best_zone(&self, lots: &[Lot], values: &mut Vec<(u32, f64)>) {
        let mut zone_values = vec![0.0; self.zones.len()];
        for &(at, value) in values.iter() {
            let lot = &lots[at as usize];
            zone_values[lot.zone as usize] += value * f64::from(lot.cpu_slots);
        }
        let best = (0..zone_values.len())
            .max_by(|&a, &b| zone_values[a].total_cmp(&zone_values[b]))
            .unwrap_or(0) as u32;
        values.retain(|(at, _)| lots[*at as usize].zone == best);
    }
}
