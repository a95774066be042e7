//! Chooses the workers to free, and decides whether freeing them is worth its cost.
//!
//! A place is room on one worker for one task of the waiting job. In each zone,
//! workers are chosen in the order of their cost until there are enough places. If
//! a task finds no target, the choice is repeated without migrating it. If all
//! places must be in one zone, the plan with the most places is used, and among
//! those the cheapest.

use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use thiserror::Error;

use crate::choose::{Choice, Index, cheapest_choice, cost_lower_bound};
use crate::fleet::{Fleet, Limits, WaitingJob};
use crate::place::{Assignments, place};

/// How many choices of workers are tried in a zone. After each one that fails because a task has
/// no target, the next one leaves that task where it is.
const MAX_ATTEMPTS: usize = 12;
/// For this many workers of a plan, an alternative plan without the worker is tried.
const MAX_ALTERNATIVES: usize = 2;

/// The migration of one task to another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Migration {
    /// Index into [`Fleet::instances`].
    pub instance: u32,
    /// Index into [`Fleet::workers`].
    pub to: u32,
}

/// Migrations that together free the places for a waiting job.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The tasks to migrate, and their targets.
    pub migrations: Vec<Migration>,
    /// Workers on which the migrations free one place each.
    pub freed_workers: Vec<u32>,
    /// The worker of each place that needs no migration, because it is free or comes
    /// free by itself within [`Limits::ends_soon_s`].
    pub already_free: Vec<u32>,
    /// The cost of the migrations, in money.
    pub cost: f64,
    /// Seconds of work that the migrations lose, without the fetches.
    pub lost_s: f64,
}

/// Why there is no plan. The texts call a migration a move and a worker a node, as the operators'
/// command does.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlanError {
    /// No worker that may be freed has a type, zone and capacity that the job can use.
    #[error("no node that may be freed can run a task of this job")]
    NoSuitableWorker,
    /// No migration is needed.
    #[error("no move is needed: room for this job is free or comes free by itself")]
    ComesFree,
    /// Tasks that may not be migrated take room that the job needs.
    #[error("cannot free enough nodes for this job: tasks on them may not be moved")]
    ImmovableTasks,
    /// A task that has to migrate has no target with room for it.
    #[error("cannot move tasks off the nodes to free: no other node has room for them")]
    NoTarget,
    /// The plan needs more migrations than [`Limits::max_migrations`].
    #[error("cannot free nodes for this job: that takes more moves than may be under way")]
    TooManyMigrations,
    /// The migrations cost at least as much as the places are worth.
    #[error("not worth moving tasks for this job: cost {cost:.3}, value of the room {value:.3}")]
    NotWorthwhile {
        /// The cost of the migrations, in money.
        cost: f64,
        /// The value of the places, in money.
        value: f64,
    },
}

/// Plans the migrations that free the places a job waits for.
///
/// # Errors
/// Why nothing is to be migrated. With several zones, the error of the zone that came closest to a
/// plan.
pub fn free_workers(
    fleet: &Fleet,
    waiting_job: &WaitingJob,
    limits: &Limits,
) -> Result<Plan, PlanError> {
    let index = Index::new(fleet, limits);
    let zones: Vec<Option<u32>> = if waiting_job.one_zone {
        match waiting_job.placed_by_zone.iter().position(|&n| n > 0) {
            Some(current) => vec![Some(current as u32)],
            None => (0..waiting_job.placed_by_zone.len() as u32)
                .map(Some)
                .collect(),
        }
    } else {
        vec![None]
    };
    let mut best: Option<Plan> = None;
    let mut error = PlanError::NoSuitableWorker;
    for zone in zones {
        match plan_zone(fleet, &index, waiting_job, limits, zone) {
            Ok(plan) => {
                if best.as_ref().is_none_or(|b| is_better(&plan, b)) {
                    best = Some(plan);
                }
            }
            Err(PlanError::ComesFree) => return Err(PlanError::ComesFree),
            Err(zone_error) => error = closer_to_plan(error, zone_error),
        }
    }
    best.ok_or(error)
}

/// Whether plan `a` has more places than `b`, or as many for less.
fn is_better(a: &Plan, b: &Plan) -> bool {
    let places = |p: &Plan| p.freed_workers.len() + p.already_free.len();
    places(a).cmp(&places(b)).then(b.cost.total_cmp(&a.cost)) == Ordering::Greater
}

/// The error of the attempt that came closer to a plan, the later one (`b`) if they are equal.
fn closer_to_plan(a: PlanError, b: PlanError) -> PlanError {
    let progress = |error: &PlanError| match error {
        PlanError::NoSuitableWorker => 0,
        PlanError::ImmovableTasks => 1,
        PlanError::NoTarget => 2,
        PlanError::TooManyMigrations => 3,
        PlanError::NotWorthwhile { .. } => 4,
        PlanError::ComesFree => 5,
    };
    if progress(&b) >= progress(&a) { b } else { a }
}

/// A worker that may be freed, ordered by the cost of that.
#[derive(PartialEq)]
struct Candidate(f64, u32);

impl Eq for Candidate {}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The workers of one zone, or of all zones, that can provide places for the waiting job.
struct ZonePlanner<'a> {
    fleet: &'a Fleet,
    index: &'a Index,
    waiting_job: &'a WaitingJob,
    limits: &'a Limits,
    /// The worker of each place that needs no migration.
    already_free: Vec<u32>,
    /// The other suitable workers, with a lower bound of the cost of freeing each.
    candidates: Vec<(f64, u32)>,
    /// Places used in each zone, those of `already_free` included.
    zones: ZoneCounts,
    /// The cheapest choice of each worker while no task on it is migrating or unplaceable.
    cached_choices: RefCell<BTreeMap<u32, Option<Choice>>>,
}

/// A worker to free, and the task instances on it that no other chosen worker migrates already.
type ChosenWorker = (u32, Vec<u32>);

impl ZonePlanner<'_> {
    /// Chooses the cheapest workers for the missing places, except the worker `without`. Task
    /// instances in `unplaceable` found no target and stay where they are.
    fn choose_workers(
        &self,
        unplaceable: &BTreeSet<u32>,
        without: Option<u32>,
    ) -> Result<Vec<ChosenWorker>, PlanError> {
        let missing = self.waiting_job.tasks as usize - self.already_free.len();
        let mut zones = self.zones.clone();
        let mut migrating = BTreeSet::new();
        let mut chosen: Vec<ChosenWorker> = Vec::new();
        let mut cost = 0.0;
        let mut heap: BinaryHeap<_> = self
            .candidates
            .iter()
            .map(|&(cost, m)| Reverse(Candidate(cost, m)))
            .collect();
        while chosen.len() < missing
            && let Some(Reverse(Candidate(bound, m))) = heap.pop()
        {
            if Some(m) == without || chosen.iter().any(|c| c.0 == m) {
                continue;
            }
            let Some(choice) = self.choose_instances(m, &migrating, unplaceable) else {
                continue;
            };
            if choice.cost > bound {
                heap.push(Reverse(Candidate(choice.cost, m)));
                continue;
            }
            if !zones.take(self.fleet.workers[m as usize].zone) {
                continue;
            }
            cost += choice.cost;
            let places = self.already_free.len() + chosen.len() + 1;
            let value = self.waiting_job.value_of(places);
            if cost >= value {
                return match chosen.is_empty() || self.waiting_job.gang {
                    true => Err(PlanError::NotWorthwhile { cost, value }),
                    false => Ok(chosen),
                };
            }
            for &id in &choice.instances {
                for id in self.index.with_gang(self.fleet, id) {
                    migrating.insert(id);
                    // The rest of the gang leaves other workers, which may now be the cheapest.
                    let from = self.fleet.instances[id as usize].worker;
                    if from != m && self.candidates.iter().any(|&(_, other)| other == from) {
                        heap.push(Reverse(Candidate(0.0, from)));
                    }
                }
            }
            chosen.push((m, choice.instances));
        }
        if chosen.is_empty() || (self.waiting_job.gang && chosen.len() < missing) {
            return Err(PlanError::ImmovableTasks);
        }
        Ok(chosen)
    }

    /// The cheapest task instances to migrate off a worker. The result is cached as long as none
    /// of them is migrating or unplaceable, since the same workers are asked for many times.
    fn choose_instances(
        &self,
        m: u32,
        migrating: &BTreeSet<u32>,
        unplaceable: &BTreeSet<u32>,
    ) -> Option<Choice> {
        let instances = &self.index.by_worker[m as usize];
        let unchanged = !instances
            .iter()
            .any(|id| migrating.contains(id) || unplaceable.contains(id));
        if unchanged && let Some(cached) = self.cached_choices.borrow().get(&m) {
            return cached.clone();
        }
        let choice = cheapest_choice(
            self.fleet,
            self.index,
            m,
            self.waiting_job,
            self.limits,
            migrating,
            unplaceable,
        );
        if unchanged {
            self.cached_choices.borrow_mut().insert(m, choice.clone());
        }
        choice
    }

    /// Finds targets for all task instances that must leave the chosen workers.
    fn place_instances(&self, chosen: &[ChosenWorker]) -> Result<Plan, (Option<u32>, PlanError)> {
        let freed_workers: Vec<u32> = chosen.iter().map(|c| c.0).collect();
        let mut excluded: BTreeSet<u32> = freed_workers.iter().copied().collect();
        excluded.extend(&self.already_free);
        let instances = chosen.iter().flat_map(|c| c.1.iter().copied()).collect();
        let (cost, migrations) =
            assign_targets(self.fleet, self.index, instances, &excluded, self.limits)?;
        let lost = |migration: &Migration| self.fleet.instances[migration.instance as usize].lost_s;
        Ok(Plan {
            lost_s: migrations.iter().map(lost).sum(),
            migrations,
            freed_workers,
            already_free: self.already_free.clone(),
            cost,
        })
    }

    /// Plans with the cheapest workers, except the worker `without`. While a task instance finds no
    /// target, the choice of workers is repeated without migrating it.
    fn plan(&self, without: Option<u32>) -> Result<Plan, PlanError> {
        let mut unplaceable = BTreeSet::new();
        let mut error = PlanError::ImmovableTasks;
        for _ in 0..MAX_ATTEMPTS {
            let chosen = self
                .choose_workers(&unplaceable, without)
                .map_err(|e| closer_to_plan(error.clone(), e))?;
            match self.place_instances(&chosen) {
                Ok(plan) => {
                    let value = self.waiting_job.value_of(plan.place_count());
                    if plan.cost < value {
                        return Ok(plan);
                    }
                    let cost = plan.cost;
                    return Err(closer_to_plan(
                        error,
                        PlanError::NotWorthwhile { cost, value },
                    ));
                }
                Err((instance, place_error)) => {
                    error = closer_to_plan(error, place_error);
                    let Some(instance) = instance else { break };
                    unplaceable.insert(instance);
                }
            }
        }
        Err(error)
    }
}

/// Plans in one zone, or in all zones together if `zone` is `None`.
fn plan_zone(
    fleet: &Fleet,
    index: &Index,
    waiting_job: &WaitingJob,
    limits: &Limits,
    zone: Option<u32>,
) -> Result<Plan, PlanError> {
    let mut planner = ZonePlanner {
        fleet,
        index,
        waiting_job,
        limits,
        already_free: Vec::new(),
        candidates: Vec::new(),
        zones: ZoneCounts {
            taken: waiting_job.placed_by_zone.clone(),
            cap: waiting_job.zone_cap,
        },
        cached_choices: RefCell::default(),
    };
    let mut suitable = false;
    for (m, worker) in (0u32..).zip(&fleet.workers) {
        if zone.is_some_and(|z| z != worker.zone) || !worker.freeable || !waiting_job.suits(worker)
        {
            continue;
        }
        suitable = true;
        let Some(bound) = cost_lower_bound(fleet, index, m, waiting_job, limits) else {
            continue;
        };
        if bound > 0.0 {
            planner.candidates.push((bound, m));
            continue;
        }
        // The worker may have room for several tasks.
        let mut room = fleet.room_with_preemption(waiting_job.priority, m);
        loop {
            planner.already_free.push(m);
            room.sub(&waiting_job.needs);
            if !planner.zones.take(worker.zone) {
                planner.already_free.pop();
                break;
            }
            if planner.already_free.len() >= waiting_job.tasks as usize {
                return Err(PlanError::ComesFree);
            }
            if !waiting_job.needs.fits_in(&room) {
                break;
            }
        }
    }
    if !suitable {
        return Err(PlanError::NoSuitableWorker);
    }
    let mut best = planner.plan(None)?;
    // Workers are chosen before the targets of their tasks are known, so a plan without one of
    // the chosen workers may turn out cheaper.
    for m in best
        .freed_workers
        .clone()
        .into_iter()
        .take(MAX_ALTERNATIVES)
    {
        if let Ok(other) = planner.plan(Some(m))
            && is_better(&other, &best)
        {
            best = other;
        }
    }
    Ok(best)
}

/// The number of places of a job in each zone, and the maximum per zone.
#[derive(Clone)]
struct ZoneCounts {
    taken: Vec<u32>,
    cap: u32,
}

impl ZoneCounts {
    /// Counts one more place in a zone; returns false if the zone is at its maximum.
    fn take(&mut self, zone: u32) -> bool {
        let z = zone as usize;
        if self.taken.len() <= z {
            self.taken.resize(z + 1, 0);
        }
        let room = self.taken[z] < self.cap;
        self.taken[z] += u32::from(room);
        room
    }
}

impl WaitingJob {
    /// The value of a number of places. A gang counts all its tasks, since it cannot use fewer
    /// places.
    fn value_of(&self, places: usize) -> f64 {
        let places = if self.gang {
            self.tasks as usize
        } else {
            places
        };
        self.place_value * places as f64
    }
}

impl Plan {
    fn place_count(&self) -> usize {
        self.freed_workers.len() + self.already_free.len()
    }
}

/// Finds targets for task instances and for all that must migrate with them. The error names the
/// instance that found no target, if that is the cause.
fn assign_targets(
    fleet: &Fleet,
    index: &Index,
    mut instances: Vec<u32>,
    excluded: &BTreeSet<u32>,
    limits: &Limits,
) -> Result<(f64, Vec<Migration>), (Option<u32>, PlanError)> {
    let mut assigned = Assignments::default();
    let mut migrations: Vec<Migration> = Vec::new();
    // The largest tasks come first, as the fewest workers have room for them.
    instances.sort_by_key(|&id| {
        let needs = &fleet.jobs[fleet.instances[id as usize].job as usize].needs;
        (Reverse((needs.gpus, needs.cpus, needs.memory)), id)
    });
    for id in instances {
        if migrations.iter().any(|migration| migration.instance == id) {
            continue;
        }
        let unit = index.with_gang(fleet, id);
        if migrations.len() + unit.len() > limits.max_migrations {
            return Err((None, PlanError::TooManyMigrations));
        }
        let Some((with_unit, targets)) =
            place(fleet, &index.targets, &unit, excluded, limits, &assigned)
        else {
            return Err((Some(id), PlanError::NoTarget));
        };
        assigned = with_unit;
        migrations.extend(
            targets
                .into_iter()
                .map(|(instance, to)| Migration { instance, to }),
        );
    }
    Ok((assigned.cost, migrations))
}

/// Plans migrations off a draining worker, for as many of its tasks as have a target.
///
/// The other tasks run on. The caller must stop them if the worker has to be empty by a deadline.
pub fn drain_worker(fleet: &Fleet, worker: u32, limits: &Limits) -> Vec<Migration> {
    let index = Index::new(fleet, limits);
    let excluded = BTreeSet::from([worker]);
    let mut instances = index.by_worker[worker as usize].clone();
    instances.retain(|&id| index.is_movable(fleet, id, limits));
    // The cheapest come first, as the limits may not allow all of them at once.
    instances.sort_by(|&a, &b| {
        let cost = |id| fleet.cost(id, limits);
        cost(a).total_cmp(&cost(b)).then(a.cmp(&b))
    });
    let mut taken: Vec<u32> = Vec::new();
    let mut migrations = Vec::new();
    for id in instances {
        taken.push(id);
        match assign_targets(fleet, &index, taken.clone(), &excluded, limits) {
            Ok((_, all)) => migrations = all,
            Err(_) => {
                taken.pop();
            }
        }
    }
    migrations
}
