//! The greedy assignment, used when an auction reaches its cap on bids.

use super::types::{Award, BidderGroup, Lot};

/// Assigns each group in turn to the lots that it values most.
pub fn greedy(lots: &[Lot], groups: &[BidderGroup]) -> Vec<Award> {
    let mut free: Vec<Lot> = lots.to_vec();
    let mut awards = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        assign_group(index as u32, group, &mut free, &mut awards);
    }
    awards
}

fn assign_group(index: u32, group: &BidderGroup, free: &mut [Lot], awards: &mut Vec<Award>) {
    let mut zone_room = group.zone_room.clone();
    let mut demand = group.demand;
    for (lot_index, _) in group.lots_by_value() {
        let lot = &mut free[lot_index as usize];
        while demand > 0 && fits_bundle(lot, group) {
            if let Some(zone_room) = &mut zone_room {
                let room = &mut zone_room[lot.zone as usize];
                if *room == 0 {
                    break;
                }
                *room -= 1;
            }
            lot.cpu_slots -= group.cpu_slots;
            lot.gpu_slots -= group.gpu_slots;
            lot.memory -= group.memory;
            demand -= 1;
            awards.push(Award {
                group: index,
                lot: lot_index,
            });
        }
    }
}

fn fits_bundle(lot: &Lot, group: &BidderGroup) -> bool {
    lot.cpu_slots >= group.cpu_slots
        && lot.gpu_slots >= group.gpu_slots
        && lot.memory >= group.memory
}
