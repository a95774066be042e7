//! The inputs and results of an auction: lots, bidder groups and awards.

use crate::protocol::job::Resources;

/// The free resources of one worker, divided into slots.
#[derive(Debug, Clone)]
pub struct Lot {
    /// Number of free CPU slots.
    pub cpu_slots: u32,
    /// Number of free GPU slots, one for each whole GPU.
    pub gpu_slots: u32,
    /// Free memory, in the unit of [`Resources`]; it has no price.
    pub memory: i64,
    /// Index of the worker's zone.
    pub zone: u32,
}

/// Similar waiting tasks that bid as one. Each task needs one bundle: slots of a single lot.
#[derive(Debug, Clone)]
pub struct BidderGroup {
    /// Number of bundles that the group bids for.
    pub demand: u32,
    /// Number of CPU slots in a bundle.
    pub cpu_slots: u32,
    /// Number of GPU slots in a bundle.
    pub gpu_slots: u32,
    /// Memory of a bundle, in the unit of [`Resources`].
    pub memory: i64,
    /// Indices of lots, and the value of each for one task; lots that a filter excludes are absent.
    pub values: Vec<(u32, f64)>,
    /// How many more tasks each zone may get, by index of the zone; `None` if zones are not
    /// limited.
    pub zone_room: Option<Vec<u32>>,
}

impl BidderGroup {
    /// The numbers of CPU slots and of GPU slots that a task needs, with CPU slots of `slot_cpus`
    /// CPUs.
    pub fn slots_needed(needs: &Resources, slot_cpus: f64) -> (u32, u32) {
        let slot = (slot_cpus * 1000.0) as i64;
        let cpu_slots = needs.cpus.max(1).div_euclid(slot) + i64::from(needs.cpus % slot != 0);
        (
            cpu_slots.max(1) as u32,
            (needs.gpus as f64 / 1000.0).ceil() as u32,
        )
    }

    /// Number of CPU and GPU slots in a bundle.
    pub(super) fn slots_per_bundle(&self) -> f64 {
        f64::from(self.cpu_slots + self.gpu_slots)
    }

    /// The lots that the group may take and their values, the most valuable first.
    pub(super) fn lots_by_value(&self) -> Vec<(u32, f64)> {
        let mut values = self.values.clone();
        values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        values
    }
}

/// Assigns one bundle of a lot to one task of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Award {
    /// Index of the bidder group.
    pub group: u32,
    /// Index of the lot.
    pub lot: u32,
}

/// Statistics of an auction.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Number of bids made.
    pub bids: u32,
    /// Whether the cap on bids was reached and the greedy assignment was used.
    pub capped: bool,
}
