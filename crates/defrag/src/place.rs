//! Chooses the targets of migrations.
//!
//! A target must have room before any task of the plan has stopped, because a
//! migration reserves room on its target first and stops the task afterwards. So no
//! target depends on room that another migration of the same plan frees. Tasks of
//! lower priority on a target may be preempted, which adds to the cost.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use copperfield_protocol::job::Resources;

use crate::fleet::{Fleet, Limits};

/// Only the best targets of a job, up to this many, are sorted by cost. The others follow
/// unsorted, as a plan hardly ever needs one of them.
const MAX_SORTED_TARGETS: usize = 64;

/// The weight of each criterion relative to the one before it in the order of targets.
const TIE_BREAK_WEIGHT: f64 = 1e-5;

/// The room and zones that a plan has assigned so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Assignments {
    room: BTreeMap<u32, Resources>,
    /// By job and zone: the tasks that arrive minus the tasks that leave.
    zones: BTreeMap<(u32, u32), i64>,
    /// Number of tasks of each job that migrate.
    leaving: BTreeMap<u32, u32>,
    pub cost: f64,
}

impl Assignments {
    fn remaining_room(&self, fleet: &Fleet, priority: u8, m: u32) -> Resources {
        let taken = self.room.get(&m).copied().unwrap_or_default();
        let mut room = fleet.room_with_preemption(priority, m);
        room.sub(&taken);
        room
    }
}

/// Finds a target for every task instance of a unit (a single one or a whole gang), or returns
/// `None`. Nothing is placed on `excluded` workers, which are those that the plan frees.
pub(crate) fn place(
    fleet: &Fleet,
    targets: &Targets,
    unit: &[u32],
    excluded: &BTreeSet<u32>,
    limits: &Limits,
    assigned: &Assignments,
) -> Option<(Assignments, Vec<(u32, u32)>)> {
    let ix = fleet.instances[*unit.first()? as usize].job;
    let job = &fleet.jobs[ix as usize];
    let mut with_unit = assigned.clone();
    let leaving = with_unit.leaving.entry(ix).or_default();
    *leaving += unit.len() as u32;
    if *leaving > job.migration_budget {
        return None;
    }
    // A gang that must be in one zone may go to any zone, as all its tasks migrate together. A
    // task of another one-zone job must stay in its zone, as the rest of the job stays there.
    let zones: Vec<Option<u32>> = if job.one_zone && job.gang {
        (0..job.instances_by_zone.len() as u32).map(Some).collect()
    } else if job.one_zone {
        vec![Some(
            fleet.workers[fleet.instances[unit[0] as usize].worker as usize].zone,
        )]
    } else {
        vec![None]
    };
    for &id in unit {
        let zone = fleet.workers[fleet.instances[id as usize].worker as usize].zone;
        *with_unit.zones.entry((ix, zone)).or_default() -= 1;
    }
    let sorted_targets = targets.of_job(fleet, ix);
    let mut best: Option<(Assignments, Vec<(u32, u32)>)> = None;
    for zone in zones {
        let mut tried = with_unit.clone();
        let mut found = Vec::new();
        for &id in unit {
            let Some(to) = first_target(fleet, &sorted_targets, id, zone, excluded, &tried) else {
                break;
            };
            let target_zone = fleet.workers[to as usize].zone;
            tried.room.entry(to).or_default().add(&job.needs);
            *tried.zones.entry((ix, target_zone)).or_default() += 1;
            tried.cost += fleet.cost_to(id, to, limits);
            found.push((id, to));
        }
        if found.len() == unit.len() && best.as_ref().is_none_or(|(b, _)| tried.cost < b.cost) {
            best = Some((tried, found));
        }
    }
    best
}

/// The workers that could run a task of each job, best first: by the cost of the fetch and of
/// preemptions, then by the price of the share that a task uses, then by the room left over.
/// Each list is made on first use and cached, since one plan tries the same tasks many times.
#[derive(Debug, Default)]
pub(crate) struct Targets(RefCell<BTreeMap<u32, Rc<[u32]>>>);

impl Targets {
    fn of_job(&self, fleet: &Fleet, ix: u32) -> Rc<[u32]> {
        self.0
            .borrow_mut()
            .entry(ix)
            .or_insert_with(|| sorted_targets(fleet, ix))
            .clone()
    }
}

fn sorted_targets(fleet: &Fleet, ix: u32) -> Rc<[u32]> {
    let job = &fleet.jobs[ix as usize];
    let mut targets: Vec<(f64, u32)> = Vec::new();
    for (m, worker) in (0u32..).zip(&fleet.workers) {
        if !worker.usable {
            continue;
        }
        let Some(preemption) = fleet.preemption_cost(job, m) else {
            continue;
        };
        if !job.suits(m, worker) {
            continue;
        }
        let share_price = worker.price * job.needs.dominant_share_of(&worker.capacity);
        // The work lost during the fetch is valued at the target's price.
        let lost = preemption + job.weight * share_price * fleet.fetch_s(job, m);
        let mut room_left = worker.room;
        room_left.sub(&job.needs);
        let slack = (room_left.cpus + 8 * room_left.gpus) as f64;
        // All three criteria are in one number because a plan sorts thousands of targets.
        let score = lost + TIE_BREAK_WEIGHT * (share_price + TIE_BREAK_WEIGHT * slack);
        targets.push((score, m));
    }
    let order = |a: &(f64, u32), b: &(f64, u32)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    if targets.len() > MAX_SORTED_TARGETS {
        targets.select_nth_unstable_by(MAX_SORTED_TARGETS, order);
    }
    let sorted = targets.len().min(MAX_SORTED_TARGETS);
    targets[..sorted].sort_unstable_by(order);
    targets.into_iter().map(|t| t.1).collect()
}

/// The first target that can take a task instance in addition to what the plan has assigned.
fn first_target(
    fleet: &Fleet,
    targets: &[u32],
    id: u32,
    zone: Option<u32>,
    excluded: &BTreeSet<u32>,
    assigned: &Assignments,
) -> Option<u32> {
    let instance = &fleet.instances[id as usize];
    let job = &fleet.jobs[instance.job as usize];
    targets.iter().copied().find(|&m| {
        let target_zone = fleet.workers[m as usize].zone;
        if m == instance.worker || zone.is_some_and(|z| z != target_zone) || excluded.contains(&m) {
            return false;
        }
        let current = job
            .instances_by_zone
            .get(target_zone as usize)
            .copied()
            .unwrap_or(0);
        let planned = assigned
            .zones
            .get(&(instance.job, target_zone))
            .copied()
            .unwrap_or(0);
        i64::from(current) + planned < i64::from(job.zone_cap)
            && job
                .needs
                .fits_in(&assigned.remaining_room(fleet, job.priority, m))
    })
}
