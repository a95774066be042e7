//! The rules that every plan must follow, and how close plans come to the optimum.
//!
//! Guards against plans that move tasks which must stay, use a target without room, or cost more
//! than they bring, and against a planner that misses plans or finds much too expensive ones.

use copperfield_defrag::{
    Fleet, Job, Limits, PlanError, Preemptible, TaskInstance, WaitingJob, Worker, drain_worker,
    free_workers,
};
use copperfield_protocol::job::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMITS: Limits = Limits {
    max_migrations: 16,
    ends_soon_s: 5.0,
    migration_overhead_s: 1.0,
};

fn gpus(n: i64) -> Resources {
    Resources::new(n as f64, n as f64, 4.0 * n as f64)
}

fn worker(zone: u32, capacity: i64) -> Worker {
    Worker {
        zone,
        kind: 0,
        spot: false,
        usable: true,
        freeable: true,
        capacity: gpus(capacity),
        room: gpus(capacity),
        price: 1.0,
        fetch_gb_per_s: 1.0,
        images: vec![0],
        preemptible: Vec::new(),
    }
}

fn job(needs: i64) -> Job {
    Job {
        needs: gpus(needs),
        priority: 1,
        weight: 1.0,
        kinds: None,
        zone: None,
        spot: true,
        one_zone: false,
        zone_cap: u32::MAX,
        instances_by_zone: vec![0; 2],
        image: 0,
        image_gb: 0.0,
        gang: false,
        migration_budget: u32::MAX,
        avoided_workers: Vec::new(),
    }
}

fn waiting_job(tasks: u32, needs: i64) -> WaitingJob {
    WaitingJob {
        needs: gpus(needs),
        priority: 1,
        tasks,
        one_zone: true,
        zone_cap: u32::MAX,
        placed_by_zone: vec![0; 2],
        kinds: None,
        zone: None,
        spot: true,
        gang: true,
        place_value: 1e9,
    }
}

impl TestFleet {
    /// Adds a task of a job on a worker. Returns the index of its instance.
    fn add_task(&mut self, worker: u32, job: usize, lost_s: f64) -> u32 {
        let zone = self.0.workers[worker as usize].zone as usize;
        let needs = self.0.jobs[job].needs;
        self.0.jobs[job].instances_by_zone[zone] += 1;
        self.0.workers[worker as usize].room.sub(&needs);
        self.0.instances.push(TaskInstance {
            worker,
            job: job as u32,
            movable: true,
            ends_in_s: 100.0,
            lost_s,
        });
        self.0.instances.len() as u32 - 1
    }
}

struct TestFleet(Fleet);

/// Two zones with two workers of four GPUs each. Every worker holds one task that uses two GPUs.
fn fragmented_fleet() -> TestFleet {
    let mut fleet = TestFleet(Fleet {
        workers: (0..4).map(|m| worker(m / 2, 4)).collect(),
        jobs: vec![job(2)],
        instances: Vec::new(),
    });
    for m in 0..4 {
        fleet.add_task(m, 0, 1.0 + f64::from(m));
    }
    fleet
}

#[test]
fn freeing_one_worker_takes_the_cheapest_migration() {
    let plan = free_workers(&fragmented_fleet().0, &waiting_job(1, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.freed_workers, [0]);
    assert_eq!(plan.migrations.len(), 1);
    assert_eq!(plan.lost_s, 1.0);
}

#[test]
fn workers_for_a_one_zone_gang_are_freed_in_one_zone() {
    let plan = free_workers(&fragmented_fleet().0, &waiting_job(2, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.freed_workers, [0, 1]);
    let zone = |m: u32| m / 2;
    assert!(
        plan.migrations
            .iter()
            .all(|migration| zone(migration.to) == 1),
        "{plan:?}"
    );
}

#[test]
fn immovable_tasks_prevent_a_plan() {
    let mut fleet = fragmented_fleet();
    fleet
        .0
        .instances
        .iter_mut()
        .for_each(|instance| instance.movable = false);
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS),
        Err(PlanError::ImmovableTasks)
    );
}

#[test]
fn no_migration_is_planned_if_a_task_ends_soon() {
    let mut fleet = fragmented_fleet();
    fleet.0.instances[3].ends_in_s = 4.0;
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS),
        Err(PlanError::ComesFree)
    );
}

#[test]
fn unusable_workers_and_workers_being_freed_are_no_targets() {
    let mut fleet = fragmented_fleet();
    for m in 1..4 {
        fleet.0.workers[m].usable = false;
    }
    // Worker 0 is the only target, so it cannot be the one that is freed.
    let plan = free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS).expect("a plan");
    assert!(
        plan.migrations.iter().all(|migration| migration.to == 0) && plan.freed_workers == [1],
        "{plan:?}"
    );
    fleet.0.workers[0].usable = false;
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS),
        Err(PlanError::NoTarget)
    );
}

#[test]
fn a_gang_migrates_as_a_whole_or_not_at_all() {
    let mut fleet = fragmented_fleet();
    fleet.0.jobs[0].gang = true;
    let mut limits = LIMITS;
    // All four tasks would have to migrate, and the workers that stay have no room for them.
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &limits),
        Err(PlanError::NoTarget)
    );
    limits.max_migrations = 3;
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &limits),
        Err(PlanError::ImmovableTasks)
    );
}

#[test]
fn a_service_keeps_its_spread_and_its_migration_budget() {
    let mut fleet = fragmented_fleet();
    fleet.0.jobs[0].zone_cap = 2;
    let plan = free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.migrations[0].to, 1, "the target is in the same zone");
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(2, 4), &LIMITS),
        Err(PlanError::NoTarget)
    );
    fleet.0.jobs[0].migration_budget = 0;
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS),
        Err(PlanError::ImmovableTasks)
    );
}

/// Tasks of priority 0 fill the rest of every worker. A migrating task may preempt one of them on
/// its target, which adds to the cost, and the waiting job preempts them on the freed worker.
#[test]
fn lower_priority_tasks_are_preempted_for_migrations_and_for_the_waiting_job() {
    let mut fleet = fragmented_fleet();
    for m in 0..4 {
        fleet.0.jobs.push(job(2));
        let low_priority = fleet.0.jobs.len() - 1;
        fleet.0.jobs[low_priority].priority = 0;
        fleet.add_task(m, low_priority, 5.0);
        let cost = 10.0 - f64::from(m);
        let needs = gpus(2);
        fleet.0.workers[m as usize].preemptible = vec![Preemptible {
            priority: 0,
            needs,
            cost,
        }];
    }
    let plan = free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS).expect("a plan");
    assert_eq!(
        plan.migrations.len(),
        1,
        "tasks of low priority are not migrated: {plan:?}"
    );
    let to = plan.migrations[0].to;
    assert_eq!(
        (plan.freed_workers[0], to),
        (0, 3),
        "the cheapest task of low priority is preempted"
    );
    assert_eq!(plan.cost, 0.5 * (1.0 + 1.0) + 7.0);
    fleet.0.jobs[0].priority = 0;
    assert_eq!(
        free_workers(&fleet.0, &waiting_job(1, 4), &LIMITS),
        Err(PlanError::ComesFree)
    );
}

#[test]
fn nothing_is_migrated_for_a_place_worth_less_than_the_cost() {
    let mut cheap = waiting_job(1, 4);
    cheap.place_value = 0.5;
    assert!(matches!(
        free_workers(&fragmented_fleet().0, &cheap, &LIMITS),
        Err(PlanError::NotWorthwhile { .. })
    ));
}

#[test]
fn tasks_migrate_off_a_draining_worker_as_far_as_limits_allow() {
    let mut fleet = fragmented_fleet();
    fleet.0.workers[0].usable = false;
    fleet.0.jobs.push(job(3));
    fleet.0.workers[1].room = gpus(4);
    fleet.0.instances.remove(1);
    fleet.0.workers[0].room = gpus(4);
    fleet.0.instances.remove(0);
    fleet.add_task(0, 1, 1.0);
    fleet.add_task(0, 0, 1.0);
    let migrations = drain_worker(&fleet.0, 0, &LIMITS);
    assert_eq!(migrations.len(), 2, "{migrations:?}");
    let one = Limits {
        max_migrations: 1,
        ..LIMITS
    };
    assert_eq!(drain_worker(&fleet.0, 0, &one).len(), 1);
}

/// Tries every way to migrate task instances. Returns the cost of the cheapest that frees all
/// places.
fn exhaustive_search(fleet: &Fleet, waiting_job: &WaitingJob) -> Option<f64> {
    fn search(
        fleet: &Fleet,
        waiting_job: &WaitingJob,
        id: usize,
        targets: &mut Vec<Option<u32>>,
        best: &mut Option<f64>,
    ) {
        if id == fleet.instances.len() {
            if let Some(cost) = cost(fleet, waiting_job, targets)
                && best.is_none_or(|b| cost < b)
            {
                *best = Some(cost);
            }
            return;
        }
        for target in std::iter::once(None).chain((0..fleet.workers.len() as u32).map(Some)) {
            if target != Some(fleet.instances[id].worker) {
                targets.push(target);
                search(fleet, waiting_job, id + 1, targets, best);
                targets.pop();
            }
        }
    }
    fn cost(fleet: &Fleet, waiting_job: &WaitingJob, targets: &[Option<u32>]) -> Option<f64> {
        let mut reserved = vec![Resources::default(); fleet.workers.len()];
        let mut freed = reserved.clone();
        let mut cost = 0.0;
        for (id, target) in (0u32..).zip(targets) {
            let instance = &fleet.instances[id as usize];
            let needs = &fleet.jobs[instance.job as usize].needs;
            if let Some(target) = target {
                reserved[*target as usize].add(needs);
                freed[instance.worker as usize].add(needs);
                cost += fleet.cost_to(id, *target, &LIMITS);
            }
        }
        let fits = |(worker, reserved): (&Worker, &Resources)| reserved.fits_in(&worker.room);
        if !fleet.workers.iter().zip(&reserved).all(fits) {
            return None;
        }
        let mut places = [0; 2];
        for (i, worker) in fleet.workers.iter().enumerate() {
            let mut room = worker.room;
            room.add(&freed[i]);
            room.sub(&reserved[i]);
            if waiting_job.needs.fits_in(&room) {
                places[worker.zone as usize] += 1;
            }
        }
        (places.iter().any(|&p| p >= waiting_job.tasks)).then_some(cost)
    }
    let mut best = None;
    search(fleet, waiting_job, 0, &mut Vec::new(), &mut best);
    best
}

/// Compares plans for small random fleets, one per seed, with the optimum: how much more they cost,
/// and how often the planner finds none although there is one.
#[test]
fn plans_are_close_to_the_optimum_of_an_exhaustive_search() {
    let mut ratios = Vec::new();
    let mut missed = 0;
    for seed in 0..2000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = rng.random_range(3..=5);
        let mut fleet = TestFleet(Fleet {
            workers: (0..workers).map(|m| worker(m % 2, 4)).collect(),
            jobs: (1..=3).map(job).collect(),
            instances: Vec::new(),
        });
        for job in &mut fleet.0.jobs {
            job.weight = rng.random_range(1..=3).into();
            job.image = 1;
            job.image_gb = 2.0;
        }
        for _ in 0..rng.random_range(2..=6) {
            let (m, ix) = (rng.random_range(0..workers), rng.random_range(0..3));
            if fleet.0.jobs[ix]
                .needs
                .fits_in(&fleet.0.workers[m as usize].room)
            {
                fleet.add_task(m, ix, rng.random_range(1..30).into());
            }
            fleet.0.workers[m as usize]
                .images
                .push(rng.random_range(0..2));
        }
        let waiting_job = waiting_job(rng.random_range(1..=2), rng.random_range(3..=4));
        let best = exhaustive_search(&fleet.0, &waiting_job);
        match (free_workers(&fleet.0, &waiting_job, &LIMITS), best) {
            (Ok(plan), Some(best)) => {
                assert!(
                    plan.cost >= best - 1e-9,
                    "seed {seed}: cheaper than the optimum"
                );
                ratios.push(plan.cost / best);
            }
            (Err(PlanError::ComesFree), Some(best)) => assert_eq!(best, 0.0, "seed {seed}"),
            (Err(_), None) => {}
            (Err(_), Some(_)) => missed += 1,
            (Ok(plan), None) => panic!("seed {seed}: {plan:?} is not possible"),
        }
    }
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    let exact = ratios.iter().filter(|&&r| r < 1.0 + 1e-9).count();
    println!(
        "{} plans: cost relative to the optimum: mean {mean:.3}, worst {worst:.2}; \
         {exact} optimal; {missed} missed",
        ratios.len()
    );
    assert!(ratios.len() > 100, "too few plans to compare");
    assert!(mean < 1.1 && worst < 3.0, "mean {mean}, worst {worst}");
    assert!(missed * 20 < ratios.len(), "{missed} missed");
}
