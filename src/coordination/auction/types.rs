//! What an auction is about: lots, bidder groups, and what each is awarded.

use crate::protocol::job::Resources;

/// The free room of one worker, cut into slots.
#[derive(Debug, Clone)]
pub struct Lot {
    /// Free slots of CPU.
    pub cpu_slots: u32,
    /// Free slots of GPU, one for each whole GPU.
    pub gpu_slots: u32,
    /// Free memory, in the unit of [`Resources`]; it has no price.
    pub memory: i64,
    /// Index of the worker's zone.
    pub zone: u32,
}

/// Similar waiting tasks that bid as one. Each of them wants one bundle: slots of a single lot.
#[derive(Debug, Clone)]
pub struct BidderGroup {
    /// How many bundles the group wants.
    pub demand: u32,
    /// Slots of CPU in a bundle.
    pub cpu_slots: u32,
    /// Slots of GPU in a bundle.
    pub gpu_slots: u32,
    /// Memory of a bundle.
    pub memory: i64,
    /// Indices of lots, and what one task is worth there; lots that a filter forbids are absent.
    pub values: Vec<(u32, f64)>,
    /// How many more tasks each zone may get, if zones are limited.
    pub zone_room: Option<Vec<u32>>,
}

impl BidderGroup {
    /// How many slots of CPU and of GPU a task needs, with CPU slots of `slot_cpus` CPUs.
    pub fn slots_needed(needs: &Resources, slot_cpus: f64) -> (u32, u32) {
        let slot = (slot_cpus * 1000.0) as i64;
        let cpu_slots = needs.cpus.max(1).div_euclid(slot) + i64::from(needs.cpus % slot != 0);
        (
            cpu_slots.max(1) as u32,
            (needs.gpus as f64 / 1000.0).ceil() as u32,
        )
    }

    /// The slots of either kind in a bundle.
    pub(super) fn slots_per_bundle(&self) -> f64 {
        f64::from(self.cpu_slots + self.gpu_slots)
    }

    /// The lots it may take and what they are worth to it, the most valuable first.
    pub(super) fn lots_by_value(&self) -> Vec<(u32, f64)> {
        let mut values = self.values.clone();
        values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        values
    }
}

/// One task of a group gets room on a lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Award {
    /// Index of the bidder group.
    pub group: u32,
    /// Index of the lot.
    pub lot: u32,
}

/// How an auction went.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Bids made.
    pub bids: u32,
    /// The cap was reached and the greedy assignment was used.
    pub capped: bool,
}
