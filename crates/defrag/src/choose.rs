//! Finds the cheapest task instances to migrate off one worker so that a task fits on it.

use std::collections::BTreeSet;

use copperfield_protocol::job::Resources;

use crate::fleet::{Fleet, Limits, WaitingJob};
use crate::place::Targets;

/// The search stops after this many steps and returns the best set found so far. Workers hold a
/// few dozen tasks at most, and a greedy solution comes first, so there always is one to return.
const MAX_SEARCH_STEPS: usize = 1000;

/// Task instances by worker and by job, and their possible targets. Built once per plan.
pub(crate) struct Index {
    pub by_worker: Vec<Vec<u32>>,
    pub by_job: Vec<Vec<u32>>,
    /// By job: it is a gang, and all its tasks may migrate together.
    gang_movable: Vec<bool>,
    /// By job: the cost of migrating the whole gang, infinite if that is not possible.
    gang_cost: Vec<f64>,
    pub targets: Targets,
}

impl Index {
    pub fn new(fleet: &Fleet, limits: &Limits) -> Self {
        let mut by_worker = vec![Vec::new(); fleet.workers.len()];
        let mut by_job = vec![Vec::new(); fleet.jobs.len()];
        for (id, instance) in (0u32..).zip(&fleet.instances) {
            by_worker[instance.worker as usize].push(id);
            by_job[instance.job as usize].push(id);
        }
        let jobs = (0..).zip(&fleet.jobs);
        let (gang_movable, gang_cost) = jobs
            .map(|(ix, job): (usize, _)| {
                let instances: &Vec<u32> = &by_job[ix];
                let movable = job.gang
                    && instances.len() <= limits.max_migrations
                    && instances.len() <= job.migration_budget as usize
                    && instances.iter().all(|&id| {
                        let instance = &fleet.instances[id as usize];
                        instance.movable && instance.ends_in_s > limits.ends_soon_s
                    });
                let cost = if movable {
                    instances.iter().map(|&id| fleet.cost(id, limits)).sum()
                } else {
                    f64::INFINITY
                };
                (movable, cost)
            })
            .unzip();
        Self {
            by_worker,
            by_job,
            gang_movable,
            gang_cost,
            targets: Targets::default(),
        }
    }

    /// Whether a task instance may migrate, alone or with its gang.
    pub fn is_movable(&self, fleet: &Fleet, id: u32, limits: &Limits) -> bool {
        let instance = &fleet.instances[id as usize];
        let job = &fleet.jobs[instance.job as usize];
        if job.gang {
            self.gang_movable[instance.job as usize]
        } else {
            instance.movable && instance.ends_in_s > limits.ends_soon_s && job.migration_budget > 0
        }
    }

    /// A task instance and all those that must migrate with it.
    pub fn with_gang(&self, fleet: &Fleet, id: u32) -> Vec<u32> {
        let ix = fleet.instances[id as usize].job as usize;
        if fleet.jobs[ix].gang {
            self.by_job[ix].clone()
        } else {
            vec![id]
        }
    }

    fn cost(&self, fleet: &Fleet, id: u32, limits: &Limits) -> f64 {
        let ix = fleet.instances[id as usize].job as usize;
        if fleet.jobs[ix].gang {
            self.gang_cost[ix]
        } else {
            fleet.cost(id, limits)
        }
    }
}

/// The task instances to migrate off a worker, and the cost of that.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Choice {
    pub cost: f64,
    pub instances: Vec<u32>,
}

/// A task instance that may migrate: the cost of that, its index, and the resources that it frees.
type Item = (f64, u32, Resources);

/// The room on a worker if nothing migrates off it, and the task instances that may migrate.
///
/// The room includes that of tasks that leave without a migration off this worker: those in
/// `migrating`, those that end soon, and those that the waiting job may preempt.
fn room_and_items(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    waiting_job: &WaitingJob,
    limits: &Limits,
    migrating: &BTreeSet<u32>,
    unplaceable: &BTreeSet<u32>,
) -> (Resources, Vec<Item>) {
    let mut room = fleet.workers[m as usize].room;
    let mut items: Vec<Item> = Vec::new();
    for &id in &index.by_worker[m as usize] {
        let instance = &fleet.instances[id as usize];
        let job = &fleet.jobs[instance.job as usize];
        let frees = job.needs;
        let is_preempted = job.priority < waiting_job.priority && !job.gang;
        if migrating.contains(&id) || instance.ends_in_s <= limits.ends_soon_s || is_preempted {
            room.add(&frees);
        } else if !unplaceable.contains(&id) && index.is_movable(fleet, id, limits) {
            items.push((index.cost(fleet, id, limits), id, frees));
        }
    }
    (room, items)
}

/// A lower bound of the cost of freeing a worker: 0 if nothing has to migrate, `None` if the worker
/// cannot be freed. Computed for every worker, as it is much cheaper than [`cheapest_choice`],
/// which is called for few.
pub(crate) fn cost_lower_bound(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    waiting_job: &WaitingJob,
    limits: &Limits,
) -> Option<f64> {
    let none = BTreeSet::new();
    let (room, items) = room_and_items(fleet, index, m, waiting_job, limits, &none, &none);
    let mut bound = 0.0f64;
    let mut ratios: Vec<(f64, i64)> = Vec::with_capacity(items.len());
    let shortage = shortage(&waiting_job.needs, &room);
    for (d, shortage) in shortage.into_iter().enumerate() {
        if shortage <= 0 {
            continue;
        }
        // The fractional relaxation for one resource: items in the order of their cost per unit,
        // the last one in part.
        ratios.clear();
        ratios.extend(items.iter().filter_map(|(cost, _, frees)| {
            let frees = to_array(frees)[d];
            (frees > 0).then(|| (cost / frees as f64, frees))
        }));
        ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut remaining = shortage;
        let mut cost = 0.0;
        for &(ratio, frees) in &ratios {
            let part = frees.min(remaining);
            cost += ratio * part as f64;
            remaining -= part;
            if remaining == 0 {
                break;
            }
        }
        if remaining > 0 {
            return None;
        }
        bound = bound.max(cost);
    }
    Some(bound)
}

fn to_array(resources: &Resources) -> [i64; 3] {
    [resources.cpus, resources.gpus, resources.memory]
}

/// How much of each resource is missing; not positive where there is enough.
fn shortage(needs: &Resources, room: &Resources) -> [i64; 3] {
    let (needs, room) = (to_array(needs), to_array(room));
    std::array::from_fn(|d| needs[d] - room[d])
}

/// The cheapest task instances to migrate so that a task of the waiting job fits, `None` if no set
/// of them makes enough room. Instances in `migrating` are migrated by the plan already, those in
/// `unplaceable` found no target.
pub(crate) fn cheapest_choice(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    waiting_job: &WaitingJob,
    limits: &Limits,
    migrating: &BTreeSet<u32>,
    unplaceable: &BTreeSet<u32>,
) -> Option<Choice> {
    let needs = &waiting_job.needs;
    let (room, mut items) =
        room_and_items(fleet, index, m, waiting_job, limits, migrating, unplaceable);
    if needs.fits_in(&room) {
        return Some(Choice {
            cost: 0.0,
            instances: Vec::new(),
        });
    }
    items.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    // For each depth of the search, the resources and the lowest cost per unit of the items from
    // there on. They bound what a branch can still reach, so that the search can prune it.
    let mut remaining = vec![Resources::default(); items.len() + 1];
    let mut min_unit_cost = vec![[f64::INFINITY; 3]; items.len() + 1];
    for i in (0..items.len()).rev() {
        remaining[i] = remaining[i + 1];
        remaining[i].add(&items[i].2);
        let frees = to_array(&items[i].2);
        min_unit_cost[i] = std::array::from_fn(|d| {
            let ratio = if frees[d] > 0 {
                items[i].0 / frees[d] as f64
            } else {
                f64::INFINITY
            };
            ratio.min(min_unit_cost[i + 1][d])
        });
    }
    let mut search = Search {
        items: &items,
        remaining: &remaining,
        min_unit_cost: &min_unit_cost,
        needs,
        best: greedy_choice(&items, needs, room)?,
        taken: Vec::new(),
        steps: 0,
    };
    search.branch(0, room, 0.0);
    let (cost, taken) = search.best;
    Some(Choice {
        cost,
        instances: taken.into_iter().map(|i| items[i].1).collect(),
    })
}

/// Takes the cheapest items until the task fits, then drops those that are not needed, the most
/// expensive first.
fn greedy_choice(
    items: &[Item],
    needs: &Resources,
    mut room: Resources,
) -> Option<(f64, Vec<usize>)> {
    let mut taken = Vec::new();
    for (i, item) in items.iter().enumerate() {
        if needs.fits_in(&room) {
            break;
        }
        if reduces_shortage(needs, &room, &item.2) {
            room.add(&item.2);
            taken.push(i);
        }
    }
    if !needs.fits_in(&room) {
        return None;
    }
    for at in (0..taken.len()).rev() {
        let mut without = room;
        without.sub(&items[taken[at]].2);
        if needs.fits_in(&without) {
            room = without;
            taken.remove(at);
        }
    }
    Some((taken.iter().map(|&i| items[i].0).sum(), taken))
}

fn reduces_shortage(needs: &Resources, room: &Resources, frees: &Resources) -> bool {
    (needs.cpus > room.cpus && frees.cpus > 0)
        || (needs.memory > room.memory && frees.memory > 0)
        || (needs.gpus > room.gpus && frees.gpus > 0)
}

/// Branch and bound over the task instances of one worker.
struct Search<'a> {
    items: &'a [Item],
    remaining: &'a [Resources],
    min_unit_cost: &'a [[f64; 3]],
    needs: &'a Resources,
    best: (f64, Vec<usize>),
    taken: Vec<usize>,
    steps: usize,
}

impl Search<'_> {
    /// Decides on the item `i`, with the room and the cost of the items taken before it.
    fn branch(&mut self, i: usize, room: Resources, cost: f64) {
        self.steps += 1;
        if cost >= self.best.0 || self.steps > MAX_SEARCH_STEPS {
            return;
        }
        if self.needs.fits_in(&room) {
            self.best = (cost, self.taken.clone());
            return;
        }
        let mut max_room = room;
        max_room.add(&self.remaining[i]);
        if i == self.items.len() || !self.needs.fits_in(&max_room) {
            return;
        }
        let shortage = shortage(self.needs, &room);
        let bound = (0..3)
            .filter(|&d| shortage[d] > 0)
            .map(|d| shortage[d] as f64 * self.min_unit_cost[i][d])
            .fold(0.0, f64::max);
        if cost + bound >= self.best.0 {
            return;
        }
        let (item_cost, _, frees) = self.items[i];
        let mut with_item = room;
        with_item.add(&frees);
        self.taken.push(i);
        self.branch(i + 1, with_item, cost + item_cost);
        self.taken.pop();
        self.branch(i + 1, room, cost);
    }
}
