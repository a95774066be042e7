//! What a task is worth on a worker, and which workers suit a job best.

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::Resources;
use crate::protocol::worker::TaskPhase;

/// Steepness of the headroom gate (the paper's k).
const GATE_STEEPNESS: f64 = 25.0;
/// The GPU part of a worker's headroom counts as at least this much.
const MIN_GPU_HEADROOM: f64 = 0.2;
/// However long the fetch, a task keeps this part of its value.
const MIN_DELAY_FACTOR: f64 = 1e-3;
/// Costs below this count as this much.
const MIN_COST: f64 = 1e-12;
/// The share of a job's patience that a fetch may take: rates are known to a third.
const FETCH_SHARE_OF_TOLERANCE: f64 = 0.8;
/// The fetch rate that is assumed of an instance type that is not described.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.25;
/// What is left on average of a fetch that has begun.
const FETCH_LEFT: f64 = 0.5;
const SECONDS_PER_HOUR: f64 = 3600.0;

impl Core {
    /// What a task is worth on a worker: π·w/ΔE, gated by headroom, with the image fetch and the
    /// risk of a spot worker priced in.
    pub(in crate::coordination) fn value(&self, ix: u32, m: u32) -> f64 {
        let Some(instance_type) = self.types.get(self.workers[m].kind) else {
            return 0.0;
        };
        let job = &self.jobs[ix];
        let fetch_s = self.fetch_s(ix, m);
        let cost = self.cost(ix, m, instance_type, fetch_s);
        let gate = self.headroom_gate(m, instance_type);
        let delay_factor = (-fetch_s / job.start_delay_tolerance_s)
            .exp()
            .max(MIN_DELAY_FACTOR);
        self.weight(ix) * job.work_s() / cost.max(MIN_COST) * gate * delay_factor
    }

    /// The paper's ΔE: the price of the part of a worker that a task occupies, and of the whole
    /// worker if nothing is on it yet.
    fn cost(&self, ix: u32, m: u32, instance_type: &MachineType, fetch_s: f64) -> f64 {
        let worker = &self.workers[m];
        let tuning = &self.config.tuning;
        let work_s = self.jobs[ix].work_s();
        let price_per_hour = if worker.spot {
            instance_type.spot_price
        } else {
            instance_type.price * tuning.owned_price
        };
        let price_per_s = price_per_hour / SECONDS_PER_HOUR;
        let mut occupied_s = work_s + fetch_s;
        if worker.spot {
            // A worker that is reclaimed takes the work so far with it.
            occupied_s *= 1.0 + work_s / tuning.spot_mean_life_s;
        }
        let share = if self.fragments_worker(ix, m) {
            // It keeps a task away that would take the whole worker.
            1.0
        } else {
            self.jobs[ix].spec.needs.share_of(&instance_type.whole)
        };
        let empty = if worker.used == Resources::default() {
            1.0
        } else {
            0.0
        };
        price_per_s * occupied_s * (share + empty)
    }

    /// Between 0 and 1: low for a worker that is nearly full or has sent no heartbeat for long.
    fn headroom_gate(&self, m: u32, instance_type: &MachineType) -> f64 {
        let tuning = &self.config.tuning;
        let room = self.free_resources(m);
        let whole = &instance_type.whole;
        let headroom = free_part(room.cpus, whole.cpus)
            .min(free_part(room.memory, whole.memory))
            .min(free_part(room.gpus, whole.gpus).max(MIN_GPU_HEADROOM));
        let last_heartbeat_at = self.workers[m].last_heartbeat_at;
        let age_s = last_heartbeat_at.map_or(0.0, |at| self.now - at);
        let excess = headroom - tuning.headroom_kappa * age_s - tuning.headroom_h0;
        1.0 / (1.0 + (-GATE_STEEPNESS * excess).exp())
    }

    /// Whether a fetch can take a job longer than its objective allows, on the workers that fetch
    /// slowest.
    fn needs_cached_image(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        job.spec.image_gb / self.types.min_fetch_gb_per_s()
            > job.start_delay_tolerance_s * FETCH_SHARE_OF_TOLERANCE
    }

    /// How well a worker suits a job for longer than a moment; 0 is best. A replica stays, so it
    /// must not settle where it keeps whole-worker tasks away, and one that is wanted at once
    /// should find its image.
    fn tier(&self, ix: u32, m: u32) -> u8 {
        let job = &self.jobs[ix];
        // A replica that is restored is missing all the while it fetches.
        let restored =
            job.is_service() && self.now - job.accepted_at >= job.start_delay_tolerance_s;
        let may_fetch_s = if restored {
            0.0
        } else {
            job.start_delay_tolerance_s * FETCH_SHARE_OF_TOLERANCE
        };
        let fetches_too_long = self.needs_cached_image(ix) && self.fetch_s(ix, m) > may_fetch_s;
        let fragments_worker = job.is_service() && self.fragments_worker(ix, m);
        u8::from(fetches_too_long) + 2 * u8::from(fragments_worker)
    }

    /// The best tier in which the job finds or may make room. It goes to no worse one, though lower
    /// work may have to be preempted in the better.
    pub(in crate::coordination) fn best_tier(&self, ix: u32) -> u8 {
        if !self.jobs[ix].is_service() && !self.needs_cached_image(ix) {
            return 0;
        }
        // Whether there is room is the expensive question, so it is asked only where the answer
        // can matter. Asked of every worker for every replica of a lost zone, it once took a batch
        // on 3,000 workers most of a second.
        let mut best = u8::MAX;
        for (m, _) in self.workers.iter() {
            let tier = self.tier(ix, m);
            if tier < best && self.reservable(ix, m) && self.room_can_be_made(ix, m) {
                best = tier;
                if best == 0 {
                    break;
                }
            }
        }
        best
    }

    /// Whether a worker is of this tier for a job, or of a better one.
    pub(in crate::coordination) fn in_tier(&self, ix: u32, m: u32, worst: u8) -> bool {
        self.tier(ix, m) <= worst
    }

    /// Expected time until the worker has the job's image.
    pub(in crate::coordination) fn fetch_s(&self, ix: u32, m: u32) -> f64 {
        let job = &self.jobs[ix];
        let worker = &self.workers[m];
        if worker.images.contains(&job.image) {
            return 0.0;
        }
        let gb_per_s = self
            .types
            .get(worker.kind)
            .map_or(DEFAULT_FETCH_GB_PER_S, |described| described.fetch_gb_per_s);
        let mut left_gb = job.spec.image_gb;
        for image in self.images_being_fetched(worker) {
            if image == job.image {
                left_gb *= FETCH_LEFT;
            } else {
                left_gb += self.images.size_gb(image) * FETCH_LEFT;
            }
        }
        left_gb / gb_per_s
    }

    /// The images that a worker fetches or is about to fetch, ascending by index.
    fn images_being_fetched(&self, worker: &Worker) -> Vec<u32> {
        let mut images: Vec<u32> = worker
            .instances
            .iter()
            .filter(|(_, instance)| matches!(instance.phase, None | Some(TaskPhase::Fetching)))
            .map(|(key, _)| self.jobs[key.job].image)
            .filter(|image| !worker.images.contains(image))
            .collect();
        images.sort_unstable();
        images.dedup();
        images
    }
}

/// The free part of a resource, 1 where a worker has none of it.
fn free_part(free: i64, whole: i64) -> f64 {
    if whole > 0 {
        free as f64 / whole as f64
    } else {
        1.0
    }
}
