//! Properties of the auction, checked against exhaustive search on small instances.

use copperfield::coordination::auction::{Award, BidderGroup, Lot, clear, greedy};
use proptest::prelude::*;

fn cpu_lot(slots: u32) -> Lot {
    Lot {
        cpu_slots: slots,
        gpu_slots: 0,
        memory: 1000,
        zone: 0,
    }
}

/// An auction of one-slot tasks: group `g` has `demand[g]` tasks, and values lot `l` at
/// `values[g][l]`.
fn one_slot_auction(
    slots: &[u32],
    demand: &[u32],
    values: &[Vec<f64>],
) -> (Vec<Lot>, Vec<BidderGroup>) {
    let lots = slots.iter().map(|&s| cpu_lot(s)).collect();
    let groups = demand
        .iter()
        .zip(values)
        .map(|(&demand, values)| BidderGroup {
            demand,
            cpu_slots: 1,
            gpu_slots: 0,
            memory: 1,
            values: (0u32..).zip(values.iter().copied()).collect(),
            zone_room: None,
        })
        .collect();
    (lots, groups)
}

fn total_value(awards: &[Award], groups: &[BidderGroup]) -> f64 {
    awards
        .iter()
        .map(|a| groups[a.group as usize].values[a.lot as usize].1)
        .sum()
}

/// The best total value, found by trying every assignment.
fn best_total_value(tasks: &[usize], groups: &[BidderGroup], left: &mut Vec<u32>) -> f64 {
    let Some((&g, rest)) = tasks.split_first() else {
        return 0.0;
    };
    let mut best = best_total_value(rest, groups, left);
    for l in 0..left.len() {
        if left[l] > 0 {
            left[l] -= 1;
            best = best.max(groups[g].values[l].1 + best_total_value(rest, groups, left));
            left[l] += 1;
        }
    }
    best
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// When the auction ends, ε-complementary slackness holds, so the total value is within ε times
    /// the number of tasks of the optimum. ε is 1% of the median value.
    #[test]
    fn total_value_is_within_tasks_times_epsilon_of_the_optimum(
        slots in prop::collection::vec(0u32..3, 1..4),
        demand in prop::collection::vec(1u32..3, 1..4),
        values in prop::collection::vec(prop::collection::vec(1.0f64..100.0, 3), 3),
    ) {
        let values: Vec<Vec<f64>> = values.iter().map(|v| v[..slots.len()].to_vec()).collect();
        let (lots, groups) = one_slot_auction(&slots, &demand, &values);
        let (awards, outcome) = clear(&lots, &groups, 100_000);
        prop_assert!(!outcome.capped);
        let tasks: Vec<usize> = demand
            .iter()
            .enumerate()
            .flat_map(|(g, &d)| std::iter::repeat_n(g, d as usize))
            .collect();
        let mut all: Vec<f64> = groups.iter().flat_map(|g| g.values.iter().map(|v| v.1)).collect();
        all.sort_by(f64::total_cmp);
        let epsilon = all[all.len() / 2] * 0.01;
        let optimum = best_total_value(&tasks, &groups, &mut slots.clone());
        prop_assert!(
            total_value(&awards, &groups) >= optimum - epsilon * tasks.len() as f64 - 1e-6,
            "{} of {optimum}", total_value(&awards, &groups)
        );
    }

    /// For random sizes: no lot is oversold, no lot goes to a group that may not take it, and no
    /// group gets more than its demand or more than its zones allow.
    #[test]
    fn awards_respect_lots_filters_demand_and_zones(
        lots in prop::collection::vec((0u32..6, 0u32..3, 0i64..12, 0u32..2), 1..6),
        groups in prop::collection::vec((1u32..6, 1u32..4, 0u32..2, 0i64..5, any::<u8>(), any::<bool>()), 1..6),
        cap in prop::sample::select(vec![1u32, 20, 5000]),
    ) {
        let lots: Vec<Lot> = lots
            .iter()
            .map(|&(cpu_slots, gpu_slots, memory, zone)| Lot { cpu_slots, gpu_slots, memory, zone })
            .collect();
        let groups: Vec<BidderGroup> = groups
            .iter()
            .map(|&(demand, cpu_slots, gpu_slots, memory, allowed, zoned)| BidderGroup {
                demand, cpu_slots, gpu_slots, memory,
                values: (0..lots.len() as u32)
                    .filter(|l| allowed & (1 << l) != 0)
                    .map(|l| (l, f64::from(1 + (l * 7 + demand * 3) % 11)))
                    .collect(),
                zone_room: zoned.then(|| vec![1, 2]),
            })
            .collect();
        for awards in [clear(&lots, &groups, cap).0, greedy(&lots, &groups)] {
            let mut free = lots.clone();
            let mut awarded = vec![0u32; groups.len()];
            let mut zones = vec![[0u32; 2]; groups.len()];
            for a in &awards {
                let g = &groups[a.group as usize];
                let l = &mut free[a.lot as usize];
                prop_assert!(g.values.iter().any(|(lot, _)| *lot == a.lot));
                prop_assert!(l.cpu_slots >= g.cpu_slots && l.gpu_slots >= g.gpu_slots && l.memory >= g.memory);
                l.cpu_slots -= g.cpu_slots;
                l.gpu_slots -= g.gpu_slots;
                l.memory -= g.memory;
                awarded[a.group as usize] += 1;
                zones[a.group as usize][l.zone as usize] += 1;
            }
            for (g, group) in groups.iter().enumerate() {
                prop_assert!(awarded[g] <= group.demand);
                if let Some(room) = &group.zone_room {
                    prop_assert!(zones[g][0] <= room[0] && zones[g][1] <= room[1]);
                }
            }
        }
    }
}

/// Guards against reaching the cap on bids when groups that value all lots alike outbid each other
/// by ε at a time.
#[test]
fn identical_tasks_converge_below_the_cap() {
    let slots = vec![8u32; 20];
    let demand = vec![100, 100, 40];
    let values = vec![vec![10.0; 20], vec![10.0; 20], vec![10.0; 20]];
    let (lots, groups) = one_slot_auction(&slots, &demand, &values);
    let (awards, outcome) = clear(&lots, &groups, 4000);
    assert!(!outcome.capped, "{outcome:?}");
    assert_eq!(awards.len(), 160, "every slot is taken");
}
