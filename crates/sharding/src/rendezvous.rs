//! Weighted rendezvous hashing with bounded loads.
//!
//! For each worker the controllers are ranked by a hash of worker and controller alone. Adding or
//! removing a controller therefore affects only the workers that it gains or loses. No controller
//! takes more than its portion of all workers plus a margin; a worker beyond that limit goes to the
//! next controller in its own ranking. [`crate::ShardCoordinator`] does not move a worker merely
//! because another controller ranks higher for it.

use crate::WorkerNumber;

/// A controller's load limit is its portion of all workers times this factor.
const LOAD_MARGIN: f64 = 1.1;
/// Factor for the weight of a controller in the worker's own zone.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// The zone and relative capacity of a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerCapacity {
    /// The zone that the controller runs in.
    pub zone: u32,
    /// Its capacity relative to the other controllers, or 0 if it is down or cannot reach workers.
    pub weight: f64,
}

/// A uniformly distributed hash in (0, 1]. All controllers and versions compute the same value.
fn uniform_hash(worker: u64, controller: u64) -> f64 {
    let mut x =
        worker.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ controller.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    for _ in 0..2 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^= x >> 32;
    // The result is never 0, so its logarithm is finite.
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The indices of the controllers with a positive weight, the best one for this worker first.
pub fn rank_controllers(
    controllers: &[ControllerCapacity],
    worker: WorkerNumber,
    zone: u32,
) -> Vec<usize> {
    let score = |index: usize| {
        let controller = &controllers[index];
        let zone_factor = if controller.zone == zone {
            SAME_ZONE_FACTOR
        } else {
            1.0
        };
        uniform_hash(u64::from(worker), index as u64).ln() / (controller.weight * zone_factor)
    };
    let mut ranking: Vec<usize> = (0..controllers.len())
        .filter(|&index| controllers[index].weight > 0.0)
        .collect();
    ranking.sort_by(|&a, &b| score(b).total_cmp(&score(a)));
    ranking
}

/// The maximum number of workers that each controller may have, out of `workers` in total.
pub fn load_limits(controllers: &[ControllerCapacity], workers: usize) -> Vec<usize> {
    let total_weight: f64 = controllers.iter().map(|c| c.weight).sum();
    let limit = |controller: &ControllerCapacity| {
        let portion = controller.weight / total_weight.max(f64::MIN_POSITIVE);
        (workers as f64 * portion * LOAD_MARGIN).ceil() as usize
    };
    controllers.iter().map(limit).collect()
}
