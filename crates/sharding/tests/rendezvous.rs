//! Tests of rendezvous hashing: rankings are stable, loads follow the weights, and controllers in
//! the worker's own zone are preferred.

use copperfield_sharding::{ControllerCapacity, load_limits, rank_controllers};
use proptest::prelude::*;

proptest! {
    /// Removing a controller leaves the order of the others unchanged, and the load limits leave
    /// room for all workers.
    #[test]
    fn removing_a_controller_keeps_the_order_of_the_others(
        worker in any::<u32>(),
        weights in prop::collection::vec((1u32..4, 0u32..3), 2..6),
        removed in 0usize..6,
    ) {
        let mut controllers: Vec<ControllerCapacity> = weights
            .iter()
            .map(|&(weight, zone)| ControllerCapacity { zone, weight: f64::from(weight) })
            .collect();
        let removed = removed % controllers.len();
        let mut before = rank_controllers(&controllers, worker, worker % 3);
        prop_assert!(load_limits(&controllers, 100).iter().sum::<usize>() >= 100);
        controllers[removed].weight = 0.0;
        before.retain(|&index| index != removed);
        prop_assert_eq!(rank_controllers(&controllers, worker, worker % 3), before);
        prop_assert_eq!(load_limits(&controllers, 100)[removed], 0);
    }
}

/// Workers are spread by weight, and a controller in the worker's own zone ranks first for most
/// workers.
#[test]
fn higher_weights_rank_first_more_often_and_most_workers_stay_in_their_zone() {
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
