//! What a plan is made from.

use copperfield_protocol::job::Resources;

/// One worker, as far as a plan cares.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Index of its zone.
    pub zone: u32,
    /// Index of its type.
    pub kind: u32,
    /// The cloud may reclaim it.
    pub spot: bool,
    /// May be given work: its heartbeats are in time, and it is not draining, about to be
    /// reclaimed, quarantined or unreconciled.
    pub receives: bool,
    /// May be freed: as `receives`, and no other job has a claim on it.
    pub frees: bool,
    /// All of it.
    pub whole: Resources,
    /// What is free of it now, less what is claimed for others.
    pub room: Resources,
    /// Money per second for the whole worker.
    pub price: f64,
    /// Gigabytes of images per second.
    pub fetch_gb_per_s: f64,
    /// Images it has.
    pub images: Vec<u32>,
    /// What on it gives way to higher work, the cheapest first.
    pub yields: Vec<Yield>,
}

/// A task that is stopped where work of a higher rank wants its room.
#[derive(Debug, Clone, Copy)]
pub struct Yield {
    /// Work of a higher rank may have it stopped.
    pub rank: u8,
    /// What it takes.
    pub needs: Resources,
    /// What stopping it costs, in money.
    pub cost: f64,
}

/// A job with tasks on workers.
#[derive(Debug, Clone)]
pub struct Work {
    /// What each task takes.
    pub needs: Resources,
    /// Work of a higher rank may have it stopped; never of the same.
    pub rank: u8,
    /// How much a second of it counts beside other work (the auction's π·w).
    pub weight: f64,
    /// Types its tasks may run on; `None`: any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone it may run in.
    pub zone: Option<u32>,
    /// May run on spot workers.
    pub spot: bool,
    /// All its tasks must be in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone (`spread`).
    pub zone_cap: u32,
    /// Tasks that may be in each zone now.
    pub by_zone: Vec<u32>,
    /// Index of its image.
    pub image: u32,
    /// Size of its image.
    pub image_gb: f64,
    /// All its tasks move together or none does.
    pub gang: bool,
    /// How many of its tasks may still be taken away now.
    pub may_leave: u32,
    /// Workers it must keep off, as it failed there.
    pub avoid: Vec<u32>,
}

/// One task on one worker.
#[derive(Debug, Clone)]
pub struct TaskInstance {
    /// Index into [`Fleet::workers`].
    pub worker: u32,
    /// Index into [`Fleet::works`].
    pub work: u32,
    /// May be moved at all: by its marks, its class, and when it last moved.
    pub movable: bool,
    /// Seconds until it ends by itself, infinite for a service.
    pub ends_in_s: f64,
    /// Seconds of its work that a move loses: since the last save, or the time to save.
    pub lost_s: f64,
}

/// All workers and what runs on them.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// All workers.
    pub workers: Vec<Worker>,
    /// The jobs of all task instances.
    pub works: Vec<Work>,
    /// The tasks that run on workers.
    pub instances: Vec<TaskInstance>,
}

/// Who waits for workers.
#[derive(Debug, Clone)]
pub struct Want {
    /// What each of its tasks takes of its worker.
    pub needs: Resources,
    /// What is of a lower rank on a worker gives way to it, unless it is a gang.
    pub rank: u8,
    /// Tasks that wait for a place at once.
    pub tasks: u32,
    /// All places must be in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone (`spread`).
    pub zone_cap: u32,
    /// Tasks of it that are placed already, by zone.
    pub by_zone: Vec<u32>,
    /// Types its tasks may run on; `None`: any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone it may run in.
    pub zone: Option<u32>,
    /// May run on spot workers.
    pub spot: bool,
    /// Places are wanted all at once; else fewer are better than none.
    pub whole: bool,
    /// What a place is worth, in the money that moves cost.
    pub worth: f64,
}

/// How far a plan may go.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Moves that may be added to those in flight.
    pub moves: usize,
    /// What ends by itself within so many seconds is not moved.
    pub soon_s: f64,
    /// Seconds a move takes beside saving and fetching.
    pub move_s: f64,
}

impl Work {
    /// Whether a task of it may run on the worker, whatever else runs there.
    pub fn suits(&self, m: u32, worker: &Worker) -> bool {
        suits(&self.kinds, self.zone, self.spot, worker) && !self.avoid.contains(&m)
    }
}

impl Want {
    /// Whether a task of it may run on the worker once it is free.
    pub fn suits(&self, worker: &Worker) -> bool {
        suits(&self.kinds, self.zone, self.spot, worker) && self.needs.fits_in(&worker.whole)
    }
}

fn suits(kinds: &Option<Vec<u32>>, zone: Option<u32>, spot: bool, worker: &Worker) -> bool {
    (spot || !worker.spot)
        && zone.is_none_or(|z| z == worker.zone)
        && kinds.as_ref().is_none_or(|k| k.contains(&worker.kind))
}

impl Fleet {
    /// Seconds until a worker has the image of a job, 0 if it has it.
    pub fn fetch_s(&self, work: &Work, m: u32) -> f64 {
        let worker = &self.workers[m as usize];
        if work.image_gb <= 0.0 || worker.images.contains(&work.image) {
            0.0
        } else {
            work.image_gb / worker.fetch_gb_per_s.max(1e-3)
        }
    }

    /// Money that a second of a task instance's work is worth where it runs.
    fn rate(&self, instance: &TaskInstance) -> f64 {
        let work = &self.works[instance.work as usize];
        let worker = &self.workers[instance.worker as usize];
        work.weight * worker.price * work.needs.share_of(&worker.whole)
    }

    /// What a move costs before the fetch at its target is known.
    pub fn cost(&self, c: u32, limits: &Limits) -> f64 {
        let instance = &self.instances[c as usize];
        self.rate(instance) * (instance.lost_s + limits.move_s)
    }

    /// What a move costs in all.
    pub fn cost_to(&self, c: u32, to: u32, limits: &Limits) -> f64 {
        let instance = &self.instances[c as usize];
        let work = &self.works[instance.work as usize];
        let stops = self.stops(work, to).unwrap_or(f64::INFINITY);
        self.cost(c, limits) + self.rate(instance) * self.fetch_s(work, to) + stops
    }

    /// What has to be stopped on a worker so that a task fits, in money; 0 where there
    /// is room, `None` if it cannot.
    pub(crate) fn stops(&self, work: &Work, m: u32) -> Option<f64> {
        let worker = &self.workers[m as usize];
        let mut room = worker.room;
        let mut cost = 0.0;
        for y in &worker.yields {
            if work.needs.fits_in(&room) {
                break;
            }
            if y.rank < work.rank {
                room.add(&y.needs);
                cost += y.cost;
            }
        }
        work.needs.fits_in(&room).then_some(cost)
    }

    /// Room of a worker for work of a rank, what gives way to it included.
    pub(crate) fn room_for(&self, rank: u8, m: u32) -> Resources {
        let worker = &self.workers[m as usize];
        let mut room = worker.room;
        for y in worker.yields.iter().filter(|y| y.rank < rank) {
            room.add(&y.needs);
        }
        room
    }
}
