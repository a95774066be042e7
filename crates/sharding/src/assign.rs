//! Who should have which worker.
//!
//! Weighted rendezvous hashing: for each worker the nodes are ranked by a draw that depends on
//! worker and node alone, so that a node that comes or goes changes only what it gets or had.
//! Loads are bounded: a node takes no more than its part of all workers and a tenth; what is
//! beyond goes to the next in the worker's own ranking. Who has a worker stays where it is
//! while that is so ([`crate::ShardCoordinator`]), so that nothing moves for a better draw.

/// A node's load may be beyond its part by this much before workers move for it.
const SLACK: f64 = 1.1;
/// A node in the worker's own zone counts for so many.
const SAME_ZONE: f64 = 4.0;

#[derive(Debug, Clone, PartialEq)]
pub struct ControllerInfo {
    pub zone: u32,
    /// What it bears, against the others: the least of its parts of sockets, memory and
    /// processor. 0: it is down, or cannot reach workers.
    pub weight: f64,
}

/// Well mixed, and the same on every node and in every version.
fn draw(worker: u64, controller: u64) -> f64 {
    let mut x =
        worker.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ controller.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    for _ in 0..2 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^= x >> 32;
    // In (0, 1]: its logarithm is finite.
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The nodes that are up, the best for this worker first.
pub fn ranking(controllers: &[ControllerInfo], worker: u32, zone: u32) -> Vec<usize> {
    let score = |n: usize| {
        let near = if controllers[n].zone == zone {
            SAME_ZONE
        } else {
            1.0
        };
        draw(u64::from(worker), n as u64).ln() / (controllers[n].weight * near)
    };
    let mut all: Vec<usize> = (0..controllers.len())
        .filter(|&n| controllers[n].weight > 0.0)
        .collect();
    all.sort_by(|&a, &b| score(b).total_cmp(&score(a)));
    all
}

/// How many of `workers` each node may have.
pub fn bounds(controllers: &[ControllerInfo], workers: usize) -> Vec<usize> {
    let sum: f64 = controllers.iter().map(|n| n.weight).sum();
    let part = |n: &ControllerInfo| n.weight / sum.max(f64::MIN_POSITIVE);
    let bound = |n: &ControllerInfo| (workers as f64 * part(n) * SLACK).ceil() as usize;
    controllers.iter().map(bound).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whoever goes changes only what it was first for, and bounds leave room for all.
        #[test]
        fn a_node_that_goes_changes_no_other_order(
            worker in any::<u32>(),
            weights in prop::collection::vec((1u32..4, 0u32..3), 2..6),
            gone in 0usize..6,
        ) {
            let mut controllers: Vec<ControllerInfo> = weights
                .iter()
                .map(|&(w, zone)| ControllerInfo { zone, weight: f64::from(w) })
                .collect();
            let gone = gone % controllers.len();
            let mut before = ranking(&controllers, worker, worker % 3);
            prop_assert!(bounds(&controllers, 100).iter().sum::<usize>() >= 100);
            controllers[gone].weight = 0.0;
            before.retain(|&n| n != gone);
            prop_assert_eq!(ranking(&controllers, worker, worker % 3), before);
            prop_assert_eq!(bounds(&controllers, 100)[gone], 0);
        }
    }

    /// Workers are spread by weight, and most have a node of their own zone.
    #[test]
    fn heavier_nodes_have_more_and_most_are_near() {
        let controller = |zone, weight| ControllerInfo { zone, weight };
        let controllers = [controller(0, 1.0), controller(1, 1.0), controller(2, 2.0)];
        let first = |m: u32| ranking(&controllers, m, m % 3)[0];
        let count = |n: usize| (0..3000).filter(|&m| first(m) == n).count();
        let counts = [count(0), count(1), count(2)];
        assert!(
            counts[2] > counts[0] + 300 && counts[2] > counts[1] + 300,
            "{counts:?}"
        );
        let near = (0..3000)
            .filter(|&m| controllers[first(m)].zone == m % 3)
            .count();
        assert!(near > 1800, "{near} of 3000");
    }
}
