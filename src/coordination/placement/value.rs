//! Computes the value of a worker for a task, and which workers suit a job best.

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::Resources;
use crate::protocol::worker::TaskPhase;

/// Steepness of the headroom gate (k in the design paper).
const GATE_STEEPNESS: f64 = 25.0;
/// Lower bound of the GPU part of a worker's headroom.
const MIN_GPU_HEADROOM: f64 = 0.2;
/// Lower bound of the factor by which the time to fetch an image reduces the value.
const MIN_DELAY_FACTOR: f64 = 1e-3;
/// Lower bound of the cost that a value is divided by.
const MIN_COST: f64 = 1e-12;
/// The share of a job's start delay tolerance that a fetch may take. Fetch rates are known only to
/// within a third.
const FETCH_SHARE_OF_TOLERANCE: f64 = 0.8;
/// The fetch rate that is assumed for an instance type without a description.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.25;
/// The share of an image that is still to be fetched, on average, when its fetch has begun.
const REMAINING_FETCH_SHARE: f64 = 0.5;
const SECONDS_PER_HOUR: f64 = 3600.0;

impl Core {
    /// The value of a worker for a task of a job, π·w/ΔE in the design paper: weight times work
    /// over cost, multiplied by the headroom gate and by a factor that decreases with the time to
    /// fetch the image.
    pub(in crate::coordination) fn value(&self, job_index: u32, worker_index: u32) -> f64 {
        let Some(instance_type) = self.types.get(self.workers[worker_index].instance_type) else {
            return 0.0;
        };
        let job = &self.jobs[job_index];
        let fetch_s = self.fetch_s(job_index, worker_index);
        let cost = self.cost(job_index, worker_index, instance_type, fetch_s);
        let gate = self.headroom_gate(worker_index, instance_type);
        let delay_factor = (-fetch_s / job.start_delay_tolerance_s)
            .exp()
            .max(MIN_DELAY_FACTOR);
        self.weight(job_index) * job.work_s() / cost.max(MIN_COST) * gate * delay_factor
    }

    /// The cost of running a task on a worker, ΔE in the design paper: the price of the share of
    /// the worker that the task occupies, plus the price of the whole worker if it is empty.
    fn cost(
        &self,
        job_index: u32,
        worker_index: u32,
        instance_type: &MachineType,
        fetch_s: f64,
    ) -> f64 {
        let worker = &self.workers[worker_index];
        let tuning = &self.config.tuning;
        let work_s = self.jobs[job_index].work_s();
        let price_per_hour = if worker.spot {
            instance_type.spot_price
        } else {
            instance_type.price * tuning.running_price_factor
        };
        let price_per_s = price_per_hour / SECONDS_PER_HOUR;
        let mut occupied_s = work_s + fetch_s;
        if worker.spot {
            // When a spot worker is reclaimed, the work done so far is lost.
            occupied_s *= 1.0 + work_s / tuning.spot_mean_life_s;
        }
        let share = if self.fragments_worker(job_index, worker_index) {
            // The task prevents a large task from running here, so it is charged for the whole
            // worker.
            1.0
        } else {
            self.jobs[job_index]
                .spec
                .needs
                .dominant_share_of(&instance_type.capacity)
        };
        let empty = if worker.used == Resources::default() {
            1.0
        } else {
            0.0
        };
        price_per_s * occupied_s * (share + empty)
    }

    /// A factor between 0 and 1: low for a worker that is nearly full or whose last heartbeat is
    /// old.
    fn headroom_gate(&self, worker_index: u32, instance_type: &MachineType) -> f64 {
        let tuning = &self.config.tuning;
        let free = self.free_resources(worker_index);
        let capacity = &instance_type.capacity;
        let headroom = free_share(free.cpus, capacity.cpus)
            .min(free_share(free.memory, capacity.memory))
            .min(free_share(free.gpus, capacity.gpus).max(MIN_GPU_HEADROOM));
        let last_heartbeat_at = self.workers[worker_index].last_heartbeat_at;
        let age_s = last_heartbeat_at.map_or(0.0, |at| self.now - at);
        let excess = headroom - tuning.headroom_decay_per_s * age_s - tuning.headroom_midpoint;
        1.0 / (1.0 + (-GATE_STEEPNESS * excess).exp())
    }

    /// Whether fetching the image can take longer than the objective of the job allows, on the
    /// workers that fetch slowest.
    fn needs_cached_image(&self, job_index: u32) -> bool {
        let job = &self.jobs[job_index];
        job.spec.image_gb / self.types.min_fetch_gb_per_s()
            > job.start_delay_tolerance_s * FETCH_SHARE_OF_TOLERANCE
    }

    /// How well a worker suits a job in the long term; 0 is best. A replica runs for a long time,
    /// so it must not be placed where it prevents large tasks from running. A replica that is
    /// needed at once should find its image in the cache.
    fn tier(&self, job_index: u32, worker_index: u32) -> u8 {
        let job = &self.jobs[job_index];
        // A replica that replaces a lost one is unavailable for the whole fetch, so no fetch time
        // is acceptable.
        let is_replacement =
            job.is_service() && self.now - job.accepted_at >= job.start_delay_tolerance_s;
        let max_fetch_s = if is_replacement {
            0.0
        } else {
            job.start_delay_tolerance_s * FETCH_SHARE_OF_TOLERANCE
        };
        let fetches_too_long = self.needs_cached_image(job_index)
            && self.fetch_s(job_index, worker_index) > max_fetch_s;
        let fragments_worker = job.is_service() && self.fragments_worker(job_index, worker_index);
        u8::from(fetches_too_long) + 2 * u8::from(fragments_worker)
    }

    /// The best tier in which a job finds room or can make room by preemption. The job uses no
    /// worse tier, even if lower-priority work has to be preempted in this one.
    pub(in crate::coordination) fn best_tier(&self, job_index: u32) -> u8 {
        if !self.jobs[job_index].is_service() && !self.needs_cached_image(job_index) {
            return 0;
        }
        // Finding out whether there is room is expensive, so that is done only for a worker that
        // can improve the result. When it was done for every worker and every replica of a lost
        // zone, a batch on 3,000 workers took most of a second.
        let mut best = u8::MAX;
        for (worker_index, _) in self.workers.iter() {
            let tier = self.tier(job_index, worker_index);
            if tier < best
                && self.reservable(job_index, worker_index)
                && self.can_make_room(job_index, worker_index)
            {
                best = tier;
                if best == 0 {
                    break;
                }
            }
        }
        best
    }

    /// Whether the tier of a worker for a job is `worst` or better.
    pub(in crate::coordination) fn in_tier_or_better(
        &self,
        job_index: u32,
        worker_index: u32,
        worst: u8,
    ) -> bool {
        self.tier(job_index, worker_index) <= worst
    }

    /// Expected seconds until the worker has the job's image, behind the other fetches on the
    /// worker.
    pub(in crate::coordination) fn fetch_s(&self, job_index: u32, worker_index: u32) -> f64 {
        let job = &self.jobs[job_index];
        let worker = &self.workers[worker_index];
        if worker.images.contains(&job.image) {
            return 0.0;
        }
        let gb_per_s = self
            .types
            .get(worker.instance_type)
            .map_or(DEFAULT_FETCH_GB_PER_S, |instance_type| {
                instance_type.fetch_gb_per_s
            });
        let mut left_gb = job.spec.image_gb;
        for image in self.images_being_fetched(worker) {
            if image == job.image {
                left_gb *= REMAINING_FETCH_SHARE;
            } else {
                left_gb += self.images.size_gb(image) * REMAINING_FETCH_SHARE;
            }
        }
        left_gb / gb_per_s
    }

    /// The images that a worker is fetching or will fetch for its task instances, in ascending
    /// order of index.
    fn images_being_fetched(&self, worker: &Worker) -> Vec<u32> {
        let mut images: Vec<u32> = worker
            .instances
            .iter()
            .filter(|(_, instance)| matches!(instance.phase, None | Some(TaskPhase::Fetching)))
            .map(|(id, _)| self.jobs[id.job].image)
            .filter(|image| !worker.images.contains(image))
            .collect();
        images.sort_unstable();
        images.dedup();
        images
    }
}

/// The free share of a resource; 1 if the worker has none of that resource at all.
fn free_share(free: i64, capacity: i64) -> f64 {
    if capacity > 0 {
        free as f64 / capacity as f64
    } else {
        1.0
    }
}
