//! Rendezvous hashing: stable rankings, loads by weight, and preference for the worker's zone.

use copperfield_sharding::{ControllerCapacity, load_limits, rank_controllers};
use proptest::prelude::*;

proptest! {
    /// A controller that goes changes only what it ranked first for, and limits leave room for all.
    #[test]
    fn a_lost_controller_leaves_the_order_of_the_others_unchanged(
        worker in any::<u32>(),
        weights in prop::collection::vec((1u32..4, 0u32..3), 2..6),
        lost in 0usize..6,
    ) {
        let mut controllers: Vec<ControllerCapacity> = weights
            .iter()
            .map(|&(weight, zone)| ControllerCapacity { zone, weight: f64::from(weight) })
            .collect();
        let lost = lost % controllers.len();
        let mut before = rank_controllers(&controllers, worker, worker % 3);
        prop_assert!(load_limits(&controllers, 100).iter().sum::<usize>() >= 100);
        controllers[lost].weight = 0.0;
        before.retain(|&index| index != lost);
        prop_assert_eq!(rank_controllers(&controllers, worker, worker % 3), before);
        prop_assert_eq!(load_limits(&controllers, 100)[lost], 0);
    }
}

/// Workers are spread by weight, and most have a controller of their own zone.
#[test]
fn heavier_controllers_rank_first_more_often_and_most_workers_stay_in_their_zone() {
    let controller = |zone, weight| ControllerCapacity { zone, weight };
    let controllers = [controller(0, 1.0), controller(1, 1.0), controller(2, 2.0)];
    let first = |worker: u32| rank_controllers(&controllers, worker, worker % 3)[0];
    let count = |index: usize| (0..3000).filter(|&worker| first(worker) == index).count();
    let counts = [count(0), count(1), count(2)];
    assert!(
        counts[2] > counts[0] + 300 && counts[2] > counts[1] + 300,
        "{counts:?}"
    );
    let same_zone = (0..3000)
        .filter(|&worker| controllers[first(worker)].zone == worker % 3)
        .count();
    assert!(same_zone > 1800, "{same_zone} of 3000");
}
