//! The input of the planner.

use copperfield_protocol::job::Resources;

/// A worker as the planner sees it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Index of its zone.
    pub zone: u32,
    /// Index of its instance type.
    pub kind: u32,
    /// The cloud may reclaim it.
    pub spot: bool,
    /// May be given tasks: its heartbeats are in time, and it is not draining, about to be
    /// reclaimed, quarantined or unreconciled.
    pub usable: bool,
    /// May be freed for the waiting job: it is usable and not reserved for another job.
    pub freeable: bool,
    /// All its resources.
    pub capacity: Resources,
    /// Its free resources, less what is reserved for other jobs.
    pub room: Resources,
    /// Money per second for the whole worker.
    pub price: f64,
    /// Gigabytes of images that it fetches per second.
    pub fetch_gb_per_s: f64,
    /// Indices of the images that it has.
    pub images: Vec<u32>,
    /// Tasks on it that work of higher priority may preempt, the cheapest first.
    pub preemptible: Vec<Preemptible>,
}

/// A running task that work of higher priority may preempt.
#[derive(Debug, Clone, Copy)]
pub struct Preemptible {
    /// Only work of a higher priority may preempt it.
    pub priority: u8,
    /// The resources that it uses.
    pub needs: Resources,
    /// What preempting it costs, in money.
    pub cost: f64,
}

/// A job with tasks on workers.
#[derive(Debug, Clone)]
pub struct Job {
    /// The resources that each task uses.
    pub needs: Resources,
    /// Work of a higher priority may preempt it, work of the same priority never.
    pub priority: u8,
    /// The value of a second of its work relative to other jobs (π·w in the auction).
    pub weight: f64,
    /// Instance types that its tasks may run on; `None` allows any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone that it may run in; `None` allows any.
    pub zone: Option<u32>,
    /// May run on spot workers.
    pub spot: bool,
    /// All its tasks must be in one zone.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone (`spread`).
    pub zone_cap: u32,
    /// Number of its tasks in each zone now.
    pub instances_by_zone: Vec<u32>,
    /// Index of its image.
    pub image: u32,
    /// Size of its image in gigabytes.
    pub image_gb: f64,
    /// Either all its tasks migrate together or none does.
    pub gang: bool,
    /// How many more of its tasks may migrate now.
    pub migration_budget: u32,
    /// Workers that it must not run on because it failed there.
    pub avoided_workers: Vec<u32>,
}

/// One task on one worker.
#[derive(Debug, Clone)]
pub struct TaskInstance {
    /// Index into [`Fleet::workers`].
    pub worker: u32,
    /// Index into [`Fleet::jobs`].
    pub job: u32,
    /// May be migrated, according to its job, its class, and the time of its last migration.
    pub movable: bool,
    /// Seconds until it ends by itself, infinite for a service.
    pub ends_in_s: f64,
    /// Seconds of its work that a migration loses: those since it started if it does not save
    /// checkpoints, else the time that saving one takes.
    pub lost_s: f64,
}

/// All workers and the tasks that run on them.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// All workers.
    pub workers: Vec<Worker>,
    /// The jobs of all task instances.
    pub jobs: Vec<Job>,
    /// All tasks that run on workers.
    pub instances: Vec<TaskInstance>,
}

/// A job whose tasks wait for workers to be freed.
#[derive(Debug, Clone)]
pub struct WaitingJob {
    /// The resources that each of its tasks uses on its worker.
    pub needs: Resources,
    /// Tasks of lower priority are preempted for it, except those of gangs.
    pub priority: u8,
    /// Number of tasks that wait for a place.
    pub tasks: u32,
    /// All places must be in one zone.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone (`spread`).
    pub zone_cap: u32,
    /// Number of its tasks that already have a place, by zone.
    pub placed_by_zone: Vec<u32>,
    /// Instance types that its tasks may run on; `None` allows any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone that it may run in; `None` allows any.
    pub zone: Option<u32>,
    /// May run on spot workers.
    pub spot: bool,
    /// Its tasks need all places at once. If false, a plan may provide fewer places.
    pub gang: bool,
    /// The value of one place, in the same money as the cost of migrations.
    pub place_value: f64,
}

/// The limits of a plan.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of migrations that the plan may start.
    pub max_migrations: usize,
    /// A task that ends by itself within this many seconds is not migrated.
    pub ends_soon_s: f64,
    /// Seconds that a migration takes in addition to saving and fetching.
    pub migration_overhead_s: f64,
}

impl Job {
    /// Whether the job may run on a worker, regardless of the room there.
    pub fn suits(&self, m: u32, worker: &Worker) -> bool {
        suits(&self.kinds, self.zone, self.spot, worker) && !self.avoided_workers.contains(&m)
    }
}

impl WaitingJob {
    /// Whether a task of the job may run on a worker and fits on it once it is empty.
    pub fn suits(&self, worker: &Worker) -> bool {
        suits(&self.kinds, self.zone, self.spot, worker) && self.needs.fits_in(&worker.capacity)
    }
}

fn suits(kinds: &Option<Vec<u32>>, zone: Option<u32>, spot: bool, worker: &Worker) -> bool {
    (spot || !worker.spot)
        && zone.is_none_or(|z| z == worker.zone)
        && kinds.as_ref().is_none_or(|k| k.contains(&worker.kind))
}

impl Fleet {
    /// Seconds that a worker needs to fetch the image of a job, 0 if it has the image.
    pub fn fetch_s(&self, job: &Job, m: u32) -> f64 {
        let worker = &self.workers[m as usize];
        if job.image_gb <= 0.0 || worker.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb / worker.fetch_gb_per_s.max(1e-3)
        }
    }

    /// The value in money of one second of a task instance's work on its current worker.
    fn value_per_s(&self, instance: &TaskInstance) -> f64 {
        let job = &self.jobs[instance.job as usize];
        let worker = &self.workers[instance.worker as usize];
        job.weight * worker.price * job.needs.dominant_share_of(&worker.capacity)
    }

    /// The cost of a migration without what depends on its target: the fetch and preemptions.
    pub fn cost(&self, id: u32, limits: &Limits) -> f64 {
        let instance = &self.instances[id as usize];
        self.value_per_s(instance) * (instance.lost_s + limits.migration_overhead_s)
    }

    /// The total cost of a migration to a target.
    pub fn cost_to(&self, id: u32, to: u32, limits: &Limits) -> f64 {
        let instance = &self.instances[id as usize];
        let job = &self.jobs[instance.job as usize];
        let preemption = self.preemption_cost(job, to).unwrap_or(f64::INFINITY);
        self.cost(id, limits) + self.value_per_s(instance) * self.fetch_s(job, to) + preemption
    }

    /// The cost of the preemptions that make room for a task on a worker: 0 if there is room
    /// already, `None` if preemptions cannot make enough.
    pub(crate) fn preemption_cost(&self, job: &Job, m: u32) -> Option<f64> {
        let worker = &self.workers[m as usize];
        let mut room = worker.room;
        let mut cost = 0.0;
        for victim in &worker.preemptible {
            if job.needs.fits_in(&room) {
                break;
            }
            if victim.priority < job.priority {
                room.add(&victim.needs);
                cost += victim.cost;
            }
        }
        job.needs.fits_in(&room).then_some(cost)
    }

    /// The room on a worker for work of a priority, with all that it may preempt there.
    pub(crate) fn room_with_preemption(&self, priority: u8, m: u32) -> Resources {
        let worker = &self.workers[m as usize];
        let mut room = worker.room;
        let victims = worker.preemptible.iter();
        for victim in victims.filter(|victim| victim.priority < priority) {
            room.add(&victim.needs);
        }
        room
    }
}
