//! Weighted rendezvous hashing with bounded loads.
//!
//! For each worker the controllers are ranked by a hash of worker and controller alone, so that a
//! controller that comes or goes affects only the workers it gets or had. No controller takes more
//! than its portion of all workers plus a margin; the rest go to the next one in the worker's own
//! ranking. A worker within these bounds keeps its owner ([`crate::ShardCoordinator`]): nothing
//! moves only for a better rank.

use crate::WorkerNumber;

/// A controller's load may exceed its portion by this factor before workers move away.
const LOAD_MARGIN: f64 = 1.1;
/// The weight of a controller in the worker's own zone is multiplied by this.
const SAME_ZONE_FACTOR: f64 = 4.0;

/// What a controller can bear.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerCapacity {
    /// The zone that it runs in.
    pub zone: u32,
    /// Its capacity relative to the other controllers. 0: it is down, or cannot reach workers.
    pub weight: f64,
}

/// A uniform hash in (0, 1], the same on every controller and in every version.
fn uniform_hash(worker: u64, controller: u64) -> f64 {
    let mut x =
        worker.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ controller.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    for _ in 0..2 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^= x >> 32;
    // Never 0, so that its logarithm is finite.
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The indices of the controllers that are up, the best for this worker first.
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

/// How many of `workers` each controller may have at most.
pub fn load_limits(controllers: &[ControllerCapacity], workers: usize) -> Vec<usize> {
    let total_weight: f64 = controllers.iter().map(|c| c.weight).sum();
    let limit = |controller: &ControllerCapacity| {
        let portion = controller.weight / total_weight.max(f64::MIN_POSITIVE);
        (workers as f64 * portion * LOAD_MARGIN).ceil() as usize
    };
    controllers.iter().map(limit).collect()
}
